//! Fleet of VMs before the engines of one service, without a network: placement, loads,
//! estimates, gossip and admission are those of the gateway, engines and callers are
//! simulated in steps of 5 ms.

use std::net::SocketAddr;

use lagoon_gateway::{
    place, AdmissionSettings, NewProgram, PlacementRequest, PlacementSettings, ProgramAdmission,
    ProgramDecision, RequestMetadata, TargetEntry, TargetKey, TargetLoad, TargetStatus, Targets,
};
use lagoon_ids::hash64;
use lagoon_limits::Demand;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const VMS: usize = 88;
const DOMAINS: usize = 4;
const GOSSIP_PEERS: usize = 12;
const GOSSIP_PERIOD_MS: u64 = 100;
const TARGETS: usize = 12;
const SLOTS: u32 = 12;
/// Concurrent calls beyond which an engine slows all of them down.
const KNEE: f64 = 8.0;
const CALLS: u32 = 7;
const CALL_MS: f64 = 150.0;
/// Time between two events of a call's stream.
const EVENT_MS: f64 = 25.0;
/// Mean time of a tool between two calls.
const TOOL_MS: u64 = 50;
const PROMPT_TOKENS: u64 = 1_500;
const STEP_MS: u64 = 5;
/// Length of a program at engines below the knee.
pub(crate) const PROGRAM_MS: f64 = CALLS as f64 * CALL_MS + ((CALLS - 1) as u64 * TOOL_MS) as f64;
/// Factor of that time within which callers want a program to end, waits included.
const OBJECTIVE: f64 = 1.5;
/// Time for which callers come back with a program that was refused.
const GIVES_UP_MS: u64 = 4_000;
pub(crate) const ACCOUNTS: usize = 86;
/// Programs before this aren't counted, as estimates and accounts are not known yet.
const MEASURED_MS: u64 = 4_000;
const END_MS: u64 = 22_000;

/// Programs a second that the engines can run within the objective at their knee.
pub(crate) const CAPACITY_PER_S: f64 = TARGETS as f64 * KNEE * 1e3 / (CALLS as f64 * CALL_MS);

/// Traffic from one time to another, as factors of the usual one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Burst {
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
    /// Factors of the urgent kind and of the other one.
    pub(crate) factors: [f64; 2],
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Load<'a> {
    /// Usual traffic as a share of [`CAPACITY_PER_S`].
    pub(crate) usual: f64,
    /// Factor of the traffic of the first account.
    pub(crate) first_account: f64,
    pub(crate) bursts: &'a [Burst],
    pub(crate) seed: u64,
}

#[derive(Clone, Copy, Debug)]
struct Program {
    id: u64,
    account: usize,
    /// 0 for the urgent kind, which is a third of the usual traffic, 1 for the other.
    kind: usize,
    arrived_ms: u64,
    admitted_ms: u64,
    calls_left: u32,
    target: usize,
}

/// Programs of one class, and what became of them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Score {
    pub(crate) all: f64,
    pub(crate) in_time: f64,
    pub(crate) admitted: f64,
}

impl Score {
    pub(crate) fn share(&self) -> f64 {
        self.in_time / self.all.max(1.0)
    }

    pub(crate) fn served(&self) -> f64 {
        self.admitted / self.all.max(1.0)
    }

    pub(crate) fn add(&mut self, other: &Score) {
        self.all += other.all;
        self.in_time += other.in_time;
        self.admitted += other.admitted;
    }
}

#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) accounts: Vec<Score>,
    /// Scores by kind in each second, by the arrival of the programs.
    pub(crate) seconds: Vec<[Score; 2]>,
    /// Programs that ended in time in each second.
    pub(crate) ended_in_time: Vec<f64>,
    /// Share of admitted programs that took at most the objective once admitted.
    pub(crate) within_objective: f64,
    pub(crate) max_running: usize,
    /// Mean calls at an engine in each second.
    pub(crate) running: Vec<f64>,
}

impl Outcome {
    pub(crate) fn all(&self) -> Score {
        self.between(0, self.seconds.len()).0
    }

    /// Score of all programs that arrived in these seconds, and those of both kinds.
    pub(crate) fn between(&self, from_s: usize, to_s: usize) -> (Score, [Score; 2]) {
        let mut kinds = [Score::default(); 2];
        for second in &self.seconds[from_s..to_s.min(self.seconds.len())] {
            kinds[0].add(&second[0]);
            kinds[1].add(&second[1]);
        }
        let mut all = kinds[0];
        all.add(&kinds[1]);
        (all, kinds)
    }
}

struct Vm {
    targets: Targets,
    keys: Vec<TargetKey>,
    admission: ProgramAdmission,
    domain: String,
    address: SocketAddr,
}

struct Call {
    program: Program,
    vm: usize,
    left_ms: f64,
    started_ms: u64,
}

pub(crate) struct Simulation<'a> {
    load: Load<'a>,
    random: Pcg64,
    vms: Vec<Vm>,
    running: Vec<Vec<Call>>,
    /// Next calls of programs, after their tools, and programs that come back.
    due: Vec<(u64, Program)>,
    outcome: Outcome,
    admitted: (f64, f64),
}

fn domain(number: usize) -> String {
    format!("d{}", number % DOMAINS)
}

fn vm(number: usize) -> Vm {
    let mut targets = Targets::default();
    let mut keys = Vec::new();
    for target in 0..TARGETS {
        let id = format!("t{target}");
        targets.upsert(TargetEntry {
            id: id.as_str().into(),
            service: "s".into(),
            address: ([127, 0, 0, 1], 9_000 + target as u16).into(),
            domain: domain(target).into(),
            software_version: "v1".into(),
            slots: SLOTS,
            status: TargetStatus::Ready,
            started_unix_ms: None,
        });
        let hash = hash64(id.as_bytes());
        let found = targets
            .of_service("s")
            .find(|(_, target)| target.hash == hash);
        keys.push(found.expect("was added").0);
    }
    Vm {
        targets,
        keys,
        admission: ProgramAdmission::default(),
        domain: domain(number),
        address: ([127, 0, 0, 1], 10_000 + number as u16).into(),
    }
}

impl<'a> Simulation<'a> {
    pub(crate) fn run(load: Load<'a>) -> Outcome {
        let seconds = (END_MS / 1_000) as usize + 1;
        let mut simulation = Simulation {
            load,
            random: Pcg64::seed_from_u64(load.seed),
            vms: (0..VMS).map(vm).collect(),
            running: (0..TARGETS).map(|_| Vec::new()).collect(),
            due: Vec::new(),
            outcome: Outcome {
                accounts: vec![Score::default(); ACCOUNTS],
                seconds: vec![[Score::default(); 2]; seconds],
                ended_in_time: vec![0.0; seconds],
                within_objective: 0.0,
                max_running: 0,
                running: vec![0.0; seconds],
            },
            admitted: (0.0, 0.0),
        };
        let mut ids = 0;
        let mut now_ms = STEP_MS;
        while now_ms < END_MS || !simulation.is_idle() {
            simulation.step_targets(now_ms);
            if now_ms.is_multiple_of(GOSSIP_PERIOD_MS) {
                simulation.gossip(now_ms);
            }
            if now_ms < END_MS {
                simulation.arrivals(&mut ids, now_ms);
            }
            let (now, later): (Vec<_>, Vec<_>) = std::mem::take(&mut simulation.due)
                .into_iter()
                .partition(|(at_ms, _)| *at_ms <= now_ms);
            simulation.due = later;
            for (_, program) in now {
                if program.admitted_ms > 0 {
                    simulation.call(program, now_ms);
                } else {
                    simulation.offer(program, now_ms);
                }
            }
            now_ms += STEP_MS;
        }
        simulation.outcome.within_objective = simulation.admitted.1 / simulation.admitted.0;
        simulation.outcome
    }

    fn is_idle(&self) -> bool {
        self.due.is_empty() && self.running.iter().all(Vec::is_empty)
    }

    fn arrivals(&mut self, ids: &mut u64, now_ms: u64) {
        let mut factors = [1.0 / 3.0, 2.0 / 3.0];
        for burst in self.load.bursts {
            if (burst.from_ms..burst.to_ms).contains(&now_ms) {
                factors[0] *= burst.factors[0];
                factors[1] *= burst.factors[1];
            }
        }
        let accounts = ACCOUNTS as f64 - 1.0 + self.load.first_account;
        for (kind, factor) in factors.into_iter().enumerate() {
            let usual_per_s = self.load.usual * CAPACITY_PER_S * accounts / ACCOUNTS as f64;
            let expected = factor * usual_per_s * STEP_MS as f64 / 1e3;
            if self.random.random::<f64>() >= expected {
                continue;
            }
            *ids += 1;
            let is_first = self.random.random::<f64>() < self.load.first_account / accounts;
            let program = Program {
                id: *ids,
                account: match is_first {
                    true => 0,
                    false => self.random.random_range(1..ACCOUNTS),
                },
                kind,
                arrived_ms: now_ms,
                admitted_ms: 0,
                calls_left: CALLS,
                target: 0,
            };
            self.due.push((now_ms, program));
        }
    }

    fn step_targets(&mut self, now_ms: u64) {
        let second = (now_ms / 1_000) as usize;
        for target in 0..TARGETS {
            let count = self.running[target].len();
            self.outcome.max_running = self.outcome.max_running.max(count);
            if let Some(running) = self.outcome.running.get_mut(second) {
                *running += count as f64 * STEP_MS as f64 / 1e3 / TARGETS as f64;
            }
            let slowness = 1.0 + 0.25 * (count as f64 - KNEE).max(0.0);
            // Calls beyond the slots wait.
            for call in self.running[target].iter_mut().take(SLOTS as usize) {
                let events = (call.left_ms / EVENT_MS).ceil();
                call.left_ms -= STEP_MS as f64 / slowness;
                if (call.left_ms / EVENT_MS).ceil() < events {
                    let vm = &mut self.vms[call.vm];
                    let interval_ms = EVENT_MS * slowness;
                    vm.targets
                        .record_event_interval(vm.keys[target], interval_ms, now_ms);
                }
            }
            let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running[target])
                .into_iter()
                .partition(|call| call.left_ms <= 0.0);
            self.running[target] = running;
            for call in ended {
                self.end_call(call, target, now_ms);
            }
        }
    }

    fn end_call(&mut self, call: Call, target: usize, now_ms: u64) {
        let vm = &mut self.vms[call.vm];
        let key = vm.keys[target];
        vm.targets.request_ended(key);
        vm.targets
            .record_response(key, true, now_ms - call.started_ms, now_ms);
        let mut program = call.program;
        program.calls_left -= 1;
        if program.calls_left > 0 {
            let tool_ms = self.random.random_range(0..2 * TOOL_MS);
            self.due.push((now_ms + tool_ms, program));
        } else {
            self.end(program, now_ms);
        }
    }

    /// Counts a program that ended, or whose caller gave up.
    fn end(&mut self, program: Program, now_ms: u64) {
        let is_admitted = program.admitted_ms > 0;
        let limit_ms = OBJECTIVE * PROGRAM_MS;
        let is_in_time = is_admitted && (now_ms - program.arrived_ms) as f64 <= limit_ms;
        if is_in_time && now_ms < END_MS {
            self.outcome.ended_in_time[(now_ms / 1_000) as usize] += 1.0;
        }
        if program.arrived_ms < MEASURED_MS {
            return;
        }
        let score = Score {
            all: 1.0,
            in_time: f64::from(u8::from(is_in_time)),
            admitted: f64::from(u8::from(is_admitted)),
        };
        self.outcome.accounts[program.account].add(&score);
        self.outcome.seconds[(program.arrived_ms / 1_000) as usize][program.kind].add(&score);
        if is_admitted {
            self.admitted.0 += 1.0;
            let took_ms = (now_ms - program.admitted_ms) as f64;
            self.admitted.1 += f64::from(u8::from(took_ms <= limit_ms));
        }
    }

    fn gossip(&mut self, now_ms: u64) {
        for sender in 0..VMS {
            let vm = &mut self.vms[sender];
            let updates = vm.targets.take_updates(now_ms);
            let speeds = vm.targets.take_speeds(4, now_ms);
            let admitted = vm.admission.take_admitted(2);
            let address = vm.address;
            // The next VMs of the same domain.
            for step in 1..=GOSSIP_PEERS {
                let vm = &mut self.vms[(sender + step * DOMAINS) % VMS];
                vm.targets.apply_updates(address, &updates, now_ms);
                vm.targets.apply_speeds(&speeds, now_ms);
                vm.admission.apply_admitted(&admitted, now_ms);
            }
        }
    }

    fn metadata(program: &Program) -> RequestMetadata {
        RequestMetadata {
            program: Some(format!("p{}", program.id).as_str().into()),
            prompt_tokens: PROMPT_TOKENS,
            prompt_parts: vec![(program.id, PROMPT_TOKENS)],
            ..RequestMetadata::default()
        }
    }

    /// Sends the next call of a program through any VM to the target that has its prompt.
    fn call(&mut self, program: Program, now_ms: u64) {
        let vm = self.random.random_range(0..VMS);
        self.start_call(program, vm, now_ms);
    }

    fn start_call(&mut self, program: Program, vm: usize, now_ms: u64) {
        let target = program.target;
        self.running[target].push(Call {
            program,
            vm,
            left_ms: CALL_MS,
            started_ms: now_ms,
        });
        let running = self.running[target].len() as u32;
        let vm = &mut self.vms[vm];
        let key = vm.keys[target];
        vm.targets.request_started(key, now_ms);
        // A stream's headers come at its begin.
        let load = TargetLoad {
            running: running.min(SLOTS),
            waiting: running.saturating_sub(SLOTS),
            slots: SLOTS,
            work_percent: Some(100),
        };
        vm.targets.record_load(key, load, now_ms);
    }

    /// Offers a new program to a VM at random, where it waits or is refused.
    fn offer(&mut self, mut program: Program, now_ms: u64) {
        let number = self.random.random_range(0..VMS);
        let metadata = Self::metadata(&program);
        let waited_ms = (now_ms - program.arrived_ms) as f64;
        let finish_ms = (OBJECTIVE * PROGRAM_MS - waited_ms).max(0.0);
        let new = NewProgram {
            program: hash64(&program.id.to_le_bytes()),
            account: program.account as u32 + 1,
            priority: [0, 2][program.kind],
            service: 1,
            can_end_in_time: NewProgram::can_end_in_time(
                Some(finish_ms as u64),
                self.vms[number].targets.service_ms("s"),
            ),
            random: self.random.random(),
            spread: self.random.random(),
        };
        let randoms: [u64; 3] = [0; 3].map(|_| self.random.random());
        let vm = &mut self.vms[number];
        let ticket = vm.admission.enter(new, now_ms);
        let mut excluded: Vec<TargetKey> = Vec::new();
        let mut first = None;
        for random in randoms {
            let request = PlacementRequest {
                service: "s",
                metadata: &metadata,
                domain: &vm.domain,
                last_target: None,
                excluded_targets: &excluded,
                demand: Demand::NewProgram { priority: 0 },
                skips_limited: false,
                software: None,
                distant_targets: &[],
                random,
            };
            let settings = PlacementSettings::default();
            let Some(placement) = place(&vm.targets, &settings, &request, now_ms) else {
                break;
            };
            match vm.admission.try_admit(ticket, &placement, now_ms) {
                Ok(()) => {
                    vm.admission.leave(ticket);
                    let key = placement.key;
                    let target = vm.keys.iter().position(|other| *other == key);
                    program.target = target.expect("is a target");
                    program.admitted_ms = now_ms;
                    self.start_call(program, number, now_ms);
                    return;
                }
                Err(missing) => {
                    first.get_or_insert((placement, missing));
                    excluded.push(placement.key);
                }
            }
        }
        vm.admission.leave(ticket);
        let (placement, missing) = first.expect("a target was tried");
        let decision = vm.admission.decide_wait(
            &AdmissionSettings::default(),
            &new,
            (&placement, missing),
            vm.targets.service_ms("s"),
            0,
            now_ms,
        );
        let at_ms = match decision {
            ProgramDecision::Wait => now_ms + self.random.random_range(15..45),
            ProgramDecision::Refuse { retry_after_ms } => now_ms + retry_after_ms,
        };
        if at_ms > program.arrived_ms + GIVES_UP_MS {
            self.end(program, now_ms);
        } else {
            self.due.push((at_ms, program));
        }
    }
}

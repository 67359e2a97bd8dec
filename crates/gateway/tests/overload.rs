//! Overload: more programs than engines have slots, through many VMs.
//!
//! Guards against an overload that outlasts the burst of programs behind it.
//! When a burst fills all engines, calls that move to a shorter queue leave
//! their cached prompts behind. Each needs a prefill elsewhere and evicts other
//! prompts there, so all engines slow down and never catch up. Sessions that
//! stay where their prompts are cached let the engines recover.

mod overload {
    pub(crate) mod engine;
}

use std::collections::VecDeque;
use std::net::SocketAddr;

use lagoon_gateway::{
    place, AffinityTable, PlacementRequest, PlacementSettings, RequestMetadata, TargetEntry,
    TargetLoad, TargetStatus, Targets,
};
use overload::engine::{Engine, Job};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const SEED: u64 = 7;
const ENGINES: usize = 8;
const SLOTS: u32 = 6;
const VMS: usize = 24;
const STEP_MS: u64 = 5;
const GOSSIP_PERIOD_MS: u64 = 100;
const TURNS: u32 = 6;
const FIRST_TOKENS: u64 = 1_600;
const ADDED_TOKENS: u64 = 250;
const THINK_MS: u64 = 60;
const BURST_MS: std::ops::Range<u64> = 4_000..7_000;
const END_MS: u64 = 30_000;

/// Programs that start per second, normally and in the burst.
const NORMAL_PER_S: f64 = 22.0;
const BURST_PER_S: f64 = 60.0;

#[derive(Clone, Copy, Debug)]
struct Program {
    id: usize,
    turn: u32,
    started_ms: u64,
}

struct Vm {
    targets: Targets,
    affinity: AffinityTable,
}

/// Results of the programs that started after the burst.
#[derive(Debug)]
struct Outcome {
    mean_ms: f64,
    prefill_tokens_per_call: f64,
}

struct Simulation {
    now_ms: u64,
    random: Pcg64,
    engines: Vec<Engine>,
    vms: Vec<Vm>,
    due: VecDeque<(u64, Program)>,
    programs: usize,
    turns: u64,
    ended: Vec<(u64, u64)>,
    gossips_affinity: bool,
    settings: PlacementSettings,
}

fn entry(number: usize) -> TargetEntry {
    TargetEntry {
        id: compact_str::format_compact!("e{number}"),
        service: "s".into(),
        address: ([127, 0, 0, 1], 9_000 + number as u16).into(),
        domain: "d".into(),
        software_version: "v1".into(),
        slots: SLOTS,
        status: TargetStatus::Ready,
        started_unix_ms: None,
    }
}

fn metadata(program: usize, tokens: u64) -> RequestMetadata {
    RequestMetadata {
        program: Some(compact_str::format_compact!("p{program}")),
        session: Some(compact_str::format_compact!("p{program}")),
        prompt_tokens: tokens,
        prompt_parts: vec![(1, tokens)],
        ..RequestMetadata::default()
    }
}

impl Simulation {
    fn new(gossips_affinity: bool, settings: PlacementSettings) -> Simulation {
        let vm = || {
            let mut targets = Targets::default();
            (0..ENGINES).for_each(|number| targets.upsert(entry(number)));
            Vm {
                targets,
                affinity: AffinityTable::default(),
            }
        };
        Simulation {
            now_ms: 0,
            random: Pcg64::seed_from_u64(SEED),
            engines: (0..ENGINES).map(|_| Engine::new(SLOTS as usize)).collect(),
            vms: (0..VMS).map(|_| vm()).collect(),
            due: VecDeque::new(),
            programs: 0,
            turns: 0,
            ended: Vec::new(),
            gossips_affinity,
            settings,
        }
    }

    fn run(mut self) -> Outcome {
        while self.now_ms < END_MS {
            self.now_ms += STEP_MS;
            self.start_programs();
            self.send_due();
            self.step_engines();
            if self.now_ms.is_multiple_of(GOSSIP_PERIOD_MS) {
                self.gossip();
            }
        }
        let measured = self
            .ended
            .iter()
            .filter(|(started_ms, _)| *started_ms > 15_000);
        let times: Vec<f64> = measured
            .map(|(started_ms, end_ms)| (end_ms - started_ms) as f64)
            .collect();
        let prefilled: u64 = self
            .engines
            .iter()
            .map(|engine| engine.prefill_tokens)
            .sum();
        Outcome {
            mean_ms: times.iter().sum::<f64>() / times.len().max(1) as f64,
            prefill_tokens_per_call: prefilled as f64 / self.turns as f64,
        }
    }

    fn start_programs(&mut self) {
        let per_s = if BURST_MS.contains(&self.now_ms) {
            BURST_PER_S
        } else {
            NORMAL_PER_S
        };
        if self.random.random::<f64>() < per_s * STEP_MS as f64 / 1e3 {
            let program = Program {
                id: self.programs,
                turn: 0,
                started_ms: self.now_ms,
            };
            self.programs += 1;
            self.due.push_back((self.now_ms, program));
        }
    }

    fn send_due(&mut self) {
        for _ in 0..self.due.len() {
            let Some((at_ms, program)) = self.due.pop_front() else {
                return;
            };
            if at_ms <= self.now_ms {
                self.send(program);
            } else {
                self.due.push_back((at_ms, program));
            }
        }
    }

    fn send(&mut self, program: Program) {
        let vm = self.random.random_range(0..VMS);
        let tokens = FIRST_TOKENS + u64::from(program.turn) * ADDED_TOKENS;
        let metadata = metadata(program.id, tokens);
        let Vm { targets, affinity } = &mut self.vms[vm];
        let request = PlacementRequest {
            service: "s",
            metadata: &metadata,
            domain: "d",
            last_target: affinity
                .target_of(&metadata)
                .and_then(|tag| targets.key_by_hash(tag)),
            excluded_targets: &[],
            demand: lagoon_limits::Demand::Running,
            skips_limited: false,
            software: None,
            distant_targets: &[],
            random: self.random.random(),
        };
        let placement = place(&*targets, &self.settings, &request, self.now_ms);
        let key = placement.expect("all targets are ready").key;
        targets.request_started(key, self.now_ms);
        let target = targets.get(key).expect("is listed");
        affinity.record(&metadata, target.id_hash(), self.now_ms);
        let number = usize::from(target.entry.address.port() - 9_000);
        self.turns += 1;
        self.engines[number].send(Job {
            program: program.id,
            turn: program.turn,
            started_ms: program.started_ms,
            sent_ms: self.now_ms,
            tokens,
            vm,
            key,
        });
    }

    fn step_engines(&mut self) {
        for engine in &mut self.engines {
            let ended = engine.step(STEP_MS);
            let load = TargetLoad {
                running: engine.running() as u32,
                waiting: engine.waiting() as u32,
                slots: SLOTS,
                work_percent: None,
            };
            for job in ended {
                let targets = &mut self.vms[job.vm].targets;
                targets.request_ended(job.key);
                targets.record_load(job.key, load, self.now_ms);
                let elapsed_ms = self.now_ms - job.sent_ms;
                targets.record_response(job.key, true, elapsed_ms, self.now_ms);
                let program = Program {
                    id: job.program,
                    turn: job.turn + 1,
                    started_ms: job.started_ms,
                };
                if program.turn == TURNS {
                    self.ended.push((job.started_ms, self.now_ms));
                } else {
                    self.due.push_back((self.now_ms + THINK_MS, program));
                }
            }
        }
    }

    fn gossip(&mut self) {
        for sender in 0..VMS {
            let updates = self.vms[sender].targets.take_updates(self.now_ms);
            let affinity_updates = self.vms[sender].affinity.take_updates();
            let address = SocketAddr::from(([127, 0, 0, 1], sender as u16));
            for receiver in (0..VMS).filter(|receiver| *receiver != sender) {
                let vm = &mut self.vms[receiver];
                vm.targets.apply_updates(address, &updates, self.now_ms);
                if self.gossips_affinity {
                    vm.affinity
                        .apply_updates(address, &affinity_updates, self.now_ms);
                }
            }
        }
    }
}

#[test]
fn overload_ends_soon_after_the_burst() {
    let outcome = Simulation::new(true, PlacementSettings::default()).run();
    let low_prefill_weight = PlacementSettings {
        prefill_weight: 0.1,
        ..PlacementSettings::default()
    };
    let moving_sessions = Simulation::new(true, low_prefill_weight).run();
    let without_gossip = Simulation::new(false, PlacementSettings::default()).run();
    println!("{outcome:?}\nmoving sessions {moving_sessions:?}\nwithout gossip {without_gossip:?}");
    assert!(outcome.mean_ms < 0.7 * moving_sessions.mean_ms);
    assert!(outcome.mean_ms < 0.9 * without_gossip.mean_ms);
    assert!(outcome.prefill_tokens_per_call < 0.7 * moving_sessions.prefill_tokens_per_call);
}

//! Generated fleets in virtual time: VMs lose paths to targets, targets die, VMs are
//! killed and lose each other, while callers call all VMs.
//!
//! `SCHEDULE_SEED=7 SCHEDULES=1000 cargo test --release -p lagoon-paths --test fleet`
//! plays other schedules.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use compact_str::CompactString;
use lagoon_paths::{CarrierSettings, Carriers, Decline, Loss, PathSettings, Paths, Vm, Way};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const END_MS: u64 = 12_000;

/// Time after a change until calls must be served again.
const SETTLE_MS: u64 = 1_000;

const DEADLINE_MS: u64 = 2_000;
const HOP_MS: u64 = 1;
const WORK_MS: u64 = 20;
const PATIENCE_MS: u64 = 100;
const CALL_INTERVAL_MS: u64 = 15;
const CHECK_INTERVAL_MS: u64 = 100;

/// Time after which unacknowledged bytes end a connection.
const USER_TIMEOUT_MS: u64 = 800;
const EJECTION_MS: u64 = 500;
const MAX_ATTEMPTS: u32 = 6;
const MAX_CARRIERS: usize = 3;

/// Share of the calls that must be served where there is a way.
const SERVED_SHARE: f64 = 0.95;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Link {
    Works,
    Hangs,
    Reset,
    /// Open connections are reset when they are used.
    ResetOnUse,
    RefusesNew,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Target {
    Up,
    /// Refuses connections.
    Down,
    /// Answers nothing.
    Dark,
}

#[derive(Clone, Debug)]
enum Fault {
    Cut {
        vms: Vec<usize>,
        targets: Vec<usize>,
        link: Link,
    },
    Target {
        target: usize,
        state: Target,
    },
    /// The VM is killed; it is back, knowing nothing, at the end.
    Kill {
        vm: usize,
    },
    /// Two VMs don't reach each other.
    Part {
        vms: (usize, usize),
    },
}

struct VmState {
    domain: usize,
    is_alive: bool,
    paths: Paths<usize>,
    carriers: Carriers,
    ejected_until_ms: Vec<u64>,
    /// Kept connections by target.
    kept: Vec<u32>,
    /// Incremented by each kill, which ends the calls of the VM.
    life: u32,
}

struct Call {
    vm: usize,
    life: u32,
    is_repeatable: bool,
    started_ms: u64,
    attempts: u32,
    target: usize,
    excluded: Vec<usize>,
    asked: Vec<CompactString>,
    sent_ms: u64,
    may_have_run: bool,
    runs: u32,
    carrier: Option<usize>,
    outcome: Option<Outcome>,
    ended_ms: u64,
    /// Ends of earlier attempts are ignored.
    turn: u32,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Served,
    /// Said not to have run.
    Refused,
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    FaultBegins(usize),
    FaultEnds(usize),
    Check(usize),
    Begin(usize),
    /// The next target is chosen.
    Next(usize),
    /// A connection of a VM to the target is there, or not.
    Connected {
        call: usize,
        turn: u32,
        loss: Option<u8>,
    },
    Arrived {
        call: usize,
        turn: u32,
        by: usize,
    },
    Answered {
        call: usize,
        turn: u32,
        by: usize,
    },
    /// Looks whether the attempt is hopeless or its connection has ended.
    Look {
        call: usize,
        turn: u32,
    },
    AtCarrier {
        call: usize,
        turn: u32,
    },
    CarrierConnected {
        call: usize,
        turn: u32,
        loss: Option<u8>,
    },
    Declined {
        call: usize,
        turn: u32,
        kind: u8,
    },
    /// A background connection.
    Probed {
        vm: usize,
        life: u32,
        target: usize,
        is_check: bool,
        loss: Option<u8>,
    },
    ReachKnown {
        vm: usize,
        life: u32,
        target: usize,
        is_reached: bool,
    },
}

const TARGET_DOWN: u8 = 3;
const NO_PATH: u8 = 0;
const NO_ROOM: u8 = 1;
const ISOLATED: u8 = 2;

fn loss_of(code: u8) -> Loss {
    match code {
        0 => Loss::Refused,
        _ => Loss::TimedOut,
    }
}

struct Fleet {
    random: Pcg64Mcg,
    now_ms: u64,
    vms: Vec<VmState>,
    target_domains: Vec<usize>,
    targets: Vec<Target>,
    links: Vec<Vec<Link>>,
    parted: Vec<(usize, usize)>,
    faults: Vec<Fault>,
    active: Vec<usize>,
    calls: Vec<Call>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    changes_ms: Vec<u64>,
    carried: u64,
    /// Whether VMs carry for each other.
    carries: bool,
}

fn name(vm: usize) -> CompactString {
    format!("vm-{vm}").into()
}

fn domain_name(domain: usize) -> &'static str {
    ["d0", "d1", "d2"][domain]
}

impl Fleet {
    fn generate(seed: u64, carries: bool) -> Fleet {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let domains = random.random_range(1..=3);
        let vm_count = domains * random.random_range(2..=4);
        let target_count = random.random_range(3..=6);
        let mut fleet = Fleet {
            now_ms: 0,
            vms: (0..vm_count)
                .map(|vm| VmState::new(vm % domains, target_count))
                .collect(),
            target_domains: (0..target_count).map(|target| target % domains).collect(),
            targets: vec![Target::Up; target_count],
            links: vec![vec![Link::Works; target_count]; vm_count],
            parted: Vec::new(),
            faults: Vec::new(),
            active: Vec::new(),
            calls: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            changes_ms: Vec::new(),
            carried: 0,
            carries,
            random,
        };
        for vm in 0..vm_count {
            fleet.at(CHECK_INTERVAL_MS, Event::Check(vm));
            fleet.at(vm as u64, Event::Begin(vm));
        }
        let count = fleet.random.random_range(1..=4);
        for index in 0..count {
            let fault = fleet.generate_fault(domains);
            fleet.faults.push(fault);
            let begin_ms = fleet.random.random_range(1_000..8_000);
            let length_ms = fleet.random.random_range(500..4_000);
            fleet.at(begin_ms, Event::FaultBegins(index));
            fleet.at(begin_ms + length_ms, Event::FaultEnds(index));
        }
        fleet
    }

    fn generate_fault(&mut self, domains: usize) -> Fault {
        let vms = self.vms.len();
        let targets = self.targets.len();
        let link = [Link::Hangs, Link::Reset, Link::ResetOnUse, Link::RefusesNew]
            [self.random.random_range(0..4)];
        let domain = self.random.random_range(0..domains);
        let share = self.random.random_range(0.3..0.9);
        let kind = self.random.random_range(0..8);
        let mut some = |count: usize| -> Vec<usize> {
            let random = &mut self.random;
            (0..count).filter(|_| random.random_bool(share)).collect()
        };
        let (some_vms, some_targets) = (some(vms), some(targets));
        match kind {
            0..=2 => Fault::Cut {
                vms: some_vms,
                targets: (0..targets).collect(),
                link,
            },
            3 => Fault::Cut {
                vms: (0..vms).filter(|vm| vm % domains == domain).collect(),
                targets: (0..targets).collect(),
                link,
            },
            4 => Fault::Cut {
                vms: some_vms,
                targets: some_targets,
                link,
            },
            5 => Fault::Target {
                target: self.random.random_range(0..targets),
                state: [Target::Down, Target::Dark][self.random.random_range(0..2)],
            },
            6 => Fault::Kill {
                vm: self.random.random_range(0..vms),
            },
            _ => Fault::Part {
                vms: (
                    self.random.random_range(0..vms),
                    self.random.random_range(0..vms),
                ),
            },
        }
    }

    fn at(&mut self, in_ms: u64, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now_ms + in_ms, self.sequence, event)));
    }

    fn apply_faults(&mut self) {
        self.changes_ms.push(self.now_ms);
        let (vms, targets) = (self.vms.len(), self.targets.len());
        self.links = vec![vec![Link::Works; targets]; vms];
        self.targets = vec![Target::Up; targets];
        self.parted.clear();
        for index in self.active.clone() {
            match self.faults[index].clone() {
                Fault::Cut { vms, targets, link } => {
                    for (vm, target) in vms
                        .iter()
                        .flat_map(|vm| targets.iter().map(move |t| (*vm, *t)))
                    {
                        self.links[vm][target] = link;
                        if link == Link::Reset {
                            self.vms[vm].kept[target] = 0;
                        }
                    }
                }
                Fault::Target { target, state } => {
                    self.targets[target] = state;
                    if state == Target::Down {
                        self.vms.iter_mut().for_each(|vm| vm.kept[target] = 0);
                    }
                }
                Fault::Kill { .. } => {}
                Fault::Part { vms } => self.parted.push(vms),
            }
        }
    }

    fn begin_fault(&mut self, index: usize) {
        self.active.push(index);
        if let Fault::Kill { vm } = self.faults[index] {
            let domain = self.vms[vm].domain;
            let life = self.vms[vm].life + 1;
            let targets = self.targets.len();
            self.vms[vm] = VmState::new(domain, targets);
            self.vms[vm].life = life;
            self.vms[vm].is_alive = false;
        }
        self.apply_faults();
    }

    fn end_fault(&mut self, index: usize) {
        self.active.retain(|active| *active != index);
        if let Fault::Kill { vm } = self.faults[index] {
            self.vms[vm].is_alive = true;
        }
        self.apply_faults();
    }

    /// Whether messages pass between two VMs.
    fn is_joined(&self, one: usize, other: usize) -> bool {
        let is_parted = |pair: &(usize, usize)| *pair == (one, other) || *pair == (other, one);
        self.vms[one].is_alive && self.vms[other].is_alive && !self.parted.iter().any(is_parted)
    }

    /// How a connection of a VM to a target ends, and when.
    fn connect(&self, vm: usize, target: usize) -> (u64, Option<u8>) {
        match (self.links[vm][target], self.targets[target]) {
            (Link::Hangs, _) | (Link::Works, Target::Dark) => (PATIENCE_MS, Some(1)),
            (Link::Works, Target::Up) => (2 * HOP_MS, None),
            _ => (2 * HOP_MS, Some(0)),
        }
    }

    /// Whether a request on an open connection gets to the target, and its answer back.
    fn passes(&self, vm: usize, target: usize) -> bool {
        matches!(self.links[vm][target], Link::Works | Link::RefusesNew)
            && self.targets[target] == Target::Up
    }

    /// Whether a VM can serve a call, by itself or through another one.
    fn has_way(&self, vm: usize) -> bool {
        let reaches = |vm: usize| {
            let mut targets = 0..self.targets.len();
            targets.any(|target| self.connect(vm, target).1.is_none())
        };
        let mut others = 0..self.vms.len();
        reaches(vm)
            || others.any(|other| other != vm && self.is_joined(vm, other) && reaches(other))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::FaultBegins(index) => self.begin_fault(index),
            Event::FaultEnds(index) => self.end_fault(index),
            Event::Check(vm) => self.check(vm),
            Event::Begin(vm) => self.begin(vm),
            Event::Next(call) => self.next(call),
            Event::Connected { call, turn, loss } if self.is_current(call, turn) => {
                self.connected(call, loss);
            }
            Event::Arrived { call, turn, by } => self.arrived(call, turn, by),
            Event::Answered { call, turn, by } if self.is_current(call, turn) => {
                self.answered(call, by);
            }
            Event::Look { call, turn } if self.is_current(call, turn) => self.look(call),
            Event::AtCarrier { call, turn } if self.is_current(call, turn) => self.at_carrier(call),
            Event::CarrierConnected { call, turn, loss } if self.is_current(call, turn) => {
                self.carrier_connected(call, loss);
            }
            Event::Declined { call, turn, kind } if self.is_current(call, turn) => {
                self.declined(call, kind);
            }
            Event::Probed {
                vm,
                life,
                target,
                is_check,
                loss,
            } if self.vms[vm].life == life => self.probed(vm, target, is_check, loss),
            Event::ReachKnown {
                vm,
                life,
                target,
                is_reached,
            } if self.vms[vm].life == life => self.record_reach(vm, target, is_reached),
            _ => {}
        }
    }

    /// Whether an event is of the attempt that a call makes now.
    fn is_current(&mut self, call: usize, turn: u32) -> bool {
        let now_ms = self.now_ms;
        let Call {
            vm,
            life,
            started_ms,
            ..
        } = self.calls[call];
        if self.vms[vm].life != life {
            let state = &mut self.calls[call];
            state.outcome.get_or_insert(Outcome::Unknown);
            return false;
        }
        if now_ms >= started_ms + DEADLINE_MS && self.calls[call].outcome.is_none() {
            let outcome = match self.calls[call].may_have_run {
                true => Outcome::Unknown,
                false => Outcome::Refused,
            };
            self.finish(call, outcome);
        }
        self.calls[call].outcome.is_none() && self.calls[call].turn == turn
    }

    fn finish(&mut self, call: usize, outcome: Outcome) {
        self.calls[call].outcome = Some(outcome);
        self.calls[call].ended_ms = self.now_ms;
    }

    fn begin(&mut self, vm: usize) {
        if self.now_ms > END_MS {
            return;
        }
        let pause_ms = self.random.random_range(1..2 * CALL_INTERVAL_MS);
        self.at(pause_ms, Event::Begin(vm));
        if !self.vms[vm].is_alive {
            return;
        }
        let call = Call {
            vm,
            life: self.vms[vm].life,
            is_repeatable: self.random.random_bool(0.5),
            started_ms: self.now_ms,
            attempts: 0,
            target: 0,
            excluded: Vec::new(),
            asked: Vec::new(),
            sent_ms: 0,
            may_have_run: false,
            runs: 0,
            carrier: None,
            outcome: None,
            ended_ms: 0,
            turn: 0,
        };
        self.calls.push(call);
        self.at(0, Event::Next(self.calls.len() - 1));
        // Ends the call at its deadline.
        let last = self.calls.len() - 1;
        self.at(
            DEADLINE_MS,
            Event::Look {
                call: last,
                turn: u32::MAX,
            },
        );
    }

    fn next(&mut self, call: usize) {
        let vm = self.calls[call].vm;
        let mut candidates: Vec<usize> = (0..self.targets.len())
            .filter(|target| !self.calls[call].excluded.contains(target))
            .collect();
        let is_healthy = |target: &usize| self.now_ms >= self.vms[vm].ejected_until_ms[*target];
        if candidates.iter().any(is_healthy) {
            candidates.retain(is_healthy);
        }
        if candidates.is_empty() || self.calls[call].attempts >= MAX_ATTEMPTS {
            let outcome = match self.calls[call].may_have_run {
                true => Outcome::Unknown,
                false => Outcome::Refused,
            };
            self.finish(call, outcome);
            return;
        }
        let target = candidates[self.random.random_range(0..candidates.len())];
        let now_ms = self.now_ms;
        {
            let call = &mut self.calls[call];
            call.target = target;
            call.attempts += 1;
            call.turn += 1;
            call.asked.clear();
            call.carrier = None;
        }
        let turn = self.calls[call].turn;
        let way = self.vms[vm].paths.way(target);
        if way != Way::Direct && self.vms[vm].paths.take_probe(target, now_ms) {
            self.probe(vm, target, false);
        }
        let trusts_kept = way == Way::Kept || self.vms[vm].paths.trusts_kept(target, now_ms);
        if way != Way::Carried && trusts_kept && self.vms[vm].kept[target] > 0 {
            self.vms[vm].kept[target] -= 1;
            self.send(call);
        } else if way == Way::Direct {
            let (in_ms, loss) = self.connect(vm, target);
            self.at(in_ms, Event::Connected { call, turn, loss });
        } else {
            self.carry(call);
        }
    }

    fn connected(&mut self, call: usize, loss: Option<u8>) {
        let Call { vm, target, .. } = self.calls[call];
        let now_ms = self.now_ms;
        match loss {
            None => {
                self.vms[vm].paths.record_connected(target, now_ms);
                self.send(call);
            }
            Some(code) => {
                self.vms[vm]
                    .paths
                    .record_failed(target, loss_of(code), now_ms);
                self.carry(call);
            }
        }
    }

    fn send(&mut self, call: usize) {
        let Call {
            vm, target, turn, ..
        } = self.calls[call];
        let now_ms = self.now_ms;
        self.calls[call].sent_ms = now_ms;
        self.calls[call].may_have_run = true;
        let domain = self.target_domains[target] as u64;
        self.vms[vm].paths.attempt_started(target, domain, now_ms);
        self.at(HOP_MS, Event::Arrived { call, turn, by: vm });
        self.at(50, Event::Look { call, turn });
    }

    fn arrived(&mut self, call: usize, turn: u32, by: usize) {
        let target = self.calls[call].target;
        if self.calls[call].turn != turn || !self.passes(by, target) {
            return;
        }
        self.calls[call].runs += 1;
        self.at(WORK_MS, Event::Answered { call, turn, by });
    }

    fn answered(&mut self, call: usize, by: usize) {
        let Call {
            vm, target, turn, ..
        } = self.calls[call];
        // The answer is lost if a link broke meanwhile; `look` finds out.
        if !self.passes(by, target) || (by != vm && !self.is_joined(vm, by)) {
            self.at(50, Event::Look { call, turn });
            return;
        }
        let now_ms = self.now_ms;
        self.vms[by].paths.record_bytes(target, now_ms);
        self.vms[by].kept[target] += 1;
        if by == vm {
            self.vms[vm].paths.attempt_ended(target);
        } else {
            self.vms[by].paths.attempt_ended(target);
            self.vms[vm].carriers.ended(&name(by));
            let domain = domain_name(self.vms[by].domain);
            self.vms[vm].carriers.record_served(domain);
            self.record_reach(vm, target, true);
            self.carried += 1;
        }
        self.finish(call, Outcome::Served);
    }

    fn record_reach(&mut self, vm: usize, target: usize, is_reached: bool) {
        let now_ms = self.now_ms;
        match is_reached {
            true => {
                self.vms[vm].paths.record_reached_elsewhere(target, now_ms);
            }
            false => {
                self.vms[vm].paths.record_target_down(target, now_ms);
            }
        }
    }

    /// Whether an attempt in flight has ended without an answer.
    fn look(&mut self, call: usize) {
        let Call {
            vm,
            target,
            turn,
            sent_ms,
            carrier,
            is_repeatable,
            ..
        } = self.calls[call];
        let by = carrier.unwrap_or(vm);
        let now_ms = self.now_ms;
        let is_reset = matches!(self.links[by][target], Link::Reset | Link::ResetOnUse)
            || self.targets[target] == Target::Down
            || !self.vms[by].is_alive;
        let is_hopeless = is_repeatable && self.vms[by].paths.is_hopeless(target, sent_ms, now_ms);
        if !is_reset && !is_hopeless && now_ms < sent_ms + USER_TIMEOUT_MS {
            self.at(50, Event::Look { call, turn });
            return;
        }
        self.vms[by].paths.attempt_ended(target);
        if !is_hopeless && self.vms[by].is_alive {
            self.vms[by].paths.record_broken(target, now_ms);
            self.probe(by, target, true);
        }
        if by != vm {
            self.vms[vm].carriers.ended(&name(by));
        }
        if !is_repeatable {
            self.finish(call, Outcome::Unknown);
            return;
        }
        if !is_hopeless {
            self.vms[vm].ejected_until_ms[target] = now_ms + EJECTION_MS;
        }
        self.at(0, Event::Next(call));
    }

    fn carry(&mut self, call: usize) {
        let Call {
            vm, target, turn, ..
        } = self.calls[call];
        let own = domain_name(self.vms[vm].domain);
        let names: Vec<CompactString> = (0..self.vms.len()).map(name).collect();
        let others = (0..self.vms.len()).filter(|other| *other != vm);
        let vms = others.map(|other| Vm {
            name: &names[other],
            domain: domain_name(self.vms[other].domain),
        });
        let random = self.random.random();
        let asked = &self.calls[call].asked;
        let target_domain = domain_name(self.target_domains[target]);
        let is_allowed = self.carries && asked.len() < MAX_CARRIERS;
        let chosen = is_allowed.then(|| {
            let carriers = &self.vms[vm].carriers;
            carriers.choose(vms, asked, own, target_domain, random, self.now_ms)
        });
        let Some(chosen) = chosen.flatten() else {
            self.not_sent(call);
            return;
        };
        let carrier = names
            .iter()
            .position(|name| name == chosen.name)
            .expect("known");
        self.calls[call].asked.push(chosen.name.into());
        self.calls[call].carrier = Some(carrier);
        self.vms[vm].carriers.started(&name(carrier));
        match self.is_joined(vm, carrier) {
            true => self.at(HOP_MS, Event::AtCarrier { call, turn }),
            // No connection to it is established.
            false => self.at(
                PATIENCE_MS,
                Event::Declined {
                    call,
                    turn,
                    kind: NO_ROOM,
                },
            ),
        }
    }

    /// The target can't be reached: another one is tried.
    fn not_sent(&mut self, call: usize) {
        let Call { vm, target, .. } = self.calls[call];
        self.vms[vm].ejected_until_ms[target] = self.now_ms + EJECTION_MS;
        self.calls[call].excluded.push(target);
        self.at(0, Event::Next(call));
    }

    /// Why a VM without a path to a target doesn't carry.
    fn no_path(&self, vm: usize) -> u8 {
        match self.vms[vm].paths.is_cut_off() {
            true => ISOLATED,
            false => NO_PATH,
        }
    }

    fn at_carrier(&mut self, call: usize) {
        let Call {
            target,
            turn,
            carrier,
            ..
        } = self.calls[call];
        let by = carrier.expect("handed over");
        let now_ms = self.now_ms;
        let way = self.vms[by].paths.way(target);
        if way != Way::Direct && self.vms[by].paths.take_probe(target, now_ms) {
            self.probe(by, target, false);
        }
        if way != Way::Carried && self.vms[by].kept[target] > 0 {
            self.vms[by].kept[target] -= 1;
            self.carrier_connected(call, None);
        } else if way == Way::Direct {
            let (in_ms, loss) = self.connect(by, target);
            self.at(in_ms, Event::CarrierConnected { call, turn, loss });
        } else {
            let kind = self.no_path(by);
            self.at(HOP_MS, Event::Declined { call, turn, kind });
        }
    }

    fn carrier_connected(&mut self, call: usize, loss: Option<u8>) {
        let Call {
            target,
            turn,
            carrier,
            ..
        } = self.calls[call];
        let by = carrier.expect("handed over");
        let now_ms = self.now_ms;
        let Some(code) = loss else {
            self.vms[by].paths.record_connected(target, now_ms);
            let domain = self.target_domains[target] as u64;
            self.vms[by].paths.attempt_started(target, domain, now_ms);
            self.calls[call].sent_ms = now_ms;
            self.calls[call].may_have_run = true;
            self.at(HOP_MS, Event::Arrived { call, turn, by });
            self.at(50, Event::Look { call, turn });
            return;
        };
        self.vms[by]
            .paths
            .record_failed(target, loss_of(code), now_ms);
        let kind = match self.vms[by].paths.reaches_others(target, now_ms) {
            true => TARGET_DOWN,
            false => self.no_path(by),
        };
        self.at(HOP_MS, Event::Declined { call, turn, kind });
    }

    fn declined(&mut self, call: usize, kind: u8) {
        let Call {
            vm,
            target,
            carrier,
            ..
        } = self.calls[call];
        let by = carrier.expect("handed over");
        let now_ms = self.now_ms;
        self.vms[vm].carriers.ended(&name(by));
        if kind == TARGET_DOWN {
            self.record_reach(vm, target, false);
            self.not_sent(call);
            return;
        }
        let decline = match kind {
            NO_PATH => Decline::NoPath,
            ISOLATED => Decline::Isolated,
            _ => Decline::NoRoom,
        };
        let declined = Vm {
            name: &name(by),
            domain: domain_name(self.vms[by].domain),
        };
        self.vms[vm]
            .carriers
            .record_declined(declined, decline, now_ms);
        self.calls[call].turn += 1;
        self.calls[call].carrier = None;
        self.carry(call);
    }

    fn check(&mut self, vm: usize) {
        if self.now_ms > END_MS {
            return;
        }
        self.at(CHECK_INTERVAL_MS, Event::Check(vm));
        if !self.vms[vm].is_alive {
            return;
        }
        let now_ms = self.now_ms;
        for target in self.vms[vm].paths.take_due_checks(now_ms) {
            self.probe(vm, target, true);
        }
        let random = self.random.random();
        if let Some(target) = self.vms[vm].paths.take_vm_probe(random, now_ms) {
            self.probe(vm, target, false);
        }
    }

    fn probe(&mut self, vm: usize, target: usize, is_check: bool) {
        let (in_ms, loss) = self.connect(vm, target);
        let life = self.vms[vm].life;
        self.at(
            in_ms,
            Event::Probed {
                vm,
                life,
                target,
                is_check,
                loss,
            },
        );
    }

    fn probed(&mut self, vm: usize, target: usize, is_check: bool, loss: Option<u8>) {
        let now_ms = self.now_ms;
        let Some(code) = loss else {
            self.vms[vm].paths.record_connected(target, now_ms);
            self.vms[vm].kept[target] += 1;
            return;
        };
        self.vms[vm]
            .paths
            .record_failed(target, loss_of(code), now_ms);
        if !is_check || !self.carries {
            return;
        }
        // Asks the first VM that isn't cut off, as the choice is tested by the calls.
        let others = (0..self.vms.len()).filter(|other| *other != vm);
        let answers: BTreeMap<bool, usize> = others
            .filter(|other| self.is_joined(vm, *other) && !self.vms[*other].paths.is_lost(target))
            .map(|other| (self.connect(other, target).1.is_none(), other))
            .collect();
        if let Some(is_reached) = answers.keys().next_back().copied() {
            let life = self.vms[vm].life;
            self.at(
                2 * HOP_MS,
                Event::ReachKnown {
                    vm,
                    life,
                    target,
                    is_reached,
                },
            );
        }
    }

    /// Calls that began when nothing had changed for a while, nor did until they ended,
    /// and that could be served: their number, and those served.
    fn settled(&self, had_way: &[bool]) -> (usize, usize) {
        let is_settled = |call: &Call| {
            let end_ms = call.ended_ms.max(call.started_ms);
            self.changes_ms
                .iter()
                .all(|at_ms| call.started_ms >= at_ms + SETTLE_MS || end_ms < *at_ms)
        };
        let settled = self.calls.iter().zip(had_way);
        let counted = settled.filter(|(call, had_way)| **had_way && is_settled(call));
        counted.fold((0, 0), |(calls, served), (call, _)| {
            (
                calls + 1,
                served + usize::from(call.outcome == Some(Outcome::Served)),
            )
        })
    }
}

impl VmState {
    fn new(domain: usize, targets: usize) -> VmState {
        VmState {
            domain,
            is_alive: true,
            paths: Paths::new(PathSettings::default()),
            carriers: Carriers::new(CarrierSettings::default()),
            ejected_until_ms: vec![0; targets],
            kept: vec![0; targets],
            life: 0,
        }
    }
}

/// Plays a schedule; returns the settled calls that could be served, those that were, and
/// the carried ones.
fn play(seed: u64, carries: bool) -> (usize, usize, u64) {
    let mut fleet = Fleet::generate(seed, carries);
    let mut had_way = Vec::new();
    while let Some(Reverse((at_ms, _, event))) = fleet.events.pop() {
        if at_ms > END_MS + DEADLINE_MS {
            break;
        }
        fleet.now_ms = at_ms;
        fleet.handle(event);
        while had_way.len() < fleet.calls.len() {
            had_way.push(fleet.has_way(fleet.calls[had_way.len()].vm));
        }
    }
    for call in &fleet.calls {
        assert!(
            call.is_repeatable || call.runs <= 1,
            "seed {seed}: ran twice"
        );
        let is_refused = call.outcome == Some(Outcome::Refused);
        assert!(
            !is_refused || call.runs == 0,
            "seed {seed}: refused and has run"
        );
    }
    let (calls, served) = fleet.settled(&had_way);
    (calls, served, fleet.carried)
}

fn from_environment(key: &str, default: u64) -> u64 {
    std::env::var(key).map_or(default, |value| value.parse().expect("number"))
}

// Guards against callers that are refused, or wait, at a VM without a path while another
// VM could serve them; and against carried calls that run twice.
#[test]
fn calls_are_served_where_there_is_a_way() {
    let first = from_environment("SCHEDULE_SEED", 1);
    let count = from_environment("SCHEDULES", 60);
    let (mut calls, mut served, mut carried) = (0, 0, 0);
    for seed in first..first + count {
        let played = play(seed, true);
        let share = played.1 as f64 / played.0.max(1) as f64;
        assert!(
            share >= SERVED_SHARE,
            "seed {seed}: {} of {}",
            played.1,
            played.0
        );
        calls += played.0;
        served += played.1;
        carried += played.2;
    }
    println!("{served} of {calls} served, {carried} calls carried");
    assert!(carried > 200 * count, "{carried} calls carried");
}

// Shows that the schedules bring the case: without carriers many calls aren't served.
#[test]
fn schedules_need_carriers() {
    let count = from_environment("SCHEDULES", 60);
    let unserved = (1..=count).filter(|seed| {
        let (calls, served, _) = play(*seed, false);
        (served as f64) < SERVED_SHARE * calls as f64
    });
    let unserved = unserved.count() as u64;
    assert!(unserved > count / 4, "{unserved} of {count}");
}

//! Faults, and generated plans of programs and faults.

use lagoon_testkit::{Simulation, StoreMode, TargetMode};
use proptest::prelude::{any, prop, Just, Strategy};
use proptest::prop_oneof;

/// Type of a fault; a VM or target is given by its index, message loss in percent.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FaultKind {
    NoFault,
    Kill(usize),
    Pause(usize),
    Stop(usize),
    Store(StoreMode),
    Target(usize, TargetMode),
    MessageLoss(u32),
    Isolate(usize),
    /// The VM reaches no target.
    CutPaths(usize),
}

/// Two simultaneous faults and their duration in steps of the callers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    pub(crate) first: FaultKind,
    pub(crate) second: FaultKind,
    pub(crate) steps: u64,
}

/// Schedule of one simulation.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    /// Kinds of the calls of each program, from 0 to 3.
    pub(crate) programs: Vec<Vec<u8>>,
    pub(crate) faults: Vec<Fault>,
}

const VMS: [&str; 3] = ["vm1", "vm2", "vm3"];
const TARGETS: [&str; 6] = [
    "engine-1", "engine-2", "desk-1", "desk-2", "pay-1", "look-1",
];

impl FaultKind {
    fn begin(self, sim: &mut Simulation) {
        match self {
            FaultKind::NoFault => {}
            FaultKind::Kill(vm) => sim.kill(VMS[vm]),
            FaultKind::Pause(vm) => sim.pause(VMS[vm]),
            FaultKind::Stop(vm) => sim.stop(VMS[vm]),
            FaultKind::Store(mode) => sim.store_mode = mode,
            FaultKind::Target(target, mode) => sim.set_target_mode(TARGETS[target], mode),
            FaultKind::MessageLoss(percent) => sim.message_loss_percent = percent,
            FaultKind::Isolate(vm) => {
                sim.partition(VMS[vm], VMS[(vm + 1) % 3]);
                sim.partition(VMS[vm], VMS[(vm + 2) % 3]);
            }
            FaultKind::CutPaths(vm) => sim.cut_paths(VMS[vm], &TARGETS),
        }
    }

    fn end(self, sim: &mut Simulation) {
        match self {
            FaultKind::NoFault => {}
            FaultKind::Kill(vm) | FaultKind::Stop(vm) => {
                if sim.vm(VMS[vm]).is_none() {
                    sim.start(VMS[vm]);
                }
            }
            FaultKind::Pause(vm) => sim.resume(VMS[vm]),
            FaultKind::Store(_) => sim.store_mode = StoreMode::Up,
            FaultKind::Target(target, _) => sim.set_target_mode(TARGETS[target], TargetMode::Ok),
            FaultKind::MessageLoss(_) => sim.message_loss_percent = 0,
            FaultKind::Isolate(_) => sim.heal(),
            FaultKind::CutPaths(_) => sim.restore_paths(),
        }
    }
}

impl Fault {
    pub(crate) fn begin(&self, sim: &mut Simulation) {
        self.first.begin(sim);
        self.second.begin(sim);
    }

    pub(crate) fn end(&self, sim: &mut Simulation) {
        self.first.end(sim);
        self.second.end(sim);
    }
}

fn fault_kind() -> impl Strategy<Value = FaultKind> {
    let store = prop::sample::select(vec![StoreMode::Down, StoreMode::LoseReplies]);
    let mode = prop::sample::select(vec![
        TargetMode::RefuseConnection,
        TargetMode::NotRun,
        TargetMode::Disconnect,
        TargetMode::Hang,
        TargetMode::DuplicateEvents,
    ]);
    prop_oneof![
        Just(FaultKind::NoFault),
        (0usize..3).prop_map(FaultKind::Kill),
        (0usize..3).prop_map(FaultKind::Pause),
        (0usize..3).prop_map(FaultKind::Stop),
        store.prop_map(FaultKind::Store),
        (0usize..6, mode).prop_map(|(target, mode)| FaultKind::Target(target, mode)),
        (10u32..60).prop_map(FaultKind::MessageLoss),
        (0usize..3).prop_map(FaultKind::Isolate),
        (0usize..3).prop_map(FaultKind::CutPaths),
    ]
}

/// Generates plans of one to four programs and one to six pairs of faults.
pub(crate) fn plan() -> impl Strategy<Value = Plan> {
    let calls = prop::collection::vec(0u8..4, 3..10);
    let programs = prop::collection::vec(calls, 1..5);
    let fault = (fault_kind(), fault_kind(), 3u64..60).prop_map(|(first, second, steps)| Fault {
        first,
        second,
        steps,
    });
    let faults = prop::collection::vec(fault, 1..7);
    (any::<u64>(), programs, faults).prop_map(|(seed, programs, faults)| Plan {
        seed,
        programs,
        faults,
    })
}

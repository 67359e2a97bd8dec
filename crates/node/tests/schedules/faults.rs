//! Faults and generated plans of them.

use lagoon_testkit::{StoreMode, TargetMode, World};
use proptest::prelude::{any, prop, Just, Strategy};
use proptest::prop_oneof;

/// Type of a fault; a VM or target is given by its index.
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
}

/// Two simultaneous faults and their duration in steps.
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
    pub(crate) programs: Vec<Vec<u8>>,
    pub(crate) faults: Vec<Fault>,
}

const VMS: [&str; 3] = ["vm1", "vm2", "vm3"];
const TARGETS: [&str; 6] = [
    "engine-1", "engine-2", "desk-1", "desk-2", "pay-1", "look-1",
];

impl FaultKind {
    fn begin(self, world: &mut World) {
        match self {
            FaultKind::NoFault => {}
            FaultKind::Kill(vm) => world.kill(VMS[vm]),
            FaultKind::Pause(vm) => world.pause(VMS[vm]),
            FaultKind::Stop(vm) => world.stop(VMS[vm]),
            FaultKind::Store(mode) => world.store_mode = mode,
            FaultKind::Target(target, mode) => world.set_target(TARGETS[target], mode),
            FaultKind::MessageLoss(percent) => world.lost_percent = percent,
            FaultKind::Isolate(vm) => {
                world.cut(VMS[vm], VMS[(vm + 1) % 3]);
                world.cut(VMS[vm], VMS[(vm + 2) % 3]);
            }
        }
    }

    fn end(self, world: &mut World) {
        match self {
            FaultKind::NoFault => {}
            FaultKind::Kill(vm) | FaultKind::Stop(vm) => {
                if world.host(VMS[vm]).is_none() {
                    world.start(VMS[vm]);
                }
            }
            FaultKind::Pause(vm) => world.resume(VMS[vm]),
            FaultKind::Store(_) => world.store_mode = StoreMode::Up,
            FaultKind::Target(target, _) => world.set_target(TARGETS[target], TargetMode::Ok),
            FaultKind::MessageLoss(_) => world.lost_percent = 0,
            FaultKind::Isolate(_) => world.heal(),
        }
    }
}

impl Fault {
    pub(crate) fn begin(&self, world: &mut World) {
        self.first.begin(world);
        self.second.begin(world);
    }

    pub(crate) fn end(&self, world: &mut World) {
        self.first.end(world);
        self.second.end(world);
    }
}

fn fault_kind() -> impl Strategy<Value = FaultKind> {
    let store = prop::sample::select(vec![StoreMode::Down, StoreMode::LoseReplies]);
    let mode = prop::sample::select(vec![
        TargetMode::Refuse,
        TargetMode::NotRun,
        TargetMode::Break,
        TargetMode::Hang,
        TargetMode::Double,
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
    ]
}

/// Generates plans of one to four programs and one to six faults.
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

//! Faults and the plans that hold them.

use lagoon_testkit::{StoreMode, TargetMode, World};
use proptest::prelude::{any, prop, Just, Strategy};
use proptest::prop_oneof;

/// One fault.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Kind {
    Nothing,
    Kill(usize),
    Pause(usize),
    Stop(usize),
    Store(StoreMode),
    Target(usize, TargetMode),
    Loss(u32),
    Cut(usize),
}

/// Fault with the time it lasts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    pub(crate) kind: Kind,
    pub(crate) also: Kind,
    pub(crate) steps: u64,
}

/// Schedule of one world.
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

impl Kind {
    fn begin(self, world: &mut World) {
        match self {
            Kind::Nothing => {}
            Kind::Kill(vm) => world.kill(VMS[vm]),
            Kind::Pause(vm) => world.pause(VMS[vm]),
            Kind::Stop(vm) => world.stop(VMS[vm]),
            Kind::Store(mode) => world.store_mode = mode,
            Kind::Target(target, mode) => world.set_target(TARGETS[target], mode),
            Kind::Loss(percent) => world.lost_percent = percent,
            Kind::Cut(vm) => {
                world.cut(VMS[vm], VMS[(vm + 1) % 3]);
                world.cut(VMS[vm], VMS[(vm + 2) % 3]);
            }
        }
    }

    fn end(self, world: &mut World) {
        match self {
            Kind::Nothing => {}
            Kind::Kill(vm) | Kind::Stop(vm) => {
                if world.host(VMS[vm]).is_none() {
                    world.start(VMS[vm]);
                }
            }
            Kind::Pause(vm) => world.resume(VMS[vm]),
            Kind::Store(_) => world.store_mode = StoreMode::Up,
            Kind::Target(target, _) => world.set_target(TARGETS[target], TargetMode::Ok),
            Kind::Loss(_) => world.lost_percent = 0,
            Kind::Cut(_) => world.heal(),
        }
    }
}

impl Fault {
    pub(crate) fn begin(&self, world: &mut World) {
        self.kind.begin(world);
        self.also.begin(world);
    }

    pub(crate) fn end(&self, world: &mut World) {
        self.kind.end(world);
        self.also.end(world);
    }
}

fn kind() -> impl Strategy<Value = Kind> {
    let store = prop::sample::select(vec![StoreMode::Down, StoreMode::LoseReplies]);
    let mode = prop::sample::select(vec![
        TargetMode::Refuse,
        TargetMode::NotRun,
        TargetMode::Break,
        TargetMode::Hang,
        TargetMode::Double,
    ]);
    prop_oneof![
        Just(Kind::Nothing),
        (0usize..3).prop_map(Kind::Kill),
        (0usize..3).prop_map(Kind::Pause),
        (0usize..3).prop_map(Kind::Stop),
        store.prop_map(Kind::Store),
        (0usize..6, mode).prop_map(|(target, mode)| Kind::Target(target, mode)),
        (10u32..60).prop_map(Kind::Loss),
        (0usize..3).prop_map(Kind::Cut),
    ]
}

/// Plans of a few programs and a few faults.
pub(crate) fn plan() -> impl Strategy<Value = Plan> {
    let calls = prop::collection::vec(0u8..4, 3..10);
    let programs = prop::collection::vec(calls, 1..5);
    let fault =
        (kind(), kind(), 3u64..60).prop_map(|(kind, also, steps)| Fault { kind, also, steps });
    let faults = prop::collection::vec(fault, 1..7);
    (any::<u64>(), programs, faults).prop_map(|(seed, programs, faults)| Plan {
        seed,
        programs,
        faults,
    })
}

//! Generated schedules of callers and faults, under virtual time.
//!
//! Callers run their calls one after the other, repeat what may be repeated
//! through any VM, and meanwhile VMs die, freeze and stop, the store goes
//! down or loses replies, targets break and messages are lost.

mod schedules {
    pub(crate) mod callers;
    pub(crate) mod checks;
    pub(crate) mod faults;
}

use lagoon_testkit::{StoreMode, World};
use proptest::prelude::{prop_assert, proptest, ProptestConfig, TestCaseError};
use proptest::test_runner::{RngAlgorithm, RngSeed};
use schedules::callers::Callers;
use schedules::checks::check;
use schedules::faults::{plan, Plan};

const VMS: [&str; 3] = ["vm1", "vm2", "vm3"];
const STEP_MS: u64 = 100;
/// Time after the last fault in which everything must come to an end.
const CALM_MS: u64 = 60_000;

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: cases(),
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 60,
        ..ProptestConfig::default()
    }
}

/// Schedules of a run; more by `SCHEDULES=N`.
fn cases() -> u32 {
    let given = std::env::var("SCHEDULES").ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(96)
}

fn run(plan: &Plan) -> Result<(), TestCaseError> {
    let mut world = World::new(plan.seed);
    world.jitter_us = 3_000;
    for vm in VMS {
        world.start(vm);
    }
    world.run_ms(2_000);
    let mut callers = Callers::new(plan);
    for fault in &plan.faults {
        fault.begin(&mut world);
        for _ in 0..fault.steps {
            callers.step(&mut world);
            world.run_ms(STEP_MS);
        }
        fault.end(&mut world);
    }
    calm(&mut world);
    for _ in 0..CALM_MS / STEP_MS {
        callers.step(&mut world);
        world.run_ms(STEP_MS);
        if callers.are_done() {
            break;
        }
    }
    prop_assert!(callers.are_done(), "{}", callers.describe(&world));
    check(&world, &callers)
}

/// Ends all faults.
fn calm(world: &mut World) {
    world.store_mode = StoreMode::Up;
    world.lost_percent = 0;
    world.heal();
    for target in [
        "engine-1", "engine-2", "desk-1", "desk-2", "pay-1", "look-1",
    ] {
        world.set_target(target, lagoon_testkit::TargetMode::Ok);
    }
    for vm in VMS {
        world.resume(vm);
        if world.host(vm).is_none() {
            world.start(vm);
        }
    }
}

proptest! {
    #![proptest_config(config(1))]

    /// Order, at most once, budget, whole answers and one owner, under any
    /// schedule.
    #[test]
    fn run_any_schedule_holds(plan in plan()) {
        run(&plan)?;
    }
}

#[test]
fn tmp_debug() {
    use lagoon_testkit::TargetMode;
    use schedules::faults::{Fault, Kind};
    let f = |kind, also, steps| Fault { kind, also, steps };
    use Kind::*;
    let _ = TargetMode::Ok;
    let plan = Plan {
        seed: 17568724534798375933,
        programs: vec![
            vec![2, 2, 3, 2, 1, 3, 2, 0, 1],
            vec![0, 3, 1],
            vec![0, 3, 3],
            vec![2, 1, 1, 0, 0, 2],
        ],
        faults: vec![
            f(Cut(2), Store(StoreMode::Down), 46),
            f(Stop(2), Loss(21), 6),
            f(Kill(1), Pause(0), 31),
            f(Loss(27), Cut(0), 40),
            f(Store(StoreMode::LoseReplies), Nothing, 38),
            f(Stop(1), Cut(0), 17),
        ],
    };
    let mut world = World::new(plan.seed);
    world.jitter_us = 3_000;
    for vm in VMS {
        world.start(vm);
    }
    world.run_ms(2_000);
    let mut callers = Callers::new(&plan);
    for fault in &plan.faults {
        fault.begin(&mut world);
        for _ in 0..fault.steps {
            callers.step(&mut world);
            world.run_ms(STEP_MS);
        }
        fault.end(&mut world);
    }
    calm(&mut world);
    for n in 0..600 {
        callers.step(&mut world);
        world.run_ms(STEP_MS);
        if n % 10 == 0 {
            println!("{n} {}", callers.describe(&world));
        }
        if callers.are_done() {
            break;
        }
    }
    for (key, value) in &world.table.rows {
        if !key.starts_with("sheet") {
            println!("{key} = {}", String::from_utf8_lossy(value));
        }
    }
    for (_, host) in world.hosts() {
        println!("{:#?}", host.node);
    }
}

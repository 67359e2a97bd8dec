//! Generated schedules of callers and faults, under virtual time.
//!
//! Callers run their calls one after the other, repeat what may be repeated
//! through any VM, and meanwhile VMs die, freeze and stop, the store goes
//! down or loses replies, targets break and messages are lost.

mod schedules {
    pub(crate) mod callers;
    pub(crate) mod checks;
    pub(crate) mod faults;
    pub(crate) mod found;
}

use lagoon_testkit::{StoreMode, World};
use proptest::prelude::{prop_assert, proptest, ProptestConfig, TestCaseError};
use proptest::test_runner::{RngAlgorithm, RngSeed};
use schedules::callers::Callers;
use schedules::checks::check;
use schedules::faults::{plan, Plan};
use schedules::found;

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

/// Seed of a run; another one by `SCHEDULE_SEED=N`.
fn seed() -> u64 {
    let given = std::env::var("SCHEDULE_SEED").ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(1)
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
        restart(&mut world);
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
    }
}

/// Starts the daemons that have ended, as a supervisor would.
fn restart(world: &mut World) {
    for vm in VMS {
        if world.host(vm).is_none() {
            world.start(vm);
        }
    }
}

proptest! {
    #![proptest_config(config(seed()))]

    /// Order, at most once, budget, whole answers and one owner, under any
    /// schedule.
    #[test]
    fn run_any_schedule_holds(plan in plan()) {
        run(&plan)?;
    }
}

/// Plans that once failed.
#[yare::parameterized(
    waiting_call_after_takeover = { found::waiting_call_after_takeover() },
    stops_naming_each_other = { found::stops_naming_each_other() },
    later_call_of_claimed_program = { found::later_call_of_claimed_program() },
    owner_lost_in_outage = { found::owner_lost_in_outage() },
    repeatable_call_after_pause = { found::repeatable_call_after_pause() },
    sealed_during_its_stop = { found::sealed_during_its_stop() },
    seal_by_a_sealed_vm = { found::seal_by_a_sealed_vm() },
    import_during_a_claim = { found::import_during_a_claim() },
    two_successors_of_one_chain = { found::two_successors_of_one_chain() },
    each_holds_the_other_for_dead = { found::each_holds_the_other_for_dead() },
)]
fn run_found_plan_holds(plan: Plan) {
    if let Err(error) = run(&plan) {
        panic!("{error}");
    }
}

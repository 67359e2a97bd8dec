//! Property tests with generated schedules of callers and faults in virtual time.
//!
//! Callers run their calls in sequence and retry through any VM. Meanwhile VMs
//! crash, pause and stop, the store fails or loses replies, targets fail, and
//! messages between VMs are lost.

mod schedules {
    pub(crate) mod callers;
    pub(crate) mod checks;
    pub(crate) mod faults;
    pub(crate) mod regressions;
}

use lagoon_testkit::{Simulation, StoreMode};
use proptest::prelude::{prop_assert, proptest, ProptestConfig, TestCaseError};
use proptest::test_runner::{RngAlgorithm, RngSeed};
use schedules::callers::Callers;
use schedules::checks::check;
use schedules::faults::{plan, Plan};
use schedules::regressions;

const VMS: [&str; 3] = ["vm1", "vm2", "vm3"];
/// Interval at which the callers process responses and send requests.
const STEP_MS: u64 = 100;
/// Time after the end of the last fault within which all programs must finish.
const RECOVERY_MS: u64 = 60_000;

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

/// Number of generated schedules, from the environment variable `SCHEDULES`; 96 without it.
fn cases() -> u32 {
    let given = std::env::var("SCHEDULES").ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(96)
}

/// Seed of the schedule generator, from the environment variable `SCHEDULE_SEED`; 1 without
/// it.
fn seed() -> u64 {
    let given = std::env::var("SCHEDULE_SEED").ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(1)
}

fn run(plan: &Plan) -> Result<(), TestCaseError> {
    let mut sim = Simulation::new(plan.seed);
    sim.max_jitter_us = 3_000;
    for vm in VMS {
        sim.start(vm);
    }
    sim.run_ms(2_000);
    let mut callers = Callers::new(plan);
    for fault in &plan.faults {
        fault.begin(&mut sim);
        for _ in 0..fault.steps {
            callers.step(&mut sim);
            sim.run_ms(STEP_MS);
        }
        fault.end(&mut sim);
    }
    end_faults(&mut sim);
    for _ in 0..RECOVERY_MS / STEP_MS {
        restart_exited(&mut sim);
        callers.step(&mut sim);
        sim.run_ms(STEP_MS);
        if callers.are_done() {
            break;
        }
    }
    prop_assert!(callers.are_done(), "{}", callers.describe(&sim));
    check(&sim, &callers)
}

fn end_faults(sim: &mut Simulation) {
    sim.store_mode = StoreMode::Up;
    sim.message_loss_percent = 0;
    sim.heal();
    for target in [
        "engine-1", "engine-2", "desk-1", "desk-2", "pay-1", "look-1",
    ] {
        sim.set_target_mode(target, lagoon_testkit::TargetMode::Ok);
    }
    for vm in VMS {
        sim.resume(vm);
    }
}

/// Restarts daemons that have exited, as a supervisor would.
fn restart_exited(sim: &mut Simulation) {
    for vm in VMS {
        if sim.vm(vm).is_none() {
            sim.start(vm);
        }
    }
}

proptest! {
    #![proptest_config(config(seed()))]

    /// Checks call order, at-most-once execution, budgets, complete responses and
    /// single ownership under generated schedules.
    #[test]
    fn run_any_schedule_holds(plan in plan()) {
        run(&plan)?;
    }
}

/// Regression tests: generated plans that violated a property before a fix.
#[yare::parameterized(
    waiting_call_after_takeover = { regressions::waiting_call_after_takeover() },
    mutual_seals_of_stopping_vms = { regressions::mutual_seals_of_stopping_vms() },
    later_call_of_claimed_program = { regressions::later_call_of_claimed_program() },
    owner_crash_during_store_outage = { regressions::owner_crash_during_store_outage() },
    idempotent_call_after_pause = { regressions::idempotent_call_after_pause() },
    sealed_during_planned_stop = { regressions::sealed_during_planned_stop() },
    seal_by_sealed_vm = { regressions::seal_by_sealed_vm() },
    import_during_claim = { regressions::import_during_claim() },
    two_importers_of_one_incarnation = { regressions::two_importers_of_one_incarnation() },
    mutual_death_declarations = { regressions::mutual_death_declarations() },
)]
fn run_regression_plan_holds(plan: Plan) {
    if let Err(error) = run(&plan) {
        panic!("{error}");
    }
}

//! Properties that must hold after any schedule.

use std::collections::BTreeMap;

use lagoon_errors::ErrorKind;
use lagoon_journal::{incarnation_key, IncarnationRow, IncarnationState};
use lagoon_testkit::{Execution, RequestKind, SimulatedVm, Simulation};
use proptest::prelude::{prop_assert, prop_assert_eq, TestCaseError};

use super::callers::{Callers, Program, BUDGET_TOKENS};

pub(crate) fn check(sim: &Simulation, callers: &Callers) -> Result<(), TestCaseError> {
    for program in &callers.programs {
        let family = program.name.as_str();
        let executions = sim
            .executions()
            .iter()
            .filter(|execution| execution.call.program.family() == family);
        let executions: Vec<&Execution> = executions.collect();
        check_order(&executions)?;
        check_once(program, &executions)?;
        check_budget(&executions)?;
        check_responses(sim, program)?;
        check_refusals(sim, program, &executions)?;
        check_abandoned(program)?;
    }
    check_owners(sim, callers)
}

/// Calls of a program start in the order of their numbers.
fn check_order(executions: &[&Execution]) -> Result<(), TestCaseError> {
    for pair in executions.windows(2) {
        let (before, after) = (&pair[0].call, &pair[1].call);
        prop_assert!(after.number >= before.number, "{after} after {before}");
    }
    Ok(())
}

/// At-most-once calls run at most once.
fn check_once(program: &Program, executions: &[&Execution]) -> Result<(), TestCaseError> {
    let mut counts: BTreeMap<u32, usize> = BTreeMap::new();
    for execution in executions {
        *counts.entry(execution.call.number).or_default() += 1;
    }
    for (number, count) in counts {
        if program.request(number).kind == RequestKind::Service("booking".into()) {
            prop_assert_eq!(count, 1, "{} call {}", program.name, number);
        }
    }
    Ok(())
}

/// The tokens that engines processed for a program stay within its budget.
fn check_budget(executions: &[&Execution]) -> Result<(), TestCaseError> {
    let spent: u64 = executions.iter().map(|execution| execution.tokens).sum();
    prop_assert!(spent <= BUDGET_TOKENS, "spent {spent}");
    Ok(())
}

/// Each response that was reported as complete is the complete response to its call.
fn check_responses(sim: &Simulation, program: &Program) -> Result<(), TestCaseError> {
    for (number, id) in &program.sent {
        let outcome = sim.outcome(*id);
        prop_assert_eq!(outcome.offset_errors, 0);
        if outcome.is_complete() {
            let text = String::from_utf8_lossy(&outcome.bytes).into_owned();
            prop_assert_eq!(text, program.request(*number).expected_response());
        }
    }
    Ok(())
}

/// If every request for a call was refused as not run, the call did not run.
fn check_refusals(
    sim: &Simulation,
    program: &Program,
    executions: &[&Execution],
) -> Result<(), TestCaseError> {
    let mut not_run_by_call: BTreeMap<u32, Vec<bool>> = BTreeMap::new();
    for (number, id) in &program.sent {
        let not_run = sim.outcome(*id).reports_not_run();
        not_run_by_call.entry(*number).or_default().push(not_run);
    }
    for (number, not_run) in not_run_by_call {
        if not_run.iter().all(|not_run| *not_run) {
            let ran = executions
                .iter()
                .any(|execution| execution.call.number == number);
            prop_assert!(!ran, "{} call {number} ran", program.name);
        }
    }
    Ok(())
}

/// No program is lost: callers abandon a program only if its budget is exhausted.
fn check_abandoned(program: &Program) -> Result<(), TestCaseError> {
    let allowed = [None, Some(ErrorKind::BudgetExhausted)];
    prop_assert!(
        allowed.contains(&program.abandoned),
        "{} at call {}: {:?}",
        program.name,
        program.finished + 1,
        program.abandoned
    );
    Ok(())
}

/// At most one VM with an open incarnation owns a program, and it knows all
/// calls whose responses were reported as durable.
///
/// A sealed VM that has not noticed the seal may still list programs. The store
/// rejects its appends, so it can't record outcomes, reservations or intents.
fn check_owners(sim: &Simulation, callers: &Callers) -> Result<(), TestCaseError> {
    for program in &callers.programs {
        let id = program.name.parse().expect("program");
        let mut holders = Vec::new();
        let open = sim.vms().filter(|(_, sim_vm)| is_open(sim, sim_vm));
        for (vm, sim_vm) in open {
            if let Some(key) = sim_vm.node.programs().find(&id) {
                let held = sim_vm.node.programs().get(key).expect("held");
                holders.push(vm);
                prop_assert!(
                    held.next_number() > program.last_durable,
                    "history of {}",
                    program.name
                );
            }
        }
        prop_assert!(
            holders.len() <= 1,
            "{} is held by {holders:?}",
            program.name
        );
    }
    Ok(())
}

fn is_open(sim: &Simulation, sim_vm: &SimulatedVm) -> bool {
    let key = incarnation_key(sim_vm.node.incarnation());
    let row = sim.platform.rows.get(&key);
    let row = row.and_then(|value| IncarnationRow::decode(value).ok());
    row.is_some_and(|row| row.state == IncarnationState::Open)
}

//! Properties that must hold after any schedule.

use std::collections::BTreeMap;

use lagoon_errors::ErrorKind;
use lagoon_journal::{incarnation_key, IncarnationRow, IncarnationState};
use lagoon_testkit::{Host, Run, Work, World};
use proptest::prelude::{prop_assert, prop_assert_eq, TestCaseError};

use super::callers::{Callers, Program, BUDGET_TOKENS};

/// Checks all properties.
pub(crate) fn check(world: &World, callers: &Callers) -> Result<(), TestCaseError> {
    for program in &callers.programs {
        let family = program.name.as_str();
        let runs = world
            .runs()
            .iter()
            .filter(|run| run.call.program.family() == family);
        let runs: Vec<&Run> = runs.collect();
        check_order(&runs)?;
        check_once(program, &runs)?;
        check_budget(&runs)?;
        check_responses(world, program)?;
        check_refusals(world, program, &runs)?;
        check_abandoned(program)?;
    }
    check_owners(world, callers)
}

/// Calls of a program start in the order of their numbers.
fn check_order(runs: &[&Run]) -> Result<(), TestCaseError> {
    for pair in runs.windows(2) {
        let (before, after) = (&pair[0].call, &pair[1].call);
        prop_assert!(after.number >= before.number, "{after} after {before}");
    }
    Ok(())
}

/// At-most-once calls run at most once.
fn check_once(program: &Program, runs: &[&Run]) -> Result<(), TestCaseError> {
    let mut counts: BTreeMap<u32, usize> = BTreeMap::new();
    for run in runs {
        *counts.entry(run.call.number).or_default() += 1;
    }
    for (number, count) in counts {
        if program.request(number).work == Work::Service("booking".into()) {
            prop_assert_eq!(count, 1, "{} call {}", program.name, number);
        }
    }
    Ok(())
}

/// Tokens run by engines stay within the budget.
fn check_budget(runs: &[&Run]) -> Result<(), TestCaseError> {
    let spent: u64 = runs.iter().map(|run| run.tokens).sum();
    prop_assert!(spent <= BUDGET_TOKENS, "spent {spent}");
    Ok(())
}

/// Each response that was reported as complete is the complete response to its call.
fn check_responses(world: &World, program: &Program) -> Result<(), TestCaseError> {
    for (number, id) in &program.sent {
        let outcome = world.outcome(*id);
        prop_assert_eq!(outcome.gaps, 0);
        if outcome.is_whole() {
            let text = String::from_utf8_lossy(&outcome.bytes).into_owned();
            prop_assert_eq!(text, program.request(*number).whole_answer());
        }
    }
    Ok(())
}

/// A call whose requests were all refused as not run did not run.
fn check_refusals(world: &World, program: &Program, runs: &[&Run]) -> Result<(), TestCaseError> {
    let mut not_run_by_call: BTreeMap<u32, Vec<bool>> = BTreeMap::new();
    for (number, id) in &program.sent {
        let not_run = world.outcome(*id).says_not_run();
        not_run_by_call.entry(*number).or_default().push(not_run);
    }
    for (number, not_run) in not_run_by_call {
        if not_run.iter().all(|not_run| *not_run) {
            let ran = runs.iter().any(|run| run.call.number == number);
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
fn check_owners(world: &World, callers: &Callers) -> Result<(), TestCaseError> {
    for program in &callers.programs {
        let id = program.name.parse().expect("program");
        let mut holders = Vec::new();
        let open = world.hosts().filter(|(_, host)| is_open(world, host));
        for (vm, host) in open {
            if let Some(key) = host.node.programs().find(&id) {
                let held = host.node.programs().get(key).expect("held");
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

fn is_open(world: &World, host: &Host) -> bool {
    let key = incarnation_key(host.node.incarnation());
    let row = world.table.rows.get(&key);
    let row = row.and_then(|value| IncarnationRow::decode(value).ok());
    row.is_some_and(|row| row.state == IncarnationState::Open)
}

//! What must hold after any schedule.

use std::collections::BTreeMap;

use lagoon_errors::ErrorKind;
use lagoon_journal::{incarnation_key, IncarnationRow, IncarnationState};
use lagoon_testkit::{Host, Run, Work, World};
use proptest::prelude::{prop_assert, prop_assert_eq, TestCaseError};

use super::callers::{Callers, Program, BUDGET_TOKENS};

/// Checks all points.
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
        check_answers(world, program)?;
        check_refusals(world, program, &runs)?;
        check_abandoned(program)?;
    }
    check_owners(world, callers)
}

/// Calls begin in the order of their numbers.
fn check_order(runs: &[&Run]) -> Result<(), TestCaseError> {
    for pair in runs.windows(2) {
        let (before, after) = (&pair[0].call, &pair[1].call);
        prop_assert!(after.number >= before.number, "{after} after {before}");
    }
    Ok(())
}

/// Calls that may not be repeated run at most once.
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

/// What engines ran stays within the budget.
fn check_budget(runs: &[&Run]) -> Result<(), TestCaseError> {
    let spent: u64 = runs.iter().map(|run| run.tokens).sum();
    prop_assert!(spent <= BUDGET_TOKENS, "spent {spent}");
    Ok(())
}

/// Each answer that was said to be whole is the whole answer to its call.
fn check_answers(world: &World, program: &Program) -> Result<(), TestCaseError> {
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

/// A call that was only ever refused as not run did not run.
fn check_refusals(world: &World, program: &Program, runs: &[&Run]) -> Result<(), TestCaseError> {
    let mut answers: BTreeMap<u32, Vec<bool>> = BTreeMap::new();
    for (number, id) in &program.sent {
        let not_run = world.outcome(*id).says_not_run();
        answers.entry(*number).or_default().push(not_run);
    }
    for (number, not_run) in answers {
        if not_run.iter().all(|not_run| *not_run) {
            let ran = runs.iter().any(|run| run.call.number == number);
            prop_assert!(!ran, "{} call {number} ran", program.name);
        }
    }
    Ok(())
}

/// No program is lost: callers gave up only for want of budget.
fn check_abandoned(program: &Program) -> Result<(), TestCaseError> {
    let allowed = [None, Some(ErrorKind::BudgetExhausted)];
    prop_assert!(
        allowed.contains(&program.abandoned),
        "{} at call {}: {:?}",
        program.name,
        program.done + 1,
        program.abandoned
    );
    Ok(())
}

/// At most one VM that may still write holds a program, and it knows all
/// calls whose answers were said to be durable.
///
/// A VM that was sealed and has not noticed yet may still hold programs: its
/// appends are refused, so it can't finish, reserve or intend anything.
fn check_owners(world: &World, callers: &Callers) -> Result<(), TestCaseError> {
    for program in &callers.programs {
        let id = program.name.parse().expect("program");
        let mut holders = Vec::new();
        let open = world.hosts().filter(|(_, host)| may_write(world, host));
        for (vm, host) in open {
            if let Some(key) = host.node.programs().find(&id) {
                let held = host.node.programs().get(key).expect("held");
                holders.push(vm);
                prop_assert!(
                    held.next_number() > program.durable,
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

fn may_write(world: &World, host: &Host) -> bool {
    let key = incarnation_key(host.node.incarnation());
    let row = world.table.rows.get(&key);
    let row = row.and_then(|value| IncarnationRow::decode(value).ok());
    row.is_some_and(|row| row.state == IncarnationState::Open)
}

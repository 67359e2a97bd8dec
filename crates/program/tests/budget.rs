//! Budgets of families, in operation and after takeovers.

mod support;

use lagoon_errors::ErrorKind;
use lagoon_ids::CallKey;
use lagoon_program::{Outcome, ProgramKey, Programs, Record, ReserveCoverage, ResourceAmounts};
use proptest::prelude::{any, prop, prop_assert, proptest, ProptestConfig};
use proptest::test_runner::{RngAlgorithm, RngSeed};
use support::{call, finished, open, program_id, tokens};

const LIMIT_TOKENS: u64 = 1_000;

/// Reserves the missing amounts for the family and journals them as durable.
fn reserve(programs: &mut Programs, key: ProgramKey, journal: &mut Vec<Record>) {
    let ReserveCoverage::Insufficient(amounts) = programs.reserve_coverage(key) else {
        return;
    };
    let root_key = programs.root(key);
    let root = programs.get(root_key).expect("root").id.clone();
    programs.add_pending_reserve(root_key, amounts);
    let record = Record::Reserved { root, amounts };
    programs.apply(&record);
    journal.push(record);
}

#[test]
fn admit_limits_children_to_the_budget_of_their_parent() {
    let mut programs = Programs::default();
    open(&mut programs, "p", LIMIT_TOKENS);
    let children: Vec<ProgramKey> = (0..50)
        .map(|n| open(&mut programs, &format!("p/s{n}"), LIMIT_TOKENS))
        .collect();
    let admitted = children
        .iter()
        .filter(|key| programs.admit(**key, tokens(30)).is_ok())
        .count();
    assert_eq!(admitted, 33);
    let error = programs
        .admit(children[49], tokens(30))
        .expect_err("budget exhausted");
    assert_eq!(error.kind, ErrorKind::BudgetExhausted);
}

#[test]
fn open_rejects_an_ended_parent() {
    let mut programs = Programs::default();
    open(&mut programs, "p", LIMIT_TOKENS);
    programs.apply(&Record::Ended {
        program: program_id("p"),
    });
    let error = programs
        .open(lagoon_program::ProgramSpec {
            program: program_id("p/s"),
            account: "account".parse().expect("account"),
            market: "market".parse().expect("market"),
            limit: tokens(1),
        })
        .expect_err("ended");
    assert_eq!(error.kind, ErrorKind::ProgramEnded);
}

#[test]
fn take_over_marks_an_open_intent_in_doubt_and_charges_it() {
    let mut programs = Programs::default();
    let key = open(&mut programs, "p", LIMIT_TOKENS);
    programs.admit(key, tokens(10)).expect("admitted");
    reserve(&mut programs, key, &mut Vec::new());
    programs.apply(&Record::Intent {
        call: call("p", 1),
        content_hash: 4,
        target: "desk-1".parse().expect("target"),
        worst_case: tokens(10),
    });
    let snapshots: Vec<Record> = programs
        .snapshots()
        .into_iter()
        .map(|snapshot| Record::Snapshot(Box::new(snapshot)))
        .collect();
    let mut successor = Programs::default();
    snapshots.iter().for_each(|record| successor.apply(record));
    successor.take_over();
    let key = successor.find(&program_id("p")).expect("program");
    let program = successor.get(key).expect("program");
    assert_eq!(
        program.finished_call(1).map(|call| &call.outcome),
        Some(&Outcome::InDoubt)
    );
    assert_eq!(program.calls_in_doubt().count(), 1);
    assert!(program.budget.spent.tokens >= 10);
    assert_eq!(program.reserve.durable, ResourceAmounts::default());
}

/// Step of a random schedule: one call, during which the owner may crash.
#[derive(Clone, Debug)]
struct Step {
    /// Number of the child that makes the call; 0 for the root program.
    child: u8,
    worst_tokens: u64,
    /// Actual usage, in percent of `worst_tokens`.
    usage_pct: u8,
    crash: bool,
}

fn steps() -> impl proptest::strategy::Strategy<Value = Vec<Step>> {
    let step = (0u8..6, 1u64..200, 0u8..=100, prop::bool::weighted(0.1));
    let step =
        proptest::strategy::Strategy::prop_map(step, |(child, worst_tokens, usage_pct, crash)| {
            Step {
                child,
                worst_tokens,
                usage_pct,
                crash,
            }
        });
    prop::collection::vec(step, 1..60)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn find_or_open(programs: &mut Programs, child: u8, journal: &mut Vec<Record>) -> ProgramKey {
    let id = if child == 0 {
        "p".to_owned()
    } else {
        format!("p/s{child}")
    };
    if let Some(key) = programs.find(&program_id(&id)) {
        return key;
    }
    let key = open(programs, &id, LIMIT_TOKENS);
    let program = programs.get(key).expect("program");
    journal.push(Record::Opened {
        program: program.id.clone(),
        account: program.account.clone(),
        market: program.market.clone(),
        limit: program.budget.limit,
    });
    key
}

proptest! {
    #![proptest_config(config())]

    /// The actual usage at targets never exceeds the limit, even if owners crash
    /// while a call is in flight and successors take over.
    #[test]
    fn usage_stays_within_limit_across_takeovers(steps in steps(), salt in any::<u8>()) {
        let mut journal = Vec::new();
        let mut programs = Programs::default();
        find_or_open(&mut programs, 0, &mut journal);
        let mut actual_usage = 0;
        for (turn, step) in steps.iter().enumerate() {
            let key = find_or_open(&mut programs, step.child, &mut journal);
            let worst = tokens(step.worst_tokens);
            if programs.admit(key, worst).is_err() {
                continue;
            }
            reserve(&mut programs, key, &mut journal);
            prop_assert!(programs.reserve_coverage(key) == ReserveCoverage::Covered);
            let used = step.worst_tokens * u64::from(step.usage_pct) / 100;
            actual_usage += used;
            if step.crash {
                // The successor replays only the journaled records.
                programs = Programs::default();
                journal.iter().for_each(|record| programs.apply(record));
                journal.extend(programs.take_over());
                continue;
            }
            programs.release(key, worst);
            let program = programs.get(key).expect("program");
            let record = Record::Finished {
                call: CallKey { program: program.id.clone(), number: program.next_number() },
                finished: finished(u128::from(salt) + turn as u128, used),
            };
            programs.apply(&record);
            journal.push(record);
        }
        prop_assert!(actual_usage <= LIMIT_TOKENS, "used {actual_usage}");
        let root = programs.find(&program_id("p")).expect("root");
        let charged = programs.get(root).expect("root").budget.spent.tokens;
        prop_assert!(charged >= actual_usage);
        prop_assert!(charged <= LIMIT_TOKENS);
    }
}

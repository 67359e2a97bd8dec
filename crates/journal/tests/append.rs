//! Appends against a small table under lost replies, outages and seals.

use lagoon_ids::CallKey;
use lagoon_journal::{
    decode_batch, incarnation_key, log_prefix, IncarnationRow, IncarnationState, Journal,
    RecordGroup, WaiterId,
};
use lagoon_platform::PlatformError;
use lagoon_program::{Record, ResourceAmounts};
use lagoon_testkit::Table;
use proptest::prelude::{prop, prop_assert, prop_assert_eq, proptest, ProptestConfig};
use proptest::strategy::{Just, Strategy};
use proptest::test_runner::{RngAlgorithm, RngSeed};

/// Turns of the records that an incarnation's journal holds, in order.
fn turns(table: &Table, row: &IncarnationRow) -> Vec<u64> {
    let prefix = log_prefix(&row.incarnation);
    let mut turns = Vec::new();
    for found in table.found(|key| key.starts_with(&prefix)) {
        for record in decode_batch(&found.key, &found.value).expect("batch") {
            match record {
                Record::Charged { used, .. } => turns.push(used.turns),
                other => panic!("{other:?}"),
            }
        }
    }
    turns
}

fn row(name: &str) -> IncarnationRow {
    IncarnationRow {
        incarnation: name.parse().expect("incarnation"),
        vm: "vm1".parse().expect("vm"),
        domain: "d1".parse().expect("domain"),
        started_ms: 1,
        peer_address: "127.0.0.1:1".parse().expect("address"),
        state: IncarnationState::Open,
    }
}

fn opened(table: &mut Table, name: &str) -> Journal {
    let row = row(name);
    let key = incarnation_key(&row.incarnation);
    table.rows.insert(key, row.encode());
    Journal::new(row)
}

fn seal(table: &mut Table, sealed: &IncarnationRow) {
    let key = incarnation_key(&sealed.incarnation);
    table.rows.insert(
        key,
        sealed.sealed_by(&row("successor").incarnation).encode(),
    );
}

fn group(turns: u64) -> RecordGroup {
    RecordGroup {
        records: vec![Record::Charged {
            call: CallKey {
                program: "p".parse().expect("program"),
                number: 1,
            },
            used: ResourceAmounts {
                turns,
                ..ResourceAmounts::default()
            },
        }],
        waiter: Some(WaiterId(turns)),
        ..RecordGroup::default()
    }
}

fn claim(family: &str, turns: u64) -> RecordGroup {
    RecordGroup {
        claim_family: Some(family.to_owned()),
        ..group(turns)
    }
}

fn lost() -> PlatformError {
    PlatformError::NoReply("lost".to_owned())
}

#[test]
fn on_reply_lost_after_effect_counts_as_success() {
    let mut table = Table::default();
    let mut journal = opened(&mut table, "i1");
    journal.push(group(1));
    let txn = journal.poll(0).expect("batch");
    table.transact(&txn);
    assert!(journal.on_reply(Err(lost())).waiters.is_empty());
    let again = journal.poll(0).expect("same batch");
    assert_eq!(again, txn);
    let committed = journal.on_reply(Ok(table.transact(&again)));
    assert_eq!(committed.waiters, [WaiterId(1)]);
    assert_eq!(turns(&table, journal.row()), [1]);
}

#[test]
fn on_reply_after_seal_is_fenced_for_good() {
    let mut table = Table::default();
    let mut journal = opened(&mut table, "i1");
    journal.push(group(1));
    let txn = journal.poll(0).expect("batch");
    seal(&mut table, journal.row());
    let committed = journal.on_reply(Ok(table.transact(&txn)));
    assert!(committed.fenced);
    journal.push(group(2));
    assert_eq!(journal.poll(1_000), None);
    assert!(turns(&table, journal.row()).is_empty());
}

#[test]
fn on_reply_taken_family_drops_only_its_group() {
    let mut table = Table::default();
    let mut first = opened(&mut table, "i1");
    let mut second = opened(&mut table, "i2");
    first.push(claim("f", 1));
    let txn = first.poll(0).expect("batch");
    first.on_reply(Ok(table.transact(&txn)));
    second.push(claim("f", 2));
    second.push(group(3));
    let txn = second.poll(0).expect("batch");
    let committed = second.on_reply(Ok(table.transact(&txn)));
    assert_eq!(committed.conflicts.len(), 1);
    assert_eq!(committed.conflicts[0].row_value, b"i1");
    let txn = second.poll(0).expect("rest");
    let committed = second.on_reply(Ok(table.transact(&txn)));
    assert_eq!(committed.waiters, [WaiterId(3)]);
    assert_eq!(turns(&table, second.row()), [3]);
}

#[test]
fn poll_within_interval_gathers_groups() {
    let mut table = Table::default();
    let mut journal = opened(&mut table, "i1");
    journal.set_commit_interval_ms(40);
    journal.push(group(1));
    let txn = journal.poll(100).expect("batch");
    journal.on_reply(Ok(table.transact(&txn)));
    journal.push(group(2));
    assert_eq!(journal.poll(120), None);
    journal.push(group(3));
    let txn = journal.poll(140).expect("batch");
    let committed = journal.on_reply(Ok(table.transact(&txn)));
    assert_eq!(committed.waiters, [WaiterId(2), WaiterId(3)]);
}

/// Step of a generated schedule.
#[derive(Clone, Copy, Debug)]
enum Step {
    Push,
    Commit,
    LoseRequest,
    LoseReply,
    Seal,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop::sample::select(vec![
        Just(Step::Push),
        Just(Step::Push),
        Just(Step::Commit),
        Just(Step::LoseRequest),
        Just(Step::LoseReply),
    ]);
    let seal = prop::bool::weighted(0.05);
    let step = (step, seal).prop_map(|(step, seal)| if seal { Step::Seal } else { step.0 });
    prop::collection::vec(step, 1..80)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// What is said to be durable is in the table once, in order, and
    /// nothing is added after a seal.
    #[test]
    fn append_any_schedule_keeps_order_once(steps in steps()) {
        let mut table = Table::default();
        let mut journal = opened(&mut table, "i1");
        let mut pushed = 0;
        let mut durable = Vec::new();
        let mut at_seal = None;
        for step in steps {
            match step {
                Step::Push => {
                    pushed += 1;
                    journal.push(group(pushed));
                    continue;
                }
                Step::Seal => {
                    seal(&mut table, journal.row());
                    at_seal.get_or_insert_with(|| turns(&table, journal.row()));
                    continue;
                }
                _ => {}
            }
            let Some(txn) = journal.poll(0) else { continue };
            let reply = match step {
                Step::LoseRequest => Err(lost()),
                Step::LoseReply => {
                    table.transact(&txn);
                    Err(lost())
                }
                _ => Ok(table.transact(&txn)),
            };
            let committed = journal.on_reply(reply);
            durable.extend(committed.waiters.iter().map(|waiter| waiter.0));
        }
        let kept = turns(&table, journal.row());
        let expected: Vec<u64> = (1..=kept.len() as u64).collect();
        prop_assert_eq!(&kept, &expected);
        prop_assert!(durable.len() <= kept.len());
        prop_assert_eq!(&kept[..durable.len()], &durable[..]);
        if let Some(at_seal) = at_seal {
            prop_assert_eq!(kept, at_seal);
        }
    }
}

//! Appends to an in-memory table with lost requests, lost replies and seals.

use lagoon_ids::CallKey;
use lagoon_journal::{
    decode_batch, incarnation_key, log_prefix, IncarnationRow, IncarnationState, Journal,
    RecordGroup, WaiterId,
};
use lagoon_platform::PlatformError;
use lagoon_program::{Record, ResourceAmounts};
use lagoon_testkit::FakePlatform;
use proptest::prelude::{prop, prop_assert, prop_assert_eq, proptest, ProptestConfig};
use proptest::strategy::{Just, Strategy};
use proptest::test_runner::{RngAlgorithm, RngSeed};

/// Numbers of the journaled test records, in order; [`group`] stores them as `turns`.
fn journaled(platform: &FakePlatform, row: &IncarnationRow) -> Vec<u64> {
    let prefix = log_prefix(&row.incarnation);
    let mut turns = Vec::new();
    for found in platform.rows_matching(|key| key.starts_with(&prefix)) {
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

fn open_journal(platform: &mut FakePlatform, name: &str) -> Journal {
    let row = row(name);
    let key = incarnation_key(&row.incarnation);
    platform.rows.insert(key, row.encode());
    Journal::new(row)
}

fn seal(platform: &mut FakePlatform, sealed: &IncarnationRow) {
    let key = incarnation_key(&sealed.incarnation);
    platform.rows.insert(
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

fn no_reply() -> PlatformError {
    PlatformError::NoReply("lost".to_owned())
}

#[test]
fn on_reply_lost_after_commit_is_retried_without_a_duplicate() {
    let mut platform = FakePlatform::default();
    let mut journal = open_journal(&mut platform, "i1");
    journal.push(group(1));
    let txn = journal.poll(0).expect("batch");
    platform.transact(&txn);
    assert!(journal.on_reply(Err(no_reply())).waiters.is_empty());
    let again = journal.poll(0).expect("same batch");
    assert_eq!(again, txn);
    let committed = journal.on_reply(Ok(platform.transact(&again)));
    assert_eq!(committed.waiters, [WaiterId(1)]);
    assert_eq!(journaled(&platform, journal.row()), [1]);
}

#[test]
fn on_reply_after_seal_fences_permanently() {
    let mut platform = FakePlatform::default();
    let mut journal = open_journal(&mut platform, "i1");
    journal.push(group(1));
    let txn = journal.poll(0).expect("batch");
    seal(&mut platform, journal.row());
    let committed = journal.on_reply(Ok(platform.transact(&txn)));
    assert!(committed.fenced);
    journal.push(group(2));
    assert_eq!(journal.poll(1_000), None);
    assert!(journaled(&platform, journal.row()).is_empty());
}

#[test]
fn on_reply_failed_claim_drops_only_its_group() {
    let mut platform = FakePlatform::default();
    let mut first = open_journal(&mut platform, "i1");
    let mut second = open_journal(&mut platform, "i2");
    first.push(claim("f", 1));
    let txn = first.poll(0).expect("batch");
    first.on_reply(Ok(platform.transact(&txn)));
    second.push(claim("f", 2));
    second.push(group(3));
    let txn = second.poll(0).expect("batch");
    let committed = second.on_reply(Ok(platform.transact(&txn)));
    assert_eq!(committed.conflicts.len(), 1);
    assert_eq!(committed.conflicts[0].row_value, b"i1");
    let txn = second.poll(0).expect("remaining groups");
    let committed = second.on_reply(Ok(platform.transact(&txn)));
    assert_eq!(committed.waiters, [WaiterId(3)]);
    assert_eq!(journaled(&platform, second.row()), [3]);
}

#[test]
fn poll_batches_groups_within_commit_interval() {
    let mut platform = FakePlatform::default();
    let mut journal = open_journal(&mut platform, "i1");
    journal.set_commit_interval_ms(40);
    journal.push(group(1));
    let txn = journal.poll(100).expect("batch");
    journal.on_reply(Ok(platform.transact(&txn)));
    journal.push(group(2));
    assert_eq!(journal.poll(120), None);
    journal.push(group(3));
    let txn = journal.poll(140).expect("batch");
    let committed = journal.on_reply(Ok(platform.transact(&txn)));
    assert_eq!(committed.waiters, [WaiterId(2), WaiterId(3)]);
}

/// Step of a random schedule; each but `Push` and `Seal` polls the journal for a transaction.
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

    /// Under any faults each reported record is in the table exactly once and in
    /// order, and a seal stops all further appends.
    #[test]
    fn append_is_ordered_and_exactly_once_under_faults(steps in steps()) {
        let mut platform = FakePlatform::default();
        let mut journal = open_journal(&mut platform, "i1");
        let mut pushed = 0;
        let mut reported = Vec::new();
        let mut at_seal = None;
        for step in steps {
            match step {
                Step::Push => {
                    pushed += 1;
                    journal.push(group(pushed));
                    continue;
                }
                Step::Seal => {
                    seal(&mut platform, journal.row());
                    at_seal.get_or_insert_with(|| journaled(&platform, journal.row()));
                    continue;
                }
                _ => {}
            }
            let Some(txn) = journal.poll(0) else { continue };
            let reply = match step {
                Step::LoseRequest => Err(no_reply()),
                Step::LoseReply => {
                    platform.transact(&txn);
                    Err(no_reply())
                }
                _ => Ok(platform.transact(&txn)),
            };
            let committed = journal.on_reply(reply);
            reported.extend(committed.waiters.iter().map(|waiter| waiter.0));
        }
        let journaled_records = journaled(&platform, journal.row());
        let expected: Vec<u64> = (1..=journaled_records.len() as u64).collect();
        prop_assert_eq!(&journaled_records, &expected);
        prop_assert!(reported.len() <= journaled_records.len());
        prop_assert_eq!(&journaled_records[..reported.len()], &reported[..]);
        if let Some(at_seal) = at_seal {
            prop_assert_eq!(journaled_records, at_seal);
        }
    }
}

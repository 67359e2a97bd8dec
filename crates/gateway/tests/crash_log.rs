//! Crashes of targets, and the quarantine of requests that cause them.

use std::collections::BTreeSet;

use lagoon_gateway::{
    fingerprint, CrashLog, CrashRecord, CrashUpdate, RequestMetadata, TargetHash,
};
use proptest::prelude::*;
use yare::parameterized;

const BODY: &[u8] = &[7; 200];

const FINGERPRINT: u64 = 1;

const TTL_MS: u64 = 600_000;

const REPEAT_MS: u64 = 60_000;

fn metadata(program: &str) -> RequestMetadata {
    RequestMetadata {
        program: Some(program.into()),
        ..RequestMetadata::default()
    }
}

/// First crash of a target.
fn crash(target: u32) -> CrashRecord {
    CrashRecord {
        fingerprint: FINGERPRINT,
        target: TargetHash(target),
        earlier: 0,
    }
}

fn update(target: u32, age_ms: u64) -> CrashUpdate {
    CrashUpdate {
        record: crash(target),
        age_ms,
    }
}

/// Records a crash that interrupted an attempt at `ended_ms`.
fn record(log: &mut CrashLog, target: u32, ended_ms: u64) -> Option<CrashRecord> {
    log.record_interrupted(FINGERPRINT, TargetHash(target), ended_ms, ended_ms)
}

#[test]
fn is_quarantined_after_the_third_crash_until_it_expires() {
    let mut log = CrashLog::default();
    for target in 1..=3 {
        assert!(!log.is_quarantined(FINGERPRINT, 0));
        assert_eq!(record(&mut log, target, 0), Some(crash(target)));
    }
    assert!(log.is_quarantined(FINGERPRINT, TTL_MS - 1));
    assert!(!log.is_quarantined(FINGERPRINT, TTL_MS));
    assert!(!log.is_quarantined(2, 0));
}

#[test]
fn remove_expired_returns_rows_with_their_version() {
    let mut log = CrashLog::default();
    record(&mut log, 1, 0);
    log.set_stored(crash(2), 9, 0);
    log.set_stored(crash(3), 10, 1);
    assert_eq!(log.remove_expired(TTL_MS), [(crash(2), 9)]);
    assert_eq!(log.crash_count(FINGERPRINT, 1), 1);
}

#[test]
fn record_interrupted_counts_each_crash_of_a_target_once() {
    let mut log = CrashLog::default();
    record(&mut log, 1, 0);
    assert_eq!(record(&mut log, 1, 199), None);
    let second = record(&mut log, 1, 200);
    assert_eq!(second.map(|record| record.earlier), Some(1));
    assert_eq!(log.crash_count(FINGERPRINT, 200), 2);
}

// Guards against one crash that counts twice, as two VMs saw it.
#[test]
fn record_interrupted_ignores_a_crash_that_another_vm_recorded() {
    let mut log = CrashLog::default();
    log.apply_updates(&[update(1, 10)], 30);
    assert_eq!(record(&mut log, 1, 30), None);
    assert_eq!(log.crash_count(FINGERPRINT, 30), 1);
}

// Guards against a crash that counts twice, once by its interrupted response and
// once, seconds later, by the entry that expired.
#[test]
fn record_gone_ignores_a_target_with_a_known_crash() {
    let mut log = CrashLog::default();
    record(&mut log, 1, 0);
    let mut gone = |target| log.record_gone(FINGERPRINT, TargetHash(target), 5_000);
    assert_eq!(gone(1), None);
    assert_eq!(gone(2), Some(crash(2)));
    assert_eq!(gone(2), None);
}

#[test]
fn pending_are_own_records_without_a_row() {
    let mut log = CrashLog::default();
    record(&mut log, 1, 0);
    record(&mut log, 2, 0);
    log.apply_updates(&[update(3, 0)], 0);
    log.set_stored(crash(1), 5, 0);
    assert_eq!(log.pending(9), [crash(2)]);
    log.apply_updates(&[update(1, 0)], 0);
    assert_eq!(log.pending(9), [crash(2)]);
}

#[test]
fn take_new_gives_own_records_once() {
    let mut log = CrashLog::default();
    record(&mut log, 1, 0);
    log.apply_updates(&[update(2, 0)], 0);
    assert_eq!(log.take_new(40), [update(1, 40)]);
    assert_eq!(log.take_new(40), []);
}

#[test]
fn to_repeat_gives_the_latest_of_all_records() {
    let mut log = CrashLog::default();
    record(&mut log, 1, 0);
    log.apply_updates(&[update(2, 10)], 30);
    assert_eq!(log.to_repeat(9, 50), [update(2, 30), update(1, 50)]);
    assert_eq!(log.to_repeat(1, 50), [update(2, 30)]);
    assert_eq!(log.to_repeat(9, REPEAT_MS), [update(2, REPEAT_MS - 20)]);
}

// Guards against a request that crashes targets being crowded out by those that
// ran beside it.
#[test]
fn to_repeat_gives_requests_with_the_most_crashes_first() {
    let mut log = CrashLog::default();
    record(&mut log, 1, 0);
    record(&mut log, 2, 0);
    log.record_interrupted(2, TargetHash(2), 10, 10);
    assert_eq!(log.to_repeat(2, 10), [update(1, 10), update(2, 10)]);
}

// Guards against crashes that are never forgotten, as VMs send them to each other
// again and again.
#[test]
fn apply_updates_does_not_prolong_a_crash() {
    let mut log = CrashLog::default();
    log.apply_updates(&[update(1, 0)], 0);
    log.apply_updates(&[update(1, 0)], 500);
    log.set_stored(crash(1), 5, 500);
    assert_eq!(log.remove_expired(TTL_MS), [(crash(1), 5)]);
    log.apply_updates(&[update(1, TTL_MS)], TTL_MS);
    assert_eq!(log.crash_count(FINGERPRINT, TTL_MS), 0);
}

#[test]
fn row_key_is_parsed_again() {
    let record = CrashRecord {
        fingerprint: 0xab,
        target: TargetHash(0x70),
        earlier: 1,
    };
    assert_eq!(record.row_key(), "00000000000000ab0000007001");
    assert_eq!(CrashRecord::from_row_key(&record.row_key()), Some(record));
}

#[parameterized(
    empty = { "" },
    too_short = { "00000000000000ab00000070" },
    not_a_number = { "00000000000000ab000000x001" },
    not_ascii = { "00000000000000é00000007001" },
)]
fn from_row_key_rejects(key: &str) {
    assert_eq!(CrashRecord::from_row_key(key), None);
}

/// How a VM learns of a crash.
#[derive(Clone, Copy, Debug)]
enum News {
    Interrupted,
    Gone,
    Heard,
    Read,
}

fn learn(log: &mut CrashLog, target: u32, news: News) {
    match news {
        News::Interrupted => {
            record(log, target, 0);
        }
        News::Gone => {
            log.record_gone(FINGERPRINT, TargetHash(target), 0);
        }
        News::Heard => log.apply_updates(&[update(target, 0)], 0),
        News::Read => log.set_stored(crash(target), u64::from(target), 0),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(19),
        ..ProptestConfig::default()
    })]

    // Guards against counts that depend on what a VM learns first, or learns twice.
    #[test]
    fn crash_count_is_the_same_for_any_order_of_news(
        news in prop::collection::vec(
            (
                0..4_u32,
                prop::sample::select(vec![News::Interrupted, News::Gone, News::Heard, News::Read]),
            ),
            0..20,
        ),
    ) {
        let mut log = CrashLog::default();
        let mut crashed = BTreeSet::new();
        for (target, news) in news {
            learn(&mut log, target, news);
            crashed.insert(target);
        }
        prop_assert_eq!(log.crash_count(FINGERPRINT, 0), crashed.len());
    }
}

#[test]
fn remove_completed_forgets_the_crashes_of_one_request() {
    let mut log = CrashLog::default();
    record(&mut log, 1, 0);
    log.set_stored(crash(2), 9, 0);
    log.record_interrupted(2, TargetHash(1), 0, 0);
    assert_eq!(log.remove_completed(FINGERPRINT), [(crash(2), 9)]);
    assert_eq!(log.crash_count(FINGERPRINT, 0), 0);
    assert_eq!(log.crash_count(2, 0), 1);
}

#[parameterized(
    same = { "/a", BODY, "p", true },
    other_program = { "/a", BODY, "q", true },
    other_path = { "/b", BODY, "p", false },
    other_query = { "/a?b", BODY, "p", false },
    other_body = { "/a", &[8; 200], "p", false },
)]
fn fingerprint_of_content(path: &str, body: &[u8], program: &str, is_same: bool) {
    let first = fingerprint("/a", BODY, &metadata("p"));
    assert_eq!(
        fingerprint(path, body, &metadata(program)) == first,
        is_same
    );
}

// Guards against a request without a body that counts anew in each program.
#[test]
fn fingerprint_without_a_body_is_the_same_in_other_programs() {
    let first = fingerprint("/a", b"", &metadata("p"));
    assert_eq!(fingerprint("/a", b"", &metadata("q")), first);
}

#[test]
fn fingerprint_without_a_body_differs_by_affinity_key() {
    let with_key = |key: &str| RequestMetadata {
        affinity: Some(key.into()),
        ..RequestMetadata::default()
    };
    let first = fingerprint("/a", b"", &with_key("k"));
    assert_ne!(fingerprint("/a", b"", &with_key("l")), first);
    assert_ne!(fingerprint("/a", b"", &RequestMetadata::default()), first);
}

//! Crashes of targets, and the quarantine of requests that cause them.

use lagoon_gateway::{
    fingerprint, CrashLog, CrashRecord, CrashUpdate, RequestMetadata, TargetHash,
};
use proptest::prelude::*;
use yare::parameterized;

const BODY: &[u8] = &[7; 200];

const FINGERPRINT: u64 = 1;

const TTL_MS: u64 = 60_000;

fn metadata(program: &str) -> RequestMetadata {
    RequestMetadata {
        program: Some(program.into()),
        ..RequestMetadata::default()
    }
}

fn crash(number: u32) -> CrashRecord {
    CrashRecord {
        fingerprint: FINGERPRINT,
        number,
    }
}

fn update(number: u32, age_ms: u64) -> CrashUpdate {
    CrashUpdate {
        record: crash(number),
        age_ms,
    }
}

#[test]
fn is_quarantined_after_the_third_crash_until_it_expires() {
    let mut log = CrashLog::default();
    for number in 1..=3 {
        assert!(!log.is_quarantined(FINGERPRINT, 0));
        assert!(log.record(crash(number), TargetHash(number), 0));
    }
    assert!(log.is_quarantined(FINGERPRINT, TTL_MS - 1));
    assert!(!log.is_quarantined(FINGERPRINT, TTL_MS));
    assert!(!log.is_quarantined(2, 0));
}

#[test]
fn remove_expired_returns_rows_with_their_version() {
    let mut log = CrashLog::default();
    log.record(crash(1), TargetHash(1), 0);
    log.set_stored(crash(2), 9, 0);
    log.set_stored(crash(3), 10, 1);
    assert_eq!(log.remove_expired(TTL_MS), [(crash(2), 9)]);
    assert_eq!(log.crash_count(FINGERPRINT, 1), 1);
}

#[test]
fn record_counts_one_crash_of_a_target_once() {
    let mut log = CrashLog::default();
    assert!(log.record(crash(1), TargetHash(1), 0));
    assert!(!log.record(crash(2), TargetHash(1), 199));
    assert!(log.record(crash(3), TargetHash(2), 199));
    assert!(log.record(crash(4), TargetHash(1), 200));
    assert_eq!(log.crash_count(FINGERPRINT, 200), 3);
}

#[test]
fn pending_are_own_records_without_a_row() {
    let mut log = CrashLog::default();
    log.record(crash(1), TargetHash(1), 0);
    log.record(crash(2), TargetHash(2), 0);
    log.apply_updates(&[update(3, 0)], 0);
    log.set_stored(crash(1), 5, 0);
    assert_eq!(log.pending(9), [crash(2)]);
    log.apply_updates(&[update(1, 0)], 0);
    assert_eq!(log.pending(9), [crash(2)]);
}

#[test]
fn take_new_gives_own_records_once() {
    let mut log = CrashLog::default();
    log.record(crash(1), TargetHash(1), 0);
    log.apply_updates(&[update(2, 0)], 0);
    assert_eq!(log.take_new(40), [update(1, 40)]);
    assert_eq!(log.take_new(40), []);
}

#[test]
fn latest_gives_the_latest_of_all_records() {
    let mut log = CrashLog::default();
    log.record(crash(1), TargetHash(1), 0);
    log.apply_updates(&[update(2, 10)], 30);
    assert_eq!(log.latest(9, 50), [update(2, 30), update(1, 50)]);
    assert_eq!(log.latest(1, 50), [update(2, 30)]);
    assert_eq!(log.latest(9, TTL_MS + 20), []);
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
        number: 7,
    };
    assert_eq!(record.row_key(), "00000000000000ab00000007");
    assert_eq!(CrashRecord::from_row_key(&record.row_key()), Some(record));
}

#[parameterized(
    empty = { "" },
    count_of_an_earlier_version = { "00000000000000ab" },
    not_a_number = { "00000000000000ab0000000x" },
    not_ascii = { "00000000000000é00000007" },
)]
fn from_row_key_rejects(key: &str) {
    assert_eq!(CrashRecord::from_row_key(key), None);
}

/// How a VM learns of a crash.
#[derive(Clone, Copy, Debug)]
enum News {
    Seen,
    Heard,
    Read,
}

fn learn(log: &mut CrashLog, number: u32, news: News) {
    match news {
        News::Seen => {
            log.record(crash(number), TargetHash(number), 0);
        }
        News::Heard => log.apply_updates(&[update(number, 0)], 0),
        News::Read => log.set_stored(crash(number), u64::from(number), 0),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(19),
        ..ProptestConfig::default()
    })]

    // Guards against counts that depend on what a VM hears of first, or hears twice.
    #[test]
    fn crash_count_is_the_same_for_any_order_of_news(
        news in prop::collection::vec(
            (0..4_u32, prop::sample::select(vec![News::Seen, News::Heard, News::Read])),
            0..20,
        ),
    ) {
        let mut log = CrashLog::default();
        let mut known = std::collections::BTreeSet::new();
        for (number, news) in news {
            learn(&mut log, number, news);
            known.insert(number);
        }
        prop_assert_eq!(log.crash_count(FINGERPRINT, 0), known.len());
    }
}

#[parameterized(
    same = { "/a", BODY, "p", true },
    other_program = { "/a", BODY, "q", true },
    other_path = { "/b", BODY, "p", false },
    other_body = { "/a", &[8; 200], "p", false },
)]
fn fingerprint_of_content(path: &str, body: &[u8], program: &str, is_same: bool) {
    let first = fingerprint("/a", BODY, &metadata("p"));
    assert_eq!(
        fingerprint(path, body, &metadata(program)) == first,
        is_same
    );
}

#[test]
fn fingerprint_without_a_body_differs_by_program() {
    let first = fingerprint("/a", b"", &metadata("p"));
    assert_ne!(fingerprint("/a", b"", &metadata("q")), first);
}

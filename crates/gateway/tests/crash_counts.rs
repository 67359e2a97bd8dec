//! Quarantine of requests that crash targets.

use lagoon_gateway::{fingerprint, CrashCounts, RequestMetadata};
use yare::parameterized;

const BODY: &[u8] = &[7; 200];

fn metadata(program: &str) -> RequestMetadata {
    RequestMetadata {
        program: Some(program.into()),
        ..RequestMetadata::default()
    }
}

#[test]
fn is_quarantined_after_the_third_crash_until_it_expires() {
    let mut counts = CrashCounts::default();
    for crash in 1..=3 {
        assert!(!counts.is_quarantined(1, 0));
        let (crashes, _) = counts.next_count(1);
        assert_eq!(crashes, crash);
        counts.set_count(1, crashes, u64::from(crash), 0);
    }
    assert!(counts.is_quarantined(1, 59_999));
    assert!(!counts.is_quarantined(1, 60_000));
    assert!(!counts.is_quarantined(2, 0));
    assert_eq!(counts.expired(60_000), [(1, 3)]);
}

#[test]
fn set_count_ignores_an_older_row() {
    let mut counts = CrashCounts::default();
    counts.set_count(1, 3, 9, 0);
    counts.set_count(1, 1, 8, 0);
    assert_eq!(counts.next_count(1), (4, 9));
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

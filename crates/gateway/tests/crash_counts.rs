//! Requests that crash targets.

use lagoon_gateway::{fingerprint, CrashCounts, RequestMetadata};
use yare::parameterized;

const BODY: &[u8] = &[7; 200];

fn facts(program: &str) -> RequestMetadata {
    RequestMetadata {
        program: Some(program.into()),
        ..RequestMetadata::default()
    }
}

#[test]
fn is_refused_at_the_third_crash_and_not_for_good() {
    let mut suspects = CrashCounts::default();
    for crash in 1..=3 {
        assert!(!suspects.is_quarantined(1, 0));
        let (crashes, _) = suspects.next_count(1);
        assert_eq!(crashes, crash);
        suspects.set_count(1, crashes, u64::from(crash), 0);
    }
    assert!(suspects.is_quarantined(1, 59_999));
    assert!(!suspects.is_quarantined(1, 60_000));
    assert!(!suspects.is_quarantined(2, 0));
    assert_eq!(suspects.expired(60_000), [(1, 3)]);
}

#[test]
fn set_older_row_changes_nothing() {
    let mut suspects = CrashCounts::default();
    suspects.set_count(1, 3, 9, 0);
    suspects.set_count(1, 1, 8, 0);
    assert_eq!(suspects.next_count(1), (4, 9));
}

#[parameterized(
    same = { "/a", BODY, "p", true },
    other_program = { "/a", BODY, "q", true },
    other_path = { "/b", BODY, "p", false },
    other_body = { "/a", &[8; 200], "p", false },
)]
fn fingerprint_of_content(path: &str, body: &[u8], program: &str, is_same: bool) {
    let first = fingerprint("/a", BODY, &facts("p"));
    assert_eq!(fingerprint(path, body, &facts(program)) == first, is_same);
}

#[test]
fn fingerprint_without_a_body_is_the_callers_own() {
    let first = fingerprint("/a", b"", &facts("p"));
    assert_ne!(fingerprint("/a", b"", &facts("q")), first);
}

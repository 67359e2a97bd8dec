//! Requests that crash targets.

use lagoon_gateway::{fingerprint, RequestMetadata, Suspects};
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
    let mut suspects = Suspects::default();
    for crash in 1..=3 {
        assert!(!suspects.is_refused(1, 0));
        let (crashes, _) = suspects.one_more(1);
        assert_eq!(crashes, crash);
        suspects.set(1, crashes, u64::from(crash), 0);
    }
    assert!(suspects.is_refused(1, 59_999));
    assert!(!suspects.is_refused(1, 60_000));
    assert!(!suspects.is_refused(2, 0));
    assert_eq!(suspects.over(60_000), [(1, 3)]);
}

#[test]
fn set_older_row_changes_nothing() {
    let mut suspects = Suspects::default();
    suspects.set(1, 3, 9, 0);
    suspects.set(1, 1, 8, 0);
    assert_eq!(suspects.one_more(1), (4, 9));
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

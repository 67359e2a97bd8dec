//! Crashes of targets that interrupt nothing.

use lagoon_gateway::{TargetEntry, TargetKey, TargetStatus, Targets, UnfinishedAttempt};
use yare::parameterized;

fn entry(status: TargetStatus, started_unix_ms: u64) -> TargetEntry {
    TargetEntry {
        id: "a".into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        domain: "d1".into(),
        software_version: "v1".into(),
        slots: 4,
        status,
        started_unix_ms: Some(started_unix_ms),
    }
}

fn attempt(ended_ms: u64) -> UnfinishedAttempt {
    UnfinishedAttempt {
        request_id: "r".into(),
        fingerprint: 1,
        ended_ms,
    }
}

/// Target "a", with an unfinished attempt that ended at 1,000 ms.
fn targets() -> (Targets, TargetKey) {
    let mut targets = Targets::default();
    targets.upsert(entry(TargetStatus::Ready, 1));
    let key = targets.of_service("s").next().expect("is listed").0;
    targets.record_unfinished(key, attempt(1_000));
    (targets, key)
}

/// Times at which the lost attempts ended.
fn lost(targets: &mut Targets, now_ms: u64) -> Vec<u64> {
    let lost = targets.take_lost(now_ms);
    lost.into_iter().map(|lost| lost.attempt.ended_ms).collect()
}

#[test]
fn attempt_is_lost_if_its_target_is_removed() {
    let (mut targets, _) = targets();
    assert!(lost(&mut targets, 4_000).is_empty());
    targets.remove("a", 5_000);
    assert_eq!(lost(&mut targets, 5_000), [1_000]);
    assert!(lost(&mut targets, 5_000).is_empty());
}

#[test]
fn attempt_is_lost_if_its_target_starts_again_under_its_id() {
    let (mut targets, _) = targets();
    targets.upsert(entry(TargetStatus::Ready, 1));
    assert!(lost(&mut targets, 5_000).is_empty());
    targets.upsert(entry(TargetStatus::Ready, 2));
    assert_eq!(lost(&mut targets, 5_000), [1_000]);
}

#[test]
fn attempt_is_lost_if_it_ends_after_its_target_was_removed() {
    let (mut targets, key) = targets();
    targets.remove("a", 5_000);
    targets.record_unfinished(key, attempt(6_000));
    assert_eq!(lost(&mut targets, 6_000), [1_000, 6_000]);
}

#[parameterized(
    alive_before_it_expired = { |targets, key| {
        targets.record_progress(key, 3_001);
        targets.record_unfinished(key, attempt(4_999));
    }, 5_000 },
    progress_later = { |targets, key| targets.record_progress(key, 1_001), 5_000 },
    planned_stop = { |targets, _| targets.upsert(entry(TargetStatus::Draining, 1)), 5_000 },
    too_long_ago = { |_, _| (), 16_000 },
)]
fn attempt_is_not_lost(event: fn(&mut Targets, TargetKey), removed_ms: u64) {
    let (mut targets, key) = targets();
    event(&mut targets, key);
    targets.remove("a", removed_ms);
    assert!(lost(&mut targets, removed_ms).is_empty());
}

#[test]
fn domain_neighbors_with_the_latest_sign_of_life_come_first() {
    let (mut targets, key) = targets();
    for (id, domain) in [("b", "d1"), ("c", "d1"), ("d", "d1"), ("e", "d2")] {
        let port = 9_000 + u16::from(id.as_bytes()[0]);
        targets.upsert(TargetEntry {
            id: id.into(),
            address: ([127, 0, 0, 1], port).into(),
            domain: domain.into(),
            ..entry(TargetStatus::Ready, 1)
        });
    }
    let key_of = |targets: &Targets, id: &str| {
        let mut all = targets.of_service("s");
        all.find(|(_, target)| target.entry.id == id)
            .expect("is listed")
            .0
    };
    let (c, d) = (key_of(&targets, "c"), key_of(&targets, "d"));
    targets.record_progress(c, 1_000);
    targets.record_progress(d, 2_000);
    let address = |key| targets.get(key).expect("is listed").entry.address;
    assert_eq!(targets.domain_neighbors(key, 2), [address(d), address(c)]);
    assert_eq!(targets.domain_neighbors(key, 9).len(), 3);
}

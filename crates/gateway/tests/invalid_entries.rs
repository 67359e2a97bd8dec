//! Entries that name no target to use, in place of the last one of a known target.

use lagoon_gateway::{TargetEntry, TargetKey, TargetStatus, Targets, UnfinishedAttempt};

const NOW_MS: u64 = 10_000;

fn entry(service: &str) -> TargetEntry {
    TargetEntry {
        id: "a".into(),
        service: service.into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        domain: "d1".into(),
        software_version: "v1".into(),
        slots: 4,
        status: TargetStatus::Ready,
        started_unix_ms: Some(1),
    }
}

/// Target "a" of service "s".
fn targets() -> (Targets, TargetKey) {
    let mut targets = Targets::default();
    targets.upsert(entry("s"));
    let key = usable(&targets, "s").expect("is listed");
    (targets, key)
}

fn usable(targets: &Targets, service: &str) -> Option<TargetKey> {
    let mut of_service = targets.of_service(service);
    let found = of_service.find(|(_, target)| target.accepts_requests());
    found.map(|(key, _)| key)
}

// Guards against requests by an entry that is no longer there, and against the loss of
// what is known of the target.
#[test]
fn suspended_target_is_unused_until_its_next_valid_entry() {
    let (mut targets, key) = targets();
    targets.request_started(key, NOW_MS);
    targets.suspend("a");
    assert_eq!(usable(&targets, "s"), None);
    targets.upsert(entry("s"));
    assert_eq!(usable(&targets, "s"), Some(key));
    assert_eq!(targets.get(key).expect("is known").in_flight, 1);
}

// Guards against a crash that isn't counted, as another writer's entry came before the
// removal of the target's own.
#[test]
fn suspended_target_that_is_removed_may_have_crashed() {
    let (mut targets, key) = targets();
    let attempt = UnfinishedAttempt {
        request_id: "r".into(),
        fingerprint: 1,
        ended_ms: NOW_MS,
    };
    targets.record_unfinished(key, attempt);
    targets.suspend("a");
    targets.remove("a", NOW_MS + 3_000);
    assert_eq!(targets.take_lost(NOW_MS + 3_000).len(), 1);
}

// Guards against a suspended target that comes back as it was, although it has started
// again meanwhile.
#[test]
fn suspended_target_that_started_again_is_another() {
    let (mut targets, key) = targets();
    targets.suspend("a");
    targets.upsert(TargetEntry {
        started_unix_ms: Some(2),
        ..entry("s")
    });
    assert!(usable(&targets, "s").is_some_and(|usable| usable != key));
    assert!(targets.get(key).is_none());
}

// Guards against an invalid entry that keeps a target from being removed.
#[test]
fn suspended_target_is_removed_with_its_entry() {
    let (mut targets, _) = targets();
    targets.suspend("a");
    targets.retain(|_| false, NOW_MS);
    assert!(targets.is_empty());
    targets.suspend("a");
    assert!(targets.is_empty());
}

// Guards against an entry that was read before the configuration that names its
// service, and is then forgotten.
#[test]
fn held_entry_applies_once_its_service_is_named() {
    let (mut targets, key) = targets();
    assert!(targets.hold(entry("t")));
    assert_eq!((usable(&targets, "s"), usable(&targets, "t")), (None, None));
    targets.release_held(|service| service == "s");
    assert!(targets.get(key).is_some());
    targets.release_held(|service| service == "t");
    assert!(usable(&targets, "t").is_some());
    assert!(targets.get(key).is_none());
}

// Guards against the return of a held entry that was replaced.
#[test]
fn held_entry_is_dropped_by_the_next_one() {
    let (mut targets, key) = targets();
    targets.hold(entry("t"));
    targets.upsert(entry("s"));
    targets.release_held(|_| true);
    assert_eq!(usable(&targets, "s"), Some(key));
    targets.hold(entry("t"));
    targets.suspend("a");
    targets.release_held(|_| true);
    assert_eq!(usable(&targets, "s"), None);
    assert_eq!(usable(&targets, "t"), None);
}

// Guards against targets that are unknown when the configuration names their service.
#[test]
fn entry_of_a_service_that_is_not_named_yet_is_kept() {
    let (mut targets, _) = targets();
    assert!(!targets.hold(entry("s")));
    let other = TargetEntry {
        id: "b".into(),
        ..entry("t")
    };
    assert!(!targets.hold(other));
    assert!(usable(&targets, "t").is_some());
}

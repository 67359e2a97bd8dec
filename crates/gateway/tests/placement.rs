//! Known targets and the placement of requests among them.

use lagoon_gateway::{
    place, Placement, PlacementRequest, PlacementSettings, RequestMetadata, TargetEntry, TargetKey,
    TargetLoad, TargetStatus, Targets, UnfinishedAttempt,
};
use yare::parameterized;

fn entry(id: &str, domain: &str) -> TargetEntry {
    let number: u16 = id.bytes().map(u16::from).sum();
    TargetEntry {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 9_000 + number).into(),
        domain: domain.into(),
        software_version: "v1".into(),
        slots: 4,
        status: TargetStatus::Ready,
        started_unix_ms: None,
    }
}

fn targets(ids: &[(&str, &str)]) -> Targets {
    let mut targets = Targets::default();
    for (id, domain) in ids {
        targets.upsert(entry(id, domain));
    }
    targets
}

fn key(targets: &Targets, id: &str) -> TargetKey {
    let mut found = targets.of_service("s");
    found
        .find(|(_, target)| target.entry.id == id)
        .expect("is listed")
        .0
}

fn placed(
    targets: &Targets,
    metadata: &RequestMetadata,
    excluded: &[TargetKey],
    random: u64,
) -> Option<Placement> {
    place_at(targets, metadata, excluded, random, 0)
}

fn place_at(
    targets: &Targets,
    metadata: &RequestMetadata,
    excluded: &[TargetKey],
    random: u64,
    now_ms: u64,
) -> Option<Placement> {
    place_with(targets, metadata, None, excluded, random, now_ms)
}

fn place_with(
    targets: &Targets,
    metadata: &RequestMetadata,
    last: Option<TargetKey>,
    excluded: &[TargetKey],
    random: u64,
    now_ms: u64,
) -> Option<Placement> {
    let request = PlacementRequest {
        service: "s",
        metadata,
        domain: "d1",
        last_target: last,
        excluded_targets: excluded,
        demand: lagoon_limits::Demand::Running,
        skips_limited: false,
        software: None,
        distant_targets: &[],
        random,
    };
    place(targets, &PlacementSettings::default(), &request, now_ms)
}

fn id_of(targets: &Targets, placement: Option<Placement>) -> String {
    let target = targets
        .get(placement.expect("is chosen").key)
        .expect("is listed");
    target.entry.id.to_string()
}

fn prompt(program: &str) -> RequestMetadata {
    RequestMetadata {
        program: Some(program.into()),
        prompt_tokens: 2_000,
        prompt_parts: vec![(1, 512), (2, 1_488)],
        ..RequestMetadata::default()
    }
}

#[test]
fn place_prefers_the_own_domain() {
    let targets = targets(&[("a", "d1"), ("b", "d2")]);
    let placement = placed(&targets, &RequestMetadata::default(), &[], 1);
    assert_eq!(id_of(&targets, placement), "a");
}

#[test]
fn place_avoids_full_target() {
    let mut targets = targets(&[("a", "d1"), ("b", "d2")]);
    let full = key(&targets, "a");
    (0..4).for_each(|_| targets.request_started(full, 0));
    let placement = placed(&targets, &RequestMetadata::default(), &[], 1);
    assert_eq!(id_of(&targets, placement), "b");
}

#[test]
fn place_spreads_over_equal_targets() {
    let targets = targets(&[("a", "d1"), ("b", "d1"), ("c", "d1")]);
    let mut seen: Vec<String> = (0..50)
        .map(|random| {
            id_of(
                &targets,
                placed(&targets, &RequestMetadata::default(), &[], random),
            )
        })
        .collect();
    seen.sort();
    seen.dedup();
    assert_eq!(seen, ["a", "b", "c"]);
}

#[test]
fn place_chooses_the_same_engine_for_a_program() {
    let targets = targets(&[("a", "d1"), ("b", "d1"), ("c", "d1")]);
    let metadata = prompt("p");
    let first = id_of(&targets, placed(&targets, &metadata, &[], 0));
    let others = (1..50).map(|random| id_of(&targets, placed(&targets, &metadata, &[], random)));
    assert!(others.into_iter().all(|id| id == first));
}

#[test]
fn place_skips_draining_target() {
    let mut targets = targets(&[("a", "d1")]);
    targets.upsert(TargetEntry {
        status: TargetStatus::Draining,
        ..entry("a", "d1")
    });
    assert_eq!(placed(&targets, &RequestMetadata::default(), &[], 0), None);
}

fn restarted(id: &str, started_unix_ms: u64) -> TargetEntry {
    TargetEntry {
        started_unix_ms: Some(started_unix_ms),
        ..entry(id, "d1")
    }
}

// Guards against requests to a target that has stated that it is about to stop, as
// its entry is written again, expires and comes back, or is read late.
#[test]
fn place_skips_leaving_target_until_it_starts_again() {
    let mut targets = targets(&[("t2", "d1")]);
    targets.upsert(restarted("t1", 7));
    let is_used = |targets: &Targets| {
        (0..50).any(|random| {
            let placement = placed(targets, &RequestMetadata::default(), &[], random);
            id_of(targets, placement) == "t1"
        })
    };
    assert!(is_used(&targets));
    assert!(targets.record_leaving(&restarted("t1", 7), 20));
    assert!(!targets.record_leaving(&restarted("t1", 7), 30));
    assert!(!is_used(&targets));
    targets.upsert(restarted("t1", 7));
    assert!(!is_used(&targets));
    targets.remove("t1", 0);
    targets.upsert(restarted("t1", 7));
    assert!(!is_used(&targets));
    assert_eq!(targets.leaving_count(), 1);
    targets.upsert(restarted("t1", 31));
    assert!(is_used(&targets));
    assert_eq!(targets.leaving_count(), 0);
}

// Guards against requests to a run that has stated that it is about to stop before
// this VM reads that it has started.
#[test]
fn place_skips_leaving_target_whose_start_is_read_late() {
    let mut targets = targets(&[]);
    targets.upsert(restarted("t1", 7));
    assert!(targets.record_leaving(&restarted("t1", 7), 20));
    // A response that took longer than others.
    assert!(!targets.record_leaving(&restarted("t1", 7), 10));
    targets.upsert(restarted("t1", 15));
    assert_eq!(targets.leaving_count(), 1);
}

// Guards against a statement that counts for nothing as this VM's clock is behind
// that of the target.
#[test]
fn place_skips_leaving_target_whose_clock_is_ahead() {
    let mut targets = targets(&[]);
    targets.upsert(restarted("t1", 50));
    assert!(targets.record_leaving(&restarted("t1", 50), 20));
    assert_eq!(targets.leaving_count(), 1);
}

// Guards against a successor that is left out as its address, or its id, is that of
// a target that has left, and against a statement that comes after the entry is gone.
#[test]
fn record_leaving_of_another_target_leaves_the_listed_one_in_use() {
    let mut targets = targets(&[]);
    targets.upsert(restarted("t1", 8));
    assert!(targets.record_leaving(&restarted("t1", 7), 7));
    assert!(targets.record_leaving(
        &TargetEntry {
            id: "t0".into(),
            ..restarted("t1", 8)
        },
        20
    ));
    assert_eq!(targets.leaving_count(), 0);
    targets.remove("t1", 0);
    assert!(targets.record_leaving(&restarted("t1", 8), 20));
    targets.upsert(restarted("t1", 8));
    assert_eq!(targets.leaving_count(), 1);
}

// Guards against a target that left as it had stated and is taken for crashed when
// its entry expires.
#[test]
fn leaving_target_whose_entry_expires_has_not_crashed() {
    let mut targets = targets(&[("t1", "d1")]);
    let key = key(&targets, "t1");
    targets.record_unfinished(
        key,
        UnfinishedAttempt {
            request_id: "r".into(),
            fingerprint: 1,
            ended_ms: 10,
        },
    );
    targets.record_leaving(&entry("t1", "d1"), 20);
    targets.remove("t1", 5_000);
    assert!(targets.take_lost(5_000).is_empty());
}

#[test]
fn place_excludes_failed_targets() {
    let targets = targets(&[("a", "d1")]);
    let excluded = [key(&targets, "a")];
    assert_eq!(
        placed(&targets, &RequestMetadata::default(), &excluded, 0),
        None
    );
}

#[test]
fn place_uses_ejected_target_only_without_another() {
    let mut targets = targets(&[("a", "d1"), ("b", "d2")]);
    let ejected = key(&targets, "a");
    targets.record_unreachable(ejected, 0);
    let placement = placed(&targets, &RequestMetadata::default(), &[], 0);
    assert_eq!(id_of(&targets, placement), "b");
    targets.remove("b", 0);
    let placement = placed(&targets, &RequestMetadata::default(), &[], 0);
    assert_eq!(id_of(&targets, placement), "a");
}

#[test]
fn place_avoids_target_with_a_high_failure_rate() {
    let mut targets = targets(&[("a", "d1"), ("b", "d2")]);
    let failing = key(&targets, "a");
    for request in 0..20 {
        targets.record_response(failing, request % 3 != 0, 100, 0);
    }
    let placement = placed(&targets, &RequestMetadata::default(), &[], 0);
    assert_eq!(id_of(&targets, placement), "b");
    for _ in 0..40 {
        targets.record_response(failing, true, 100, 0);
    }
    let placement = placed(&targets, &RequestMetadata::default(), &[], 0);
    assert_eq!(id_of(&targets, placement), "a");
}

#[test]
fn place_avoids_stalled_target() {
    let mut targets = targets(&[("a", "d1"), ("b", "d2")]);
    let stalled = key(&targets, "a");
    targets.request_started(stalled, 0);
    let at = |targets: &Targets, now_ms| {
        id_of(
            targets,
            place_at(targets, &RequestMetadata::default(), &[], 0, now_ms),
        )
    };
    assert_eq!(at(&targets, 200), "a");
    assert_eq!(at(&targets, 400), "b");
    targets.record_progress(stalled, 400);
    assert_eq!(at(&targets, 401), "a");
}

#[test]
fn load_report_counts_other_requests_and_decays() {
    let mut targets = targets(&[("a", "d1")]);
    let key = key(&targets, "a");
    targets.request_started(key, 0);
    let load = TargetLoad {
        running: 3,
        waiting: 2,
        slots: 4,
        work_percent: None,
    };
    targets.record_load(key, load, 100);
    let settings = targets.settings;
    let target = targets.get(key).unwrap();
    assert!((target.load(&settings, 100) - 5.0).abs() < 1e-9);
    assert!(target.load(&settings, 5_000) < 1.1);
}

#[parameterized(
    outside_of_an_outage = { 5_000, false },
    right_after_an_outage = { 1_000, true },
)]
fn remove_entry(at_ms: u64, is_kept: bool) {
    let mut targets = targets(&[("a", "d1")]);
    targets.on_store_recovered(0);
    targets.remove("a", at_ms);
    assert_eq!(!targets.is_empty(), is_kept);
    targets.remove_expired(5_000);
    assert!(targets.is_empty());
}

#[test]
fn remove_expired_keeps_an_entry_that_was_written_again() {
    let mut targets = targets(&[("a", "d1")]);
    targets.on_store_recovered(0);
    targets.remove("a", 100);
    targets.upsert(entry("a", "d1"));
    targets.remove_expired(5_000);
    assert_eq!(targets.len(), 1);
}

#[test]
fn upsert_of_another_service_under_a_known_id_replaces_the_target() {
    let mut targets = targets(&[("a", "d1")]);
    let before = key(&targets, "a");
    targets.request_started(before, 0);
    targets.upsert(TargetEntry {
        service: "t".into(),
        ..entry("a", "d1")
    });
    assert_eq!(targets.of_service("s").count(), 0);
    assert!(targets.get(before).is_none());
}

fn engines() -> Targets {
    targets(&[("a", "d1"), ("b", "d1"), ("c", "d1")])
}

fn add_load(targets: &mut Targets, id: &str, requests: u32) -> TargetKey {
    let key = key(targets, id);
    (0..requests).for_each(|_| targets.request_started(key, 0));
    key
}

#[test]
fn place_keeps_session_at_its_cached_prompt_despite_shorter_queues() {
    let mut targets = engines();
    let last = add_load(&mut targets, "a", 8);
    add_load(&mut targets, "b", 4);
    add_load(&mut targets, "c", 4);
    let placement = place_with(&targets, &prompt("p"), Some(last), &[], 0, 0);
    assert_eq!(id_of(&targets, placement), "a");
    assert!(placement.is_some_and(|placement| placement.is_preferred));
}

#[test]
fn place_moves_session_if_the_queue_costs_more_than_a_prefill() {
    let mut targets = engines();
    let last = add_load(&mut targets, "a", 30);
    let placement = place_with(&targets, &prompt("p"), Some(last), &[], 0, 0);
    assert_ne!(id_of(&targets, placement), "a");
}

#[test]
fn place_moves_session_from_a_slow_target() {
    let mut targets = engines();
    let last = key(&targets, "a");
    for id in ["b", "c"] {
        let healthy = key(&targets, id);
        (0..100).for_each(|_| targets.record_event_interval(healthy, 40.0, 1));
    }
    (0..30).for_each(|_| targets.record_event_interval(last, 160.0, 1));
    let placement = place_with(&targets, &prompt("p"), Some(last), &[], 0, 1);
    assert_ne!(id_of(&targets, placement), "a");
}

#[test]
fn place_moves_session_from_a_target_with_a_high_failure_rate() {
    let mut targets = engines();
    let last = key(&targets, "a");
    (0..20).for_each(|request| targets.record_response(last, request % 3 != 0, 100, 0));
    let placement = place_with(&targets, &prompt("p"), Some(last), &[], 0, 0);
    assert_ne!(id_of(&targets, placement), "a");
}

#[test]
fn place_treats_session_of_a_removed_target_as_new() {
    let mut targets = engines();
    let last = key(&targets, "a");
    targets.remove("a", 10_000);
    let placement = place_with(&targets, &prompt("p"), Some(last), &[], 0, 10_000);
    assert!(["b", "c"].contains(&id_of(&targets, placement).as_str()));
    assert!(placement.is_some_and(|placement| placement.is_preferred));
}

#[test]
fn place_new_program_at_the_less_loaded_of_its_two_targets() {
    let mut targets = engines();
    let metadata = prompt("p");
    let first = id_of(&targets, placed(&targets, &metadata, &[], 0));
    add_load(&mut targets, &first, 3);
    let placement = placed(&targets, &metadata, &[], 0);
    assert_ne!(id_of(&targets, placement), first);
    assert!(placement.is_some_and(|placement| placement.is_preferred));
}

#[test]
fn service_ms_is_sampled_only_without_a_queue() {
    let mut targets = engines();
    let idle = key(&targets, "a");
    (0..200).for_each(|_| targets.record_response(idle, true, 40, 0));
    assert!((targets.service_ms("s") - 40.0).abs() < 5.0);
    let full = add_load(&mut targets, "b", 9);
    (0..200).for_each(|_| targets.record_response(full, true, 900, 0));
    assert!((targets.service_ms("s") - 40.0).abs() < 5.0);
    assert!(targets.service_ms("unknown") > 100.0);
}

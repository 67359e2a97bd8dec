//! Targets as the store lists them, and the choice among them.

use lagoon_gateway::{
    place, Placement, PlacementRequest, PlacementSettings, RequestMetadata, TargetEntry, TargetKey,
    TargetLoad, TargetStatus, Targets,
};
use yare::parameterized;

fn entry(id: &str, domain: &str) -> TargetEntry {
    let number: u16 = id.bytes().map(u16::from).sum();
    TargetEntry {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 9_000 + number).into(),
        domain: domain.into(),
        slots: 4,
        status: TargetStatus::Ready,
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

fn chosen(
    targets: &Targets,
    facts: &RequestMetadata,
    avoid: &[TargetKey],
    random: u64,
) -> Option<Placement> {
    chosen_at(targets, facts, avoid, random, 0)
}

fn chosen_at(
    targets: &Targets,
    facts: &RequestMetadata,
    avoid: &[TargetKey],
    random: u64,
    now_ms: u64,
) -> Option<Placement> {
    placed(targets, facts, None, avoid, random, now_ms)
}

fn placed(
    targets: &Targets,
    facts: &RequestMetadata,
    last: Option<TargetKey>,
    avoid: &[TargetKey],
    random: u64,
    now_ms: u64,
) -> Option<Placement> {
    let ask = PlacementRequest {
        service: "s",
        metadata: facts,
        domain: "d1",
        last_target: last,
        excluded_targets: avoid,
        random,
    };
    place(targets, &PlacementSettings::default(), &ask, now_ms)
}

fn id_of(targets: &Targets, choice: Option<Placement>) -> String {
    let target = targets
        .get(choice.expect("is chosen").key)
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
    let choice = chosen(&targets, &RequestMetadata::default(), &[], 1);
    assert_eq!(id_of(&targets, choice), "a");
}

#[test]
fn place_leaves_a_full_target() {
    let mut targets = targets(&[("a", "d1"), ("b", "d2")]);
    let full = key(&targets, "a");
    (0..4).for_each(|_| targets.request_started(full, 0));
    let choice = chosen(&targets, &RequestMetadata::default(), &[], 1);
    assert_eq!(id_of(&targets, choice), "b");
}

#[test]
fn place_spreads_equals() {
    let targets = targets(&[("a", "d1"), ("b", "d1"), ("c", "d1")]);
    let mut seen: Vec<String> = (0..50)
        .map(|random| {
            id_of(
                &targets,
                chosen(&targets, &RequestMetadata::default(), &[], random),
            )
        })
        .collect();
    seen.sort();
    seen.dedup();
    assert_eq!(seen, ["a", "b", "c"]);
}

#[test]
fn place_program_stays_at_one_engine() {
    let targets = targets(&[("a", "d1"), ("b", "d1"), ("c", "d1")]);
    let facts = prompt("p");
    let first = id_of(&targets, chosen(&targets, &facts, &[], 0));
    let others = (1..50).map(|random| id_of(&targets, chosen(&targets, &facts, &[], random)));
    assert!(others.into_iter().all(|id| id == first));
}

#[test]
fn place_draining_target_gets_nothing() {
    let mut targets = targets(&[("a", "d1")]);
    targets.upsert(TargetEntry {
        status: TargetStatus::Draining,
        ..entry("a", "d1")
    });
    assert_eq!(chosen(&targets, &RequestMetadata::default(), &[], 0), None);
}

#[test]
fn place_avoided_target_gets_nothing() {
    let targets = targets(&[("a", "d1")]);
    let avoid = [key(&targets, "a")];
    assert_eq!(
        chosen(&targets, &RequestMetadata::default(), &avoid, 0),
        None
    );
}

#[test]
fn place_paused_target_only_without_another() {
    let mut targets = targets(&[("a", "d1"), ("b", "d2")]);
    let paused = key(&targets, "a");
    targets.record_unreachable(paused, 0);
    let choice = chosen(&targets, &RequestMetadata::default(), &[], 0);
    assert_eq!(id_of(&targets, choice), "b");
    targets.remove("b", 0);
    let choice = chosen(&targets, &RequestMetadata::default(), &[], 0);
    assert_eq!(id_of(&targets, choice), "a");
}

#[test]
fn place_leaves_a_target_that_fails_some_requests() {
    let mut targets = targets(&[("a", "d1"), ("b", "d2")]);
    let grey = key(&targets, "a");
    for request in 0..20 {
        targets.record_response(grey, request % 3 != 0, 100, 0);
    }
    let choice = chosen(&targets, &RequestMetadata::default(), &[], 0);
    assert_eq!(id_of(&targets, choice), "b");
    for _ in 0..40 {
        targets.record_response(grey, true, 100, 0);
    }
    let choice = chosen(&targets, &RequestMetadata::default(), &[], 0);
    assert_eq!(id_of(&targets, choice), "a");
}

#[test]
fn place_leaves_a_target_that_is_stuck() {
    let mut targets = targets(&[("a", "d1"), ("b", "d2")]);
    let stuck = key(&targets, "a");
    targets.request_started(stuck, 0);
    let at = |targets: &Targets, now_ms| {
        id_of(
            targets,
            chosen_at(targets, &RequestMetadata::default(), &[], 0, now_ms),
        )
    };
    assert_eq!(at(&targets, 200), "a");
    assert_eq!(at(&targets, 400), "b");
    targets.record_progress(stuck, 400);
    assert_eq!(at(&targets, 401), "a");
}

#[test]
fn load_report_counts_others_and_fades() {
    let mut targets = targets(&[("a", "d1")]);
    let key = key(&targets, "a");
    targets.request_started(key, 0);
    let load = TargetLoad {
        running: 3,
        waiting: 2,
        slots: 4,
    };
    targets.record_load(key, load, 100);
    let settings = targets.settings;
    let target = targets.get(key).unwrap();
    assert!((target.load(&settings, 100) - 5.0).abs() < 1e-9);
    assert!(target.load(&settings, 5_000) < 1.1);
}

#[parameterized(
    steady = { 5_000, false },
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
fn sweep_keeps_an_entry_that_came_back() {
    let mut targets = targets(&[("a", "d1")]);
    targets.on_store_recovered(0);
    targets.remove("a", 100);
    targets.upsert(entry("a", "d1"));
    targets.remove_expired(5_000);
    assert_eq!(targets.len(), 1);
}

#[test]
fn upsert_other_service_at_the_identity_is_another_target() {
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

fn load_up(targets: &mut Targets, id: &str, requests: u32) -> TargetKey {
    let key = key(targets, id);
    (0..requests).for_each(|_| targets.request_started(key, 0));
    key
}

#[test]
fn place_line_stays_where_its_prompt_is_kept_though_others_wait_less() {
    let mut targets = engines();
    let last = load_up(&mut targets, "a", 8);
    load_up(&mut targets, "b", 4);
    load_up(&mut targets, "c", 4);
    let choice = placed(&targets, &prompt("p"), Some(last), &[], 0, 0);
    assert_eq!(id_of(&targets, choice), "a");
    assert!(choice.is_some_and(|choice| choice.is_preferred));
}

#[test]
fn place_line_leaves_a_target_whose_queue_costs_more_than_its_prompt() {
    let mut targets = engines();
    let last = load_up(&mut targets, "a", 30);
    let choice = placed(&targets, &prompt("p"), Some(last), &[], 0, 0);
    assert_ne!(id_of(&targets, choice), "a");
}

#[test]
fn place_line_leaves_a_target_that_has_turned_slow() {
    let mut targets = engines();
    let last = key(&targets, "a");
    for id in ["b", "c"] {
        let sound = key(&targets, id);
        (0..100).for_each(|_| targets.record_event_interval(sound, 40.0, 1));
    }
    (0..30).for_each(|_| targets.record_event_interval(last, 160.0, 1));
    let choice = placed(&targets, &prompt("p"), Some(last), &[], 0, 1);
    assert_ne!(id_of(&targets, choice), "a");
}

#[test]
fn place_line_leaves_a_target_that_fails_some_requests() {
    let mut targets = engines();
    let last = key(&targets, "a");
    (0..20).for_each(|request| targets.record_response(last, request % 3 != 0, 100, 0));
    let choice = placed(&targets, &prompt("p"), Some(last), &[], 0, 0);
    assert_ne!(id_of(&targets, choice), "a");
}

#[test]
fn place_line_whose_target_left_begins_anew_at_one_of_two() {
    let mut targets = engines();
    let last = key(&targets, "a");
    targets.remove("a", 10_000);
    let choice = placed(&targets, &prompt("p"), Some(last), &[], 0, 10_000);
    assert!(["b", "c"].contains(&id_of(&targets, choice).as_str()));
    assert!(choice.is_some_and(|choice| choice.is_preferred));
}

#[test]
fn place_new_program_takes_the_less_loaded_of_its_two_targets() {
    let mut targets = engines();
    let facts = prompt("p");
    let first = id_of(&targets, chosen(&targets, &facts, &[], 0));
    load_up(&mut targets, &first, 3);
    let choice = chosen(&targets, &facts, &[], 0);
    assert_ne!(id_of(&targets, choice), first);
    assert!(choice.is_some_and(|choice| choice.is_preferred));
}

#[test]
fn run_ms_is_learned_only_where_nothing_waits() {
    let mut targets = engines();
    let idle = key(&targets, "a");
    (0..200).for_each(|_| targets.record_response(idle, true, 40, 0));
    assert!((targets.service_ms("s") - 40.0).abs() < 5.0);
    let full = load_up(&mut targets, "b", 9);
    (0..200).for_each(|_| targets.record_response(full, true, 900, 0));
    assert!((targets.service_ms("s") - 40.0).abs() < 5.0);
    assert!(targets.service_ms("unknown") > 100.0);
}

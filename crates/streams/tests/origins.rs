//! Records of streams, holders, and the versions that a VM has read.

use lagoon_streams::{
    decide_origin, heir, holder_candidates, holders, OriginAnswer, OriginRecord, OriginReply,
    Origins, SoftwareId, StreamId, UnknownOrigin, VersionHistory,
};
use yare::parameterized;

const V1: SoftwareId = SoftwareId(1);
const V2: SoftwareId = SoftwareId(2);
const SERVICE: u64 = 7;

fn record(stream: u64, software: SoftwareId) -> OriginRecord {
    OriginRecord {
        stream: StreamId(stream),
        software,
        target: 5,
    }
}

fn answer(reply: OriginReply, sole: Option<SoftwareId>) -> OriginAnswer {
    OriginAnswer { reply, sole }
}

fn known(software: SoftwareId) -> OriginReply {
    OriginReply::Known(record(1, software))
}

#[parameterized(
    record_of_another_vm = { &[answer(OriginReply::Unknown, None), answer(known(V1), None)], &[V1, V2], Ok(V1) },
    record_before_the_only_version = { &[answer(known(V1), Some(V2))], &[V2], Ok(V1) },
    records_that_differ = { &[answer(known(V1), None), answer(known(V2), None)], &[V1, V2], Err(UnknownOrigin::Ambiguous) },
    ambiguous_at_a_holder = { &[answer(OriginReply::Ambiguous, Some(V1))], &[V1], Err(UnknownOrigin::Ambiguous) },
    nobody_knows = { &[answer(OriginReply::Unknown, None)], &[V1], Err(UnknownOrigin::NoRecord) },
    only_version = { &[answer(OriginReply::Unknown, Some(V1))], &[V1], Ok(V1) },
    only_version_by_another_vm = { &[answer(OriginReply::Unknown, None), answer(OriginReply::Unknown, Some(V1))], &[V1], Ok(V1) },
    only_versions_that_differ = { &[answer(OriginReply::Unknown, Some(V1)), answer(OriginReply::Unknown, Some(V2))], &[], Err(UnknownOrigin::NoRecord) },
    only_version_beside_another_that_was_read = { &[answer(OriginReply::Unknown, Some(V1))], &[V1, V2], Err(UnknownOrigin::NoRecord) },
    no_answer = { &[], &[V1], Err(UnknownOrigin::NoRecord) },
)]
fn decide_origin_by_answers(
    answers: &[OriginAnswer],
    versions: &[SoftwareId],
    expected: Result<SoftwareId, UnknownOrigin>,
) {
    assert_eq!(decide_origin(answers, versions, |_| false), expected);
}

#[test]
fn decide_origin_doubts_a_target_whose_version_changed() {
    let answers = [answer(known(V1), None)];
    let decision = decide_origin(&answers, &[V1], |target| target == 5);
    assert_eq!(decision, Err(UnknownOrigin::ChangedTarget));
}

#[test]
fn stream_id_depends_on_request_and_content() {
    let stream = StreamId::new("r1", 3);
    assert_eq!(stream, StreamId::new("r1", 3));
    assert_ne!(stream, StreamId::new("r2", 3));
    assert_ne!(stream, StreamId::new("r1", 4));
}

#[test]
fn software_id_depends_on_service_and_version() {
    assert_ne!(SoftwareId::new("a", "v1"), SoftwareId::new("b", "v1"));
    assert_ne!(SoftwareId::new("a", "v1"), SoftwareId::new("a", "v2"));
    assert_ne!(SoftwareId::new("a", "b"), SoftwareId::new("b", "a"));
}

#[test]
fn origins_keep_a_record_and_expire_it() {
    let mut origins = Origins::default();
    origins.insert(record(1, V1), 1_000);
    origins.insert(record(1, V1), 2_000);
    assert_eq!(origins.get(StreamId(1)), known(V1));
    let open: Vec<_> = origins.open_records(10_999).collect();
    assert_eq!(open, [record(1, V1)]);
    assert_eq!(origins.open_records(11_000).count(), 0, "too old to go on");
    origins.remove_expired(60_999);
    assert_eq!(origins.len(), 1);
    origins.remove_expired(61_000);
    assert!(origins.is_empty());
    assert_eq!(origins.get(StreamId(1)), OriginReply::Unknown);
}

#[test]
fn origins_of_two_versions_are_ambiguous() {
    let mut origins = Origins::default();
    origins.insert(record(1, V1), 0);
    origins.insert(record(1, V2), 0);
    origins.insert(record(1, V1), 0);
    assert_eq!(origins.get(StreamId(1)), OriginReply::Ambiguous);
    assert_eq!(origins.open_records(0).count(), 0, "nothing to hand over");
}

#[test]
fn origins_are_bounded_and_drop_the_oldest() {
    let mut origins = Origins::default();
    (0..60_000).for_each(|stream| origins.insert(record(stream, V1), stream / 10));
    assert_eq!(origins.len(), 50_000);
    assert_eq!(origins.get(StreamId(0)), OriginReply::Unknown);
    assert_ne!(origins.get(StreamId(59_999)), OriginReply::Unknown);
}

const VMS: [(&str, &str); 6] = [
    ("a1", "a"),
    ("a2", "a"),
    ("a3", "a"),
    ("b1", "b"),
    ("b2", "b"),
    ("c1", "c"),
];

#[test]
fn holders_are_of_the_own_and_another_domain_and_are_asked() {
    for stream in (0..100).map(StreamId) {
        let held_by = holders(stream, "a", VMS.into_iter());
        assert_eq!(held_by.len(), 2);
        assert!(held_by[0].starts_with('a') && !held_by[1].starts_with('a'));
        let asked = holder_candidates(stream, VMS.into_iter());
        assert_eq!(asked.len(), 5, "two of each domain, and the only one of c");
        assert!(held_by.iter().all(|vm| asked.contains(vm)));
    }
}

#[test]
fn holders_in_a_fleet_of_one_domain_are_two() {
    let vms = [("a1", "a"), ("a2", "a"), ("a3", "a"), ("a4", "a")];
    for stream in (0..20).map(StreamId) {
        let held_by = holders(stream, "a", vms.into_iter());
        assert_eq!(held_by.len(), 2);
        let asked = holder_candidates(stream, vms.into_iter());
        assert_eq!((&asked[..2], asked.len()), (&held_by[..], 3));
    }
    assert_eq!(holders(StreamId(1), "a", [("a1", "a")].into_iter()), ["a1"]);
    assert!(holders(StreamId(1), "a", std::iter::empty()).is_empty());
}

#[test]
fn holders_of_a_domain_without_another_vm_are_of_others() {
    let vms = [("b1", "b"), ("b2", "b"), ("c1", "c")];
    assert_eq!(holders(StreamId(1), "a", vms.into_iter()).len(), 2);
}

#[test]
fn record_is_found_after_its_holder_has_handed_over() {
    for stream in (0..100).map(StreamId) {
        for holder in holders(stream, "a", VMS.into_iter()) {
            let domain = VMS.iter().find(|(vm, _)| *vm == holder).expect("listed").1;
            let others = VMS.into_iter().filter(|(vm, _)| *vm != holder);
            let heir = heir(stream, domain, others).expect("another VM");
            // The one that has stopped is back, empty, or not listed any more.
            let asked = holder_candidates(stream, VMS.into_iter());
            let others = VMS.into_iter().filter(|(vm, _)| *vm != holder);
            assert!(asked.contains(&heir), "{holder} to {heir}");
            assert!(holder_candidates(stream, others).contains(&heir));
        }
    }
}

#[test]
fn sole_version_is_known_after_it_was_the_only_one_for_long() {
    let mut history = VersionHistory::default();
    history.target_added(SERVICE, V1);
    history.observe(1_000);
    assert_eq!(history.sole_version(SERVICE), None, "just started");
    history.observe(11_000);
    assert_eq!(history.sole_version(SERVICE), Some(V1));
    assert_eq!(history.sole_version(8), None, "another service");
    history.target_added(SERVICE, V2);
    history.observe(12_000);
    assert_eq!(history.sole_version(SERVICE), None);
    history.target_removed(SERVICE, V1);
    history.observe(13_000);
    assert_eq!(history.sole_version(SERVICE), None, "V1 may have streams");
    history.observe(23_000);
    assert_eq!(history.sole_version(SERVICE), Some(V2));
}

#[test]
fn version_that_came_and_went_between_two_observations_counts() {
    let mut history = VersionHistory::default();
    history.target_added(SERVICE, V1);
    history.observe(0);
    history.target_added(SERVICE, V2);
    history.target_removed(SERVICE, V2);
    history.observe(20_000);
    assert_eq!(history.sole_version(SERVICE), None);
    let mut versions = history.versions(SERVICE);
    versions.sort_by_key(|software| software.0);
    assert_eq!(versions, [V1, V2]);
}

#[test]
fn target_that_changed_its_version_is_doubtful_for_as_long_as_records_last() {
    let mut history = VersionHistory::default();
    history.version_changed(5);
    assert!(history.is_doubtful(5) && !history.is_doubtful(6));
    history.observe(1_000);
    history.observe(60_999);
    assert!(history.is_doubtful(5));
    history.observe(61_000);
    assert!(!history.is_doubtful(5));
}

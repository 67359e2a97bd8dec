//! Framing of server-sent events.

use lagoon_gateway::EventReader;
use proptest::prelude::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[test]
fn push_withholds_incomplete_event() {
    let mut reader = EventReader::default();
    let complete = reader.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(complete.bytes, b"id: 1\ndata: a\n\n");
    assert_eq!((complete.count, reader.last_id()), (1, Some(1)));
    assert!(!reader.is_at_event_boundary());
    assert_eq!(reader.push(b"ta: b\n\n").bytes, b"id: 2\ndata: b\n\n");
    assert!(reader.is_at_event_boundary());
}

#[test]
fn push_drops_repeated_events_of_resumed_stream() {
    let mut reader = EventReader::default();
    reader.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    reader.discard_partial();
    let complete = reader.push(STREAM);
    assert_eq!(complete.bytes, b"id: 3\ndata: c\n\n");
}

#[test]
fn push_resumes_after_the_callers_last_event() {
    let mut reader = EventReader::resume_after(Some(2));
    assert_eq!(reader.push(STREAM).count, 1);
}

// Guards against memory that grows with the bytes of a target which never ends
// an event.
#[test]
fn is_oversized_after_many_bytes_without_an_end() {
    let mut reader = EventReader::default();
    for _ in 0..256 {
        reader.push(&[b'x'; 1_024]);
        assert!(!reader.is_oversized());
    }
    reader.push(b"x");
    assert!(reader.is_oversized());
    reader.discard_partial();
    assert!(!reader.is_oversized());
}

#[test]
fn push_passes_events_without_id() {
    let mut reader = EventReader::default();
    assert_eq!(reader.push(b"data: a\n\ndata: b\r\n\r\n").count, 2);
    assert_eq!(reader.last_id(), None);
}

#[test]
fn push_keeps_other_lines_before_the_id() {
    let mut reader = EventReader::default();
    let event = b"version: 2\nid: 9\ndata: a\n\n";
    let complete = reader.push(event);
    assert_eq!(complete.bytes, event);
    assert_eq!(reader.last_id(), Some(9));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn push_returns_the_same_bytes_for_any_chunks(cuts in prop::collection::vec(0..STREAM.len(), 0..8)) {
        let mut cuts = cuts;
        cuts.sort_unstable();
        cuts.push(STREAM.len());
        let mut reader = EventReader::default();
        let (mut start, mut forwarded) = (0, Vec::new());
        for cut in cuts {
            forwarded.extend(reader.push(&STREAM[start..cut]).bytes);
            start = cut;
        }
        prop_assert_eq!(forwarded, STREAM);
        prop_assert_eq!(reader.event_count(), 3);
    }
}

//! Parsing and formatting of the `traceparent` header.

use lagoon_telemetry::{extract, inject, new_root};

const VALID: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

#[test]
fn extract_and_inject_round_trip() {
    let context = extract(VALID).expect("valid");
    assert!(context.sampled);
    assert_eq!(inject(&context), VALID);
}

#[yare::parameterized(
    empty = { "" },
    short = { "00-0af7-b7ad-01" },
    zero_trace = { "00-00000000000000000000000000000000-b7ad6b7169203331-01" },
)]
fn extract_rejects_invalid_value(value: &str) {
    assert_eq!(extract(value), None);
}

#[test]
fn child_keeps_trace_id_and_derives_span_id_from_label() {
    let root = new_root(100);
    let child = root.child("queue");
    assert!(root.sampled);
    assert_eq!(child.trace_id, root.trace_id);
    assert_ne!(child.span_id, root.child("target").span_id);
    assert_eq!(child, root.child("queue"));
}

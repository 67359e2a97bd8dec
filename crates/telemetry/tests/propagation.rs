//! Trace context in headers.

use lagoon_telemetry::{extract, inject, new_root};

const VALID: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

#[test]
fn extract_then_inject_is_the_same() {
    let context = extract(VALID).expect("valid");
    assert!(context.sampled);
    assert_eq!(inject(&context), VALID);
}

#[yare::parameterized(
    empty = { "" },
    short = { "00-0af7-b7ad-01" },
    zero_trace = { "00-00000000000000000000000000000000-b7ad6b7169203331-01" },
)]
fn extract_bad_value_is_none(value: &str) {
    assert_eq!(extract(value), None);
}

#[test]
fn child_differs_by_label_and_keeps_trace() {
    let root = new_root(100);
    let one = root.child("queue");
    assert!(root.sampled);
    assert_eq!(one.trace_id, root.trace_id);
    assert_ne!(one.span_id, root.child("target").span_id);
    assert_eq!(one, root.child("queue"));
}

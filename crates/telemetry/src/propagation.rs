//! Propagation of the W3C trace context in HTTP headers.

use std::collections::HashMap;

use lagoon_ids::TraceContext;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState};
use opentelemetry::Context;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{IdGenerator, RandomIdGenerator};

/// Name of the header that carries the trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Length of a `traceparent` value of version 00; later versions may be longer.
const MIN_VALUE_LEN: usize = 55;

/// Parses the value of a `traceparent` header; `None` if it is invalid.
pub fn extract(value: &str) -> Option<TraceContext> {
    // The library accepts shorter IDs, which the W3C recommendation calls invalid.
    if value.len() < MIN_VALUE_LEN {
        return None;
    }
    let carrier = HashMap::from([(TRACEPARENT.to_owned(), value.to_owned())]);
    let context = TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier);
    let span = context.span().span_context().clone();
    span.is_valid().then(|| TraceContext {
        trace_id: u128::from_be_bytes(span.trace_id().to_bytes()),
        span_id: u64::from_be_bytes(span.span_id().to_bytes()),
        sampled: span.is_sampled(),
    })
}

/// Formats a context as the value of a `traceparent` header.
pub fn inject(context: &TraceContext) -> String {
    let mut carrier = HashMap::new();
    let context = Context::new().with_remote_span_context(span_context(context));
    TraceContextPropagator::new().inject_context(&context, &mut carrier);
    carrier.remove(TRACEPARENT).unwrap_or_default()
}

/// Creates the context of a new trace; its span ID is 0, as it has no span yet.
///
/// The trace is sampled with a probability of `sample_percent` (0 to 100).
pub fn new_root(sample_percent: u64) -> TraceContext {
    let ids = RandomIdGenerator::default();
    let trace_id = u128::from_be_bytes(ids.new_trace_id().to_bytes());
    TraceContext {
        trace_id,
        span_id: 0,
        sampled: (trace_id % 100) < u128::from(sample_percent),
    }
}

pub(crate) fn span_context(context: &TraceContext) -> SpanContext {
    let flags = if context.sampled {
        TraceFlags::SAMPLED
    } else {
        TraceFlags::default()
    };
    SpanContext::new(
        TraceId::from_bytes(context.trace_id.to_be_bytes()),
        SpanId::from_bytes(context.span_id.to_be_bytes()),
        flags,
        true,
        TraceState::default(),
    )
}

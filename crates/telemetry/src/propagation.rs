//! W3C trace context in headers.

use std::collections::HashMap;

use lagoon_ids::TraceContext;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState};
use opentelemetry::Context;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{IdGenerator, RandomIdGenerator};

/// Header that carries the context.
pub const TRACEPARENT: &str = "traceparent";

/// Length of a value of version 00; later versions may be longer.
const SHORTEST_CHARS: usize = 55;

/// Context of a header's value, if it is valid.
pub fn extract(value: &str) -> Option<TraceContext> {
    // The library takes shorter identities; W3C says to ignore them.
    if value.len() < SHORTEST_CHARS {
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

/// Header's value for a context.
pub fn inject(context: &TraceContext) -> String {
    let mut carrier = HashMap::new();
    let context = Context::new().with_remote_span_context(span_context(context));
    TraceContextPropagator::new().inject_context(&context, &mut carrier);
    carrier.remove(TRACEPARENT).unwrap_or_default()
}

/// Context of a new trace, without a span yet.
///
/// `sample_percent` of all traces are recorded.
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

//! Identity of a span.

use serde::{Deserialize, Serialize};

use crate::hash64;

/// Trace and span that later spans hang under.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct TraceContext {
    /// Trace.
    pub trace_id: u128,
    /// Span.
    pub span_id: u64,
    /// Whether the trace is recorded.
    pub sampled: bool,
}

impl TraceContext {
    /// Context of a child span, named by `label`.
    ///
    /// The identifier is a hash, so that the same decisions give the same
    /// spans in every run.
    pub fn child(&self, label: &str) -> TraceContext {
        let mut bytes = Vec::with_capacity(label.len() + 24);
        bytes.extend_from_slice(&self.trace_id.to_be_bytes());
        bytes.extend_from_slice(&self.span_id.to_be_bytes());
        bytes.extend_from_slice(label.as_bytes());
        TraceContext {
            trace_id: self.trace_id,
            span_id: hash64(&bytes).max(1),
            sampled: self.sampled,
        }
    }
}

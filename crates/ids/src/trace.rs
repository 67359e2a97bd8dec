//! Trace context.

use serde::{Deserialize, Serialize};

use crate::hash64;

/// W3C trace context: the trace and the span under which child spans are created.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct TraceContext {
    /// Identifier that all spans of the trace share.
    pub trace_id: u128,
    /// Identifier of the span; 0 if the trace has no span yet.
    pub span_id: u64,
    /// Whether spans of the trace are recorded.
    pub sampled: bool,
}

impl TraceContext {
    /// Context of a child span.
    ///
    /// The span identifier is a hash of the parent's identifiers and `label`, so that
    /// runs with the same decisions produce the same spans. It is never 0.
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

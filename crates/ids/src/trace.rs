//! Trace context.

use serde::{Deserialize, Serialize};

use crate::hash64;

/// Trace and span under which child spans are created.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct TraceContext {
    /// Trace identifier.
    pub trace_id: u128,
    /// Span identifier.
    pub span_id: u64,
    /// Whether spans of the trace are recorded.
    pub sampled: bool,
}

impl TraceContext {
    /// Context of a child span.
    ///
    /// The span identifier is a hash of the parent and `label`, so that runs
    /// with the same decisions produce the same spans.
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

//! Logs, StatsD metrics and OpenTelemetry traces.

mod exporter;
mod lines;
mod logs;
mod metrics;
mod propagation;
mod tracer;

pub use lines::dropped_log_lines;
pub use logs::{init_logs, LogError};
pub use metrics::Metrics;
pub use propagation::{extract, inject, new_root, TRACEPARENT};
pub use tracer::{FinishedSpan, SpanKind, TraceError, Tracer};

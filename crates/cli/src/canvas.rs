//! Formatting of output.

mod table;
mod timeline;
mod trace_tree;

pub use table::Table;
pub use timeline::timeline;
pub use trace_tree::{parse_spans, render_traces, Span};

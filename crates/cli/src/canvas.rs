//! Showing answers.

mod table;
mod tree;

pub use table::Table;
pub use tree::{read_spans, trees, Span};

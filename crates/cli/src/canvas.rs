//! Showing answers.

mod story;
mod table;
mod tree;

pub use story::story;
pub use table::Table;
pub use tree::{read_spans, trees, Span};

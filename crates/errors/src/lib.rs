//! The closed list of error kinds and the one table from kind to answer.
//!
//! Every refusal that reaches a caller is built from a [`ErrorKind`]. The table
//! gives its HTTP status, whether the call ran and whether to repeat it.

mod kind;
mod refusal;
mod table;

pub use kind::{ErrorKind, Ran, Retry};
pub use refusal::Refusal;
pub use table::{row, Row, TABLE};

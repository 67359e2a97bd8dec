//! The closed list of error kinds and the one table from kind to answer.
//!
//! Every refusal that reaches a caller is built from a [`Kind`]. The table
//! gives its HTTP status, whether the call ran and whether to repeat it.

mod kind;
mod refusal;
mod table;

pub use kind::{Kind, Ran, Retry};
pub use refusal::Refusal;
pub use table::{row, Row, TABLE};

//! The closed list of error kinds and the one table from kind to answer.
//!
//! Every refusal that reaches a caller is built from a [`ErrorKind`]. The table
//! gives its HTTP status, whether the call ran and whether to repeat it.

mod call_error;
mod kind;
mod table;

pub use call_error::CallError;
pub use kind::{ErrorKind, ExecutionStatus, RetryAdvice};
pub use table::{error_spec, ErrorSpec, ERROR_SPECS};

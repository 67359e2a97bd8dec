//! Error kinds of calls, and the HTTP status and retry advice of each.
//!
//! Every error response to a caller is a [`CallError`] of one [`ErrorKind`].
//! [`ERROR_SPECS`] defines, for each kind, the HTTP status, whether the target
//! executed the call and whether the caller should retry it.

mod call_error;
mod kind;
mod table;

pub use call_error::CallError;
pub use kind::{ErrorKind, ExecutionStatus, RetryAdvice};
pub use table::{error_spec, ErrorSpec, ERROR_SPECS};

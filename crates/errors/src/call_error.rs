//! Error of one call.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{error_spec, ErrorKind, ExecutionStatus, RetryAdvice};

/// Error of one call, as reported to its caller.
#[derive(Clone, Debug, Eq, Error, PartialEq, Serialize, Deserialize)]
#[error("{kind}: {detail}")]
pub struct CallError {
    /// Kind of the error, which determines the HTTP status.
    pub kind: ErrorKind,
    /// Description of the error, for people.
    pub detail: String,
    /// Whether the target executed the call.
    ///
    /// The default is that of the [`ErrorSpec`](crate::ErrorSpec); an in-doubt
    /// call that an operator has settled carries the operator's finding.
    pub ran: ExecutionStatus,
    /// Delay before a retry, in seconds; `None` if a retry cannot succeed.
    pub retry_after_s: Option<u32>,
}

impl CallError {
    /// Error with the execution status and retry delay of its kind.
    pub fn new<S>(kind: ErrorKind, detail: S) -> CallError
    where
        S: Into<String>,
    {
        let spec = error_spec(kind);
        let retry_after_s = match spec.retry {
            RetryAdvice::No => None,
            RetryAdvice::After => Some(spec.retry_after_s),
        };
        CallError {
            kind,
            detail: detail.into(),
            ran: spec.ran,
            retry_after_s,
        }
    }

    /// Replaces the retry delay, in seconds.
    pub fn with_retry_after_s(mut self, retry_after_s: u32) -> CallError {
        self.retry_after_s = Some(retry_after_s);
        self
    }

    /// HTTP status code of the error response.
    pub fn status(&self) -> u16 {
        error_spec(self.kind).status
    }
}

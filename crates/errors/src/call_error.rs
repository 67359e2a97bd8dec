//! Refusal of one call.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{error_spec, ErrorKind, ExecutionStatus, RetryAdvice};

/// Refusal of one call, as told to its caller.
#[derive(Clone, Debug, Eq, Error, PartialEq, Serialize, Deserialize)]
#[error("{kind}: {detail}")]
pub struct CallError {
    /// Error kind.
    pub kind: ErrorKind,
    /// What happened, in a sentence.
    pub detail: String,
    /// Whether the call ran; at most as certain as the table says.
    pub ran: ExecutionStatus,
    /// Seconds until a repeat may succeed; absent where it can't help.
    pub retry_after_s: Option<u32>,
}

impl CallError {
    /// Refusal with the table's answer.
    pub fn new<S>(kind: ErrorKind, detail: S) -> CallError
    where
        S: Into<String>,
    {
        let row = error_spec(kind);
        let retry_after_s = match row.retry {
            RetryAdvice::No => None,
            RetryAdvice::After => Some(row.retry_after_s),
        };
        CallError {
            kind,
            detail: detail.into(),
            ran: row.ran,
            retry_after_s,
        }
    }

    /// Same refusal with another time to come back, in seconds.
    pub fn with_retry_after_s(mut self, retry_after_s: u32) -> CallError {
        self.retry_after_s = Some(retry_after_s);
        self
    }

    /// HTTP status of the answer.
    pub fn status(&self) -> u16 {
        error_spec(self.kind).status
    }
}

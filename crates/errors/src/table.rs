//! HTTP status and retry advice of each error kind.

use crate::{ErrorKind, ExecutionStatus, RetryAdvice};

/// Properties of one error kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorSpec {
    /// Error kind that has these properties.
    pub kind: ErrorKind,
    /// HTTP status code of the error response.
    pub status: u16,
    /// Whether the target executed the call; default of [`CallError::ran`](crate::CallError::ran).
    pub ran: ExecutionStatus,
    /// Whether the caller should retry.
    pub retry: RetryAdvice,
    /// Default of the `Retry-After` header, in seconds; 0 if `retry` is [`RetryAdvice::No`].
    pub retry_after_s: u32,
}

const fn no_retry(kind: ErrorKind, status: u16, ran: ExecutionStatus) -> ErrorSpec {
    ErrorSpec {
        kind,
        status,
        ran,
        retry: RetryAdvice::No,
        retry_after_s: 0,
    }
}

const fn retry_after(
    kind: ErrorKind,
    status: u16,
    ran: ExecutionStatus,
    retry_after_s: u32,
) -> ErrorSpec {
    ErrorSpec {
        kind,
        status,
        ran,
        retry: RetryAdvice::After,
        retry_after_s,
    }
}

/// One spec for each [`ErrorKind`], in declaration order: [`error_spec`] indexes by it.
pub const ERROR_SPECS: &[ErrorSpec] = &[
    no_retry(ErrorKind::BadRequest, 400, ExecutionStatus::NotRun),
    no_retry(ErrorKind::Unauthorized, 401, ExecutionStatus::NotRun),
    no_retry(ErrorKind::UnknownModel, 404, ExecutionStatus::NotRun),
    no_retry(ErrorKind::UnknownService, 404, ExecutionStatus::NotRun),
    no_retry(ErrorKind::UnknownProgram, 404, ExecutionStatus::NotRun),
    no_retry(ErrorKind::RequestTooLarge, 413, ExecutionStatus::NotRun),
    no_retry(ErrorKind::CallConflict, 409, ExecutionStatus::NotRun),
    retry_after(ErrorKind::OrderGap, 409, ExecutionStatus::NotRun, 1),
    no_retry(ErrorKind::ProgramEnded, 410, ExecutionStatus::NotRun),
    no_retry(ErrorKind::BudgetExhausted, 402, ExecutionStatus::NotRun),
    no_retry(ErrorKind::LoopStopped, 422, ExecutionStatus::NotRun),
    no_retry(ErrorKind::WindowClosed, 408, ExecutionStatus::NotRun),
    retry_after(ErrorKind::Overloaded, 503, ExecutionStatus::NotRun, 2),
    retry_after(ErrorKind::NoTarget, 503, ExecutionStatus::NotRun, 5),
    no_retry(ErrorKind::TargetRejected, 422, ExecutionStatus::NotRun),
    retry_after(ErrorKind::AnswerBroken, 502, ExecutionStatus::Unknown, 1),
    no_retry(ErrorKind::AnswerLost, 410, ExecutionStatus::Ran),
    no_retry(ErrorKind::InDoubt, 502, ExecutionStatus::Unknown),
    retry_after(ErrorKind::StoreUnavailable, 503, ExecutionStatus::NotRun, 5),
    retry_after(
        ErrorKind::OwnerUnreachable,
        503,
        ExecutionStatus::Unknown,
        3,
    ),
    retry_after(ErrorKind::Stopping, 503, ExecutionStatus::NotRun, 1),
    retry_after(ErrorKind::NotReady, 503, ExecutionStatus::NotRun, 2),
    no_retry(ErrorKind::Internal, 500, ExecutionStatus::Unknown),
    no_retry(ErrorKind::HeadersTooLarge, 431, ExecutionStatus::NotRun),
    retry_after(ErrorKind::RequestTimeout, 408, ExecutionStatus::NotRun, 1),
];

/// Entry of [`ERROR_SPECS`] for an error kind.
pub fn error_spec(kind: ErrorKind) -> &'static ErrorSpec {
    &ERROR_SPECS[kind as usize]
}

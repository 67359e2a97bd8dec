//! Table from error kind to answer.

use crate::{ErrorKind, ExecutionStatus, RetryAdvice};

/// Answer that one kind gives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorSpec {
    /// Error kind.
    pub kind: ErrorKind,
    /// HTTP status code.
    pub status: u16,
    /// Whether the call ran.
    pub ran: ExecutionStatus,
    /// Whether to repeat the call.
    pub retry: RetryAdvice,
    /// Default of `Retry-After`, in seconds.
    pub retry_after_s: u32,
}

const fn never(kind: ErrorKind, status: u16, ran: ExecutionStatus) -> ErrorSpec {
    ErrorSpec {
        kind,
        status,
        ran,
        retry: RetryAdvice::No,
        retry_after_s: 0,
    }
}

const fn after(
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

/// One row for each [`ErrorKind`], in the order of their declaration.
pub const ERROR_SPECS: &[ErrorSpec] = &[
    never(ErrorKind::BadRequest, 400, ExecutionStatus::NotRun),
    never(ErrorKind::Unauthorized, 401, ExecutionStatus::NotRun),
    never(ErrorKind::UnknownModel, 404, ExecutionStatus::NotRun),
    never(ErrorKind::UnknownService, 404, ExecutionStatus::NotRun),
    never(ErrorKind::UnknownProgram, 404, ExecutionStatus::NotRun),
    never(ErrorKind::RequestTooLarge, 413, ExecutionStatus::NotRun),
    never(ErrorKind::CallConflict, 409, ExecutionStatus::NotRun),
    after(ErrorKind::OrderGap, 409, ExecutionStatus::NotRun, 1),
    never(ErrorKind::ProgramEnded, 410, ExecutionStatus::NotRun),
    never(ErrorKind::BudgetExhausted, 402, ExecutionStatus::NotRun),
    never(ErrorKind::LoopStopped, 422, ExecutionStatus::NotRun),
    never(ErrorKind::WindowClosed, 408, ExecutionStatus::NotRun),
    after(ErrorKind::Overloaded, 503, ExecutionStatus::NotRun, 2),
    after(ErrorKind::NoTarget, 503, ExecutionStatus::NotRun, 5),
    never(ErrorKind::TargetRejected, 422, ExecutionStatus::NotRun),
    after(ErrorKind::AnswerBroken, 502, ExecutionStatus::Unknown, 1),
    never(ErrorKind::AnswerLost, 410, ExecutionStatus::Ran),
    never(ErrorKind::InDoubt, 502, ExecutionStatus::Unknown),
    after(ErrorKind::StoreUnavailable, 503, ExecutionStatus::NotRun, 5),
    after(
        ErrorKind::OwnerUnreachable,
        503,
        ExecutionStatus::Unknown,
        3,
    ),
    after(ErrorKind::Stopping, 503, ExecutionStatus::NotRun, 1),
    after(ErrorKind::NotReady, 503, ExecutionStatus::NotRun, 2),
    never(ErrorKind::Internal, 500, ExecutionStatus::Unknown),
];

/// Row of a kind.
pub fn error_spec(kind: ErrorKind) -> &'static ErrorSpec {
    &ERROR_SPECS[kind as usize]
}

//! Table from error kind to answer.

use crate::{ErrorKind, Ran, Retry};

/// Answer that one kind gives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Row {
    /// Error kind.
    pub kind: ErrorKind,
    /// HTTP status code.
    pub status: u16,
    /// Whether the call ran.
    pub ran: Ran,
    /// Whether to repeat the call.
    pub retry: Retry,
    /// Default of `Retry-After`, in seconds.
    pub retry_after_s: u32,
}

const fn never(kind: ErrorKind, status: u16, ran: Ran) -> Row {
    Row {
        kind,
        status,
        ran,
        retry: Retry::No,
        retry_after_s: 0,
    }
}

const fn after(kind: ErrorKind, status: u16, ran: Ran, retry_after_s: u32) -> Row {
    Row {
        kind,
        status,
        ran,
        retry: Retry::After,
        retry_after_s,
    }
}

/// One row for each [`ErrorKind`], in the order of their declaration.
pub const TABLE: &[Row] = &[
    never(ErrorKind::BadRequest, 400, Ran::NotRun),
    never(ErrorKind::Unauthorized, 401, Ran::NotRun),
    never(ErrorKind::UnknownModel, 404, Ran::NotRun),
    never(ErrorKind::UnknownService, 404, Ran::NotRun),
    never(ErrorKind::UnknownProgram, 404, Ran::NotRun),
    never(ErrorKind::RequestTooLarge, 413, Ran::NotRun),
    never(ErrorKind::CallConflict, 409, Ran::NotRun),
    after(ErrorKind::OrderGap, 409, Ran::NotRun, 1),
    never(ErrorKind::ProgramEnded, 410, Ran::NotRun),
    never(ErrorKind::BudgetExhausted, 402, Ran::NotRun),
    never(ErrorKind::LoopStopped, 422, Ran::NotRun),
    never(ErrorKind::WindowClosed, 408, Ran::NotRun),
    after(ErrorKind::Overloaded, 503, Ran::NotRun, 2),
    after(ErrorKind::NoTarget, 503, Ran::NotRun, 5),
    never(ErrorKind::TargetRejected, 422, Ran::NotRun),
    after(ErrorKind::AnswerBroken, 502, Ran::Unknown, 1),
    never(ErrorKind::AnswerLost, 410, Ran::Ran),
    never(ErrorKind::InDoubt, 502, Ran::Unknown),
    after(ErrorKind::StoreUnavailable, 503, Ran::NotRun, 5),
    after(ErrorKind::OwnerUnreachable, 503, Ran::Unknown, 3),
    after(ErrorKind::Stopping, 503, Ran::NotRun, 1),
    after(ErrorKind::NotReady, 503, Ran::NotRun, 2),
    never(ErrorKind::Internal, 500, Ran::Unknown),
];

/// Row of a kind.
pub fn row(kind: ErrorKind) -> &'static Row {
    &TABLE[kind as usize]
}

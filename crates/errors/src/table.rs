//! Table from error kind to answer.

use crate::{Kind, Ran, Retry};

/// Answer that one kind gives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Row {
    /// Error kind.
    pub kind: Kind,
    /// HTTP status code.
    pub status: u16,
    /// Whether the call ran.
    pub ran: Ran,
    /// Whether to repeat the call.
    pub retry: Retry,
    /// Default of `Retry-After`, in seconds.
    pub retry_after_s: u32,
}

const fn never(kind: Kind, status: u16, ran: Ran) -> Row {
    Row {
        kind,
        status,
        ran,
        retry: Retry::No,
        retry_after_s: 0,
    }
}

const fn after(kind: Kind, status: u16, ran: Ran, retry_after_s: u32) -> Row {
    Row {
        kind,
        status,
        ran,
        retry: Retry::After,
        retry_after_s,
    }
}

/// One row for each [`Kind`], in the order of their declaration.
pub const TABLE: &[Row] = &[
    never(Kind::BadRequest, 400, Ran::NotRun),
    never(Kind::Unauthorized, 401, Ran::NotRun),
    never(Kind::UnknownModel, 404, Ran::NotRun),
    never(Kind::UnknownService, 404, Ran::NotRun),
    never(Kind::UnknownProgram, 404, Ran::NotRun),
    never(Kind::RequestTooLarge, 413, Ran::NotRun),
    never(Kind::CallConflict, 409, Ran::NotRun),
    after(Kind::OrderGap, 409, Ran::NotRun, 1),
    never(Kind::ProgramEnded, 410, Ran::NotRun),
    never(Kind::BudgetExhausted, 402, Ran::NotRun),
    never(Kind::LoopStopped, 422, Ran::NotRun),
    never(Kind::WindowClosed, 408, Ran::NotRun),
    after(Kind::Overloaded, 503, Ran::NotRun, 2),
    after(Kind::NoTarget, 503, Ran::NotRun, 5),
    never(Kind::TargetRejected, 422, Ran::NotRun),
    after(Kind::AnswerBroken, 502, Ran::Unknown, 1),
    never(Kind::AnswerLost, 410, Ran::Ran),
    never(Kind::InDoubt, 502, Ran::Unknown),
    after(Kind::StoreUnavailable, 503, Ran::NotRun, 5),
    after(Kind::OwnerUnreachable, 503, Ran::Unknown, 3),
    after(Kind::Stopping, 503, Ran::NotRun, 1),
    after(Kind::NotReady, 503, Ran::NotRun, 2),
    never(Kind::Internal, 500, Ran::Unknown),
];

/// Row of a kind.
pub fn row(kind: Kind) -> &'static Row {
    &TABLE[kind as usize]
}

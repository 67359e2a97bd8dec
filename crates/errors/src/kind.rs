//! Error kinds and what each one says about the call.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Kind of an error answer.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// Request can't be read.
    #[display("bad_request")]
    BadRequest,
    /// Account key is missing or unknown.
    #[display("unauthorized")]
    Unauthorized,
    /// Sheet names no such model for the caller's market.
    #[display("unknown_model")]
    UnknownModel,
    /// Sheet names no such service for the caller's market.
    #[display("unknown_service")]
    UnknownService,
    /// No such program under way.
    #[display("unknown_program")]
    UnknownProgram,
    /// Body exceeds the limit.
    #[display("request_too_large")]
    RequestTooLarge,
    /// Call number was used before with other content.
    #[display("call_conflict")]
    CallConflict,
    /// An earlier call of the program did not arrive in time.
    #[display("order_gap")]
    OrderGap,
    /// Program has ended.
    #[display("program_ended")]
    ProgramEnded,
    /// Remaining budget does not cover the call.
    #[display("budget_exhausted")]
    BudgetExhausted,
    /// Program repeats the same call without end.
    #[display("loop_stopped")]
    LoopStopped,
    /// Program's window passed before the call could run.
    #[display("window_closed")]
    WindowClosed,
    /// Queue is too long for the call to start in time.
    #[display("overloaded")]
    Overloaded,
    /// No live target serves the model or service.
    #[display("no_target")]
    NoTarget,
    /// Target refused the request as invalid.
    #[display("target_rejected")]
    TargetRejected,
    /// Answer broke off and could not be resumed.
    #[display("answer_broken")]
    AnswerBroken,
    /// Call finished, but its answer was never durable and is lost.
    #[display("answer_lost")]
    AnswerLost,
    /// Outcome of a non-idempotent call is unknown.
    #[display("in_doubt")]
    InDoubt,
    /// Platform's store can't take a record that must be durable first.
    #[display("store_unavailable")]
    StoreUnavailable,
    /// Owner of the program does not answer.
    #[display("owner_unreachable")]
    OwnerUnreachable,
    /// VM is stopping.
    #[display("stopping")]
    Stopping,
    /// VM does not know the sheet yet.
    #[display("not_ready")]
    NotReady,
    /// Defect in the scheduler.
    #[display("internal")]
    Internal,
}

/// Whether the call ran at its target.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    /// Target did not run it.
    #[display("not_run")]
    NotRun,
    /// Target ran it.
    #[display("ran")]
    Ran,
    /// Nobody saw whether it ran.
    #[display("unknown")]
    Unknown,
}

/// Whether the caller should repeat the call under the same number.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RetryAdvice {
    /// Repeating can't help.
    #[display("no")]
    No,
    /// Repeat after the time in `Retry-After`.
    #[display("after")]
    After,
}

//! Error kinds, execution status and retry advice.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Code of an error response.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// Header or body is invalid, or the operators' API lacks the path or method.
    #[display("bad_request")]
    BadRequest,
    /// API key is missing or unknown, or the program belongs to another account.
    #[display("unauthorized")]
    Unauthorized,
    /// Sheet defines no such model for the caller's market.
    #[display("unknown_model")]
    UnknownModel,
    /// Sheet defines no such service for the caller's market.
    #[display("unknown_service")]
    UnknownService,
    /// No such program is active.
    #[display("unknown_program")]
    UnknownProgram,
    /// Request body exceeds the size limit.
    #[display("request_too_large")]
    RequestTooLarge,
    /// Call number was already used for a different request.
    #[display("call_conflict")]
    CallConflict,
    /// An earlier call of the program did not arrive before the timeout.
    #[display("order_gap")]
    OrderGap,
    /// Program, or the parent of a new program, has ended.
    #[display("program_ended")]
    ProgramEnded,
    /// Remaining budget is below the worst-case usage of the call.
    #[display("budget_exhausted")]
    BudgetExhausted,
    /// Program repeats the same request, or its family has too many programs.
    #[display("loop_stopped")]
    LoopStopped,
    /// Deadline of the program passed before the call was sent.
    #[display("window_closed")]
    WindowClosed,
    /// Queue or request limit is reached, or targets refused the call unexecuted.
    #[display("overloaded")]
    Overloaded,
    /// No available target serves the model or service.
    #[display("no_target")]
    NoTarget,
    /// Target rejected the request as invalid.
    #[display("target_rejected")]
    TargetRejected,
    /// Response was interrupted and could not be resumed.
    #[display("answer_broken")]
    AnswerBroken,
    /// Call finished, but its response was not durable and is lost.
    #[display("answer_lost")]
    AnswerLost,
    /// Outcome of a non-idempotent call was not observed.
    #[display("in_doubt")]
    InDoubt,
    /// A record that must be durable first was not stored in time.
    #[display("store_unavailable")]
    StoreUnavailable,
    /// Owner of the program is unreachable or changing, or VMs disagree on it.
    #[display("owner_unreachable")]
    OwnerUnreachable,
    /// VM is shutting down.
    #[display("stopping")]
    Stopping,
    /// VM has not loaded the sheet yet.
    #[display("not_ready")]
    NotReady,
    /// Internal error of the scheduler.
    #[display("internal")]
    Internal,
    /// Headers exceed the size limit.
    #[display("headers_too_large")]
    HeadersTooLarge,
    /// Request body did not arrive in time.
    #[display("request_timeout")]
    RequestTimeout,
}

/// Whether the target executed the call.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    /// Target did not execute it.
    #[display("not_run")]
    NotRun,
    /// Target executed it.
    #[display("ran")]
    Ran,
    /// Execution was neither confirmed nor ruled out.
    #[display("unknown")]
    Unknown,
}

/// Whether the caller should retry the call with the same call number.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RetryAdvice {
    /// A retry would fail the same way.
    #[display("no")]
    No,
    /// Retry after the delay in `Retry-After`.
    #[display("after")]
    After,
}

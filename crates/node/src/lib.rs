//! Decisions of one entry VM.
//!
//! [`Node`] takes events with a time and gives effects. It has no clock,
//! thread, socket or random source, so tests drive the very code that the
//! daemon runs. Callers' calls go one way: arrival, owner, order, budget,
//! queue, target, and back piece by piece.

mod constants;
mod effect;
mod event;
mod message;
mod node;
mod request;
mod status;

pub use effect::{Dispatch, Effect, LoadPoll, StageSpan, StreamResume};
pub use event::{
    AttemptFailure, AttemptId, CallRef, CallerRequest, Event, OperatorRef, OperatorRequest,
    StoreRequestId, TargetEvent,
};
pub use message::{ForwardedCall, PeerMessage, ResponseFrame, ResponseSummary};
pub use node::{Node, NodeSettings};
pub use request::{CallKind, CallRequest};
pub use status::{
    ApplyReply, CallReport, InDoubtCallReport, MemberReport, NodeStatus, OperatorReply,
    ProgramReport, SheetRow, TargetReport,
};

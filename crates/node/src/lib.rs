//! Sans-IO state machine of one entry VM.
//!
//! [`Node`] maps timestamped events to effects. It has no clock, thread,
//! socket or random source, so tests run the same code as the daemon. A call
//! passes through validation, routing to the owner, ordering, budget
//! reservation, queueing and dispatch to a target; its response is streamed
//! back in frames.

mod constants;
mod effect;
mod event;
mod message;
mod node;
mod request;
mod status;

pub use effect::{Dispatch, Effect, LoadPoll, PathProbe, StageSpan, StreamResume};
pub use event::{
    AttemptFailure, AttemptId, CallRef, CallerRequest, Event, OperatorRef, OperatorRequest,
    StoreRequestId, TargetEvent,
};
pub use message::{
    CarriedRequest, CarriedWork, CarryEvent, ForwardedCall, PeerMessage, ResponseFrame,
    ResponseSummary,
};
pub use node::{Node, NodeSettings};
pub use request::{CallKind, CallRequest};
pub use status::{
    ApplyReply, CallReport, InDoubtCallReport, MemberReport, NodeStatus, OperatorReply,
    ProgramReport, SheetRow, TargetReport,
};

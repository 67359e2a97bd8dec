//! Effects that a node asks for.

use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use lagoon_ids::{CallKey, TargetName, TraceContext};
use lagoon_platform::PlatformRequest;

use crate::event::{AttemptId, CallRef, OperatorRef, StoreRequestId};
use crate::message::{PeerMessage, ResponseFrame};
use crate::status::OperatorReply;

/// Request to send to a target.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Try.
    pub attempt: AttemptId,
    /// Call, which is also the idempotency key.
    pub call: CallKey,
    /// Address of the target.
    pub address: SocketAddr,
    /// Path at the target.
    pub path: String,
    /// Whether the answer comes as server-sent events.
    pub stream: bool,
    /// Content type of the body.
    pub content_type: CompactString,
    /// Body.
    pub body: Arc<[u8]>,
    /// Span that the target's own spans hang under.
    pub trace: TraceContext,
}

/// Stream to take up again.
#[derive(Clone, Debug)]
pub struct StreamResume {
    /// Try.
    pub attempt: AttemptId,
    /// Address of the target.
    pub address: SocketAddr,
    /// Name of the stream.
    pub resume_id: CompactString,
    /// Last event that was seen.
    pub last_event_id: u64,
}

/// Target to read the load of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadPoll {
    /// Target.
    pub target: TargetName,
    /// Its address.
    pub address: SocketAddr,
}

/// Span of one hop.
#[derive(Clone, Debug)]
pub struct StageSpan {
    /// Name of the hop.
    pub name: &'static str,
    /// Identity.
    pub context: TraceContext,
    /// Span it hangs under.
    pub parent: TraceContext,
    /// Start, since the Unix epoch.
    pub start_us: u64,
    /// End, since the Unix epoch.
    pub end_us: u64,
    /// What is known of the hop.
    pub attributes: Vec<(&'static str, String)>,
}

/// Effect that a node asks for.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Piece of an answer for a caller.
    Reply {
        /// Reference.
        call_ref: CallRef,
        /// Piece.
        frame: ResponseFrame,
    },
    /// Message to another VM.
    Send {
        /// Receiver's address.
        to: SocketAddr,
        /// Message.
        message: PeerMessage,
    },
    /// Request to a target.
    Dispatch(Box<Dispatch>),
    /// Stream to take up again.
    Resume(Box<StreamResume>),
    /// Try to give up.
    Cancel {
        /// Try.
        attempt: AttemptId,
        /// Address of the target.
        address: SocketAddr,
        /// Name of the stream, if known.
        resume_id: Option<CompactString>,
    },
    /// Request to the store.
    Store {
        /// Ticket of the reply.
        request_id: StoreRequestId,
        /// Request.
        request: PlatformRequest,
    },
    /// Answer to an operator.
    Operator {
        /// Reference.
        operator_ref: OperatorRef,
        /// Answer.
        reply: OperatorReply,
    },
    /// Targets to poll from now on.
    PollLoads(Vec<LoadPoll>),
    /// Finished span.
    Span(StageSpan),
    /// VM began to or ceased to take new calls.
    Ready(bool),
    /// Daemon has nothing left to do.
    Exit {
        /// Whether a successor sealed this incarnation.
        fenced: bool,
    },
}

//! Effects that a node requests.

use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use lagoon_ids::{CallKey, TargetName, TraceContext};
use lagoon_platform::PlatformRequest;

use crate::event::{AttemptId, CallRef, OperatorRef, StoreRequestId};
use crate::message::{PeerMessage, ResponseFrame};
use crate::status::OperatorReply;

/// Request to a target.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Attempt that the target's events refer to.
    pub attempt: AttemptId,
    /// Key of the call; also sent to the target as the idempotency key.
    pub call: CallKey,
    /// Name of the chosen target.
    pub target: TargetName,
    /// Address of the chosen target, from the sheet.
    pub address: SocketAddr,
    /// HTTP path at the target.
    pub path: String,
    /// Whether the response is a stream of server-sent events.
    pub stream: bool,
    /// Header `Content-Type` of the request to the target.
    pub content_type: CompactString,
    /// Body of the request.
    pub body: Arc<[u8]>,
    /// Trace context that becomes the parent of the target's spans.
    pub trace: TraceContext,
}

/// Request to resume an interrupted stream.
#[derive(Clone, Debug)]
pub struct StreamResume {
    /// Attempt that the stream belongs to.
    pub attempt: AttemptId,
    /// Name of the target that runs the attempt.
    pub target: TargetName,
    /// Address of the target that runs the attempt.
    pub address: SocketAddr,
    /// ID of the stream at the target.
    pub resume_id: CompactString,
    /// Sequence number of the last received event; 0 if there was none.
    pub last_event_id: u64,
}

/// Target whose load this VM polls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadPoll {
    /// Name of the target, from the sheet.
    pub target: TargetName,
    /// Address of the target, from the sheet.
    pub address: SocketAddr,
}

/// Target to which a connection is to be opened and closed again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PathProbe {
    /// Name of the target, from the sheet.
    pub target: TargetName,
    /// Address of the target, from the sheet.
    pub address: SocketAddr,
}

/// Finished trace span of one stage of a call.
#[derive(Clone, Debug)]
pub struct StageSpan {
    /// Name of the stage: `store`, `queue`, `target` or `forward`.
    pub name: &'static str,
    /// Trace and span identifier of this span, and whether it is exported.
    pub context: TraceContext,
    /// Trace context of the call, whose span is the parent.
    pub parent: TraceContext,
    /// Start, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// End, in microseconds since the Unix epoch.
    pub end_us: u64,
    /// Attribute names and values, such as `lagoon.call`.
    pub attributes: Vec<(&'static str, String)>,
}

/// Output of a node, which the daemon executes.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Sends a response frame to a caller of this VM.
    Reply {
        /// Reference of the call, from its [`Event::Call`](crate::Event::Call) or
        /// [`Event::EndProgram`](crate::Event::EndProgram).
        call_ref: CallRef,
        /// Frame to send; any frame but `Head` and `Data` is the last one of the call.
        frame: ResponseFrame,
    },
    /// Sends a message to another VM.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Message to encode and send; it may be lost.
        message: PeerMessage,
    },
    /// Sends a request to a target.
    Dispatch(Box<Dispatch>),
    /// Requests the rest of an interrupted stream from the same target, instead of a new run.
    Resume(Box<StreamResume>),
    /// Cancels an attempt whose response is not needed.
    Cancel {
        /// Attempt, as given in its [`Dispatch`].
        attempt: AttemptId,
        /// Address of the target that runs the attempt.
        address: SocketAddr,
        /// ID of the stream at the target; `None` if the target gave none.
        resume_id: Option<CompactString>,
    },
    /// Sends a request to the store.
    Store {
        /// ID that the reply must carry.
        request_id: StoreRequestId,
        /// Request; its reply, or an error, returns as [`Event::Store`](crate::Event::Store).
        request: PlatformRequest,
    },
    /// Replies to an operator; dropped if the operator's request has timed out.
    Operator {
        /// Reference of the request.
        operator_ref: OperatorRef,
        /// Reply, which becomes the JSON body of the HTTP response.
        reply: OperatorReply,
    },
    /// Finds out whether a target can be reached; the result returns as
    /// [`Event::PathProbed`](crate::Event::PathProbed).
    ProbePath(PathProbe),
    /// Replaces the list of targets whose load is polled.
    PollLoads(Vec<LoadPoll>),
    /// Exports a finished trace span.
    Span(StageSpan),
    /// Readiness changed: whether the VM accepts new calls.
    Ready(bool),
    /// Exits the daemon.
    Exit {
        /// `true` if another VM sealed the incarnation or another daemon wrote its row; `false`
        /// after a planned stop.
        fenced: bool,
    },
}

//! Events that a node handles.

use std::sync::Arc;

use compact_str::CompactString;
use derive_more::Display;
use lagoon_ids::{CallKey, TargetName, TraceContext};
use lagoon_membership::LoadReport;
use lagoon_platform::{PlatformError, PlatformReply};
use serde::{Deserialize, Serialize};

use crate::message::PeerMessage;
use crate::request::CallKind;

/// Identifies a caller's request at the VM that the caller is connected to.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct CallRef(pub u64);

/// Identifies a request of an operator.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct OperatorRef(pub u64);

/// Identifies one attempt of a call at a target.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct AttemptId(pub u64);

/// Identifies a store request; its reply carries the same ID.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct StoreRequestId(pub u64);

/// Request of a caller as parsed from HTTP.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// API key of the client account.
    pub api_key: CompactString,
    /// Header `Lagoon-Program`; without it the VM issues an identifier.
    pub program: Option<CompactString>,
    /// Header `Lagoon-Call`, from 1; without it the owner assigns the number.
    pub number: Option<u32>,
    /// Header `Lagoon-Parent`; identifier of the parent program, if the caller names one.
    pub parent: Option<CompactString>,
    /// Header `Lagoon-Window-Ms`; time left for the whole program, from this call on. Without
    /// it the call sets no deadline.
    pub window_ms: Option<u64>,
    /// Header `Lagoon-Budget-Tokens`; token limit of a new program, if it is lower than the
    /// market's.
    pub budget_tokens: Option<u64>,
    /// Header `Lagoon-Continue`; continuation token of the previous response, if it had one.
    pub continuation: Option<CompactString>,
    /// Requested model or service.
    pub kind: CallKind,
    /// Header `Content-Type`; `application/json` if the caller sent none.
    pub content_type: CompactString,
    /// Body to send to the target.
    pub body: Arc<[u8]>,
    /// Hash of the URL and the original body, which detects a changed request with the same number.
    pub content_hash: u128,
    /// Trace context of the caller's request.
    pub trace: TraceContext,
}

/// Reason why an attempt at a target failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
pub enum AttemptFailure {
    /// No connection was established, so the target did not receive the request.
    #[display("no connection")]
    NotConnected,
    /// The target reported that it did not run the request.
    #[display("refused as not run")]
    NotRun,
    /// The target rejected the request as invalid, so the call is not retried.
    #[display("rejected as invalid")]
    Rejected,
    /// The connection or the target failed after the request was sent, so the call may have run.
    #[display("broken")]
    Interrupted,
}

/// Part of a target's response to an attempt, or the failure of the attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TargetEvent {
    /// What a response states of the target's limit. Comes before the other events of
    /// the response.
    Limit {
        /// Requests per second that the target takes from all VMs together; `None` if it
        /// states no limit.
        per_s: Option<f64>,
    },
    /// Start of the response.
    Head {
        /// HTTP status; a status that counts as a failed attempt arrives as `Failed` instead.
        status: u16,
        /// Header `Content-Type`; `application/octet-stream` if the target sent none.
        content_type: CompactString,
        /// ID by which the stream can be resumed or cancelled, if the target gave one.
        resume_id: Option<CompactString>,
    },
    /// Server-sent event.
    Chunk {
        /// Sequence number of the event in its stream, from 1; `None` if it has no numeric ID.
        sequence: Option<u64>,
        /// Data of the event, without the `data:` prefix.
        data: String,
    },
    /// Whole body of a response that is not a stream.
    Body {
        /// Bytes of the body.
        bytes: Arc<[u8]>,
    },
    /// The target reported the end of the stream.
    Done,
    /// The attempt failed; if its stream is resumed, further events of the attempt follow.
    Failed {
        /// How the attempt failed, which decides whether the call is retried.
        failure: AttemptFailure,
        /// Observed error or HTTP status, for the log and the caller's error.
        detail: String,
    },
}

/// Request received through the operators' API.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    /// Reads the state of the VM.
    Status,
    /// Lists the programs that the VM owns.
    Programs,
    /// Reads one program by its identifier.
    Program(CompactString),
    /// Reads the active sheet.
    Sheet,
    /// Applies a new sheet.
    Apply {
        /// Version that the new sheet was derived from.
        base: u64,
        /// Person or tool that applies the sheet.
        author: CompactString,
        /// Text of the sheet, which the node validates.
        text: String,
    },
    /// Lists the calls in doubt of the programs that the VM owns.
    InDoubtCalls,
    /// States whether a call in doubt ran.
    ResolveInDoubt {
        /// Call that the operator holds to be in doubt.
        call: CallKey,
        /// Whether the call ran, according to the operator.
        ran: bool,
    },
}

/// Input of a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller connected to this VM sent a call.
    Call {
        /// Reference that the response frames carry.
        call_ref: CallRef,
        /// Request as parsed from HTTP; the API key and the identifiers are not checked yet.
        request: Box<CallerRequest>,
    },
    /// A caller closed its connection before the response ended.
    CallerDisconnected {
        /// Reference of the call, from its [`Event::Call`].
        call_ref: CallRef,
    },
    /// A caller requested the end of a program.
    EndProgram {
        /// Reference that the response frame carries.
        call_ref: CallRef,
        /// API key of the client account.
        api_key: CompactString,
        /// Identifier of the program to end, as the caller sent it.
        program: CompactString,
    },
    /// Message from another VM.
    Peer(PeerMessage),
    /// Event of an attempt at a target.
    Target {
        /// Attempt, as given in its [`Dispatch`](crate::Dispatch).
        attempt: AttemptId,
        /// Part of the response, or the failure of the attempt.
        event: TargetEvent,
    },
    /// Result of an earlier request to the store.
    Store {
        /// ID of the request, from its [`Effect::Store`](crate::Effect::Store).
        request_id: StoreRequestId,
        /// Reply, or the reason why the store gave none.
        reply: Result<PlatformReply, PlatformError>,
    },
    /// Result of an [`Effect::ProbePath`](crate::Effect::ProbePath).
    PathProbed {
        /// Target, as given in the effect.
        target: TargetName,
        /// Whether a connection was established.
        is_connected: bool,
    },
    /// Load report of a target that this VM polls.
    Load(LoadReport),
    /// An operator sent a request to this VM.
    Operator {
        /// Reference that the reply carries.
        operator_ref: OperatorRef,
        /// Request, answered by an [`Effect::Operator`](crate::Effect::Operator).
        request: OperatorRequest,
    },
    /// Periodic tick that drives all timers.
    Tick,
    /// Request for a planned stop.
    Stop,
}

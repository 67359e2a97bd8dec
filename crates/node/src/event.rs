//! Events that a node takes.

use std::sync::Arc;

use compact_str::CompactString;
use derive_more::Display;
use lagoon_ids::{CallKey, TraceContext};
use lagoon_membership::LoadReport;
use lagoon_platform::{PlatformError, PlatformReply};
use serde::{Deserialize, Serialize};

use crate::message::PeerMessage;
use crate::request::CallKind;

/// Reference of a caller's request at the VM that it reached.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct CallRef(pub u64);

/// Reference of an operator's request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct OperatorRef(pub u64);

/// One try of a call at a target.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub struct AttemptId(pub u64);

/// Request to the platform's store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct StoreRequestId(pub u64);

/// Caller's request as the HTTP side reads it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// API key.
    pub api_key: CompactString,
    /// `Lagoon-Program`.
    pub program: Option<CompactString>,
    /// `Lagoon-Call`.
    pub number: Option<u32>,
    /// `Lagoon-Parent`.
    pub parent: Option<CompactString>,
    /// `Lagoon-Window-Ms`.
    pub window_ms: Option<u64>,
    /// `Lagoon-Budget-Tokens`.
    pub budget_tokens: Option<u64>,
    /// `Lagoon-Continue`.
    pub continuation: Option<CompactString>,
    /// What it asks for.
    pub kind: CallKind,
    /// Content type of the body.
    pub content_type: CompactString,
    /// Body for the target.
    pub body: Arc<[u8]>,
    /// Hash of what it asks for and of the body.
    pub content_hash: u128,
    /// Span of the caller's request.
    pub trace: TraceContext,
}

/// Why a try failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum AttemptFailure {
    /// No connection, so the target never saw it.
    #[display("no connection")]
    NotConnected,
    /// Target said that it did not run it.
    #[display("refused as not run")]
    NotRun,
    /// Target said that the request is invalid.
    #[display("rejected as invalid")]
    Rejected,
    /// Connection broke, or the target failed, after the request was sent.
    #[display("broken")]
    Interrupted,
}

/// News of one try.
#[derive(Clone, Debug)]
pub enum TargetEvent {
    /// Answer begins.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: CompactString,
        /// Name by which the answer can be taken up again.
        resume_id: Option<CompactString>,
    },
    /// Server-sent event.
    Chunk {
        /// Number of the event in its stream, from 1.
        sequence: Option<u64>,
        /// Data.
        data: String,
    },
    /// Whole body of an answer that is no stream.
    Body {
        /// Bytes.
        bytes: Arc<[u8]>,
    },
    /// Target said that the stream is complete.
    Done,
    /// Try failed.
    Failed {
        /// Why.
        failure: AttemptFailure,
        /// What was seen.
        detail: String,
    },
}

/// Operator's request.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    /// State of the VM.
    Status,
    /// Programs of the VM.
    Programs,
    /// One program of the VM.
    Program(CompactString),
    /// Sheet in force.
    Sheet,
    /// New sheet.
    Apply {
        /// Version that it was prepared from.
        base: u64,
        /// Who applies it.
        author: CompactString,
        /// Text.
        text: String,
    },
    /// Calls in doubt.
    InDoubtCalls,
    /// Result of a call in doubt.
    ResolveInDoubt {
        /// Call.
        call: CallKey,
        /// Whether it ran.
        ran: bool,
    },
}

/// Event with what a node needs to decide on it.
#[derive(Clone, Debug)]
pub enum Event {
    /// Caller's call.
    Call {
        /// Reference.
        call_ref: CallRef,
        /// Request.
        request: Box<CallerRequest>,
    },
    /// Caller went away.
    CallerDisconnected {
        /// Reference.
        call_ref: CallRef,
    },
    /// Caller wants a program to end.
    EndProgram {
        /// Reference.
        call_ref: CallRef,
        /// API key.
        api_key: CompactString,
        /// Program.
        program: CompactString,
    },
    /// Message of another VM.
    Peer(PeerMessage),
    /// News of a try.
    Target {
        /// Try.
        attempt: AttemptId,
        /// News.
        event: TargetEvent,
    },
    /// Reply of the store.
    Store {
        /// Request.
        request_id: StoreRequestId,
        /// Reply.
        reply: Result<PlatformReply, PlatformError>,
    },
    /// Load of a target that this VM polls.
    Load(LoadReport),
    /// Operator's request.
    Operator {
        /// Reference.
        operator_ref: OperatorRef,
        /// Request.
        request: OperatorRequest,
    },
    /// Time has passed.
    Tick,
    /// Planned stop.
    Stop,
}

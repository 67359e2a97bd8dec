//! Messages between VMs.

use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use lagoon_errors::CallError;
use lagoon_ids::{AccountName, CallKey, Incarnation, ProgramId, TargetName, TraceContext, VmName};
use lagoon_limits::{Demand, LimitUpdate, PermitDecision};
use lagoon_membership::Heartbeat;
use lagoon_paths::Decline;
use serde::{Deserialize, Serialize};

use crate::event::{AttemptId, CallRef, TargetEvent};
use crate::request::CallRequest;

/// Metadata that ends a response.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ResponseSummary {
    /// Call that the response belongs to.
    pub call: CallKey,
    /// Target that ran the call.
    pub target: TargetName,
    /// VM that owns the program and so handled the call.
    pub owner: VmName,
    /// Whether the outcome of the call is durable; if not, it may be lost if the
    /// owner crashes.
    pub durable: bool,
    /// Continuation token; set only if the outcome is not durable and the secret is known.
    pub continuation: Option<CompactString>,
    /// Whether the response was replayed from the record of an earlier run.
    pub replayed: bool,
    /// Tokens charged for the call.
    pub used_tokens: u64,
    /// Tokens left: the least that the program or one of its ancestors has left.
    pub remaining_tokens: u64,
    /// Money left, likewise, in millionths of the currency unit.
    pub remaining_money_micros: u64,
    /// Calls left, likewise.
    pub remaining_turns: u64,
}

/// Part of a response to a caller, or the error in place of the rest.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ResponseFrame {
    /// Start of a response.
    Head {
        /// Call that the response belongs to.
        call: CallKey,
        /// HTTP status of the target.
        status: u16,
        /// Content type of the target's response.
        content_type: CompactString,
    },
    /// Part of the response body.
    Data {
        /// Offset of `bytes` in the body.
        offset: u64,
        /// Bytes from that offset on.
        bytes: Arc<[u8]>,
    },
    /// End of a complete response.
    End {
        /// Length of the whole body, in bytes.
        length: u64,
        /// Metadata of the response.
        summary: ResponseSummary,
    },
    /// Error: the call was refused, or its response can't be completed.
    Failed {
        /// Key of the call; `None` if the request failed before its call was identified.
        call: Option<CallKey>,
        /// Error to report to the caller.
        error: CallError,
    },
    /// The program was ended at the request of the caller.
    ProgramEnded {
        /// Program that was ended.
        program: ProgramId,
    },
}

/// Call forwarded to the owner of its program.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ForwardedCall {
    /// Reference of the call at the origin, repeated in each response frame.
    pub call_ref: CallRef,
    /// VM that the caller is connected to.
    pub origin: VmName,
    /// Address at which the origin receives messages.
    pub origin_address: SocketAddr,
    /// Number of times the call has been forwarded, including this one.
    pub hops: u8,
    /// Call as the origin validated it.
    pub request: CallRequest,
}

/// Message between VMs.
///
/// Encoded with postcard: the order of variants and fields is part of the format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Periodic heartbeat with the state of the sender.
    Heartbeat(Heartbeat),
    /// Call for a program that the receiver owns or may open.
    Forward(Box<ForwardedCall>),
    /// Response frame of a forwarded call.
    Response {
        /// Reference of the call at the receiver.
        call_ref: CallRef,
        /// Frame to relay to the caller.
        frame: ResponseFrame,
    },
    /// The program of a forwarded call belongs to another incarnation.
    Redirect {
        /// Reference of the call at the receiver.
        call_ref: CallRef,
        /// Incarnation that owns the program, as far as the sender knows.
        owner: Incarnation,
    },
    /// Request to send the response again from an offset on.
    RetransmitRequest {
        /// VM that sends the request.
        origin: VmName,
        /// Address at which the origin receives messages.
        origin_address: SocketAddr,
        /// Reference of the call at the origin.
        call_ref: CallRef,
        /// Program and number of the call.
        call: CallKey,
        /// Offset of the first missing byte.
        offset: u64,
    },
    /// The caller of a forwarded call has disconnected, so it needs no more response frames.
    CallerDisconnected {
        /// VM that the caller was connected to.
        origin: VmName,
        /// Reference of the call at the origin.
        call_ref: CallRef,
        /// Program and number of the forwarded call.
        call: CallKey,
    },
    /// The sender has sealed its incarnation in favour of the receiver.
    Handover {
        /// Sealed incarnation, whose programs the receiver takes over.
        incarnation: Incarnation,
    },
    /// Request of a caller to end a program.
    EndProgram {
        /// Reference of the request at the origin.
        call_ref: CallRef,
        /// VM that the caller is connected to.
        origin: VmName,
        /// Address at which the origin receives messages.
        origin_address: SocketAddr,
        /// Account that sent the request.
        account: AccountName,
        /// Program to end.
        program: ProgramId,
    },
    /// Limits of targets as the sender knows them.
    Limits(Vec<LimitUpdate>),
    /// Request for a permit to send one call to a target with a limit.
    RequestPermit {
        /// Number that the reply repeats.
        id: u64,
        /// Address at which the sender receives messages.
        sender_address: SocketAddr,
        /// Target of the call.
        target: TargetName,
        /// Whether the call begins a program.
        demand: Demand,
        /// What the sender knows of the limit.
        known: Option<LimitUpdate>,
    },
    /// Reply to a request for a permit.
    PermitReply {
        /// Number of the request.
        id: u64,
        /// Whether the call may be sent.
        decision: PermitDecision,
        /// What the sender knows of the limit.
        known: Option<LimitUpdate>,
    },
    /// Attempt at a target that the sender can't reach. It is sent to the target after
    /// [`PeerMessage::StartCarry`].
    Carry(Box<CarriedRequest>),
    /// Send an attempt to its target now. Comes too late for one that was accepted long
    /// ago, as its origin has given it up by then.
    StartCarry {
        /// Number of the request.
        id: u64,
        /// VM that sent the request.
        origin: VmName,
    },
    /// What became of a carried attempt.
    CarryEvent {
        /// Number of the request.
        id: u64,
        /// Number of the event, from 0; the first one accepts or declines the request.
        sequence: u64,
        /// Outcome of the request so far, or an event of the target.
        event: CarryEvent,
    },
    /// The origin of a carried attempt needs its response no more.
    CancelCarry {
        /// Number of the request.
        id: u64,
        /// VM that sent the request.
        origin: VmName,
    },
}

/// What is to be sent to a target.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum CarriedWork {
    /// Request of a call; see [`Dispatch`](crate::Dispatch).
    Dispatch {
        /// Key of the call.
        call: CallKey,
        /// HTTP path at the target.
        path: String,
        /// Whether the response is a stream of server-sent events.
        stream: bool,
        /// Header `Content-Type` of the request.
        content_type: CompactString,
        /// Body of the request.
        body: Arc<[u8]>,
        /// Trace context that becomes the parent of the target's spans.
        trace: TraceContext,
    },
    /// Request for the rest of a stream; see [`StreamResume`](crate::StreamResume).
    Resume {
        /// ID of the stream at the target.
        resume_id: CompactString,
        /// Sequence number of the last received event; 0 if there was none.
        last_event_id: u64,
    },
}

/// Attempt at a target that its sender, the origin, can't reach.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CarriedRequest {
    /// Number of the request at the origin.
    pub id: u64,
    /// Attempt of the origin.
    pub attempt: AttemptId,
    /// VM that owns the call.
    pub origin: VmName,
    /// Address at which the origin receives messages.
    pub origin_address: SocketAddr,
    /// Incarnation that is to carry it; a later one doesn't know whether it was carried.
    pub carrier: Incarnation,
    /// Target, from the sheet.
    pub target: TargetName,
    /// What is to be sent.
    pub work: CarriedWork,
}

/// What became of a carried attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CarryEvent {
    /// The carrier waits for [`PeerMessage::StartCarry`], or has had it.
    Accepted,
    /// Nothing was sent to the target.
    Declined(Decline),
    /// Nothing was sent: the carrier reaches other targets, and not this one.
    TargetDown,
    /// Event of the target.
    Target(TargetEvent),
    /// The carrier has sent the last event already, in reply to a repeated request.
    Ended,
}

impl CarryEvent {
    /// Whether no further event follows.
    pub fn is_last(&self) -> bool {
        match self {
            CarryEvent::Accepted | CarryEvent::Ended => false,
            CarryEvent::Declined(_) | CarryEvent::TargetDown => true,
            CarryEvent::Target(event) => matches!(
                event,
                TargetEvent::Body { .. } | TargetEvent::Done | TargetEvent::Failed { .. }
            ),
        }
    }
}

//! Messages between VMs.

use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use lagoon_errors::CallError;
use lagoon_ids::{AccountName, CallKey, Incarnation, ProgramId, TargetName, VmName};
use lagoon_membership::Heartbeat;
use serde::{Deserialize, Serialize};

use crate::event::CallRef;
use crate::request::CallRequest;

/// What is said at the end of an answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ResponseSummary {
    /// Call.
    pub call: CallKey,
    /// Target that ran it.
    pub target: TargetName,
    /// VM that owns the program.
    pub owner: VmName,
    /// Whether the answer's record is durable.
    pub durable: bool,
    /// Proof of the calls so far, for an answer that is not durable.
    pub continuation: Option<CompactString>,
    /// Whether the answer is a recorded one.
    pub replayed: bool,
    /// Tokens that the call used.
    pub used_tokens: u64,
    /// Tokens that the program may still use.
    pub remaining_tokens: u64,
    /// Money that the program may still use, in millionths.
    pub remaining_money_micros: u64,
    /// Calls that the program may still make.
    pub remaining_turns: u64,
}

/// Piece of an answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ResponseFrame {
    /// Answer begins.
    Head {
        /// Call.
        call: CallKey,
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: CompactString,
    },
    /// Bytes at an offset of the answer.
    Data {
        /// Offset of the first byte.
        offset: u64,
        /// Bytes.
        bytes: Arc<[u8]>,
    },
    /// Answer is whole.
    End {
        /// Length of the whole answer, in bytes.
        length: u64,
        /// What is said at the end.
        summary: ResponseSummary,
    },
    /// Call is refused, or its answer can't be completed.
    Refused {
        /// Call.
        call: Option<CallKey>,
        /// Refusal.
        refusal: CallError,
    },
    /// Program has ended at the caller's wish.
    ProgramEnded {
        /// Program.
        program: ProgramId,
    },
}

/// Call on its way to the owner.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ForwardedCall {
    /// Reference of the VM that the caller reached.
    pub call_ref: CallRef,
    /// VM that the caller reached.
    pub origin: VmName,
    /// Where that VM takes messages.
    pub origin_address: SocketAddr,
    /// Hops so far.
    pub hops: u8,
    /// Call.
    pub request: CallRequest,
}

/// Message between VMs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Sign of life.
    Heartbeat(Heartbeat),
    /// Call for a program that the receiver owns.
    Forward(Box<ForwardedCall>),
    /// Piece of a forwarded call's answer.
    Response {
        /// Reference of the receiver.
        call_ref: CallRef,
        /// Piece.
        frame: ResponseFrame,
    },
    /// Program belongs to another incarnation.
    Redirect {
        /// Reference of the receiver.
        call_ref: CallRef,
        /// Owner.
        owner: Incarnation,
    },
    /// Pieces from an offset on are missing.
    RetransmitRequest {
        /// VM that asks.
        origin: VmName,
        /// Where it takes messages.
        origin_address: SocketAddr,
        /// Reference of that VM.
        call_ref: CallRef,
        /// Call.
        call: CallKey,
        /// First missing byte.
        offset: u64,
    },
    /// Caller of a forwarded call is gone.
    CallerDisconnected {
        /// VM that says so.
        origin: VmName,
        /// Reference of that VM.
        call_ref: CallRef,
        /// Call.
        call: CallKey,
    },
    /// Sender sealed itself in favour of the receiver.
    Handover {
        /// Sealed incarnation.
        incarnation: Incarnation,
    },
    /// Caller wants a program to end.
    EndProgram {
        /// Reference of the VM that the caller reached.
        call_ref: CallRef,
        /// That VM.
        origin: VmName,
        /// Where it takes messages.
        origin_address: SocketAddr,
        /// Account that asks.
        account: AccountName,
        /// Program.
        program: ProgramId,
    },
}

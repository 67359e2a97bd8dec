//! Messages from other threads to the actor thread.

use std::sync::mpsc::Sender;

use lagoon_ids::TargetName;
use lagoon_node::{
    CallRef, CallerRequest, Event, OperatorRef, OperatorReply, OperatorRequest, ResponseFrame,
};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// Message to the actor thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// Call from a caller; its response is sent to `frames`.
    Call {
        call_ref: CallRef,
        request: Box<CallerRequest>,
        frames: UnboundedSender<ResponseFrame>,
    },
    /// Caller's request to end a program; the response is sent to `frames`.
    EndProgram {
        call_ref: CallRef,
        api_key: String,
        program: String,
        frames: UnboundedSender<ResponseFrame>,
    },
    /// Operator's request; its reply is sent to `reply`.
    Operator {
        operator_ref: OperatorRef,
        request: OperatorRequest,
        reply: oneshot::Sender<OperatorReply>,
    },
    /// Bytes of this target are no response.
    InvalidResponse(TargetName),
    /// Event that needs no response.
    Event(Event),
}

impl From<Event> for Input {
    fn from(event: Event) -> Self {
        Input::Event(event)
    }
}

/// Sender of messages to the actor thread.
pub(crate) type InputSender = Sender<Input>;

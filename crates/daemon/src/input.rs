//! What other threads tell the actors.

use std::sync::mpsc::Sender;

use lagoon_node::{
    CallRef, CallerRequest, Event, OperatorRef, OperatorReply, OperatorRequest, ResponseFrame,
};

/// Message to the thread that runs the actors.
#[derive(Debug)]
pub(crate) enum Input {
    /// Caller's call.
    Call {
        call_ref: CallRef,
        request: Box<CallerRequest>,
        frames: Sender<ResponseFrame>,
    },
    /// Caller wants a program to end.
    EndProgram {
        call_ref: CallRef,
        api_key: String,
        program: String,
        frames: Sender<ResponseFrame>,
    },
    /// Operator's request.
    Operator {
        operator_ref: OperatorRef,
        request: OperatorRequest,
        reply: Sender<OperatorReply>,
    },
    /// Any other event.
    Event(Event),
}

impl From<Event> for Input {
    fn from(event: Event) -> Self {
        Input::Event(event)
    }
}

/// Way to the thread that runs the actors.
pub(crate) type InputSender = Sender<Input>;

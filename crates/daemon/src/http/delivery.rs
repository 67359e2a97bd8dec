//! Report of whether a call's response was delivered.

use std::sync::Arc;

use lagoon_ids::TraceContext;
use lagoon_memory::Holding;
use lagoon_node::{CallRef, Event};
use lagoon_telemetry::{FinishedSpan, SpanKind, Tracer};

use crate::clock::Clock;
use crate::input::InputSender;

/// Whether a caller received its response.
///
/// The variant names in lower case are values of a span attribute.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DeliveryOutcome {
    /// A stream or a buffered response was handed to the HTTP server whole, which doesn't
    /// report whether it arrived.
    Whole,
    /// The connection ended before that, so the caller has disconnected.
    CallerGone,
}

/// Call of a caller. Dropped when its response is sent or its caller has disconnected, which
/// it reports.
pub(super) struct Delivery {
    pub(super) input_sender: InputSender,
    pub(super) tracer: Arc<Tracer>,
    pub(super) clock: Clock,
    pub(super) call_ref: CallRef,
    pub(super) context: TraceContext,
    pub(super) parent: TraceContext,
    pub(super) start_us: u64,
    pub(super) path: String,
    /// Counts the body of the request until the call has ended.
    pub(super) _body_memory: Holding,
    pub(super) is_whole: bool,
}

impl Delivery {
    pub(super) fn set_whole(&mut self) {
        self.is_whole = true;
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        let outcome = match self.is_whole {
            true => DeliveryOutcome::Whole,
            false => DeliveryOutcome::CallerGone,
        };
        if outcome == DeliveryOutcome::CallerGone {
            let call_ref = self.call_ref;
            // Fails only if the process is about to exit.
            let _ = self
                .input_sender
                .send(Event::CallerDisconnected { call_ref }.into());
        }
        self.tracer.record(FinishedSpan {
            name: "accept",
            kind: SpanKind::Server,
            context: self.context,
            parent: self.parent,
            start_us: self.start_us,
            end_us: self.clock.now_us(),
            attributes: vec![
                ("url.path", std::mem::take(&mut self.path)),
                ("lagoon.sent", format!("{outcome:?}").to_lowercase()),
            ],
        });
    }
}

//! State of one call at its owner.

use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use lagoon_ids::{TargetName, VmName};
use lagoon_program::ResourceAmounts;
use lagoon_sheet::{RetrySafety, Workload};
use slotmap::new_key_type;

use crate::event::{AttemptId, CallRef};
use crate::request::CallRequest;

new_key_type! {
    /// Slot map key of a [`Call`].
    pub(crate) struct CallSlot;
}

/// Receiver of response frames.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Subscriber {
    /// Caller connected to this VM.
    Local(CallRef),
    /// Caller connected to another VM, which relays the frames.
    Peer {
        vm: VmName,
        address: SocketAddr,
        call_ref: CallRef,
    },
}

/// Stage of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Waiting for earlier calls of the program.
    AwaitingTurn,
    /// Waiting for the claim of the program's family to be durable.
    Opening,
    /// Waiting for a durable budget reservation.
    Reserving,
    /// Waiting for a target.
    Queued,
    /// Waiting for the intent record of an at-most-once call to be durable.
    RecordingIntent,
    /// Dispatched to a target; waiting for the end of its response.
    Dispatched,
    /// Response complete; waiting for the outcome record to be durable.
    Finishing,
}

/// Part of the target's response that the current attempt has received so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Response {
    /// HTTP status and content type.
    pub(crate) head: Option<(u16, CompactString)>,
    pub(crate) bytes: Vec<u8>,
    /// Sequence number of the last stream event; 0 if there was none.
    pub(crate) last_sequence: u64,
    pub(crate) resume_id: Option<CompactString>,
    /// Usage reported by the engine; `None` if it has reported none.
    pub(crate) used_tokens: Option<u64>,
}

/// Call that this VM handles as the owner of its program, from arrival to its outcome.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) request: CallRequest,
    pub(crate) subscribers: Vec<Subscriber>,
    pub(crate) phase: Phase,
    pub(crate) phase_started_us: u64,
    pub(crate) workload: Workload,
    pub(crate) retry_safety: RetrySafety,
    /// Maximum usage, held in the budget while the call is running; zero before and after.
    pub(crate) worst_case: ResourceAmounts,
    pub(crate) target: Option<(TargetName, SocketAddr)>,
    /// Target of the last failed attempt.
    pub(crate) avoided_target: Option<TargetName>,
    pub(crate) attempt: Option<AttemptId>,
    pub(crate) attempts: u32,
    pub(crate) stream_resumes: u32,
    pub(crate) response: Response,
    /// Time from which the call is refused if it still waits for admission or a target; `None`
    /// for no deadline.
    pub(crate) deadline_ms: Option<u64>,
}

impl Call {
    pub(crate) fn new(
        request: CallRequest,
        subscriber: Subscriber,
        workload: Workload,
        retry_safety: RetrySafety,
        now_us: u64,
    ) -> Call {
        Call {
            request,
            subscribers: vec![subscriber],
            phase: Phase::AwaitingTurn,
            phase_started_us: now_us,
            workload,
            retry_safety,
            worst_case: ResourceAmounts::default(),
            target: None,
            avoided_target: None,
            attempt: None,
            attempts: 0,
            stream_resumes: 0,
            response: Response::default(),
            deadline_ms: None,
        }
    }

    /// Adds a subscriber unless it is already subscribed.
    pub(crate) fn subscribe(&mut self, subscriber: Subscriber) {
        if !self.subscribers.contains(&subscriber) {
            self.subscribers.push(subscriber);
        }
    }

    /// Whether the call is assigned to a target, so that it may have been dispatched.
    pub(crate) fn is_assigned(&self) -> bool {
        matches!(
            self.phase,
            Phase::RecordingIntent | Phase::Dispatched | Phase::Finishing
        )
    }

    /// Received response bytes from an offset on; empty if there are none yet.
    pub(crate) fn bytes_from(&self, offset: u64) -> Arc<[u8]> {
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        self.response.bytes.get(start..).unwrap_or_default().into()
    }
}

//! One call under way at its owner.

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
    /// Key of a [`Call`].
    pub(crate) struct CallSlot;
}

/// Who gets the pieces of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Listener {
    /// Caller of this VM.
    Local(CallRef),
    /// Caller of another VM.
    Peer {
        vm: VmName,
        address: SocketAddr,
        call_ref: CallRef,
    },
}

/// How far a call has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Waits for its number to be the next.
    Ordering,
    /// Waits for the claim of its program.
    Opening,
    /// Waits for a durable reserve.
    Reserving,
    /// Waits for a target.
    Queued,
    /// Waits for a durable intent.
    Intending,
    /// Is at a target.
    Sent,
    /// Waits for a durable outcome.
    Finishing,
}

/// Answer so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    pub(crate) head: Option<(u16, CompactString)>,
    pub(crate) bytes: Vec<u8>,
    pub(crate) last_sequence: u64,
    pub(crate) resume_id: Option<CompactString>,
    pub(crate) used_tokens: Option<u64>,
}

/// Call under way.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) request: CallRequest,
    pub(crate) listeners: Vec<Listener>,
    pub(crate) phase: Phase,
    pub(crate) phase_us: u64,
    pub(crate) serves: Workload,
    pub(crate) repeat: RetrySafety,
    pub(crate) worst: ResourceAmounts,
    pub(crate) target: Option<(TargetName, SocketAddr)>,
    pub(crate) avoid: Option<TargetName>,
    pub(crate) attempt: Option<AttemptId>,
    pub(crate) tries: u32,
    pub(crate) resumes: u32,
    pub(crate) answer: Answer,
    pub(crate) deadline_ms: Option<u64>,
}

impl Call {
    pub(crate) fn new(
        request: CallRequest,
        listener: Listener,
        serves: Workload,
        repeat: RetrySafety,
        now_us: u64,
    ) -> Call {
        Call {
            request,
            listeners: vec![listener],
            phase: Phase::Ordering,
            phase_us: now_us,
            serves,
            repeat,
            worst: ResourceAmounts::default(),
            target: None,
            avoid: None,
            attempt: None,
            tries: 0,
            resumes: 0,
            answer: Answer::default(),
            deadline_ms: None,
        }
    }

    /// Adds a listener unless it listens already.
    pub(crate) fn attach(&mut self, listener: Listener) {
        if !self.listeners.contains(&listener) {
            self.listeners.push(listener);
        }
    }

    /// Whether it was sent, or may have been.
    pub(crate) fn is_at_target(&self) -> bool {
        matches!(
            self.phase,
            Phase::Intending | Phase::Sent | Phase::Finishing
        )
    }

    /// Answer's bytes from an offset on.
    pub(crate) fn bytes_from(&self, offset: u64) -> Arc<[u8]> {
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        self.answer.bytes.get(start..).unwrap_or_default().into()
    }
}

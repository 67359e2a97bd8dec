//! Timeouts of waiting calls.

use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::CallKey;
use lagoon_program::Program;

use crate::node::call::{CallSlot, Phase};
use crate::node::Node;

impl Node {
    /// Advances calls that can proceed and ends those whose wait has timed out.
    pub(super) fn check_call_timeouts(&mut self) {
        let slots: Vec<CallSlot> = self.calls.keys().collect();
        for slot in slots {
            self.check_call_timeout(slot);
        }
    }

    pub(super) fn check_call_timeout(&mut self, slot: CallSlot) {
        // What the call waits for may have become available without a
        // notification, such as a program imported by a takeover.
        self.advance(slot);
        let Some(call) = self.calls.get(slot) else {
            return;
        };
        let waited_ms = (self.now_us - call.phase_started_us) / 1_000;
        let key = &call.request.key;
        match call.phase {
            Phase::AwaitingTurn if waited_ms >= self.settings.gap_wait_ms && self.has_gap(key) => {
                let detail = format!("an earlier call than {} did not arrive", key.number);
                self.fail_call(slot, CallError::new(ErrorKind::OrderGap, detail));
            }
            Phase::Opening | Phase::Reserving if waited_ms >= self.settings.commit_wait_ms => {
                let error =
                    CallError::new(ErrorKind::StoreUnavailable, "no durable reserve in time");
                self.fail_call(slot, error);
            }
            Phase::RecordingIntent if waited_ms >= self.settings.commit_wait_ms => {
                self.cancel_intent(slot);
                let error =
                    CallError::new(ErrorKind::StoreUnavailable, "no durable record in time");
                self.fail_call(slot, error);
            }
            Phase::Queued
                if call
                    .deadline_ms
                    .is_some_and(|end_ms| self.now_ms() >= end_ms) =>
            {
                let error = CallError::new(ErrorKind::WindowClosed, "window passed in the queue");
                self.fail_call(slot, error);
            }
            Phase::Finishing if waited_ms >= self.settings.commit_wait_ms => {
                self.finish_call(slot, false);
            }
            _ => {}
        }
    }

    /// Whether the call waits for an earlier call that has not arrived.
    pub(super) fn has_gap(&self, key: &CallKey) -> bool {
        let program = self
            .programs
            .find(&key.program)
            .and_then(|key| self.programs.get(key));
        let next = program.map_or(1, Program::next_number);
        let expected = CallKey {
            program: key.program.clone(),
            number: next,
        };
        let running = program.is_some_and(|program| program.running().is_some());
        !running && !self.calls_by_key.contains_key(&expected)
    }
}

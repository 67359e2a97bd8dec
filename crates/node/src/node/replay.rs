//! Replay of recorded outcomes.

use lagoon_errors::{CallError, ErrorKind, ExecutionStatus};
use lagoon_ids::CallKey;
use lagoon_program::{FinishedCall, Outcome};

use crate::message::{ResponseFrame, ResponseSummary};
use crate::node::call::{CallSlot, Subscriber};
use crate::node::Node;

impl Node {
    /// Sends a recorded outcome to all subscribers of a repeated call.
    pub(super) fn replay_outcome(&mut self, slot: CallSlot, finished: &FinishedCall) {
        let error = match &finished.outcome {
            Outcome::Answered(_) => None,
            Outcome::InDoubt => Some(CallError::new(
                ErrorKind::InDoubt,
                format!(
                    "call was sent to {} and its outcome was not seen",
                    finished.target
                ),
            )),
            Outcome::Settled { ran: true } => Some(CallError {
                ran: ExecutionStatus::Ran,
                ..CallError::new(ErrorKind::InDoubt, "operator found that the call ran")
            }),
            Outcome::Settled { ran: false } => Some(CallError {
                ran: ExecutionStatus::NotRun,
                ..CallError::new(
                    ErrorKind::InDoubt,
                    "operator found that the call did not run",
                )
            }),
        };
        if let Some(error) = error {
            self.fail_call(slot, error);
            return;
        }
        let subscribers = self.calls[slot].subscribers.clone();
        let key = self.calls[slot].request.key.clone();
        for subscriber in &subscribers {
            self.send_recorded(subscriber, &key, finished, 0);
        }
        self.remove_call(slot);
    }

    /// Sends a subscriber a recorded response from an offset on.
    pub(super) fn send_recorded(
        &mut self,
        subscriber: &Subscriber,
        key: &CallKey,
        finished: &FinishedCall,
        offset: u64,
    ) {
        let Outcome::Answered(body) = &finished.outcome else {
            return;
        };
        let head = ResponseFrame::Head {
            call: key.clone(),
            status: body.status,
            content_type: body.content_type.clone(),
        };
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let bytes = body.bytes.get(start..).unwrap_or_default().into();
        let length = body.bytes.len() as u64;
        let durable = !self.nondurable_outcomes.contains(key);
        let summary = self.summary(key, finished, durable, true);
        self.send_frame(subscriber, head);
        self.send_frame(subscriber, ResponseFrame::Data { offset, bytes });
        self.send_frame(subscriber, ResponseFrame::End { length, summary });
    }

    /// Returns the metadata for the end of a response.
    pub(super) fn summary(
        &self,
        key: &CallKey,
        finished: &FinishedCall,
        durable: bool,
        replayed: bool,
    ) -> ResponseSummary {
        let program_key = self.programs.find(&key.program);
        let remaining = program_key
            .map(|key| self.programs.remaining(key))
            .unwrap_or_default();
        ResponseSummary {
            call: key.clone(),
            target: finished.target.clone(),
            owner: self.settings.vm.clone(),
            durable,
            continuation: if durable {
                None
            } else {
                self.issue_continuation(key)
            },
            replayed,
            used_tokens: finished.used.tokens,
            remaining_tokens: remaining.tokens,
            remaining_money_micros: remaining.money_micros,
            remaining_turns: remaining.turns,
        }
    }
}

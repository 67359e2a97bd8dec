//! Responses of targets: streaming, usage, outcomes and failed attempts.

use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::CallKey;
use lagoon_program::{FinishedCall, Outcome, Record, RecordedResponse};
use lagoon_sheet::RetrySafety;
use serde::Deserialize;

use crate::constants::{MAX_RESPONSE_BYTES, MAX_STREAM_RESUMES, MAX_TARGET_ATTEMPTS};
use crate::effect::Effect;
use crate::event::{AttemptFailure, AttemptId, TargetEvent};
use crate::message::{CarriedWork, ResponseFrame};
use crate::node::call::{CallSlot, Phase};
use crate::node::commit::CommitAction;
use crate::node::dispatch::dispatch_work;
use crate::node::limits::Clearance;
use crate::node::Node;
use crate::request::CallKind;

/// Fields of a response body or stream event that are read for the token usage.
#[derive(Deserialize)]
struct UsageFields {
    usage: Option<Usage>,
    /// Empty in an event that reports nothing but the usage.
    choices: Option<Vec<serde::de::IgnoredAny>>,
}

#[derive(Deserialize)]
struct Usage {
    total_tokens: u64,
}

impl Node {
    /// Handles an event of an attempt that this VM has sent to a target, for a call of
    /// its own or for another VM.
    pub(super) fn on_target_event(&mut self, attempt: AttemptId, event: TargetEvent) {
        if self.pass_on_event(attempt, &event) || self.is_handed(attempt) {
            return;
        }
        let slot = self.attempts.get(&attempt).copied();
        let target = slot.and_then(|slot| self.calls[slot].target.clone());
        if let (Some(slot), Some((target, _))) = (slot, target) {
            self.record_heard(&target, &event);
            let is_unconnected = matches!(
                event,
                TargetEvent::Failed {
                    failure: AttemptFailure::NotConnected,
                    ..
                }
            );
            if is_unconnected {
                let work = self.attempt_work(slot);
                if self.carry_instead(attempt, &target, work) {
                    return;
                }
            }
        }
        self.on_attempt_event(attempt, event);
    }

    /// What was sent last for a call: its request, or that for the rest of its stream.
    fn attempt_work(&self, slot: CallSlot) -> CarriedWork {
        let call = &self.calls[slot];
        match call.response.resume_id.clone() {
            Some(resume_id) => CarriedWork::Resume {
                resume_id,
                last_event_id: call.response.last_sequence,
            },
            None => dispatch_work(call),
        }
    }

    /// Handles an event of an attempt for a call of this VM, whoever sent it to the
    /// target.
    pub(super) fn on_attempt_event(&mut self, attempt: AttemptId, event: TargetEvent) {
        // An attempt that has ended is no longer listed; its late events are ignored.
        let Some(slot) = self.attempts.get(&attempt).copied() else {
            return;
        };
        match event {
            TargetEvent::Limit { per_s } => self.on_target_limit(slot, per_s),
            TargetEvent::Head {
                status,
                content_type,
                resume_id,
            } => self.on_response_head(slot, status, content_type, resume_id),
            TargetEvent::Chunk { sequence, data } => self.on_stream_event(slot, sequence, &data),
            TargetEvent::Body { bytes } => {
                self.read_usage(slot, &bytes);
                self.append_bytes(slot, &bytes);
                self.complete_response(slot);
            }
            TargetEvent::Done => self.complete_response(slot),
            TargetEvent::Failed { failure, detail } => self.on_failure(slot, failure, &detail),
        }
    }

    fn on_response_head(
        &mut self,
        slot: CallSlot,
        status: u16,
        content_type: compact_str::CompactString,
        resume_id: Option<compact_str::CompactString>,
    ) {
        let call = &mut self.calls[slot];
        if call.response.head.is_some() {
            return;
        }
        call.response.head = Some((status, content_type.clone()));
        call.response.resume_id = resume_id;
        let frame = ResponseFrame::Head {
            call: call.request.key.clone(),
            status,
            content_type,
        };
        self.send_to_all(slot, &frame);
    }

    fn on_stream_event(&mut self, slot: CallSlot, sequence: Option<u64>, data: &str) {
        let call = &mut self.calls[slot];
        if let Some(sequence) = sequence {
            if sequence <= call.response.last_sequence {
                return;
            }
            if sequence > call.response.last_sequence + 1 {
                let detail = format!(
                    "event {sequence} came after {}",
                    call.response.last_sequence
                );
                self.on_failure(slot, AttemptFailure::Interrupted, &detail);
                return;
            }
            call.response.last_sequence = sequence;
        }
        let usage_only = self.read_usage(slot, data.as_bytes());
        if usage_only {
            return;
        }
        let bytes = format!("data: {data}\n\n");
        self.append_bytes(slot, bytes.as_bytes());
    }

    /// Reads the token usage that an engine reported.
    ///
    /// Returns `true` for a usage-only event that the caller did not request, which
    /// must not be forwarded.
    fn read_usage(&mut self, slot: CallSlot, bytes: &[u8]) -> bool {
        let call = &mut self.calls[slot];
        let CallKind::Chat { include_usage, .. } = call.request.kind else {
            return false;
        };
        let Ok(fields) = serde_json::from_slice::<UsageFields>(bytes) else {
            return false;
        };
        let Some(usage) = fields.usage else {
            return false;
        };
        call.response.used_tokens = Some(usage.total_tokens);
        !include_usage && fields.choices.is_some_and(|choices| choices.is_empty())
    }

    fn append_bytes(&mut self, slot: CallSlot, bytes: &[u8]) {
        let call = &mut self.calls[slot];
        let offset = call.response.bytes.len() as u64;
        call.response.bytes.extend_from_slice(bytes);
        let frame = ResponseFrame::Data {
            offset,
            bytes: bytes.into(),
        };
        self.send_to_all(slot, &frame);
        if self.calls[slot].response.bytes.len() > MAX_RESPONSE_BYTES {
            self.abort_response(slot, "answer is longer than the limit");
        }
    }

    /// Completes a call whose target sent a complete response.
    fn complete_response(&mut self, slot: CallSlot) {
        let call = &self.calls[slot];
        let Some((status, content_type)) = call.response.head.clone() else {
            self.on_failure(slot, AttemptFailure::Interrupted, "end without a beginning");
            return;
        };
        let used = self.actual_usage(call);
        let target = match &call.target {
            Some((target, _)) => target.clone(),
            None => return,
        };
        let finished = FinishedCall {
            content_hash: call.request.content_hash,
            target,
            used,
            outcome: Outcome::Answered(RecordedResponse {
                status,
                content_type,
                bytes: call.response.bytes.as_slice().into(),
            }),
        };
        self.emit_span(slot, "target");
        self.record_outcome(slot, finished);
        self.set_phase(slot, Phase::Finishing);
        if self.store_unavailable {
            self.finish_call(slot, false);
        }
        self.drain_queue();
    }

    /// Records the outcome of a call and starts the next call of its program.
    fn record_outcome(&mut self, slot: CallSlot, finished: FinishedCall) {
        let key = self.calls[slot].request.key.clone();
        let record = Record::Finished {
            call: key.clone(),
            finished,
        };
        self.release_target(slot);
        self.clear_running(slot);
        self.programs.apply(&record);
        self.nondurable_outcomes.insert(key.clone());
        self.append_records(
            vec![record],
            Some(CommitAction::Finished(slot, key.clone())),
        );
        self.advance_next_call(&key);
    }

    /// Releases the worst-case usage held for a call and marks the call as not running.
    fn clear_running(&mut self, slot: CallSlot) {
        let now_ms = self.now_ms();
        let call = &mut self.calls[slot];
        let worst_case = std::mem::take(&mut call.worst_case);
        let number = call.request.key.number;
        let Some(key) = self.programs.find(&call.request.key.program) else {
            return;
        };
        let Some(program) = self.programs.get_mut(key) else {
            return;
        };
        if program.running() == Some(number) {
            program.clear_running();
            program.last_active_ms = now_ms;
            self.programs.release(key, worst_case);
        }
    }

    fn advance_next_call(&mut self, key: &CallKey) {
        let next = CallKey {
            program: key.program.clone(),
            number: key.number + 1,
        };
        if let Some(slot) = self.calls_by_key.get(&next).copied() {
            self.advance(slot);
        }
    }

    /// Sends the final frame of the response to all subscribers and removes the call.
    pub(super) fn finish_call(&mut self, slot: CallSlot, durable: bool) {
        let Some(call) = self.calls.get(slot) else {
            return;
        };
        let key = call.request.key.clone();
        let length = call.response.bytes.len() as u64;
        self.emit_span(slot, "store");
        let program = self
            .programs
            .find(&key.program)
            .and_then(|key| self.programs.get(key));
        let finished = program
            .and_then(|program| program.finished_call(key.number))
            .cloned();
        if let Some(finished) = finished {
            if let Outcome::Answered(_) = finished.outcome {
                let summary = self.summary(&key, &finished, durable, false);
                self.send_to_all(slot, &ResponseFrame::End { length, summary });
            }
        }
        self.remove_call(slot);
    }

    fn on_failure(&mut self, slot: CallSlot, failure: AttemptFailure, detail: &str) {
        let call = &self.calls[slot];
        let target = call.target.as_ref();
        log::warn!(
            call = call.request.key.to_string(),
            target = target.map_or("", |(name, _)| name.as_str()),
            failure = failure.to_string(),
            detail;
            "try failed"
        );
        match failure {
            AttemptFailure::NotConnected if call.response.head.is_some() => {
                self.on_interrupted(slot, detail)
            }
            AttemptFailure::NotConnected | AttemptFailure::NotRun => {
                self.emit_span(slot, "target");
                self.on_not_run(slot, failure, detail);
            }
            AttemptFailure::Rejected => {
                self.emit_span(slot, "target");
                if self.calls[slot].retry_safety == RetrySafety::AtMostOnce {
                    self.cancel_intent(slot);
                }
                self.fail_call(slot, CallError::new(ErrorKind::TargetRejected, detail));
            }
            AttemptFailure::Interrupted => self.on_interrupted(slot, detail),
        }
    }

    fn on_interrupted(&mut self, slot: CallSlot, detail: &str) {
        if self.resume_stream(slot, detail) {
            return;
        }
        self.end_interrupted(slot, detail);
    }

    /// Ends an interrupted attempt that is not resumed.
    pub(super) fn end_interrupted(&mut self, slot: CallSlot, detail: &str) {
        if !self.calls.contains_key(slot) {
            return;
        }
        self.emit_span(slot, "target");
        let call = &self.calls[slot];
        match (call.retry_safety, call.request.kind.is_chat()) {
            (RetrySafety::AtMostOnce, _) => self.record_in_doubt(slot, detail),
            (_, true) if !call.response.bytes.is_empty() => self.abort_response(slot, detail),
            _ if call.attempts >= MAX_TARGET_ATTEMPTS => self.abort_response(slot, detail),
            _ => self.retry(slot),
        }
    }

    /// Resumes an interrupted stream, once it has a permit if its target has a limit;
    /// returns `false` if the call is no stream, the target gave no resume ID or the
    /// maximum number of resumes is reached.
    fn resume_stream(&mut self, slot: CallSlot, detail: &str) -> bool {
        let call = &mut self.calls[slot];
        if call.attempt.is_none() || call.response.resume_id.is_none() {
            return false;
        }
        if !call.request.kind.is_stream() || call.stream_resumes >= MAX_STREAM_RESUMES {
            return false;
        }
        let Some((target, _)) = call.target.clone() else {
            return false;
        };
        call.stream_resumes += 1;
        if self.clear_for(slot, &target) == Clearance::Cleared {
            self.request_resume(slot);
        } else {
            self.await_resume(slot, detail);
        }
        true
    }

    /// Requests the rest of an interrupted stream.
    pub(super) fn request_resume(&mut self, slot: CallSlot) {
        self.use_permit(slot);
        let call = &self.calls[slot];
        let (Some(attempt), Some((target, address)), true) = (
            call.attempt,
            call.target.clone(),
            call.response.resume_id.is_some(),
        ) else {
            return;
        };
        let work = self.attempt_work(slot);
        self.send_attempt(attempt, &target, address, work);
    }

    /// Retries an interrupted call and charges the failed attempt, which may have run.
    fn retry(&mut self, slot: CallSlot) {
        self.avoid_target(slot);
        self.release_target(slot);
        self.charge_worst_case(slot);
        self.clear_running(slot);
        self.set_phase(slot, Phase::AwaitingTurn);
        self.advance(slot);
    }

    /// Charges the worst-case usage of an attempt without a complete response.
    ///
    /// Nothing is charged if the target deduplicates attempts by their idempotency key.
    pub(super) fn charge_worst_case(&mut self, slot: CallSlot) {
        let call = &self.calls[slot];
        if call.retry_safety == RetrySafety::IdempotencyKey {
            return;
        }
        let record = Record::Charged {
            call: call.request.key.clone(),
            used: call.worst_case,
        };
        self.programs.apply(&record);
        self.append_records(vec![record], None);
    }

    /// Cancels and fails a call whose response can't be completed, and charges its worst-case
    /// usage.
    fn abort_response(&mut self, slot: CallSlot, detail: &str) {
        self.cancel_attempt(slot);
        self.charge_worst_case(slot);
        self.fail_call(slot, CallError::new(ErrorKind::AnswerBroken, detail));
    }

    /// Records a call as in doubt: it may or may not have run.
    fn record_in_doubt(&mut self, slot: CallSlot, detail: &str) {
        let call = &self.calls[slot];
        let Some((target, _)) = call.target.clone() else {
            return;
        };
        let finished = FinishedCall {
            content_hash: call.request.content_hash,
            target: target.clone(),
            used: call.worst_case,
            outcome: Outcome::InDoubt,
        };
        self.record_outcome(slot, finished);
        let detail = format!("{target}: {detail}");
        self.fail_call(slot, CallError::new(ErrorKind::InDoubt, detail));
    }

    pub(super) fn cancel_attempt(&mut self, slot: CallSlot) {
        let call = &self.calls[slot];
        if let (Some(attempt), Some((_, address))) = (call.attempt, call.target.clone()) {
            if self.is_handed(attempt) {
                self.cancel_handed(attempt);
                return;
            }
            let resume_id = call.response.resume_id.clone();
            self.emit(Effect::Cancel {
                attempt,
                address,
                resume_id,
            });
        }
    }

    /// Ends a call with an error. Its number can be used again unless an outcome was recorded.
    pub(super) fn fail_call(&mut self, slot: CallSlot, error: CallError) {
        let Some(call) = self.calls.get(slot) else {
            return;
        };
        let call_key = call.request.key.clone();
        log::info!(
            call = call_key.to_string(),
            kind = error.kind.to_string(),
            detail = error.detail.as_str();
            "call failed"
        );
        let frame = ResponseFrame::Failed {
            call: Some(call_key),
            error,
        };
        self.send_to_all(slot, &frame);
        self.queue.remove(slot);
        self.release_target(slot);
        self.clear_running(slot);
        self.remove_call(slot);
    }

    pub(super) fn remove_call(&mut self, slot: CallSlot) {
        if let Some(call) = self.calls.remove(slot) {
            self.calls_by_key.remove(&call.request.key);
        }
    }
}

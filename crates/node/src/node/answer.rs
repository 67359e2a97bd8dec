//! From a target back to the callers.

use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::CallKey;
use lagoon_program::{FinishedCall, Outcome, Record, RecordedResponse};
use lagoon_sheet::RetrySafety;
use serde::Deserialize;

use crate::constants::{MAX_RESPONSE_BYTES, MAX_STREAM_RESUMES, MAX_TARGET_ATTEMPTS};
use crate::effect::{Effect, StreamResume};
use crate::event::{AttemptFailure, AttemptId, TargetEvent};
use crate::message::ResponseFrame;
use crate::node::call::{CallSlot, Phase};
use crate::node::commit::Commit;
use crate::node::Node;
use crate::request::CallKind;

/// Part of an answer that is read for its usage.
#[derive(Deserialize)]
struct UsagePart {
    usage: Option<Usage>,
    choices: Option<Vec<serde::de::IgnoredAny>>,
}

#[derive(Deserialize)]
struct Usage {
    total_tokens: u64,
}

impl Node {
    pub(super) fn on_target(&mut self, attempt: AttemptId, event: TargetEvent) {
        // A late event of a try that was given up finds no call.
        let Some(slot) = self.attempts.get(&attempt).copied() else {
            return;
        };
        match event {
            TargetEvent::Head {
                status,
                content_type,
                resume_id,
            } => self.on_head(slot, status, content_type, resume_id),
            TargetEvent::Chunk { sequence, data } => self.on_chunk(slot, sequence, &data),
            TargetEvent::Body { bytes } => {
                self.read_usage(slot, &bytes);
                self.add_bytes(slot, &bytes);
                self.finish(slot);
            }
            TargetEvent::Done => self.finish(slot),
            TargetEvent::Failed { failure, detail } => self.on_failed(slot, failure, &detail),
        }
    }

    fn on_head(
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

    fn on_chunk(&mut self, slot: CallSlot, sequence: Option<u64>, data: &str) {
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
                self.on_failed(slot, AttemptFailure::Interrupted, &detail);
                return;
            }
            call.response.last_sequence = sequence;
        }
        let hidden = self.read_usage(slot, data.as_bytes());
        if hidden {
            return;
        }
        let bytes = format!("data: {data}\n\n");
        self.add_bytes(slot, bytes.as_bytes());
    }

    /// Reads the usage that an engine counted.
    ///
    /// Returns whether the part holds nothing else and was not asked for.
    fn read_usage(&mut self, slot: CallSlot, bytes: &[u8]) -> bool {
        let call = &mut self.calls[slot];
        let CallKind::Chat { include_usage, .. } = call.request.kind else {
            return false;
        };
        let Ok(part) = serde_json::from_slice::<UsagePart>(bytes) else {
            return false;
        };
        let Some(usage) = part.usage else {
            return false;
        };
        call.response.used_tokens = Some(usage.total_tokens);
        !include_usage && part.choices.is_some_and(|choices| choices.is_empty())
    }

    fn add_bytes(&mut self, slot: CallSlot, bytes: &[u8]) {
        let call = &mut self.calls[slot];
        let offset = call.response.bytes.len() as u64;
        call.response.bytes.extend_from_slice(bytes);
        let frame = ResponseFrame::Data {
            offset,
            bytes: bytes.into(),
        };
        self.send_to_all(slot, &frame);
        if self.calls[slot].response.bytes.len() > MAX_RESPONSE_BYTES {
            self.break_off(slot, "answer is longer than the limit");
        }
    }

    /// Target gave a whole answer.
    fn finish(&mut self, slot: CallSlot) {
        let call = &self.calls[slot];
        let Some((status, content_type)) = call.response.head.clone() else {
            self.on_failed(slot, AttemptFailure::Interrupted, "end without a beginning");
            return;
        };
        let used = self.used(call);
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
        self.hop_span(slot, "target");
        self.record_outcome(slot, finished);
        self.set_phase(slot, Phase::Finishing);
        if self.store_unavailable {
            self.end_answer(slot, false);
        }
        self.drain_queue();
    }

    /// Records what became of a call and lets the next one run.
    fn record_outcome(&mut self, slot: CallSlot, finished: FinishedCall) {
        let key = self.calls[slot].request.key.clone();
        let record = Record::Finished {
            call: key.clone(),
            finished,
        };
        self.leave_target(slot);
        self.settle(slot);
        self.programs.apply(&record);
        self.nondurable_outcomes.insert(key.clone());
        self.journal(vec![record], Some(Commit::Finished(slot, key.clone())));
        self.advance_next(&key);
    }

    /// Takes back the worst case of a call and marks it as not under way.
    fn settle(&mut self, slot: CallSlot) {
        let now_ms = self.now_ms();
        let call = &mut self.calls[slot];
        let worst = std::mem::take(&mut call.worst_case);
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
            self.programs.release(key, worst);
        }
    }

    fn advance_next(&mut self, key: &CallKey) {
        let next = CallKey {
            program: key.program.clone(),
            number: key.number + 1,
        };
        if let Some(slot) = self.calls_by_key.get(&next).copied() {
            self.advance(slot);
        }
    }

    /// Tells the callers that the answer is whole.
    pub(super) fn end_answer(&mut self, slot: CallSlot, durable: bool) {
        let Some(call) = self.calls.get(slot) else {
            return;
        };
        let key = call.request.key.clone();
        let length = call.response.bytes.len() as u64;
        self.hop_span(slot, "store");
        let found = self
            .programs
            .find(&key.program)
            .and_then(|key| self.programs.get(key));
        let finished = found
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

    fn on_failed(&mut self, slot: CallSlot, failure: AttemptFailure, detail: &str) {
        let call = &self.calls[slot];
        log::warn!(
            call = call.request.key.to_string(),
            failure = failure.to_string(),
            detail;
            "try failed"
        );
        match failure {
            AttemptFailure::NotConnected if call.response.head.is_some() => {
                self.on_broken(slot, detail)
            }
            AttemptFailure::NotConnected | AttemptFailure::NotRun => {
                self.hop_span(slot, "target");
                self.not_run(slot, failure, detail);
            }
            AttemptFailure::Rejected => {
                self.hop_span(slot, "target");
                if self.calls[slot].retry_safety == RetrySafety::AtMostOnce {
                    self.withdraw(slot);
                }
                self.fail_call(slot, CallError::new(ErrorKind::TargetRejected, detail));
            }
            AttemptFailure::Interrupted => self.on_broken(slot, detail),
        }
    }

    fn on_broken(&mut self, slot: CallSlot, detail: &str) {
        if self.resume(slot) {
            return;
        }
        self.hop_span(slot, "target");
        let call = &self.calls[slot];
        match (call.retry_safety, call.request.kind.is_chat()) {
            (RetrySafety::AtMostOnce, _) => self.doubt(slot, detail),
            (_, true) if !call.response.bytes.is_empty() => self.break_off(slot, detail),
            _ if call.attempts >= MAX_TARGET_ATTEMPTS => self.break_off(slot, detail),
            _ => self.repeat(slot),
        }
    }

    /// Takes a broken stream up again, if its engine can.
    fn resume(&mut self, slot: CallSlot) -> bool {
        let call = &mut self.calls[slot];
        let (Some(attempt), Some(resume_id)) = (call.attempt, call.response.resume_id.clone())
        else {
            return false;
        };
        if !call.request.kind.is_stream() || call.stream_resumes >= MAX_STREAM_RESUMES {
            return false;
        }
        let Some((_, address)) = call.target else {
            return false;
        };
        call.stream_resumes += 1;
        let resume = StreamResume {
            attempt,
            address,
            resume_id,
            last_event_id: call.response.last_sequence,
        };
        self.emit(Effect::Resume(Box::new(resume)));
        true
    }

    /// Runs a repeatable call again; what the broken try used is charged.
    fn repeat(&mut self, slot: CallSlot) {
        self.avoid_target(slot);
        self.leave_target(slot);
        self.charge_worst(slot);
        self.settle(slot);
        self.set_phase(slot, Phase::AwaitingTurn);
        self.advance(slot);
    }

    /// Charges the worst case of a try that gave no whole answer.
    pub(super) fn charge_worst(&mut self, slot: CallSlot) {
        let call = &self.calls[slot];
        if call.retry_safety == RetrySafety::IdempotencyKey {
            return;
        }
        let record = Record::Charged {
            call: call.request.key.clone(),
            used: call.worst_case,
        };
        self.programs.apply(&record);
        self.journal(vec![record], None);
    }

    /// Gives an answer up that can't be completed.
    fn break_off(&mut self, slot: CallSlot, detail: &str) {
        self.cancel_try(slot);
        self.charge_worst(slot);
        self.fail_call(slot, CallError::new(ErrorKind::AnswerBroken, detail));
    }

    /// Records that nobody knows whether a call ran.
    fn doubt(&mut self, slot: CallSlot, detail: &str) {
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

    pub(super) fn cancel_try(&mut self, slot: CallSlot) {
        let call = &self.calls[slot];
        if let (Some(attempt), Some((_, address))) = (call.attempt, call.target.clone()) {
            let resume_id = call.response.resume_id.clone();
            self.emit(Effect::Cancel {
                attempt,
                address,
                resume_id,
            });
        }
    }

    /// Refuses a call; its number stays free unless an outcome is recorded.
    pub(super) fn fail_call(&mut self, slot: CallSlot, error: CallError) {
        let Some(call) = self.calls.get(slot) else {
            return;
        };
        let call_key = call.request.key.clone();
        log::info!(
            call = call_key.to_string(),
            kind = error.kind.to_string(),
            detail = error.detail.as_str();
            "call refused"
        );
        let frame = ResponseFrame::Refused {
            call: Some(call_key),
            refusal: error,
        };
        self.send_to_all(slot, &frame);
        self.queue.remove(slot);
        self.leave_target(slot);
        self.settle(slot);
        self.remove_call(slot);
    }

    pub(super) fn remove_call(&mut self, slot: CallSlot) {
        if let Some(call) = self.calls.remove(slot) {
            self.calls_by_key.remove(&call.request.key);
        }
    }
}

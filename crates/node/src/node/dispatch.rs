//! Dispatch of queued calls to targets, retries on other targets, and load reports.

use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::{hash64, ProgramId, TargetName};
use lagoon_membership::LoadReport;
use lagoon_policy::{PlacementHint, Priority};
use lagoon_program::{Record, ResourceAmounts};
use lagoon_sheet::RetrySafety;

use crate::constants::{MAX_INTENT_AGE_MS, MAX_TARGET_ATTEMPTS};
use crate::effect::{Effect, LoadPoll, StageSpan};
use crate::event::{AttemptFailure, AttemptId};
use crate::message::CarriedWork;
use crate::node::call::{Call, CallSlot, Phase};
use crate::node::commit::CommitAction;
use crate::node::limits::Clearance;
use crate::node::Node;
use crate::request::CallKind;

impl Node {
    /// Queues a call that is ready for dispatch.
    pub(super) fn enqueue(&mut self, slot: CallSlot) {
        self.emit_span(slot, "store");
        self.set_phase(slot, Phase::Queued);
        let call = &self.calls[slot];
        let priority = Priority {
            attained_tokens: self.attained_tokens(&call.request.key.program),
            queued_at_ms: self.now_ms(),
            deadline_ms: call.deadline_ms,
        };
        self.queue.push(slot, priority);
        self.drain_queue();
    }

    /// Returns the tokens spent by the program's whole family, so that spawning
    /// child programs gains no priority.
    fn attained_tokens(&self, program: &ProgramId) -> u64 {
        let key = self
            .programs
            .find(program)
            .map(|key| self.programs.root(key));
        key.and_then(|key| self.programs.get(key))
            .map_or(0, |root| root.budget.spent.tokens)
    }

    /// Assigns queued calls to targets with free capacity.
    pub(super) fn drain_queue(&mut self) {
        if self.queue.is_empty() {
            return;
        }
        for slot in self.queue.in_order(self.now_ms()) {
            while let Some(target) = self.choose_target(slot) {
                match self.clear_for(slot, &target.0) {
                    Clearance::Cleared => {
                        self.queue.remove(slot);
                        self.emit_span(slot, "queue");
                        self.assign_target(slot, target);
                        break;
                    }
                    Clearance::Waiting => break,
                    // The balancer leaves it out from now on.
                    Clearance::NoRoom => {}
                }
            }
        }
    }

    fn choose_target(&self, slot: CallSlot) -> Option<(TargetName, std::net::SocketAddr)> {
        let call = self.calls.get(slot)?;
        if !self.may_dispatch(&call.request.key.program) {
            return None;
        }
        let sheet = self.config.sheet.as_ref()?;
        let permitted = self.permitted_target(slot);
        let permitted =
            permitted.and_then(|name| sheet.targets.iter().find(|target| target.name == *name));
        if let Some(target) = permitted {
            return Some((target.name.clone(), target.address));
        }
        let program = self.programs.find(&call.request.key.program);
        let last = program
            .and_then(|key| self.programs.get(key))
            .and_then(|program| program.finished_calls().last())
            .map(|(_, finished)| &finished.target);
        let hint = PlacementHint {
            last_target: last,
            avoid_target: call.avoided_target.as_ref(),
            salt: hash64(self.settings.vm.as_str().as_bytes()) ^ self.last_id,
        };
        let name = self
            .balancer
            .choose(sheet, call.workload, hint, self.now_ms())?;
        let target = sheet.targets.iter().find(|target| target.name == *name)?;
        Some((target.name.clone(), target.address))
    }

    fn assign_target(&mut self, slot: CallSlot, target: (TargetName, std::net::SocketAddr)) {
        self.balancer.on_sent(&target.0);
        let call = &mut self.calls[slot];
        call.target = Some(target.clone());
        if call.retry_safety != RetrySafety::AtMostOnce {
            self.dispatch(slot);
            return;
        }
        let record = Record::Intent {
            call: call.request.key.clone(),
            content_hash: call.request.content_hash,
            target: target.0,
            worst_case: call.worst_case,
        };
        self.programs.apply(&record);
        self.append_records(vec![record], Some(CommitAction::Intent(slot)));
        self.set_phase(slot, Phase::RecordingIntent);
    }

    /// Dispatches an at-most-once call once its intent is durable, so that a
    /// successor would know of it.
    pub(super) fn on_intent_durable(&mut self, slot: CallSlot) {
        let Some(call) = self.calls.get(slot) else {
            return;
        };
        if call.phase != Phase::RecordingIntent {
            return;
        }
        let age_ms = (self.now_us - call.phase_started_us) / 1_000;
        if age_ms > MAX_INTENT_AGE_MS {
            self.cancel_intent(slot);
            let error = CallError::new(
                ErrorKind::StoreUnavailable,
                "record took too long to be durable",
            );
            self.fail_call(slot, error);
            return;
        }
        self.emit_span(slot, "store");
        if self.is_permit_expired(slot) {
            self.cancel_intent(slot);
            self.release_target(slot);
            self.enqueue(slot);
            return;
        }
        self.dispatch(slot);
    }

    /// Cancels an intent whose call is known not to have run.
    pub(super) fn cancel_intent(&mut self, slot: CallSlot) {
        let record = Record::IntentCancelled {
            call: self.calls[slot].request.key.clone(),
        };
        self.programs.apply(&record);
        self.append_records(vec![record], None);
    }

    fn dispatch(&mut self, slot: CallSlot) {
        self.use_permit(slot);
        let attempt = AttemptId(self.next_id());
        let call = &mut self.calls[slot];
        call.attempt = Some(attempt);
        call.attempts += 1;
        call.response = Default::default();
        let Some((target, address)) = call.target.clone() else {
            return;
        };
        let work = dispatch_work(call);
        self.attempts.insert(attempt, slot);
        self.send_attempt(attempt, &target, address, work);
        self.set_phase(slot, Phase::Dispatched);
    }

    /// Ends an attempt and frees its slot at the target.
    pub(super) fn release_target(&mut self, slot: CallSlot) {
        let Some(call) = self.calls.get_mut(slot) else {
            return;
        };
        let attempt = call.attempt.take();
        if let Some((target, _)) = call.target.take() {
            self.balancer.on_done(&target);
        }
        if let Some(attempt) = attempt {
            self.attempts.remove(&attempt);
            self.cancel_handed(attempt);
        }
    }

    /// Handles a failed attempt that did not run: queues the call again for another
    /// target, or fails it after the last attempt.
    pub(super) fn on_not_run(&mut self, slot: CallSlot, failure: AttemptFailure, detail: &str) {
        let call = &self.calls[slot];
        let target = call.target.as_ref().map(|(name, _)| name.clone());
        if call.retry_safety == RetrySafety::AtMostOnce {
            self.cancel_intent(slot);
        }
        if let Some(target) = target.filter(|_| failure == AttemptFailure::NotConnected) {
            let now_ms = self.now_ms();
            self.balancer.eject(&target, now_ms);
        }
        let name = self.avoid_target(slot);
        self.release_target(slot);
        if self.calls[slot].attempts >= MAX_TARGET_ATTEMPTS {
            let kind = match failure {
                AttemptFailure::NotRun => ErrorKind::Overloaded,
                _ => ErrorKind::NoTarget,
            };
            self.fail_call(
                slot,
                CallError::new(kind, format!("{name}: {failure}: {detail}")),
            );
            return;
        }
        self.enqueue(slot);
    }

    /// Marks the current target as one to avoid in the next attempt and returns its name.
    pub(super) fn avoid_target(&mut self, slot: CallSlot) -> String {
        let call = &mut self.calls[slot];
        call.avoided_target = call.target.as_ref().map(|(name, _)| name.clone());
        call.avoided_target
            .as_ref()
            .map_or_else(String::new, |name| name.to_string())
    }

    /// Emits the trace span of the stage that ends at the current time.
    pub(super) fn emit_span(&mut self, slot: CallSlot, name: &'static str) {
        let Some(call) = self.calls.get(slot) else {
            return;
        };
        let mut attributes = vec![
            ("lagoon.vm", self.settings.vm.to_string()),
            ("lagoon.call", call.request.key.to_string()),
        ];
        if let Some((target, _)) = &call.target {
            attributes.push(("lagoon.target", target.to_string()));
        }
        let span = StageSpan {
            name,
            context: call.request.trace.child(&span_label(name, call)),
            parent: call.request.trace,
            start_us: call.phase_started_us,
            end_us: self.now_us,
            attributes,
        };
        self.emit(Effect::Span(span));
    }

    /// Returns the usage that the engine reported, up to the call's worst case; the worst case
    /// if none was reported.
    pub(super) fn actual_usage(&self, call: &Call) -> ResourceAmounts {
        match (&call.request.kind, call.response.used_tokens) {
            (CallKind::Chat { .. }, Some(tokens)) => {
                self.token_usage(call.workload, tokens).min(call.worst_case)
            }
            _ => call.worst_case,
        }
    }

    pub(super) fn on_load_report(&mut self, report: LoadReport) {
        self.apply_load(&report);
        self.loads.insert(report.target.clone(), report);
    }

    pub(super) fn apply_load(&mut self, report: &LoadReport) {
        let load = report.running + report.waiting;
        let now_ms = self.now_ms();
        self.balancer.on_load(&report.target, load, now_ms);
        if report.leaving {
            self.balancer.on_draining(&report.target);
        }
    }

    /// Selects the targets whose load this VM polls.
    ///
    /// Rendezvous hashing distributes the targets of the failure domain over its VMs.
    pub(super) fn assign_load_polls(&mut self) {
        let Some(sheet) = &self.config.sheet else {
            return;
        };
        let own_vm = Some(&self.settings.vm);
        let polls: Vec<LoadPoll> = sheet
            .targets
            .iter()
            .filter(|target| target.domain == self.settings.domain)
            .filter(|target| !self.is_limited(&target.name))
            .filter(|target| self.members.assigned_vm(target.name.as_str()) == own_vm)
            .map(|target| LoadPoll {
                target: target.name.clone(),
                address: target.address,
            })
            .collect();
        self.loads
            .retain(|name, _| polls.iter().any(|poll| poll.target == *name));
        self.emit(Effect::PollLoads(polls));
    }
}

/// Label from which the ID of a span is derived; distinct for each span of a call.
fn span_label(name: &str, call: &Call) -> String {
    format!(
        "{name} {} {} {}",
        call.request.key, call.attempts, call.phase_started_us
    )
}

/// What is sent to the target for a call.
pub(super) fn dispatch_work(call: &Call) -> CarriedWork {
    CarriedWork::Dispatch {
        call: call.request.key.clone(),
        path: target_path(call),
        stream: call.request.kind.is_stream(),
        content_type: call.request.content_type.clone(),
        body: call.request.body.clone(),
        trace: call.request.trace.child(&span_label("target", call)),
    }
}

fn target_path(call: &Call) -> String {
    match &call.request.kind {
        CallKind::Chat { .. } => "/v1/chat/completions".to_owned(),
        CallKind::Service { service } => format!("/v1/call/{service}"),
    }
}

//! Ordering, budget and admission of calls at the owner, up to the queue.

use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::{CallKey, Incarnation, ProgramId};
use lagoon_journal::RecordGroup;
use lagoon_program::{
    CallDecision, ProgramKey, ProgramSpec, Record, ReserveCoverage, ResourceAmounts,
};
use lagoon_sheet::{RetrySafety, Workload};

use crate::constants::MAX_FAMILY_PROGRAMS;
use crate::message::ResponseFrame;
use crate::node::arrival::PendingCall;
use crate::node::call::{Call, CallSlot, Phase, Subscriber};
use crate::node::commit::CommitAction;
use crate::node::Node;
use crate::request::{CallKind, CallRequest};

impl Node {
    /// Accepts a call whose program this VM owns or may open.
    pub(super) fn accept(&mut self, mut request: CallRequest, subscriber: Subscriber) {
        if request.auto_numbered && request.has_program_id {
            request.key.number = self.next_free_number(&request.key.program);
        }
        if let Some(slot) = self.calls_by_key.get(&request.key).copied() {
            self.subscribe(slot, &request, subscriber);
            return;
        }
        let resolved = match self.resolve_workload(&request) {
            Ok(resolved) => resolved,
            Err(error) => {
                let call = Some(request.key);
                self.send_frame(&subscriber, ResponseFrame::Failed { call, error });
                return;
            }
        };
        let key = request.key.clone();
        let mut call = Call::new(request, subscriber, resolved.0, resolved.1, self.now_us);
        call.deadline_ms = self.deadline_ms(&call.request);
        let slot = self.calls.insert(call);
        self.calls_by_key.insert(key, slot);
        self.advance(slot);
    }

    /// Returns the next number that no call of the program uses.
    fn next_free_number(&self, program: &ProgramId) -> u32 {
        let key = self.programs.find(program);
        let next = key
            .and_then(|key| self.programs.get(key))
            .map_or(1, lagoon_program::Program::next_number);
        let taken = |number: &u32| {
            self.calls_by_key.contains_key(&CallKey {
                program: program.clone(),
                number: *number,
            })
        };
        (next..).find(|number| !taken(number)).unwrap_or(next)
    }

    /// Subscribes another caller to a call in flight and sends it the response so far; refuses
    /// a request with other content.
    fn subscribe(&mut self, slot: CallSlot, request: &CallRequest, subscriber: Subscriber) {
        let call = &mut self.calls[slot];
        if call.request.content_hash != request.content_hash {
            let key = request.key.clone();
            let detail = format!("call {} of {} was another request", key.number, key.program);
            let error = CallError::new(ErrorKind::CallConflict, detail);
            let call = Some(key);
            self.send_frame(&subscriber, ResponseFrame::Failed { call, error });
            return;
        }
        call.subscribe(subscriber.clone());
        self.resend_from(slot, &subscriber, 0);
    }

    /// Resolves the model or service of a request, and whether it may be retried.
    fn resolve_workload(
        &self,
        request: &CallRequest,
    ) -> Result<(Workload, RetrySafety), CallError> {
        let Some(sheet) = &self.config.sheet else {
            return Err(CallError::new(ErrorKind::NotReady, "no sheet is known yet"));
        };
        resolve_workload_in(sheet, request)
    }

    /// Returns the earlier of the program's deadline and the one that this request sets.
    ///
    /// `None` if neither sets one.
    fn deadline_ms(&self, request: &CallRequest) -> Option<u64> {
        let program = self
            .programs
            .find(&request.key.program)
            .and_then(|key| self.programs.get(key));
        let known = program.and_then(|program| program.deadline_ms);
        let given = request.window_ms.map(|window_ms| self.now_ms() + window_ms);
        match (known, given) {
            (Some(known), Some(given)) => Some(known.min(given)),
            (known, given) => known.or(given),
        }
    }

    /// Resolves the models and services of all calls again, since their keys
    /// are valid for one sheet only.
    pub(super) fn rebind_calls(&mut self, sheet: &lagoon_sheet::Sheet) {
        let slots: Vec<CallSlot> = self.calls.keys().collect();
        for slot in slots {
            match resolve_workload_in(sheet, &self.calls[slot].request) {
                Ok((workload, retry_safety)) => {
                    let call = &mut self.calls[slot];
                    call.workload = workload;
                    if !call.is_assigned() {
                        call.retry_safety = retry_safety;
                    }
                }
                Err(error) if !self.calls[slot].is_assigned() => self.fail_call(slot, error),
                Err(_) => {}
            }
        }
    }

    pub(super) fn set_phase(&mut self, slot: CallSlot, phase: Phase) {
        let now_us = self.now_us;
        let call = &mut self.calls[slot];
        call.phase = phase;
        call.phase_started_us = now_us;
    }

    /// Advances a call to the next stage that it can reach.
    pub(super) fn advance(&mut self, slot: CallSlot) {
        let Some(call) = self.calls.get(slot) else {
            return;
        };
        match call.phase {
            Phase::AwaitingTurn | Phase::Opening => self.advance_ordering(slot),
            Phase::Reserving => self.advance_reserve(slot),
            _ => {}
        }
    }

    /// Advances all calls of a family, after a commit.
    pub(super) fn advance_family(&mut self, program: &ProgramId) {
        let family = program.family();
        let slots: Vec<CallSlot> = self
            .calls
            .iter()
            .filter(|(_, call)| call.request.key.program.family() == family)
            .map(|(slot, _)| slot)
            .collect();
        for slot in slots {
            self.advance(slot);
        }
    }

    fn advance_ordering(&mut self, slot: CallSlot) {
        self.apply_continuation(slot);
        let request = &self.calls[slot].request;
        let key = request.key.clone();
        let Some(program_key) = self.programs.find(&key.program) else {
            if key.number == 1 {
                self.open_program_for(slot);
            }
            return;
        };
        if self.pending_openings.contains(&key.program) && key.program.issuer().is_none() {
            if self.calls[slot].phase != Phase::Opening {
                self.set_phase(slot, Phase::Opening);
            }
            return;
        }
        let Some(program) = self.programs.get(program_key) else {
            return;
        };
        if program.account != request.account {
            let error = CallError::new(
                ErrorKind::Unauthorized,
                "program belongs to another account",
            );
            self.fail_call(slot, error);
            return;
        }
        match program.decide_call(key.number, request.content_hash) {
            CallDecision::Run => self.start_call(slot, program_key),
            CallDecision::Attach | CallDecision::Wait => {}
            CallDecision::Replay(finished) => {
                let finished = finished.clone();
                self.replay_outcome(slot, &finished);
            }
            CallDecision::Reject(error) => self.fail_call(slot, error),
        }
    }

    fn open_program_for(&mut self, slot: CallSlot) {
        let request = &self.calls[slot].request;
        if let Some(error) = self.opening_error(request) {
            self.fail_call(slot, error);
            return;
        }
        let spec = ProgramSpec {
            program: request.key.program.clone(),
            account: request.account.clone(),
            market: request.market.clone(),
            limit: self.initial_limit(request),
        };
        match self.open(spec) {
            Ok(()) => self.advance_ordering(slot),
            Err(error) => self.fail_call(slot, error),
        }
    }

    /// Opens a program, and claims its family if a caller chose the identifier.
    pub(super) fn open(&mut self, spec: ProgramSpec) -> Result<(), CallError> {
        let program = spec.program.clone();
        let record = self.programs.open(spec)?;
        self.programs.apply(&record);
        self.record_activity(&program);
        self.pending_openings.insert(program.clone());
        let claims_family = program.parent().is_none() && program.issuer().is_none();
        let group = RecordGroup {
            records: vec![record],
            claim_family: claims_family.then(|| program.family().to_owned()),
            ..RecordGroup::default()
        };
        self.append_group(group, Some(CommitAction::Opened(program)));
        Ok(())
    }

    /// Records activity of a program, which postpones its expiry.
    pub(super) fn record_activity(&mut self, program: &ProgramId) {
        let now_ms = self.now_ms();
        let key = self.programs.find(program);
        if let Some(program) = key.and_then(|key| self.programs.get_mut(key)) {
            program.last_active_ms = now_ms;
        }
    }

    /// Returns the reason why a request may not open its program; `None` if it may.
    fn opening_error(&self, request: &CallRequest) -> Option<CallError> {
        let program = &request.key.program;
        if self.stopping.is_some() && program.parent().is_none() {
            return Some(CallError::new(
                ErrorKind::Stopping,
                "VM takes no new programs",
            ));
        }
        let issued_earlier =
            program.issuer().is_some() && !request.newly_issued && program.parent().is_none();
        if issued_earlier {
            let detail = format!("program {program} is not under way");
            return Some(CallError::new(ErrorKind::UnknownProgram, detail));
        }
        let family = program.family();
        let members = self.programs.family(family);
        if program.parent().is_some() && members.count() >= MAX_FAMILY_PROGRAMS {
            let detail = format!("family {family} has {MAX_FAMILY_PROGRAMS} programs");
            return Some(CallError::new(ErrorKind::LoopStopped, detail));
        }
        None
    }

    /// Returns the budget limit of a new program: the market's, with the caller's token limit
    /// if that is lower.
    fn initial_limit(&self, request: &CallRequest) -> ResourceAmounts {
        let mut limit = self.config.market_limit(&request.market);
        if let Some(tokens) = request.budget_tokens {
            limit.tokens = limit.tokens.min(tokens);
        }
        limit
    }

    fn start_call(&mut self, slot: CallSlot, program_key: ProgramKey) {
        let worst_case = self.worst_case_usage(&self.calls[slot]);
        let deadline_ms = self.calls[slot].deadline_ms;
        if let Err(error) = self.check_admission(slot) {
            self.fail_call(slot, error);
            return;
        }
        if let Err(error) = self.programs.admit(program_key, worst_case) {
            self.fail_call(slot, error);
            return;
        }
        let call = &mut self.calls[slot];
        call.worst_case = worst_case;
        let (number, content_hash) = (call.request.key.number, call.request.content_hash);
        let now_ms = self.now_ms();
        if let Some(program) = self.programs.get_mut(program_key) {
            program.set_running(number, content_hash);
            program.deadline_ms = deadline_ms;
            program.last_active_ms = now_ms;
        }
        self.set_phase(slot, Phase::Reserving);
        self.advance_reserve(slot);
    }

    /// Checks that the call's deadline has not passed, that a live target serves the call, and
    /// that the queue has room.
    fn check_admission(&self, slot: CallSlot) -> Result<(), CallError> {
        let call = &self.calls[slot];
        if call
            .deadline_ms
            .is_some_and(|deadline_ms| self.now_ms() >= deadline_ms)
        {
            return Err(CallError::new(
                ErrorKind::WindowClosed,
                "window of the program has passed",
            ));
        }
        let is_served = self
            .config
            .sheet
            .as_ref()
            .is_some_and(|sheet| self.balancer.has_target(sheet, call.workload));
        if !is_served {
            let detail = "no live target of this failure domain serves it";
            return Err(CallError::new(ErrorKind::NoTarget, detail));
        }
        if self.queue.len() >= self.settings.queue_limit {
            let detail = format!("{} calls wait already", self.queue.len());
            return Err(CallError::new(ErrorKind::Overloaded, detail));
        }
        Ok(())
    }

    /// Returns the maximum usage of a call; each byte of the body counts as a
    /// token, since no token is shorter than a byte.
    fn worst_case_usage(&self, call: &Call) -> ResourceAmounts {
        match &call.request.kind {
            CallKind::Chat {
                max_output_tokens, ..
            } => {
                let tokens = call.request.body.len() as u64 + max_output_tokens;
                self.token_usage(call.workload, tokens)
            }
            CallKind::Service { .. } => ResourceAmounts {
                tokens: 0,
                money_micros: self.config.price_micros(call.workload),
                turns: 1,
            },
        }
    }

    pub(super) fn token_usage(&self, workload: Workload, tokens: u64) -> ResourceAmounts {
        let price_micros = self.config.price_micros(workload);
        ResourceAmounts {
            tokens,
            money_micros: (tokens * price_micros).div_ceil(1_000),
            turns: 1,
        }
    }

    /// Queues a call if its family's durable reserve covers it; otherwise reserves what is
    /// missing, and the call waits unless its family is provisional.
    fn advance_reserve(&mut self, slot: CallSlot) {
        let program = self.calls[slot].request.key.program.clone();
        let Some(key) = self.programs.find(&program) else {
            return;
        };
        let root_key = self.programs.root(key);
        let root = match self.programs.get(root_key) {
            Some(root) => root.id.clone(),
            None => return,
        };
        match self.programs.reserve_coverage(key) {
            ReserveCoverage::Covered => self.enqueue(slot),
            ReserveCoverage::Pending if self.is_provisional(&root) => self.enqueue(slot),
            ReserveCoverage::Pending => {}
            ReserveCoverage::Insufficient(amounts) => {
                self.reserve(&root, amounts);
                if self.is_provisional(&root) {
                    self.enqueue(slot);
                }
            }
        }
    }

    fn reserve(&mut self, root: &ProgramId, amounts: ResourceAmounts) {
        let Some(root_key) = self.programs.find(root) else {
            return;
        };
        self.programs.add_pending_reserve(root_key, amounts);
        let record = Record::Reserved {
            root: root.clone(),
            amounts,
        };
        self.append_records(
            vec![record],
            Some(CommitAction::Reserved(root.clone(), amounts)),
        );
    }

    /// Whether only this incarnation knows a family.
    ///
    /// Until the `Opened` record of its root is durable, no successor can continue
    /// the family, so its spending needs no durable reservation.
    fn is_provisional(&self, root: &ProgramId) -> bool {
        self.pending_openings.contains(root) && root.issuer().as_ref() == Some(self.incarnation())
    }

    pub(super) fn is_provisional_family(&self, program: &ProgramId) -> bool {
        let root = program.family().parse::<ProgramId>();
        root.is_ok_and(|root| self.is_provisional(&root))
    }

    /// Fails all calls of a family that can't be opened.
    pub(super) fn fail_family(&mut self, program: &ProgramId, error: &CallError) {
        for slot in self.family_slots(program) {
            self.fail_call(slot, error.clone());
        }
    }

    /// Removes the calls of a family from this VM and routes them to the family's owner.
    pub(super) fn reroute_family(&mut self, program: &ProgramId, owner: &Incarnation) {
        self.ownership.cache_owner(program.family(), owner.clone());
        for slot in self.family_slots(program) {
            let Some(call) = self.calls.remove(slot) else {
                continue;
            };
            self.calls_by_key.remove(&call.request.key);
            for subscriber in call.subscribers {
                self.route_call(PendingCall {
                    request: call.request.clone(),
                    subscriber,
                    hops: 1,
                    owner_looked_up: true,
                });
            }
        }
    }

    fn family_slots(&self, program: &ProgramId) -> Vec<CallSlot> {
        let family = program.family();
        self.calls
            .iter()
            .filter(|(_, call)| call.request.key.program.family() == family)
            .map(|(slot, _)| slot)
            .collect()
    }
}

fn resolve_workload_in(
    sheet: &lagoon_sheet::Sheet,
    request: &CallRequest,
) -> Result<(Workload, RetrySafety), CallError> {
    let Some(market) = sheet.market_key(&request.market) else {
        let detail = format!("market {} is not in the sheet", request.market);
        return Err(CallError::new(ErrorKind::Unauthorized, detail));
    };
    match &request.kind {
        CallKind::Chat { model, .. } => match sheet.model(model, market) {
            Some(key) => Ok((Workload::Model(key), RetrySafety::Idempotent)),
            None => {
                let detail = format!("no model {model} answers market {}", request.market);
                Err(CallError::new(ErrorKind::UnknownModel, detail))
            }
        },
        CallKind::Service { service } => match sheet.service(service, market) {
            Some(key) => Ok((
                Workload::Service(key),
                sheet.services[key.index()].retry_safety,
            )),
            None => {
                let detail = format!("no service {service} answers market {}", request.market);
                Err(CallError::new(ErrorKind::UnknownService, detail))
            }
        },
    }
}

//! Limits that targets state, and permits for calls to targets that have one.
//!
//! One VM of the failure domain grants the permits of a target. Calls that wait for
//! one stay queued, and interrupted streams stay dispatched.

use lagoon_ids::{hash64, FastMap, TargetName, VmName};
use lagoon_limits::{
    grantors, Demand, Grantor, GrantorRank, LimitChange, LimitTable, LimitUpdate, PermitDecision,
    RunId, NO_GRANTOR_RETRY_MS, PERMIT_TIMEOUT_MS, PERMIT_TTL_MS,
};

use crate::message::PeerMessage;
use crate::node::call::{CallSlot, Phase};
use crate::node::Node;

/// Maximum time that an interrupted stream waits for a permit to be resumed.
const MAX_RESUME_WAIT_MS: u64 = 1_000;

/// Maximum number of limits in one message to another VM.
const LIMITS_PER_MESSAGE: usize = 100;

/// Request for a permit that has no reply yet.
#[derive(Clone, Debug)]
struct PermitWait {
    id: u64,
    target: TargetName,
    /// VMs that are asked if this one gives no permit and no refusal.
    next_grantors: Vec<VmName>,
    asked_ms: u64,
}

/// What the node knows of limits and permits.
#[derive(Debug, Default)]
pub(super) struct Limits {
    pub(super) table: LimitTable,
    grantor: Grantor,
    waits: FastMap<CallSlot, PermitWait>,
    /// Granted permits with their target and the time at which they expire.
    permits: FastMap<CallSlot, (TargetName, u64)>,
    /// Interrupted streams that wait for a permit: time and cause of the interruption.
    resumes: FastMap<CallSlot, (u64, String)>,
}

/// Whether a call may be sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Clearance {
    /// It may: the target has no limit, or a permit was granted.
    Cleared,
    /// Another VM was asked for a permit.
    Waiting,
    /// The target is at its limit.
    NoRoom,
}

/// The sheet tells no start times, so all runs of a target count as one.
pub(super) fn run_id(target: &TargetName) -> RunId {
    RunId(hash64(target.as_str().as_bytes()))
}

impl Node {
    /// Records what a response to a call's attempt states of its target's limit.
    pub(super) fn on_target_limit(&mut self, slot: CallSlot, per_s: Option<f64>) {
        let call = &self.calls[slot];
        let Some((target, _)) = call.target.clone() else {
            return;
        };
        let sent_ms = call.phase_started_us / 1_000;
        let now_ms = self.now_ms();
        let table = &mut self.limits.table;
        let change = table.record_response(run_id(&target), per_s, sent_ms, now_ms);
        if let Some(change) = change {
            log::info!(target = target.as_str(), change = change.to_string(), limit_per_s = per_s.unwrap_or(-1.0); "limit of a target");
            self.on_limit_change(change);
        }
        let news = self.limits.table.take_news(now_ms);
        self.send_limits(news);
    }

    /// Applies what other VMs know of limits.
    pub(super) fn on_limits(&mut self, updates: &[LimitUpdate]) {
        let now_ms = self.now_ms();
        for update in updates {
            let Some(change) = self.limits.table.apply_update(update, now_ms) else {
                continue;
            };
            log::info!(run = format!("{:016x}", update.run.0), change = change.to_string(), age_ms = update.received_age_ms; "limit of a target, from another VM");
            self.on_limit_change(change);
        }
    }

    /// Targets with limits aren't polled, as polls would count against them.
    fn on_limit_change(&mut self, change: LimitChange) {
        if !matches!(change, LimitChange::Changed(_)) {
            self.assign_load_polls();
        }
    }

    /// Sends all known limits to the other VMs, as messages may get lost.
    pub(super) fn repeat_limits(&mut self) {
        let limits = &self.limits.table;
        let updates = limits.to_repeat(LIMITS_PER_MESSAGE, self.now_ms());
        self.send_limits(updates);
    }

    fn send_limits(&mut self, updates: Vec<LimitUpdate>) {
        if updates.is_empty() {
            return;
        }
        for address in self.heartbeat_addresses() {
            self.send(address, PeerMessage::Limits(updates.clone()));
        }
    }

    pub(super) fn is_limited(&self, target: &TargetName) -> bool {
        self.limits.table.limit(run_id(target)).is_some()
    }

    /// Target for which the call holds a permit.
    pub(super) fn permitted_target(&self, slot: CallSlot) -> Option<&TargetName> {
        let (target, expires_ms) = self.limits.permits.get(&slot)?;
        (self.now_ms() < *expires_ms).then_some(target)
    }

    /// Whether the permit with which the call was assigned to its target has expired
    /// before it was sent.
    pub(super) fn is_permit_expired(&self, slot: CallSlot) -> bool {
        let target = self.calls[slot].target.as_ref().map(|(target, _)| target);
        target.is_some_and(|target| self.is_limited(target))
            && self.permitted_target(slot) != target
    }

    /// Uses up the call's permit.
    pub(super) fn use_permit(&mut self, slot: CallSlot) {
        self.limits.permits.remove(&slot);
        self.limits.waits.remove(&slot);
    }

    /// Whether a call may be sent to a target; requests a permit if it needs one.
    pub(super) fn clear_for(&mut self, slot: CallSlot, target: &TargetName) -> Clearance {
        if !self.is_limited(target) || self.permitted_target(slot) == Some(target) {
            return Clearance::Cleared;
        }
        if self.limits.waits.contains_key(&slot) {
            return Clearance::Waiting;
        }
        let now_ms = self.now_ms();
        if !self.balancer.has_room(target, now_ms) {
            return Clearance::NoRoom;
        }
        let wait = PermitWait {
            id: self.next_id(),
            target: target.clone(),
            next_grantors: self.permit_grantors(target),
            asked_ms: now_ms,
        };
        self.request_permit(slot, wait)
    }

    /// Asks the next VM for a permit.
    fn request_permit(&mut self, slot: CallSlot, mut wait: PermitWait) -> Clearance {
        let now_ms = self.now_ms();
        let run = run_id(&wait.target);
        while !wait.next_grantors.is_empty() {
            let vm = wait.next_grantors.remove(0);
            if vm == self.settings.vm {
                let decision = self.grant_permit(&wait.target, self.demand(slot));
                if decision == PermitDecision::NotGrantor {
                    continue;
                }
                return self.apply_permit_decision(slot, &wait.target, decision);
            }
            let Some(address) = self.members.get(&vm).map(|member| member.peer_address) else {
                continue;
            };
            wait.asked_ms = now_ms;
            let message = PeerMessage::RequestPermit {
                id: wait.id,
                sender_address: self.settings.peer_address,
                target: wait.target.clone(),
                demand: self.demand(slot),
                known: self.limits.table.update(run, now_ms),
            };
            self.limits.waits.insert(slot, wait);
            self.send(address, message);
            return Clearance::Waiting;
        }
        let retry_ms = now_ms + NO_GRANTOR_RETRY_MS;
        self.balancer.on_no_room(&wait.target, retry_ms);
        Clearance::NoRoom
    }

    fn apply_permit_decision(
        &mut self,
        slot: CallSlot,
        target: &TargetName,
        decision: PermitDecision,
    ) -> Clearance {
        let now_ms = self.now_ms();
        match decision {
            PermitDecision::Granted | PermitDecision::NotLimited => {
                let permit = (target.clone(), now_ms + PERMIT_TTL_MS);
                self.limits.permits.insert(slot, permit);
                Clearance::Cleared
            }
            PermitDecision::Refused { retry_ms } => {
                let until_ms = now_ms + u64::from(retry_ms);
                self.balancer.on_no_room(target, until_ms);
                Clearance::NoRoom
            }
            PermitDecision::NotGrantor => Clearance::NoRoom,
        }
    }

    /// VMs that grant permits for a target. This one is none right after its start,
    /// when it doesn't know the others.
    fn permit_grantors(&self, target: &TargetName) -> Vec<VmName> {
        let domain = self.settings.domain.as_str();
        let is_settled = self.now_us >= self.started_us + self.settings.suspect_ms * 1_000;
        let live = self.members.live().into_iter();
        let vms = live.filter(|vm| is_settled || **vm != self.settings.vm);
        let names = grantors(run_id(target), domain, vms.map(|vm| (vm.as_str(), domain)));
        names.iter().filter_map(|name| name.parse().ok()).collect()
    }

    /// A program's first call is a new program's, unless another one spawned it.
    fn demand(&self, slot: CallSlot) -> Demand {
        let call = &self.calls[slot].request.key;
        let program = self.programs.find(&call.program);
        let is_root = program.is_none_or(|program| self.programs.root(program) == program);
        if call.number == 1 && is_root {
            Demand::NewProgram { priority: 0 }
        } else {
            Demand::Running
        }
    }

    /// Decides as the grantor of a target, if this VM is one. In a part of the failure
    /// domain that is no quorum it grants as a standby does, as the rest may have a
    /// primary too.
    fn grant_permit(&mut self, target: &TargetName, demand: Demand) -> PermitDecision {
        let grantors = self.permit_grantors(target);
        let rank = match grantors.iter().position(|vm| *vm == self.settings.vm) {
            Some(0) if self.members.has_quorum() => GrantorRank::Primary,
            Some(_) => GrantorRank::Standby,
            None => return PermitDecision::NotGrantor,
        };
        let run = run_id(target);
        let Some(limit_per_s) = self.limits.table.limit(run) else {
            return PermitDecision::NotLimited;
        };
        let now_ms = self.now_ms();
        self.limits
            .grantor
            .decide(run, limit_per_s, rank, demand, now_ms)
    }

    /// Handles another VM's request for a permit.
    pub(super) fn on_permit_request(
        &mut self,
        id: u64,
        sender_address: std::net::SocketAddr,
        target: &TargetName,
        demand: Demand,
        known: Option<LimitUpdate>,
    ) {
        self.on_limits(known.as_slice());
        let decision = self.grant_permit(target, demand);
        let known = self.limits.table.update(run_id(target), self.now_ms());
        let message = PeerMessage::PermitReply {
            id,
            decision,
            known,
        };
        self.send(sender_address, message);
    }

    /// Handles the reply to a request for a permit. One that comes late or twice is
    /// ignored.
    pub(super) fn on_permit_reply(
        &mut self,
        id: u64,
        decision: PermitDecision,
        known: Option<LimitUpdate>,
    ) {
        self.on_limits(known.as_slice());
        let mut waits = self.limits.waits.iter();
        let slot = waits.find(|(_, wait)| wait.id == id).map(|(slot, _)| *slot);
        let Some((slot, wait)) =
            slot.and_then(|slot| Some((slot, self.limits.waits.remove(&slot)?)))
        else {
            return;
        };
        if !self.calls.contains_key(slot) {
            return;
        }
        if decision == PermitDecision::NotGrantor {
            self.request_permit(slot, wait);
        } else {
            self.apply_permit_decision(slot, &wait.target, decision);
        }
        self.resume_if_cleared(slot);
        self.drain_queue();
    }

    /// Lets an interrupted stream wait for a permit.
    pub(super) fn await_resume(&mut self, slot: CallSlot, detail: &str) {
        let interrupted = (self.now_ms(), detail.to_owned());
        self.limits.resumes.insert(slot, interrupted);
    }

    fn resume_if_cleared(&mut self, slot: CallSlot) {
        if !self.limits.resumes.contains_key(&slot) {
            return;
        }
        let target = self.calls.get(slot).and_then(|call| call.target.clone());
        let Some((target, _)) = target else {
            self.limits.resumes.remove(&slot);
            return;
        };
        if self.clear_for(slot, &target) == Clearance::Cleared {
            self.limits.resumes.remove(&slot);
            self.request_resume(slot);
        }
    }

    /// Asks the next VM where one gave no reply, resumes streams that may be, and gives
    /// up those that have waited too long.
    pub(super) fn check_permits(&mut self) {
        let now_ms = self.now_ms();
        let calls = &self.calls;
        let limits = &mut self.limits;
        let is_waiting = |slot: &CallSlot| {
            let call = calls.get(*slot);
            call.is_some_and(|call| call.phase == Phase::Queued)
        };
        let resumes = &limits.resumes;
        limits
            .waits
            .retain(|slot, _| is_waiting(slot) || resumes.contains_key(slot));
        limits
            .permits
            .retain(|slot, (_, expires_ms)| calls.contains_key(*slot) && now_ms < *expires_ms);
        limits.grantor.remove_idle(now_ms);
        let is_due = |wait: &PermitWait| now_ms >= wait.asked_ms + PERMIT_TIMEOUT_MS;
        let due = limits.waits.iter().filter(|(_, wait)| is_due(wait));
        let due: Vec<CallSlot> = due.map(|(slot, _)| *slot).collect();
        for slot in due {
            if let Some(wait) = self.limits.waits.remove(&slot) {
                self.request_permit(slot, wait);
            }
        }
        let resumes: Vec<CallSlot> = self.limits.resumes.keys().copied().collect();
        for slot in resumes {
            self.resume_if_cleared(slot);
            let resumes = &self.limits.resumes;
            let (since_ms, detail) = match resumes.get(&slot) {
                Some((since_ms, detail)) => (*since_ms, detail.clone()),
                None => continue,
            };
            if now_ms >= since_ms + MAX_RESUME_WAIT_MS {
                self.limits.resumes.remove(&slot);
                self.limits.waits.remove(&slot);
                self.end_interrupted(slot, &detail);
            }
        }
    }
}

//! Attempts at targets that this VM can't reach, which another VM of the failure domain
//! carries.
//!
//! The owner of the call (origin) decides everything as if it had sent the attempt
//! itself. The carrier dispatches it once and sends back what the target says.

mod carrier;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use lagoon_ids::{hash64, FastMap, TargetName, VmName};
use lagoon_limits::RunId;
use lagoon_paths::{
    CarrierSettings, Carriers, Decline, Loss, PathChange, PathSettings, Paths, Vm, Way,
};

use crate::effect::{Dispatch, Effect, PathProbe, StreamResume};
use crate::event::{AttemptFailure, AttemptId, TargetEvent};
use crate::message::{CarriedRequest, CarriedWork, CarryEvent, PeerMessage};
use crate::node::limits::run_id;
use crate::node::Node;

/// Maximum number of VMs that are asked to carry one attempt.
const MAX_CARRIERS: usize = 3;

/// Time without a reply of the carrier after which a request is sent to it again; it
/// recognizes the repetition.
const REPEAT_INTERVAL_MS: u64 = 300;

/// Time without an event after which the carrier is asked whether more will come.
const POLL_INTERVAL_MS: u64 = 1_000;

/// Times that a request is sent to one carrier; then its outcome is unknown.
const MAX_REQUESTS: u32 = 3;

/// Time from accepting an attempt within which a carrier may start it. Its origin gives
/// it up only later, so that it never starts after a later call of its program.
const START_WINDOW_MS: u64 = 400;

/// Time for which an event of the target may overtake an earlier one.
const MAX_GAP_MS: u64 = 300;

/// Time for which a carrier recognizes a request that it has had.
const REQUEST_MEMORY_MS: u64 = 60_000;

/// Attempt that another VM carries.
#[derive(Clone, Debug)]
struct Handed {
    request: CarriedRequest,
    carrier: VmName,
    carrier_address: SocketAddr,
    asked: Vec<CompactString>,
    /// Time of the last request, or of the last event.
    sent_ms: u64,
    /// Requests without a reply.
    requests: u32,
    /// Time at which the carrier was told to start; the attempt may have run since.
    started_ms: Option<u64>,
    next_sequence: u64,
    /// Events that came before their turn.
    early: BTreeMap<u64, CarryEvent>,
    /// Time since which events are missing.
    gap_since_ms: Option<u64>,
}

/// Attempt of another VM that this one carries.
#[derive(Clone, Debug)]
struct Carried {
    id: u64,
    origin: VmName,
    origin_address: SocketAddr,
    target: TargetName,
    address: SocketAddr,
    next_sequence: u64,
}

/// What the node knows of its paths to targets, and attempts that one VM carries for
/// another.
#[derive(Debug)]
pub(super) struct Carrying {
    paths: Paths<RunId>,
    carriers: Carriers,
    handed: FastMap<u64, Handed>,
    carried: FastMap<AttemptId, Carried>,
    /// Accepted attempts that aren't started yet, with the time at which they were.
    offered: FastMap<(VmName, u64), (CarriedRequest, u64)>,
    /// Requests that this VM has had, with the time at which they are forgotten.
    known: FastMap<(VmName, u64), u64>,
    random: u64,
}

impl Default for Carrying {
    fn default() -> Self {
        Carrying {
            paths: Paths::new(PathSettings::default()),
            carriers: Carriers::new(CarrierSettings::default()),
            handed: FastMap::default(),
            carried: FastMap::default(),
            offered: FastMap::default(),
            known: FastMap::default(),
            random: 0,
        }
    }
}

impl Carrying {
    /// Whether this VM carries no attempt.
    pub(super) fn is_idle(&self) -> bool {
        self.carried.is_empty() && self.offered.is_empty()
    }

    /// Attempts that other VMs carry for this one.
    pub(super) fn handed_count(&self) -> usize {
        self.handed.len()
    }

    /// Attempts that this VM carries for others.
    pub(super) fn carried_count(&self) -> usize {
        self.carried.len()
    }

    /// Targets whose path is lost.
    pub(super) fn lost_path_count(&self) -> usize {
        self.paths.lost_targets().count()
    }

    fn handed_id(&self, attempt: AttemptId) -> Option<u64> {
        let mut handed = self.handed.iter();
        let found = handed.find(|(_, handed)| handed.request.attempt == attempt);
        found.map(|(id, _)| *id)
    }

    fn next_random(&mut self, salt: u64) -> u64 {
        self.random = hash64(&(self.random ^ salt).to_le_bytes());
        self.random
    }
}

/// Work of a carried attempt as this VM sends it to the target.
fn effect_of(
    work: CarriedWork,
    attempt: AttemptId,
    target: TargetName,
    address: SocketAddr,
) -> Effect {
    match work {
        CarriedWork::Dispatch {
            call,
            path,
            stream,
            content_type,
            body,
            trace,
        } => Effect::Dispatch(Box::new(Dispatch {
            attempt,
            call,
            target,
            address,
            path,
            stream,
            content_type,
            body,
            trace,
        })),
        CarriedWork::Resume {
            resume_id,
            last_event_id,
        } => Effect::Resume(Box::new(StreamResume {
            attempt,
            target,
            address,
            resume_id,
            last_event_id,
        })),
    }
}

impl Node {
    /// Sends an attempt to its target, or hands it to another VM if the path is lost.
    /// Without another VM it is sent all the same.
    pub(super) fn send_attempt(
        &mut self,
        attempt: AttemptId,
        target: &TargetName,
        address: SocketAddr,
        work: CarriedWork,
    ) {
        let run = run_id(target);
        let now_ms = self.now_ms();
        if self.carrying.paths.way(run) != Way::Direct {
            if self.carrying.paths.take_probe(run, now_ms) {
                self.probe_path(target.clone(), address);
            }
            if self.hand_over(attempt, target, work.clone(), Vec::new()) {
                return;
            }
        }
        self.carrying.paths.attempt_started(run, 0, now_ms);
        self.emit(effect_of(work, attempt, target.clone(), address));
    }

    /// Hands an attempt that could not be connected to another VM; `false` if none
    /// carries it.
    pub(super) fn carry_instead(
        &mut self,
        attempt: AttemptId,
        target: &TargetName,
        work: CarriedWork,
    ) -> bool {
        let now_ms = self.now_ms();
        let run = run_id(target);
        self.carrying.paths.attempt_ended(run);
        let changes = self
            .carrying
            .paths
            .record_failed(run, Loss::TimedOut, now_ms);
        log_changes(changes);
        self.hand_over(attempt, target, work, Vec::new())
    }

    fn hand_over(
        &mut self,
        attempt: AttemptId,
        target: &TargetName,
        work: CarriedWork,
        mut asked: Vec<CompactString>,
    ) -> bool {
        if asked.len() >= MAX_CARRIERS {
            return false;
        }
        let now_ms = self.now_ms();
        let random = self
            .carrying
            .next_random(hash64(self.settings.vm.as_str().as_bytes()));
        let domain = self.settings.domain.as_str();
        let own = &self.settings.vm;
        let live = self.members.live().into_iter().filter(|vm| *vm != own);
        let vms = live.map(|vm| Vm {
            name: vm.as_str(),
            domain,
        });
        let carriers = &self.carrying.carriers;
        let chosen = carriers.choose(vms, &asked, domain, domain, random, now_ms);
        let chosen = chosen.and_then(|vm| vm.name.parse::<VmName>().ok());
        let member = chosen.and_then(|vm| Some((vm.clone(), self.members.get(&vm)?.clone())));
        let Some((carrier, member)) = member else {
            return false;
        };
        asked.push(carrier.as_str().into());
        self.carrying.carriers.started(carrier.as_str());
        let request = CarriedRequest {
            id: self.next_id(),
            attempt,
            origin: self.settings.vm.clone(),
            origin_address: self.settings.peer_address,
            carrier: member.incarnation.clone(),
            target: target.clone(),
            work,
        };
        log::info!(
            target = target.as_str(),
            attempt = attempt.to_string(),
            carrier = carrier.as_str(),
            asked = asked.len();
            "attempt handed to another VM"
        );
        let handed = Handed {
            request: request.clone(),
            carrier,
            carrier_address: member.peer_address,
            asked,
            sent_ms: now_ms,
            requests: 1,
            started_ms: None,
            next_sequence: 0,
            early: BTreeMap::new(),
            gap_since_ms: None,
        };
        self.carrying.handed.insert(request.id, handed);
        self.send(member.peer_address, PeerMessage::Carry(Box::new(request)));
        true
    }

    /// Records that a target gave a sign of life to this VM, unless its connection
    /// failed.
    pub(super) fn record_heard(&mut self, target: &TargetName, event: &TargetEvent) {
        let failure = match event {
            TargetEvent::Failed { failure, .. } => Some(*failure),
            _ => None,
        };
        if matches!(
            failure,
            None | Some(AttemptFailure::NotRun | AttemptFailure::Rejected)
        ) {
            let now_ms = self.now_ms();
            log_changes(self.carrying.paths.record_connected(run_id(target), now_ms));
        }
    }

    /// Handles what a carrier says of an attempt. Events are applied in their order.
    pub(super) fn on_carry_event(&mut self, id: u64, sequence: u64, event: CarryEvent) {
        let now_ms = self.now_ms();
        let Some(handed) = self.carrying.handed.get_mut(&id) else {
            return;
        };
        handed.sent_ms = now_ms;
        handed.requests = 0;
        if event == CarryEvent::Accepted {
            // It may have been told before, and the message lost.
            handed.started_ms.get_or_insert(now_ms);
            let to = handed.carrier_address;
            let origin = self.settings.vm.clone();
            self.send(to, PeerMessage::StartCarry { id, origin });
        }
        let Some(handed) = self.carrying.handed.get_mut(&id) else {
            return;
        };
        if event == CarryEvent::Ended {
            handed.gap_since_ms.get_or_insert(now_ms);
            return;
        }
        if sequence < handed.next_sequence {
            return;
        }
        handed.early.insert(sequence, event);
        handed.gap_since_ms.get_or_insert(now_ms);
        loop {
            let Some(handed) = self.carrying.handed.get_mut(&id) else {
                return;
            };
            let Some(event) = handed.early.remove(&handed.next_sequence) else {
                return;
            };
            handed.next_sequence += 1;
            handed.gap_since_ms = (!handed.early.is_empty()).then_some(now_ms);
            self.apply_carry_event(id, event);
        }
    }

    fn apply_carry_event(&mut self, id: u64, event: CarryEvent) {
        let now_ms = self.now_ms();
        let Some(handed) = self.carrying.handed.get(&id) else {
            return;
        };
        let attempt = handed.request.attempt;
        let run = run_id(&handed.request.target);
        match event {
            CarryEvent::Accepted | CarryEvent::Ended => {}
            CarryEvent::Target(event) => {
                log_changes(self.carrying.paths.record_reached_elsewhere(run, now_ms));
                if CarryEvent::Target(event.clone()).is_last() {
                    self.end_handed(id);
                }
                self.on_attempt_event(attempt, event);
            }
            CarryEvent::Declined(decline) => self.on_declined(id, decline),
            CarryEvent::TargetDown => {
                self.end_handed(id);
                log_changes(self.carrying.paths.record_target_down(run, now_ms));
                self.fail_attempt(attempt, AttemptFailure::NotConnected, "target is down");
            }
        }
    }

    fn on_declined(&mut self, id: u64, decline: Decline) {
        let Some(handed) = self.end_handed(id) else {
            return;
        };
        let now_ms = self.now_ms();
        let vm = Vm {
            name: handed.carrier.as_str(),
            domain: self.settings.domain.as_str(),
        };
        self.carrying.carriers.record_declined(vm, decline, now_ms);
        let CarriedRequest {
            attempt,
            target,
            work,
            ..
        } = handed.request;
        let is_wanted = self.attempts.contains_key(&attempt);
        if is_wanted && !self.hand_over(attempt, &target, work, handed.asked) {
            let detail = format!("no path, and no VM carries the attempt: {decline}");
            self.fail_attempt(attempt, AttemptFailure::NotConnected, &detail);
        }
    }

    fn fail_attempt(&mut self, attempt: AttemptId, failure: AttemptFailure, detail: &str) {
        let event = TargetEvent::Failed {
            failure,
            detail: detail.to_owned(),
        };
        self.on_attempt_event(attempt, event);
    }

    fn end_handed(&mut self, id: u64) -> Option<Handed> {
        let handed = self.carrying.handed.remove(&id)?;
        self.carrying.carriers.ended(handed.carrier.as_str());
        Some(handed)
    }

    /// Whether another VM carries this attempt.
    pub(super) fn is_handed(&self, attempt: AttemptId) -> bool {
        self.carrying.handed_id(attempt).is_some()
    }

    /// Has the carrier of an attempt end it; does nothing if none carries it.
    pub(super) fn cancel_handed(&mut self, attempt: AttemptId) {
        let id = self.carrying.handed_id(attempt);
        let Some((id, handed)) = id.and_then(|id| Some((id, self.end_handed(id)?))) else {
            return;
        };
        let message = PeerMessage::CancelCarry {
            id,
            origin: self.settings.vm.clone(),
        };
        self.send(handed.carrier_address, message);
    }

    fn probe_path(&mut self, target: TargetName, address: SocketAddr) {
        self.emit(Effect::ProbePath(PathProbe { target, address }));
    }

    /// Handles the result of [`Effect::ProbePath`].
    pub(super) fn on_path_probed(&mut self, target: &TargetName, is_connected: bool) {
        let now_ms = self.now_ms();
        let paths = &mut self.carrying.paths;
        let run = run_id(target);
        log_changes(match is_connected {
            true => paths.record_connected(run, now_ms),
            false => paths.record_failed(run, Loss::TimedOut, now_ms),
        });
    }

    /// Looks for a path that works again, repeats requests that got no reply, and gives
    /// up attempts whose carrier is dead or whose events are missing.
    pub(super) fn check_carried(&mut self) {
        let now_ms = self.now_ms();
        self.probe_lost_path();
        let mut lost = Vec::new();
        let mut repeated = Vec::new();
        for (id, handed) in &mut self.carrying.handed {
            let member = self.members.get(&handed.carrier);
            let is_same = |member: &lagoon_membership::Member| {
                !member.dead && member.incarnation == handed.request.carrier
            };
            let is_alive = member.is_some_and(is_same);
            let has_gap = handed
                .gap_since_ms
                .is_some_and(|since_ms| now_ms >= since_ms + MAX_GAP_MS);
            let interval_ms = match handed.next_sequence > 0 {
                true => POLL_INTERVAL_MS,
                false => REPEAT_INTERVAL_MS,
            };
            let is_silent = now_ms >= handed.sent_ms + interval_ms;
            let may_start = handed
                .started_ms
                .is_some_and(|started_ms| now_ms < started_ms + START_WINDOW_MS);
            let is_lost = !is_alive || has_gap || (is_silent && handed.requests >= MAX_REQUESTS);
            if is_lost && !may_start {
                lost.push(*id);
            } else if is_silent {
                handed.requests += 1;
                handed.sent_ms = now_ms;
                repeated.push((handed.carrier_address, handed.request.clone()));
            }
        }
        for (address, request) in repeated {
            self.send(address, PeerMessage::Carry(Box::new(request)));
        }
        for id in lost {
            let Some(handed) = self.carrying.handed.get(&id) else {
                continue;
            };
            let attempt = handed.request.attempt;
            let failure = match handed.started_ms {
                Some(_) => AttemptFailure::Interrupted,
                None => AttemptFailure::NotConnected,
            };
            self.cancel_handed(attempt);
            self.fail_attempt(attempt, failure, "carrier was lost");
        }
        let members = &self.members;
        let carried = self.carrying.carried.iter();
        let has_dead_origin = |carried: &Carried| {
            let origin = members.get(&carried.origin);
            origin.is_some_and(|member| member.dead)
        };
        let orphans = carried.filter(|(_, carried)| has_dead_origin(carried));
        let orphans: Vec<AttemptId> = orphans.map(|(attempt, _)| *attempt).collect();
        orphans
            .into_iter()
            .for_each(|attempt| self.cancel_carried(attempt));
        self.carrying
            .offered
            .retain(|_, (_, accepted_ms)| now_ms < *accepted_ms + 2 * START_WINDOW_MS);
        self.carrying
            .known
            .retain(|_, forgotten_ms| now_ms < *forgotten_ms);
        self.carrying.carriers.remove_expired(now_ms);
    }

    fn probe_lost_path(&mut self) {
        let now_ms = self.now_ms();
        let random = self.carrying.next_random(now_ms);
        let Some(run) = self.carrying.paths.take_vm_probe(random, now_ms) else {
            return;
        };
        let targets = self.config.sheet.iter().flat_map(|sheet| &sheet.targets);
        let mut targets = targets.filter(|target| run_id(&target.name) == run);
        let found = targets
            .next()
            .map(|target| (target.name.clone(), target.address));
        if let Some((target, address)) = found {
            self.probe_path(target, address);
        }
    }

    /// Forgets the paths to targets that the sheet no longer lists.
    pub(super) fn retain_paths(&mut self) {
        let now_ms = self.now_ms();
        let sheet = self.config.sheet.as_ref();
        let runs: Vec<RunId> = sheet
            .iter()
            .flat_map(|sheet| &sheet.targets)
            .map(|target| run_id(&target.name))
            .collect();
        let change = self
            .carrying
            .paths
            .retain(|run| runs.contains(&run), now_ms);
        log_changes(change);
    }
}

fn log_changes<I>(changes: I)
where
    I: IntoIterator<Item = PathChange<RunId>>,
{
    for change in changes {
        log::info!(change:? = change; "path to a target changed");
    }
}

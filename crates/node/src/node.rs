//! Node state and event dispatch.

mod admission;
mod answer;
mod arrival;
mod call;
mod carry;
mod commit;
mod config;
mod confirm;
mod continuation;
mod dispatch;
mod expiry;
mod forward;
mod limits;
mod operators;
mod ownership;
mod replay;
mod stop;
mod store;
mod subscribers;
mod takeover;
mod termination;
mod timeouts;

use std::net::SocketAddr;

use lagoon_ids::{
    CallKey, DomainName, FastMap, FastSet, Incarnation, NameError, ProgramId, TargetName, VmName,
};
use lagoon_journal::{IncarnationRow, IncarnationState, Journal, WaiterId};
use lagoon_membership::{Heartbeat, LoadReport, Membership, MembershipChange, MembershipSettings};
use lagoon_policy::{Balancer, BalancerSettings, WaitQueue};
use lagoon_program::Programs;
use slotmap::SlotMap;

use crate::constants::{MAX_COMMIT_INTERVAL_MS, TABLE_WRITES_PER_S};
use crate::effect::Effect;
use crate::event::{AttemptId, CallRef, Event, StoreRequestId};
use crate::message::PeerMessage;

use call::{Call, CallSlot};
use carry::Carrying;
use commit::CommitAction;
use config::Config;
use confirm::SealCheck;
use forward::ForwardState;
use limits::Limits;
use ownership::Ownership;
use stop::PlannedStop;
use store::StorePurpose;
use takeover::Takeover;

/// Settings of a [`Node`], fixed for the lifetime of the daemon.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of this VM.
    pub vm: VmName,
    /// Failure domain of this VM.
    pub domain: DomainName,
    /// Address at which this VM receives messages of other VMs.
    pub peer_address: SocketAddr,
    /// Start time of the daemon, in milliseconds since the Unix epoch. Part of the incarnation's
    /// identifier, so it must increase with each start of the VM.
    pub started_ms: u64,
    /// Addresses that receive heartbeats while no live member is known.
    pub seed_addresses: Vec<SocketAddr>,
    /// Interval between heartbeats.
    pub heartbeat_ms: u64,
    /// Time without a heartbeat after which a VM is declared dead.
    pub suspect_ms: u64,
    /// Interval between reads of the active sheet's version.
    pub sheet_poll_ms: u64,
    /// Maximum time for which a planned stop waits for calls in flight; then the daemon exits.
    pub stop_wait_ms: u64,
    /// Maximum time for which a call waits for a missing earlier call; then it is refused.
    pub gap_wait_ms: u64,
    /// Maximum number of calls on the VM that wait for a target; further calls are refused.
    pub queue_limit: usize,
    /// Time without activity after which a family of programs is ended.
    pub idle_limit_ms: u64,
    /// Maximum time for which a call waits for a journal commit. Then it fails, or, if its
    /// response is complete, ends as not durable.
    pub commit_wait_ms: u64,
    /// Ejection and affinity settings of target selection.
    pub balancer: BalancerSettings,
    /// Random bytes that become the shared signing secret if the store holds none.
    pub secret_candidate: [u8; 32],
}

impl NodeSettings {
    /// Default settings for a VM, without seed addresses. The start time and the secret candidate
    /// are 0 and have to be set.
    pub fn with_defaults(vm: VmName, domain: DomainName, peer_address: SocketAddr) -> NodeSettings {
        NodeSettings {
            vm,
            domain,
            peer_address,
            started_ms: 0,
            seed_addresses: Vec::new(),
            heartbeat_ms: 500,
            suspect_ms: 2_500,
            sheet_poll_ms: 3_000,
            stop_wait_ms: 600_000,
            gap_wait_ms: 2_000,
            queue_limit: 2_000,
            idle_limit_ms: 900_000,
            commit_wait_ms: 1_000,
            balancer: BalancerSettings::default(),
            secret_candidate: [0; 32],
        }
    }
}

/// State machine of one entry VM.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    now_us: u64,
    started_us: u64,
    effects: Vec<Effect>,
    last_id: u64,
    members: Membership,
    balancer: Balancer,
    loads: FastMap<TargetName, LoadReport>,
    limits: Limits,
    carrying: Carrying,
    journal: Journal,
    commit_actions: FastMap<WaiterId, CommitAction>,
    config: Config,
    store_requests: FastMap<StoreRequestId, StorePurpose>,
    store_unavailable: bool,
    programs: Programs,
    /// Programs opened by this VM whose `Opened` record is not durable yet.
    pending_openings: FastSet<ProgramId>,
    /// Finished calls whose outcome is not durable yet.
    nondurable_outcomes: FastSet<CallKey>,
    calls: SlotMap<CallSlot, Call>,
    calls_by_key: FastMap<CallKey, CallSlot>,
    attempts: FastMap<AttemptId, CallSlot>,
    queue: WaitQueue<CallSlot>,
    forwards: FastMap<CallRef, ForwardState>,
    ownership: Ownership,
    takeovers: FastMap<Incarnation, Takeover>,
    /// Key that signs continuation tokens; `None` until it is read from the store.
    secret: Option<Vec<u8>>,
    stopping: Option<PlannedStop>,
    last_takeover_ms: Option<u64>,
    seal_check: SealCheck,
    ready: bool,
    heartbeat_due_ms: u64,
    discovery_due_ms: u64,
    expiry_due_ms: u64,
}

impl Node {
    /// Creates a node without members, sheet or programs.
    ///
    /// # Errors
    ///
    /// Fails if the names of the failure domain and the VM are too long to form an incarnation.
    pub fn new(settings: NodeSettings) -> Result<Node, NameError> {
        let incarnation = Incarnation::new(&settings.domain, &settings.vm, settings.started_ms)?;
        let row = IncarnationRow {
            incarnation: incarnation.clone(),
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            started_ms: settings.started_ms,
            peer_address: settings.peer_address,
            state: IncarnationState::Open,
        };
        let members = Membership::new(MembershipSettings {
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            incarnation,
            suspect_ms: settings.suspect_ms,
        });
        Ok(Node {
            balancer: Balancer::new(settings.domain.clone(), settings.balancer),
            settings,
            now_us: 0,
            started_us: 0,
            effects: Vec::new(),
            last_id: 0,
            members,
            loads: FastMap::default(),
            limits: Limits::default(),
            carrying: Carrying::default(),
            journal: Journal::new(row),
            commit_actions: FastMap::default(),
            config: Config::default(),
            store_requests: FastMap::default(),
            store_unavailable: false,
            programs: Programs::default(),
            pending_openings: FastSet::default(),
            nondurable_outcomes: FastSet::default(),
            calls: SlotMap::default(),
            calls_by_key: FastMap::default(),
            attempts: FastMap::default(),
            queue: WaitQueue::default(),
            forwards: FastMap::default(),
            ownership: Ownership::default(),
            takeovers: FastMap::default(),
            secret: None,
            stopping: None,
            last_takeover_ms: None,
            seal_check: SealCheck::default(),
            ready: false,
            heartbeat_due_ms: 0,
            discovery_due_ms: 0,
            expiry_due_ms: 0,
        })
    }

    /// Incarnation under which this node owns programs: this start of the daemon on this VM.
    pub fn incarnation(&self) -> &Incarnation {
        self.journal.incarnation()
    }

    /// Whether the node accepts new calls.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether calls, journal writes or a planned stop are in progress.
    pub fn is_busy(&self) -> bool {
        !self.calls.is_empty()
            || !self.carrying.is_idle()
            || !self.journal.is_idle()
            || self.stopping.is_some()
    }

    /// Programs that this node owns.
    pub fn programs(&self) -> &Programs {
        &self.programs
    }

    /// Handles an event and returns the resulting effects, to be executed in order.
    ///
    /// `now_us` is the time since the Unix epoch in microseconds. The node's
    /// clock is monotonic: an earlier time than the latest one is ignored.
    pub fn handle(&mut self, event: Event, now_us: u64) -> Vec<Effect> {
        self.now_us = self.now_us.max(now_us);
        if self.started_us == 0 {
            self.started_us = self.now_us;
        }
        self.detect_pause();
        match event {
            Event::Call { call_ref, request } => self.on_call(call_ref, *request),
            Event::CallerDisconnected { call_ref } => self.on_caller_disconnected(call_ref),
            Event::EndProgram {
                call_ref,
                api_key,
                program,
            } => self.on_end_program(call_ref, &api_key, &program),
            Event::Peer(message) => self.on_peer(message),
            Event::Target { attempt, event } => self.on_target_event(attempt, event),
            Event::Store { request_id, reply } => self.on_store(request_id, reply),
            Event::PathProbed {
                target,
                is_connected,
            } => self.on_path_probed(&target, is_connected),
            Event::Load(report) => self.on_load_report(report),
            Event::Operator {
                operator_ref,
                request,
            } => self.on_operator(operator_ref, request),
            Event::Tick => self.on_tick(),
            Event::Stop => self.on_stop(),
        }
        self.poll_journal();
        std::mem::take(&mut self.effects)
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    fn send(&mut self, to: SocketAddr, message: PeerMessage) {
        self.emit(Effect::Send { to, message });
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn on_peer(&mut self, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(&heartbeat),
            PeerMessage::Forward(forwarded) => self.on_forward(*forwarded),
            PeerMessage::Response { call_ref, frame } => self.on_response_frame(call_ref, frame),
            PeerMessage::Redirect { call_ref, owner } => self.on_redirect(call_ref, owner),
            PeerMessage::RetransmitRequest {
                origin,
                origin_address,
                call_ref,
                call,
                offset,
            } => {
                let subscriber = call::Subscriber::Peer {
                    vm: origin,
                    address: origin_address,
                    call_ref,
                };
                self.on_retransmit_request(&subscriber, &call, offset);
            }
            PeerMessage::CallerDisconnected {
                origin,
                call_ref,
                call,
            } => self.remove_peer_subscriber(&call, &origin, call_ref),
            PeerMessage::Handover { incarnation } => self.start_takeover(incarnation),
            PeerMessage::EndProgram {
                call_ref,
                origin,
                origin_address,
                account,
                program,
            } => {
                let subscriber = call::Subscriber::Peer {
                    vm: origin,
                    address: origin_address,
                    call_ref,
                };
                self.end_program(&subscriber, &account, &program);
            }
            PeerMessage::Limits(updates) => self.on_limits(&updates),
            PeerMessage::RequestPermit {
                id,
                sender_address,
                target,
                demand,
                known,
            } => self.on_permit_request(id, sender_address, &target, demand, known),
            PeerMessage::PermitReply {
                id,
                decision,
                known,
            } => self.on_permit_reply(id, decision, known),
            PeerMessage::Carry(request) => self.on_carry(*request),
            PeerMessage::CarryEvent {
                id,
                sequence,
                event,
            } => self.on_carry_event(id, sequence, event),
            PeerMessage::StartCarry { id, origin } => self.on_start_carry(origin, id),
            PeerMessage::CancelCarry { id, origin } => self.on_cancel_carry(&origin, id),
        }
    }

    fn on_tick(&mut self) {
        let now_ms = self.now_ms();
        if now_ms >= self.discovery_due_ms {
            self.discover();
        }
        if now_ms >= self.heartbeat_due_ms {
            self.send_heartbeats();
        }
        let changes = self.members.tick(now_ms);
        self.on_membership_changes(changes);
        self.check_seal();
        self.advance_takeovers();
        self.poll_sheet();
        self.check_call_timeouts();
        self.check_forwards();
        self.check_permits();
        self.check_carried();
        self.drain_queue();
        if now_ms >= self.expiry_due_ms {
            self.expire_programs();
        }
        self.advance_stop();
        self.update_readiness();
    }

    /// Sends a heartbeat to the other VMs of the failure domain.
    fn send_heartbeats(&mut self) {
        self.heartbeat_due_ms = self.now_ms() + self.settings.heartbeat_ms;
        let heartbeat = Heartbeat {
            vm: self.settings.vm.clone(),
            domain: self.settings.domain.clone(),
            incarnation: self.incarnation().clone(),
            started_ms: self.settings.started_ms,
            peer_address: self.settings.peer_address,
            leaving: self.members.is_leaving(),
            sheet_version: self.config.version(),
            loads: self.loads.values().cloned().collect(),
        };
        for address in self.heartbeat_addresses() {
            self.send(address, PeerMessage::Heartbeat(heartbeat.clone()));
        }
        self.repeat_limits();
    }

    fn heartbeat_addresses(&self) -> Vec<SocketAddr> {
        let others = self.members.peers();
        let mut addresses: Vec<SocketAddr> = others
            .filter(|(_, member)| !member.dead)
            .map(|(_, member)| member.peer_address)
            .collect();
        if addresses.is_empty() {
            addresses.clone_from(&self.settings.seed_addresses);
        }
        addresses.sort();
        addresses.dedup();
        addresses
    }

    fn on_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let sealed = self.takeovers.contains_key(&heartbeat.incarnation)
            || self.ownership.is_sealed(&heartbeat.incarnation);
        if sealed {
            // The sender is sealed, or is being sealed, and has not noticed yet; no call may
            // be routed to it.
            return;
        }
        self.ownership.orphans.remove(&heartbeat.incarnation);
        let changes = self.members.on_heartbeat(heartbeat, self.now_ms());
        self.on_membership_changes(changes);
        for report in &heartbeat.loads {
            self.apply_load(report);
        }
        if heartbeat.sheet_version > self.config.version() {
            self.config.poll_due_ms = 0;
        }
    }

    fn on_membership_changes(&mut self, changes: Vec<MembershipChange>) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            log::info!(change:? = change; "membership changed");
            match change {
                // Sends a heartbeat with the next tick, so that the new VM learns of this one.
                MembershipChange::Joined(_) => self.heartbeat_due_ms = 0,
                MembershipChange::Leaving(_) => {}
                MembershipChange::Dead { incarnation, .. } => self.on_incarnation_dead(incarnation),
            }
        }
        self.take_over_orphans();
        self.assign_load_polls();
    }

    /// Sets the commit interval so that the journals of `vms` VMs together stay within
    /// [`TABLE_WRITES_PER_S`]; at most [`MAX_COMMIT_INTERVAL_MS`].
    fn set_commit_interval(&mut self, vms: usize) {
        let interval_ms = vms as u64 * 1_000 / TABLE_WRITES_PER_S;
        self.journal
            .set_commit_interval_ms(interval_ms.min(MAX_COMMIT_INTERVAL_MS));
    }

    fn update_readiness(&mut self) {
        let ready = self.not_ready_reason().is_none();
        if ready != self.ready {
            self.ready = ready;
            self.emit(Effect::Ready(ready));
        }
    }

    fn not_ready_reason(&self) -> Option<String> {
        if self.stopping.is_some() {
            return Some("stopping".to_owned());
        }
        if !self.ownership.registered {
            return Some("incarnation is not in the table yet".to_owned());
        }
        if self.config.sheet.is_none() {
            return Some("no sheet is known yet".to_owned());
        }
        None
    }
}

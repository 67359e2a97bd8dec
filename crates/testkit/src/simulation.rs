//! Simulated VMs, and the scheduler that delivers messages in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use lagoon_ids::{DomainName, FastMap, TargetName, VmName};
use lagoon_node::{
    AttemptFailure, AttemptId, CallRef, CarryEvent, Effect, Event, Node, NodeSettings, OperatorRef,
    OperatorReply, OperatorRequest, PeerMessage, StoreRequestId, TargetEvent,
};
use lagoon_platform::{PlatformError, PlatformRequest, VmEntry, VmStatus};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::callers::{Outcome, Request, RequestId};
use crate::platform::{FakePlatform, StoreMode};
use crate::targets::{Execution, TargetMode, Targets};

/// Configuration sheet in force at the start of a simulation.
pub const SHEET: &str = include_str!("../sheet.csv");

/// Virtual time at the start of a simulation.
const START_TIME_US: u64 = 1_000_000_000;
/// Interval between two `Tick` events of a node.
const TICK_INTERVAL_US: u64 = 20_000;
/// Round-trip time of a store request.
const STORE_ROUND_TRIP_US: u64 = 2_000;
/// Latency of a message between two VMs, without jitter.
const PEER_LATENCY_US: u64 = 500;
/// Time added to [`PEER_LATENCY_US`] for the second copy of a duplicated message;
/// long enough for later messages to overtake this copy.
const DUPLICATE_DELAY_US: u64 = 30_000;
/// Time until a connection is established, or refused.
const CONNECT_US: u64 = 1_000;
const BASE_PORT: u16 = 7_000;

/// VM whose daemon runs.
#[derive(Debug)]
pub struct SimulatedVm {
    /// Node that makes the daemon's decisions; its I/O is simulated.
    pub node: Node,
    /// Number of this start, counted over all VMs; deliveries scheduled for an
    /// earlier start of this VM are dropped.
    generation: u64,
    paused: bool,
    /// Events that arrived during the pause.
    backlog: Vec<Event>,
}

#[derive(Debug)]
enum Delivery {
    Tick,
    Event(Event),
    Store(StoreRequestId, PlatformRequest),
    /// Event of a target, unless the attempt was broken since.
    Target {
        attempt: AttemptId,
        event: TargetEvent,
        epoch: u64,
    },
}

/// Attempt that was sent to a target.
#[derive(Debug)]
struct OpenAttempt {
    vm: VmName,
    attempt: AttemptId,
    address: SocketAddr,
    resume_id: String,
}

#[derive(Debug)]
struct ScheduledDelivery {
    due_us: u64,
    /// Deliveries that are due at the same time are made in the order of this number.
    sequence: u64,
    vm: VmName,
    generation: u64,
    delivery: Delivery,
}

impl PartialEq for ScheduledDelivery {
    fn eq(&self, other: &Self) -> bool {
        (self.due_us, self.sequence) == (other.due_us, other.sequence)
    }
}

impl Eq for ScheduledDelivery {}

impl PartialOrd for ScheduledDelivery {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledDelivery {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due_us, self.sequence).cmp(&(other.due_us, other.sequence))
    }
}

/// Simulation of VMs, a platform, targets and callers. Two simulations with the same
/// seed and the same sequence of method calls have identical results.
#[derive(Debug)]
pub struct Simulation {
    /// Virtual time since the epoch.
    pub now_us: u64,
    /// Platform with its table, objects and VM list.
    pub platform: FakePlatform,
    /// Fault injected into the platform's store.
    pub store_mode: StoreMode,
    /// Messages sent between VMs, including lost ones.
    pub sent_messages: u64,
    /// Encoded size of the messages sent between VMs, including lost ones.
    pub sent_bytes: u64,
    /// Percentage of messages between VMs that are lost.
    pub message_loss_percent: u32,
    /// Percentage of messages between VMs that are delivered twice.
    pub message_duplication_percent: u32,
    /// Upper bound of the random delay added to a message between VMs; 0 for none.
    pub max_jitter_us: u64,
    vms: BTreeMap<VmName, SimulatedVm>,
    targets: Targets,
    requests: BTreeMap<RequestId, (Request, VmName, Outcome)>,
    operator_replies: FastMap<OperatorRef, OperatorReply>,
    partitions: Vec<(VmName, VmName)>,
    /// Targets that VMs can't reach.
    cut_paths: Vec<(VmName, SocketAddr)>,
    attempts: Vec<OpenAttempt>,
    /// Number of times that an attempt was broken by a cut.
    epochs: FastMap<(VmName, AttemptId), u64>,
    /// Attempts that VMs have accepted to carry for others.
    pub carried_attempts: u64,
    queue: BinaryHeap<Reverse<ScheduledDelivery>>,
    /// Last number given to a delivery, request or operator's request.
    last_sequence: u64,
    /// Number of VM starts so far, restarts included.
    generation: u64,
    rng: Pcg64Mcg,
}

fn vm_name(text: &str) -> VmName {
    text.parse()
        .unwrap_or_else(|error| panic!("{text}: {error}"))
}

fn domain() -> DomainName {
    "kumamoto".parse().unwrap_or_else(|error| panic!("{error}"))
}

impl Simulation {
    /// Creates a simulation with [`SHEET`] in force and without VMs.
    pub fn new(seed: u64) -> Simulation {
        let mut sim = Simulation {
            now_us: START_TIME_US,
            platform: FakePlatform::default(),
            store_mode: StoreMode::Up,
            sent_messages: 0,
            sent_bytes: 0,
            message_loss_percent: 0,
            message_duplication_percent: 0,
            max_jitter_us: 0,
            vms: BTreeMap::new(),
            targets: Targets::default(),
            requests: BTreeMap::new(),
            operator_replies: FastMap::default(),
            partitions: Vec::new(),
            cut_paths: Vec::new(),
            attempts: Vec::new(),
            epochs: FastMap::default(),
            carried_attempts: 0,
            queue: BinaryHeap::new(),
            last_sequence: 0,
            generation: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        sim.store_sheet();
        sim
    }

    fn store_sheet(&mut self) {
        let row = serde_json::json!({
            "version": 1, "base": 0, "author": "test", "applied_ms": 0, "object": "sheet/1",
        });
        let row = row.to_string().into_bytes();
        self.platform.rows.insert("sheet/current".to_owned(), row);
        let text = SHEET.as_bytes().to_vec();
        self.platform.objects.insert("sheet/1".to_owned(), text);
        for line in SHEET.lines().filter(|line| line.starts_with("target,")) {
            let cells: Vec<&str> = line.split(',').collect();
            let name = cells[1].parse().unwrap_or_else(|error| panic!("{error}"));
            let address = cells[4].parse().unwrap_or_else(|error| panic!("{error}"));
            self.targets.add(name, address);
        }
    }

    fn address(vm: &str) -> SocketAddr {
        let number: u16 = vm.trim_start_matches("vm").parse().unwrap_or(0);
        SocketAddr::from(([127, 0, 0, 1], BASE_PORT + number))
    }

    /// Starts a VM's daemon, or restarts it with a fresh node.
    pub fn start(&mut self, vm: &str) {
        let name = vm_name(vm);
        let settings = NodeSettings {
            started_ms: self.now_us / 1_000,
            ..NodeSettings::with_defaults(name.clone(), domain(), Simulation::address(vm))
        };
        let node = Node::new(settings).unwrap_or_else(|error| panic!("{error}"));
        self.generation += 1;
        let sim_vm = SimulatedVm {
            node,
            generation: self.generation,
            paused: false,
            backlog: Vec::new(),
        };
        self.vms.insert(name.clone(), sim_vm);
        if !self.platform.vms.iter().any(|entry| entry.name == name) {
            self.platform.vms.push(VmEntry {
                name: name.clone(),
                domain: domain(),
                status: VmStatus::Running,
            });
        }
        self.schedule(0, &name, Delivery::Tick);
    }

    /// Kills a VM's daemon; its open requests are lost.
    pub fn kill(&mut self, vm: &str) {
        let name = vm_name(vm);
        self.vms.remove(&name);
        self.mark_requests_lost(&name);
    }

    /// Pauses a VM; messages to it are queued.
    pub fn pause(&mut self, vm: &str) {
        if let Some(sim_vm) = self.vms.get_mut(&vm_name(vm)) {
            sim_vm.paused = true;
        }
    }

    /// Resumes a paused VM; queued messages are delivered after its next tick.
    pub fn resume(&mut self, vm: &str) {
        let name = vm_name(vm);
        let Some(sim_vm) = self.vms.get_mut(&name) else {
            return;
        };
        sim_vm.paused = false;
        let backlog = std::mem::take(&mut sim_vm.backlog);
        self.schedule(0, &name, Delivery::Tick);
        for event in backlog {
            self.schedule(1, &name, Delivery::Event(event));
        }
    }

    /// Requests a graceful shutdown of a VM's daemon.
    pub fn stop(&mut self, vm: &str) {
        let name = vm_name(vm);
        self.schedule(0, &name, Delivery::Event(Event::Stop));
    }

    /// Partitions the network between two VMs, in both directions.
    pub fn partition(&mut self, a: &str, b: &str) {
        self.partitions.push((vm_name(a), vm_name(b)));
    }

    /// Ends all partitions between VMs.
    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    /// Sets how a target behaves.
    pub fn set_target_mode(&mut self, target: &str, mode: TargetMode) {
        let name: TargetName = target.parse().unwrap_or_else(|error| panic!("{error}"));
        self.targets.set_mode(&name, mode);
    }

    /// Sets the limit that a target states in its responses; `None` for none.
    pub fn set_target_limit(&mut self, target: &str, per_s: Option<f64>) {
        let name: TargetName = target.parse().unwrap_or_else(|error| panic!("{error}"));
        self.targets.set_limit(&name, per_s);
    }

    /// Virtual times of the requests that reached a target, executed or not, in
    /// microseconds.
    pub fn arrivals_us(&self, target: &str) -> Vec<u64> {
        let arrivals = self.targets.arrivals.iter();
        let at_target = arrivals.filter(|(name, _)| name.as_str() == target);
        at_target.map(|(_, at_us)| *at_us).collect()
    }

    /// VMs whose daemon runs, by name.
    pub fn vms(&self) -> impl Iterator<Item = (&VmName, &SimulatedVm)> {
        self.vms.iter()
    }

    /// VM by name; `None` if its daemon doesn't run.
    pub fn vm(&self, vm: &str) -> Option<&SimulatedVm> {
        self.vms.get(&vm_name(vm))
    }

    /// Executions at all targets, in order of their start.
    pub fn executions(&self) -> &[Execution] {
        &self.targets.executions
    }

    /// Sends a caller's request to a VM; it is lost at once if the daemon doesn't run.
    pub fn send_request(&mut self, vm: &str, request: Request) -> RequestId {
        let name = vm_name(vm);
        self.last_sequence += 1;
        let id = RequestId(self.last_sequence);
        let caller_request = Box::new(request.to_caller_request());
        let mut outcome = Outcome::default();
        match self.vms.get(&name) {
            Some(_) => {
                let call_ref = CallRef(id.0);
                let event = Event::Call {
                    call_ref,
                    request: caller_request,
                };
                self.schedule(100, &name, Delivery::Event(event));
            }
            None => outcome.connection_lost = true,
        }
        self.requests.insert(id, (request, name, outcome));
        id
    }

    /// Sends a caller's request to end a program.
    pub fn end_program(&mut self, vm: &str, program: &str) {
        self.last_sequence += 1;
        let event = Event::EndProgram {
            call_ref: CallRef(self.last_sequence),
            api_key: "grower-desk-key".into(),
            program: program.into(),
        };
        self.schedule(100, &vm_name(vm), Delivery::Event(event));
    }

    /// Sends an operator's request and waits up to 2 s of virtual time for the reply;
    /// `None` if none arrives.
    pub fn send_operator_request(
        &mut self,
        vm: &str,
        request: OperatorRequest,
    ) -> Option<OperatorReply> {
        self.last_sequence += 1;
        let operator_ref = OperatorRef(self.last_sequence);
        let event = Event::Operator {
            operator_ref,
            request,
        };
        self.schedule(0, &vm_name(vm), Delivery::Event(event));
        for _ in 0..100 {
            self.run_ms(20);
            if let Some(reply) = self.operator_replies.remove(&operator_ref) {
                return Some(reply);
            }
        }
        None
    }

    /// What the caller of a request has received so far; panics on an unknown id.
    pub fn outcome(&self, id: RequestId) -> &Outcome {
        &self.requests[&id].2
    }

    /// Request as the caller sent it; panics on an unknown id.
    pub fn sent_request(&self, id: RequestId) -> &Request {
        &self.requests[&id].0
    }

    /// All requests with their outcomes, in the order in which they were sent.
    pub fn requests(&self) -> impl Iterator<Item = (RequestId, &Request, &Outcome)> {
        self.requests
            .iter()
            .map(|(id, (request, _, outcome))| (*id, request, outcome))
    }

    fn mark_requests_lost(&mut self, vm: &VmName) {
        for (_, receiver, outcome) in self.requests.values_mut() {
            if receiver == vm && !outcome.is_finished() {
                outcome.connection_lost = true;
            }
        }
    }

    fn schedule(&mut self, delay_us: u64, vm: &VmName, delivery: Delivery) {
        let Some(sim_vm) = self.vms.get(vm) else {
            return;
        };
        self.last_sequence += 1;
        self.queue.push(Reverse(ScheduledDelivery {
            due_us: self.now_us + delay_us,
            sequence: self.last_sequence,
            vm: vm.clone(),
            generation: sim_vm.generation,
            delivery,
        }));
    }

    /// Advances virtual time and delivers what is due.
    pub fn run_ms(&mut self, ms: u64) {
        let end_us = self.now_us + ms * 1_000;
        while let Some(Reverse(scheduled)) = self.queue.pop() {
            if scheduled.due_us > end_us {
                self.queue.push(Reverse(scheduled));
                break;
            }
            self.now_us = self.now_us.max(scheduled.due_us);
            self.deliver(scheduled);
        }
        self.now_us = end_us;
    }

    fn deliver(&mut self, scheduled: ScheduledDelivery) {
        let Some(sim_vm) = self.vms.get_mut(&scheduled.vm) else {
            return;
        };
        if sim_vm.generation != scheduled.generation {
            return;
        }
        let delivery = match scheduled.delivery {
            Delivery::Target {
                attempt,
                event,
                epoch,
            } => {
                if epoch != self.epoch(&scheduled.vm, attempt) {
                    return;
                }
                Delivery::Event(Event::Target { attempt, event })
            }
            delivery => delivery,
        };
        let Some(sim_vm) = self.vms.get_mut(&scheduled.vm) else {
            return;
        };
        match delivery {
            Delivery::Target { .. } => {}
            Delivery::Store(request_id, request) => {
                let reply = self.execute_store_request(&request);
                let event = Event::Store { request_id, reply };
                self.schedule(
                    STORE_ROUND_TRIP_US / 2,
                    &scheduled.vm,
                    Delivery::Event(event),
                );
            }
            Delivery::Tick if sim_vm.paused => {}
            Delivery::Tick => {
                self.schedule(TICK_INTERVAL_US, &scheduled.vm, Delivery::Tick);
                self.handle(&scheduled.vm, Event::Tick);
            }
            Delivery::Event(event) if sim_vm.paused => sim_vm.backlog.push(event),
            Delivery::Event(event) => self.handle(&scheduled.vm, event),
        }
    }

    fn execute_store_request(
        &mut self,
        request: &PlatformRequest,
    ) -> Result<lagoon_platform::PlatformReply, PlatformError> {
        match self.store_mode {
            StoreMode::Up => Ok(self.platform.execute(request)),
            StoreMode::Down => Err(PlatformError::NoReply("down".to_owned())),
            StoreMode::LoseReplies => {
                self.platform.execute(request);
                Err(PlatformError::NoReply("lost".to_owned()))
            }
        }
    }

    fn handle(&mut self, vm: &VmName, event: Event) {
        let Some(sim_vm) = self.vms.get_mut(vm) else {
            return;
        };
        let effects = sim_vm.node.handle(event, self.now_us);
        for effect in effects {
            self.apply_effect(vm, effect);
        }
    }

    fn apply_effect(&mut self, vm: &VmName, effect: Effect) {
        match effect {
            Effect::Reply { call_ref, frame } => {
                if let Some((_, _, outcome)) = self.requests.get_mut(&RequestId(call_ref.0)) {
                    outcome.apply_frame(frame);
                }
            }
            Effect::Send { to, message } => self.send(vm, to, message),
            Effect::Dispatch(dispatch) if self.is_cut(vm, dispatch.address) => {
                self.fail_connection(vm, dispatch.attempt);
            }
            Effect::Resume(resume) if self.is_cut(vm, resume.address) => {
                self.fail_connection(vm, resume.attempt);
            }
            Effect::ProbePath(probe) => {
                let is_connected =
                    !self.is_cut(vm, probe.address) && self.targets.accepts(probe.address);
                let event = Event::PathProbed {
                    target: probe.target,
                    is_connected,
                };
                self.schedule(CONNECT_US, vm, Delivery::Event(event));
            }
            Effect::Dispatch(dispatch) => {
                let events = self.targets.dispatch(&dispatch, self.now_us);
                self.schedule_target_events(vm, dispatch.attempt, events);
                let resume_id = self.targets.last_resume_id();
                self.record_attempt(vm, dispatch.attempt, dispatch.address, &resume_id);
            }
            Effect::Resume(resume) => {
                let events =
                    self.targets
                        .resume(&resume.resume_id, resume.last_event_id, self.now_us);
                self.schedule_target_events(vm, resume.attempt, events);
                self.record_attempt(vm, resume.attempt, resume.address, &resume.resume_id);
            }
            Effect::Store {
                request_id,
                request,
            } => {
                self.schedule(
                    STORE_ROUND_TRIP_US / 2,
                    vm,
                    Delivery::Store(request_id, request),
                );
            }
            Effect::Operator {
                operator_ref,
                reply,
            } => {
                self.operator_replies.insert(operator_ref, reply);
            }
            Effect::Exit { fenced } => {
                self.vms.remove(vm);
                self.mark_requests_lost(vm);
                log_exit(vm, fenced);
            }
            Effect::Cancel { .. } | Effect::PollLoads(_) | Effect::Span(_) | Effect::Ready(_) => {}
        }
    }

    fn is_cut(&self, vm: &VmName, address: SocketAddr) -> bool {
        self.cut_paths
            .iter()
            .any(|(cut_vm, cut)| cut_vm == vm && *cut == address)
    }

    fn fail_connection(&mut self, vm: &VmName, attempt: AttemptId) {
        let event = TargetEvent::Failed {
            failure: AttemptFailure::NotConnected,
            detail: "no path".to_owned(),
        };
        self.schedule_target_events(vm, attempt, vec![(CONNECT_US, event)]);
    }

    fn record_attempt(
        &mut self,
        vm: &VmName,
        attempt: AttemptId,
        address: SocketAddr,
        resume_id: &str,
    ) {
        self.attempts.push(OpenAttempt {
            vm: vm.clone(),
            attempt,
            address,
            resume_id: resume_id.to_owned(),
        });
    }

    /// Cuts a VM off from some targets: attempts in flight break, new ones don't connect.
    pub fn cut_paths(&mut self, vm: &str, targets: &[&str]) {
        let name = vm_name(vm);
        for target in targets {
            let address = self.targets.address(target);
            self.cut_paths.push((name.clone(), address));
            let is_broken = |open: &OpenAttempt| open.vm == name && open.address == address;
            let attempts = std::mem::take(&mut self.attempts);
            let (broken, open): (Vec<_>, Vec<_>) = attempts.into_iter().partition(is_broken);
            self.attempts = open;
            for broken in broken {
                self.targets.break_stream(&broken.resume_id);
                *self
                    .epochs
                    .entry((name.clone(), broken.attempt))
                    .or_default() += 1;
                let event = TargetEvent::Failed {
                    failure: AttemptFailure::Interrupted,
                    detail: "path was cut".to_owned(),
                };
                self.schedule_target_events(&name, broken.attempt, vec![(0, event)]);
            }
        }
    }

    /// Ends all cuts between VMs and targets.
    pub fn restore_paths(&mut self) {
        self.cut_paths.clear();
    }

    fn schedule_target_events(
        &mut self,
        vm: &VmName,
        attempt: AttemptId,
        events: Vec<(u64, TargetEvent)>,
    ) {
        let epoch = self.epoch(vm, attempt);
        for (delay_us, event) in events {
            let event = Delivery::Target {
                attempt,
                event,
                epoch,
            };
            self.schedule(delay_us, vm, event);
        }
    }

    fn epoch(&self, vm: &VmName, attempt: AttemptId) -> u64 {
        let epoch = self.epochs.get(&(vm.clone(), attempt));
        epoch.copied().unwrap_or_default()
    }

    fn send(&mut self, from: &VmName, to: SocketAddr, message: PeerMessage) {
        self.sent_messages += 1;
        let is_accepted = matches!(
            &message,
            PeerMessage::CarryEvent {
                event: CarryEvent::Accepted,
                ..
            }
        );
        self.carried_attempts += u64::from(is_accepted);
        let bytes = postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len());
        self.sent_bytes += bytes as u64;
        let receiver = self
            .vms
            .keys()
            .find(|vm| Simulation::address(vm.as_str()) == to)
            .cloned();
        let Some(receiver) = receiver else {
            return;
        };
        let is_partitioned = |(a, b): &(VmName, VmName)| {
            (a == from && *b == receiver) || (*a == receiver && b == from)
        };
        let lost = self.rng.random_range(0..100) < self.message_loss_percent;
        if lost || self.partitions.iter().any(is_partitioned) {
            return;
        }
        let jitter_us = match self.max_jitter_us {
            0 => 0,
            max_us => self.rng.random_range(0..max_us),
        };
        if self.message_duplication_percent > 0
            && self.rng.random_range(0..100) < self.message_duplication_percent
        {
            let duplicate = Delivery::Event(Event::Peer(message.clone()));
            self.schedule(PEER_LATENCY_US + DUPLICATE_DELAY_US, &receiver, duplicate);
        }
        let event = Event::Peer(message);
        self.schedule(
            PEER_LATENCY_US + jitter_us,
            &receiver,
            Delivery::Event(event),
        );
    }
}

fn log_exit(vm: &VmName, fenced: bool) {
    if std::env::var_os("WORLD_LOG").is_some() {
        eprintln!("{vm} exits, fenced {fenced}");
    }
}

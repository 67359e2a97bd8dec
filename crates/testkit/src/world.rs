//! Nodes and what passes between them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use lagoon_ids::{DomainName, FastMap, TargetName, VmName};
use lagoon_node::{
    AttemptId, CallRef, Effect, Event, Node, NodeSettings, OperatorRef, OperatorReply,
    OperatorRequest, PeerMessage, StoreRequestId,
};
use lagoon_platform::{PlatformError, PlatformRequest, VmEntry, VmStatus};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::callers::{Outcome, Request, RequestId};
use crate::table::{StoreMode, Table};
use crate::targets::{Run, TargetMode, Targets};

/// Sheet that the worlds begin with.
pub const SHEET: &str = include_str!("../sheet.csv");

const START_US: u64 = 1_000_000_000;
const TICK_US: u64 = 20_000;
const STORE_US: u64 = 2_000;
const PEER_US: u64 = 500;
const SECOND_TIME_US: u64 = 30_000;
const BASE_PORT: u16 = 7_000;

/// Node with the state of its VM.
#[derive(Debug)]
pub struct Host {
    /// Node.
    pub node: Node,
    epoch: u64,
    paused: bool,
    backlog: Vec<Event>,
}

#[derive(Debug)]
enum Delivery {
    Tick,
    Event(Event),
    Store(StoreRequestId, PlatformRequest),
}

#[derive(Debug)]
struct Due {
    at_us: u64,
    order: u64,
    vm: VmName,
    epoch: u64,
    delivery: Delivery,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at_us, self.order) == (other.at_us, other.order)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.order).cmp(&(other.at_us, other.order))
    }
}

/// Nodes, table, targets and callers.
#[derive(Debug)]
pub struct World {
    /// Time since the epoch.
    pub now_us: u64,
    /// Store.
    pub table: Table,
    /// How the store behaves.
    pub store_mode: StoreMode,
    /// Messages that VMs have sent to each other.
    pub sent_messages: u64,
    /// Bytes of those messages.
    pub sent_bytes: u64,
    /// Share of messages between VMs that are lost, in percent.
    pub lost_percent: u32,
    /// Share of messages between VMs that come a second time, in percent.
    pub doubled_percent: u32,
    /// Longest further delay of a message between VMs, in microseconds.
    pub jitter_us: u64,
    hosts: BTreeMap<VmName, Host>,
    targets: Targets,
    requests: BTreeMap<RequestId, (Request, VmName, Outcome)>,
    operators: FastMap<OperatorRef, OperatorReply>,
    cut: Vec<(VmName, VmName)>,
    due: BinaryHeap<Reverse<Due>>,
    order: u64,
    epoch: u64,
    rng: Pcg64Mcg,
}

fn vm_name(text: &str) -> VmName {
    text.parse()
        .unwrap_or_else(|error| panic!("{text}: {error}"))
}

fn domain() -> DomainName {
    "kumamoto".parse().unwrap_or_else(|error| panic!("{error}"))
}

impl World {
    /// World with a sheet in force and no VM yet.
    pub fn new(seed: u64) -> World {
        let mut world = World {
            now_us: START_US,
            table: Table::default(),
            store_mode: StoreMode::Up,
            sent_messages: 0,
            sent_bytes: 0,
            lost_percent: 0,
            doubled_percent: 0,
            jitter_us: 0,
            hosts: BTreeMap::new(),
            targets: Targets::default(),
            requests: BTreeMap::new(),
            operators: FastMap::default(),
            cut: Vec::new(),
            due: BinaryHeap::new(),
            order: 0,
            epoch: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        world.put_sheet();
        world
    }

    fn put_sheet(&mut self) {
        let row = serde_json::json!({
            "version": 1, "base": 0, "author": "test", "applied_ms": 0, "object": "sheet/1",
        });
        let row = row.to_string().into_bytes();
        self.table.rows.insert("sheet/current".to_owned(), row);
        let text = SHEET.as_bytes().to_vec();
        self.table.objects.insert("sheet/1".to_owned(), text);
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

    /// Starts a VM, also one that has run before.
    pub fn start(&mut self, vm: &str) {
        let name = vm_name(vm);
        let settings = NodeSettings {
            started_ms: self.now_us / 1_000,
            ..NodeSettings::with_defaults(name.clone(), domain(), World::address(vm))
        };
        let node = Node::new(settings).unwrap_or_else(|error| panic!("{error}"));
        self.epoch += 1;
        let host = Host {
            node,
            epoch: self.epoch,
            paused: false,
            backlog: Vec::new(),
        };
        self.hosts.insert(name.clone(), host);
        if !self.table.vms.iter().any(|entry| entry.name == name) {
            self.table.vms.push(VmEntry {
                name: name.clone(),
                domain: domain(),
                status: VmStatus::Running,
            });
        }
        self.schedule(0, &name, Delivery::Tick);
    }

    /// Kills a VM's daemon.
    pub fn kill(&mut self, vm: &str) {
        let name = vm_name(vm);
        self.hosts.remove(&name);
        self.lose_requests(&name);
    }

    /// Pauses a VM; what is sent to it waits.
    pub fn pause(&mut self, vm: &str) {
        if let Some(host) = self.hosts.get_mut(&vm_name(vm)) {
            host.paused = true;
        }
    }

    /// Lets a paused VM go on.
    pub fn resume(&mut self, vm: &str) {
        let name = vm_name(vm);
        let Some(host) = self.hosts.get_mut(&name) else {
            return;
        };
        host.paused = false;
        let backlog = std::mem::take(&mut host.backlog);
        self.schedule(0, &name, Delivery::Tick);
        for event in backlog {
            self.schedule(1, &name, Delivery::Event(event));
        }
    }

    /// Asks a VM for a planned stop.
    pub fn stop(&mut self, vm: &str) {
        let name = vm_name(vm);
        self.schedule(0, &name, Delivery::Event(Event::Stop));
    }

    /// Cuts two VMs off from each other.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.cut.push((vm_name(a), vm_name(b)));
    }

    /// Heals all cuts.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Sets how a target behaves.
    pub fn set_target(&mut self, target: &str, mode: TargetMode) {
        let name: TargetName = target.parse().unwrap_or_else(|error| panic!("{error}"));
        self.targets.set_mode(&name, mode);
    }

    /// VMs whose daemons run.
    pub fn hosts(&self) -> impl Iterator<Item = (&VmName, &Host)> {
        self.hosts.iter()
    }

    /// Host of a VM, while its daemon runs.
    pub fn host(&self, vm: &str) -> Option<&Host> {
        self.hosts.get(&vm_name(vm))
    }

    /// Runs at targets so far.
    pub fn runs(&self) -> &[Run] {
        &self.targets.runs
    }

    /// Sends a caller's request to a VM.
    pub fn request(&mut self, vm: &str, request: Request) -> RequestId {
        let name = vm_name(vm);
        self.order += 1;
        let id = RequestId(self.order);
        let incoming = Box::new(request.incoming());
        let mut outcome = Outcome::default();
        match self.hosts.get(&name) {
            Some(_) => {
                let call_ref = CallRef(id.0);
                let event = Event::Call {
                    call_ref,
                    request: incoming,
                };
                self.schedule(100, &name, Delivery::Event(event));
            }
            None => outcome.lost = true,
        }
        self.requests.insert(id, (request, name, outcome));
        id
    }

    /// Asks a VM to end a program.
    pub fn end_program(&mut self, vm: &str, program: &str) {
        self.order += 1;
        let event = Event::EndProgram {
            call_ref: CallRef(self.order),
            api_key: "grower-desk-key".into(),
            program: program.into(),
        };
        self.schedule(100, &vm_name(vm), Delivery::Event(event));
    }

    /// Asks a VM as an operator and waits for its answer.
    pub fn operate(&mut self, vm: &str, request: OperatorRequest) -> Option<OperatorReply> {
        self.order += 1;
        let operator_ref = OperatorRef(self.order);
        let event = Event::Operator {
            operator_ref,
            request,
        };
        self.schedule(0, &vm_name(vm), Delivery::Event(event));
        for _ in 0..100 {
            self.run_ms(20);
            if let Some(reply) = self.operators.remove(&operator_ref) {
                return Some(reply);
            }
        }
        None
    }

    /// What became of a request.
    pub fn outcome(&self, id: RequestId) -> &Outcome {
        &self.requests[&id].2
    }

    /// Request of an identifier.
    pub fn request_of(&self, id: RequestId) -> &Request {
        &self.requests[&id].0
    }

    /// All requests with what became of them.
    pub fn requests(&self) -> impl Iterator<Item = (RequestId, &Request, &Outcome)> {
        self.requests
            .iter()
            .map(|(id, (request, _, outcome))| (*id, request, outcome))
    }

    fn lose_requests(&mut self, vm: &VmName) {
        for (_, reached, outcome) in self.requests.values_mut() {
            if reached == vm && !outcome.is_over() {
                outcome.lost = true;
            }
        }
    }

    fn schedule(&mut self, delay_us: u64, vm: &VmName, delivery: Delivery) {
        let Some(host) = self.hosts.get(vm) else {
            return;
        };
        self.order += 1;
        self.due.push(Reverse(Due {
            at_us: self.now_us + delay_us,
            order: self.order,
            vm: vm.clone(),
            epoch: host.epoch,
            delivery,
        }));
    }

    /// Lets virtual time pass.
    pub fn run_ms(&mut self, ms: u64) {
        let until_us = self.now_us + ms * 1_000;
        while let Some(Reverse(due)) = self.due.pop() {
            if due.at_us > until_us {
                self.due.push(Reverse(due));
                break;
            }
            self.now_us = self.now_us.max(due.at_us);
            self.deliver(due);
        }
        self.now_us = until_us;
    }

    fn deliver(&mut self, due: Due) {
        let Some(host) = self.hosts.get_mut(&due.vm) else {
            return;
        };
        if host.epoch != due.epoch {
            return;
        }
        match due.delivery {
            Delivery::Store(request_id, request) => {
                let reply = self.store_reply(&request);
                let event = Event::Store { request_id, reply };
                self.schedule(STORE_US / 2, &due.vm, Delivery::Event(event));
            }
            Delivery::Tick if host.paused => {}
            Delivery::Tick => {
                self.schedule(TICK_US, &due.vm, Delivery::Tick);
                self.handle(&due.vm, Event::Tick);
            }
            Delivery::Event(event) if host.paused => host.backlog.push(event),
            Delivery::Event(event) => self.handle(&due.vm, event),
        }
    }

    fn store_reply(
        &mut self,
        request: &PlatformRequest,
    ) -> Result<lagoon_platform::PlatformReply, PlatformError> {
        match self.store_mode {
            StoreMode::Up => Ok(self.table.execute(request)),
            StoreMode::Down => Err(PlatformError::NoReply("down".to_owned())),
            StoreMode::LoseReplies => {
                self.table.execute(request);
                Err(PlatformError::NoReply("lost".to_owned()))
            }
        }
    }

    fn handle(&mut self, vm: &VmName, event: Event) {
        let Some(host) = self.hosts.get_mut(vm) else {
            return;
        };
        let effects = host.node.handle(event, self.now_us);
        for effect in effects {
            self.carry_out(vm, effect);
        }
    }

    fn carry_out(&mut self, vm: &VmName, effect: Effect) {
        match effect {
            Effect::Reply { call_ref, frame } => {
                if let Some((_, _, outcome)) = self.requests.get_mut(&RequestId(call_ref.0)) {
                    outcome.take(frame);
                }
            }
            Effect::Send { to, message } => self.send(vm, to, message),
            Effect::Dispatch(dispatch) => {
                let planned = self.targets.dispatch(&dispatch, self.now_us);
                self.plan(vm, dispatch.attempt, planned);
            }
            Effect::Resume(resume) => {
                let planned = self.targets.resume(&resume.resume_id);
                self.plan(vm, resume.attempt, planned);
            }
            Effect::Store {
                request_id,
                request,
            } => {
                self.schedule(STORE_US / 2, vm, Delivery::Store(request_id, request));
            }
            Effect::Operator {
                operator_ref,
                reply,
            } => {
                self.operators.insert(operator_ref, reply);
            }
            Effect::Exit { fenced } => {
                self.hosts.remove(vm);
                self.lose_requests(vm);
                log_exit(vm, fenced);
            }
            Effect::Cancel { .. } | Effect::PollLoads(_) | Effect::Span(_) | Effect::Ready(_) => {}
        }
    }

    fn plan(
        &mut self,
        vm: &VmName,
        attempt: AttemptId,
        planned: Vec<(u64, lagoon_node::TargetEvent)>,
    ) {
        for (delay_us, event) in planned {
            let event = Event::Target { attempt, event };
            self.schedule(delay_us, vm, Delivery::Event(event));
        }
    }

    fn send(&mut self, from: &VmName, to: SocketAddr, message: PeerMessage) {
        self.sent_messages += 1;
        let bytes = postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len());
        self.sent_bytes += bytes as u64;
        let receiver = self
            .hosts
            .keys()
            .find(|vm| World::address(vm.as_str()) == to)
            .cloned();
        let Some(receiver) = receiver else {
            return;
        };
        let apart = |(a, b): &(VmName, VmName)| {
            (a == from && *b == receiver) || (*a == receiver && b == from)
        };
        let lost = self.rng.random_range(0..100) < self.lost_percent;
        if lost || self.cut.iter().any(apart) {
            return;
        }
        let jitter_us = match self.jitter_us {
            0 => 0,
            most_us => self.rng.random_range(0..most_us),
        };
        if self.doubled_percent > 0 && self.rng.random_range(0..100) < self.doubled_percent {
            let again = Delivery::Event(Event::Peer(message.clone()));
            self.schedule(PEER_US + SECOND_TIME_US, &receiver, again);
        }
        let event = Event::Peer(message);
        self.schedule(PEER_US + jitter_us, &receiver, Delivery::Event(event));
    }
}

fn log_exit(vm: &VmName, fenced: bool) {
    if std::env::var_os("WORLD_LOG").is_some() {
        eprintln!("{vm} exits, fenced {fenced}");
    }
}

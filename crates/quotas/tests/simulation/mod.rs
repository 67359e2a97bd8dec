//! Fleet of VMs under virtual time, with messages that take time and may be lost.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;

use lagoon_accounts::Quota;
use lagoon_ids::{FastMap, FastSet};
use lagoon_quotas::{
    grantor_order, Grant, Grantor, GrantorRole, QuotaDecision, QuotaDemand, QuotaTerms,
    Reachability, RequestClass, Reservation, Stock, Take,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const WINDOW_MS: u64 = 5_000;
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;

const TTL_MS: u64 = 200;
const REPLY_TIMEOUT_MS: u64 = 40;
const TRANSFER_TIMEOUT_MS: u64 = 25;
const PROBE_TIMEOUT_MS: u64 = 120;
const BACKOFF_MS: u64 = 500;
const TICK_MS: u64 = 100;

const RETRY_SPREAD_MS: Range<u64> = 0..100;
const NO_GRANTOR_RETRY_MS: u64 = 200;

/// Tries of a call, with the first one.
const TRIES: u32 = 3;

/// Maximum time until a VM has read a change of the list of VMs, or a configuration.
const MAX_READ_MS: u64 = 1_200;

#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The VM is killed and back, knowing nothing, after this time.
    Kill { vm: usize, for_ms: u64 },
    /// The VM does nothing for this time and then goes on.
    Freeze { vm: usize, for_ms: u64 },
    /// A new VM joins a failure domain.
    Join { domain: usize },
    /// The VM leaves the list and the fleet.
    Leave { vm: usize },
    /// The VM reaches no other one for this time, but the targets.
    CutVm { vm: usize, for_ms: u64 },
    /// The VMs of a failure domain and those of the others don't reach each other.
    CutDomain { domain: usize, for_ms: u64 },
}

/// Requests that arrive at random.
#[derive(Clone, Debug)]
pub(crate) struct Source {
    accounts: Range<u64>,
    per_s: f64,
    until_ms: u64,
    vms: Option<Vec<usize>>,
}

impl Source {
    pub(crate) fn new(account: u64, per_s: f64) -> Source {
        Source {
            accounts: account..account + 1,
            per_s,
            until_ms: u64::MAX,
            vms: None,
        }
    }

    pub(crate) fn until(mut self, until_ms: u64) -> Source {
        self.until_ms = until_ms;
        self
    }

    pub(crate) fn through(mut self, vms: Vec<usize>) -> Source {
        self.vms = Some(vms);
        self
    }

    pub(crate) fn of_accounts(mut self, accounts: Range<u64>) -> Source {
        self.accounts = accounts;
        self
    }
}

/// What a request needs a token for.
#[derive(Clone, Copy, Debug)]
struct Need {
    class: RequestClass,
    /// `None` for a request of a [`Source`], which isn't repeated.
    call: Option<Call>,
}

impl Need {
    /// Whether it may wait for a reserved token.
    fn is_reserving(&self) -> bool {
        self.class == RequestClass::Running && self.call.is_some()
    }

    fn take(&self, stock: &mut Stock, account: u64, now_ms: u64) -> Take {
        match self.is_reserving() {
            true => stock.take_or_reserve(account, now_ms),
            false => stock.take(account, self.class, now_ms),
        }
    }

    fn begin_wait(&self, stock: &mut Stock, account: u64) {
        match self.is_reserving() {
            true => stock.begin_reserving_wait(account),
            false => stock.begin_wait(account, self.class),
        }
    }

    fn end_wait(&self, stock: &mut Stock, account: u64) {
        match self.is_reserving() {
            true => stock.end_reserving_wait(account),
            false => stock.end_wait(account, self.class),
        }
    }
}

/// One try of a call of a program.
#[derive(Clone, Copy, Debug)]
struct Call {
    program: usize,
    tries_left: u32,
    sent_ms: u64,
}

/// Programs of an account that begin at random.
#[derive(Clone, Debug)]
pub(crate) struct ProgramSource {
    pub(crate) account: u64,
    pub(crate) requests_per_s: f64,
    /// Requests of a program.
    pub(crate) requests: Range<usize>,
    /// Largest number of requests that a program sends at once.
    pub(crate) at_once: usize,
    /// Duration of a program that isn't refused.
    pub(crate) duration_ms: Range<u64>,
}

impl ProgramSource {
    fn programs_per_s(&self) -> f64 {
        let mean = (self.requests.start + self.requests.end - 1) as f64 / 2.0;
        self.requests_per_s / mean
    }
}

/// Program in progress or ended.
#[derive(Debug)]
struct Program {
    account: u64,
    began_ms: u64,
    /// Sizes of the groups of requests that are still to be sent, the last one first. A
    /// group is sent when the one before it has its tokens.
    groups: Vec<usize>,
    /// Time between two groups.
    pause_ms: u64,
    /// Requests of the present group without a token.
    open: usize,
    end: Option<ProgramEnd>,
}

/// How a program ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProgramEnd {
    Completed {
        at_ms: u64,
    },
    /// One of its requests was refused at each try.
    Lost {
        class: RequestClass,
        at_ms: u64,
        /// Requests of the account that arrived in the last window.
        used: usize,
        /// Whether these are as many as rate and burst allow.
        by_limit: bool,
    },
}

/// Counts of programs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProgramCounts {
    pub(crate) begun: usize,
    pub(crate) completed: usize,
    /// Lost although the account was below what rate and burst allow in a window.
    pub(crate) lost: usize,
    /// Those of `lost` that had begun.
    pub(crate) lost_running: usize,
    pub(crate) lost_by_limit: usize,
    /// Refusals that callers saw.
    pub(crate) refusals: usize,
    /// Requests that were refused after they had waited at a VM.
    pub(crate) refused_after_wait: usize,
}

/// Request of a VM for tokens that is in flight.
#[derive(Debug)]
struct Flight {
    id: u64,
    demand: QuotaDemand,
    /// Requests that may wait for a reserved token.
    reserving: u32,
    asked_ms: u64,
    waiting: Vec<Need>,
    /// Grantors that were not asked yet.
    left: Vec<usize>,
    grantor: usize,
}

/// Request for tokens that waits at its grantor for transfers.
#[derive(Clone, Debug)]
struct Pending {
    account: u64,
    terms: QuotaTerms,
    role: GrantorRole,
    grant: Grant,
    missing: QuotaDemand,
    demand: QuotaDemand,
    /// Requests that may wait for a reserved token, of those without one.
    reserving: u32,
    replies_left: usize,
    /// Domains that were not asked yet.
    domains_left: Vec<usize>,
    asked_ms: u64,
    /// Asking VM and its flight.
    reply_to: (usize, u64),
}

struct Vm {
    domain: usize,
    grantor: Grantor,
    stock: Stock,
    reachability: Reachability,
    backoff_until_ms: FastMap<usize, u64>,
    /// Probes without a reply.
    probes: FastSet<u64>,
    flights: FastMap<u64, Flight>,
    pending: FastMap<u64, Pending>,
    known: Vec<usize>,
    /// Equal for VMs that have read the same list.
    list: u64,
    terms: FastMap<u64, QuotaTerms>,
    is_gone: bool,
    is_killed: bool,
    /// Events for it are handled after this time.
    frozen_until_ms: u64,
    incarnation: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Tick,
    Start,
    Read {
        changed: usize,
        is_listed: bool,
    },
    ReadTerms(u64, QuotaTerms),
    /// The request sends its attempt now, if its token is still usable.
    Send {
        account: u64,
        need: Need,
        expires_ms: u64,
    },
    /// A caller calls again.
    Retry {
        account: u64,
        need: Need,
    },
    /// A program sends its next group of requests.
    Group {
        program: usize,
    },
    Request {
        from: usize,
        flight: u64,
        account: u64,
        terms: QuotaTerms,
        demand: QuotaDemand,
        returned: u32,
        reserving: u32,
    },
    Reply {
        from: usize,
        flight: u64,
        account: u64,
        reservation: Reservation,
    },
    RequestTimeout {
        flight: u64,
        account: u64,
    },
    Transfer {
        from: usize,
        pending: u64,
        account: u64,
        terms: QuotaTerms,
        tokens: u32,
        asked_ms: u64,
    },
    Transferred {
        pending: u64,
        account: u64,
        tokens: u32,
        asked_ms: u64,
    },
    TransferTimeout {
        pending: u64,
    },
    Probe {
        from: usize,
        probe: u64,
    },
    ProbeReply {
        from: usize,
        probe: u64,
    },
    ProbeTimeout {
        to: usize,
        probe: u64,
    },
}

/// Event in the order of time.
struct Due {
    at_ms: u64,
    number: u64,
    vm: usize,
    incarnation: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.number == other.number
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        Reverse((self.at_ms, self.number)).cmp(&Reverse((other.at_ms, other.number)))
    }
}

pub(crate) struct Simulation {
    now_ms: u64,
    number: u64,
    vms: Vec<Vm>,
    queue: BinaryHeap<Due>,
    random: Pcg64Mcg,
    sources: Vec<Source>,
    program_sources: Vec<ProgramSource>,
    programs: Vec<Program>,
    caller_refusals: usize,
    refused_after_wait: usize,
    quotas: FastMap<u64, QuotaTerms>,
    cut: Option<(usize, u64)>,
    cut_vms: Vec<(usize, u64)>,
    loss: f64,
    hold_ms: Range<u64>,
    /// Arrivals at targets, by account: time and domain of the sending VM.
    arrivals: FastMap<u64, Vec<(u64, usize)>>,
    refusals: FastMap<u64, Vec<(u64, RequestClass)>>,
    messages: u64,
    kinds: FastMap<&'static str, u64>,
    /// Orders of grantors by list, account and domain.
    orders: FastMap<(u64, u64, usize), Vec<usize>>,
}

impl Simulation {
    pub(crate) fn new(domains: usize, vms: usize, seed: u64) -> Simulation {
        let mut simulation = Simulation {
            now_ms: 0,
            number: 0,
            vms: Vec::new(),
            queue: BinaryHeap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            sources: Vec::new(),
            program_sources: Vec::new(),
            programs: Vec::new(),
            caller_refusals: 0,
            refused_after_wait: 0,
            quotas: FastMap::default(),
            cut: None,
            cut_vms: Vec::new(),
            loss: 0.0,
            hold_ms: 0..20,
            arrivals: FastMap::default(),
            refusals: FastMap::default(),
            messages: 0,
            kinds: FastMap::default(),
            orders: FastMap::default(),
        };
        for vm in 0..vms {
            let state = simulation.new_vm(vm % domains, (0..vms).collect());
            simulation.vms.push(state);
            let phase_ms = simulation.random.random_range(1..TICK_MS);
            simulation.schedule(vm, phase_ms, Event::Tick);
        }
        for vm in 0..vms {
            simulation.vms[vm].grantor.record_list_change(domains, 0);
        }
        simulation
    }

    fn new_vm(&self, domain: usize, known: Vec<usize>) -> Vm {
        Vm {
            domain,
            grantor: Grantor::new(TTL_MS, SLACK, self.now_ms).with_window(WINDOW_MS as f64 / 1e3),
            stock: Stock::new(TTL_MS),
            reachability: Reachability::default(),
            backoff_until_ms: FastMap::default(),
            probes: FastSet::default(),
            flights: FastMap::default(),
            pending: FastMap::default(),
            known,
            list: 0,
            terms: self.quotas.clone(),
            is_gone: false,
            is_killed: false,
            frozen_until_ms: 0,
            incarnation: 0,
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.now_ms
    }

    pub(crate) fn messages(&self) -> u64 {
        self.messages
    }

    /// Messages by kind.
    pub(crate) fn kinds(&self) -> &FastMap<&'static str, u64> {
        &self.kinds
    }

    pub(crate) fn set_quota(&mut self, account: u64, quota: Quota) {
        let terms = QuotaTerms::new(1, quota);
        self.quotas.insert(account, terms);
        for vm in &mut self.vms {
            vm.terms.insert(account, terms);
        }
    }

    /// Changes a quota, which VMs read within [`MAX_READ_MS`]; returns the time at which
    /// it is in force at all of them.
    pub(crate) fn change_quota(&mut self, account: u64, quota: Quota) -> u64 {
        let terms = QuotaTerms::new(2, quota);
        self.quotas.insert(account, terms);
        for vm in 0..self.vms.len() {
            let read_ms = self.random.random_range(0..MAX_READ_MS);
            self.schedule(vm, read_ms, Event::ReadTerms(account, terms));
        }
        self.now_ms + MAX_READ_MS
    }

    pub(crate) fn add_source(&mut self, source: Source) {
        self.sources.push(source);
    }

    pub(crate) fn add_programs(&mut self, source: ProgramSource) {
        self.program_sources.push(source);
    }

    /// Counts of the programs that began in this time.
    pub(crate) fn program_counts(&self, from_ms: u64, until_ms: u64) -> ProgramCounts {
        let mut counts = ProgramCounts {
            refusals: self.caller_refusals,
            refused_after_wait: self.refused_after_wait,
            ..ProgramCounts::default()
        };
        let is_counted = |program: &&Program| (from_ms..until_ms).contains(&program.began_ms);
        for program in self.programs.iter().filter(is_counted) {
            counts.begun += 1;
            match program.end {
                Some(ProgramEnd::Completed { .. }) => counts.completed += 1,
                Some(ProgramEnd::Lost { by_limit: true, .. }) => counts.lost_by_limit += 1,
                Some(ProgramEnd::Lost { class, .. }) => {
                    counts.lost += 1;
                    counts.lost_running += usize::from(class == RequestClass::Running);
                }
                None => {}
            }
        }
        counts
    }

    /// Quantile of the durations of completed programs.
    pub(crate) fn program_duration_ms(&self, quantile: f64) -> u64 {
        let mut durations: Vec<u64> = self
            .programs
            .iter()
            .filter_map(|program| match program.end {
                Some(ProgramEnd::Completed { at_ms }) => Some(at_ms - program.began_ms),
                _ => None,
            })
            .collect();
        durations.sort_unstable();
        let index = (durations.len() as f64 * quantile) as usize;
        durations.get(index).copied().unwrap_or_default()
    }

    pub(crate) fn set_loss(&mut self, loss: f64) {
        self.loss = loss;
    }

    pub(crate) fn set_hold_ms(&mut self, hold_ms: Range<u64>) {
        self.hold_ms = hold_ms;
    }

    pub(crate) fn vms_of_domain(&self, domain: usize) -> Vec<usize> {
        let vms = 0..self.vms.len();
        vms.filter(|vm| self.vms[*vm].domain == domain).collect()
    }

    pub(crate) fn first_grantor(&self, account: u64, domain: usize) -> usize {
        let listed = self.vms_of_domain(domain);
        let listed: Vec<usize> = listed
            .into_iter()
            .filter(|vm| !self.vms[*vm].is_gone)
            .collect();
        order(account, &listed)[0]
    }

    pub(crate) fn first_grantors(&self, account: u64) -> Vec<usize> {
        let domains = self
            .vms
            .iter()
            .map(|vm| vm.domain)
            .max()
            .map_or(0, |max| max + 1);
        (0..domains)
            .map(|domain| self.first_grantor(account, domain))
            .collect()
    }

    pub(crate) fn apply(&mut self, fault: Fault) {
        let now_ms = self.now_ms;
        println!("{now_ms} ms: {fault:?}");
        match fault {
            Fault::Kill { vm, for_ms } => {
                self.vms[vm].is_killed = true;
                self.vms[vm].incarnation += 1;
                self.schedule(vm, for_ms, Event::Start);
            }
            Fault::Freeze { vm, for_ms } => self.vms[vm].frozen_until_ms = now_ms + for_ms,
            Fault::Join { domain } => {
                let joined = self.vms.len();
                let listed = (0..joined).filter(|vm| !self.vms[*vm].is_gone);
                let known = listed.chain([joined]).collect();
                let mut state = self.new_vm(domain, known);
                let domains = self
                    .vms
                    .iter()
                    .map(|vm| vm.domain)
                    .max()
                    .map_or(1, |max| max + 1);
                state.grantor.record_list_change(domains, now_ms);
                self.number += 1;
                state.list = self.number;
                self.vms.push(state);
                self.schedule(joined, 1, Event::Tick);
                self.announce(joined, true);
            }
            Fault::Leave { vm } => {
                self.vms[vm].is_gone = true;
                self.announce(vm, false);
            }
            Fault::CutVm { vm, for_ms } => self.cut_vms.push((vm, now_ms + for_ms)),
            Fault::CutDomain { domain, for_ms } => self.cut = Some((domain, now_ms + for_ms)),
        }
    }

    fn announce(&mut self, changed: usize, is_listed: bool) {
        for vm in 0..self.vms.len() {
            if vm != changed {
                let read_ms = self.random.random_range(0..MAX_READ_MS);
                self.schedule(vm, read_ms, Event::Read { changed, is_listed });
            }
        }
    }

    fn schedule(&mut self, vm: usize, in_ms: u64, event: Event) {
        self.number += 1;
        self.queue.push(Due {
            at_ms: self.now_ms + in_ms,
            number: self.number,
            vm,
            incarnation: self.vms[vm].incarnation,
            event,
        });
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_cut = |vm: usize| {
            let mut cuts = self.cut_vms.iter();
            cuts.any(|(cut, until_ms)| *cut == vm && self.now_ms < *until_ms)
        };
        if from != to && (is_cut(from) || is_cut(to)) {
            return false;
        }
        self.cut.is_none_or(|(domain, until_ms)| {
            let is_inside = |vm: usize| self.vms[vm].domain == domain;
            self.now_ms >= until_ms || is_inside(from) == is_inside(to)
        })
    }

    /// Sends a message, which arrives unless it is lost.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        if from == to {
            self.handle(to, event);
            return;
        }
        self.messages += 1;
        let kind = match &event {
            Event::Request { .. } => "request",
            Event::Reply { .. } => "reply",
            Event::Transfer { .. } => "transfer",
            Event::Transferred { .. } => "transfer reply",
            _ => "probe",
        };
        *self.kinds.entry(kind).or_default() += 1;
        let is_lost = self.random.random::<f64>() < self.loss;
        if is_lost || !self.reaches(from, to) || self.vms[to].is_killed || self.vms[to].is_gone {
            return;
        }
        let latency_ms = match self.vms[from].domain == self.vms[to].domain {
            true => self.random.random_range(1..4),
            false => self.random.random_range(2..9),
        };
        self.schedule(to, latency_ms, event);
    }

    /// Runs for this time.
    pub(crate) fn run(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += 1;
            while self
                .queue
                .peek()
                .is_some_and(|due| due.at_ms <= self.now_ms)
            {
                let Some(mut due) = self.queue.pop() else {
                    break;
                };
                let vm = &self.vms[due.vm];
                if matches!(due.event, Event::Retry { .. } | Event::Group { .. }) {
                    self.handle(due.vm, due.event);
                    continue;
                }
                let is_start = matches!(due.event, Event::Start);
                if vm.is_gone || due.incarnation != vm.incarnation && !is_start {
                    continue;
                }
                if self.now_ms < vm.frozen_until_ms {
                    due.at_ms = vm.frozen_until_ms;
                    self.queue.push(due);
                    continue;
                }
                self.handle(due.vm, due.event);
            }
            for index in 0..self.sources.len() {
                let source = &self.sources[index];
                if self.now_ms >= source.until_ms {
                    continue;
                }
                let expected = source.per_s / 1e3;
                let mut requests = expected.trunc() as usize;
                requests += usize::from(self.random.random::<f64>() < expected.fract());
                for _ in 0..requests {
                    self.arrive(index);
                }
            }
            for index in 0..self.program_sources.len() {
                let expected = self.program_sources[index].programs_per_s() / 1e3;
                if self.random.random::<f64>() < expected {
                    self.begin_program(index);
                }
            }
        }
    }

    /// A VM that callers reach; `None` if there is none.
    fn random_vm(&mut self) -> Option<usize> {
        let vms = 0..self.vms.len();
        let is_up = |vm: &usize| !self.vms[*vm].is_gone && !self.vms[*vm].is_killed;
        let up: Vec<usize> = vms.filter(is_up).collect();
        let index = self.random.random_range(0..up.len().max(1));
        up.get(index).copied()
    }

    /// Schedules an event of a caller, which outlives each VM.
    fn schedule_at_caller(&mut self, in_ms: u64, event: Event) {
        self.schedule(0, in_ms, event);
    }

    fn begin_program(&mut self, source: usize) {
        let source = self.program_sources[source].clone();
        let mut left = self.random.random_range(source.requests.clone());
        let mut groups = Vec::new();
        while left > 1 {
            let most = source.at_once.min(left - 1);
            // Most groups are small, some have the largest number of requests.
            let group = match self.random.random_range(0..5) {
                0 => most,
                _ => self.random.random_range(1..=most.min(4)),
            };
            groups.push(group);
            left -= group;
        }
        let duration_ms = self.random.random_range(source.duration_ms.clone());
        let pause_ms = duration_ms / groups.len() as u64;
        groups.push(1);
        self.programs.push(Program {
            account: source.account,
            began_ms: self.now_ms,
            groups,
            pause_ms,
            open: 0,
            end: None,
        });
        let program = self.programs.len() - 1;
        self.send_group(program);
    }

    fn send_group(&mut self, program: usize) {
        let state = &mut self.programs[program];
        if state.end.is_some() {
            return;
        }
        let Some(requests) = state.groups.pop() else {
            state.end = Some(ProgramEnd::Completed { at_ms: self.now_ms });
            return;
        };
        state.open = requests;
        let account = state.account;
        let class = match state.began_ms == self.now_ms {
            true => RequestClass::NewProgram,
            false => RequestClass::Running,
        };
        for _ in 0..requests {
            let call = Call {
                program,
                tries_left: TRIES,
                sent_ms: 0,
            };
            let need = Need {
                class,
                call: Some(call),
            };
            self.call(account, need);
        }
    }

    /// A caller sends a request through any VM.
    fn call(&mut self, account: u64, mut need: Need) {
        let Some(vm) = self.random_vm() else {
            let retry = Event::Retry { account, need };
            self.schedule_at_caller(NO_GRANTOR_RETRY_MS, retry);
            return;
        };
        let now_ms = self.now_ms;
        if let Some(call) = &mut need.call {
            call.tries_left -= 1;
            call.sent_ms = now_ms;
        }
        let stock = &mut self.vms[vm].stock;
        stock.record_need(account, need.class, now_ms);
        self.need(vm, account, need);
    }

    /// A request is refused: its caller calls again, or its program is lost.
    fn refuse(&mut self, account: u64, need: Need, retry_ms: u64) {
        let now_ms = self.now_ms;
        let Some(call) = need.call else {
            let refusals = self.refusals.entry(account).or_default();
            refusals.push((now_ms, need.class));
            return;
        };
        if self.programs[call.program].end.is_some() {
            return;
        }
        let retry_ms = retry_ms + 1 + self.random.random_range(RETRY_SPREAD_MS);
        self.caller_refusals += 1;
        let has_waited = now_ms > call.sent_ms + 2 * REPLY_TIMEOUT_MS;
        self.refused_after_wait += usize::from(has_waited);
        if call.tries_left > 0 {
            self.schedule_at_caller(retry_ms, Event::Retry { account, need });
            return;
        }
        let terms = self.quotas[&account];
        let allowed = terms.rate_per_s * WINDOW_MS as f64 / 1e3 + terms.burst;
        let used = self.used(account, now_ms.saturating_sub(WINDOW_MS), now_ms + 1);
        self.programs[call.program].end = Some(ProgramEnd::Lost {
            class: need.class,
            at_ms: now_ms,
            used: used as usize,
            by_limit: used + 1.0 > allowed,
        });
    }

    /// Programs that were lost: account, class, time, and the requests in the window.
    pub(crate) fn print_lost(&self) {
        for program in &self.programs {
            if let Some(ProgramEnd::Lost { .. }) = program.end {
                let terms = self.quotas[&program.account];
                println!("rate {}: {:?}", terms.rate_per_s, program);
            }
        }
    }

    fn arrive(&mut self, source: usize) {
        let source = &self.sources[source];
        let account = self.random.random_range(source.accounts.clone());
        let vm = match &source.vms {
            Some(vms) => vms[self.random.random_range(0..vms.len())],
            None => self.random.random_range(0..self.vms.len()),
        };
        let state = &self.vms[vm];
        if state.is_gone || state.is_killed || self.now_ms < state.frozen_until_ms {
            return;
        }
        // A seventh of the requests begin programs.
        let class = match self.random.random_range(0..7) {
            0 => RequestClass::NewProgram,
            _ => RequestClass::Running,
        };
        let now_ms = self.now_ms;
        self.vms[vm].stock.record_need(account, class, now_ms);
        self.need(vm, account, Need { class, call: None });
    }

    fn need(&mut self, vm: usize, account: u64, need: Need) {
        let now_ms = self.now_ms;
        let state = &mut self.vms[vm];
        match need.take(&mut state.stock, account, now_ms) {
            Take::Token { expires_ms } => self.hold(vm, account, need, expires_ms),
            Take::Reserved {
                usable_ms,
                expires_ms,
            } => {
                let send = Event::Send {
                    account,
                    need,
                    expires_ms,
                };
                self.schedule(vm, usable_ms - now_ms, send);
            }
            Take::Refused { retry_ms } => self.refuse(account, need, retry_ms),
            Take::Ask => {
                need.begin_wait(&mut state.stock, account);
                if let Some(flight) = state.flights.get_mut(&account) {
                    flight.waiting.push(need);
                    return;
                }
                self.ask(vm, account, vec![need]);
            }
        }
    }

    fn hold(&mut self, vm: usize, account: u64, need: Need, expires_ms: u64) {
        let hold_ms = self.random.random_range(self.hold_ms.clone());
        self.schedule(
            vm,
            hold_ms,
            Event::Send {
                account,
                need,
                expires_ms,
            },
        );
    }

    fn order(&mut self, vm: usize, account: u64, domain: usize) -> Vec<usize> {
        let in_domain: Vec<usize> = match self.orders.get(&(self.vms[vm].list, account, domain)) {
            Some(order) => return order.clone(),
            None => {
                let known = self.vms[vm].known.iter().copied();
                known
                    .filter(|known| self.vms[*known].domain == domain)
                    .collect()
            }
        };
        let order = order(account, &in_domain);
        let list = self.vms[vm].list;
        self.orders.insert((list, account, domain), order.clone());
        order
    }

    fn is_backed_off(&self, vm: usize, other: usize) -> bool {
        let until_ms = self.vms[vm].backoff_until_ms.get(&other);
        until_ms.is_some_and(|until_ms| self.now_ms < *until_ms)
    }

    fn ask(&mut self, vm: usize, account: u64, waiting: Vec<Need>) {
        let now_ms = self.now_ms;
        self.number += 1;
        let domain = self.vms[vm].domain;
        let mut left = self.order(vm, account, domain);
        left.retain(|other| !self.is_backed_off(vm, *other));
        left.reverse();
        let state = &mut self.vms[vm];
        let returned = state.stock.take_returned(account, now_ms);
        let demand = state.stock.demand(account, now_ms);
        let flight = Flight {
            id: self.number,
            demand,
            reserving: state.stock.reserving(account),
            asked_ms: now_ms,
            waiting,
            left,
            grantor: vm,
        };
        state.flights.insert(account, flight);
        self.ask_next(vm, account, returned);
    }

    fn ask_next(&mut self, vm: usize, account: u64, returned: u32) {
        let terms = self.vms[vm].terms[&account];
        let now_ms = self.now_ms;
        let Some(flight) = self.vms[vm].flights.get_mut(&account) else {
            return;
        };
        let Some(grantor) = flight.left.pop() else {
            let flight = self.vms[vm].flights.remove(&account).expect("in flight");
            for need in flight.waiting {
                need.end_wait(&mut self.vms[vm].stock, account);
                self.refuse(account, need, NO_GRANTOR_RETRY_MS);
            }
            return;
        };
        flight.grantor = grantor;
        flight.asked_ms = now_ms;
        let (id, demand, reserving) = (flight.id, flight.demand, flight.reserving);
        self.schedule(
            vm,
            REPLY_TIMEOUT_MS,
            Event::RequestTimeout {
                flight: id,
                account,
            },
        );
        let request = Event::Request {
            from: vm,
            flight: id,
            account,
            terms,
            demand,
            returned,
            reserving,
        };
        self.send(vm, grantor, request);
    }

    fn role(&mut self, vm: usize, account: u64) -> Option<GrantorRole> {
        let domain = self.vms[vm].domain;
        let order = self.order(vm, account, domain);
        let position = order.iter().position(|other| *other == vm)?;
        let now_ms = self.now_ms;
        let to_probe = self.vms[vm].reachability.to_probe(&order, position, now_ms);
        for before in to_probe {
            let reachability = &mut self.vms[vm].reachability;
            if reachability.begin_probe(&name(*before), now_ms) {
                self.number += 1;
                let probe = self.number;
                self.vms[vm].probes.insert(probe);
                let timeout = Event::ProbeTimeout { to: *before, probe };
                self.schedule(vm, PROBE_TIMEOUT_MS, timeout);
                self.send(vm, *before, Event::Probe { from: vm, probe });
            }
        }
        let order: Vec<String> = order.iter().map(|vm| name(*vm)).collect();
        self.vms[vm].reachability.role(&order, position, now_ms)
    }

    fn handle(&mut self, vm: usize, event: Event) {
        let now_ms = self.now_ms;
        match event {
            Event::Tick => {
                let state = &mut self.vms[vm];
                state.grantor.observe_time(now_ms);
                state.stock.remove_idle(now_ms);
                state.grantor.remove_idle(now_ms);
                state.reachability.remove_old(now_ms);
                self.schedule(vm, TICK_MS, Event::Tick);
            }
            Event::Start => {
                let known = (0..self.vms.len()).filter(|vm| !self.vms[*vm].is_gone);
                let mut state = self.new_vm(self.vms[vm].domain, known.collect());
                let domains = self
                    .vms
                    .iter()
                    .map(|vm| vm.domain)
                    .max()
                    .map_or(1, |max| max + 1);
                state.grantor.record_list_change(domains, now_ms);
                state.incarnation = self.vms[vm].incarnation;
                self.number += 1;
                state.list = self.number;
                self.vms[vm] = state;
                self.schedule(vm, 1, Event::Tick);
            }
            Event::Read { changed, is_listed } => {
                let state = &mut self.vms[vm];
                state.known.retain(|known| *known != changed);
                if is_listed {
                    state.known.push(changed);
                }
                self.number += 1;
                state.list = self.number;
                let known = self.vms[vm].known.clone();
                let mut domains: Vec<usize> = known.iter().map(|vm| self.vms[*vm].domain).collect();
                domains.sort_unstable();
                domains.dedup();
                self.vms[vm]
                    .grantor
                    .record_list_change(domains.len(), now_ms);
            }
            Event::ReadTerms(account, terms) => {
                self.vms[vm].terms.insert(account, terms);
            }
            Event::Retry { account, need } => {
                let call = need.call.expect("of a program");
                if self.programs[call.program].end.is_some() {
                    return;
                }
                self.call(account, need);
            }
            Event::Group { program } => self.send_group(program),
            Event::Send {
                account,
                need,
                expires_ms,
            } => {
                if now_ms < expires_ms {
                    let travel_ms = self.random.random_range(1..10);
                    let domain = self.vms[vm].domain;
                    let arrivals = self.arrivals.entry(account).or_default();
                    arrivals.push((now_ms + travel_ms, domain));
                    if let Some(call) = need.call {
                        let program = &mut self.programs[call.program];
                        program.open -= 1;
                        let (is_group_served, pause_ms) = (program.open == 0, program.pause_ms);
                        if is_group_served {
                            let program = call.program;
                            self.schedule_at_caller(pause_ms, Event::Group { program });
                        }
                    }
                } else if self.hold_ms.end < TTL_MS {
                    self.need(vm, account, need);
                }
            }
            Event::Request {
                from,
                flight,
                account,
                terms,
                demand,
                returned,
                reserving,
            } => {
                let request = (demand, returned, reserving);
                self.decide(vm, (from, flight), account, terms, request);
            }
            Event::Reply {
                from,
                flight,
                account,
                reservation,
            } => {
                let is_current = |known: &&mut Flight| known.id == flight && known.grantor == from;
                let known = self.vms[vm].flights.get_mut(&account).filter(is_current);
                if known.is_none() {
                    return;
                }
                if reservation.decision == QuotaDecision::NotGrantor {
                    self.ask_next(vm, account, 0);
                    return;
                }
                let flight = self.vms[vm].flights.remove(&account).expect("in flight");
                let stock = &mut self.vms[vm].stock;
                stock.add_reservation(account, reservation, flight.asked_ms, now_ms);
                for need in &flight.waiting {
                    need.end_wait(&mut self.vms[vm].stock, account);
                }
                for need in flight.waiting {
                    self.need(vm, account, need);
                }
            }
            Event::RequestTimeout { flight, account } => {
                let known = self.vms[vm].flights.get(&account);
                let Some(known) = known.filter(|known| {
                    known.id == flight && now_ms >= known.asked_ms + REPLY_TIMEOUT_MS
                }) else {
                    return;
                };
                let grantor = known.grantor;
                let until_ms = now_ms + BACKOFF_MS;
                self.vms[vm].backoff_until_ms.insert(grantor, until_ms);
                self.ask_next(vm, account, 0);
            }
            Event::Transfer {
                from,
                pending,
                account,
                terms,
                tokens,
                asked_ms,
            } => {
                let role = self.role(vm, account);
                let grantor = &mut self.vms[vm].grantor;
                let tokens = role.map_or(0, |role| {
                    grantor.donate(account, terms, role, tokens, now_ms)
                });
                let reply = Event::Transferred {
                    pending,
                    account,
                    tokens,
                    asked_ms,
                };
                self.send(vm, from, reply);
            }
            Event::Transferred {
                pending,
                account,
                tokens,
                asked_ms,
            } => {
                let grantor = &mut self.vms[vm].grantor;
                grantor.add_transferred(account, tokens, asked_ms, now_ms);
                let state = &mut self.vms[vm];
                if let Some(waiting) = state.pending.get_mut(&pending) {
                    waiting.replies_left -= 1;
                    if waiting.replies_left == 0 {
                        let missing = state.grantor.missing_tokens(account, waiting.missing);
                        self.ask_domains(vm, pending, missing);
                    }
                }
            }
            Event::TransferTimeout { pending } => self.finish(vm, pending),
            Event::Probe { from, probe } => {
                self.send(vm, from, Event::ProbeReply { from: vm, probe });
            }
            Event::ProbeReply { from, probe } => {
                let state = &mut self.vms[vm];
                if state.probes.remove(&probe) {
                    state.reachability.record_reply(&name(from), now_ms);
                }
            }
            Event::ProbeTimeout { to, probe } => {
                let state = &mut self.vms[vm];
                if state.probes.remove(&probe) {
                    state.reachability.record_no_reply(&name(to), now_ms);
                }
            }
        }
    }

    fn decide(
        &mut self,
        vm: usize,
        reply_to: (usize, u64),
        account: u64,
        terms: QuotaTerms,
        (demand, returned, reserving): (QuotaDemand, u32, u32),
    ) {
        let now_ms = self.now_ms;
        if reply_to.0 != vm {
            self.vms[vm].reachability.record_request(now_ms);
        }
        let Some(role) = self.role(vm, account) else {
            let (from, flight) = reply_to;
            let reservation = QuotaDecision::NotGrantor.into();
            self.send(
                vm,
                from,
                Event::Reply {
                    from: vm,
                    flight,
                    account,
                    reservation,
                },
            );
            return;
        };
        let grantor = &mut self.vms[vm].grantor;
        let decision = grantor.decide(account, terms, role, demand, returned, now_ms);
        let QuotaDecision::Granted(grant) = decision else {
            panic!("terms are valid");
        };
        let missing = QuotaDemand {
            running: demand.running - grant.running,
            new_programs: demand.new_programs - grant.new_programs,
        };
        self.number += 1;
        let id = self.number;
        let shortage = grantor.shortage(account, role, missing, now_ms);
        let mut pending = Pending {
            account,
            terms,
            role,
            grant,
            missing,
            reserving,
            demand,
            replies_left: 0,
            domains_left: Vec::new(),
            asked_ms: now_ms,
            reply_to,
        };
        let Some(shortage) = shortage else {
            self.vms[vm].pending.insert(id, pending);
            self.finish(vm, id);
            return;
        };
        let own_domain = self.vms[vm].domain;
        let domains = self
            .vms
            .iter()
            .map(|vm| vm.domain)
            .max()
            .map_or(0, |max| max + 1);
        pending.domains_left = (0..domains)
            .filter(|domain| *domain != own_domain)
            .collect();
        let first = self.random.random_range(0..pending.domains_left.len());
        pending.domains_left.rotate_left(first);
        self.vms[vm].pending.insert(id, pending);
        self.schedule(
            vm,
            TRANSFER_TIMEOUT_MS,
            Event::TransferTimeout { pending: id },
        );
        self.ask_domains(vm, id, shortage.tokens);
    }

    /// Asks as many domains as there are tokens missing; finishes if there is none left.
    fn ask_domains(&mut self, vm: usize, id: u64, tokens: u32) {
        let Some(pending) = self.vms[vm].pending.get_mut(&id) else {
            return;
        };
        let count = pending.domains_left.len().min(tokens as usize);
        if count == 0 {
            self.finish(vm, id);
            return;
        }
        let domains: Vec<usize> = pending.domains_left.drain(..count).collect();
        pending.replies_left = count;
        let (account, terms, asked_ms) = (pending.account, pending.terms, pending.asked_ms);
        for domain in domains {
            let Some(donor) = self.order(vm, account, domain).first().copied() else {
                continue;
            };
            let transfer = Event::Transfer {
                from: vm,
                pending: id,
                account,
                terms,
                tokens: tokens.div_ceil(count as u32),
                asked_ms,
            };
            self.send(vm, donor, transfer);
        }
    }

    fn finish(&mut self, vm: usize, pending: u64) {
        let now_ms = self.now_ms;
        let Some(pending) = self.vms[vm].pending.remove(&pending) else {
            return;
        };
        let Pending {
            account,
            terms,
            role,
            missing,
            reserving,
            mut grant,
            demand,
            ..
        } = pending;
        if missing.total() > 0 {
            let grantor = &mut self.vms[vm].grantor;
            let decision = grantor.grant(account, terms, role, missing, now_ms);
            let QuotaDecision::Granted(more) = decision else {
                panic!("terms are valid");
            };
            grant.running += more.running;
            grant.new_programs += more.new_programs;
            grant.retry_ms = more.retry_ms;
        }
        let (from, flight) = pending.reply_to;
        let grantor = &mut self.vms[vm].grantor;
        let waiting = reserving.saturating_sub(grant.running);
        let reserved = grantor.reserve(account, terms, role, waiting, now_ms);
        let refused = QuotaDemand {
            running: waiting - reserved.tokens,
            new_programs: demand.new_programs - grant.new_programs,
        };
        let [running_retry_ms, new_retry_ms] = grantor.retry_ms(account, refused, now_ms);
        let reservation = Reservation {
            decision: QuotaDecision::Granted(grant),
            reserved,
            running_retry_ms,
            new_retry_ms,
        };
        self.send(
            vm,
            from,
            Event::Reply {
                from: vm,
                flight,
                account,
                reservation,
            },
        );
    }

    /// Requests that arrived at targets in this time.
    pub(crate) fn used(&self, account: u64, from_ms: u64, until_ms: u64) -> f64 {
        let arrivals = self.arrivals.get(&account).into_iter().flatten();
        let used = arrivals.filter(|(at_ms, _)| (from_ms..until_ms).contains(at_ms));
        used.count() as f64
    }

    pub(crate) fn used_in_domain(
        &self,
        account: u64,
        domain: usize,
        from_ms: u64,
        until_ms: u64,
    ) -> f64 {
        let arrivals = self.arrivals.get(&account).into_iter().flatten();
        let is_in = |at_ms: &u64| (from_ms..until_ms).contains(at_ms);
        arrivals
            .filter(|(at_ms, of)| is_in(at_ms) && *of == domain)
            .count() as f64
    }

    pub(crate) fn refused(&self, account: u64, from_ms: u64) -> usize {
        let refusals = self.refusals.get(&account).into_iter().flatten();
        refusals.filter(|(at_ms, _)| *at_ms >= from_ms).count()
    }

    /// Refused requests of programs that have begun.
    pub(crate) fn refused_running(&self, account: u64, from_ms: u64) -> usize {
        let refusals = self.refusals.get(&account).into_iter().flatten();
        let is_running = |class: &RequestClass| *class == RequestClass::Running;
        let refused = refusals.filter(|(at_ms, class)| *at_ms >= from_ms && is_running(class));
        refused.count()
    }

    /// Checks the sums of all accounts in every sliding window.
    pub(crate) fn assert_within_quotas(&self) {
        for (account, terms) in &self.quotas {
            let quota = Quota {
                rate_per_s: terms.rate_per_s,
                burst: terms.burst,
            };
            self.assert_within(*account, quota, 0);
        }
    }

    /// Checks the sum of an account in every sliding window that begins at or after
    /// `from_ms`.
    pub(crate) fn assert_within(&self, account: u64, quota: Quota, from_ms: u64) {
        let arrivals = self.arrivals.get(&account).into_iter().flatten();
        let mut arrivals: Vec<u64> = arrivals.map(|(at_ms, _)| *at_ms).collect();
        arrivals.sort_unstable();
        arrivals.retain(|at_ms| *at_ms >= from_ms);
        let window_s = WINDOW_MS as f64 / 1e3;
        let allowed = (quota.rate_per_s * window_s + quota.burst) * (1.0 + EXCESS) + SLACK;
        let mut first = 0;
        let mut most = 0;
        let mut most_ms = 0;
        for (index, at_ms) in arrivals.iter().enumerate() {
            while arrivals[first] + WINDOW_MS <= *at_ms {
                first += 1;
            }
            if index + 1 - first > most {
                most = index + 1 - first;
                most_ms = *at_ms;
            }
        }
        if account == 42 || account == 0 {
            println!("account {account}: at most {most} of {allowed:.0}, until {most_ms} ms");
        }
        assert!(
            most as f64 <= allowed,
            "account {account}: {most} of {allowed}"
        );
    }
}

fn name(vm: usize) -> String {
    format!("vm-{vm}")
}

fn order(account: u64, vms: &[usize]) -> Vec<usize> {
    let names: Vec<(String, usize)> = vms.iter().map(|vm| (name(*vm), *vm)).collect();
    let ordered = grantor_order(account, names.iter().map(|(name, _)| &**name));
    let index = |found: &str| found["vm-".len()..].parse().expect("index");
    ordered.into_iter().map(index).collect()
}

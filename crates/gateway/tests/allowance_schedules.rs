//! Allowances in fleets of VMs, in virtual time: that callers of a program get its
//! budget and the maximum of one call at most, whichever VMs stop, end, start or are cut
//! off, in any order, alone or together, also all of them at once. Each mechanism that
//! this rests on is also switched off, which must break it.

use std::collections::BTreeMap;

use compact_str::{format_compact, CompactString};
use lagoon_gateway::{
    AllowanceRequest, AllowanceRow, AllowanceSettlement, Allowances, BudgetRow, BudgetSettings,
    ChargeDecision, ChargeRequest, Connectivity, DeferredCharge, Grant, PassedAllowance,
    ProgramBudgets, ProgramKey, Row, RowWrite, StoreError, StoreReply, WaiterId,
};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use yare::parameterized;

const DOMAINS: usize = 3;
const VMS: usize = 6;
const PROGRAMS: usize = 4;

const BUDGET_TOKENS: u64 = 300;
const MAX_CALL_TOKENS: u64 = 72;
/// Maximum number of tokens that a call expects; a grant is up to three times of it.
const MAX_EXPECTED_TOKENS: u64 = 24;
const RETENTION_MS: u64 = 60_000;

const TICK_MS: u64 = 50;
const END_MS: u64 = 30_000;

/// Share of the calls that use part of their grant only.
const SHORT_CALLS: f64 = 0.3;

/// Share of the messages between VMs, and of the replies of the store, that get lost.
const LOST: f64 = 0.1;

const SCHEDULES: u64 = 300;

/// Minimum number of requests, in all schedules, whose response shows whether the grants of
/// a received allowance that are charged go along when it is passed on.
const MIN_CHAINED_REQUESTS: usize = 20;

/// Which mechanisms are in force.
#[derive(Clone, Copy, Debug)]
struct Mechanisms {
    /// Only the incarnation that the program's row names grants.
    names_incarnation: bool,
    /// What the row charges beyond the budget counts.
    counts_overspent: bool,
    /// A row counts as complete only once all charges are confirmed.
    awaits_charges: bool,
    /// A VM that is stopping grants nothing.
    stops_granting: bool,
    /// A VM that is stopping says how much of an allowance is used.
    passes_used: bool,
    /// That includes what it granted of an allowance that it had received, also once that
    /// is charged.
    counts_charged: bool,
}

const ALL: Mechanisms = Mechanisms {
    names_incarnation: true,
    counts_overspent: true,
    awaits_charges: true,
    stops_granting: true,
    passes_used: true,
    counts_charged: true,
};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Up,
    Stopping { end_ms: u64 },
    Down { start_ms: u64 },
}

struct Vm {
    phase: Phase,
    incarnation: u32,
    budgets: ProgramBudgets,
    allowances: Allowances,
    next_waiter: u64,
    /// Reports of calls in flight: program, grant and tokens used.
    in_flight: Vec<(usize, AllowanceSettlement, usize)>,
    received: [Option<Received>; PROGRAMS],
}

/// What this VM knows of an allowance that it received.
#[derive(Clone, Copy, Debug)]
struct Received {
    used_tokens: u64,
    /// Tokens that it granted of it and charged since.
    charged_tokens: u64,
    /// VMs by which the allowance was passed on.
    hops: usize,
    /// Whether one of them granted and charged tokens of it.
    is_charged: bool,
}

impl Vm {
    fn new(index: usize, incarnation: u32) -> Vm {
        let writer = format_compact!("v{index}/{incarnation}");
        Vm {
            phase: Phase::Up,
            incarnation,
            budgets: ProgramBudgets::new(BudgetSettings::new(writer)),
            allowances: Allowances::default(),
            next_waiter: 1,
            in_flight: Vec::new(),
            received: [None; PROGRAMS],
        }
    }

    fn is_running(&self) -> bool {
        !matches!(self.phase, Phase::Down { .. })
    }
}

/// What happens at a time of a schedule.
#[derive(Clone, Debug)]
enum Event {
    Cut(usize),
    Heal(usize),
    LoseStore,
    RegainStore,
    /// From now on the store executes calls, and all its replies get lost.
    LoseReplies,
    RegainReplies,
    Stop(usize),
    Kill(Vec<usize>),
}

struct Fleet {
    mechanisms: Mechanisms,
    random: Pcg64Mcg,
    now_ms: u64,
    vms: Vec<Vm>,
    is_store_up: bool,
    are_replies_lost: bool,
    /// Domains that are cut off, from the others and from the store.
    cut: [bool; DOMAINS],
    store_version: u64,
    rows: BTreeMap<CompactString, (u64, Vec<u8>)>,
    spent: [u64; PROGRAMS],
    grants: usize,
    /// Grants by VMs that were stopping.
    late_grants: usize,
    /// Requests for allowances that were passed on twice or more, and of which a VM between
    /// charged tokens, to VMs that don't know the row.
    chained_requests: usize,
}

fn program_key(program: usize) -> ProgramKey {
    ProgramKey(format_compact!("p{program}"))
}

impl Fleet {
    fn new(seed: u64, mechanisms: Mechanisms) -> Fleet {
        Fleet {
            mechanisms,
            random: Pcg64Mcg::seed_from_u64(seed),
            now_ms: 0,
            vms: (0..VMS).map(|index| Vm::new(index, 0)).collect(),
            is_store_up: true,
            are_replies_lost: false,
            cut: [false; DOMAINS],
            store_version: 0,
            rows: BTreeMap::new(),
            spent: [0; PROGRAMS],
            grants: 0,
            late_grants: 0,
            chained_requests: 0,
        }
    }

    fn reaches_store(&self, vm: usize) -> bool {
        self.is_store_up && !self.cut[vm % DOMAINS]
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let domains = [from % DOMAINS, to % DOMAINS];
        let is_apart = domains[0] != domains[1] && domains.iter().any(|domain| self.cut[*domain]);
        self.vms[to].is_running() && !is_apart
    }

    /// Applies a conditional write; its reply may get lost.
    fn write(&mut self, write: &RowWrite) -> Result<StoreReply, StoreError> {
        let key = &write.key.key;
        let current = self.rows.get(key);
        let version = current.map_or(0, |(version, _)| *version);
        let reply = if version == write.expected_version {
            self.store_version += 1;
            let value = write.value.clone().expect("no row is deleted");
            self.rows.insert(key.clone(), (self.store_version, value));
            StoreReply::Applied {
                version: self.store_version,
            }
        } else {
            let row = current.map(|(version, value)| Row {
                key: write.key.clone(),
                value: Some(value.clone()),
                version: *version,
            });
            StoreReply::Conflict(row.into_iter().collect())
        };
        if self.are_replies_lost || self.random.random_bool(LOST) {
            return Err(StoreError::NoReply("lost".into()));
        }
        Ok(reply)
    }

    /// Writes what waits for a program until no write is due.
    fn write_queued(&mut self, vm: usize, program: &ProgramKey) -> Vec<(WaiterId, ChargeDecision)> {
        let mut decisions = Vec::new();
        for _ in 0..20 {
            let budgets = &mut self.vms[vm].budgets;
            let Some(next) = budgets.next_write(program, self.now_ms) else {
                break;
            };
            let reply = self.write(&next.write);
            let now_ms = self.now_ms;
            let budgets = &mut self.vms[vm].budgets;
            decisions.extend(budgets.on_write_reply(program, &reply, now_ms));
            if reply.is_err() {
                break;
            }
        }
        decisions
    }

    fn use_of(&mut self, granted_tokens: u64) -> u64 {
        match self.random.random_bool(SHORT_CALLS) {
            true => self.random.random_range(0..=granted_tokens),
            false => granted_tokens,
        }
    }

    fn charge(&mut self, vm: usize, program: usize) {
        let key = program_key(program);
        let waiter = WaiterId(self.vms[vm].next_waiter);
        self.vms[vm].next_waiter += 1;
        let request = ChargeRequest {
            waiter,
            budget_tokens: BUDGET_TOKENS,
            tokens: MAX_CALL_TOKENS,
            retention_ms: RETENTION_MS,
        };
        let now_ms = self.now_ms;
        let known = self.vms[vm].budgets.request_charge(&key, request, now_ms);
        let decision = known.or_else(|| {
            let decisions = self.write_queued(vm, &key);
            let found = decisions.iter().find(|(of, _)| *of == waiter);
            found.map(|(_, decision)| *decision)
        });
        match decision {
            Some(ChargeDecision::Granted(Grant { tokens })) => {
                let used_tokens = self.use_of(tokens);
                self.spent[program] += used_tokens;
                let budgets = &mut self.vms[vm].budgets;
                budgets.settle(&key, Grant { tokens }, used_tokens, now_ms);
            }
            Some(_) => {}
            None => self.vms[vm].budgets.cancel_charge(&key, waiter),
        }
    }

    /// What a VM knows of a program's allowance by the row.
    fn allowance_row(&self, vm: usize, program: &ProgramKey) -> AllowanceRow {
        let mut row = self.vms[vm].budgets.allowance_row(program);
        let mechanisms = self.mechanisms;
        // A VM that has no record takes that for a proof that nothing was granted.
        row.is_holder |= !mechanisms.names_incarnation;
        row.has_pending_charges &= mechanisms.awaits_charges;
        if !mechanisms.counts_overspent {
            row.overspent_tokens = 0;
        }
        row
    }

    fn grant(&mut self, holder: usize, program: usize) -> u64 {
        let key = program_key(program);
        let row = self.allowance_row(holder, &key);
        let expected_tokens = self.random.random_range(4..=MAX_EXPECTED_TOKENS);
        let request = AllowanceRequest {
            connectivity: Connectivity::AllDomains,
            program: key.0.clone(),
            budget_tokens: BUDGET_TOKENS,
            max_tokens: MAX_CALL_TOKENS,
            expected_tokens,
        };
        let now_ms = self.now_ms;
        let vm = &mut self.vms[holder];
        let received = vm.received[program];
        let is_chained = received.is_some_and(|received| received.hops > 1 && received.is_charged);
        let knows_row = vm.budgets.row_version(&key) > 0;
        self.chained_requests += usize::from(is_chained && !knows_row);
        let granted_tokens = vm.allowances.grant(&request, row, now_ms);
        if granted_tokens > 0 {
            self.grants += 1;
            self.late_grants += usize::from(matches!(vm.phase, Phase::Stopping { .. }));
        }
        granted_tokens
    }

    /// A call through a VM without the store. It asks any VM that it reaches, whether or
    /// not that can be known to hold the allowance.
    fn call_without_store(&mut self, vm: usize, program: usize) {
        let reached: Vec<usize> = (0..VMS).filter(|to| self.reaches(vm, *to)).collect();
        let Some(&holder) = reached.choose(&mut self.random) else {
            return;
        };
        let granted_tokens = self.grant(holder, program);
        if granted_tokens == 0 || self.random.random_bool(LOST) {
            return;
        }
        let used_tokens = self.use_of(granted_tokens);
        self.spent[program] += used_tokens;
        let settlement = AllowanceSettlement {
            program: program_key(program).0,
            granted_tokens,
            used_tokens,
        };
        self.vms[vm].in_flight.push((program, settlement, holder));
    }

    /// Some of the calls in flight end, and report what they used.
    fn end_calls(&mut self, vm: usize) {
        let calls = std::mem::take(&mut self.vms[vm].in_flight);
        for call in calls {
            if self.random.random_bool(0.8) {
                self.vms[vm].in_flight.push(call);
            } else if self.reaches(vm, call.2) && !self.random.random_bool(LOST) {
                self.vms[call.2].allowances.settle(&call.1);
            }
        }
    }

    /// Charges what was granted without the store.
    fn flush(&mut self, vm: usize) {
        if !self.reaches_store(vm) {
            return;
        }
        for charge in self.vms[vm].allowances.take_deferred_charges() {
            self.defer(vm, &charge);
            let program = (0..PROGRAMS).find(|program| program_key(*program) == charge.program);
            let received = &mut self.vms[vm].received[program.expect("a program")];
            if let Some(received) = received {
                received.charged_tokens += charge.tokens;
            }
        }
        for program in self.vms[vm].budgets.programs_to_write(self.now_ms) {
            self.write_queued(vm, &program);
        }
    }

    fn defer(&mut self, vm: usize, charge: &DeferredCharge) {
        let now_ms = self.now_ms;
        self.vms[vm].budgets.add_deferred_charge(charge, now_ms);
    }

    fn heir(&mut self, vm: usize) -> Option<usize> {
        let is_heir = |other: &usize| {
            *other != vm && self.vms[*other].phase == Phase::Up && self.reaches(vm, *other)
        };
        let heirs: Vec<usize> = (0..VMS).filter(is_heir).collect();
        heirs.choose(&mut self.random).copied()
    }

    fn stop(&mut self, vm: usize) {
        let end_ms = self.now_ms + self.random.random_range(2_200..7_000);
        self.vms[vm].phase = Phase::Stopping { end_ms };
        let keys = (0..PROGRAMS).map(program_key);
        let rows = keys.map(|key| (key.clone(), self.allowance_row(vm, &key)));
        let rows = rows.collect();
        let passed = match self.mechanisms.stops_granting {
            true => self.vms[vm].allowances.stop(rows),
            false => Allowances::default().stop(rows),
        };
        let heir = self.heir(vm);
        for passed in passed {
            self.pass(vm, heir, passed);
        }
    }

    fn pass(&mut self, from: usize, heir: Option<usize>, mut passed: PassedAllowance) {
        let is_lost = self.random.random_bool(LOST);
        let program = (0..PROGRAMS).find(|program| program_key(*program).0 == passed.program);
        let program = program.expect("a program");
        let before = self.vms[from].received[program].take();
        let charged_tokens = before.map_or(0, |before| before.charged_tokens);
        if !self.mechanisms.passes_used {
            passed.used_tokens = 0;
        }
        if !self.mechanisms.counts_charged {
            let received_tokens = before.map_or(0, |before| before.used_tokens);
            let used_tokens = passed.used_tokens.saturating_sub(charged_tokens);
            passed.used_tokens = used_tokens.max(received_tokens);
        }
        let Some(heir) = heir.filter(|_| !is_lost) else {
            return;
        };
        let now_ms = self.now_ms;
        let heir = &mut self.vms[heir];
        if heir.allowances.receive(&passed, now_ms) {
            heir.received[program] = Some(Received {
                used_tokens: passed.used_tokens,
                charged_tokens: 0,
                hops: before.map_or(1, |before| before.hops + 1),
                is_charged: charged_tokens > 0 || before.is_some_and(|before| before.is_charged),
            });
        }
    }

    fn end_stop(&mut self, vm: usize) {
        let heir = self.heir(vm);
        for charge in self.vms[vm].allowances.take_deferred_charges() {
            let is_lost = self.random.random_bool(LOST);
            if let Some(heir) = heir.filter(|_| !is_lost) {
                self.defer(heir, &charge);
            }
        }
        self.end(vm);
    }

    fn end(&mut self, vm: usize) {
        let start_ms = self.now_ms + self.random.random_range(200..3_000);
        self.vms[vm].phase = Phase::Down { start_ms };
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Cut(domain) => self.cut[domain] = true,
            Event::Heal(domain) => self.cut[domain] = false,
            Event::LoseStore => self.is_store_up = false,
            Event::RegainStore => self.is_store_up = true,
            Event::LoseReplies => self.are_replies_lost = true,
            Event::RegainReplies => self.are_replies_lost = false,
            Event::Stop(vm) if self.vms[vm].phase == Phase::Up => self.stop(vm),
            Event::Stop(_) => {}
            Event::Kill(vms) => {
                for vm in vms {
                    if self.vms[vm].is_running() {
                        self.end(vm);
                    }
                }
            }
        }
    }

    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        for vm in 0..VMS {
            match self.vms[vm].phase {
                Phase::Stopping { end_ms } if end_ms <= self.now_ms => self.end_stop(vm),
                Phase::Down { start_ms } if start_ms <= self.now_ms => {
                    self.vms[vm] = Vm::new(vm, self.vms[vm].incarnation + 1);
                }
                _ => {}
            }
            if self.vms[vm].is_running() {
                self.end_calls(vm);
                self.flush(vm);
            }
        }
        for _ in 0..3 {
            let vm = self.random.random_range(0..VMS);
            let program = self.random.random_range(0..PROGRAMS);
            if !self.vms[vm].is_running() {
                continue;
            }
            match self.reaches_store(vm) {
                true => self.charge(vm, program),
                false => self.call_without_store(vm, program),
            }
        }
    }

    /// Whether budgets were kept, and VMs that were stopping granted nothing.
    fn is_kept(&self) -> bool {
        let spent = self.spent.iter();
        spent.max() <= Some(&(BUDGET_TOKENS + MAX_CALL_TOKENS)) && self.late_grants == 0
    }
}

/// Outages, lost replies, cuts, planned stops, of single VMs and of all in turn, and kills of
/// any number of VMs, which may overlap in any order. Programs begin before the first one.
fn schedule(random: &mut impl Rng) -> Vec<(u64, Event)> {
    let mut events = Vec::new();
    let mut span = |random: &mut dyn Rng, begin: Event, end: Event| {
        let from_ms = random.random_range(1_000..END_MS - 8_000);
        let until_ms = from_ms + random.random_range(500..8_000);
        events.extend([(from_ms, begin), (until_ms, end)]);
    };
    for _ in 0..random.random_range(1..5) {
        span(random, Event::LoseStore, Event::RegainStore);
    }
    for _ in 0..random.random_range(0..4) {
        span(random, Event::LoseReplies, Event::RegainReplies);
    }
    for _ in 0..random.random_range(0..5) {
        let domain = random.random_range(0..DOMAINS);
        span(random, Event::Cut(domain), Event::Heal(domain));
    }
    for _ in 0..random.random_range(0..5) {
        let is_any = random.random_bool(0.5);
        let vms = (0..VMS).filter(|_| is_any || random.random_bool(0.4));
        let vms: Vec<usize> = vms.collect();
        events.push((random.random_range(1_000..END_MS), Event::Kill(vms)));
    }
    for _ in 0..random.random_range(0..4) {
        let vm = random.random_range(0..VMS);
        events.push((random.random_range(1_000..END_MS), Event::Stop(vm)));
    }
    for _ in 0..random.random_range(0..3) {
        let mut at_ms = random.random_range(1_000..END_MS - 8_000);
        let mut vms: Vec<usize> = (0..VMS).collect();
        vms.shuffle(random);
        for vm in vms {
            events.push((at_ms, Event::Stop(vm)));
            at_ms += random.random_range(100..6_000);
        }
    }
    events.sort_by_key(|(at_ms, _)| *at_ms);
    events
}

/// Runs the schedule of a seed; returns the fleet at its end.
fn run(seed: u64, mechanisms: Mechanisms) -> Fleet {
    let mut fleet = Fleet::new(seed, mechanisms);
    let events = schedule(&mut fleet.random);
    let mut events = events.into_iter().peekable();
    while fleet.now_ms < END_MS {
        while let Some((_, event)) = events.next_if(|(at_ms, _)| *at_ms <= fleet.now_ms) {
            fleet.apply(event);
        }
        fleet.tick();
    }
    fleet
}

// Guards against a second allowance of a program by any VM, whatever it knows, and
// against grants by a VM that is stopping.
#[test]
fn budgets_are_kept_whatever_stops_ends_or_is_cut_off() {
    let (mut grants, mut chained_requests) = (0, 0);
    for seed in 0..SCHEDULES {
        let fleet = run(seed, ALL);
        assert!(fleet.is_kept(), "seed {seed}");
        grants += fleet.grants;
        chained_requests += fleet.chained_requests;
    }
    assert!(grants > SCHEDULES as usize, "{grants} grants");
    assert!(
        chained_requests > MIN_CHAINED_REQUESTS,
        "{chained_requests} requests"
    );
}

// Guards against a mechanism that no schedule needs, and so none tests.
#[parameterized(
    names_incarnation = { Mechanisms { names_incarnation: false, ..ALL } },
    counts_overspent = { Mechanisms { counts_overspent: false, ..ALL } },
    awaits_charges = { Mechanisms { awaits_charges: false, ..ALL } },
    stops_granting = { Mechanisms { stops_granting: false, ..ALL } },
    passes_used = { Mechanisms { passes_used: false, ..ALL } },
    counts_charged = { Mechanisms { counts_charged: false, ..ALL } },
)]
fn budgets_are_not_kept_without(mechanisms: Mechanisms) {
    let is_broken = (0..SCHEDULES).any(|seed| !run(seed, mechanisms).is_kept());
    assert!(is_broken, "{mechanisms:?}");
}

// Guards against an allowance in a program's row that the next writer takes over, or that
// a VM takes from a row that an earlier build wrote.
#[test]
fn row_names_the_writer_that_created_it_for_good() {
    let mut fleet = Fleet::new(1, ALL);
    fleet.charge(0, 0);
    let holder = |fleet: &Fleet| {
        let (_, value) = &fleet.rows["p0"];
        BudgetRow::decode(value).expect("a row").allowance_holder
    };
    let first = holder(&fleet);
    assert_eq!(first, Some("v0/0".into()));
    for vm in 1..VMS {
        fleet.charge(vm, 0);
        assert_eq!(holder(&fleet), first);
    }
    let (version, value) = fleet.rows["p0"].clone();
    let mut row = BudgetRow::decode(&value).expect("a row");
    row.allowance_holder = None;
    let value = serde_json::to_vec(&row).expect("a value");
    fleet.rows.insert("p0".into(), (version + 1, value));
    fleet.store_version = version + 1;
    for vm in 0..VMS {
        fleet.charge(vm, 0);
        assert!(!fleet.vms[vm].budgets.is_allowance_holder(&program_key(0)) || vm == 0);
    }
    assert_eq!(holder(&fleet), None);
}

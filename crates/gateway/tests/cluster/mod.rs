//! VMs that charge one program's budget, and a store that delays writes and
//! loses replies. With a reserve, a home grants and releases it, and may end.

// Each test binary uses a part of this module.
#![allow(dead_code)]

use std::collections::BTreeMap;

use compact_str::CompactString;
use lagoon_gateway::{
    part_domains, BudgetRow, BudgetSettings, BudgetWrite, ChargeDecision, ChargeRequest,
    DeferredCharge, Grant, PartRelease, ProgramBudgets, ProgramKey, ReserveRequest, Reserves, Row,
    RowCheck, RowKey, RowWrite, StoreError, StoreReply, WaiterId,
};
use proptest::prelude::*;

pub(crate) const BUDGET: u64 = 1_800;
pub(crate) const MAX_CALL_TOKENS: u64 = 288;
pub(crate) const RETENTION_MS: u64 = 60_000;

pub(crate) fn program() -> ProgramKey {
    ProgramKey("program".into())
}

pub(crate) fn request(waiter: u64) -> ChargeRequest {
    ChargeRequest {
        waiter: WaiterId(waiter),
        budget_tokens: BUDGET,
        tokens: MAX_CALL_TOKENS,
        retention_ms: RETENTION_MS,
    }
}

pub(crate) fn deferred_charge(tokens: u64) -> DeferredCharge {
    DeferredCharge {
        program: program(),
        tokens,
        budget_tokens: BUDGET,
        max_call_tokens: MAX_CALL_TOKENS,
    }
}

pub(crate) fn budgets(writer: &str) -> ProgramBudgets {
    ProgramBudgets::new(BudgetSettings::new(writer.into()))
}

pub(crate) fn budgets_with_reserve(writer: &str) -> ProgramBudgets {
    ProgramBudgets::new(BudgetSettings {
        keeps_reserve: true,
        ..BudgetSettings::new(writer.into())
    })
}

pub(crate) fn reserve_request() -> ReserveRequest {
    ReserveRequest {
        program: program().0,
        budget_tokens: BUDGET,
        max_tokens: MAX_CALL_TOKENS,
        expected_tokens: MAX_CALL_TOKENS / 4,
        accepts_fewer: true,
        retention_ms: RETENTION_MS,
    }
}

/// Simulated store that applies one transaction at a time.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) version: u64,
    rows: BTreeMap<RowKey, (u64, Vec<u8>)>,
}

impl Store {
    pub(crate) fn apply(&mut self, write: &RowWrite) -> StoreReply {
        let current = self.rows.get(&write.key);
        if current.map_or(0, |(version, _)| *version) != write.expected_version {
            let rows = current.map(|(version, value)| Row {
                key: write.key.clone(),
                value: Some(value.clone()),
                version: *version,
            });
            return StoreReply::Conflict(rows.into_iter().collect());
        }
        self.version += 1;
        match &write.value {
            Some(value) => {
                let row = (self.version, value.clone());
                self.rows.insert(write.key.clone(), row);
            }
            None => {
                self.rows.remove(&write.key);
            }
        }
        StoreReply::Applied {
            version: self.version,
        }
    }

    /// Row of the program; `None` if there is none.
    pub(crate) fn read(&self) -> Option<Row> {
        let row = self.rows.iter().next();
        row.map(|(key, (version, value))| Row {
            key: key.clone(),
            value: Some(value.clone()),
            version: *version,
        })
    }

    pub(crate) fn charged(&self) -> u64 {
        let row = self.rows.values().next();
        row.map_or(0, |(_, value)| {
            let row: lagoon_gateway::BudgetRow =
                serde_json::from_slice(value).expect("row is readable");
            row.charged_tokens
        })
    }
}

#[derive(Clone, Debug)]
pub(crate) enum Step {
    RequestCharge(usize),
    Settle(usize, u64),
    Release(usize),
    /// The oldest write of a VM is applied and its reply delivered.
    Reply(usize),
    /// The oldest write of a VM is applied and its reply is lost.
    LoseReply(usize),
    /// The oldest write of a VM gets no reply and may be applied later.
    Delay(usize),
    Refuse(usize),
    /// Delayed writes reach the store.
    ApplyDelayed,
    Cancel(usize),
    Restart(usize),
    /// A VM transfers held tokens to another, or they are lost on the way.
    Transfer(usize, usize, bool),
    /// Tokens were spent without the store.
    DeferredCharge(usize, u64),
    /// A call takes tokens of the reserve.
    TakeReserve,
    /// A call at a VM whose charge takes long gets tokens of the reserve instead.
    TakeReserveMeanwhile(usize),
    /// A call at a VM that is decided at once and uses this share of its tokens.
    Call(usize, u64),
    /// Time goes by, but less than the program may pause, and all VMs remove what is
    /// expired.
    Wait(u64),
    /// A call that took tokens of the reserve has used so many.
    SettleReserve(u64),
    /// The home releases the reserve, and the response is lost.
    LoseRelease,
    /// The home ends; no other VM becomes the home while the program lasts.
    EndHome,
    /// A call in a failure domain takes tokens of its parts.
    TakePart(usize, bool),
    /// A call in a failure domain has used so many tokens of its parts; the return of
    /// the others may be lost.
    SettlePart(usize, u64, bool),
    /// The home of a failure domain's parts releases them, and the response is lost.
    LosePartRelease(usize),
    /// A failure domain is cut off from the VMs that charge the row, or in reach again.
    SetCut(usize, bool),
    /// The home of a failure domain's parts ends or changes; no VM is the home then.
    EndPartHome(usize),
    /// A step at the VM of an older build, which knows no parts.
    AtOlder(Box<Step>),
}

pub(crate) fn step() -> impl Strategy<Value = Step> {
    let vm = 0..3_usize;
    prop_oneof![
        6 => vm.clone().prop_map(Step::RequestCharge),
        4 => (vm.clone(), 0..=MAX_CALL_TOKENS).prop_map(|(vm, used)| Step::Settle(vm, used)),
        1 => vm.clone().prop_map(Step::Release),
        6 => vm.clone().prop_map(Step::Reply),
        2 => vm.clone().prop_map(Step::LoseReply),
        2 => vm.clone().prop_map(Step::Delay),
        1 => vm.clone().prop_map(Step::Refuse),
        1 => Just(Step::ApplyDelayed),
        1 => vm.clone().prop_map(Step::Cancel),
        1 => vm.clone().prop_map(Step::Restart),
        1 => (vm.clone(), 0..3_usize, any::<bool>())
            .prop_map(|(from, to, arrives)| Step::Transfer(from, to, arrives)),
        1 => (vm, 1..100_u64).prop_map(|(vm, tokens)| Step::DeferredCharge(vm, tokens)),
    ]
}

/// Steps with those of the reserve.
pub(crate) fn step_with_reserve() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => step(),
        10 => (0..3_usize).prop_map(Step::RequestCharge),
        10 => (0..3_usize).prop_map(Step::Reply),
        3 => Just(Step::TakeReserve),
        2 => (0..=MAX_CALL_TOKENS).prop_map(Step::SettleReserve),
        1 => Just(Step::LoseRelease),
        1 => Just(Step::EndHome),
        5 => (0..3_usize).prop_map(|vm| Step::Settle(vm, MAX_CALL_TOKENS)),
    ]
}

/// Steps of a program whose parts belong to failure domains, with a VM of an older build.
pub(crate) fn step_with_parts() -> impl Strategy<Value = Step> {
    let domain = 0..DOMAINS.len();
    prop_oneof![
        16 => step(),
        10 => (0..3_usize).prop_map(Step::RequestCharge),
        10 => (0..3_usize).prop_map(Step::Reply),
        5 => (0..3_usize).prop_map(|vm| Step::Settle(vm, MAX_CALL_TOKENS)),
        6 => (domain.clone(), any::<bool>())
            .prop_map(|(domain, accepts_fewer)| Step::TakePart(domain, accepts_fewer)),
        5 => (domain.clone(), 0..=MAX_CALL_TOKENS, prop::bool::weighted(0.8))
            .prop_map(|(domain, used, arrives)| Step::SettlePart(domain, used, arrives)),
        1 => domain.clone().prop_map(Step::LosePartRelease),
        3 => (domain.clone(), any::<bool>()).prop_map(|(domain, is_cut)| Step::SetCut(domain, is_cut)),
        1 => prop::bool::weighted(0.2)
            .prop_flat_map(move |ends| (Just(ends), domain.clone()))
            .prop_map(|(ends, domain)| match ends {
                true => Step::EndPartHome(domain),
                false => Step::SetCut(domain, false),
            }),
        4 => prop_oneof![
            3 => Just(Step::RequestCharge(OLDER)),
            4 => Just(Step::Reply(OLDER)),
            1 => Just(Step::LoseReply(OLDER)),
            1 => Just(Step::Delay(OLDER)),
            1 => Just(Step::Release(OLDER)),
            2 => (0..=MAX_CALL_TOKENS).prop_map(|used| Step::Settle(OLDER, used)),
        ]
        .prop_map(|step| Step::AtOlder(Box::new(step))),
    ]
}

/// Steps of a program that lasts for many retentions, with VMs that start anew.
pub(crate) fn step_of_long_program() -> impl Strategy<Value = Step> {
    let vm = 0..3_usize;
    prop_oneof![
        3 => step_with_reserve(),
        6 => (vm.clone(), 0..=MAX_CALL_TOKENS).prop_map(|(vm, used)| Step::Call(vm, used)),
        3 => vm.clone().prop_map(|vm| Step::Call(vm, MAX_CALL_TOKENS)),
        3 => vm.clone().prop_map(Step::Restart),
        1 => vm.prop_map(Step::TakeReserveMeanwhile),
        9 => (1..=RETENTION_MS).prop_map(Step::Wait),
        3 => Just(Step::Wait(RETENTION_MS)),
    ]
}

/// Time that the program may pause by the calls through a VM. They differ, as calls
/// on other routes do.
fn retention_ms(vm: usize) -> u64 {
    match vm {
        0 => RETENTION_MS / 4,
        _ => RETENTION_MS,
    }
}

/// Failure domains with a home of their parts, fewer than there are parts.
const DOMAINS: [&str; 3] = ["d1", "d2", "d3"];

/// Index of the VM of an older build.
const OLDER: usize = 3;

/// Home of a failure domain's parts.
struct PartHome {
    domain: CompactString,
    parts: u64,
    /// What it granted; `None` once it has ended.
    reserves: Option<Reserves>,
    is_cut: bool,
    grants: Vec<u64>,
}

pub(crate) struct Vm {
    budgets: ProgramBudgets,
    write: Option<BudgetWrite>,
    write_began_ms: u64,
    waiting: Vec<u64>,
    grants: Vec<Grant>,
}

fn new_budgets(name: &str, keeps_reserve: bool) -> ProgramBudgets {
    match keeps_reserve {
        true => budgets_with_reserve(name),
        false => budgets(name),
    }
}

pub(crate) struct Cluster {
    pub(crate) store: Store,
    vms: Vec<Vm>,
    delayed: Vec<RowWrite>,
    pub(crate) used: u64,
    pub(crate) deferred: u64,
    /// Whether tokens may stay charged that no VM holds any more, as after a
    /// restart or a lost transfer.
    pub(crate) is_lossy: bool,
    next_id: u64,
    keeps_reserve: bool,
    /// Reserve at the home; `None` once the home has ended.
    reserves: Option<Reserves>,
    reserve_grants: Vec<u64>,
    /// Homes of the failure domains' parts; none without parts.
    part_homes: Vec<PartHome>,
    /// Tokens used of the reserve.
    reserve_used: u64,
    /// How often a call got tokens that only a released reserve allows.
    pub(crate) releases: u64,
    /// How often a call got tokens of the reserve.
    pub(crate) reserve_calls: u64,
    now_ms: u64,
    /// Time at which a call was last decided on, and the longest pause that the
    /// program may make by then.
    last_call_ms: u64,
    max_pause_ms: u64,
    /// How often the row was deleted.
    pub(crate) deletions: u64,
}

impl Cluster {
    pub(crate) fn new(keeps_reserve: bool) -> Cluster {
        let vms = ["a", "b", "c"].map(|name| Vm {
            budgets: new_budgets(name, keeps_reserve),
            write: None,
            write_began_ms: 0,
            waiting: Vec::new(),
            grants: Vec::new(),
        });
        Cluster {
            store: Store::default(),
            vms: vms.into(),
            delayed: Vec::new(),
            used: 0,
            deferred: 0,
            is_lossy: false,
            next_id: 1,
            keeps_reserve,
            reserves: keeps_reserve.then(Reserves::default),
            reserve_grants: Vec::new(),
            part_homes: Vec::new(),
            reserve_used: 0,
            releases: 0,
            reserve_calls: 0,
            now_ms: 0,
            last_call_ms: 0,
            max_pause_ms: 0,
            deletions: 0,
        }
    }

    /// Cluster whose budgets have parts for failure domains, with one more VM of an older
    /// build.
    pub(crate) fn with_parts() -> Cluster {
        let mut cluster = Cluster::new(true);
        cluster.reserves = None;
        for vm in &mut cluster.vms {
            vm.budgets.set_charges_parts(true);
        }
        cluster.vms.push(Vm {
            budgets: new_budgets("older", true),
            write: None,
            write_began_ms: 0,
            waiting: Vec::new(),
            grants: Vec::new(),
        });
        let domains = DOMAINS.map(CompactString::from).into_iter().collect();
        let homes = part_domains(&program(), &domains).into_iter();
        cluster.part_homes = homes
            .map(|(domain, parts)| PartHome {
                domain,
                parts,
                reserves: Some(Reserves::default()),
                is_cut: false,
                grants: Vec::new(),
            })
            .collect();
        cluster
    }

    /// Has homes release their parts, one by one, until a call fits; returns whether one
    /// did that is in reach.
    fn release_part_for(&mut self, index: usize) -> bool {
        let budgets = &mut self.vms[index].budgets;
        let Some(released) = budgets.released_domains(&program()) else {
            return false;
        };
        let mut homes = self.part_homes.iter_mut();
        let home = homes.find(|home| {
            !home.is_cut && home.reserves.is_some() && !released.contains(&home.domain)
        });
        let Some(home) = home else {
            return false;
        };
        let reserves = home.reserves.as_mut();
        let granted = reserves.and_then(|reserves| reserves.release(&reserve_request(), 0));
        let Some(granted_tokens) = granted else {
            return false;
        };
        self.releases += 1;
        let release = PartRelease {
            domain: home.domain.clone(),
            parts: home.parts,
            granted_tokens,
        };
        budgets.record_part_release(&program(), release);
        true
    }

    /// Applies a write in the store. The VM of an older build drops the parts of the row.
    fn apply(&mut self, index: usize, write: &RowWrite) -> StoreReply {
        if index != OLDER {
            return self.store.apply(write);
        }
        let without_parts = |value: &mut Vec<u8>| {
            let mut row: BudgetRow = serde_json::from_slice(value).expect("row is readable");
            row.parts = None;
            *value = serde_json::to_vec(&row).expect("row is written");
        };
        let mut reply = self.store.apply(write);
        if let StoreReply::Conflict(rows) = &mut reply {
            rows.iter_mut()
                .filter_map(|row| row.value.as_mut())
                .for_each(without_parts);
        }
        reply
    }

    /// Whether the home remembers the reserve.
    pub(crate) fn has_reserve(&self) -> bool {
        let reserves = self.reserves.as_ref();
        reserves.is_some_and(|reserves| !reserves.is_empty())
    }

    /// Whether the home ended.
    pub(crate) fn has_home_ended(&self) -> bool {
        self.reserves.is_none()
    }

    /// Time since the first call.
    pub(crate) fn now_ms(&self) -> u64 {
        self.now_ms
    }

    fn record_call(&mut self, index: usize) {
        self.last_call_ms = self.now_ms;
        self.max_pause_ms = self.max_pause_ms.max(retention_ms(index));
    }

    fn wait(&mut self, time_ms: u64) {
        let next_call_ms = self.last_call_ms + self.max_pause_ms;
        self.now_ms = (self.now_ms + time_ms).min(next_call_ms).max(self.now_ms);
        for index in 0..self.vms.len() {
            let writes = self.vms[index].budgets.remove_expired(self.now_ms);
            for write in writes {
                self.delete(&write);
            }
        }
        let Some(mut reserves) = self.reserves.take() else {
            return;
        };
        for program in reserves.programs_to_check(self.now_ms) {
            let row = self.store.read();
            let began_ms = self.now_ms;
            let row = row.as_ref();
            let deletion = reserves.on_row_read(&program, RowCheck { row, began_ms });
            if deletion.is_some_and(|write| self.delete(&write)) {
                let row = None;
                reserves.on_row_read(&program, RowCheck { row, began_ms });
            }
        }
        self.reserves = Some(reserves);
    }

    /// Applies a write that deletes the row; `false` if the row is another one.
    fn delete(&mut self, write: &RowWrite) -> bool {
        let is_deleted = matches!(self.store.apply(write), StoreReply::Applied { .. });
        self.deletions += u64::from(is_deleted);
        is_deleted
    }

    /// Has the home release the reserve for a VM that needs it; `false` if the
    /// home has ended.
    fn release_for(&mut self, index: usize) -> bool {
        if index == OLDER {
            // The only home of a reserve, as an older build would ask it.
            let vm = &mut self.vms[index];
            vm.budgets.record_release(&program(), 0);
            return true;
        }
        if !self.part_homes.is_empty() {
            return self.release_part_for(index);
        }
        let Some(reserves) = &mut self.reserves else {
            return false;
        };
        let granted_tokens = reserves.release(&reserve_request(), self.now_ms);
        if let Some(granted_tokens) = granted_tokens {
            self.releases += 1;
            let vm = &mut self.vms[index];
            vm.budgets.record_release(&program(), granted_tokens);
        }
        granted_tokens.is_some()
    }

    pub(crate) fn start_write(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        if vm.write.is_none() {
            vm.write = vm.budgets.charge_write(&program());
            vm.write_began_ms = self.now_ms;
        }
    }

    pub(crate) fn reply(&mut self, index: usize, reply: Result<StoreReply, StoreError>) {
        let vm = &mut self.vms[index];
        vm.write = None;
        if let Ok(StoreReply::Applied { version }) = reply {
            let began_ms = vm.write_began_ms;
            vm.budgets.record_store_version(version, began_ms);
        }
        let mut needs_reserve = false;
        let decisions = vm.budgets.on_write_reply(&program(), &reply, self.now_ms);
        if reply.is_ok() && !decisions.is_empty() {
            self.record_call(index);
        }
        let vm = &mut self.vms[index];
        for (waiter, decision) in decisions {
            vm.waiting.retain(|other| *other != waiter.0);
            match decision {
                ChargeDecision::Granted(grant) => vm.grants.push(grant),
                ChargeDecision::ReserveNeeded => needs_reserve = true,
                _ => {}
            }
        }
        if needs_reserve && self.release_for(index) {
            self.request_charge(index);
        }
        self.start_write(index);
    }

    fn request_charge(&mut self, index: usize) {
        let waiter = self.next_id;
        self.next_id += 1;
        let request = ChargeRequest {
            retention_ms: retention_ms(index),
            ..request(waiter)
        };
        let budgets = &mut self.vms[index].budgets;
        let mut decision = budgets.request_charge(&program(), request, self.now_ms);
        while decision == Some(ChargeDecision::ReserveNeeded) && self.release_for(index) {
            let budgets = &mut self.vms[index].budgets;
            decision = budgets.request_charge(&program(), request, self.now_ms);
        }
        if decision.is_some() {
            self.record_call(index);
        }
        let vm = &mut self.vms[index];
        match decision {
            Some(ChargeDecision::Granted(grant)) => vm.grants.push(grant),
            Some(_) => {}
            None => vm.waiting.push(waiter),
        }
        self.start_write(index);
    }

    pub(crate) fn run(&mut self, step: &Step) {
        match *step {
            Step::RequestCharge(index) => self.request_charge(index),
            Step::Settle(index, used) => {
                let vm = &mut self.vms[index];
                if let Some(grant) = vm.grants.pop() {
                    vm.budgets.settle(&program(), grant, used, self.now_ms);
                    self.used += used;
                }
            }
            Step::Release(index) => {
                let vm = &mut self.vms[index];
                if vm.write.is_none() {
                    vm.write = vm.budgets.release_write(&program());
                    vm.write_began_ms = self.now_ms;
                }
            }
            Step::Reply(index) => {
                if let Some(write) = self.vms[index].write.clone() {
                    let reply = self.apply(index, &write.write);
                    self.reply(index, Ok(reply));
                }
            }
            Step::LoseReply(index) => {
                if let Some(write) = self.vms[index].write.clone() {
                    self.store.apply(&write.write);
                    self.reply(index, Err(StoreError::NoReply("lost".into())));
                }
            }
            Step::Delay(index) => {
                if let Some(write) = self.vms[index].write.clone() {
                    self.delayed.push(write.write);
                    self.reply(index, Err(StoreError::NoReply("late".into())));
                }
            }
            Step::Refuse(index) => {
                if self.vms[index].write.is_some() {
                    self.reply(index, Err(StoreError::Refused(503)));
                }
            }
            Step::ApplyDelayed => {
                for write in std::mem::take(&mut self.delayed) {
                    self.store.apply(&write);
                }
            }
            Step::Cancel(index) => {
                let vm = &mut self.vms[index];
                if let Some(waiter) = vm.waiting.pop() {
                    vm.budgets.cancel_charge(&program(), WaiterId(waiter));
                }
            }
            Step::Restart(index) => {
                let name = format!("r{}", self.next_id);
                self.next_id += 1;
                let vm = &mut self.vms[index];
                // What was granted to calls before the restart counts as used.
                self.used += vm.grants.drain(..).map(|grant| grant.tokens).sum::<u64>();
                vm.budgets = new_budgets(&name, self.keeps_reserve);
                vm.budgets.set_charges_parts(!self.part_homes.is_empty());
                vm.waiting.clear();
                if let Some(write) = vm.write.take() {
                    self.delayed.push(write.write);
                }
                self.is_lossy = true;
            }
            Step::Transfer(from, to, arrives) => self.transfer(from, to, arrives),
            Step::DeferredCharge(index, tokens) => {
                // The tokens are spent, even if their deferred charge gets lost.
                let vm = &mut self.vms[index];
                let charge = deferred_charge(tokens);
                vm.budgets.add_deferred_charge(&charge, self.now_ms);
                self.deferred += tokens;
            }
            Step::TakeReserve => {
                let Some(reserves) = &mut self.reserves else {
                    return;
                };
                let granted = reserves.grant(&reserve_request(), self.now_ms);
                if granted > 0 {
                    self.reserve_calls += 1;
                    self.reserve_grants.push(granted);
                }
            }
            Step::SettleReserve(used) => {
                let Some(granted) = self.reserve_grants.pop() else {
                    return;
                };
                let used = used.min(granted);
                self.reserve_used += used;
                if let Some(reserves) = &mut self.reserves {
                    reserves.return_unused(&program(), granted - used);
                }
            }
            Step::LoseRelease => {
                if let Some(reserves) = &mut self.reserves {
                    reserves.release(&reserve_request(), self.now_ms);
                }
            }
            Step::EndHome => self.reserves = None,
            Step::TakeReserveMeanwhile(index) => {
                let waiting = self.vms[index].waiting.len();
                self.request_charge(index);
                if self.vms[index].waiting.len() > waiting {
                    self.run(&Step::Cancel(index));
                    self.run(&Step::TakeReserve);
                    self.run(&Step::Reply(index));
                }
            }
            Step::Call(index, used) => {
                self.request_charge(index);
                while self.vms[index].write.is_some() {
                    self.run(&Step::Reply(index));
                }
                self.run(&Step::Settle(index, used));
            }
            Step::Wait(time_ms) => self.wait(time_ms),
            Step::TakePart(domain, accepts_fewer) => {
                let home = &mut self.part_homes[domain];
                let request = ReserveRequest {
                    accepts_fewer,
                    ..reserve_request()
                };
                let reserves = home.reserves.as_mut();
                let granted = reserves.map_or(0, |reserves| {
                    reserves.grant_of_parts(&request, home.parts, 0)
                });
                if granted > 0 {
                    self.reserve_calls += 1;
                    home.grants.push(granted);
                }
            }
            Step::SettlePart(domain, used, arrives) => {
                let home = &mut self.part_homes[domain];
                let Some(granted) = home.grants.pop() else {
                    return;
                };
                let used = used.min(granted);
                self.reserve_used += used;
                if let (true, Some(reserves)) = (arrives, &mut home.reserves) {
                    reserves.return_unused(&program(), granted - used);
                }
            }
            Step::LosePartRelease(domain) => {
                if let Some(reserves) = &mut self.part_homes[domain].reserves {
                    reserves.release(&reserve_request(), 0);
                }
            }
            Step::SetCut(domain, is_cut) => self.part_homes[domain].is_cut = is_cut,
            Step::EndPartHome(domain) => self.part_homes[domain].reserves = None,
            Step::AtOlder(ref step) => {
                // Only while older builds are listed lately do they write a first row.
                if self.store.read().is_some() {
                    self.run(step);
                }
            }
        }
    }

    pub(crate) fn transfer(&mut self, from: usize, to: usize, arrives: bool) {
        if from == to
            || !self.vms[from]
                .budgets
                .transfer_out(&program(), MAX_CALL_TOKENS, self.now_ms)
        {
            return;
        }
        if arrives {
            self.vms[to]
                .budgets
                .transfer_in(&program(), MAX_CALL_TOKENS, self.now_ms);
        } else {
            self.is_lossy = true;
        }
    }

    pub(crate) fn committed(&self) -> u64 {
        let grants = self.vms.iter().flat_map(|vm| &vm.grants);
        let granted: u64 = grants.map(|grant| grant.tokens).sum();
        let parts = self.part_homes.iter().flat_map(|home| &home.grants);
        let reserve: u64 = self.reserve_grants.iter().chain(parts).sum();
        self.used + granted + self.reserve_used + reserve
    }

    /// Ends all calls and releases all held tokens.
    pub(crate) fn settle(&mut self) {
        self.run(&Step::ApplyDelayed);
        for _ in 0..4 {
            for index in 0..self.vms.len() {
                while self.vms[index].write.is_some() {
                    self.run(&Step::Reply(index));
                }
                while !self.vms[index].grants.is_empty() {
                    self.run(&Step::Settle(index, 10));
                }
                self.run(&Step::Release(index));
                while self.vms[index].write.is_some() {
                    self.run(&Step::Reply(index));
                }
            }
        }
    }
}

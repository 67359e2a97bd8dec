//! Budgets of several VMs against a store that delays writes and loses replies.

use std::collections::BTreeMap;

use lagoon_gateway::{
    BudgetSettings, BudgetWrite, ChargeDecision, ChargeRequest, DeferredCharge, Grant,
    ProgramBudgets, ProgramKey, Row, RowKey, RowWrite, StoreError, StoreReply, WaiterId,
};
use proptest::prelude::*;

const BUDGET: u64 = 1_800;
const MAX_CALL_TOKENS: u64 = 288;
const RETENTION_MS: u64 = 60_000;

fn program() -> ProgramKey {
    ProgramKey("program".into())
}

fn request(waiter: u64) -> ChargeRequest {
    ChargeRequest {
        waiter: WaiterId(waiter),
        budget_tokens: BUDGET,
        tokens: MAX_CALL_TOKENS,
        retention_ms: RETENTION_MS,
    }
}

fn deferred_charge(tokens: u64) -> DeferredCharge {
    DeferredCharge {
        program: program(),
        tokens,
        budget_tokens: BUDGET,
        max_call_tokens: MAX_CALL_TOKENS,
    }
}

fn budgets(writer: &str) -> ProgramBudgets {
    ProgramBudgets::new(BudgetSettings::new(writer.into()))
}

/// Simulated store that applies one transaction at a time.
#[derive(Default)]
struct Store {
    version: u64,
    rows: BTreeMap<RowKey, (u64, Vec<u8>)>,
}

impl Store {
    fn apply(&mut self, write: &RowWrite) -> StoreReply {
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

    fn charged(&self) -> u64 {
        let row = self.rows.values().next();
        row.map_or(0, |(_, value)| {
            let row: lagoon_gateway::BudgetRow =
                serde_json::from_slice(value).expect("row is readable");
            row.charged_tokens
        })
    }
}

fn charge(budgets: &mut ProgramBudgets, store: &mut Store, waiter: u64) -> ChargeDecision {
    charge_at(budgets, store, waiter, 0)
}

fn charge_at(
    budgets: &mut ProgramBudgets,
    store: &mut Store,
    waiter: u64,
    now_ms: u64,
) -> ChargeDecision {
    if let Some(decision) = budgets.request_charge(&program(), request(waiter), now_ms) {
        return decision;
    }
    loop {
        let write = budgets.charge_write(&program()).expect("a call waits");
        let reply = Ok(store.apply(&write.write));
        let decisions = budgets.on_write_reply(&program(), &reply, now_ms);
        if let Some((_, decision)) = decisions.first() {
            return *decision;
        }
    }
}

fn granted(decision: ChargeDecision) -> Grant {
    match decision {
        ChargeDecision::Granted(grant) => grant,
        refusal => panic!("not granted: {refusal:?}"),
    }
}

#[test]
fn charge_of_first_vm_covers_its_next_calls() {
    let mut store = Store::default();
    let mut vm = budgets("a");
    let grant = granted(charge(&mut vm, &mut store, 1));
    vm.settle(&program(), grant, 60, 0);
    let version = store.version;
    granted(charge(&mut vm, &mut store, 2));
    assert_eq!(store.version, version);
}

#[test]
fn charge_of_second_vm_respects_the_row() {
    let mut store = Store::default();
    let (mut a, mut b) = (budgets("a"), budgets("b"));
    granted(charge(&mut a, &mut store, 1));
    granted(charge(&mut b, &mut store, 1));
    assert!(store.charged() <= BUDGET);
}

#[test]
fn charge_of_exhausted_budget_is_refused() {
    let mut store = Store::default();
    let mut vm = budgets("a");
    let mut spent = 0;
    for waiter in 0.. {
        match charge(&mut vm, &mut store, waiter) {
            ChargeDecision::Granted(grant) => {
                spent += grant.tokens;
                vm.settle(&program(), grant, grant.tokens, 0);
            }
            ChargeDecision::Exhausted { charged_tokens } => {
                assert!(charged_tokens + MAX_CALL_TOKENS > BUDGET);
                break;
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(spent + MAX_CALL_TOKENS > BUDGET);
}

/// Charges calls until one is refused.
fn refusal(budgets: &mut ProgramBudgets, store: &mut Store) -> ChargeDecision {
    let decisions = (100..110).map(|waiter| charge(budgets, store, waiter));
    let mut refusals = decisions.filter(|decision| !matches!(decision, ChargeDecision::Granted(_)));
    refusals.next().expect("the budget ends")
}

#[test]
fn charge_held_elsewhere_is_covered_by_a_transfer() {
    let mut store = Store::default();
    let (mut a, mut b) = (budgets("a"), budgets("b"));
    let grant = granted(charge(&mut a, &mut store, 1));
    a.settle(&program(), grant, 12, 0);
    let refused = refusal(&mut b, &mut store);
    assert!(
        matches!(refused, ChargeDecision::HeldElsewhere { .. }),
        "{refused:?}"
    );
    assert!(a.transfer_out(&program(), MAX_CALL_TOKENS, 0));
}

#[test]
fn transfer_out_surplus_needs_held_tokens_and_a_fresh_row() {
    let mut store = Store::default();
    let mut vm = budgets("a");
    assert!(!vm.transfer_out_surplus(&program(), 1, 0));
    let grant = granted(charge(&mut vm, &mut store, 1));
    vm.settle(&program(), grant, 0, 0);
    assert!(vm.has_held(&program(), MAX_CALL_TOKENS));
    assert!(vm.transfer_out_surplus(&program(), MAX_CALL_TOKENS, 10));
    assert!(!vm.transfer_out_surplus(&program(), BUDGET, 10));
    // Another VM may have deleted a row without a recent write.
    vm.return_unused(&program(), MAX_CALL_TOKENS);
    assert!(!vm.transfer_out_surplus(&program(), MAX_CALL_TOKENS, 10_000_000));
}

#[test]
fn transfer_out_surplus_requests_no_release_on_a_shortage() {
    let mut store = Store::default();
    let mut vm = budgets("a");
    granted(charge(&mut vm, &mut store, 1));
    assert!(!vm.transfer_out_surplus(&program(), BUDGET, 0));
    assert_eq!(vm.programs_to_write(100_000), []);
    assert!(!vm.transfer_out(&program(), BUDGET, 0));
    assert_eq!(vm.programs_to_write(100_000), [program()]);
}

#[test]
fn return_unused_of_an_expired_program_stays_charged() {
    let mut vm = budgets("a");
    vm.return_unused(&program(), MAX_CALL_TOKENS);
    assert!(!vm.has_held(&program(), 1));
    assert!(vm.is_empty());
}

#[test]
fn remove_expired_keeps_program_with_a_recent_transfer() {
    let mut store = Store::default();
    let mut vm = budgets("a");
    let grant = granted(charge(&mut vm, &mut store, 1));
    vm.settle(&program(), grant, 0, 0);
    let expiry_ms = 4 * RETENTION_MS + 1;
    assert!(vm.transfer_out(&program(), 1, RETENTION_MS));
    assert_eq!(vm.remove_expired(expiry_ms), []);
    assert_eq!(vm.remove_expired(expiry_ms + RETENTION_MS).len(), 1);
}

#[test]
fn charge_after_release_of_a_shortage_is_exhausted() {
    let mut store = Store::default();
    let (mut a, mut b) = (budgets("a"), budgets("b"));
    granted(charge(&mut a, &mut store, 1));
    let refused = refusal(&mut b, &mut store);
    assert!(
        matches!(refused, ChargeDecision::HeldElsewhere { .. }),
        "{refused:?}"
    );
    // This VM spends all that it holds, so it has nothing to transfer.
    while a.request_charge(&program(), request(2), 0).is_some() {}
    assert!(!a.transfer_out(&program(), MAX_CALL_TOKENS, 0));
    write_pending_changes(&mut a, &mut store, 1_000);
    let refused = refusal(&mut b, &mut store);
    assert!(
        matches!(refused, ChargeDecision::Exhausted { .. }),
        "{refused:?}"
    );
}

#[test]
fn request_charge_repeats_a_refusal_without_a_write() {
    let mut store = Store::default();
    let mut vm = budgets("a");
    let refused = refusal(&mut vm, &mut store);
    assert!(
        matches!(refused, ChargeDecision::Exhausted { .. }),
        "{refused:?}"
    );
    let version = store.version;
    assert_eq!(charge_at(&mut vm, &mut store, 300, 200), refused);
    assert_eq!(store.version, version);
    charge_at(&mut vm, &mut store, 301, 300);
    assert!(store.version > version);
}

#[test]
fn on_write_reply_recognizes_applied_write_by_its_sequence() {
    let mut store = Store::default();
    let mut vm = budgets("a");
    assert_eq!(vm.request_charge(&program(), request(1), 0), None);
    let write = vm.charge_write(&program()).unwrap().write;
    store.apply(&write);
    // Retries the write, as its reply was lost.
    let reply = Ok(store.apply(&write));
    let decisions = vm.on_write_reply(&program(), &reply, 0);
    assert!(matches!(
        decisions[..],
        [(WaiterId(1), ChargeDecision::Granted(_))]
    ));
}

#[test]
fn on_write_reply_with_unreadable_row_is_unavailable() {
    let mut vm = budgets("a");
    vm.request_charge(&program(), request(1), 0);
    let write = vm.charge_write(&program()).unwrap().write;
    let row = Row {
        key: write.key,
        value: Some(b"not a row".to_vec()),
        version: 4,
    };
    let decisions = vm.on_write_reply(&program(), &Ok(StoreReply::Conflict(vec![row])), 0);
    assert_eq!(decisions, vec![(WaiterId(1), ChargeDecision::Unavailable)]);
}

fn write_pending_changes(budgets: &mut ProgramBudgets, store: &mut Store, now_ms: u64) {
    for program in budgets.programs_to_write(now_ms) {
        while let Some(write) = budgets.release_write(&program) {
            let reply = Ok(store.apply(&write.write));
            budgets.on_write_reply(&program, &reply, now_ms);
        }
    }
}

#[test]
fn remove_expired_keeps_row_of_a_program_with_unknown_retention() {
    let mut store = Store::default();
    let (mut a, mut coordinator) = (budgets("a"), budgets("b"));
    granted(charge(&mut a, &mut store, 1));
    coordinator.add_deferred_charge(&deferred_charge(100), 10);
    write_pending_changes(&mut coordinator, &mut store, 10);
    assert_eq!(store.charged(), BUDGET / 2 + 100);
    assert_eq!(coordinator.remove_expired(60_000), []);
}

#[test]
fn remove_expired_row_is_deleted_by_its_last_writer() {
    let mut store = Store::default();
    let (mut a, mut b) = (budgets("a"), budgets("b"));
    granted(charge(&mut a, &mut store, 1));
    granted(charge(&mut b, &mut store, 1));
    // This VM has an old version of the row, so its deletion conflicts.
    let removals = a.remove_expired(1_000_000);
    let removed = removals.iter().map(|write| store.apply(write));
    assert!(removed
        .into_iter()
        .all(|reply| matches!(reply, StoreReply::Conflict(_))));
    let writes = b.remove_expired(1_000_000);
    assert_eq!(writes.len(), 1);
    assert!(matches!(
        store.apply(&writes[0]),
        StoreReply::Applied { .. }
    ));
    assert!(a.is_empty() && b.is_empty());
}

#[test]
fn request_charge_writes_once_the_row_is_not_fresh() {
    let mut store = Store::default();
    let mut vm = budgets("a");
    let grant = granted(charge(&mut vm, &mut store, 1));
    vm.settle(&program(), grant, 0, 0);
    assert!(vm.request_charge(&program(), request(2), 60_000).is_some());
    assert!(vm.request_charge(&program(), request(3), 60_001).is_none());
}

#[derive(Clone, Debug)]
enum Step {
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
}

fn step() -> impl Strategy<Value = Step> {
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

struct Vm {
    budgets: ProgramBudgets,
    write: Option<BudgetWrite>,
    waiting: Vec<u64>,
    grants: Vec<Grant>,
}

struct Cluster {
    store: Store,
    vms: Vec<Vm>,
    delayed: Vec<RowWrite>,
    used: u64,
    deferred: u64,
    /// Whether tokens may stay charged that no VM holds any more, as after a
    /// restart or a lost transfer.
    is_lossy: bool,
    next_id: u64,
}

impl Cluster {
    fn new() -> Cluster {
        let vms = ["a", "b", "c"].map(|name| Vm {
            budgets: budgets(name),
            write: None,
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
        }
    }

    fn start_write(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        if vm.write.is_none() {
            vm.write = vm.budgets.charge_write(&program());
        }
    }

    fn reply(&mut self, index: usize, reply: Result<StoreReply, StoreError>) {
        let vm = &mut self.vms[index];
        vm.write = None;
        for (waiter, decision) in vm.budgets.on_write_reply(&program(), &reply, 0) {
            vm.waiting.retain(|other| *other != waiter.0);
            if let ChargeDecision::Granted(grant) = decision {
                vm.grants.push(grant);
            }
        }
        self.start_write(index);
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::RequestCharge(index) => {
                let waiter = self.next_id;
                self.next_id += 1;
                let vm = &mut self.vms[index];
                match vm.budgets.request_charge(&program(), request(waiter), 0) {
                    Some(ChargeDecision::Granted(grant)) => vm.grants.push(grant),
                    Some(_) => {}
                    None => vm.waiting.push(waiter),
                }
                self.start_write(index);
            }
            Step::Settle(index, used) => {
                let vm = &mut self.vms[index];
                if let Some(grant) = vm.grants.pop() {
                    vm.budgets.settle(&program(), grant, used, 0);
                    self.used += used;
                }
            }
            Step::Release(index) => {
                let vm = &mut self.vms[index];
                if vm.write.is_none() {
                    vm.write = vm.budgets.release_write(&program());
                }
            }
            Step::Reply(index) => {
                if let Some(write) = self.vms[index].write.clone() {
                    let reply = self.store.apply(&write.write);
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
                vm.budgets = budgets(&name);
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
                vm.budgets.add_deferred_charge(&deferred_charge(tokens), 0);
                self.deferred += tokens;
            }
        }
    }

    fn transfer(&mut self, from: usize, to: usize, arrives: bool) {
        if from == to
            || !self.vms[from]
                .budgets
                .transfer_out(&program(), MAX_CALL_TOKENS, 0)
        {
            return;
        }
        if arrives {
            self.vms[to]
                .budgets
                .transfer_in(&program(), MAX_CALL_TOKENS, 0);
        } else {
            self.is_lossy = true;
        }
    }

    fn committed(&self) -> u64 {
        let grants = self.vms.iter().flat_map(|vm| &vm.grants);
        self.used + grants.map(|grant| grant.tokens).sum::<u64>()
    }

    /// Ends all calls and releases all held tokens.
    fn settle(&mut self) {
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

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: prop::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn budget_is_kept_despite_lost_and_delayed_writes(steps in prop::collection::vec(step(), 1..120)) {
        let mut cluster = Cluster::new();
        for step in &steps {
            cluster.run(step);
            let committed = cluster.committed();
            prop_assert!(committed <= BUDGET, "{committed} after {step:?}");
        }
        cluster.settle();
        prop_assert!(cluster.store.charged() >= cluster.used);
        if !cluster.is_lossy {
            prop_assert_eq!(cluster.store.charged(), cluster.used + cluster.deferred);
        }
    }
}

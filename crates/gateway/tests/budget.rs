//! Budgets over several VMs with a store that loses and delays writes.

use std::collections::BTreeMap;

use lagoon_gateway::{
    BudgetSettings, BudgetWrite, ChargeDecision, ChargeRequest, DeferredCharge, Grant,
    ProgramBudgets, ProgramKey, Row, RowKey, RowWrite, StoreError, StoreReply, WaiterId,
};
use proptest::prelude::*;

const BUDGET: u64 = 1_800;
const MOST: u64 = 288;
const RETENTION_MS: u64 = 60_000;

fn program() -> ProgramKey {
    ProgramKey("program".into())
}

fn asked(waiter: u64) -> ChargeRequest {
    ChargeRequest {
        waiter: WaiterId(waiter),
        budget_tokens: BUDGET,
        tokens: MOST,
        retention_ms: RETENTION_MS,
    }
}

fn debt(tokens: u64) -> DeferredCharge {
    DeferredCharge {
        program: program(),
        tokens,
        budget_tokens: BUDGET,
        max_call_tokens: MOST,
    }
}

fn accounts(writer: &str) -> ProgramBudgets {
    ProgramBudgets::new(BudgetSettings::new(writer.into()))
}

/// Store with one transaction at a time.
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

fn charge(accounts: &mut ProgramBudgets, store: &mut Store, waiter: u64) -> ChargeDecision {
    charge_at(accounts, store, waiter, 0)
}

fn charge_at(
    accounts: &mut ProgramBudgets,
    store: &mut Store,
    waiter: u64,
    now_ms: u64,
) -> ChargeDecision {
    if let Some(decision) = accounts.request_charge(&program(), asked(waiter), now_ms) {
        return decision;
    }
    loop {
        let write = accounts.charge_write(&program()).expect("a call waits");
        let reply = Ok(store.apply(&write.write));
        let decisions = accounts.on_write_reply(&program(), &reply, now_ms);
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
fn charge_first_vm_holds_for_its_next_calls() {
    let mut store = Store::default();
    let mut vm = accounts("a");
    let grant = granted(charge(&mut vm, &mut store, 1));
    vm.settle(&program(), grant, 60, 0);
    let version = store.version;
    granted(charge(&mut vm, &mut store, 2));
    assert_eq!(store.version, version);
}

#[test]
fn charge_other_vm_reads_the_row() {
    let mut store = Store::default();
    let (mut a, mut b) = (accounts("a"), accounts("b"));
    granted(charge(&mut a, &mut store, 1));
    granted(charge(&mut b, &mut store, 1));
    assert!(store.charged() <= BUDGET);
}

#[test]
fn charge_spent_budget_is_refused() {
    let mut store = Store::default();
    let mut vm = accounts("a");
    let mut spent = 0;
    for waiter in 0.. {
        match charge(&mut vm, &mut store, waiter) {
            ChargeDecision::Granted(grant) => {
                spent += grant.tokens;
                vm.settle(&program(), grant, grant.tokens, 0);
            }
            ChargeDecision::Exhausted { charged_tokens } => {
                assert!(charged_tokens + MOST > BUDGET);
                break;
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(spent + MOST > BUDGET);
}

/// Charges until a call is refused.
fn refusal(accounts: &mut ProgramBudgets, store: &mut Store) -> ChargeDecision {
    let decisions = (100..110).map(|waiter| charge(accounts, store, waiter));
    let mut refusals = decisions.filter(|decision| !matches!(decision, ChargeDecision::Granted(_)));
    refusals.next().expect("the budget ends")
}

#[test]
fn charge_held_elsewhere_is_not_spent_and_handed_over() {
    let mut store = Store::default();
    let (mut a, mut b) = (accounts("a"), accounts("b"));
    let grant = granted(charge(&mut a, &mut store, 1));
    a.settle(&program(), grant, 12, 0);
    let refused = refusal(&mut b, &mut store);
    assert!(
        matches!(refused, ChargeDecision::HeldElsewhere { .. }),
        "{refused:?}"
    );
    assert!(a.transfer_out(&program(), MOST, 0));
}

#[test]
fn take_spare_only_what_is_held_and_while_the_row_is_fresh() {
    let mut store = Store::default();
    let mut vm = accounts("a");
    assert!(!vm.transfer_out_surplus(&program(), 1, 0));
    let grant = granted(charge(&mut vm, &mut store, 1));
    vm.settle(&program(), grant, 0, 0);
    assert!(vm.has_held(&program(), MOST));
    assert!(vm.transfer_out_surplus(&program(), MOST, 10));
    assert!(!vm.transfer_out_surplus(&program(), BUDGET, 10));
    // Another VM may have removed a row that was not written for long.
    vm.return_unused(&program(), MOST);
    assert!(!vm.transfer_out_surplus(&program(), MOST, 10_000_000));
}

#[test]
fn take_spare_too_little_does_not_call_it_in() {
    let mut store = Store::default();
    let mut vm = accounts("a");
    granted(charge(&mut vm, &mut store, 1));
    assert!(!vm.transfer_out_surplus(&program(), BUDGET, 0));
    assert_eq!(vm.programs_to_write(100_000), []);
    assert!(!vm.transfer_out(&program(), BUDGET, 0));
    assert_eq!(vm.programs_to_write(100_000), [program()]);
}

#[test]
fn take_back_of_a_forgotten_program_stays_charged() {
    let mut vm = accounts("a");
    vm.return_unused(&program(), MOST);
    assert!(!vm.has_held(&program(), 1));
    assert!(vm.is_empty());
}

#[test]
fn sweep_row_of_a_program_that_goes_on_elsewhere_stays() {
    let mut store = Store::default();
    let mut vm = accounts("a");
    let grant = granted(charge(&mut vm, &mut store, 1));
    vm.settle(&program(), grant, 0, 0);
    let over_ms = 4 * RETENTION_MS + 1;
    assert!(vm.transfer_out(&program(), 1, RETENTION_MS));
    assert_eq!(vm.remove_expired(over_ms), []);
    assert_eq!(vm.remove_expired(over_ms + RETENTION_MS).len(), 1);
}

#[test]
fn charge_after_too_little_was_held_is_spent() {
    let mut store = Store::default();
    let (mut a, mut b) = (accounts("a"), accounts("b"));
    granted(charge(&mut a, &mut store, 1));
    let refused = refusal(&mut b, &mut store);
    assert!(
        matches!(refused, ChargeDecision::HeldElsewhere { .. }),
        "{refused:?}"
    );
    // All that this VM holds is spent meanwhile, so it can't hand over.
    while a.request_charge(&program(), asked(2), 0).is_some() {}
    assert!(!a.transfer_out(&program(), MOST, 0));
    write_due(&mut a, &mut store, 1_000);
    let refused = refusal(&mut b, &mut store);
    assert!(
        matches!(refused, ChargeDecision::Exhausted { .. }),
        "{refused:?}"
    );
}

#[test]
fn ask_spent_budget_is_not_asked_for_again_at_once() {
    let mut store = Store::default();
    let mut vm = accounts("a");
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
fn written_lost_reply_is_recognized_by_its_number() {
    let mut store = Store::default();
    let mut vm = accounts("a");
    assert_eq!(vm.request_charge(&program(), asked(1), 0), None);
    let write = vm.charge_write(&program()).unwrap().write;
    store.apply(&write);
    // The same write again, as its reply was lost.
    let reply = Ok(store.apply(&write));
    let decisions = vm.on_write_reply(&program(), &reply, 0);
    assert!(matches!(
        decisions[..],
        [(WaiterId(1), ChargeDecision::Granted(_))]
    ));
}

#[test]
fn written_unreadable_row_is_no_budget() {
    let mut vm = accounts("a");
    vm.request_charge(&program(), asked(1), 0);
    let write = vm.charge_write(&program()).unwrap().write;
    let row = Row {
        key: write.key,
        value: Some(b"not a row".to_vec()),
        version: 4,
    };
    let decisions = vm.on_write_reply(&program(), &Ok(StoreReply::Conflict(vec![row])), 0);
    assert_eq!(decisions, vec![(WaiterId(1), ChargeDecision::Unavailable)]);
}

fn write_due(accounts: &mut ProgramBudgets, store: &mut Store, now_ms: u64) {
    for program in accounts.programs_to_write(now_ms) {
        while let Some(write) = accounts.release_write(&program) {
            let reply = Ok(store.apply(&write.write));
            accounts.on_write_reply(&program, &reply, now_ms);
        }
    }
}

#[test]
fn sweep_debt_of_a_program_of_other_vms_keeps_its_row() {
    let mut store = Store::default();
    let (mut a, mut steward) = (accounts("a"), accounts("b"));
    granted(charge(&mut a, &mut store, 1));
    steward.add_deferred_charge(&debt(100), 10);
    write_due(&mut steward, &mut store, 10);
    assert_eq!(store.charged(), BUDGET / 2 + 100);
    assert_eq!(steward.remove_expired(60_000), []);
}

#[test]
fn sweep_row_is_the_last_writers() {
    let mut store = Store::default();
    let (mut a, mut b) = (accounts("a"), accounts("b"));
    granted(charge(&mut a, &mut store, 1));
    granted(charge(&mut b, &mut store, 1));
    // What this VM last saw of the row is old, so its removal fails.
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
fn ask_from_held_writes_now_and_then() {
    let mut store = Store::default();
    let mut vm = accounts("a");
    let grant = granted(charge(&mut vm, &mut store, 1));
    vm.settle(&program(), grant, 0, 0);
    assert!(vm.request_charge(&program(), asked(2), 60_000).is_some());
    assert!(vm.request_charge(&program(), asked(3), 60_001).is_none());
}

#[derive(Clone, Debug)]
enum Step {
    Ask(usize),
    Settle(usize, u64),
    GiveBack(usize),
    /// Oldest write of a VM reaches the store and is answered.
    Answer(usize),
    /// It is applied and its answer is lost.
    LoseAnswer(usize),
    /// It has no answer yet and may be applied later.
    Delay(usize),
    Refuse(usize),
    /// Delayed writes reach the store.
    Arrive,
    Withdraw(usize),
    Restart(usize),
    /// One VM hands held tokens over to another, or they get lost on the way.
    HandOver(usize, usize, bool),
    /// Tokens were spent without the store.
    Debt(usize, u64),
}

fn step() -> impl Strategy<Value = Step> {
    let vm = 0..3_usize;
    prop_oneof![
        6 => vm.clone().prop_map(Step::Ask),
        4 => (vm.clone(), 0..=MOST).prop_map(|(vm, used)| Step::Settle(vm, used)),
        1 => vm.clone().prop_map(Step::GiveBack),
        6 => vm.clone().prop_map(Step::Answer),
        2 => vm.clone().prop_map(Step::LoseAnswer),
        2 => vm.clone().prop_map(Step::Delay),
        1 => vm.clone().prop_map(Step::Refuse),
        1 => Just(Step::Arrive),
        1 => vm.clone().prop_map(Step::Withdraw),
        1 => vm.clone().prop_map(Step::Restart),
        1 => (vm.clone(), 0..3_usize, any::<bool>())
            .prop_map(|(from, to, arrives)| Step::HandOver(from, to, arrives)),
        1 => (vm, 1..100_u64).prop_map(|(vm, tokens)| Step::Debt(vm, tokens)),
    ]
}

struct Vm {
    accounts: ProgramBudgets,
    write: Option<BudgetWrite>,
    waiting: Vec<u64>,
    grants: Vec<Grant>,
}

struct World {
    store: Store,
    vms: Vec<Vm>,
    delayed: Vec<RowWrite>,
    used: u64,
    debts: u64,
    /// Tokens may stay charged that nobody has.
    is_lossy: bool,
    next: u64,
}

impl World {
    fn new() -> World {
        let vms = ["a", "b", "c"].map(|name| Vm {
            accounts: accounts(name),
            write: None,
            waiting: Vec::new(),
            grants: Vec::new(),
        });
        World {
            store: Store::default(),
            vms: vms.into(),
            delayed: Vec::new(),
            used: 0,
            debts: 0,
            is_lossy: false,
            next: 1,
        }
    }

    fn begin(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        if vm.write.is_none() {
            vm.write = vm.accounts.charge_write(&program());
        }
    }

    fn reply(&mut self, index: usize, reply: Result<StoreReply, StoreError>) {
        let vm = &mut self.vms[index];
        vm.write = None;
        for (waiter, decision) in vm.accounts.on_write_reply(&program(), &reply, 0) {
            vm.waiting.retain(|other| *other != waiter.0);
            if let ChargeDecision::Granted(grant) = decision {
                vm.grants.push(grant);
            }
        }
        self.begin(index);
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Ask(index) => {
                let waiter = self.next;
                self.next += 1;
                let vm = &mut self.vms[index];
                match vm.accounts.request_charge(&program(), asked(waiter), 0) {
                    Some(ChargeDecision::Granted(grant)) => vm.grants.push(grant),
                    Some(_) => {}
                    None => vm.waiting.push(waiter),
                }
                self.begin(index);
            }
            Step::Settle(index, used) => {
                let vm = &mut self.vms[index];
                if let Some(grant) = vm.grants.pop() {
                    vm.accounts.settle(&program(), grant, used, 0);
                    self.used += used;
                }
            }
            Step::GiveBack(index) => {
                let vm = &mut self.vms[index];
                if vm.write.is_none() {
                    vm.write = vm.accounts.release_write(&program());
                }
            }
            Step::Answer(index) => {
                if let Some(write) = self.vms[index].write.clone() {
                    let reply = self.store.apply(&write.write);
                    self.reply(index, Ok(reply));
                }
            }
            Step::LoseAnswer(index) => {
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
            Step::Arrive => {
                for write in std::mem::take(&mut self.delayed) {
                    self.store.apply(&write);
                }
            }
            Step::Withdraw(index) => {
                let vm = &mut self.vms[index];
                if let Some(waiter) = vm.waiting.pop() {
                    vm.accounts.cancel_charge(&program(), WaiterId(waiter));
                }
            }
            Step::Restart(index) => {
                let name = format!("r{}", self.next);
                self.next += 1;
                let vm = &mut self.vms[index];
                // What calls got before counts as used.
                self.used += vm.grants.drain(..).map(|grant| grant.tokens).sum::<u64>();
                vm.accounts = accounts(&name);
                vm.waiting.clear();
                if let Some(write) = vm.write.take() {
                    self.delayed.push(write.write);
                }
                self.is_lossy = true;
            }
            Step::HandOver(from, to, arrives) => self.hand_over(from, to, arrives),
            Step::Debt(index, tokens) => {
                // What was spent counts, whatever becomes of its record.
                let vm = &mut self.vms[index];
                vm.accounts.add_deferred_charge(&debt(tokens), 0);
                self.debts += tokens;
            }
        }
    }

    fn hand_over(&mut self, from: usize, to: usize, arrives: bool) {
        if from == to || !self.vms[from].accounts.transfer_out(&program(), MOST, 0) {
            return;
        }
        if arrives {
            self.vms[to].accounts.transfer_in(&program(), MOST, 0);
        } else {
            self.is_lossy = true;
        }
    }

    fn committed(&self) -> u64 {
        let grants = self.vms.iter().flat_map(|vm| &vm.grants);
        self.used + grants.map(|grant| grant.tokens).sum::<u64>()
    }

    /// Ends all calls and gives everything back.
    fn settle(&mut self) {
        self.run(&Step::Arrive);
        for _ in 0..4 {
            for index in 0..self.vms.len() {
                while self.vms[index].write.is_some() {
                    self.run(&Step::Answer(index));
                }
                while !self.vms[index].grants.is_empty() {
                    self.run(&Step::Settle(index, 10));
                }
                self.run(&Step::GiveBack(index));
                while self.vms[index].write.is_some() {
                    self.run(&Step::Answer(index));
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
    fn budget_holds_over_lost_and_late_writes(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        for step in &steps {
            world.run(step);
            let committed = world.committed();
            prop_assert!(committed <= BUDGET, "{committed} after {step:?}");
        }
        world.settle();
        prop_assert!(world.store.charged() >= world.used);
        if !world.is_lossy {
            prop_assert_eq!(world.store.charged(), world.used + world.debts);
        }
    }
}

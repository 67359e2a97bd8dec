//! Budgets of several VMs against a store that delays writes and loses replies.

mod cluster;

use cluster::{
    budgets, deferred_charge, program, request, step, Cluster, Store, BUDGET, MAX_CALL_TOKENS,
    RETENTION_MS,
};
use lagoon_gateway::{
    BudgetRow, ChargeDecision, ChargeRequest, Grant, ProgramBudgets, Row, RowWrite, StoreReply,
    WaiterId,
};
use proptest::prelude::*;

fn charge(budgets: &mut ProgramBudgets, store: &mut Store, waiter: u64) -> ChargeDecision {
    charge_at(budgets, store, waiter, 0)
}

fn charge_at(
    budgets: &mut ProgramBudgets,
    store: &mut Store,
    waiter: u64,
    now_ms: u64,
) -> ChargeDecision {
    charge_request_at(budgets, store, request(waiter), now_ms)
}

fn charge_request_at(
    budgets: &mut ProgramBudgets,
    store: &mut Store,
    request: ChargeRequest,
    now_ms: u64,
) -> ChargeDecision {
    if let Some(decision) = budgets.request_charge(&program(), request, now_ms) {
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

// Guards against a budget that counts as spent although calls that ended at another VM
// left tokens unused there, which the row shows only after that VM's next write.
#[test]
fn transfer_of_what_a_call_lacks_follows_a_refusal() {
    let mut store = Store::default();
    let (mut a, mut b) = (budgets("a"), budgets("b"));
    let mut grants = Vec::new();
    while let ChargeDecision::Granted(grant) = charge(&mut a, &mut store, 1) {
        grants.push(grant);
    }
    let refused = charge(&mut b, &mut store, 1);
    assert!(
        matches!(refused, ChargeDecision::Exhausted { .. }),
        "{refused:?}"
    );
    assert_eq!(b.other_writers(&program()), ["a"]);
    let missing_tokens = b.missing_tokens(&program(), MAX_CALL_TOKENS);
    assert!(missing_tokens > 0 && missing_tokens <= MAX_CALL_TOKENS);
    assert!(!a.transfer_out_surplus(&program(), missing_tokens, 0));
    a.settle(&program(), grants[0], 0, 0);
    assert!(a.transfer_out_surplus(&program(), missing_tokens, 0));
    b.transfer_in(&program(), missing_tokens, 0);
    assert_eq!(b.missing_tokens(&program(), MAX_CALL_TOKENS), 0);
    granted(charge(&mut b, &mut store, 2));
    assert!(store.charged() <= BUDGET);
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

// Guards against calls that are refused for good for tokens that another VM holds and would
// release: each refusal writes the row, so that the release never met the row it expected.
#[test]
fn release_that_meets_a_newer_row_is_repeated_at_once() {
    let mut store = Store::default();
    let (mut a, mut b) = (budgets("a"), budgets("b"));
    granted(charge(&mut a, &mut store, 1));
    let refused = (1..).map(|waiter| charge(&mut b, &mut store, waiter));
    let mut refused = refused.filter(|decision| !matches!(decision, ChargeDecision::Granted(_)));
    let held = matches!(refused.next(), Some(ChargeDecision::HeldElsewhere { .. }));
    assert!(held, "the rest is held by the first VM");
    assert!(!a.transfer_out(&program(), BUDGET, 0));
    let now_ms = 10_000;
    assert_eq!(a.programs_to_write(now_ms), [program()]);
    // By now the row is newer than the one that the release expects.
    let mut next = a.release_write(&program());
    let before = store.charged();
    while let Some(write) = next {
        let reply = Ok(store.apply(&write.write));
        a.on_write_reply(&program(), &reply, now_ms);
        next = a.next_write(&program(), now_ms);
    }
    assert!(store.charged() < before, "{before}");
    assert!(a.programs_to_write(now_ms).is_empty());
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

/// VM that spent the whole budget at time 0 and is idle since.
fn spent_by_one_vm(store: &mut Store, retention_ms: u64) -> ProgramBudgets {
    let mut vm = budgets("a");
    loop {
        let request = ChargeRequest {
            retention_ms,
            ..request(1)
        };
        match charge_request_at(&mut vm, store, request, 0) {
            ChargeDecision::Granted(grant) => vm.settle(&program(), grant, grant.tokens, 0),
            _ => return vm,
        }
    }
}

fn remove_expired(vm: &mut ProgramBudgets, store: &mut Store, now_ms: u64) {
    for write in vm.remove_expired(now_ms) {
        store.apply(&write);
    }
}

// Guards against a row that is deleted while VMs refuse the program's calls by it.
#[test]
fn charge_refused_by_an_old_row_keeps_it() {
    let mut store = Store::default();
    let mut a = spent_by_one_vm(&mut store, RETENTION_MS);
    let version = store.version;
    let read_ms = RETENTION_MS / 2 + 1;
    let refused = charge_at(&mut budgets("b"), &mut store, 1, read_ms);
    assert!(matches!(refused, ChargeDecision::Exhausted { .. }));
    assert_eq!(store.version, version + 1);
    remove_expired(&mut a, &mut store, 4 * RETENTION_MS + 1);
    let refused = charge_at(&mut budgets("c"), &mut store, 1, 4 * RETENTION_MS + 1);
    assert!(matches!(refused, ChargeDecision::Exhausted { .. }));
}

// Guards against more calls of the store than one for a call that is refused by a
// row that is known to be recent.
#[test]
fn charge_refused_by_a_recent_row_writes_nothing() {
    let mut store = Store::default();
    let mut b = budgets("b");
    b.record_store_version(store.version, 0);
    spent_by_one_vm(&mut store, RETENTION_MS);
    let version = store.version;
    let refused = charge_at(&mut b, &mut store, 1, RETENTION_MS / 2);
    assert!(matches!(refused, ChargeDecision::Exhausted { .. }));
    assert_eq!(store.version, version);
}

// Guards against a row that its last writer deletes by a shorter retention than that
// of calls at other VMs.
#[test]
fn charge_refused_by_a_row_of_shorter_retention_extends_it() {
    let mut store = Store::default();
    let mut b = budgets("b");
    b.record_store_version(store.version, 0);
    let mut a = spent_by_one_vm(&mut store, RETENTION_MS / 10);
    charge_at(&mut b, &mut store, 1, 1_000);
    remove_expired(&mut a, &mut store, RETENTION_MS);
    let refused = charge_at(&mut budgets("c"), &mut store, 1, RETENTION_MS);
    assert!(matches!(refused, ChargeDecision::Exhausted { .. }));
}

// Guards against a row that isn't kept for a call that got other tokens while it
// waited for a slow store.
#[test]
fn cancelled_charge_keeps_an_old_row() {
    let mut store = Store::default();
    let mut a = spent_by_one_vm(&mut store, RETENTION_MS);
    let mut b = budgets("b");
    let now_ms = RETENTION_MS;
    assert_eq!(b.request_charge(&program(), request(1), now_ms), None);
    let mut next = b.charge_write(&program());
    b.cancel_charge(&program(), WaiterId(1));
    while let Some(write) = next {
        let reply = Ok(store.apply(&write.write));
        assert_eq!(b.on_write_reply(&program(), &reply, now_ms), []);
        next = b.charge_write(&program());
    }
    remove_expired(&mut a, &mut store, 4 * RETENTION_MS + 1);
    assert!(store.charged() > 0);
}

// Guards against rows of other builds that can't be read: those without a retention,
// or with fields that this build doesn't know.
#[test]
fn row_of_another_build_is_read() {
    for row in [
        r#"{"charged_tokens":7,"is_whole":true,"marks":[]}"#,
        r#"{"charged_tokens":7,"marks":[],"retention_ms":5,"later":{}}"#,
    ] {
        let row: BudgetRow = serde_json::from_str(row).expect("a row");
        assert_eq!(row.charged_tokens, 7);
    }
}

// Guards against a budget that starts anew at a VM that was cut off for so long that
// the row was deleted meanwhile.
#[test]
fn charge_restores_a_row_that_was_deleted() {
    let mut store = Store::default();
    let mut a = spent_by_one_vm(&mut store, RETENTION_MS);
    let mut b = budgets("b");
    charge_at(&mut b, &mut store, 1, 1_000);
    let charged = store.charged();
    let row = store.read().expect("a row");
    store.apply(&RowWrite {
        key: row.key,
        expected_version: row.version,
        value: None,
    });
    a.remove_expired(4 * RETENTION_MS + 1);
    let refused = charge_at(&mut b, &mut store, 2, 4 * RETENTION_MS);
    assert!(matches!(refused, ChargeDecision::Exhausted { .. }));
    assert_eq!(store.charged(), charged);
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

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: prop::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn budget_is_kept_despite_lost_and_delayed_writes(steps in prop::collection::vec(step(), 1..120)) {
        let mut cluster = Cluster::new(false);
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

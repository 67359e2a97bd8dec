//! Reserves of budgets: who grants them, and that a budget is kept whatever
//! becomes of the home, the store and the VMs.

mod cluster;

use std::sync::atomic::{AtomicU64, Ordering};

use cluster::{
    budgets_with_reserve, program, request, reserve_request, step_of_long_program,
    step_with_reserve, Cluster, Store, BUDGET, MAX_CALL_TOKENS, RETENTION_MS,
};
use lagoon_gateway::{
    may_release_unconfirmed, reserve_tokens, AllowanceRequest, AllowanceRow, Allowances,
    ChargeDecision, Connectivity, HomeState, PeerEntry, Peers, ProgramBudgets, ProgramKey,
    ReserveRequest, Reserves, Row, RowCheck,
};
use proptest::prelude::*;
use yare::parameterized;

const MINUTE_MS: u64 = 60_000;

fn peers(own: &str, others: &[&str]) -> Peers {
    let mut peers = Peers::new(own.into(), "d1".into());
    for other in others {
        let entry = PeerEntry {
            address: "127.0.0.1:1".parse().expect("address"),
            domain: "d1".into(),
            writer: (*other).into(),
            protocol: 0,
        };
        peers.upsert((*other).into(), entry, 1);
    }
    peers
}

// Guards against two homes that each grant the reserve: a VM that started after
// programs began, one that was missing in the lists of others for a while, or one
// whose list may lack a newer VM.
#[parameterized(
    first_start = { 0, true, Some(0), Some(0), MINUTE_MS, true },
    just_started = { 0, false, Some(0), Some(0), MINUTE_MS, false },
    nearly_old_enough = { 30 * MINUTE_MS - 1, false, Some(0), Some(0), MINUTE_MS, false },
    old_enough = { 30 * MINUTE_MS, false, Some(0), Some(0), MINUTE_MS, true },
    list_not_read = { 40 * MINUTE_MS, true, Some(0), None, MINUTE_MS, false },
    list_recent = { 40 * MINUTE_MS, true, Some(0), Some(15 * MINUTE_MS), MINUTE_MS, true },
    list_old = { 40 * MINUTE_MS, true, Some(0), Some(15 * MINUTE_MS + 1), MINUTE_MS, false },
    long_retention = { 40 * MINUTE_MS, true, Some(0), Some(0), 16 * MINUTE_MS, false },
    first_start_not_registered = { 6_000, true, None, Some(0), MINUTE_MS, false },
    not_registered = { 40 * MINUTE_MS, false, None, Some(0), MINUTE_MS, false },
    registered_soon = { 6_000, true, Some(5_000), Some(0), MINUTE_MS, true },
    registered_late = { 6_000, true, Some(5_001), Some(0), MINUTE_MS, false },
    registered_late_and_long_ago = { 31 * MINUTE_MS, true, Some(MINUTE_MS), Some(0), MINUTE_MS, true },
    registered_again = { 70 * MINUTE_MS, true, Some(41 * MINUTE_MS), Some(0), MINUTE_MS, false },
)]
fn is_home(
    uptime_ms: u64,
    is_first_start: bool,
    registered_ms: Option<u64>,
    list_age_ms: Option<u64>,
    retention_ms: u64,
    expected: bool,
) {
    let state = HomeState {
        uptime_ms,
        is_first_start,
        registered_ms,
        list_age_ms,
    };
    assert_eq!(state.is_home(retention_ms), expected);
}

// Guards against a new home that grants again what a VM granted that is gone.
#[test]
fn home_of_unlisted_vm_is_none_for_half_an_hour() {
    let names = ["a", "b", "c"];
    for number in 0..50 {
        let program = ProgramKey(format!("p{number}").into());
        let mut vm = peers("own", &names);
        let home = vm.home_of(&program, 0).expect("a home");
        if home == "own" {
            continue;
        }
        vm.remove(&home, 1_000);
        assert_eq!(vm.home_of(&program, 1_000), None);
        assert_eq!(vm.home_of(&program, 30 * MINUTE_MS), None);
        let next = vm.home_of(&program, 31 * MINUTE_MS).expect("another home");
        assert_ne!(next, home);
    }
}

#[test]
fn home_of_program_is_the_same_at_all_vms() {
    let names = ["a", "b", "c", "d"];
    for number in 0..50 {
        let program = ProgramKey(format!("p{number}").into());
        let homes = names.map(|own| {
            let others: Vec<&str> = names.into_iter().filter(|name| *name != own).collect();
            peers(own, &others).home_of(&program, 0)
        });
        assert!(homes.iter().all(|home| *home == homes[0]), "{homes:?}");
    }
}

#[test]
fn grant_stays_within_the_reserve() {
    let mut reserves = Reserves::default();
    let mut granted = Vec::new();
    loop {
        match reserves.grant(&reserve_request(), 0) {
            0 => break,
            tokens => granted.push(tokens),
        }
    }
    let total: u64 = granted.iter().sum();
    assert!(total <= reserve_tokens(BUDGET), "{total}");
    assert!(granted.len() > 1, "{granted:?}");
    reserves.return_unused(&program(), granted[0]);
    assert_eq!(reserves.grant(&reserve_request(), 0), granted[0]);
}

// Guards against responses that are cut off although the store is there, only
// slow: where the call can wait for it, the home grants the whole call or nothing.
#[parameterized(
    ample = { 2_400, false, 288 },
    one_call = { 1_152, false, 288 },
    less_than_a_call = { 1_148, false, 0 },
    ample_or_refused = { 2_400, true, 288 },
    scarce_or_refused = { 1_152, true, 216 },
    less_than_a_call_or_refused = { 600, true, 150 },
    less_than_expected = { 200, true, 0 },
)]
fn grant_of_a_first_call(budget_tokens: u64, accepts_fewer: bool, expected: u64) {
    let request = ReserveRequest {
        budget_tokens,
        accepts_fewer,
        ..reserve_request()
    };
    assert_eq!(Reserves::default().grant(&request, 0), expected);
}

fn row(version: u64) -> Row {
    Row {
        key: program().row_key(),
        value: Some(br#"{"charged_tokens":1,"marks":[]}"#.to_vec()),
        version,
    }
}

/// Reads the row for each program that is due; returns the versions that are deleted.
fn check(reserves: &mut Reserves, row: Option<&Row>, began_ms: u64) -> Vec<u64> {
    let due = reserves.programs_to_check(began_ms).into_iter();
    let deletions = due.filter_map(|program| {
        let check = RowCheck { row, began_ms };
        reserves.on_row_read(&program, check)
    });
    deletions.map(|write| write.expected_version).collect()
}

// Guards against a reserve that is forgotten while VMs write the program's row, and
// against one that is kept for good as the row's last writer has ended.
#[test]
fn reserve_is_kept_as_long_as_the_row_changes() {
    let mut reserves = Reserves::default();
    reserves.grant(&reserve_request(), 0);
    let mut now_ms = 6 * RETENTION_MS;
    assert!(reserves.programs_to_check(now_ms).is_empty());
    for version in 1..5 {
        now_ms += 4 * RETENTION_MS + 1;
        assert!(check(&mut reserves, Some(&row(version)), now_ms).is_empty());
        assert_eq!(reserves.len(), 1);
    }
    let early_ms = now_ms + 4 * RETENTION_MS;
    assert!(reserves.programs_to_check(early_ms).is_empty());
    assert_eq!(check(&mut reserves, Some(&row(4)), early_ms + 1), [4]);
    assert_eq!(reserves.len(), 1, "the row is not deleted yet");
    check(&mut reserves, None, early_ms + 1);
    assert!(reserves.is_empty());
}

#[test]
fn reserve_that_is_used_while_the_row_is_read_is_kept() {
    let mut reserves = Reserves::default();
    reserves.grant(&reserve_request(), 0);
    let began_ms = 6 * RETENTION_MS + 1;
    let due = reserves.programs_to_check(began_ms);
    reserves.grant(&reserve_request(), began_ms);
    let row = None;
    reserves.on_row_read(&due[0], RowCheck { row, began_ms });
    assert_eq!(reserves.len(), 1);
}

// Guards against tokens that are granted both by the home and by the row.
#[test]
fn release_ends_all_grants() {
    let mut reserves = Reserves::default();
    let granted = reserves.grant(&reserve_request(), 0);
    assert_eq!(reserves.release(&reserve_request(), 0), Some(granted));
    assert_eq!(reserves.grant(&reserve_request(), 0), 0);
    reserves.return_unused(&program(), granted);
    assert_eq!(reserves.release(&reserve_request(), 0), Some(granted));
    assert_eq!(reserves.grant(&reserve_request(), 0), 0);
}

// Guards against a budget that is overspent by more than one call as the reserve is
// released although its home, which granted all of it, can't say so, and an allowance
// is granted too.
#[test]
fn unconfirmed_release_and_allowance_stay_within_the_largest_call() {
    let sizes = [
        1, 2, 7, 100, 143, 144, 145, 215, 216, 217, 250, 287, 288, 400,
    ];
    for budget_tokens in [1, 3, 4, 96, 216, 287, 288, 289, 300, 384, 385, 1_152, 2_304] {
        let largest = sizes
            .iter()
            .filter(|tokens| may_release_unconfirmed(budget_tokens, **tokens));
        for (largest, smaller) in largest.flat_map(|tokens| sizes.map(|other| (*tokens, other))) {
            let mut allowances = Allowances::default();
            let mut allowed = 0;
            for max_tokens in [smaller.min(largest), largest, smaller.min(largest)] {
                let request = AllowanceRequest {
                    connectivity: Connectivity::AllDomains,
                    program: program().0,
                    budget_tokens,
                    max_tokens,
                    expected_tokens: max_tokens.div_ceil(3),
                };
                let row = AllowanceRow {
                    is_holder: true,
                    ..AllowanceRow::default()
                };
                allowed += allowances.grant(&request, row, 0);
            }
            let spent = budget_tokens + reserve_tokens(budget_tokens) + allowed;
            assert!(
                spent <= budget_tokens + largest,
                "{spent} of {budget_tokens} and {largest}, also calls of {smaller}"
            );
        }
    }
}

// Guards against calls that are refused until a home that started anew may say what
// was granted, though the budget without the reserve never holds them.
#[parameterized(
    one_call = { 288, 288, true },
    fits_without_reserve = { 384, 288, false },
    just_too_large = { 382, 288, true },
    several_calls = { 2_304, 288, false },
)]
fn release_unconfirmed(budget_tokens: u64, max_tokens: u64, expected: bool) {
    assert_eq!(may_release_unconfirmed(budget_tokens, max_tokens), expected);
}

fn charge(vm: &mut ProgramBudgets, store: &mut Store, waiter: u64) -> ChargeDecision {
    if let Some(decision) = vm.request_charge(&program(), request(waiter), 0) {
        return decision;
    }
    loop {
        let write = vm.charge_write(&program()).expect("a call waits");
        let reply = Ok(store.apply(&write.write));
        if let Some((_, decision)) = vm.on_write_reply(&program(), &reply, 0).first() {
            return *decision;
        }
    }
}

#[test]
fn charge_beyond_the_row_needs_the_reserve_and_then_takes_it() {
    let mut store = Store::default();
    let mut vm = budgets_with_reserve("a");
    let mut granted = 0;
    while let ChargeDecision::Granted(grant) = charge(&mut vm, &mut store, granted) {
        granted += grant.tokens;
    }
    assert!(granted <= BUDGET - reserve_tokens(BUDGET), "{granted}");
    assert_eq!(
        charge(&mut vm, &mut store, 1),
        ChargeDecision::ReserveNeeded
    );
    vm.record_release(&program(), 50);
    while let ChargeDecision::Granted(grant) = charge(&mut vm, &mut store, granted) {
        granted += grant.tokens;
    }
    assert!(granted + 50 <= BUDGET, "{granted}");
    assert!(granted + 50 + MAX_CALL_TOKENS > BUDGET, "{granted}");
    let last = charge(&mut vm, &mut store, 2);
    assert!(matches!(last, ChargeDecision::Exhausted { .. }), "{last:?}");
    // Another VM sees in the row that the whole budget was charged.
    let other = charge(&mut budgets_with_reserve("b"), &mut store, 3);
    assert!(
        matches!(other, ChargeDecision::Exhausted { .. }),
        "{other:?}"
    );
}

static RELEASES: AtomicU64 = AtomicU64::new(0);
static RESERVE_CALLS: AtomicU64 = AtomicU64::new(0);

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: prop::test_runner::RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against a budget that is spent twice as the store vanishes at some
    // step of a charge, or a VM or the home ends there.
    fn run_reserve_schedules(steps in prop::collection::vec(step_with_reserve(), 1..120)) {
        let mut cluster = Cluster::new(true);
        for step in &steps {
            cluster.run(step);
            let committed = cluster.committed();
            prop_assert!(committed <= BUDGET, "{committed} after {step:?}");
        }
        cluster.settle();
        prop_assert!(cluster.store.charged() >= cluster.used);
        RELEASES.fetch_add(cluster.releases, Ordering::SeqCst);
        RESERVE_CALLS.fetch_add(cluster.reserve_calls, Ordering::SeqCst);
    }
}

static LONG_PROGRAMS: AtomicU64 = AtomicU64::new(0);
static RELEASES_OF_LONG_PROGRAMS: AtomicU64 = AtomicU64::new(0);

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: prop::test_runner::RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against a row, or what a home granted or released, that is forgotten
    // while other VMs use the program, whichever VM wrote or asked last.
    fn run_schedules_of_long_programs(
        steps in prop::collection::vec(step_of_long_program(), 1..200)
    ) {
        let mut cluster = Cluster::new(true);
        let mut has_reserve = false;
        for step in &steps {
            cluster.run(step);
            let committed = cluster.committed();
            let now_ms = cluster.now_ms();
            prop_assert!(committed <= BUDGET, "{committed} after {step:?} at {now_ms}");
            prop_assert_eq!(cluster.deletions, 0, "row deleted at {}", now_ms);
            prop_assert!(
                !has_reserve || cluster.has_reserve() || cluster.has_home_ended(),
                "reserve forgotten at {now_ms}"
            );
            has_reserve |= cluster.has_reserve();
        }
        if cluster.now_ms() > 12 * RETENTION_MS {
            LONG_PROGRAMS.fetch_add(1, Ordering::SeqCst);
            RELEASES_OF_LONG_PROGRAMS.fetch_add(cluster.releases, Ordering::SeqCst);
        }
    }
}

#[test]
fn row_and_reserve_of_a_long_program_are_kept() {
    run_schedules_of_long_programs();
    let counts = [&LONG_PROGRAMS, &RELEASES_OF_LONG_PROGRAMS];
    let counts = counts.map(|count| count.load(Ordering::SeqCst));
    println!("programs of more than 12 retentions, and their releases: {counts:?}");
    assert!(counts.iter().all(|count| *count > 200), "{counts:?}");
}

#[test]
fn budget_with_reserve_is_kept_whatever_ends() {
    run_reserve_schedules();
    let counts = [&RELEASES, &RESERVE_CALLS].map(|count| count.load(Ordering::SeqCst));
    println!("releases and calls from the reserve: {counts:?}");
    assert!(counts.iter().all(|count| *count > 1_000), "{counts:?}");
}

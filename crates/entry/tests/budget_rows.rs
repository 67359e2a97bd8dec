//! Budgets of programs that last for many retentions, or outlast all VMs.

mod fleet;

use std::thread;
use std::time::{Duration, Instant};

use fleet::{call, wait_until, Fleet, CONFIG, EVENT_COUNT};
use lagoon_adapter::standin::model_call_headers;
use lagoon_standin::fleet::StoreFault;

/// Tokens of a complete response, which is the most that a call may generate here.
const CALL_TOKENS: u64 = EVENT_COUNT * 12;

const BUDGET_TOKENS: u64 = 1_500;

/// Pause between calls; shorter than the retention.
const PAUSE: Duration = Duration::from_millis(1_400);

/// Longer than rows and reserves of programs that are not in use are kept.
const LONG_TIME: Duration = Duration::from_secs(19);

/// VMs whose streaming routes have a retention of 2 s.
fn start(vms: usize) -> Fleet {
    let fleet = Fleet::start(vms);
    let config = CONFIG
        .replace("\"version\": 3", "\"version\": 4")
        .replace("\"retention_s\": 60.0", "\"retention_s\": 2.0");
    fleet.store.configure(&config);
    wait_until("the configuration", || {
        let metrics = fleet.vms.iter().map(|vm| fleet::get(vm.peers, "/metrics"));
        let mut metrics = metrics.map(|response| response.body);
        metrics.all(|body| body.contains("lagoon_config_version 4\n"))
    });
    fleet
}

/// Calls through a VM; returns the status and the tokens that the caller got.
fn call_program(fleet: &Fleet, vm: usize) -> (u16, u64) {
    let headers = model_call_headers("r", "program", BUDGET_TOKENS, CALL_TOKENS);
    let response = call(fleet.vms[vm].callers, "POST /stream/x", &headers, "p");
    let tokens = 12 * response.body.matches("id: ").count() as u64;
    (response.status, tokens)
}

/// Calls until the budget is spent; returns the tokens that the caller got.
fn spend_all(fleet: &Fleet) -> u64 {
    let mut spent = 0;
    wait_until("the end of the budget", || {
        let (status, tokens) = call_program(fleet, 0);
        spent += tokens;
        status == 402
    });
    spent
}

// Guards against a second budget for a program that VMs refuse by its row, after the
// VM that wrote the row has not seen it for four retentions.
#[test]
fn row_that_other_vms_refuse_by_is_kept() {
    let mut fleet = start(3);
    let mut spent = spend_all(&fleet);
    let began = Instant::now();
    while began.elapsed() < LONG_TIME {
        // Each call comes through a VM that has not seen the program.
        drop(fleet.vms.remove(1));
        fleet.start_vm();
        spent += call_program(&fleet, 2).1;
        thread::sleep(PAUSE);
    }
    assert!(spent <= BUDGET_TOKENS + CALL_TOKENS, "{spent}");
    assert!(!fleet.store.values("budgets").is_empty());
}

// Guards against a home that forgets what it granted, as no call needs the reserve
// while others spend the rest of the budget.
#[test]
fn reserve_granted_to_a_program_in_use_is_kept() {
    let fleet = start(3);
    fleet.store.set_fault(StoreFault::Unavailable);
    let mut spent: u64 = (0..10).map(|_| call_program(&fleet, 0).1).sum();
    assert!(spent > 2 * CALL_TOKENS, "{spent}");
    fleet.store.set_fault(StoreFault::None);
    let began = Instant::now();
    while began.elapsed() < LONG_TIME {
        thread::sleep(PAUSE);
        // Some calls only: the row lasts until the end.
        let vm = if spent < BUDGET_TOKENS / 2 { 0 } else { 1 };
        spent += call_program(&fleet, vm).1;
    }
    spent += spend_all(&fleet);
    assert!(spent <= BUDGET_TOKENS + CALL_TOKENS, "{spent}");
}

// Guards against records that are kept for good: of a program that ended, no row and
// no reserve is left.
#[test]
fn row_and_reserve_of_a_program_that_ended_are_removed() {
    let fleet = start(2);
    spend_all(&fleet);
    assert_eq!(fleet.store.values("budgets").len(), 1);
    wait_until("the removal of the row", || {
        fleet.store.values("budgets").is_empty()
    });
    // A program of the same name has its whole budget again.
    thread::sleep(LONG_TIME);
    let spent = spend_all(&fleet);
    assert!(spent + CALL_TOKENS > BUDGET_TOKENS, "{spent}");
}

// Guards against calls that are refused for long after a restart of all VMs, as no
// VM is sure of what was granted of the reserve.
#[test]
fn program_of_one_call_is_served_after_a_restart_of_all_vms() {
    let mut fleet = Fleet::start(3);
    fleet.restart_all_vms();
    for (index, program) in ["a", "b", "c", "d", "e", "f"].into_iter().enumerate() {
        let headers = model_call_headers("r", program, CALL_TOKENS, CALL_TOKENS);
        let callers = fleet.vms[index % 3].callers;
        let response = call(callers, "POST /stream/x", &headers, "p");
        assert_eq!(response.status, 200, "{}", response.body);
        let response = call(callers, "POST /stream/x", &headers, "p");
        assert_eq!(response.status, 402, "{}", response.body);
    }
}

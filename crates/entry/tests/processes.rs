//! The daemon as a process, with real sockets and signals.

mod fleet;

use std::thread;
use std::time::Duration;

use fleet::{
    call, complete_stream, get, read_response, send_request, wait_until, Fleet, FleetOptions,
    CONFIG, EVENT_COUNT,
};
use lagoon_adapter::standin::{model_call_headers, service_call_headers};
use lagoon_adapter::TARGET_TABLE;
use lagoon_gateway::{BudgetRow, TargetStatus};
use lagoon_standin::fleet::{ExecutionState, ProxyFault, StoreFault, Target, TargetFault};
use nix::sys::signal::Signal;
use yare::parameterized;

const BUDGET_TOKENS: u64 = 2_000;
const MAX_CALL_TOKENS: u64 = 288;

/// Longer than the time for which missing targets are kept after an outage.
const MISSING_GRACE_TIME: Duration = Duration::from_millis(2_500);

/// Time in which a VM learns of a change in the store; shorter than the grace
/// time.
const FEED_TIME: Duration = Duration::from_millis(500);

/// Longer than an outage of the store after which watches are renewed.
const WATCH_LOSS_TIME: Duration = Duration::from_millis(1_500);

fn model_call(id: &str) -> Vec<String> {
    model_call_headers(id, "program", BUDGET_TOKENS, MAX_CALL_TOKENS)
}

fn engine_executions(fleet: &Fleet) -> usize {
    fleet
        .engines
        .iter()
        .map(|engine| engine.executions().len())
        .sum()
}

fn desk_executions(fleet: &Fleet) -> usize {
    fleet.desks.iter().map(|desk| desk.executions().len()).sum()
}

#[test]
fn forward_request_and_response_unchanged() {
    let fleet = Fleet::start(1);
    let headers = service_call_headers("r1");
    let response = call(fleet.callers(), "POST /book/x?y=%20z", &headers, "the body");
    assert_eq!((response.status, response.body.as_str()), (200, "done"));
    let executions: Vec<_> = fleet
        .desks
        .iter()
        .flat_map(|desk| desk.executions())
        .collect();
    assert_eq!(executions.len(), 1);
    assert_eq!(executions[0].path, "/book/x?y=%20z");
    assert_eq!(executions[0].body, b"the body");
    assert!(executions[0]
        .received
        .deadline_ms
        .is_some_and(|left| left <= 3_000));
}

#[test]
fn forward_unknown_route_or_host_is_404() {
    let fleet = Fleet::start(1);
    assert_eq!(call(fleet.callers(), "GET /none/x", &[], "").status, 404);
    let other = send_request(fleet.callers(), "GET /look/x", "b.example", &[], "");
    assert_eq!(read_response(other).status, 404);
}

#[test]
fn start_without_the_store_is_503_and_unready() {
    let fleet = Fleet::start(0);
    fleet.store.set_fault(StoreFault::Unavailable);
    let vm = fleet.spawn_vm();
    wait_until("daemon", || get(vm.ready, "/ready").status == 503);
    let response = call(vm.callers, "GET /look/x", &service_call_headers("r1"), "");
    assert_eq!(response.status, 503);
    assert!(response.head.contains("retry-after: "));
    fleet.store.set_fault(StoreFault::None);
    wait_until("readiness", || get(vm.ready, "/ready").status == 200);
}

#[test]
fn stream_is_complete() {
    let fleet = Fleet::start(1);
    let response = call(
        fleet.callers(),
        "POST /stream/x",
        &model_call("r1"),
        "prompt",
    );
    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(response.body, complete_stream());
}

#[test]
fn interrupted_stream_resumes_after_last_event() {
    let fleet = Fleet::start(1);
    for engine in &fleet.engines {
        engine.set_fault(TargetFault::TruncateAfter(2));
    }
    let response = call(
        fleet.callers(),
        "POST /stream/x",
        &model_call("r1"),
        "prompt",
    );
    assert!(response.is_complete);
    assert_eq!(response.body, complete_stream());
    let executions: Vec<_> = fleet
        .engines
        .iter()
        .flat_map(|engine| engine.executions())
        .collect();
    let resumed = executions
        .iter()
        .filter(|execution| execution.received.last_event_id == Some(2));
    assert_eq!(resumed.count(), 1);
}

#[test]
fn stream_that_ends_within_its_last_event_is_resumed() {
    let fleet = Fleet::start(1);
    for engine in &fleet.engines {
        engine.set_fault(TargetFault::TruncateAfter(fleet::EVENT_COUNT - 1));
    }
    let response = call(
        fleet.callers(),
        "POST /stream/x",
        &model_call("r1"),
        "prompt",
    );
    assert_eq!(
        (response.is_complete, response.body),
        (true, complete_stream())
    );
}

#[test]
fn stream_is_dropped_at_the_engine_when_the_caller_disconnects() {
    let fleet = Fleet::start(1);
    let stream = send_request(
        fleet.callers(),
        "POST /stream/x",
        "a.example",
        &model_call("r1"),
        "p",
    );
    wait_until("the run", || engine_executions(&fleet) == 1);
    drop(stream);
    wait_until("end of the run", || {
        let mut executions = fleet.engines.iter().flat_map(|engine| engine.executions());
        executions.any(|execution| execution.state == ExecutionState::Disconnected)
    });
}

#[test]
fn booking_is_not_retried_after_lost_response() {
    let fleet = Fleet::start(1);
    for desk in &fleet.desks {
        desk.set_fault(TargetFault::DropResponse);
    }
    let response = call(
        fleet.callers(),
        "POST /book/x",
        &service_call_headers("r1"),
        "b",
    );
    assert_eq!(response.status, 502);
    assert_eq!(desk_executions(&fleet), 1);
}

#[test]
fn booking_with_response_to_another_request_has_unknown_outcome() {
    let fleet = Fleet::start(1);
    for desk in &fleet.desks {
        desk.set_fault(TargetFault::WrongRequestId);
    }
    let response = call(
        fleet.callers(),
        "POST /book/x",
        &service_call_headers("r1"),
        "b",
    );
    assert_eq!(response.status, 502);
    assert_eq!(desk_executions(&fleet), 1);
}

#[test]
fn booking_at_full_desks_is_refused_as_not_executed() {
    let fleet = Fleet::start(1);
    for desk in &fleet.desks {
        desk.set_fault(TargetFault::AtCapacity);
    }
    let response = call(
        fleet.callers(),
        "POST /book/x",
        &service_call_headers("r1"),
        "b",
    );
    assert_eq!(response.status, 503);
    assert!(response.head.contains("retry-after: "));
    assert_eq!(desk_executions(&fleet), 0);
}

#[test]
fn lookup_is_retried_after_lost_response() {
    let fleet = Fleet::start(1);
    for desk in &fleet.desks {
        desk.set_fault(TargetFault::DropResponse);
    }
    let response = call(
        fleet.callers(),
        "GET /look/x",
        &service_call_headers("r1"),
        "",
    );
    assert_eq!(response.body, "done");
}

#[test]
fn draining_target_gets_no_new_requests() {
    let fleet = Fleet::start(1);
    let draining = &fleet.desks[0];
    fleet
        .store
        .add_target(&draining.entry("desks", TargetStatus::Draining));
    wait_until("the draining status at the VM", || {
        let before = draining.executions().len();
        (0..8).for_each(|_| {
            call(
                fleet.callers(),
                "GET /look/x",
                &service_call_headers("r"),
                "",
            );
        });
        draining.executions().len() == before
    });
}

/// State of an engine after it has interrupted a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InterruptedAt {
    Draining,
    Unlisted,
}

// Guards against an interrupted stream that is sent again to a target that was drained
// while it ran, and against one that goes on at another target though its route allows
// one only and the first one has not ended.
#[parameterized(
    draining = { InterruptedAt::Draining },
    unlisted = { InterruptedAt::Unlisted },
)]
fn stream_that_a_drained_target_interrupts_goes_to_no_target(state: InterruptedAt) {
    let options = FleetOptions {
        event_interval: Duration::from_millis(200),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start_with(1, options);
    for engine in &fleet.engines {
        engine.set_fault(TargetFault::TruncateAfter(4));
    }
    let caller = send_request(
        fleet.callers(),
        "POST /stream/x",
        "a.example",
        &model_call("r1"),
        "p",
    );
    wait_until("the run", || engine_executions(&fleet) == 1);
    let is_running = |engine: &&Target| !engine.executions().is_empty();
    let running = fleet.engines.iter().find(is_running).expect("an engine");
    for engine in &fleet.engines {
        // The other one interrupts nothing.
        if engine.executions().is_empty() {
            engine.set_fault(TargetFault::None);
        }
    }
    match state {
        InterruptedAt::Draining => {
            let entry = running.entry("engines", TargetStatus::Draining);
            fleet.store.add_target(&entry);
        }
        InterruptedAt::Unlisted => fleet.store.remove_target(&running.id),
    }
    let response = read_response(caller);
    assert!(!response.is_complete, "{}", response.body);
    assert_eq!(response.body.matches("id: ").count(), 4);
    assert_eq!(engine_executions(&fleet), 1);
}

#[test]
fn configuration_change_applies_at_runtime() {
    let fleet = Fleet::start(1);
    let new = CONFIG
        .replace("\"version\": 3", "\"version\": 8")
        .replace("/look/", "/find/");
    fleet.store.configure(&new);
    wait_until("new route", || {
        call(
            fleet.callers(),
            "GET /find/x",
            &service_call_headers("r1"),
            "",
        )
        .status
            == 200
    });
    assert_eq!(call(fleet.callers(), "GET /look/x", &[], "").status, 404);
    // An older version does not replace a newer one, and an invalid one changes
    // nothing.
    fleet.store.configure(CONFIG);
    fleet.store.configure("no configuration");
    fleet
        .store
        .configure(&new.replace("\"version\": 8", "\"version\": 9"));
    wait_until("version 9", || {
        get(fleet.vms[0].peers, "/metrics")
            .body
            .contains("config_version 9")
    });
    assert_eq!(call(fleet.callers(), "GET /look/x", &[], "").status, 404);
}

// Guards against requests to a target that is gone, as the VM takes the first
// reply to a watch for the end of an outage that ended long before.
#[test]
fn target_removed_long_after_an_outage_gets_no_new_requests() {
    let fleet = Fleet::start_proxied(1);
    let charge = |id: &str| {
        let headers = model_call_headers(id, id, BUDGET_TOKENS, MAX_CALL_TOKENS);
        call(fleet.callers(), "POST /stream/x", &headers, "prompt")
    };
    fleet.proxies[0].set_fault(ProxyFault::Blackhole);
    charge("silent");
    thread::sleep(WATCH_LOSS_TIME);
    fleet.proxies[0].set_fault(ProxyFault::None);
    let transactions = fleet.store.transaction_count();
    let mut number = 0;
    wait_until("a charge in the store", || {
        number += 1;
        charge(&format!("back{number}"));
        fleet.store.transaction_count() > transactions
    });
    thread::sleep(MISSING_GRACE_TIME);
    let removed = &fleet.desks[0];
    fleet.store.remove_target(&removed.id);
    thread::sleep(FEED_TIME);
    let before = removed.executions().len();
    for number in 0..20 {
        let headers = service_call_headers(&format!("l{number}"));
        call(fleet.callers(), "GET /look/x", &headers, "");
    }
    assert_eq!(removed.executions().len(), before);
}

// Guards against an old configuration in force long after the store is back, as
// the VM waits for the reply to a watch that the outage swallowed.
#[test]
fn configuration_applies_soon_after_the_store_was_silent() {
    const CALLS: usize = 20;
    let fleet = Fleet::start_proxied(1);
    fleet.proxies[0].set_fault(ProxyFault::Blackhole);
    let charge = |id: &str, program: &str| {
        let headers = model_call_headers(id, program, BUDGET_TOKENS, MAX_CALL_TOKENS);
        call(fleet.callers(), "POST /stream/x", &headers, "prompt")
    };
    charge("silent", "p0");
    thread::sleep(WATCH_LOSS_TIME);
    fleet.proxies[0].set_fault(ProxyFault::None);
    let transactions = fleet.store.transaction_count();
    let mut program = 0;
    wait_until("a charge in the store", || {
        program += 1;
        charge("back", &format!("q{program}"));
        fleet.store.transaction_count() > transactions
    });
    let newer = CONFIG.replace("\"version\": 3", "\"version\": 4");
    fleet.store.configure(&newer.replace("/look/", "/seek/"));
    for id in 0..CALLS {
        charge("later", &format!("r{id}"));
    }
    let headers = service_call_headers("seek");
    assert_eq!(
        call(fleet.callers(), "GET /seek/x", &headers, "").status,
        200
    );
}

// Guards against connections that are reset at a planned stop, although callers
// opened them and sent requests before the listener closed.
#[test]
fn stop_answers_connections_that_wait_to_be_accepted() {
    const CALLERS: usize = 30;
    let fleet = Fleet::start(1);
    let vm = &fleet.vms[0];
    vm.signal(Signal::SIGTERM);
    // Shortly before the listener closes, 2.2 s after the signal.
    thread::sleep(Duration::from_millis(2_000));
    vm.signal(Signal::SIGSTOP);
    let headers = service_call_headers("r1");
    let waiting: Vec<_> = (0..CALLERS)
        .map(|_| send_request(vm.callers, "GET /look/x", "a.example", &headers, ""))
        .collect();
    thread::sleep(Duration::from_millis(500));
    vm.signal(Signal::SIGCONT);
    let statuses = waiting
        .into_iter()
        .map(|caller| read_response(caller).status);
    let answered = statuses.filter(|status| *status == 200).count();
    assert_eq!(answered, CALLERS);
}

// Guards against a VM that ends, or a budget that wraps around, by numbers that no
// caller has.
#[test]
fn model_call_with_huge_numbers_is_answered_and_harms_no_other() {
    let fleet = Fleet::start(1);
    for (budget, tokens) in [(u64::MAX, u64::MAX), (u64::MAX, 288), (288, u64::MAX)] {
        let headers = model_call_headers("r1", "huge", budget, tokens);
        let response = call(fleet.callers(), "POST /stream/x", &headers, "p");
        assert!(matches!(response.status, 200 | 402 | 503), "{response:?}");
    }
    let response = call(fleet.callers(), "POST /stream/x", &model_call("r2"), "p");
    assert_eq!(response.body, complete_stream());
}

// Guards against a read of the store for each VM or target that starts, by each
// VM: many that start together are read in few calls.
#[test]
fn watch_reads_changes_that_come_together_in_few_calls() {
    const STARTS: u64 = 60;
    let fleet = Fleet::start(1);
    let tables = ["vms", TARGET_TABLE];
    let before = tables.map(|table| fleet.store.watch_count(table));
    for number in 0..STARTS {
        let row = Some(b"{}".to_vec());
        fleet.store.put("vms", &format!("other-{number}"), row);
        let mut entry = fleet.entry(0, TargetStatus::Ready);
        entry.id = format!("target-{number}").into();
        fleet.store.add_target(&entry);
        thread::sleep(Duration::from_millis(10));
    }
    let known = format!("\nlagoon_targets {}\n", STARTS + 4);
    wait_until("all targets", || {
        get(fleet.vms[0].peers, "/metrics").body.contains(&known)
    });
    for (table, before) in tables.into_iter().zip(before) {
        let watches = fleet.store.watch_count(table) - before;
        assert!(watches <= STARTS / 6, "{table}: {watches} watches");
    }
}

#[test]
fn budget_is_shared_by_vms_and_survives_restarts() {
    let mut fleet = Fleet::start(2);
    let mut served = 0;
    for attempt in 0..60 {
        if attempt == 10 {
            fleet.vms[1].signal(Signal::SIGKILL);
            fleet.vms[1].wait();
            fleet.vms.remove(1);
            fleet.start_vm();
        }
        let vm = &fleet.vms[attempt % 2];
        let response = call(vm.callers, "POST /stream/x", &model_call("r"), "p");
        match response.status {
            200 => served += 1,
            402 => break,
            // The other VM holds the tokens, and returns them soon.
            503 => std::thread::sleep(Duration::from_millis(100)),
            other => panic!("status {other}"),
        }
    }
    let spent = served * fleet::EVENT_COUNT * 12;
    assert!(spent > BUDGET_TOKENS / 4, "{spent}");
    assert!(spent <= BUDGET_TOKENS + MAX_CALL_TOKENS, "{spent}");
}

#[test]
fn charge_with_lost_reply_is_applied_once() {
    let fleet = Fleet::start(1);
    fleet.store.set_fault(StoreFault::DropReply);
    let before = fleet.store.transaction_count();
    let response = call(fleet.callers(), "POST /stream/x", &model_call("r1"), "p");
    assert_eq!(response.body, complete_stream());
    assert_eq!(fleet.store.transaction_count(), before + 2);
    let rows = fleet.store.values("budgets");
    assert_eq!(rows.len(), 1);
    let row: lagoon_gateway::BudgetRow = serde_json::from_slice(&rows[0]).expect("row");
    assert!(row.charged_tokens <= BUDGET_TOKENS / 2, "{row:?}");
}

#[test]
fn running_program_continues_without_the_store() {
    let fleet = Fleet::start(1);
    call(fleet.callers(), "POST /stream/x", &model_call("r1"), "p");
    fleet.store.set_fault(StoreFault::Unavailable);
    let response = call(fleet.callers(), "POST /stream/x", &model_call("r2"), "p");
    assert_eq!(response.body, complete_stream());
}

/// Calls of a program through the VMs in turn; returns the status and the tokens of each.
fn calls_in_turn(fleet: &Fleet, program: &'static str) -> impl FnMut() -> (u16, u64) {
    let addresses: Vec<_> = fleet.vms.iter().map(|vm| vm.callers).collect();
    let headers = model_call_headers("r", program, BUDGET_TOKENS, MAX_CALL_TOKENS);
    let mut attempt = 0;
    move || {
        attempt += 1;
        let vm = addresses[attempt % addresses.len()];
        let response = call(vm, "POST /stream/x", &headers, "p");
        let events = response.body.matches("id: ").count() as u64;
        (response.status, 12 * events)
    }
}

// Guards against a budget that is spent twice by VMs that can't know what an
// earlier run of a home has granted.
#[test]
fn program_without_store_and_home_gets_the_tokens_of_one_call() {
    let fleet = Fleet::start_again(2);
    let mut next_call = calls_in_turn(&fleet, "spent");
    let mut spent_before = 0;
    wait_until("the whole budget to be held or spent", || {
        let (status, tokens) = next_call();
        spent_before += tokens;
        status != 200
    });
    fleet.store.set_fault(StoreFault::Unavailable);
    // Each VM must first detect that the store is unavailable.
    let mut spent = 0;
    wait_until("tokens without the store", || {
        spent += next_call().1;
        spent > 0
    });
    spent += (0..30).map(|_| next_call().1).sum::<u64>();
    assert!(spent <= MAX_CALL_TOKENS, "{spent}");
    fleet.store.set_fault(StoreFault::None);
    wait_until("charge of what was spent", || {
        let rows = fleet.store.values("budgets");
        let rows = rows.iter().filter_map(|row| BudgetRow::decode(row).ok());
        let mut charged = rows.map(|row| row.charged_tokens);
        charged.any(|charged_tokens| charged_tokens >= spent_before + spent)
    });
}

// Guards against an allowance for a program that may have got one before, from VMs whose
// runs have ended. Nothing tells VMs that have just started a new program from it.
#[test]
fn unknown_program_without_store_and_home_is_refused_as_not_run() {
    let fleet = Fleet::start_again(2);
    fleet.store.set_fault(StoreFault::Unavailable);
    let mut next_call = calls_in_turn(&fleet, "unknown");
    let responses: Vec<(u16, u64)> = (0..30).map(|_| next_call()).collect();
    assert!(
        responses.iter().all(|response| *response == (503, 0)),
        "{responses:?}"
    );
    let executions = fleet.engines.iter().map(|engine| engine.executions().len());
    assert_eq!(executions.sum::<usize>(), 0);
}

// Guards against programs that can't go on for as long as the store is away, and
// against tokens of the reserve that the row doesn't count afterwards.
#[test]
fn new_program_without_the_store_gets_its_reserve_within_its_budget() {
    let fleet = Fleet::start(2);
    fleet.store.set_fault(StoreFault::Unavailable);
    let headers = model_call_headers("r", "new", BUDGET_TOKENS, MAX_CALL_TOKENS);
    let mut attempt = 0;
    let mut next_call = || {
        attempt += 1;
        let vm = &fleet.vms[attempt % 2];
        let response = call(vm.callers, "POST /stream/x", &headers, "p");
        let tokens = 12 * response.body.matches("id: ").count() as u64;
        (response.status, tokens)
    };
    let mut spent: u64 = (0..30).map(|_| next_call().1).sum();
    let most = BUDGET_TOKENS / 4 + MAX_CALL_TOKENS;
    assert!(spent > MAX_CALL_TOKENS, "{spent}");
    assert!(spent <= most, "{spent}");
    fleet.store.set_fault(StoreFault::None);
    wait_until("the end of the budget", || {
        let (status, tokens) = next_call();
        spent += tokens;
        status == 402
    });
    assert!(spent <= BUDGET_TOKENS + MAX_CALL_TOKENS, "{spent}");
    assert!(spent > BUDGET_TOKENS - 2 * MAX_CALL_TOKENS, "{spent}");
}

// Guards against a program that is ended as its budget is spent, although most of a call's
// tokens are left: a call at another VM has just ended and left them there.
#[test]
fn tokens_that_a_call_left_unused_serve_the_next_one_at_another_vm() {
    let fleet = Fleet::start(2);
    // One call, and what it leaves unused: a response has 72 tokens.
    let budget_tokens = MAX_CALL_TOKENS + 100;
    for program in 0..10 {
        let name = format!("p{program}");
        let headers = model_call_headers("r", &name, budget_tokens, MAX_CALL_TOKENS);
        let statuses = [0, 1].map(|vm| {
            let vm = fleet.vms[vm].callers;
            call(vm, "POST /stream/x", &headers, "p").status
        });
        assert_eq!(statuses, [200, 200], "{name}");
    }
}

// Guards against another allowance for a program that has spent its budget, as the
// store was too busy to list it.
#[test]
fn overdrawn_program_is_listed_once_the_store_accepts_it() {
    let fleet = Fleet::start(2);
    let budget_tokens = MAX_CALL_TOKENS + 10;
    let headers = model_call_headers("r", "new", budget_tokens, MAX_CALL_TOKENS);
    const STREAM_TOKENS: u64 = 12 * EVENT_COUNT;
    // The VM through which the program begins holds its allowance.
    let first = call(fleet.callers(), "POST /stream/x", &headers, "p");
    assert_eq!(first.status, 200);
    fleet.store.set_fault(StoreFault::Unavailable);
    wait_until("a call without the store", || {
        call(fleet.callers(), "POST /stream/x", &headers, "p").status == 200
    });
    fleet
        .store
        .set_fault(StoreFault::TableOverloaded("overdrawn"));
    wait_until("the charge", || {
        let rows = fleet.store.values("budgets");
        let rows = rows.iter().filter_map(|row| BudgetRow::decode(row).ok());
        let mut charged = rows.map(|row| row.charged_tokens);
        charged.any(|charged_tokens| charged_tokens == 2 * STREAM_TOKENS)
    });
    thread::sleep(Duration::from_secs(1));
    fleet.store.set_fault(StoreFault::None);
    wait_until("the listing", || {
        !fleet.store.values("overdrawn").is_empty()
    });
}

#[test]
fn shutdown_completes_requests_in_flight() {
    let mut fleet = Fleet::start(1);
    let caller = send_request(
        fleet.callers(),
        "POST /stream/x",
        "a.example",
        &model_call("r1"),
        "p",
    );
    wait_until("the run", || engine_executions(&fleet) == 1);
    fleet.vms[0].signal(Signal::SIGTERM);
    wait_until("failing readiness checks", || {
        get(fleet.vms[0].ready, "/ready").status != 200
    });
    // Until the load balancer has noticed, new callers are served.
    let late = call(
        fleet.callers(),
        "GET /look/x",
        &service_call_headers("r2"),
        "",
    );
    assert_eq!(late.status, 200);
    assert_eq!(read_response(caller).body, complete_stream());
    assert!(fleet.vms[0].wait());
    assert!(fleet.store.values("vms").is_empty());
}

#[test]
fn header_section_too_long_is_refused() {
    let fleet = Fleet::start(1);
    let long = vec![format!("X-Long: {}", "x".repeat(100_000))];
    let response = call(fleet.callers(), "GET /look/x", &long, "");
    assert!(matches!(response.status, 0 | 431), "{}", response.status);
    assert_eq!(desk_executions(&fleet), 0);
}

#[test]
fn body_beyond_the_memory_limit_is_refused_as_not_executed() {
    let fleet = Fleet::start(1);
    let big = "x".repeat(3_500_000);
    let response = call(
        fleet.callers(),
        "POST /book/x",
        &service_call_headers("r1"),
        &big,
    );
    assert_eq!(response.status, 200);
    let longer = CONFIG
        .replace("\"version\": 3", "\"version\": 4")
        .replace("4194304", "80000000");
    fleet.store.configure(&longer);
    wait_until("a refusal for lack of memory", || {
        fleet::declare_body(fleet.callers(), "POST /book/x", 31_000_000).status == 503
    });
}

#[test]
fn request_that_crashes_targets_is_quarantined_at_all_vms() {
    let fleet = Fleet::start(2);
    for engine in &fleet.engines {
        engine.set_fault(TargetFault::CrashOnRequest);
    }
    let body = "crasher".repeat(20);
    let mut attempt = 0;
    wait_until("refusal", || {
        attempt += 1;
        let vm = &fleet.vms[attempt % 2];
        let response = call(vm.callers, "POST /stream/x", &model_call("r1"), &body);
        response.status == 503 && response.body.contains("crashed")
    });
    assert!(engine_executions(&fleet) <= 3 * attempt);
    for vm in &fleet.vms {
        wait_until("the crash count at the VM", || {
            let response = call(vm.callers, "POST /stream/x", &model_call("r1"), &body);
            response.body.contains("crashed")
        });
    }
    let executions = engine_executions(&fleet);
    for vm in &fleet.vms {
        call(vm.callers, "POST /stream/x", &model_call("r1"), &body);
    }
    assert_eq!(engine_executions(&fleet), executions);
    for engine in &fleet.engines {
        engine.set_fault(TargetFault::None);
    }
    wait_until("a response to another request", || {
        let other = "neighbour".repeat(20);
        call(fleet.callers(), "POST /stream/x", &model_call("r2"), &other).body == complete_stream()
    });
}

#[test]
fn session_stays_at_its_engine_through_another_vm() {
    const PROGRAMS: usize = 8;
    let fleet = Fleet::start(2);
    let engine_of = |id: &str| {
        let ran = |engine: &&lagoon_standin::fleet::Target| {
            let executions = engine.executions();
            executions
                .iter()
                .any(|execution| execution.received.request_id == id)
        };
        let engine = fleet.engines.iter().find(ran);
        engine.map(|engine| engine.id.clone()).expect("ran")
    };
    let calls = |vm: usize, id_prefix: &str| {
        for program in 0..PROGRAMS {
            let headers = model_call_headers(
                &format!("{id_prefix}{program}"),
                &format!("p{program}"),
                2_000,
                MAX_CALL_TOKENS,
            );
            let response = call(fleet.vms[vm].callers, "POST /stream/x", &headers, "prompt");
            assert_eq!((response.status, response.is_complete), (200, true));
        }
    };
    calls(0, "a");
    let known = format!("\nlagoon_lines {PROGRAMS}\n");
    wait_until("affinity updates", || {
        get(fleet.vms[1].peers, "/metrics").body.contains(&known)
    });
    calls(1, "b");
    for program in 0..PROGRAMS {
        let (first, second) = (format!("a{program}"), format!("b{program}"));
        assert_eq!(engine_of(&first), engine_of(&second), "program {program}");
    }
}

#[test]
fn calls_through_another_vm_use_tokens_of_the_origin_vm() {
    let fleet = Fleet::start(2);
    let response = call(
        fleet.callers(),
        "POST /stream/x",
        &model_call("a"),
        "prompt",
    );
    assert_eq!(response.status, 200);
    wait_until("the affinity update", || {
        let metrics = get(fleet.vms[1].peers, "/metrics").body;
        metrics.contains("\nlagoon_lines 1\n")
    });
    let transactions = fleet.store.transaction_count();
    for id in ["b", "c"] {
        let response = call(
            fleet.vms[1].callers,
            "POST /stream/x",
            &model_call(id),
            "prompt",
        );
        assert_eq!((response.status, response.is_complete), (200, true));
    }
    assert_eq!(fleet.store.transaction_count(), transactions);
}

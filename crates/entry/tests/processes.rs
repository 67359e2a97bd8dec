//! The daemon as a process, with real sockets and signals.

mod fleet;

use std::time::Duration;

use fleet::{all_events, call, get, open, read, wait_until, Fleet, CONFIG};
use lagoon_adapter::standin::{model_call_headers, service_call_headers};
use lagoon_gateway::TargetStatus;
use lagoon_standin::fleet::{RunEnd, StoreFault, TargetFault};
use nix::sys::signal::Signal;

const BUDGET: u64 = 2_000;
const MOST: u64 = 288;

fn turn(id: &str) -> Vec<String> {
    model_call_headers(id, "program", BUDGET, MOST)
}

fn engine_runs(fleet: &Fleet) -> usize {
    fleet.engines.iter().map(|engine| engine.runs().len()).sum()
}

fn desk_runs(fleet: &Fleet) -> usize {
    fleet.desks.iter().map(|desk| desk.runs().len()).sum()
}

#[test]
fn forward_request_and_answer_unchanged() {
    let fleet = Fleet::start(1);
    let headers = service_call_headers("r1");
    let reply = call(fleet.callers(), "POST /book/x?y=%20z", &headers, "the body");
    assert_eq!((reply.status, reply.body.as_str()), (200, "done"));
    let runs: Vec<_> = fleet.desks.iter().flat_map(|desk| desk.runs()).collect();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].path, "/book/x?y=%20z");
    assert_eq!(runs[0].body, b"the body");
    assert!(runs[0]
        .received
        .deadline_ms
        .is_some_and(|left| left <= 3_000));
}

#[test]
fn forward_no_route_is_404_and_no_host_too() {
    let fleet = Fleet::start(1);
    assert_eq!(call(fleet.callers(), "GET /none/x", &[], "").status, 404);
    let other = open(fleet.callers(), "GET /look/x", "b.example", &[], "");
    assert_eq!(read(other).status, 404);
}

#[test]
fn start_without_the_store_is_503_and_unready() {
    let fleet = Fleet::start(0);
    fleet.store.set_fault(StoreFault::Busy);
    let vm = fleet.start_vm_unready();
    wait_until("daemon", || get(vm.ready, "/ready").status == 503);
    let reply = call(vm.callers, "GET /look/x", &service_call_headers("r1"), "");
    assert_eq!(reply.status, 503);
    assert!(reply.head.contains("retry-after: "));
    fleet.store.set_fault(StoreFault::None);
    wait_until("readiness", || get(vm.ready, "/ready").status == 200);
}

#[test]
fn stream_is_whole() {
    let fleet = Fleet::start(1);
    let reply = call(fleet.callers(), "POST /stream/x", &turn("r1"), "prompt");
    assert_eq!((reply.status, reply.is_whole), (200, true));
    assert_eq!(reply.body, all_events());
}

#[test]
fn stream_that_breaks_is_resumed_where_it_broke() {
    let fleet = Fleet::start(1);
    for engine in &fleet.engines {
        engine.set_fault(TargetFault::BreaksAfter(2));
    }
    let reply = call(fleet.callers(), "POST /stream/x", &turn("r1"), "prompt");
    assert!(reply.is_whole);
    assert_eq!(reply.body, all_events());
    let runs: Vec<_> = fleet
        .engines
        .iter()
        .flat_map(|engine| engine.runs())
        .collect();
    let resumed = runs
        .iter()
        .filter(|run| run.received.last_event_id == Some(2));
    assert_eq!(resumed.count(), 1);
}

#[test]
fn stream_that_ends_within_its_last_event_is_resumed() {
    let fleet = Fleet::start(1);
    for engine in &fleet.engines {
        engine.set_fault(TargetFault::BreaksAfter(fleet::EVENTS - 1));
    }
    let reply = call(fleet.callers(), "POST /stream/x", &turn("r1"), "prompt");
    assert_eq!((reply.is_whole, reply.body), (true, all_events()));
}

#[test]
fn stream_of_a_caller_that_left_is_dropped_at_the_engine() {
    let fleet = Fleet::start(1);
    let stream = open(
        fleet.callers(),
        "POST /stream/x",
        "a.example",
        &turn("r1"),
        "p",
    );
    wait_until("run", || engine_runs(&fleet) == 1);
    drop(stream);
    wait_until("end of the run", || {
        let mut runs = fleet.engines.iter().flat_map(|engine| engine.runs());
        runs.any(|run| run.end == RunEnd::Dropped)
    });
}

#[test]
fn booking_whose_answer_is_lost_is_not_sent_again() {
    let fleet = Fleet::start(1);
    for desk in &fleet.desks {
        desk.set_fault(TargetFault::LosesAnswer);
    }
    let reply = call(
        fleet.callers(),
        "POST /book/x",
        &service_call_headers("r1"),
        "b",
    );
    assert_eq!(reply.status, 502);
    assert_eq!(desk_runs(&fleet), 1);
}

#[test]
fn booking_with_another_requests_answer_is_unknown() {
    let fleet = Fleet::start(1);
    for desk in &fleet.desks {
        desk.set_fault(TargetFault::AnswersAnother);
    }
    let reply = call(
        fleet.callers(),
        "POST /book/x",
        &service_call_headers("r1"),
        "b",
    );
    assert_eq!(reply.status, 502);
    assert_eq!(desk_runs(&fleet), 1);
}

#[test]
fn booking_at_full_desks_is_refused_as_not_run() {
    let fleet = Fleet::start(1);
    for desk in &fleet.desks {
        desk.set_fault(TargetFault::Full);
    }
    let reply = call(
        fleet.callers(),
        "POST /book/x",
        &service_call_headers("r1"),
        "b",
    );
    assert_eq!(reply.status, 503);
    assert!(reply.head.contains("retry-after: "));
    assert_eq!(desk_runs(&fleet), 0);
}

#[test]
fn lookup_whose_answer_is_lost_runs_again() {
    let fleet = Fleet::start(1);
    for desk in &fleet.desks {
        desk.set_fault(TargetFault::LosesAnswer);
    }
    let reply = call(
        fleet.callers(),
        "GET /look/x",
        &service_call_headers("r1"),
        "",
    );
    assert_eq!(reply.body, "done");
}

#[test]
fn draining_target_gets_nothing_new() {
    let fleet = Fleet::start(1);
    let leaving = &fleet.desks[0];
    fleet
        .store
        .list(&leaving.entry("desks", TargetStatus::Draining));
    wait_until("the news", || {
        let before = leaving.runs().len();
        (0..8).for_each(|_| {
            call(
                fleet.callers(),
                "GET /look/x",
                &service_call_headers("r"),
                "",
            );
        });
        leaving.runs().len() == before
    });
}

#[test]
fn configuration_changes_while_it_runs() {
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
    // An older version never comes back, and an unreadable one changes nothing.
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

#[test]
fn budget_is_one_over_vms_and_restarts() {
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
        let reply = call(vm.callers, "POST /stream/x", &turn("r"), "p");
        match reply.status {
            200 => served += 1,
            402 => break,
            // Held by the other VM, which gives it back soon.
            503 => std::thread::sleep(Duration::from_millis(100)),
            other => panic!("status {other}"),
        }
    }
    let spent = served * fleet::EVENTS * 12;
    assert!(spent > BUDGET / 4, "{spent}");
    assert!(spent <= BUDGET + MOST, "{spent}");
}

#[test]
fn charge_whose_reply_is_lost_counts_once() {
    let fleet = Fleet::start(1);
    fleet.store.set_fault(StoreFault::LosesReply);
    let before = fleet.store.writes();
    let reply = call(fleet.callers(), "POST /stream/x", &turn("r1"), "p");
    assert_eq!(reply.body, all_events());
    assert_eq!(fleet.store.writes(), before + 2);
    let rows = fleet.store.values("budgets");
    assert_eq!(rows.len(), 1);
    let row: lagoon_gateway::BudgetRow = serde_json::from_slice(&rows[0]).expect("row");
    assert!(row.charged_tokens <= BUDGET / 2, "{row:?}");
}

#[test]
fn program_under_way_goes_on_without_the_store() {
    let fleet = Fleet::start(1);
    call(fleet.callers(), "POST /stream/x", &turn("r1"), "p");
    fleet.store.set_fault(StoreFault::Busy);
    let reply = call(fleet.callers(), "POST /stream/x", &turn("r2"), "p");
    assert_eq!(reply.body, all_events());
}

#[test]
fn program_begins_without_the_store_within_one_call() {
    let fleet = Fleet::start(2);
    fleet.store.set_fault(StoreFault::Busy);
    let headers = model_call_headers("r", "new", BUDGET, MOST);
    let mut attempt = 0;
    let mut next_tokens = || {
        attempt += 1;
        let vm = &fleet.vms[attempt % 2];
        let reply = call(vm.callers, "POST /stream/x", &headers, "p");
        12 * reply.body.matches("id: ").count() as u64
    };
    // Each VM has to notice first that the store is away.
    let mut spent = 0;
    wait_until("service without the store", || {
        spent += next_tokens();
        spent > 0
    });
    spent += (0..30).map(|_| next_tokens()).sum::<u64>();
    assert!(spent <= MOST, "{spent}");
    fleet.store.set_fault(StoreFault::None);
    wait_until("charge of what was spent", || {
        let rows = fleet.store.values("budgets");
        let rows = rows
            .iter()
            .filter_map(|row| serde_json::from_slice(row).ok());
        let mut rows = rows.map(|row: lagoon_gateway::BudgetRow| row.charged_tokens);
        rows.any(|charged_tokens| charged_tokens >= spent)
    });
}

#[test]
fn stop_answers_what_was_read() {
    let mut fleet = Fleet::start(1);
    let caller = open(
        fleet.callers(),
        "POST /stream/x",
        "a.example",
        &turn("r1"),
        "p",
    );
    wait_until("run", || engine_runs(&fleet) == 1);
    fleet.vms[0].signal(Signal::SIGTERM);
    wait_until("unready", || {
        get(fleet.vms[0].ready, "/ready").status != 200
    });
    // Until the balancer has noticed, callers are served.
    let late = call(
        fleet.callers(),
        "GET /look/x",
        &service_call_headers("r2"),
        "",
    );
    assert_eq!(late.status, 200);
    assert_eq!(read(caller).body, all_events());
    assert!(fleet.vms[0].wait());
    assert!(fleet.store.values("vms").is_empty());
}

#[test]
fn header_section_too_long_is_refused() {
    let fleet = Fleet::start(1);
    let long = vec![format!("X-Long: {}", "x".repeat(100_000))];
    let reply = call(fleet.callers(), "GET /look/x", &long, "");
    assert!(matches!(reply.status, 0 | 431), "{}", reply.status);
    assert_eq!(desk_runs(&fleet), 0);
}

#[test]
fn body_that_memory_does_not_hold_is_refused_as_not_run() {
    let fleet = Fleet::start(1);
    let big = "x".repeat(3_500_000);
    let reply = call(
        fleet.callers(),
        "POST /book/x",
        &service_call_headers("r1"),
        &big,
    );
    assert_eq!(reply.status, 200);
    let longer = CONFIG
        .replace("\"version\": 3", "\"version\": 4")
        .replace("4194304", "80000000");
    fleet.store.configure(&longer);
    wait_until("limit of memory", || {
        fleet::announce(fleet.callers(), "POST /book/x", 31_000_000).status == 503
    });
}

#[test]
fn request_that_crashes_targets_is_stopped_over_all_vms() {
    let fleet = Fleet::start(2);
    for engine in &fleet.engines {
        engine.set_fault(TargetFault::Crashes);
    }
    let body = "crasher".repeat(20);
    let mut attempt = 0;
    wait_until("refusal", || {
        attempt += 1;
        let vm = &fleet.vms[attempt % 2];
        let reply = call(vm.callers, "POST /stream/x", &turn("r1"), &body);
        reply.status == 503 && reply.body.contains("crashed")
    });
    assert!(engine_runs(&fleet) <= 3 * attempt);
    for vm in &fleet.vms {
        wait_until("the news", || {
            let reply = call(vm.callers, "POST /stream/x", &turn("r1"), &body);
            reply.body.contains("crashed")
        });
    }
    let runs = engine_runs(&fleet);
    for vm in &fleet.vms {
        call(vm.callers, "POST /stream/x", &turn("r1"), &body);
    }
    assert_eq!(engine_runs(&fleet), runs);
    for engine in &fleet.engines {
        engine.set_fault(TargetFault::None);
    }
    wait_until("a neighbour's answer", || {
        let other = "neighbour".repeat(20);
        call(fleet.callers(), "POST /stream/x", &turn("r2"), &other).body == all_events()
    });
}

#[test]
fn line_of_calls_goes_on_at_its_engine_through_another_vm() {
    const PROGRAMS: usize = 8;
    let fleet = Fleet::start(2);
    let engine_of = |id: &str| {
        let ran = |engine: &&lagoon_standin::fleet::Target| {
            let runs = engine.runs();
            runs.iter().any(|run| run.received.request_id == id)
        };
        let engine = fleet.engines.iter().find(ran);
        engine.map(|engine| engine.id.clone()).expect("ran")
    };
    let calls = |vm: usize, turn: &str| {
        for program in 0..PROGRAMS {
            let headers = model_call_headers(
                &format!("{turn}{program}"),
                &format!("p{program}"),
                2_000,
                MOST,
            );
            let reply = call(fleet.vms[vm].callers, "POST /stream/x", &headers, "prompt");
            assert_eq!((reply.status, reply.is_whole), (200, true));
        }
    };
    calls(0, "a");
    let known = format!("\nlagoon_lines {PROGRAMS}\n");
    wait_until("news of the lines", || {
        get(fleet.vms[1].peers, "/metrics").body.contains(&known)
    });
    calls(1, "b");
    for program in 0..PROGRAMS {
        let (first, second) = (format!("a{program}"), format!("b{program}"));
        assert_eq!(engine_of(&first), engine_of(&second), "program {program}");
    }
}

#[test]
fn calls_through_another_vm_take_tokens_from_the_first() {
    let fleet = Fleet::start(2);
    let reply = call(fleet.callers(), "POST /stream/x", &turn("a"), "prompt");
    assert_eq!(reply.status, 200);
    wait_until("news of the line", || {
        let metrics = get(fleet.vms[1].peers, "/metrics").body;
        metrics.contains("\nlagoon_lines 1\n")
    });
    let writes = fleet.store.writes();
    for id in ["b", "c"] {
        let reply = call(fleet.vms[1].callers, "POST /stream/x", &turn(id), "prompt");
        assert_eq!((reply.status, reply.is_whole), (200, true));
    }
    assert_eq!(fleet.store.writes(), writes);
}

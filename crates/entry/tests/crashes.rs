//! A request that crashes targets comes again through several VMs, with faults
//! beside it.

mod fleet;

use std::thread;
use std::time::Duration;

use fleet::{call, get, read_response, send_request, wait_until, Fleet, FleetOptions, Vm};
use lagoon_adapter::standin::{model_call_headers, program_headers, service_call_headers};
use lagoon_gateway::TargetStatus;
use lagoon_standin::fleet::{
    Crash, ExecutionState, FaultProxy, ProxyFault, StoreFault, TargetFault,
};

const CRASHER: &str = "/stream/crasher";

/// Lookup without a body that crashes targets.
const CRASHING_LOOKUP: &str = "/look/crasher";

/// Crashes after which the request must be refused.
const QUARANTINE_CRASHES: usize = 3;

/// Time in which a crashed target is back.
const RESTART_TIME: Duration = Duration::from_millis(400);

/// Time after which a caller leaves a silent target.
const CALLER_PATIENCE: Duration = Duration::from_millis(1_200);

fn crash_engines(fleet: &Fleet, crash: Crash) {
    for engine in &fleet.engines {
        engine.crash_on_path(CRASHER, crash);
    }
}

/// Targets that requests which crash them have crashed so far.
fn crash_count(fleet: &Fleet) -> usize {
    let targets = fleet.engines.iter().chain(&fleet.desks);
    let executions = targets.flat_map(|target| target.executions());
    executions
        .filter(|execution| [CRASHER, CRASHING_LOOKUP].contains(&execution.path.as_str()))
        .count()
}

fn crasher_headers(id: &str) -> Vec<String> {
    model_call_headers(id, "crasher", 100_000, 288)
}

fn crasher_body() -> String {
    "crasher".repeat(20)
}

fn send_crasher(vm: &Vm, id: &str) -> fleet::Response {
    let line = format!("POST {CRASHER}");
    call(vm.callers, &line, &crasher_headers(id), &crasher_body())
}

/// Sends the request through one VM after another until it has crashed three
/// targets.
fn crash_three_targets(fleet: &Fleet, vms: &[usize]) {
    for vm in vms.iter().cycle() {
        if crash_count(fleet) >= QUARANTINE_CRASHES {
            return;
        }
        send_crasher(&fleet.vms[*vm], "c");
        thread::sleep(RESTART_TIME);
    }
}

fn wait_for_quarantine(fleet: &Fleet) {
    for vm in &fleet.vms {
        wait_until("the quarantine at a VM", || {
            let metrics = get(vm.peers, "/metrics").body;
            metrics.contains("\nlagoon_quarantined_requests 1\n")
        });
    }
}

/// Sends the request through each VM and checks that it reaches no target.
fn assert_refused_everywhere(fleet: &Fleet) {
    let crashes = crash_count(fleet);
    for vm in &fleet.vms {
        let response = send_crasher(vm, "again");
        assert_eq!(response.status, 503);
        assert!(response.head.contains("retry-after: "));
    }
    assert_eq!(crash_count(fleet), crashes);
}

/// Fleet of one VM that reaches the store directly and `behind_proxy` further ones
/// that reach it through the proxy.
fn start_fleet(behind_proxy: usize) -> (Fleet, FaultProxy) {
    let mut fleet = Fleet::start(1);
    let proxy = FaultProxy::start(fleet.store.address);
    for _ in 0..behind_proxy {
        fleet.start_vm_at_store(proxy.address);
    }
    fleet.wait_for_peers();
    (fleet, proxy)
}

// Guards against a request crashing three more targets at each VM that the
// store turns away.
#[test]
fn crasher_is_refused_at_all_vms_while_the_store_turns_some_away() {
    let (fleet, proxy) = start_fleet(3);
    crash_engines(&fleet, Crash::Closed);
    proxy.set_fault(ProxyFault::Reset);
    crash_three_targets(&fleet, &[1, 2, 3, 0]);
    wait_for_quarantine(&fleet);
    assert_refused_everywhere(&fleet);
}

// Guards against crashes of an outage being unknown to VMs that saw none of them.
#[test]
fn crasher_is_refused_at_all_vms_while_the_store_is_unavailable() {
    let fleet = Fleet::start(3);
    crash_engines(&fleet, Crash::Closed);
    fleet.store.set_fault(StoreFault::Unavailable);
    crash_three_targets(&fleet, &[0, 1]);
    wait_for_quarantine(&fleet);
    assert_refused_everywhere(&fleet);
}

// Guards against crashes of an outage being forgotten when the VMs that saw them
// restart after it.
#[test]
fn crasher_is_refused_after_restarts_that_follow_a_store_outage() {
    let mut fleet = Fleet::start(2);
    crash_engines(&fleet, Crash::Closed);
    fleet.store.set_fault(StoreFault::Unavailable);
    crash_three_targets(&fleet, &[0, 1]);
    fleet.store.set_fault(StoreFault::None);
    wait_until("rows of the crashes", || {
        fleet.store.values("crashes").len() >= QUARANTINE_CRASHES
    });
    fleet.vms.clear();
    fleet.start_vm();
    wait_for_quarantine(&fleet);
    assert_refused_everywhere(&fleet);
}

// Guards against retries, within one request, that crash further targets after
// the request has crashed three.
#[test]
fn crasher_is_not_retried_after_its_third_crash() {
    let fleet = Fleet::start(1);
    crash_engines(&fleet, Crash::Closed);
    send_crasher(&fleet.vms[0], "first");
    let crashes = crash_count(&fleet);
    assert!(crashes < QUARANTINE_CRASHES);
    wait_until("the crashes to be counted", || {
        let metrics = get(fleet.vms[0].peers, "/metrics").body;
        let counted = format!("{{event=\"crashed\"}} {crashes}\n");
        metrics.contains(&counted)
    });
    thread::sleep(RESTART_TIME);
    crash_three_targets(&fleet, &[0]);
    wait_for_quarantine(&fleet);
    assert_eq!(crash_count(&fleet), QUARANTINE_CRASHES);
}

// Guards against crashes that nobody counts, as the target falls silent and the
// caller leaves before anything is interrupted.
#[test]
fn silent_crash_is_counted_when_the_target_is_gone() {
    let fleet = Fleet::start(2);
    crash_engines(&fleet, Crash::Silent);
    for crash in 0..QUARANTINE_CRASHES {
        let vm = &fleet.vms[crash % 2];
        let line = format!("POST {CRASHER}");
        let headers = crasher_headers("silent");
        let caller = send_request(vm.callers, &line, "a.example", &headers, &crasher_body());
        wait_until("the execution", || crash_count(&fleet) > crash);
        thread::sleep(CALLER_PATIENCE);
        drop(caller);
        let crashed = |engine: &lagoon_standin::fleet::Target| {
            let executions = engine.executions();
            executions.iter().any(|execution| {
                execution.path == CRASHER && execution.state == ExecutionState::Running
            })
        };
        wait_until("the caller to be gone", || {
            !fleet.engines.iter().any(crashed)
        });
        replace_engines(&fleet);
    }
    wait_for_quarantine(&fleet);
    assert_refused_everywhere(&fleet);
}

/// Removes the entries of all engines, as those of crashed engines are, and lists
/// the engines as started again.
fn replace_engines(fleet: &Fleet) {
    let wait_for_targets = |count: usize| {
        for vm in &fleet.vms {
            wait_until("the list of targets", || {
                let metrics = get(vm.peers, "/metrics").body;
                metrics.contains(&format!("\nlagoon_targets {count}\n"))
            });
        }
    };
    for engine in &fleet.engines {
        fleet.store.remove_target(&engine.id);
        engine.restart();
    }
    wait_for_targets(fleet.desks.len());
    for index in 0..fleet.engines.len() {
        fleet.list(index, TargetStatus::Ready);
    }
    wait_for_targets(fleet.engines.len() + fleet.desks.len());
}

// Guards against a lookup without a body that crashes targets anew in each program.
#[test]
fn crashing_lookup_is_refused_to_other_programs() {
    let fleet = Fleet::start(2);
    for desk in &fleet.desks {
        desk.crash_on_path(CRASHING_LOOKUP, Crash::Closed);
    }
    let look_up = |attempt: usize| {
        let mut headers = service_call_headers(&format!("l{attempt}"));
        headers.extend(program_headers(&format!("p{attempt}")));
        let vm = &fleet.vms[attempt % 2];
        call(vm.callers, &format!("GET {CRASHING_LOOKUP}"), &headers, "")
    };
    for attempt in 0..QUARANTINE_CRASHES {
        look_up(attempt);
        thread::sleep(RESTART_TIME);
    }
    wait_for_quarantine(&fleet);
    let crashes = crash_count(&fleet);
    for attempt in QUARANTINE_CRASHES..2 * QUARANTINE_CRASHES {
        assert_eq!(look_up(attempt).status, 503);
    }
    assert_eq!(crash_count(&fleet), crashes);
}

// Guards against a refusal of lookups that ran beside a crash and complete
// otherwise, as all programs send them.
#[test]
fn lookup_that_completes_is_not_refused_after_crashes() {
    let fleet = Fleet::start(1);
    let look_up = |id: &str| {
        let headers = service_call_headers(id);
        call(fleet.callers(), "GET /look/popular", &headers, "").status
    };
    for round in 0..QUARANTINE_CRASHES {
        for desk in &fleet.desks {
            desk.set_fault(TargetFault::CrashOnRequest);
        }
        assert_eq!(look_up(&format!("crash{round}")), 502);
        for desk in &fleet.desks {
            desk.set_fault(TargetFault::None);
        }
        wait_until("the lookup to complete", || look_up("after") == 200);
    }
}

/// Interval by which a stream takes 1.8 s.
const LONG_EVENT_INTERVAL: Duration = Duration::from_millis(300);

// Guards against a quarantine of requests that were running when their VM lost
// its connections to a whole failure domain.
#[test]
fn request_is_not_refused_after_its_vm_was_cut_off() {
    // On a busy machine, a stream of the usual 120 ms ended before its VM was cut off.
    let options = FleetOptions {
        has_proxies: true,
        event_interval: LONG_EVENT_INTERVAL,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start_with(1, options);
    let targets = &fleet.proxies[1..];
    let running = |engine: &lagoon_standin::fleet::Target| {
        let executions = engine.executions();
        executions
            .iter()
            .any(|execution| execution.state == ExecutionState::Running)
    };
    for round in 0..QUARANTINE_CRASHES {
        let line = "POST /stream/x";
        let headers = crasher_headers(&format!("cut{round}"));
        let caller = send_request(fleet.callers(), line, "a.example", &headers, "prompt");
        wait_until("the execution", || fleet.engines.iter().any(running));
        // A request that is cut off before its response begins gets a whole 502.
        caller.peek(&mut [0]).expect("response begins");
        for proxy in targets {
            proxy.set_fault(ProxyFault::Refused);
        }
        let response = read_response(caller);
        assert!(!response.is_complete, "{response:?}");
        thread::sleep(RESTART_TIME);
        for proxy in targets {
            proxy.set_fault(ProxyFault::None);
        }
        thread::sleep(RESTART_TIME);
    }
    let headers = crasher_headers("after");
    let response = call(fleet.callers(), "POST /stream/x", &headers, "prompt");
    assert_eq!((response.status, response.is_complete), (200, true));
}

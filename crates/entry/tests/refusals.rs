//! Targets that run requests, fail, and respond with a status by which callers would take
//! the requests for not executed: no target states that, so no caller is told it.

mod fleet;

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use fleet::{call, read_response, send_request, wait_until, Fleet, FleetOptions, Response};
use http::StatusCode;
use lagoon_adapter::standin::{model_call_headers, service_call_headers};
use lagoon_standin::fleet::{ProxyFault, Target, TargetFault};
use yare::parameterized;

/// Statuses that promise that a request has not been executed; 402 to calls of programs
/// with a budget.
const PROMISES: [u16; 4] = [402, 408, 429, 503];

/// Statuses of failures that promise nothing.
const OTHER_FAILURES: [u16; 4] = [400, 404, 500, 504];

fn fail(status: u16) -> TargetFault {
    TargetFault::Fail(StatusCode::from_u16(status).expect("status"))
}

/// Way of a response from its target to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    Direct,
    /// Another VM sends the attempt, as that of the caller reaches no target.
    Carried,
}

fn start(way: Way) -> Fleet {
    let options = FleetOptions {
        has_paths: true,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start_with(2, options);
    if way == Way::Carried {
        fleet.set_path_fault(0, ProxyFault::Refused);
        wait_until("refused connections", || {
            let mut paths = fleet.vms[0].paths().iter();
            paths.all(|path| TcpStream::connect(path.address).is_err())
        });
    }
    fleet
}

fn headers(line: &str) -> Vec<String> {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let id = format!("r{}", NEXT.fetch_add(1, Ordering::Relaxed));
    match is_model_call(line) {
        true => model_call_headers(&id, &id, 2_000, 288),
        false => service_call_headers(&id),
    }
}

fn is_model_call(line: &str) -> bool {
    line.contains("/stream/") || line.contains("/chat/")
}

fn send(vm: SocketAddr, line: &str) -> Response {
    let body = if line.starts_with("POST") { "p" } else { "" };
    call(vm, line, &headers(line), body)
}

fn targets<'a>(fleet: &'a Fleet, line: &str) -> &'a [Target; 2] {
    match is_model_call(line) {
        true => &fleet.engines,
        false => &fleet.desks,
    }
}

fn set_faults(fleet: &Fleet, line: &str, fault: TargetFault) {
    let targets = targets(fleet, line).iter();
    targets.for_each(|target| target.set_fault(fault));
}

fn executions(fleet: &Fleet, line: &str) -> usize {
    let targets = targets(fleet, line).iter();
    targets.map(|target| target.executions().len()).sum()
}

// Guards against a caller who sends a request again that has run, as the status of the
// target that failed at it was passed on as a promise; and against a failure that is
// hidden although it promises nothing.
#[parameterized(
    booking = { "POST /book/x", Way::Direct, 1 },
    carried_booking = { "POST /book/x", Way::Carried, 1 },
    lookup = { "GET /look/x", Way::Direct, 2 },
    carried_lookup = { "GET /look/x", Way::Carried, 2 },
    stream = { "POST /stream/x", Way::Direct, 2 },
    carried_stream = { "POST /stream/x", Way::Carried, 2 },
    kept_turn = { "POST /chat/x", Way::Direct, 1 },
    carried_kept_turn = { "POST /chat/x", Way::Carried, 1 },
)]
fn failure_of_a_target_is_no_promise(line: &str, way: Way, min_executions: usize) {
    let fleet = start(way);
    let vm = fleet.vms[0].callers;
    for status in PROMISES.into_iter().chain(OTHER_FAILURES) {
        set_faults(&fleet, line, fail(status));
        let before = executions(&fleet, line);
        let response = send(vm, line);
        let executed = executions(&fleet, line) - before;
        let is_promise = match status {
            402 => is_model_call(line),
            status => PROMISES.contains(&status),
        };
        if is_promise {
            assert_eq!(response.status, 502, "{status}: {response:?}");
            assert!(!response.body.contains("failed"), "{status}: {response:?}");
            assert!(!response.head.contains("retry-after"), "{response:?}");
            assert!(executed >= min_executions, "{status}: {executed}");
            assert!(executed <= 3, "{status}: {executed}");
            let parts = [format!("status {status}"), "failure=failed".to_owned()];
            fleet.wait_for_line(&fleet.vms[0], &parts.each_ref().map(String::as_str));
        } else {
            assert_eq!(response.status, status, "{response:?}");
            assert_eq!(response.body, "failed", "{status}");
            assert_eq!(executed, 1, "{status}");
        }
        set_faults(&fleet, line, TargetFault::None);
        wait_until("a good response", || send(vm, line).status == 200);
    }
}

// Guards against a request that may have run at the target that failed, and that is
// refused as not executed as another target is full.
#[parameterized(
    lookup = { "GET /look/x" },
    stream = { "POST /stream/x" },
)]
fn refusal_after_a_failure_is_no_promise(line: &str) {
    let fleet = start(Way::Direct);
    let [failing, full] = targets(&fleet, line);
    full.set_fault(TargetFault::AtCapacity);
    failing.set_fault(fail(503));
    let responses = (0..10).map(|_| {
        let before = executions(&fleet, line);
        let status = send(fleet.callers(), line).status;
        (status, executions(&fleet, line) - before)
    });
    let responses: Vec<_> = responses.collect();
    let is_true = |(status, executed): &(u16, usize)| match executed {
        0 => *status == 503,
        _ => *status == 502,
    };
    assert!(responses.iter().all(is_true), "{responses:?}");
    assert!(responses.iter().any(|(_, executed)| *executed > 0));
}

// Guards against a request that could be served, and is answered with a target's failure.
#[parameterized(
    unavailable = { 503 },
    too_many_requests = { 429 },
    timeout = { 408 },
)]
fn repeatable_request_is_served_by_another_target(status: u16) {
    let fleet = start(Way::Direct);
    fleet.desks[0].set_fault(fail(status));
    for _ in 0..10 {
        assert_eq!(send(fleet.callers(), "GET /look/x").status, 200);
    }
}

// Guards against the status of a target that fails to resume a stream, after the caller
// has got the stream's head.
#[test]
fn stream_that_is_not_resumed_ends_as_broken() {
    let fleet = start(Way::Direct);
    let line = "POST /stream/x";
    for status in PROMISES {
        set_faults(&fleet, line, TargetFault::TruncateAfter(2));
        let before = executions(&fleet, line);
        let caller = fleet.callers();
        let stream = send_request(caller, line, "a.example", &headers(line), "p");
        wait_until("the first part", || executions(&fleet, line) > before);
        set_faults(&fleet, line, fail(status));
        let response = read_response(stream);
        assert_eq!(response.status, 200, "{status}: {response:?}");
        assert!(!response.is_complete, "{status}: {response:?}");
        assert!(!response.body.contains("failed"), "{status}: {response:?}");
    }
}

/// Requests that a target may fail in turn before it gets few more.
const FAILURES_BEFORE_AVOIDED: usize = 12;

// Guards against a target that fails all that it gets and gets no less, as its status
// doesn't count as a failure.
#[parameterized(
    internal_error = { 500 },
    unavailable = { 503 },
    too_many_requests = { 429 },
    timeout = { 408 },
)]
fn failing_target_gets_less_work_whatever_its_status(status: u16) {
    let fleet = start(Way::Direct);
    let line = "POST /book/x";
    let [failing, good] = targets(&fleet, line);
    failing.set_fault(fail(status));
    for _ in 0..60 {
        send(fleet.callers(), line);
        thread::sleep(fleet::EVENT_INTERVAL / 4);
    }
    let executed = [failing, good].map(|target| target.executions().len());
    assert!(executed[0] <= FAILURES_BEFORE_AVOIDED, "{executed:?}");
}

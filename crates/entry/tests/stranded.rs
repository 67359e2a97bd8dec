//! VMs that reach callers, the store and the other VMs, but no target, or only some:
//! their callers are served through other VMs.

mod fleet;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use fleet::{
    call, complete_stream, get, read_response, send_request, try_call, wait_until, Fleet,
    FleetOptions, Response,
};
use http::header::{HeaderMap, HeaderName, HeaderValue};
use lagoon_adapter::standin::{
    decode_received_request, model_call_headers, response_headers, service_call_headers,
};
use lagoon_adapter::{target_request_headers, AccountHeaders, AttemptHeaders};
use lagoon_gateway::{TargetStatus, Targets};
use lagoon_standin::fleet::{ExecutionState, ProxyFault};
use nix::sys::signal::Signal;
use yare::parameterized;

/// Time from a cut until the first tries of callers are counted.
const DETECTION_TIME: Duration = Duration::from_secs(1);

/// Time for which they are counted.
const LOAD_TIME: Duration = Duration::from_secs(2);

const CALL_PAUSE: Duration = Duration::from_millis(10);

/// Callers of one VM at a time. There are fewer of them before a cut, so that the kept
/// connections aren't enough for all.
const CALLERS_PER_VM: usize = 4;
const CALLERS_BEFORE: usize = 1;

/// Share of the first tries at other VMs that is also served at VMs without paths.
const SERVED_SHARE: f64 = 0.95;

/// Time in which the work for a caller who has left ends.
const LEAVE_TIME: Duration = Duration::from_millis(500);

const BUDGET_TOKENS: u64 = 10_000;
const MAX_OUTPUT_TOKENS: u64 = 200;

fn start(vms: usize, domains: usize) -> Fleet {
    let options = FleetOptions {
        domains,
        has_paths: true,
        ..FleetOptions::default()
    };
    Fleet::start_with(vms, options)
}

fn unique_id() -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    format!("r{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Sends a lookup, a booking or a stream in turn, as a first try; returns whether it
/// was served whole.
fn is_served(vm: SocketAddr, turn: usize) -> bool {
    let id = unique_id();
    let headers = service_call_headers(&id);
    let response = match turn % 3 {
        0 => try_call(vm, "GET /look/x", &headers, ""),
        1 => try_call(vm, &format!("POST /book/{id}"), &headers, "once"),
        _ => {
            let headers = model_call_headers(&id, &id, BUDGET_TOKENS, MAX_OUTPUT_TOKENS);
            let response = try_call(vm, "POST /stream/x", &headers, "p");
            return is_whole_stream(&response);
        }
    };
    response.status == 200 && response.body == "done"
}

fn is_whole_stream(response: &Response) -> bool {
    response.status == 200 && response.is_complete && response.body == complete_stream()
}

/// Calls each VM from `callers` callers at once; returns the first tries and those that
/// were served, by VM.
fn call_all(fleet: &Fleet, callers: usize, time: Duration) -> Vec<(usize, usize)> {
    let end = Instant::now() + time;
    let vms: Vec<SocketAddr> = fleet.vms.iter().map(|vm| vm.callers).collect();
    let call_one = |vm: SocketAddr, first: usize| {
        let (mut tries, mut served) = (0, 0);
        while Instant::now() < end {
            served += usize::from(is_served(vm, first + tries));
            tries += 1;
            thread::sleep(CALL_PAUSE);
        }
        (tries, served)
    };
    thread::scope(|scope| {
        let callers: Vec<Vec<_>> = vms
            .iter()
            .map(|vm| {
                let start = |first| scope.spawn(move || call_one(*vm, first));
                (0..callers).map(start).collect()
            })
            .collect();
        let sums = callers.into_iter().map(|callers| {
            callers.into_iter().fold((0, 0), |sum, caller| {
                let (tries, served) = caller.join().expect("caller");
                (sum.0 + tries, sum.1 + served)
            })
        });
        sums.collect()
    })
}

fn share(counts: &[(usize, usize)], is_counted: impl Fn(usize) -> bool) -> f64 {
    let counted = counts.iter().enumerate().filter(|(vm, _)| is_counted(*vm));
    let (tries, served) =
        counted.fold((0, 0), |sum, (_, count)| (sum.0 + count.0, sum.1 + count.1));
    served as f64 / f64::max(tries as f64, 1.0)
}

/// Value of a metric of a VM; 0 if it has none.
fn metric(fleet: &Fleet, vm: usize, name: &str) -> usize {
    let text = get(fleet.vms[vm].peers, "/metrics").body;
    let lines = text.lines().filter_map(|line| line.rsplit_once(' '));
    let mut values = lines.filter(|(metric, _)| *metric == name);
    values
        .next()
        .map_or(0, |(_, value)| value.parse().expect("number"))
}

/// Attempts of a VM that another one carried, with a response of the target.
fn carried(fleet: &Fleet, vm: usize) -> usize {
    metric(fleet, vm, "lagoon_carried_total{end=\"answered\"}")
}

/// Fails if a booking ran twice.
fn check_bookings(fleet: &Fleet) {
    let executions = fleet.desks.iter().flat_map(|desk| desk.executions());
    let mut paths: Vec<String> = executions
        .map(|execution| execution.path)
        .filter(|path| path.starts_with("/book/"))
        .collect();
    let count = paths.len();
    paths.sort();
    paths.dedup();
    assert_eq!(paths.len(), count, "a booking ran twice");
}

fn cut(fleet: &Fleet, vms: &[usize], fault: ProxyFault) {
    vms.iter().for_each(|vm| fleet.set_path_fault(*vm, fault));
}

// Guards against callers of a VM without a path to targets that are refused, or wait
// until their deadline, while the callers of other VMs are served.
#[parameterized(
    half_hang = { 4, 2, &[0, 1], ProxyFault::Unreachable },
    half_are_reset = { 4, 2, &[0, 1], ProxyFault::Refused },
    half_are_reset_on_use = { 4, 2, &[0, 1], ProxyFault::RefusedOnUse },
    half_refuse_new_connections = { 4, 2, &[0, 1], ProxyFault::NewRefused },
    domain_hangs = { 4, 2, &[0, 2], ProxyFault::Unreachable },
    domain_is_reset = { 4, 2, &[0, 2], ProxyFault::Refused },
    domain_refuses_new_connections = { 4, 2, &[0, 2], ProxyFault::NewRefused },
    four_of_five_hang = { 5, 2, &[0, 1, 2, 3], ProxyFault::Unreachable },
)]
fn callers_of_vms_without_paths_are_served(
    vms: usize,
    domains: usize,
    without_paths: &[usize],
    fault: ProxyFault,
) {
    let fleet = start(vms, domains);
    let before = call_all(&fleet, CALLERS_BEFORE, DETECTION_TIME);
    assert!(share(&before, |_| true) > SERVED_SHARE, "{before:?}");
    cut(&fleet, without_paths, fault);
    call_all(&fleet, CALLERS_PER_VM, DETECTION_TIME);
    let counts = call_all(&fleet, CALLERS_PER_VM, LOAD_TIME);
    let is_cut = |vm: usize| without_paths.contains(&vm);
    let (cut_share, other_share) = (share(&counts, is_cut), share(&counts, |vm| !is_cut(vm)));
    assert!(cut_share >= SERVED_SHARE * other_share, "{counts:?}");
    assert!(other_share >= SERVED_SHARE, "{counts:?}");
    for vm in without_paths {
        wait_until(&format!("a carried attempt of VM {vm}: {counts:?}"), || {
            carried(&fleet, *vm) > 0
        });
    }
    cut(&fleet, without_paths, ProxyFault::None);
    for vm in without_paths {
        wait_until("the paths", || {
            (0..3).for_each(|turn| {
                is_served(fleet.vms[*vm].callers, turn);
            });
            metric(&fleet, *vm, "lagoon_paths_total{event=\"found\"}") > 0
        });
    }
    check_bookings(&fleet);
}

/// Bookings that may end with an unknown outcome when all kept connections break: one
/// that finds out, and one that is sent before the path has been checked.
const MAX_UNKNOWN: usize = 2;

// Guards against bookings that are lost one after the other on kept connections, when
// all of these break at once.
#[test]
fn kept_connections_that_break_at_once_lose_few_bookings() {
    let fleet = start(2, 1);
    call_all(&fleet, 4 * CALLERS_PER_VM, DETECTION_TIME);
    fleet.set_path_fault(0, ProxyFault::RefusedOnUse);
    let callers = fleet.vms[0].callers;
    let book = |_: &usize| !is_served(callers, 1);
    let unknown = (0..40).filter(book).count();
    assert!(unknown <= MAX_UNKNOWN, "{unknown}");
    wait_until("a carried attempt", || carried(&fleet, 0) > 0);
    check_bookings(&fleet);
}

// Guards against the same where a VM loses the paths to some targets only.
#[test]
fn callers_of_a_vm_without_some_paths_are_served() {
    let fleet = start(3, 1);
    call_all(&fleet, CALLERS_BEFORE, DETECTION_TIME);
    for target in [0, 2] {
        fleet.vms[0].paths()[target].set_fault(ProxyFault::Unreachable);
    }
    call_all(&fleet, CALLERS_PER_VM, DETECTION_TIME);
    let counts = call_all(&fleet, CALLERS_PER_VM, LOAD_TIME);
    assert!(share(&counts, |_| true) >= SERVED_SHARE, "{counts:?}");
    check_bookings(&fleet);
}

// Guards against streams that end with the path on which they began, though another
// VM reaches the target.
#[test]
fn streams_that_are_open_when_the_cut_begins_end_whole() {
    let fleet = start(3, 1);
    call_all(&fleet, CALLERS_BEFORE, DETECTION_TIME);
    let streams: Vec<_> = (0..8).map(|_| open_stream(&fleet, 0)).collect();
    thread::sleep(2 * fleet::EVENT_INTERVAL);
    fleet.set_path_fault(0, ProxyFault::Unreachable);
    for stream in streams {
        let response = read_response(stream);
        assert!(is_whole_stream(&response), "{response:?}");
    }
    wait_until("a carried attempt", || carried(&fleet, 0) > 0);
}

fn open_stream(fleet: &Fleet, vm: usize) -> TcpStream {
    let id = unique_id();
    let headers = model_call_headers(&id, &id, BUDGET_TOKENS, MAX_OUTPUT_TOKENS);
    let callers = fleet.vms[vm].callers;
    send_request(callers, "POST /stream/x", "a.example", &headers, "p")
}

/// Makes all paths of a VM refuse connections, and waits until they do.
fn refuse_paths(fleet: &Fleet, vm: usize) {
    fleet.set_path_fault(vm, ProxyFault::Refused);
    wait_until("refused connections", || {
        let mut paths = fleet.vms[vm].paths().iter();
        paths.all(|path| TcpStream::connect(path.address).is_err())
    });
}

/// Cuts a VM off and waits until another one carries its attempts.
fn isolate(fleet: &Fleet, vm: usize) {
    refuse_paths(fleet, vm);
    wait_until("a carried attempt", || {
        (0..3).for_each(|turn| {
            is_served(fleet.vms[vm].callers, turn);
        });
        carried(fleet, vm) > 3
    });
}

// Guards against targets that work on for a caller who has left, behind two VMs.
#[test]
fn work_ends_when_the_caller_leaves_a_vm_without_paths() {
    let fleet = start(2, 1);
    isolate(&fleet, 0);
    let mut stream = open_stream(&fleet, 0);
    let mut bytes = [0; 512];
    assert!(stream.read(&mut bytes).expect("first event") > 0);
    drop(stream);
    let left = Instant::now();
    wait_until("the end of the work", || {
        let executions = fleet.engines.iter().flat_map(|engine| engine.executions());
        let mut states = executions.map(|execution| execution.state);
        states.all(|state| state != ExecutionState::Running)
    });
    assert!(left.elapsed() < LEAVE_TIME);
}

// Guards against once-only requests that run twice, and streams that look complete
// though they aren't, when the VM that carries them is killed.
#[test]
fn killed_carrier_loses_no_truth() {
    let fleet = start(3, 1);
    isolate(&fleet, 0);
    thread::scope(|scope| {
        let callers = fleet.vms[0].callers;
        let calls: Vec<_> = (0..12)
            .map(|caller| {
                scope.spawn(move || {
                    let end = Instant::now() + LOAD_TIME;
                    let mut served = 0;
                    while Instant::now() < end {
                        served += usize::from(is_served(callers, caller));
                    }
                    served
                })
            })
            .collect();
        thread::sleep(DETECTION_TIME / 2);
        fleet.vms[1].signal(Signal::SIGKILL);
        let served: usize = calls
            .into_iter()
            .map(|call| call.join().expect("caller"))
            .sum();
        assert!(served > 100, "{served}");
    });
    check_bookings(&fleet);
    let counts = (0..30)
        .filter(|turn| is_served(fleet.vms[0].callers, *turn))
        .count();
    assert!(counts >= 29, "{counts}");
}

/// Events of a stream of the servers without length.
const EVENTS: [&str; 2] = ["id: 1\ndata: v1 piece 1\n\n", "id: 2\ndata: v1 piece 2\n\n"];

/// End of a response without length.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// The connection closes in order.
    Closed,
    /// The connection is reset.
    Reset,
    /// The connection closes in order, within an event.
    WithinEvent,
}

/// Server whose responses have neither a length nor chunks and end with the
/// connection.
fn start_lengthless_server(id: &'static str, end: End) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("listener");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || respond_without_length(stream, id, end));
        }
    });
    address
}

fn respond_without_length(mut stream: TcpStream, id: &str, end: End) {
    let mut request = Vec::new();
    let mut bytes = [0; 4_096];
    while !request.ends_with(b"\r\n\r\np") {
        match stream.read(&mut bytes) {
            Ok(read @ 1..) => request.extend_from_slice(&bytes[..read]),
            _ => return,
        }
    }
    let text = String::from_utf8_lossy(&request).to_lowercase();
    let lines = text.lines().filter_map(|line| line.split_once(": "));
    let received = lines.map(|(name, value)| {
        let name: HeaderName = name.parse().expect("name");
        (name, HeaderValue::from_str(value).expect("value"))
    });
    let received = decode_received_request(&HeaderMap::from_iter(received));
    let headers = response_headers(&received.request_id, id);
    let mut response = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n".to_owned();
    for (name, value) in &headers {
        let value = value.to_str().expect("text");
        response.push_str(&format!("{name}: {value}\r\n"));
    }
    response.push_str("\r\n");
    response.push_str(EVENTS[0]);
    match end {
        End::WithinEvent => response.push_str(&EVENTS[1][..8]),
        End::Closed | End::Reset => response.push_str(EVENTS[1]),
    }
    // Fails if the VM has closed the connection.
    let _ = stream.write_all(response.as_bytes());
    thread::sleep(fleet::EVENT_INTERVAL);
    if end == End::Reset {
        let socket = socket2::SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).expect("linger");
    }
}

// Guards against a response without length that looks complete though it broke off,
// or broken off though it ended, by way of one VM and of two.
#[parameterized(
    direct_stream = { "/chat/x", false, End::Closed, true },
    direct_reset_stream = { "/chat/x", false, End::Reset, false },
    direct_stream_within_an_event = { "/chat/x", false, End::WithinEvent, false },
    direct_booking = { "/book/x", false, End::Closed, true },
    direct_reset_booking = { "/book/x", false, End::Reset, false },
    carried_stream = { "/chat/x", true, End::Closed, true },
    carried_reset_stream = { "/chat/x", true, End::Reset, false },
    carried_stream_within_an_event = { "/chat/x", true, End::WithinEvent, false },
    carried_booking = { "/book/x", true, End::Closed, true },
    carried_reset_booking = { "/book/x", true, End::Reset, false },
)]
fn response_without_length_ends_as_the_target_ended_it(
    path: &str,
    is_carried: bool,
    end: End,
    is_whole: bool,
) {
    let mut fleet = start(2, 1);
    let (service, id, listed) = match path {
        "/book/x" => ("desks", "lengthless-desk", 2..4),
        _ => ("engines", "lengthless-engine", 0..2),
    };
    let address = start_lengthless_server(id, end);
    for index in listed {
        fleet.list(index, TargetStatus::Draining);
    }
    fleet.vms.iter_mut().for_each(|vm| vm.add_path(address));
    let mut entry = fleet.engines[0].entry(service, TargetStatus::Ready);
    entry.id = id.into();
    entry.address = address;
    fleet.store.add_target(&entry);
    for vm in 0..2 {
        wait_until("the target", || metric(&fleet, vm, "lagoon_targets") == 5);
    }
    if is_carried {
        refuse_paths(&fleet, 0);
    }
    let headers = service_call_headers(&unique_id());
    let response = call(fleet.vms[0].callers, &format!("POST {path}"), &headers, "p");
    let is_answered = response.status == 200 && response.is_complete;
    assert_eq!(is_answered, is_whole, "{response:?}");
    if is_whole {
        assert_eq!(response.body, EVENTS.concat());
    }
    if is_carried {
        wait_until("the carried attempt", || carried(&fleet, 0) > 0);
    } else {
        assert_eq!(carried(&fleet, 0), 0, "{response:?}");
    }
}

// Guards against a target that counts as crashed because one VM lost its path to it, so
// that requests which ran there are refused everywhere.
#[test]
fn target_without_a_path_has_not_crashed() {
    let fleet = start(2, 1);
    call_all(&fleet, CALLERS_BEFORE, DETECTION_TIME);
    let stream = open_stream(&fleet, 0);
    let is_running = |engine: &lagoon_standin::fleet::Target| {
        let executions = engine.executions();
        let mut states = executions.iter().map(|execution| execution.state);
        states.any(|state| state == ExecutionState::Running)
    };
    wait_until("the execution", || fleet.engines.iter().any(is_running));
    let index = fleet.engines.iter().position(is_running).expect("running");
    fleet.vms[0].paths()[index].set_fault(ProxyFault::Refused);
    read_response(stream);
    let crashes = |event: &str| {
        let name = format!("lagoon_target_crashes_total{{event=\"{event}\"}}");
        metric(&fleet, 0, &name)
    };
    wait_until("the verdict", || {
        crashes("path lost") + crashes("crashed") + crashes("domain unreachable") > 0
    });
    assert_eq!((crashes("path lost"), crashes("crashed")), (1, 0));
}

/// Time for which a sound target is silent.
const SILENCE: Duration = Duration::from_millis(1_200);

// Guards against streams that are ended, and run again, because their target was silent
// for a second, to connections that are opened meanwhile too.
#[test]
fn stream_of_a_target_that_is_silent_for_a_second_ends_whole() {
    let fleet = start(2, 1);
    call_all(&fleet, CALLERS_BEFORE, DETECTION_TIME);
    let streams: Vec<_> = (0..6).map(|vm| open_stream(&fleet, vm % 2)).collect();
    thread::sleep(2 * fleet::EVENT_INTERVAL);
    let runs = |fleet: &Fleet| {
        let executions = fleet.engines.iter().map(|engine| engine.executions().len());
        executions.sum::<usize>()
    };
    let begun = runs(&fleet);
    (0..2).for_each(|vm| fleet.set_path_fault(vm, ProxyFault::Paused));
    thread::sleep(SILENCE);
    (0..2).for_each(|vm| fleet.set_path_fault(vm, ProxyFault::None));
    for stream in streams {
        let response = read_response(stream);
        assert!(is_whole_stream(&response), "{response:?}");
    }
    assert_eq!(runs(&fleet), begun);
    for vm in 0..2 {
        wait_until("a check of a path", || {
            metric(&fleet, vm, "lagoon_paths_total{event=\"checked\"}") > 0
        });
    }
}

// Guards against a VM that sends new requests, for another VM, to a target that has told
// it that it is about to stop.
#[test]
fn carrier_knows_that_a_target_leaves() {
    let fleet = start(2, 1);
    isolate(&fleet, 0);
    fleet.desks[0].leave();
    let leaving = |vm: usize| metric(&fleet, vm, "lagoon_leaving_targets");
    wait_until("the statement", || {
        assert!(is_served(fleet.vms[0].callers, 0));
        leaving(0) == 1
    });
    assert_eq!(leaving(1), 1);
    let before = fleet.desks[0].arrivals().len();
    for turn in 0..20 {
        assert!(is_served(fleet.vms[turn % 2].callers, 0));
    }
    assert_eq!(fleet.desks[0].arrivals().len(), before);
}

// Guards against attempts that come from no listed VM, or name no target, and are sent on.
#[parameterized(
    no_listed_vm = { 1, "desk", 403 },
    unknown_target = { 2, "desk", 200 },
    not_an_attempt = { 2, "", 400 },
)]
fn attempt_that_no_vm_has_a_reason_to_send_reaches_no_target(vms: usize, id: &str, status: u16) {
    let fleet = start(vms, 1);
    let mut headers = service_call_headers("outside");
    if !id.is_empty() {
        headers.push(format!("lagoon-carry-target: {id}"));
        headers.push("lagoon-carry-run: 1".to_owned());
    }
    let peers = fleet.vms[0].peers;
    let response = read_response(send_request(
        peers,
        "GET /v1/carry/look/x",
        "vm",
        &headers,
        "",
    ));
    assert_eq!(response.status, status, "{response:?}");
    let is_declined = response.head.contains("lagoon-carry-end: unknown target");
    assert_eq!(is_declined, status == 200, "{response:?}");
    let executions = fleet.desks.iter().map(|desk| desk.executions().len());
    assert_eq!(executions.sum::<usize>(), 0);
}

// Guards against a caller who names a target, or an attempt, that only VMs may name.
#[test]
fn carry_headers_of_callers_are_without_effect() {
    let fleet = start(2, 1);
    isolate(&fleet, 0);
    for vm in &fleet.vms {
        let mut headers = service_call_headers(&unique_id());
        headers.push("lagoon-carry-target: other".to_owned());
        headers.push("lagoon-carry-run: 7".to_owned());
        let response = try_call(vm.callers, "GET /look/x", &headers, "");
        assert_eq!((response.status, response.body.as_str()), (200, "done"));
    }
}

/// Time between the head and the body of a request, in which its VM waits, and the
/// deadline that the request states.
const BODY_DELAY: Duration = Duration::from_millis(400);
const DEADLINE_MS: u64 = 5_000;

// Guards against a target that works on after the caller's deadline, as the attempt that
// another VM carries states the time that the caller gave, and not what is left of it.
#[parameterized(with_paths = { false }, without_paths = { true })]
fn attempt_reaches_the_target_with_the_time_left(is_carried: bool) {
    let fleet = start(2, 1);
    if is_carried {
        isolate(&fleet, 0);
    }
    let before = carried(&fleet, 0);
    let id = unique_id();
    let headers = service_call_headers(&id).join("\r\n");
    assert!(
        headers.contains(&format!("-ms: {DEADLINE_MS}")),
        "{headers}"
    );
    let path = format!("/book/{id}");
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\
         Expect: 100-continue\r\nContent-Length: 1\r\n{headers}\r\n\r\n"
    );
    let mut stream = TcpStream::connect(fleet.vms[0].callers).expect("connection");
    stream.write_all(head.as_bytes()).expect("head is sent");
    // The VM has the head once it asks for the body.
    let mut interim = [0; INTERIM_RESPONSE.len()];
    stream.read_exact(&mut interim).expect("interim response");
    assert_eq!(interim, INTERIM_RESPONSE);
    thread::sleep(BODY_DELAY);
    stream.write_all(b"p").expect("body is sent");
    let response = read_response(stream);
    assert_eq!(response.status, 200, "{response:?}");
    if is_carried {
        wait_until("the carried attempt", || carried(&fleet, 0) > before);
    }
    let mut executions = fleet.desks.iter().flat_map(|desk| desk.executions());
    let execution = executions.find(|execution| execution.path == path);
    let left_ms = execution.expect("ran").received.deadline_ms;
    let left_ms = left_ms.expect("deadline");
    let longest_ms = DEADLINE_MS - BODY_DELAY.as_millis() as u64;
    assert!(left_ms > 1 && left_ms <= longest_ms, "{left_ms}");
}

/// Time between the head and the body of an attempt to carry, in which the carrier
/// waits, and the time that the head leaves for the request.
const CARRIER_WAIT: Duration = Duration::from_millis(400);
const LEFT_AT_CARRIER_MS: u64 = 5_000;

const INTERIM_RESPONSE: [u8; 25] = *b"HTTP/1.1 100 Continue\r\n\r\n";

// Guards against a target that works on after the caller's deadline, as the carrier
// passed the deadline on without the time that it had spent itself.
#[test]
fn carrier_subtracts_its_own_time_from_the_deadline() {
    let fleet = start(2, 1);
    let entry = fleet.entry(2, TargetStatus::Ready);
    let mut targets = Targets::default();
    targets.upsert(entry);
    let (_, target) = targets.of_service("desks").next().expect("the desk");
    let mut received = HeaderMap::new();
    for header in service_call_headers(&unique_id()) {
        let (name, value) = header.split_once(": ").expect("header");
        let name: HeaderName = name.parse().expect("name");
        received.insert(name, HeaderValue::from_str(value).expect("value"));
    }
    let attempt = AttemptHeaders {
        target_id: &target.entry.id,
        deadline_ms: LEFT_AT_CARRIER_MS,
        last_event_id: None,
        body_bytes: Some(1),
        account: AccountHeaders::AsReceived,
    };
    let mut head = format!(
        "POST /v1/carry/book/x HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\
         Expect: 100-continue\r\n\
         lagoon-carry-target: {}\r\nlagoon-carry-run: {}\r\n",
        target.entry.id, target.run.0
    );
    for (name, value) in &target_request_headers(&received, &attempt) {
        let value = value.to_str().expect("text");
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    let mut stream = TcpStream::connect(fleet.vms[1].peers).expect("connection");
    stream
        .write_all(format!("{head}\r\n").as_bytes())
        .expect("head is sent");
    // The carrier has the head once it asks for the body. It can't subtract the time before,
    // which was over a millisecond on a busy machine.
    let mut interim = [0; INTERIM_RESPONSE.len()];
    stream.read_exact(&mut interim).expect("interim response");
    assert_eq!(interim, INTERIM_RESPONSE);
    thread::sleep(CARRIER_WAIT);
    stream.write_all(b"p").expect("body is sent");
    let response = read_response(stream);
    assert!(
        response.head.contains("lagoon-carry-end: answered"),
        "{response:?}"
    );
    let executions = fleet.desks[0].executions();
    let left_ms = executions[0].received.deadline_ms.expect("deadline");
    let longest_ms = LEFT_AT_CARRIER_MS - CARRIER_WAIT.as_millis() as u64;
    assert!(left_ms > 1 && left_ms <= longest_ms, "{left_ms}");
}

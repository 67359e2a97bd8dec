//! Log lines and counts of requests that end without a whole response.

mod fleet;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use fleet::{
    call, get, read_response, send_request, wait_for_metric, wait_until, Fleet, FleetOptions,
    CONFIG,
};
use lagoon_adapter::standin::{model_call_headers, response_headers, service_call_headers};
use lagoon_gateway::TargetStatus;
use lagoon_standin::fleet::TargetFault;
use nix::sys::signal::Signal;
use yare::parameterized;

const BUDGET_TOKENS: u64 = 100_000;

const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of connections by the default settings.
const MAX_CONNECTIONS: usize = 256;

/// Longer than the idle limit of [`configure_limits`].
const IDLE_TIME: Duration = Duration::from_millis(1_200);

/// Changes limits and timeouts, and waits until the VMs have them.
fn configure_limits(fleet: &Fleet, stream_timeout_ms: u64) {
    let timeout = format!("\"streaming\", \"timeout_ms\": {stream_timeout_ms}");
    let config = CONFIG
        .replace("\"version\": 3", "\"version\": 4")
        .replace("\"streaming\", \"timeout_ms\": 5000", &timeout)
        .replace("\"header_timeout_ms\": 3000", "\"header_timeout_ms\": 500")
        .replace("\"idle_timeout_ms\": 15000", "\"idle_timeout_ms\": 800");
    fleet.store.configure(&config);
    for vm in &fleet.vms {
        wait_until("the configuration", || {
            get(vm.peers, "/metrics").body.contains("config_version 4")
        });
    }
}

/// Lists a target that sends events until its connection closes, as the only engine.
fn list_endless_engine(fleet: &Fleet) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("listener");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || send_events(stream));
        }
    });
    for index in 0..fleet.engines.len() {
        fleet.list(index, TargetStatus::Draining);
    }
    let mut entry = fleet.entry(0, TargetStatus::Ready);
    entry.id = "endless".into();
    entry.address = address;
    fleet.store.add_target(&entry);
    let known = format!(
        "\nlagoon_targets {}\n",
        fleet.engines.len() + fleet.desks.len() + 1
    );
    wait_until("the target", || {
        get(fleet.vms[0].peers, "/metrics").body.contains(&known)
    });
}

fn send_events(mut stream: TcpStream) {
    let mut request = [0; 4_096];
    if !matches!(stream.read(&mut request), Ok(read) if read > 0) {
        return;
    }
    let headers = response_headers("r1", "endless");
    let lines = headers.iter().map(|(name, value)| {
        let value = value.to_str().expect("text");
        format!("{name}: {value}\r\n")
    });
    let lines: String = lines.collect();
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n{lines}\r\n"
    );
    let mut number = 0;
    while stream.write_all(text.as_bytes()).is_ok() {
        number += 1;
        text = format!("id: {number}\ndata: piece {number}\n\n");
        thread::sleep(EVENT_INTERVAL);
    }
}

fn unanswered_lines(fleet: &Fleet) -> Vec<String> {
    let mut lines = fleet.log_lines(&fleet.vms[0]);
    lines.retain(|line| line.contains("message=\"unanswered: "));
    lines
}

/// Waits for a line of this cause that has these fields, and checks that it is the only
/// one and that it is counted.
fn expect_line(fleet: &Fleet, cause: &str, fields: &[&str]) {
    wait_until("the line", || !unanswered_lines(fleet).is_empty());
    let lines = unanswered_lines(fleet);
    check_line(&lines, cause, fields);
    let counted = format!("lagoon_unanswered_total{{cause=\"{cause}\"}} 1\n");
    wait_for_metric(fleet.vms[0].peers, &counted);
}

fn check_line(lines: &[String], cause: &str, fields: &[&str]) {
    assert_eq!(lines.len(), 1, "{lines:?}");
    let message = format!("message=\"unanswered: {cause}\"");
    assert!(lines[0].contains(&message), "{lines:?}");
    for field in fields {
        assert!(
            lines[0].contains(&format!(" {field}")),
            "{field}: {lines:?}"
        );
    }
}

fn model_call(id: &str, max_tokens: u64) -> Vec<String> {
    model_call_headers(id, "program", BUDGET_TOKENS, max_tokens)
}

fn stream_request(address: SocketAddr, id: &str) -> TcpStream {
    let mut headers = model_call(id, BUDGET_TOKENS / 2);
    // The route's timeout alone applies.
    headers.retain(|header| !header.contains("deadline"));
    send_request(address, "POST /stream/x", "a.example", &headers, "p")
}

/// Opens a connection and sends these bytes.
fn send_bytes(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("connection");
    stream.write_all(text.as_bytes()).expect("bytes are sent");
    stream
}

// Guards against streams that callers leave without a trace.
#[test]
fn unanswered_when_the_caller_leaves_in_a_stream() {
    let fleet = Fleet::start(1);
    list_endless_engine(&fleet);
    let mut stream = stream_request(fleet.callers(), "r1");
    stream.read_exact(&mut [0; 64]).expect("response begins");
    drop(stream);
    let fields = ["request=r1", "passed_on=true", "stopping=false"];
    expect_line(&fleet, "caller left", &fields);
}

// Guards against lines for requests that were answered, on kept and other connections.
#[test]
fn unanswered_has_no_line_for_whole_responses() {
    let mut fleet = Fleet::start(1);
    configure_limits(&fleet, 5_000);
    let mut kept = send_bytes(
        fleet.callers(),
        "GET /none/x HTTP/1.1\r\nHost: a.example\r\n\r\nHEAD /none/x HTTP/1.1\r\nHost: a.example\r\n\r\n",
    );
    let stream = read_response(stream_request(fleet.callers(), "r1"));
    assert!(stream.is_complete, "{stream:?}");
    let headers = service_call_headers("r2");
    assert_eq!(
        call(fleet.callers(), "POST /book/x", &headers, "b").status,
        200
    );
    let idle = TcpStream::connect(fleet.callers()).expect("connection");
    thread::sleep(IDLE_TIME);
    let mut text = String::new();
    kept.read_to_string(&mut text).expect("closed at the limit");
    assert_eq!(text.matches("HTTP/1.1 404").count(), 2, "{text}");
    drop(idle);
    fleet.stop_all_vms();
    assert_eq!(unanswered_lines(&fleet), Vec::<String>::new());
}

// Guards against heads that are dropped unseen at the header timeout.
#[test]
fn unanswered_part_of_a_head_at_the_header_timeout() {
    let fleet = Fleet::start(1);
    configure_limits(&fleet, 5_000);
    let _open = send_bytes(fleet.callers(), "POST /str");
    let fields = ["request=-", "unread_bytes=9", "config_version=4"];
    expect_line(&fleet, "header timeout", &fields);
}

// Guards against a body cut by the caller that looks like a bad request.
#[test]
fn unanswered_when_the_body_is_not_sent() {
    let fleet = Fleet::start(1);
    let headers = service_call_headers("r1").join("\r\n");
    let head = format!(
        "POST /book/x HTTP/1.1\r\nHost: a.example\r\n{headers}\r\nContent-Length: 50\r\n\r\npart"
    );
    drop(send_bytes(fleet.callers(), &head));
    expect_line(
        &fleet,
        "request body not read",
        &["request=r1", "passed_on=false"],
    );
}

// Guards against streams that end with their reservation without a cause.
#[test]
fn unanswered_when_the_reserved_tokens_are_used_up() {
    let fleet = Fleet::start(1);
    let headers = model_call("r1", 24);
    let response = call(fleet.callers(), "POST /stream/x", &headers, "p");
    assert_eq!((response.status, response.is_complete), (200, false));
    let fields = ["request=r1", "passed_on=true"];
    expect_line(&fleet, "charge used up in the stream", &fields);
}

// Guards against streams cut at their deadline without a cause.
#[test]
fn unanswered_when_the_stream_is_out_of_time() {
    let fleet = Fleet::start(1);
    configure_limits(&fleet, 1_000);
    list_endless_engine(&fleet);
    let response = read_response(stream_request(fleet.callers(), "r1"));
    assert_eq!((response.status, response.is_complete), (200, false));
    expect_line(&fleet, "out of time in the stream", &["request=r1"]);
}

// Guards against a stream of the target that breaks off without a cause.
#[test]
fn unanswered_when_the_stream_breaks_off() {
    let fleet = Fleet::start(1);
    for engine in &fleet.engines {
        engine.set_fault(TargetFault::TruncateAfter(2));
    }
    let headers = service_call_headers("r1");
    let response = call(fleet.callers(), "POST /chat/x", &headers, "p");
    assert_eq!((response.status, response.is_complete), (200, false));
    expect_line(&fleet, "stream broke off", &["request=r1"]);
}

// Guards against requests in flight that a stopping VM drops when its time is over.
#[test]
fn unanswered_when_the_process_ends() {
    let mut fleet = Fleet::start(1);
    configure_limits(&fleet, 60_000);
    list_endless_engine(&fleet);
    let mut stream = stream_request(fleet.callers(), "r1");
    stream.read_exact(&mut [0; 64]).expect("response begins");
    fleet.vms[0].signal(Signal::SIGTERM);
    assert!(fleet.vms[0].wait());
    let fields = ["request=r1", "passed_on=true", "stopping=true"];
    check_line(&unanswered_lines(&fleet), "process ended", &fields);
}

// Guards against the start of a request that a stop discards unseen.
#[test]
fn unanswered_part_of_a_head_at_the_stop() {
    let mut fleet = Fleet::start(1);
    let mut kept = send_bytes(
        fleet.callers(),
        "GET /none/x HTTP/1.1\r\nHost: a.example\r\n\r\n",
    );
    kept.read_exact(&mut [0; 64]).expect("response");
    kept.write_all(b"GET /no").expect("bytes are sent");
    fleet.vms[0].signal(Signal::SIGTERM);
    assert!(fleet.vms[0].wait());
    let fields = ["request=-", "unread_bytes=7", "stopping=true"];
    check_line(&unanswered_lines(&fleet), "closed by the stop", &fields);
}

// Guards against a request that crosses the close of its connection and leaves nothing.
#[test]
fn unanswered_request_that_crosses_the_idle_limit() {
    let fleet = Fleet::start(1);
    configure_limits(&fleet, 5_000);
    let headers = service_call_headers("r1").join("\r\n");
    let head = format!("GET /none/x HTTP/1.1\r\nHost: a.example\r\n{headers}\r\n\r\n");
    let mut kept = send_bytes(fleet.callers(), &head);
    let mut text = Vec::new();
    kept.read_to_end(&mut text).expect("closed at the limit");
    kept.write_all(head.as_bytes()).expect("bytes are sent");
    let unread = format!("unread_bytes={}", head.len());
    expect_line(&fleet, "closed when idle", &["request=r1", &unread]);
}

// Guards against connections that are closed at a maximum without a count: that of all, and
// that of one address.
#[parameterized(
    of_all = { "connections_per_address = 1000\n", MAX_CONNECTIONS, "too many connections" },
    of_one_address = { "", MAX_CONNECTIONS * 7 / 8, "too many connections of one address" },
)]
fn unanswered_when_too_many_connections_are_open(
    limits: &'static str,
    connections: usize,
    cause: &str,
) {
    let options = FleetOptions {
        limits,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start_with(1, options);
    let connect = |_| TcpStream::connect(fleet.callers()).expect("connection");
    let mut open: Vec<TcpStream> = (0..connections).map(connect).collect();
    let mut refused = connect(0);
    let end = refused.read(&mut [0; 1]);
    assert!(matches!(end, Ok(0) | Err(_)), "{end:?}");
    open.clear();
    wait_until("the line", || !unanswered_lines(&fleet).is_empty());
    check_line(&unanswered_lines(&fleet), cause, &["request=-"]);
}

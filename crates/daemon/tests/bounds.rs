//! Bounds of callers' connections: what is refused or closed, and what isn't.

mod site;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant};

use site::{wait_for, Site};
use yare::parameterized;

/// Time after which a read that gets nothing fails; no test waits that long for what comes.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Largest body of the default settings.
const LARGEST_BODY_BYTES: usize = 8_000_000;

const CHUNKED: &str = "POST /v1/call/booking HTTP/1.1\r\nHost: a\r\n\
Authorization: Bearer grower-desk-key\r\nTransfer-Encoding: chunked\r\n\r\n";

const HEALTH: &str = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";

fn connect(site: &Site) -> TcpStream {
    let stream = TcpStream::connect(site.vms[0].callers).expect("connection");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("timeout");
    stream
}

/// All that is received until the connection is closed.
fn read_all(mut stream: &TcpStream) -> String {
    let mut text = Vec::new();
    // A reset ends the connection, like a close.
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Sends the bytes, and checks that the connection is closed within these times.
fn check_close(site: &Site, bytes: &str, allowed: Range<Duration>) {
    let mut stream = connect(site);
    let started = Instant::now();
    stream.write_all(bytes.as_bytes()).expect("bytes are sent");
    read_all(&stream);
    let took = started.elapsed();
    assert!(allowed.contains(&took), "{took:?}");
}

// Guards against a head or a rest that holds its connection without end, and against one that
// is closed before its time.
#[parameterized(
    head = { "head_timeout_ms = 1500", "POST /v1/call/booking HTTP/1.1\r\nHost: a.exa" },
    rest = { "connection_idle_ms = 1500\nhead_timeout_ms = 500", HEALTH },
    no_byte = { "connection_idle_ms = 1500\nhead_timeout_ms = 500", "" },
)]
fn connection_that_stalls_is_closed(callers: &str, bytes: &str) {
    let site = Site::start_bounded(1, None, callers);
    let allowed = Duration::from_millis(1_400)..Duration::from_secs(10);
    check_close(&site, bytes, allowed);
}

// Guards against a caller that holds its connection and its bytes without end, and against a
// refusal that doesn't say that the request hasn't run.
#[parameterized(
    pause = { "connection_idle_ms = 1000", 1 },
    whole = { "body_timeout_ms = 1000", 40 },
)]
fn body_that_does_not_end_in_time_is_refused(callers: &str, chunks: usize) {
    let site = Site::start_bounded(1, None, callers);
    let mut stream = connect(&site);
    stream.write_all(CHUNKED.as_bytes()).expect("head is sent");
    for _ in 0..chunks {
        // Fails when the refusal has come.
        if stream.write_all(b"1\r\nx\r\n").is_err() {
            break;
        }
        thread::sleep(Duration::from_millis(50));
    }
    let response = read_all(&stream);
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
    assert!(response.contains("Lagoon-Ran: not_run\r\n"), "{response}");
    assert!(
        response.contains("Lagoon-Error: request_timeout\r\n"),
        "{response}"
    );
    assert!(site.executed_bookings().is_empty());
    wait_for("log line of the bound", || {
        let log = site.vms[0].log();
        log.contains("bound=body_time").then_some(())
    });
}

// Guards against one address that takes all connections, and against a count that doesn't go
// down again.
#[parameterized(
    of_address = { "connections_per_address = 4" },
    all = { "max_connections = 8\nconnections_per_address = 8" },
)]
fn connections_are_bounded(callers: &str) {
    let site = Site::start_bounded(1, None, callers);
    let most = if callers.contains("max") { 8 } else { 4 };
    let is_served = |mut stream: &TcpStream| {
        let sent = stream.write_all(HEALTH.as_bytes());
        sent.is_ok() && stream.read(&mut [0; 1_024]).is_ok_and(|read| read > 0)
    };
    let open: Vec<TcpStream> = (0..most).map(|_| connect(&site)).collect();
    assert!(open.iter().all(is_served));
    assert!(!is_served(&connect(&site)));
    drop(open);
    wait_for("a connection", || is_served(&connect(&site)).then_some(()));
}

// Guards against limits under which the largest body that is allowed isn't served.
#[test]
fn largest_body_is_served() {
    let site = Site::start(1);
    let url = format!("http://{}/v1/call/booking", site.vms[0].callers);
    let request = ureq::post(url).header("Authorization", "Bearer grower-desk-key");
    let response = request.send("x".repeat(LARGEST_BODY_BYTES).as_str());
    assert_eq!(response.expect("response").status(), 200);
}

// Guards against a body over the limit whose refusal is lost as the rest isn't read, and
// against one that takes the connection with it.
#[test]
fn body_over_the_limit_is_refused_and_its_connection_goes_on() {
    let site = Site::start_bounded(1, None, "body_limit_bytes = 100000");
    let mut stream = connect(&site);
    for _ in 0..2 {
        stream.write_all(CHUNKED.as_bytes()).expect("head is sent");
        let chunk = format!("{:x}\r\n{}\r\n0\r\n\r\n", 3_000_000, "x".repeat(3_000_000));
        stream.write_all(chunk.as_bytes()).expect("body is sent");
        let mut response = [0; 4_096];
        let read = stream.read(&mut response).expect("response");
        let response = String::from_utf8_lossy(&response[..read]);
        assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
        assert!(response.contains("Lagoon-Ran: not_run\r\n"), "{response}");
    }
}

// Guards against a server that takes a caller that has closed its own side for one that left.
#[test]
fn caller_that_closes_its_side_gets_its_response() {
    let site = Site::start(1);
    let mut stream = connect(&site);
    let body = "1\r\nx\r\n0\r\n\r\n";
    let request = format!("{CHUNKED}{body}");
    stream
        .write_all(request.as_bytes())
        .expect("request is sent");
    stream.shutdown(Shutdown::Write).expect("close");
    let response = read_all(&stream);
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert!(response.contains("Lagoon-Program: "), "{response}");
}

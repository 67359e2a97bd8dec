//! Targets of the daemon whose bytes are no response, or never end.

mod site;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::json;
use site::{wait_for, Site};
use yare::parameterized;

/// Status lines that are none of HTTP. The last ones lack a status, or the whole line.
const INVALID_LINES: [&str; 10] = [
    "HTTP/1.1 000 Trouble\r\n",
    "HTTP/1.1 099 Trouble\r\n",
    "HTTP/1.1 1000 Trouble\r\n",
    "HTTP/1.1 20 OK\r\n",
    "HTTP/1.1 +200 OK\r\n",
    "HTTP/1.1 -200 OK\r\n",
    "HTTP/1.1 abc OK\r\n",
    "HTTP/1.1\r\n",
    "HTTP/1.1 \r\n",
    "",
];

/// Interim responses that may come before the response with the invalid line.
const INTERIM_RESPONSES: [&str; 2] = ["", "HTTP/1.1 100 Continue\r\n\r\n"];

/// More than a daemon should read of one response that it can't forward, socket buffers
/// included.
const MAX_BYTES: usize = 32_000_000;

/// Bytes of one write of an endless response.
static BLOCK: [u8; 65_536] = [b'x'; 65_536];

/// Target that responds to calls with `head` and a body that no caller may get.
struct RawTarget {
    address: SocketAddr,
    head: Arc<Mutex<String>>,
    calls: Arc<AtomicUsize>,
    /// Bytes of the longest endless response; a head that ends without a line end begins
    /// one.
    most: Arc<AtomicUsize>,
}

impl RawTarget {
    fn start() -> RawTarget {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("listener");
        let target = RawTarget {
            address: listener.local_addr().expect("address"),
            head: Arc::default(),
            calls: Arc::default(),
            most: Arc::default(),
        };
        let (head, calls) = (Arc::clone(&target.head), Arc::clone(&target.calls));
        let most = Arc::clone(&target.most);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (head, calls) = (Arc::clone(&head), Arc::clone(&calls));
                let most = Arc::clone(&most);
                thread::spawn(move || serve(stream, &head, &calls, &most));
            }
        });
        target
    }

    fn set_head(&self, head: String) {
        *self.head.lock().expect("head") = head;
    }
}

fn serve(mut stream: TcpStream, head: &Mutex<String>, calls: &AtomicUsize, most: &AtomicUsize) {
    let mut request = [0; 8_192];
    let Ok(read @ 1..) = stream.read(&mut request) else {
        return;
    };
    let load = r#"{"running": 0, "waiting": 0, "leaving": false}"#;
    let response = if request[..read].starts_with(b"GET /load") {
        let length = load.len();
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{load}")
    } else {
        calls.fetch_add(1, Ordering::SeqCst);
        let head = head.lock().expect("head").clone();
        if !head.is_empty() && !head.ends_with('\n') {
            send_without_end(stream, &head, most);
            return;
        }
        format!("{head}Content-Type: application/json\r\nContent-Length: 6\r\n\r\nsecret")
    };
    // Fails if the daemon has closed the connection.
    let _ = stream.write_all(response.as_bytes());
    // The daemon closes the connection.
    let _ = stream.read(&mut request);
}

fn send_without_end(mut stream: TcpStream, head: &str, most: &AtomicUsize) {
    let mut written = stream.write_all(head.as_bytes());
    let mut bytes = 0;
    while written.is_ok() && bytes <= MAX_BYTES {
        bytes += BLOCK.len();
        most.fetch_max(bytes, Ordering::SeqCst);
        written = stream.write_all(&BLOCK);
    }
}

// Guards against a daemon that reads such bytes until its memory is exhausted, or passes
// them on as a response.
#[parameterized(
    no_response = { "x" },
    head = { "HTTP/1.1 200 OK\r\nEndless: " },
    body = { "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\nx" },
    error_body = { "HTTP/1.1 422 No\r\nContent-Type: application/json\r\n\r\nx" },
    event = { "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: x" },
    comment = { "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: x" },
)]
fn endless_bytes_are_bounded_and_not_forwarded(head: &str) {
    let (engine, desk) = (RawTarget::start(), RawTarget::start());
    let site = Site::start_with(1, Some([engine.address, desk.address]));
    engine.set_head(head.to_owned());
    let chat = site.client(0).chat("contract-agent", "one", 8, &[], |_| {});
    let chat = chat.expect("response");
    assert!(!chat.complete, "{}", chat.summary);
    assert!(!chat.text.contains("xx"), "{}", chat.text.len());
    let bytes = engine.most.load(Ordering::SeqCst);
    assert!(bytes > 0 && bytes < MAX_BYTES, "{bytes}");
    site.vms[0].wait_ready();
}

// Guards against a call that may have run and is refused as not run, as the target's status
// was taken for a statement that it isn't.
#[test]
fn status_alone_is_no_promise() {
    let (engine, desk) = (RawTarget::start(), RawTarget::start());
    let site = Site::start_with(1, Some([engine.address, desk.address]));
    let client = site.client(0);
    for status in [408, 429, 503] {
        engine.set_head(format!("HTTP/1.1 {status} Trouble\r\n"));
        let chat = client.chat("contract-agent", "one", 8, &[], |_| {});
        let chat = chat.expect("response");
        assert_eq!(chat.status, 502, "{status}: {}", chat.text);
        assert!(chat.text.contains("\"ran\":\"unknown\""), "{}", chat.text);
        engine.set_head(format!(
            "HTTP/1.1 {status} Trouble\r\nLagoon-Ran: not_run\r\n"
        ));
        let chat = client.chat("contract-agent", "one", 8, &[], |_| {});
        let chat = chat.expect("response");
        assert_eq!(chat.status, 503, "{status}: {}", chat.text);
        assert!(chat.text.contains("\"ran\":\"not_run\""), "{}", chat.text);
    }
    desk.set_head("HTTP/1.1 503 Trouble\r\n".to_owned());
    let headers = [("Lagoon-Program", "p"), ("Lagoon-Call", "1")];
    let booked = client.call_service("booking", &headers, &json!({"slot": 1}));
    let booked = booked.expect("response");
    assert_eq!(booked.status, 502, "{}", booked.text);
    assert!(
        booked.text.contains("\"ran\":\"unknown\""),
        "{}",
        booked.text
    );
}

// Guards against an invalid status, or the body after it, that reaches a caller, and
// against one that is taken for a promise that the call has not run.
#[test]
fn invalid_status_reaches_no_caller() {
    let (engine, desk) = (RawTarget::start(), RawTarget::start());
    let site = Site::start_with(1, Some([engine.address, desk.address]));
    let client = site.client(0);
    let mut number = 0;
    for before in INTERIM_RESPONSES {
        for line in INVALID_LINES {
            for target in [&engine, &desk] {
                target.set_head(format!("{before}{line}"));
            }
            number += 1;
            let program = format!("p{number}");
            let headers = [("Lagoon-Program", program.as_str()), ("Lagoon-Call", "1")];
            let calls = desk.calls.load(Ordering::SeqCst);
            let booked = client.call_service("booking", &headers, &json!({"slot": 1}));
            let booked = booked.expect("response");
            assert_eq!(booked.status, 502, "{before}{line}: {}", booked.text);
            assert!(booked.text.contains("in_doubt"), "{}", booked.text);
            assert!(
                booked.text.contains("\"ran\":\"unknown\""),
                "{}",
                booked.text
            );
            assert_eq!(desk.calls.load(Ordering::SeqCst), calls + 1, "{line}");
            let chat = client.chat("contract-agent", "one", 8, &[], |_| {});
            let chat = chat.expect("response");
            assert_eq!(chat.status, 502, "{before}{line}: {}", chat.text);
            assert!(chat.text.contains("answer_broken"), "{}", chat.text);
            let all = format!("{} {}", booked.text, chat.text);
            assert!(!all.contains("secret"), "{before}{line}: {all}");
        }
    }
    for target in ["engine-1", "desk-1"] {
        for message in ["try failed", "bytes of a target are no response"] {
            // A line may be written after the caller has its response.
            wait_for(&format!("a line {message:?} of {target}"), || {
                let log = site.vms[0].log();
                let mut lines = log.lines();
                lines.find_map(|line| {
                    (line.contains(message) && line.contains(target)).then_some(())
                })
            });
        }
    }
}

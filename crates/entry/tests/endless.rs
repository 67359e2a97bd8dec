//! Targets whose bytes are no response and never end.

mod fleet;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

use fleet::{call, get, wait_until, Fleet};
use lagoon_adapter::standin::{model_call_headers, response_headers, service_call_headers};
use lagoon_gateway::TargetStatus;
use yare::parameterized;

/// More than a VM should read of one response that it can't forward, socket
/// buffers included.
const MAX_BYTES: usize = 16_000_000;

/// Bytes of one write.
static BLOCK: [u8; 65_536] = [b'x'; 65_536];

/// Interim response, which is followed by others of the same kind only.
const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\n\r\n";

/// Number of interim responses of one write.
const INTERIMS_PER_BLOCK: usize = 2_000;

/// Server that starts each response with `head` and then sends bytes until the
/// connection is closed; counts the bytes of the connection with most of them.
fn start_endless_server(head: String) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("listener");
    let address = listener.local_addr().expect("address");
    let most = Arc::new(AtomicUsize::new(0));
    let shared = Arc::clone(&most);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (head, most) = (head.clone(), Arc::clone(&shared));
            thread::spawn(move || send_without_end(stream, &head, &most));
        }
    });
    (address, most)
}

fn send_without_end(mut stream: TcpStream, head: &str, most: &AtomicUsize) {
    let mut request = [0; 4_096];
    if !matches!(stream.read(&mut request), Ok(read) if read > 0) {
        return;
    }
    let interims = INTERIM.repeat(INTERIMS_PER_BLOCK);
    let block = match head {
        INTERIM => interims.as_bytes(),
        _ => &BLOCK,
    };
    let mut written = stream.write_all(head.as_bytes());
    let mut bytes = 0;
    // Without a bound of the VM, the connection stays open at the end.
    while written.is_ok() && bytes <= MAX_BYTES {
        bytes += block.len();
        most.fetch_max(bytes, Ordering::SeqCst);
        written = stream.write_all(block);
    }
    // Fails when the VM closes the connection.
    let _ = stream.read(&mut request);
}

fn head_of_success(request_id: &str) -> String {
    let headers = response_headers(request_id, "endless");
    let lines = headers.iter().map(|(name, value)| {
        let value = value.to_str().expect("text");
        format!("{name}: {value}\r\n")
    });
    let lines: String = lines.collect();
    format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{lines}\r\n")
}

// Guards against a VM that reads such bytes until its memory is exhausted, or
// passes them on as a response.
#[parameterized(
    no_response_to_a_stream = { "/stream/x", String::new() },
    no_response_to_a_lookup = { "/look/x", String::new() },
    endless_head = { "/stream/x", "HTTP/1.1 200 OK\r\nendless: ".to_owned() },
    endless_event = { "/stream/x", head_of_success("r1") },
    endless_kept_turn = { "/chat/x", head_of_success("r1") },
    endless_body = { "/look/x", head_of_success("r1") },
    endless_interim_responses = { "/look/x", INTERIM.to_owned() },
    endless_interim_responses_to_a_stream = { "/stream/x", INTERIM.to_owned() },
)]
fn endless_bytes_are_bounded_and_not_forwarded(path: &str, head: String) {
    let fleet = Fleet::start(1);
    let (address, most) = start_endless_server(head);
    let targets = fleet.engines.len() + fleet.desks.len();
    for index in 0..targets {
        fleet.list(index, TargetStatus::Draining);
    }
    let (id, index) = match path.starts_with("/look/") {
        true => ("endless-desk", 2),
        false => ("endless-engine", 0),
    };
    let mut entry = fleet.entry(index, TargetStatus::Ready);
    entry.id = id.into();
    entry.address = address;
    fleet.store.add_target(&entry);
    let known = format!("\nlagoon_targets {}\n", targets + 1);
    wait_until("the target", || {
        get(fleet.vms[0].peers, "/metrics").body.contains(&known)
    });
    let headers = match path {
        "/stream/x" => model_call_headers("r1", "program", 2_000, 288),
        _ => service_call_headers("r1"),
    };
    let response = call(fleet.callers(), &format!("POST {path}"), &headers, "p");
    let is_whole = response.status == 200 && response.is_complete;
    assert!(!is_whole && response.body.len() < 1_000, "{response:?}");
    assert!(!response.body.contains("xx"), "{response:?}");
    let bytes = most.load(Ordering::SeqCst);
    assert!(bytes > 0 && bytes < MAX_BYTES, "{bytes}");
    assert_eq!(get(fleet.vms[0].ready, "/ready").status, 200);
}

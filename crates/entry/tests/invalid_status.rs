//! Targets whose responses have an invalid status line.

mod fleet;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use fleet::{call, get, wait_until, Fleet, FleetOptions, Response};
use http::header::{HeaderMap, HeaderName, HeaderValue};
use lagoon_adapter::standin::{
    decode_received_request, model_call_headers, response_headers, service_call_headers,
};
use lagoon_gateway::TargetStatus;
use lagoon_standin::fleet::ProxyFault;
use yare::parameterized;

/// Status lines that are none of HTTP. The last ones lack a status, or the whole line.
const INVALID_LINES: [&str; 11] = [
    "HTTP/1.1 000 Trouble\r\n",
    "HTTP/1.1 000\r\n",
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
const INTERIM_RESPONSES: [&str; 3] = [
    "",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
];

/// Body that no caller may get.
const BODY: &str = "id: 1\ndata: secret\n\n";

/// What a [`RawTarget`] sends; the stamp and its other headers follow the line.
#[derive(Clone, Debug, Default)]
struct Script {
    /// Bytes before the status line.
    before: String,
    /// Status line with its end; `None` for a sound response.
    line: Option<&'static str>,
    /// Bytes after the body.
    after: String,
}

/// Target that sends whatever it is told to.
struct RawTarget {
    address: SocketAddr,
    script: Arc<Mutex<Script>>,
    requests: Arc<AtomicUsize>,
    /// Requests that were not the first on their connection.
    reused: Arc<AtomicUsize>,
}

impl RawTarget {
    fn start(id: &'static str) -> RawTarget {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("listener");
        let target = RawTarget {
            address: listener.local_addr().expect("address"),
            script: Arc::default(),
            requests: Arc::default(),
            reused: Arc::default(),
        };
        let script = Arc::clone(&target.script);
        let counts = (Arc::clone(&target.requests), Arc::clone(&target.reused));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, counts) = (Arc::clone(&script), counts.clone());
                thread::spawn(move || serve(stream, id, &script, &counts));
            }
        });
        target
    }

    fn set_script(&self, script: Script) {
        *self.script.lock().expect("script") = script;
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    fn reused(&self) -> usize {
        self.reused.load(Ordering::SeqCst)
    }
}

fn serve(
    mut stream: TcpStream,
    id: &str,
    script: &Mutex<Script>,
    counts: &(Arc<AtomicUsize>, Arc<AtomicUsize>),
) {
    let mut number = 0;
    while let Some(request) = read_request(&mut stream) {
        let script = script.lock().expect("script").clone();
        counts.0.fetch_add(1, Ordering::SeqCst);
        counts
            .1
            .fetch_add(usize::from(number > 0), Ordering::SeqCst);
        number += 1;
        let line = script.line.unwrap_or("HTTP/1.1 200 OK\r\n");
        let headers = response_headers(&request, id);
        let headers = headers.iter().map(|(name, value)| {
            let value = value.to_str().expect("text");
            format!("{name}: {value}\r\n")
        });
        let response = format!(
            "{}{line}Content-Type: text/event-stream\r\nContent-Length: {}\r\n{}\r\n{BODY}{}",
            script.before,
            BODY.len(),
            headers.collect::<String>(),
            script.after,
        );
        // Fails if the VM has closed the connection.
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads a request whose body is `p`; returns its id.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut request = Vec::new();
    let mut bytes = [0; 4_096];
    while !request.ends_with(b"\r\n\r\np") {
        match stream.read(&mut bytes) {
            Ok(read @ 1..) => request.extend_from_slice(&bytes[..read]),
            _ => return None,
        }
    }
    let text = String::from_utf8_lossy(&request).to_lowercase();
    let lines = text.lines().filter_map(|line| line.split_once(": "));
    let received = lines.map(|(name, value)| {
        let name: HeaderName = name.parse().expect("name");
        (name, HeaderValue::from_str(value).expect("value"))
    });
    let received = decode_received_request(&HeaderMap::from_iter(received));
    Some(received.request_id.to_string())
}

fn unique_id() -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    format!("r{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

fn send(fleet: &Fleet, path: &str) -> Response {
    let id = unique_id();
    let headers = match path {
        "/stream/x" => model_call_headers(&id, &id, 2_000, 288),
        _ => service_call_headers(&id),
    };
    call(fleet.vms[0].callers, &format!("POST {path}"), &headers, "p")
}

/// Starts a fleet whose only target of the path's service is a raw one.
fn start(path: &str, is_carried: bool) -> (Fleet, RawTarget) {
    let options = FleetOptions {
        has_paths: true,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start_with(2, options);
    let (service, id, listed) = match path {
        "/stream/x" => ("engines", "raw-engine", 0..2),
        _ => ("desks", "raw-desk", 2..4),
    };
    let target = RawTarget::start(id);
    listed.for_each(|index| fleet.list(index, TargetStatus::Draining));
    fleet
        .vms
        .iter_mut()
        .for_each(|vm| vm.add_path(target.address));
    let mut entry = fleet.engines[0].entry(service, TargetStatus::Ready);
    entry.id = id.into();
    entry.address = target.address;
    fleet.store.add_target(&entry);
    for vm in &fleet.vms {
        wait_until("the target", || {
            get(vm.peers, "/metrics")
                .body
                .contains("\nlagoon_targets 5\n")
        });
    }
    if is_carried {
        fleet.set_path_fault(0, ProxyFault::Refused);
        wait_until("refused connections", || {
            let mut paths = fleet.vms[0].paths().iter();
            paths.all(|path| TcpStream::connect(path.address).is_err())
        });
    }
    (fleet, target)
}

/// Invalid responses of a target that a VM has counted.
fn invalid_responses(vm: SocketAddr, id: &str) -> usize {
    let metrics = get(vm, "/metrics").body;
    let prefix = format!("lagoon_invalid_responses_total{{target_id=\"{id}\"}} ");
    let mut lines = metrics.lines();
    let count = lines.find_map(|line| line.strip_prefix(&prefix)?.parse().ok());
    count.unwrap_or_default()
}

// Guards against an invalid status, or the body after it, that reaches a caller, and
// against one that is taken for a promise that the request has not run. The caller gets
// what follows an attempt that broke off; the VM that sent it counts and logs the target.
#[parameterized(
    lookup = { "/look/x", false },
    booking = { "/book/x", false },
    stream = { "/stream/x", false },
    carried_lookup = { "/look/x", true },
    carried_booking = { "/book/x", true },
    carried_stream = { "/stream/x", true },
)]
fn invalid_status_reaches_no_caller(path: &str, is_carried: bool) {
    let (fleet, target) = start(path, is_carried);
    let (sender, id) = match (is_carried, path) {
        (true, "/stream/x") => (1, "raw-engine"),
        (true, _) => (1, "raw-desk"),
        (false, "/stream/x") => (0, "raw-engine"),
        (false, _) => (0, "raw-desk"),
    };
    for before in INTERIM_RESPONSES {
        for line in INVALID_LINES {
            let (requests, counted) = (
                target.requests(),
                invalid_responses(fleet.vms[sender].peers, id),
            );
            target.set_script(Script {
                before: before.to_owned(),
                line: Some(line),
                ..Script::default()
            });
            let response = send(&fleet, path);
            assert_eq!(response.status, 502, "{before}{line}: {response:?}");
            assert!(!response.body.contains("secret"), "{response:?}");
            let sent = target.requests() - requests;
            assert!(sent > 0, "{before}{line}: {response:?}");
            let newly_counted = || invalid_responses(fleet.vms[sender].peers, id) - counted;
            wait_until("the counts", || newly_counted() >= sent);
            assert_eq!(newly_counted(), sent, "{before}{line}");
        }
    }
    let named = || {
        let mut lines = fleet.log_lines(&fleet.vms[sender]);
        lines.retain(|line| line.contains("bytes of a target are no response"));
        lines.iter().filter(|line| line.contains(id)).count()
    };
    wait_until("the lines", || named() >= target.requests());
    assert_eq!(named(), target.requests());
    target.set_script(Script::default());
    wait_until("a sound response", || send(&fleet, path).status == 200);
}

// Guards against the same on a connection that was kept, on which a sound response came
// before, and against one that stays in use afterwards.
#[parameterized(direct = { false }, carried = { true })]
fn invalid_status_on_a_kept_connection_reaches_no_caller(is_carried: bool) {
    let (fleet, target) = start("/book/x", is_carried);
    for line in INVALID_LINES {
        // For a while after a loss, a VM may open a connection although it has kept one.
        wait_until("an invalid response on a kept connection", || {
            target.set_script(Script::default());
            wait_until("a sound response", || send(&fleet, "/book/x").status == 200);
            let reused = target.reused();
            target.set_script(Script {
                line: Some(line),
                ..Script::default()
            });
            let response = send(&fleet, "/book/x");
            assert_eq!(response.status, 502, "{line}: {response:?}");
            assert!(!response.body.contains("secret"), "{response:?}");
            target.reused() > reused
        });
    }
}

// Guards against a second response to one request, with an invalid status, that the next
// caller on the connection gets.
#[test]
fn invalid_bytes_after_a_response_reach_no_other_caller() {
    let (fleet, target) = start("/look/x", false);
    for line in INVALID_LINES {
        target.set_script(Script {
            after: format!("{line}Content-Length: 6\r\n\r\nsecret"),
            ..Script::default()
        });
        for _ in 0..3 {
            let response = send(&fleet, "/look/x");
            let is_sound = response.status == 200 && response.body == BODY;
            assert!(is_sound || response.status == 502, "{line}: {response:?}");
        }
    }
}

// Guards against a request that may be repeated and isn't, where another target is sound.
#[test]
fn lookup_after_an_invalid_status_is_served_by_another_target() {
    let (fleet, target) = start("/look/x", false);
    fleet.list(2, TargetStatus::Ready);
    fleet.list(3, TargetStatus::Ready);
    wait_until("the sound targets", || {
        send(&fleet, "/look/x");
        let mut desks = fleet.desks.iter();
        desks.all(|desk| !desk.executions().is_empty())
    });
    let requests = target.requests();
    target.set_script(Script {
        line: Some(INVALID_LINES[0]),
        ..Script::default()
    });
    wait_until("an attempt at the target", || {
        let response = send(&fleet, "/look/x");
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.body, "done");
        target.requests() > requests
    });
}

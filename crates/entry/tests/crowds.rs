//! Crowds that take up more connections, heads and unread bytes than bodies: a VM lives, its
//! memory and what its sockets hold unread stay within its machine, and it answers an ordinary
//! request afterwards.

mod crowd;
mod fleet;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crowd::{descriptors, head, status_bytes, Behaviour, Crowd, Peak};
use fleet::{call, try_call, wait_until, Fleet, FleetOptions};
use lagoon_adapter::standin::{response_headers, service_call_headers};
use lagoon_gateway::TargetStatus;
use socket2::{Domain, Protocol, Socket, Type};
use yare::parameterized;

/// A machine, as the settings describe it.
#[derive(Clone, Copy, Debug)]
struct Machine {
    limits: &'static str,
    memory_bytes: u64,
    descriptors: usize,
}

/// Half of a machine of 88 MB and 4,100 descriptors.
const SMALL: Machine = Machine {
    limits: "memory_mb = 44\ndescriptors = 2050\n",
    memory_bytes: 44_000_000,
    descriptors: 2_050,
};

/// Half of a machine of 120 MB and 8,200 descriptors.
const DENSE: Machine = Machine {
    limits: "memory_mb = 60\ndescriptors = 4100\n",
    memory_bytes: 60_000_000,
    descriptors: 4_100,
};

/// Half of a machine of 88 MB with as many descriptors as one of 120 MB.
const DENSEST: Machine = Machine {
    limits: "memory_mb = 44\ndescriptors = 4100\n",
    memory_bytes: 44_000_000,
    descriptors: 4_100,
};

const CROWD_TIME: Duration = Duration::from_secs(6);

/// Time of each crowd where several come one after the other.
const SHORT_CROWD_TIME: Duration = Duration::from_secs(3);

/// Length of a response that doesn't fit into the buffers of sockets.
const LARGE_RESPONSE_BYTES: usize = 2_000_000;

/// Length of a response that a slow caller takes in two parts.
const PAUSED_RESPONSE_BYTES: usize = 200_000;

/// Length of the largest body that the configuration allows.
const LARGEST_BODY_BYTES: usize = 4_194_304;

/// Length of a head just within the configuration's limit.
const LARGEST_HEAD_BYTES: usize = 16_000;

static BLOCK: [u8; 65_536] = [b'x'; 65_536];

/// The tests of this file run one at a time: each measures a process under load.
fn take_turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start_fleet(machine: Machine) -> Fleet {
    let options = FleetOptions {
        limits: machine.limits,
        ..FleetOptions::default()
    };
    Fleet::start_with(1, options)
}

/// Checks that the VM lives within its machine and answers an ordinary request.
fn check(fleet: &mut Fleet, machine: Machine, peak: Peak) {
    assert!(!fleet.vms[0].has_ended(), "the process has ended");
    wait_until("an ordinary request", || {
        let headers = service_call_headers("ordinary");
        try_call(fleet.callers(), "POST /book/x", &headers, "p").status == 200
    });
    let memory = status_bytes(&fleet.vms[0], "VmHWM").expect("memory");
    let now = status_bytes(&fleet.vms[0], "VmRSS").expect("memory");
    println!("most memory {memory}, now {now}, {peak:?}");
    let descriptors = peak.descriptors;
    assert!(descriptors <= machine.descriptors, "{descriptors}");
    assert!(
        memory <= machine.memory_bytes,
        "{memory} bytes of memory, {peak:?}"
    );
    assert!(
        peak.total_bytes <= machine.memory_bytes,
        "{memory} bytes of memory, {peak:?}"
    );
}

fn endure(machine: Machine, callers: usize, behaviours: &[Behaviour]) {
    let _turn = take_turn();
    let mut fleet = start_fleet(machine);
    let server = fleet.callers();
    endure_crowd(&mut fleet, machine, server, callers, behaviours);
}

fn endure_crowd(
    fleet: &mut Fleet,
    machine: Machine,
    server: SocketAddr,
    callers: usize,
    behaviours: &[Behaviour],
) {
    let crowd = Crowd {
        callers,
        behaviours,
        time: CROWD_TIME,
    };
    let peak = crowd.run(&mut fleet.vms[0], server);
    check(fleet, machine, peak);
}

const WHOLE: Behaviour = Behaviour::Request {
    line: "POST /book/x",
    head_bytes: 15_000,
    body_bytes: 30_000,
};

const WHOLE_LOOKUPS: Behaviour = Behaviour::Request {
    line: "POST /look/x",
    head_bytes: 15_000,
    body_bytes: 30_000,
};

const LEAVING: Behaviour = Behaviour::Leave {
    head_bytes: 15_000,
    body_bytes: 30_000,
    after: Duration::from_secs(2),
};

const PIPELINED: Behaviour = Behaviour::Pipeline { body_bytes: 20_000 };

const HALF_BODIES: Behaviour = Behaviour::HalfBody {
    head_bytes: 15_000,
    body_bytes: 4_000_000,
};

const SMALL_HALF_BODIES: Behaviour = Behaviour::HalfBody {
    head_bytes: 15_000,
    body_bytes: 100_000,
};

const HALF_HEADS: Behaviour = Behaviour::HalfHead { head_bytes: 8_000 };

const LONG_HALF_HEADS: Behaviour = Behaviour::HalfHead { head_bytes: 15_000 };

const SMALL_CHUNKS: Behaviour = Behaviour::Chunks {
    chunk_bytes: 1,
    bytes: 1_000_000,
};

const LARGE_CHUNKS: Behaviour = Behaviour::Chunks {
    chunk_bytes: 1_000_000,
    bytes: 4_000_000,
};

const DRIPPING: Behaviour = Behaviour::Drip {
    line: "POST /look/x",
};

// Guards against bounds of which each holds, but not their sum: connections, heads, buffers
// and bytes that wait in sockets, beside bodies.
#[parameterized(
    whole_requests = { SMALL, 450, &[WHOLE] },
    whole_requests_on_many_connections = { DENSE, 750, &[WHOLE] },
    whole_lookups = { SMALL, 450, &[WHOLE_LOOKUPS] },
    requests_that_leave_and_return = { SMALL, 300, &[LEAVING] },
    pipelined_requests = { SMALL, 450, &[PIPELINED] },
    half_bodies = { SMALL, 300, &[HALF_BODIES] },
    small_half_bodies = { SMALL, 450, &[SMALL_HALF_BODIES] },
    half_heads = { DENSEST, 1_000, &[HALF_HEADS] },
    long_half_heads = { DENSE, 1_000, &[LONG_HALF_HEADS] },
    small_chunks = { SMALL, 450, &[SMALL_CHUNKS] },
    large_chunks = { SMALL, 450, &[LARGE_CHUNKS] },
    all_at_once = { SMALL, 450, &[WHOLE, PIPELINED, HALF_BODIES, LONG_HALF_HEADS, SMALL_CHUNKS] },
)]
fn vm_stays_within_its_machine(machine: Machine, callers: usize, behaviours: &[Behaviour]) {
    endure(machine, callers, behaviours);
}

// Guards against memory that one crowd leaves behind and the next one, of another shape, can't
// use.
#[parameterized(
    small = { SMALL, 450 },
    dense = { DENSE, 900 },
)]
fn vm_stays_within_its_machine_one_crowd_after_the_other(machine: Machine, callers: usize) {
    let _turn = take_turn();
    let mut fleet = start_fleet(machine);
    let server = fleet.callers();
    for behaviour in [
        WHOLE,
        HALF_HEADS,
        PIPELINED,
        SMALL_CHUNKS,
        LEAVING,
        LARGE_CHUNKS,
        LONG_HALF_HEADS,
        WHOLE_LOOKUPS,
    ] {
        let crowd = Crowd {
            callers,
            behaviours: &[behaviour],
            time: SHORT_CROWD_TIME,
        };
        let peak = crowd.run(&mut fleet.vms[0], server);
        println!("{behaviour:?}");
        check(&mut fleet, machine, peak);
    }
}

// Guards against other VMs, or whoever reaches their port, that take the memory which callers
// leave.
#[parameterized(
    messages = { "POST /v1/message" },
    carried_attempts = { "POST /v1/carry/book/x" },
)]
fn vm_stays_within_its_machine_beside_peers(line: &'static str) {
    let _turn = take_turn();
    let mut fleet = start_fleet(SMALL);
    let server = fleet.vms[0].peers;
    let behaviour = Behaviour::Request {
        line,
        head_bytes: 15_000,
        body_bytes: 1_100_000,
    };
    endure_crowd(&mut fleet, SMALL, server, 450, &[behaviour]);
}

/// Server that does this with each connection after its first bytes.
fn start_server(act: fn(&mut TcpStream)) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("listener");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let builder = thread::Builder::new().stack_size(128 * 1_024);
            let serve = move || {
                let mut request = [0; 4_096];
                if matches!(stream.read(&mut request), Ok(bytes) if bytes > 0) {
                    act(&mut stream);
                }
            };
            // Without a thread the connection is closed.
            let _ = builder.spawn(serve);
        }
    });
    address
}

/// Sends a response of this length, and waits for the close of the connection.
fn respond(stream: &mut TcpStream, bytes: usize) {
    let headers = response_headers("r1", "large");
    let lines = headers.iter().map(|(name, value)| {
        let value = value.to_str().expect("text");
        format!("{name}: {value}\r\n")
    });
    let lines: String = lines.collect();
    let head =
        format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {bytes}\r\n{lines}\r\n");
    let mut written = stream.write_all(head.as_bytes());
    let mut left = bytes;
    while written.is_ok() && left > 0 {
        let part = left.min(BLOCK.len());
        written = stream.write_all(&BLOCK[..part]);
        left -= part;
    }
    // Fails when the VM closes the connection.
    let _ = stream.read(&mut [0; 4_096]);
}

fn respond_with_much(stream: &mut TcpStream) {
    respond(stream, LARGE_RESPONSE_BYTES);
}

fn respond_beyond_a_window(stream: &mut TcpStream) {
    respond(stream, PAUSED_RESPONSE_BYTES);
}

/// Sends events until the connection is closed.
fn stream_events(stream: &mut TcpStream) {
    let headers = response_headers("r1", "events");
    let lines = headers.iter().map(|(name, value)| {
        let value = value.to_str().expect("text");
        format!("{name}: {value}\r\n")
    });
    let lines: String = lines.collect();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{lines}\r\n");
    let mut written = stream.write_all(head.as_bytes());
    let mut number = 0;
    while written.is_ok() {
        number += 1;
        let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(1_000));
        written = stream.write_all(event.as_bytes());
    }
}

fn read_nothing(stream: &mut TcpStream) {
    thread::sleep(CROWD_TIME);
    // Sees the close of the connection, or bytes that the VM has sent until now.
    let _ = stream.peek(&mut [0; 1]);
}

/// Lists a server as the only target of a service; `index` is that of one of its targets.
fn list_only(fleet: &Fleet, index: usize, address: SocketAddr) {
    let first = index / 2 * 2;
    for other in [first, first + 1] {
        fleet.list(other, TargetStatus::Draining);
    }
    let mut entry = fleet.entry(index, TargetStatus::Ready);
    entry.id = "other".into();
    entry.address = address;
    fleet.store.add_target(&entry);
}

fn list_again(fleet: &Fleet, index: usize) {
    let first = index / 2 * 2;
    for other in [first, first + 1] {
        fleet.list(other, TargetStatus::Ready);
    }
}

// Guards against responses, streams and requests that a VM holds for as long as their receiver
// takes a little now and then, or nothing.
#[parameterized(
    responses = { 2, respond_with_much, DRIPPING },
    streams = { 0, stream_events, Behaviour::Drip { line: "POST /stream/x" } },
    kept_turns = { 0, stream_events, Behaviour::Drip { line: "POST /chat/x" } },
    targets_that_do_not_read = { 2, read_nothing, Behaviour::Request {
        line: "POST /look/x",
        head_bytes: 500,
        body_bytes: 300_000,
    } },
)]
fn vm_stays_within_its_machine_beside_slow_receivers(
    index: usize,
    act: fn(&mut TcpStream),
    behaviour: Behaviour,
) {
    let _turn = take_turn();
    let mut fleet = start_fleet(SMALL);
    list_only(&fleet, index, start_server(act));
    let server = fleet.callers();
    let crowd = Crowd {
        callers: 450,
        behaviours: &[behaviour],
        time: CROWD_TIME,
    };
    let peak = crowd.run(&mut fleet.vms[0], server);
    list_again(&fleet, index);
    check(&mut fleet, SMALL, peak);
}

// Guards against slow readers that hold the memory for responses, so that others lose theirs
// after they have run, or that a crowd leaves no room for small requests.
#[parameterized(
    slow_readers = { Some(respond_with_much), DRIPPING },
    whole_requests = { None, WHOLE },
    half_bodies = { None, SMALL_HALF_BODIES },
    half_heads = { None, LONG_HALF_HEADS },
)]
fn ordinary_request_is_answered_beside_a_crowd(
    act: Option<fn(&mut TcpStream)>,
    behaviour: Behaviour,
) {
    let _turn = take_turn();
    let fleet = start_fleet(SMALL);
    if let Some(act) = act {
        list_only(&fleet, 2, start_server(act));
    }
    let crowd = Crowd {
        callers: 450,
        behaviours: &[behaviour],
        time: Duration::from_secs(60),
    };
    crowd.run_beside(fleet.callers(), || {
        wait_until("an ordinary request", || {
            let headers = service_call_headers("r1");
            try_call(fleet.callers(), "POST /book/x", &headers, "p").status == 200
        });
    });
}

// Guards against a caller that pauses, and loses the response to a request that has run.
#[test]
fn response_is_whole_for_a_caller_that_pauses() {
    let _turn = take_turn();
    let fleet = start_fleet(SMALL);
    list_only(&fleet, 2, start_server(respond_beyond_a_window));
    wait_until("the target", || {
        let headers = service_call_headers("r1");
        let response = call(fleet.callers(), "GET /look/x", &headers, "");
        response.body.len() == PAUSED_RESPONSE_BYTES
    });
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).expect("socket");
    socket.set_recv_buffer_size(16_384).expect("buffer");
    socket.connect(&fleet.callers().into()).expect("connection");
    let mut stream = TcpStream::from(socket);
    let request = head(
        "POST /book/x",
        500,
        "Content-Length: 1\r\nConnection: close",
    ) + "p";
    stream.write_all(request.as_bytes()).expect("request");
    let mut response = vec![0; 16_384];
    stream.read_exact(&mut response).expect("first part");
    thread::sleep(Duration::from_millis(2_000));
    let read = stream.read_to_end(&mut response);
    read.expect("the rest");
    let text = String::from_utf8(response).expect("text");
    let (_, body) = text.split_once("\r\n\r\n").expect("head");
    assert_eq!(body.len(), PAUSED_RESPONSE_BYTES);
}

// Guards against bounds that refuse a single request within the configuration's limits, also
// beside connections that rest.
#[parameterized(
    small = { SMALL, 0 },
    small_beside_idle_connections = { SMALL, 200 },
    dense = { DENSE, 0 },
    dense_beside_idle_connections = { DENSE, 200 },
)]
fn largest_request_is_served(machine: Machine, idle: usize) {
    let _turn = take_turn();
    let mut fleet = start_fleet(machine);
    let open: Vec<TcpStream> = (0..idle)
        .map(|_| TcpStream::connect(fleet.callers()).expect("connection"))
        .collect();
    let fillers = (0..15).map(|number| format!("filler-{number}: {}", "v".repeat(1_000)));
    let headers: Vec<String> = service_call_headers("r1")
        .into_iter()
        .chain(fillers)
        .collect();
    let head_bytes: usize = headers.iter().map(|header| header.len() + 2).sum();
    assert!(head_bytes < LARGEST_HEAD_BYTES);
    let body = "x".repeat(LARGEST_BODY_BYTES);
    for line in ["POST /book/x", "POST /look/x"] {
        let response = call(fleet.callers(), line, &headers, &body);
        assert_eq!(response.status, 200, "{line}: {response:?}");
    }
    drop(open);
    let peak = Peak {
        descriptors: descriptors(&fleet.vms[0]).expect("descriptors"),
        ..Peak::default()
    };
    check(&mut fleet, machine, peak);
}

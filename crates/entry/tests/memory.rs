//! Callers and targets that aren't under control: a VM lives, its memory and descriptors
//! stay under a bound, and it answers an ordinary request afterwards.

mod fleet;

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use fleet::{call, get, read_response, try_call, wait_until, Fleet, FleetOptions, Vm};
use lagoon_adapter::standin::{response_headers, service_call_headers};
use lagoon_gateway::TargetStatus;
use yare::parameterized;

/// Limits of the VM: 160 connections, which together could hold 640 MB of bodies.
const LIMITS: &str = "memory_mb = 48\ndescriptors = 640\n";

/// Bounds of the process: what its settings grant it.
const MAX_MEMORY_BYTES: u64 = 48_000_000;
const MAX_DESCRIPTORS: usize = 640;

/// Number of callers that aren't under control, and how long they go on.
const CROWD: usize = 120;
const CROWD_TIME: Duration = Duration::from_secs(6);

/// Bytes of a body that ends just short of the largest size, or never.
const UNFINISHED_BYTES: usize = 4_000_000;

/// Timeout of one write or read of the crowd, whose time is limited.
const IO_TIMEOUT: Duration = Duration::from_millis(500);

/// Length of the largest body that the configuration allows.
const LARGEST_BODY_BYTES: usize = 4_194_304;

/// Length of the responses that callers don't read.
const LARGE_RESPONSE_BYTES: usize = 4_000_000;

/// Bytes that a target without end sends in one response at most.
const ENDLESS_BYTES: usize = 64_000_000;

/// Two small events.
const EVENTS: &[u8] = b"data: 123456789 123456789 123456789 123456789 123456789\n\n\
data: 123456789 123456789 123456789 123456789 123456789\n\n";

static BLOCK: [u8; 65_536] = [b'x'; 65_536];

/// The tests of this file run one at a time: each measures a process under load.
fn take_turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start_fleet(limits: &'static str) -> Fleet {
    let options = FleetOptions {
        limits,
        ..FleetOptions::default()
    };
    Fleet::start_with(1, options)
}

/// Value of a line of the process's status, in bytes.
fn status_bytes(vm: &Vm, line: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", vm.id())).expect("status");
    let value = status.lines().find_map(|text| text.strip_prefix(line));
    let value = value.and_then(|text| text.trim_start_matches(':').trim().strip_suffix(" kB"));
    value.and_then(|kb| kb.parse::<u64>().ok()).expect(line) * 1_024
}

fn descriptors(vm: &Vm) -> usize {
    let folder = fs::read_dir(format!("/proc/{}/fd", vm.id()));
    folder.expect("descriptors").count()
}

/// What one caller of the crowd does on a connection, until the deadline or an error.
type Behaviour = fn(&mut TcpStream, Instant) -> std::io::Result<()>;

/// Runs the crowd, whose callers open a new connection when theirs ends, and checks the
/// bounds meanwhile and an ordinary request afterwards.
fn endure(fleet: &mut Fleet, behaviours: &[Behaviour]) {
    let callers = fleet.callers();
    let end = Instant::now() + CROWD_TIME;
    let mut most_descriptors = 0;
    thread::scope(|scope| {
        for number in 0..CROWD {
            let behave = behaviours[number % behaviours.len()];
            let run = move || {
                while Instant::now() < end {
                    if let Ok(mut stream) = connect(callers) {
                        let _ = behave(&mut stream, end);
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            };
            let builder = thread::Builder::new().stack_size(256 * 1_024);
            builder.spawn_scoped(scope, run).expect("thread");
        }
        while Instant::now() < end && !fleet.vms[0].has_ended() {
            most_descriptors = most_descriptors.max(descriptors(&fleet.vms[0]));
            thread::sleep(Duration::from_millis(20));
        }
    });
    check(fleet, most_descriptors);
}

/// Checks that the VM lives within its bounds and answers an ordinary request.
fn check(fleet: &mut Fleet, most_descriptors: usize) {
    assert!(!fleet.vms[0].has_ended(), "the process has ended");
    wait_until("an ordinary request", || {
        let headers = service_call_headers("ordinary");
        try_call(fleet.callers(), "POST /book/x", &headers, "p").status == 200
    });
    let memory = status_bytes(&fleet.vms[0], "VmHWM");
    let now = status_bytes(&fleet.vms[0], "VmRSS");
    println!("most memory {memory}, now {now}, most descriptors {most_descriptors}");
    assert!(most_descriptors <= MAX_DESCRIPTORS, "{most_descriptors}");
    assert!(memory <= MAX_MEMORY_BYTES, "{memory} bytes of memory");
}

fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    Ok(stream)
}

/// Writes all bytes, however slowly they are taken; fails at the deadline.
fn write_until(stream: &mut TcpStream, bytes: &[u8], end: Instant) -> std::io::Result<()> {
    let mut left = bytes;
    while !left.is_empty() {
        match stream.write(left) {
            Ok(written) => left = &left[written..],
            Err(error) if is_timeout(&error) && Instant::now() < end => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// Keeps the connection open, without reading, until the peer resets it or the time is over.
fn stay(stream: &TcpStream, end: Instant) {
    let mut byte = [0];
    while Instant::now() < end {
        match stream.peek(&mut byte) {
            Ok(0) => return,
            Err(error) if !is_timeout(&error) => return,
            Ok(_) | Err(_) => thread::sleep(Duration::from_millis(50)),
        }
    }
}

fn begin_chunked(stream: &mut TcpStream, end: Instant) -> std::io::Result<()> {
    let head = chunked_head("POST /book/x", "r1");
    write_until(stream, head.as_bytes(), end)
}

fn chunked_head(line: &str, request_id: &str) -> String {
    let headers = service_call_headers(request_id).join("\r\n");
    format!("{line} HTTP/1.1\r\nHost: a.example\r\n{headers}\r\nTransfer-Encoding: chunked\r\n\r\n")
}

/// Sends chunks of this size, `bytes` in all, without the last one.
fn send_chunks(
    stream: &mut TcpStream,
    chunk_bytes: usize,
    bytes: usize,
    end: Instant,
) -> std::io::Result<()> {
    let data = vec![b'x'; chunk_bytes];
    let chunk = [format!("{chunk_bytes:x}\r\n").as_bytes(), &data, b"\r\n"].concat();
    let block = chunk.repeat((BLOCK.len() / chunk.len()).max(1));
    let chunks = block.len() / chunk.len() * chunk_bytes;
    for _ in 0..bytes / chunks {
        write_until(stream, &block, end)?;
    }
    Ok(())
}

fn chunks_of_one_byte(stream: &mut TcpStream, end: Instant) -> std::io::Result<()> {
    begin_chunked(stream, end)?;
    send_chunks(stream, 1, UNFINISHED_BYTES, end)?;
    stay(stream, end);
    Ok(())
}

fn chunks_of_a_megabyte(stream: &mut TcpStream, end: Instant) -> std::io::Result<()> {
    begin_chunked(stream, end)?;
    send_chunks(stream, 1_000_000, UNFINISHED_BYTES, end)?;
    stay(stream, end);
    Ok(())
}

fn endless_extensions(stream: &mut TcpStream, end: Instant) -> std::io::Result<()> {
    begin_chunked(stream, end)?;
    send_chunks(stream, 100_000, 3_000_000, end)?;
    write_until(stream, b"1;a=", end)?;
    while Instant::now() < end {
        write_until(stream, &BLOCK, end)?;
    }
    Ok(())
}

fn endless_trailers(stream: &mut TcpStream, end: Instant) -> std::io::Result<()> {
    begin_chunked(stream, end)?;
    send_chunks(stream, 100_000, 3_000_000, end)?;
    write_until(stream, b"0\r\n", end)?;
    while Instant::now() < end {
        write_until(stream, b"name: value\r\n".repeat(500).as_slice(), end)?;
    }
    Ok(())
}

fn no_end(stream: &mut TcpStream, end: Instant) -> std::io::Result<()> {
    begin_chunked(stream, end)?;
    send_chunks(stream, 50_000, usize::MAX, end)
}

/// Asks for a large response and doesn't read it.
fn no_reading(stream: &mut TcpStream, end: Instant) -> std::io::Result<()> {
    let headers = service_call_headers("r1").join("\r\n");
    let head = format!("GET /look/x HTTP/1.1\r\nHost: a.example\r\n{headers}\r\n\r\n");
    write_until(stream, head.as_bytes(), end)?;
    stay(stream, end);
    Ok(())
}

/// Sends a head that is too short to be refused and doesn't end.
fn head_without_end(stream: &mut TcpStream, end: Instant) -> std::io::Result<()> {
    write_until(
        stream,
        b"POST /book/x HTTP/1.1\r\nHost: a.example\r\na: ",
        end,
    )?;
    write_until(stream, &BLOCK, end)?;
    write_until(stream, &BLOCK[..60_000], end)?;
    stay(stream, end);
    Ok(())
}

/// Sends whole bodies one after the other on one connection, and then one without an end.
fn bodies_begun_again(stream: &mut TcpStream, end: Instant) -> std::io::Result<()> {
    for _ in 0..3 {
        begin_chunked(stream, end)?;
        send_chunks(stream, 50_000, 1_000_000, end)?;
        write_until(stream, b"0\r\n\r\n", end)?;
        let mut response = [0; 4_096];
        while Instant::now() < end {
            match stream.read(&mut response) {
                Ok(0) => return Ok(()),
                Ok(_) => break,
                Err(error) if is_timeout(&error) => {}
                Err(error) => return Err(error),
            }
        }
    }
    chunks_of_a_megabyte(stream, end)
}

// Guards against a VM that holds whatever such callers send until its memory is exhausted.
#[parameterized(
    one_byte_chunks = { chunks_of_one_byte },
    megabyte_chunks = { chunks_of_a_megabyte },
    extensions_without_end = { endless_extensions },
    trailers_without_end = { endless_trailers },
    bodies_without_end = { no_end },
    heads_without_end = { head_without_end },
    bodies_on_kept_connections = { bodies_begun_again },
)]
fn vm_endures(behaviour: Behaviour) {
    let _turn = take_turn();
    let mut fleet = start_fleet(LIMITS);
    endure(&mut fleet, &[behaviour]);
}

// Guards against a VM that holds responses for callers that don't read them, beside bodies
// without an end.
#[test]
fn vm_endures_bodies_without_an_end_beside_slow_readers() {
    let _turn = take_turn();
    let mut fleet = start_fleet(LIMITS);
    let mut entry = fleet.entry(2, TargetStatus::Ready);
    entry.id = "large".into();
    let length = format!("Content-Length: {LARGE_RESPONSE_BYTES}\r\n");
    entry.address = start_server(head_of_response(&length), &BLOCK, LARGE_RESPONSE_BYTES);
    fleet.store.add_target(&entry);
    wait_until("the target", || {
        let headers = service_call_headers("r1");
        let response = call(fleet.callers(), "GET /look/x", &headers, "");
        response.body.len() == LARGE_RESPONSE_BYTES
    });
    endure(&mut fleet, &[no_reading, chunks_of_a_megabyte]);
}

// Guards against connections that use up the descriptors of the process.
#[test]
fn vm_endures_a_thousand_idle_connections() {
    let _turn = take_turn();
    let mut fleet = start_fleet(LIMITS);
    let idle: Vec<TcpStream> = (0..1_000)
        .filter_map(|_| connect(fleet.callers()).ok())
        .collect();
    thread::sleep(Duration::from_secs(1));
    let most_descriptors = descriptors(&fleet.vms[0]);
    drop(idle);
    check(&mut fleet, most_descriptors);
}

/// Head of a target's response to the request `r1`.
fn head_of_response(more: &str) -> String {
    let headers = response_headers("r1", "endless");
    let lines = headers.iter().map(|(name, value)| {
        let value = value.to_str().expect("text");
        format!("{name}: {value}\r\n")
    });
    let lines: String = lines.collect();
    format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{lines}{more}\r\n")
}

/// Server that responds to the first bytes of each connection with `head` and this many
/// bytes of the block again and again, and then waits for the close.
fn start_server(head: String, block: &'static [u8], bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("listener");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let head = head.clone();
            thread::spawn(move || send_response(stream, &head, block, bytes));
        }
    });
    address
}

fn send_response(mut stream: TcpStream, head: &str, block: &[u8], bytes: usize) {
    let mut request = [0; 4_096];
    if !matches!(stream.read(&mut request), Ok(read) if read > 0) {
        return;
    }
    let block = block.repeat((BLOCK.len() / block.len()).max(1));
    let mut written = stream.write_all(head.as_bytes());
    let mut left = bytes;
    while written.is_ok() && left > 0 {
        let block = &block[..left.min(block.len())];
        left -= block.len();
        written = stream.write_all(block);
    }
    // Fails when the VM closes the connection.
    let _ = stream.read(&mut request);
}

fn stream_request(stream: &mut TcpStream, end: Instant) -> std::io::Result<()> {
    request_and_stay(stream, "POST /stream/x", end)
}

fn kept_stream_request(stream: &mut TcpStream, end: Instant) -> std::io::Result<()> {
    request_and_stay(stream, "POST /chat/x", end)
}

fn lookup(stream: &mut TcpStream, end: Instant) -> std::io::Result<()> {
    request_and_stay(stream, "POST /look/x", end)
}

/// Sends a whole request and reads its response.
fn request_and_stay(stream: &mut TcpStream, line: &str, end: Instant) -> std::io::Result<()> {
    let headers = service_call_headers("r1").join("\r\n");
    let text =
        format!("{line} HTTP/1.1\r\nHost: a.example\r\n{headers}\r\nContent-Length: 1\r\n\r\np");
    write_until(stream, text.as_bytes(), end)?;
    let mut response = vec![0; BLOCK.len()];
    while Instant::now() < end {
        match stream.read(&mut response) {
            Ok(0) => return Ok(()),
            Err(error) if !is_timeout(&error) => return Err(error),
            Ok(_) | Err(_) => {}
        }
    }
    Ok(())
}

// Guards against targets without end, asked by many callers at once, that exhaust the memory.
#[parameterized(
    head = { lookup, 2, "HTTP/1.1 200 OK\r\nendless: ".to_owned(), &BLOCK },
    body = { lookup, 2, head_of_response(""), &BLOCK },
    event = { stream_request, 0, head_of_response(""), &BLOCK },
    kept_turn = { kept_stream_request, 0, head_of_response(""), EVENTS },
)]
fn vm_endures_targets_without_end(
    behaviour: Behaviour,
    index: usize,
    head: String,
    block: &'static [u8],
) {
    let _turn = take_turn();
    let mut fleet = start_fleet(LIMITS);
    let mut entry = fleet.entry(index, TargetStatus::Ready);
    entry.id = "endless".into();
    entry.address = start_server(head, block, ENDLESS_BYTES);
    for engine in 0..fleet.engines.len() {
        fleet.list(engine, TargetStatus::Draining);
    }
    fleet.store.add_target(&entry);
    endure(&mut fleet, &[behaviour]);
}

// Guards against limits under which the largest body that is allowed isn't served on the
// smallest VM.
#[test]
fn largest_body_is_served_on_the_smallest_vm() {
    let _turn = take_turn();
    let fleet = start_fleet("memory_mb = 88\n");
    let body = "x".repeat(LARGEST_BODY_BYTES);
    for line in ["POST /book/x", "POST /look/x"] {
        let headers = service_call_headers("r1");
        let response = call(fleet.callers(), line, &headers, &body);
        assert_eq!(response.status, 200, "{line}: {response:?}");
    }
}

// Guards against a caller that holds its connection and its bytes without end, and against a
// refusal that doesn't say that the request hasn't run.
#[test]
fn body_that_does_not_end_in_time_is_refused() {
    let _turn = take_turn();
    let fleet = start_fleet("body_timeout_ms = 1000\n");
    let end = Instant::now() + CROWD_TIME;
    let mut stream = TcpStream::connect(fleet.callers()).expect("connection");
    begin_chunked(&mut stream, end).expect("head");
    send_chunks(&mut stream, 1_000, 100_000, end).expect("chunks");
    let response = read_response(stream);
    assert_eq!(response.status, 408, "{response:?}");
    assert!(response.head.contains("connection: close"), "{response:?}");
    let desks = fleet.desks.iter();
    assert!(desks.map(|desk| desk.arrivals().len()).sum::<usize>() == 0);
}

// Guards against a head that stays for as long as a connection may rest.
#[test]
fn connection_whose_head_does_not_end_in_time_is_closed() {
    let _turn = take_turn();
    let fleet = start_fleet("");
    let started = Instant::now();
    let mut stream = TcpStream::connect(fleet.callers()).expect("connection");
    stream
        .write_all(b"POST /book/x HTTP/1.1\r\nHost: a.exa")
        .expect("head");
    // A reset ends the connection, like a close.
    let _ = stream.read(&mut [0; 1_024]);
    let took = started.elapsed();
    // The limits of the configuration: 3 s for a head, 15 s for a rest.
    let allowed = Duration::from_secs(3)..Duration::from_secs(12);
    assert!(allowed.contains(&took), "{took:?}");
}

// Guards against one address that takes all connections, so that the load balancer and other
// VMs get none.
#[test]
fn connections_of_an_address_are_bounded() {
    let _turn = take_turn();
    let mut fleet = start_fleet("connections_per_address = 4\n");
    let open: Vec<TcpStream> = (0..4)
        .map(|_| connect(fleet.callers()).expect("connection"))
        .collect();
    let mut further = TcpStream::connect(fleet.callers()).expect("connection");
    let read = further.read(&mut [0; 1]);
    assert!(!matches!(read, Ok(bytes) if bytes > 0), "{read:?}");
    assert_eq!(get(fleet.vms[0].ready, "/ready").status, 200);
    drop(open);
    let most_descriptors = descriptors(&fleet.vms[0]);
    check(&mut fleet, most_descriptors);
}

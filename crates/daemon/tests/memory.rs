//! Callers that aren't under control: a VM lives, its memory and descriptors stay under a
//! bound, and it answers an ordinary request afterwards.

mod site;

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use site::{wait_for, Site};
use yare::parameterized;

/// Memory of the smallest VM, and descriptors that most systems allow.
const MAX_MEMORY_BYTES: u64 = 88_000_000;
const MAX_DESCRIPTORS: usize = 1_024;

/// Number of callers that aren't under control, and how long they go on.
const CROWD: usize = 150;
const CROWD_TIME: Duration = Duration::from_secs(15);

/// Bytes of a body that doesn't end, and of a head.
const UNFINISHED_BYTES: usize = 3_000_000;

/// Length of the responses that callers don't read.
const LARGE_RESPONSE_BYTES: usize = 4_000_000;

/// Number of connections that send nothing.
const IDLE_CONNECTIONS: usize = 1_000;

static BLOCK: [u8; 65_536] = [b'x'; 65_536];

/// Timeout of one write of the crowd, whose time is limited.
const IO_TIMEOUT: Duration = Duration::from_millis(500);

/// The tests of this file run one at a time: each measures a process under load.
fn take_turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Value of a line of the process's status, in bytes.
fn status_bytes(site: &Site, line: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", site.vms[0].id()));
    let status = status.expect("the process lives");
    let value = status.lines().find_map(|text| text.strip_prefix(line));
    let value = value.and_then(|text| text.trim_start_matches(':').trim().strip_suffix(" kB"));
    value.and_then(|kb| kb.parse::<u64>().ok()).expect(line) * 1_024
}

fn descriptors(site: &Site) -> usize {
    let folder = fs::read_dir(format!("/proc/{}/fd", site.vms[0].id()));
    folder.expect("the process lives").count()
}

/// Sends the head and then the block again and again, `bytes` in all, and keeps the
/// connection open until the time is over.
fn behave(
    address: SocketAddr,
    head: &str,
    block: &[u8],
    bytes: usize,
    end: Instant,
) -> std::io::Result<()> {
    let mut stream = connect(address)?;
    stream.write_all(head.as_bytes())?;
    for _ in 0..bytes / block.len() {
        write_until(&mut stream, block, end)?;
    }
    stay(&stream, end)
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

/// Keeps the connection open, without reading, until the peer closes it or the time is over.
fn stay(stream: &TcpStream, end: Instant) -> std::io::Result<()> {
    while Instant::now() < end {
        match stream.peek(&mut [0]) {
            Ok(0) => return Ok(()),
            Err(error) if !is_timeout(&error) => return Err(error),
            Ok(_) | Err(_) => thread::sleep(Duration::from_millis(50)),
        }
    }
    Ok(())
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

const CHUNKED: &str = "POST /v1/call/booking HTTP/1.1\r\nHost: a\r\n\
Authorization: Bearer grower-desk-key\r\nTransfer-Encoding: chunked\r\n\r\n";

const ENDLESS_HEAD: &str = "POST /v1/call/booking HTTP/1.1\r\nHost: a\r\nlarge: ";

fn large_chunks() -> Vec<u8> {
    [b"f4240\r\n", vec![b'x'; 1_000_000].as_slice(), b"\r\n"].concat()
}

/// What one caller of the crowd does on a connection, until the deadline or an error.
type Behaviour = fn(&mut TcpStream, Instant) -> std::io::Result<()>;

/// Sends chunks of this size, `bytes` in all, without the last one.
fn send_chunks(
    stream: &mut TcpStream,
    chunk_bytes: usize,
    bytes: usize,
    end: Instant,
) -> std::io::Result<()> {
    let data = vec![b'x'; chunk_bytes];
    let chunk = [format!("{chunk_bytes:x}\r\n").as_bytes(), &data, b"\r\n"].concat();
    for _ in 0..bytes / chunk_bytes {
        write_until(stream, &chunk, end)?;
    }
    Ok(())
}

fn endless_extensions(stream: &mut TcpStream, end: Instant) -> std::io::Result<()> {
    write_until(stream, CHUNKED.as_bytes(), end)?;
    send_chunks(stream, 100_000, UNFINISHED_BYTES, end)?;
    write_until(stream, b"1;a=", end)?;
    while Instant::now() < end {
        write_until(stream, &BLOCK, end)?;
    }
    Ok(())
}

fn endless_trailers(stream: &mut TcpStream, end: Instant) -> std::io::Result<()> {
    write_until(stream, CHUNKED.as_bytes(), end)?;
    send_chunks(stream, 100_000, UNFINISHED_BYTES, end)?;
    write_until(stream, b"0\r\n", end)?;
    while Instant::now() < end {
        write_until(stream, b"name: value\r\n".repeat(500).as_slice(), end)?;
    }
    Ok(())
}

fn no_end(stream: &mut TcpStream, end: Instant) -> std::io::Result<()> {
    write_until(stream, CHUNKED.as_bytes(), end)?;
    while Instant::now() < end {
        send_chunks(stream, 50_000, UNFINISHED_BYTES, end)?;
    }
    Ok(())
}

fn no_last_chunk(stream: &mut TcpStream, end: Instant) -> std::io::Result<()> {
    write_until(stream, CHUNKED.as_bytes(), end)?;
    send_chunks(stream, 1_000_000, UNFINISHED_BYTES, end)?;
    stay(stream, end)
}

/// Asks for a large response and doesn't read it.
fn no_reading(stream: &mut TcpStream, end: Instant) -> std::io::Result<()> {
    write_until(stream, CHUNKED.as_bytes(), end)?;
    write_until(stream, b"1\r\nx\r\n0\r\n\r\n", end)?;
    stay(stream, end)
}

/// Whole request with a head of about 15 KB and a body of this length.
fn long_request(body_bytes: usize) -> Vec<u8> {
    let fillers = (0..14).map(|number| format!("filler-{number}: {}\r\n", "v".repeat(1_000)));
    let fillers: String = fillers.collect();
    let head = format!(
        "POST /v1/call/booking HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer grower-desk-key\r\n\
         {fillers}Content-Length: {body_bytes}\r\n\r\n"
    );
    [head.as_bytes(), &BLOCK[..body_bytes]].concat()
}

/// Sends a whole request and keeps the connection.
fn whole_request(stream: &mut TcpStream, end: Instant) -> std::io::Result<()> {
    write_until(stream, &long_request(30_000), end)?;
    stay(stream, end)
}

/// Sends request after request without reading a response.
fn pipeline(stream: &mut TcpStream, end: Instant) -> std::io::Result<()> {
    let request = long_request(20_000);
    while Instant::now() < end {
        write_until(stream, &request, end)?;
    }
    Ok(())
}

/// Sends whole bodies one after the other on one connection, and then one without an end.
fn bodies_begun_again(stream: &mut TcpStream, end: Instant) -> std::io::Result<()> {
    for _ in 0..3 {
        write_until(stream, CHUNKED.as_bytes(), end)?;
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
    no_last_chunk(stream, end)
}

/// Runs the crowd, whose callers open a new connection when theirs ends, and checks the
/// bounds meanwhile and an ordinary request afterwards.
fn endure<F>(site: &Site, behave: F)
where
    F: Fn(usize, Instant) -> std::io::Result<()> + Sync,
{
    let end = Instant::now() + CROWD_TIME;
    let mut most_descriptors = 0;
    thread::scope(|scope| {
        for number in 0..CROWD {
            let behave = &behave;
            let run = move || {
                while Instant::now() < end {
                    let _ = behave(number, end);
                    thread::sleep(Duration::from_millis(20));
                }
            };
            let builder = thread::Builder::new().stack_size(256 * 1_024);
            builder.spawn_scoped(scope, run).expect("thread");
        }
        while Instant::now() < end {
            most_descriptors = most_descriptors.max(descriptors(site));
            thread::sleep(Duration::from_millis(20));
        }
    });
    check(site, most_descriptors);
}

/// Checks that the VM lives within its bounds and answers an ordinary request.
fn check(site: &Site, most_descriptors: usize) {
    wait_for("an ordinary request", || {
        let url = format!("http://{}/healthz", site.vms[0].callers);
        let response = ureq::get(url).call().ok()?;
        (response.status() == 200).then_some(())
    });
    let memory = status_bytes(site, "VmHWM");
    let now = status_bytes(site, "VmRSS");
    println!("most memory {memory}, now {now}, most descriptors {most_descriptors}");
    assert!(most_descriptors <= MAX_DESCRIPTORS, "{most_descriptors}");
    assert!(memory <= MAX_MEMORY_BYTES, "{memory} bytes of memory");
}

// Guards against a VM that holds whatever such callers send until its memory is exhausted.
#[parameterized(
    bodies_of_large_chunks = { CHUNKED, large_chunks() },
    bodies_of_one_byte_chunks = { CHUNKED, b"1\r\nx\r\n".repeat(10_000) },
    heads_without_end = { ENDLESS_HEAD, vec![b'x'; 60_000] },
)]
fn lagoond_endures(head: &str, block: Vec<u8>) {
    let _turn = take_turn();
    let site = Site::start(1);
    let callers = site.vms[0].callers;
    endure(&site, |_, end| {
        behave(callers, head, &block, UNFINISHED_BYTES, end)
    });
}

// Guards against requests that are small one by one, and take up the memory together: those
// that wait, and those that come before a response was read.
#[parameterized(
    whole_requests = { whole_request },
    pipelined_requests = { pipeline },
)]
fn lagoond_endures_long_requests(behaviour: Behaviour) {
    let _turn = take_turn();
    let site = Site::start(1);
    let callers = site.vms[0].callers;
    endure(&site, |_, end| behaviour(&mut connect(callers)?, end));
}

// Guards against a VM that holds what such callers send around, behind or after a body.
#[parameterized(
    extensions_without_end = { endless_extensions },
    trailers_without_end = { endless_trailers },
    bodies_without_end = { no_end },
    bodies_on_kept_connections = { bodies_begun_again },
)]
fn lagoond_endures_bodies(behaviour: Behaviour) {
    let _turn = take_turn();
    let site = Site::start(1);
    let callers = site.vms[0].callers;
    endure(&site, |_, end| behaviour(&mut connect(callers)?, end));
}

/// Target that responds to each call with a body of this many bytes.
fn start_target(bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("listener");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || send_response(stream, bytes));
        }
    });
    address
}

fn send_response(mut stream: TcpStream, bytes: usize) {
    let mut request = [0; 4_096];
    let Ok(read @ 1..) = stream.read(&mut request) else {
        return;
    };
    let load = r#"{"running": 0, "waiting": 0, "leaving": false}"#;
    let is_load = request[..read].starts_with(b"GET /load");
    let length = if is_load { load.len() } else { bytes };
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n"
    );
    let mut written = stream.write_all(head.as_bytes());
    let mut left = bytes;
    if is_load {
        written = written.and_then(|()| stream.write_all(load.as_bytes()));
        left = 0;
    }
    while written.is_ok() && left > 0 {
        let part = &BLOCK[..left.min(BLOCK.len())];
        left -= part.len();
        written = stream.write_all(part);
    }
    // Fails when the VM closes the connection.
    let _ = stream.read(&mut request);
}

// Guards against a VM that holds responses for callers that don't read them, beside bodies
// without an end.
#[test]
fn lagoond_endures_bodies_without_an_end_beside_slow_readers() {
    let _turn = take_turn();
    let targets = [(); 2].map(|()| start_target(LARGE_RESPONSE_BYTES));
    let site = Site::start_with(1, Some(targets));
    let callers = site.vms[0].callers;
    wait_for("the target", || {
        let url = format!("http://{callers}/v1/call/booking");
        let request = ureq::post(url).header("Authorization", "Bearer grower-desk-key");
        let mut response = request.send("x").ok()?;
        let body = response.body_mut().read_to_vec().ok()?;
        (body.len() == LARGE_RESPONSE_BYTES).then_some(())
    });
    let behaviours = [no_reading, no_last_chunk];
    endure(&site, |number, end| {
        behaviours[number % behaviours.len()](&mut connect(callers)?, end)
    });
}

// Guards against connections that use up the descriptors of the process.
#[test]
fn lagoond_endures_a_thousand_idle_connections() {
    let _turn = take_turn();
    let site = Site::start(1);
    let idle: Vec<TcpStream> = (0..IDLE_CONNECTIONS)
        .filter_map(|_| connect(site.vms[0].callers).ok())
        .collect();
    thread::sleep(Duration::from_secs(1));
    let most_descriptors = descriptors(&site);
    drop(idle);
    check(&site, most_descriptors);
}

//! Callers that aren't under control: a VM lives, its memory and descriptors stay under a
//! bound, and it answers an ordinary request afterwards.

mod site;

use std::fs;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, PoisonError};
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

/// Timeout of one write of the crowd, whose time is limited.
const IO_TIMEOUT: Duration = Duration::from_millis(500);

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
    let mut stream = TcpStream::connect(address)?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.write_all(head.as_bytes())?;
    for _ in 0..bytes / block.len() {
        let mut left = block;
        while !left.is_empty() {
            match stream.write(left) {
                Ok(written) => left = &left[written..],
                Err(error) if is_timeout(&error) && Instant::now() < end => {}
                Err(error) => return Err(error),
            }
        }
    }
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

// Guards against a VM that holds whatever such callers send until its memory is exhausted.
#[parameterized(
    bodies_of_large_chunks = { CHUNKED, large_chunks() },
    bodies_of_one_byte_chunks = { CHUNKED, b"1\r\nx\r\n".repeat(10_000) },
    heads_without_end = { ENDLESS_HEAD, vec![b'x'; 60_000] },
)]
fn lagoond_endures(head: &str, block: Vec<u8>) {
    // The tests of this file run one at a time: each measures a process under load.
    static TURN: Mutex<()> = Mutex::new(());
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let site = Site::start(1);
    let callers = site.vms[0].callers;
    let end = Instant::now() + CROWD_TIME;
    let mut most_descriptors = 0;
    thread::scope(|scope| {
        for _ in 0..CROWD {
            let block = &block;
            let run = move || {
                while Instant::now() < end {
                    let _ = behave(callers, head, block, UNFINISHED_BYTES, end);
                    thread::sleep(Duration::from_millis(20));
                }
            };
            let builder = thread::Builder::new().stack_size(256 * 1_024);
            builder.spawn_scoped(scope, run).expect("thread");
        }
        while Instant::now() < end {
            most_descriptors = most_descriptors.max(descriptors(&site));
            thread::sleep(Duration::from_millis(20));
        }
    });
    wait_for("an ordinary request", || {
        let url = format!("http://{callers}/healthz");
        let response = ureq::get(url).call().ok()?;
        (response.status() == 200).then_some(())
    });
    let memory = status_bytes(&site, "VmHWM");
    println!("most memory {memory}, most descriptors {most_descriptors}");
    assert!(most_descriptors <= MAX_DESCRIPTORS, "{most_descriptors}");
    assert!(memory <= MAX_MEMORY_BYTES, "{memory} bytes of memory");
}

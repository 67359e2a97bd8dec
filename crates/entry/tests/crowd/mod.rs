//! Crowds of callers, each at an address of its own, and what a VM holds for them.

// Each test binary uses a part of this module.
#![allow(dead_code)]

use std::collections::HashSet;
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout_at, Instant};

use crate::fleet::Vm;
use lagoon_adapter::standin::service_call_headers;

/// Time between two samples of what the VM holds.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which a caller whose connection has ended comes again.
const RETURN_DELAY: Duration = Duration::from_millis(20);

/// Receive buffer of callers that read slowly.
const SLOW_RECEIVE_BUFFER: usize = 16_384;

/// Time for a crowd to arrive.
const ARRIVAL_TIME: Duration = Duration::from_secs(2);

/// Length of one header of a long head.
const HEADER_BYTES: usize = 1_000;

static BLOCK: [u8; 65_536] = [b'x'; 65_536];

/// What one caller does on a connection. It begins again on a new one when that ends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Behaviour {
    /// Sends a whole request once, and keeps its connection.
    Request {
        line: &'static str,
        head_bytes: usize,
        body_bytes: usize,
    },
    /// Sends a whole request, and leaves after this time.
    Leave {
        head_bytes: usize,
        body_bytes: usize,
        after: Duration,
    },
    /// Sends whole requests one after the other without reading a response.
    Pipeline { body_bytes: usize },
    /// Sends a head and half of the body that it states.
    HalfBody {
        head_bytes: usize,
        body_bytes: usize,
    },
    /// Sends chunks of a body up to just before its end.
    Chunks { chunk_bytes: usize, bytes: usize },
    /// Sends a head up to just before its end.
    HalfHead { head_bytes: usize },
    /// Sends a whole request and reads a little of its response now and then.
    Drip { line: &'static str },
}

impl Behaviour {
    async fn act(self, stream: &mut TcpStream) -> io::Result<()> {
        match self {
            Behaviour::Request {
                line,
                head_bytes,
                body_bytes,
            } => {
                send_request(stream, line, head_bytes, body_bytes).await?;
                read_on(stream).await
            }
            Behaviour::Leave {
                head_bytes,
                body_bytes,
                after,
            } => {
                let stay = async {
                    send_request(stream, "POST /book/x", head_bytes, body_bytes).await?;
                    read_on(stream).await
                };
                timeout_at(Instant::now() + after, stay)
                    .await
                    .unwrap_or(Ok(()))
            }
            Behaviour::Pipeline { body_bytes } => loop {
                send_request(stream, "POST /book/x", 500, body_bytes).await?;
            },
            Behaviour::HalfBody {
                head_bytes,
                body_bytes,
            } => {
                let length = format!("Content-Length: {body_bytes}");
                let head = head("POST /book/x", head_bytes, &length);
                stream.write_all(head.as_bytes()).await?;
                write_bytes(stream, body_bytes / 2).await?;
                read_on(stream).await
            }
            Behaviour::Chunks { chunk_bytes, bytes } => {
                let head = head("POST /book/x", 500, "Transfer-Encoding: chunked");
                stream.write_all(head.as_bytes()).await?;
                let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
                let chunks = (BLOCK.len() / chunk.len()).max(1);
                let block = chunk.repeat(chunks);
                for _ in 0..bytes / (chunks * chunk_bytes) {
                    stream.write_all(block.as_bytes()).await?;
                }
                read_on(stream).await
            }
            Behaviour::HalfHead { head_bytes } => {
                let head = head("POST /book/x", head_bytes, "Content-Length: 1");
                let unfinished = head.len() - "\r\n".len();
                stream.write_all(&head.as_bytes()[..unfinished]).await?;
                read_on(stream).await
            }
            Behaviour::Drip { line } => {
                SockRef::from(&*stream).set_recv_buffer_size(SLOW_RECEIVE_BUFFER)?;
                send_request(stream, line, 500, 1).await?;
                let mut bytes = [0; 1_024];
                while stream.read(&mut bytes).await? > 0 {
                    sleep(Duration::from_millis(100)).await;
                }
                Ok(())
            }
        }
    }
}

/// Head of a request of about this length.
pub(crate) fn head(line: &str, bytes: usize, last: &str) -> String {
    let own = service_call_headers("r1").join("\r\n");
    let mut head = format!("{line} HTTP/1.1\r\nHost: a.example\r\n{own}\r\n");
    let end = format!("{last}\r\n\r\n");
    let mut number = 0;
    while head.len() + end.len() < bytes {
        let left = (bytes - head.len() - end.len()).min(HEADER_BYTES);
        let name = format!("filler-{number}: ");
        let value = "v".repeat(left.saturating_sub(name.len() + "\r\n".len()).max(1));
        head.push_str(&format!("{name}{value}\r\n"));
        number += 1;
    }
    head + &end
}

async fn send_request(
    stream: &mut TcpStream,
    line: &str,
    head_bytes: usize,
    body_bytes: usize,
) -> io::Result<()> {
    let length = format!("Content-Length: {body_bytes}");
    let head = head(line, head_bytes, &length);
    stream.write_all(head.as_bytes()).await?;
    write_bytes(stream, body_bytes).await
}

async fn write_bytes(stream: &mut TcpStream, bytes: usize) -> io::Result<()> {
    let mut left = bytes;
    while left > 0 {
        let part = left.min(BLOCK.len());
        stream.write_all(&BLOCK[..part]).await?;
        left -= part;
    }
    Ok(())
}

/// Reads what comes until the peer closes the connection.
async fn read_on(stream: &mut TcpStream) -> io::Result<()> {
    let mut bytes = [0; 4_096];
    while stream.read(&mut bytes).await? > 0 {}
    Ok(())
}

/// Connects from an address that only this caller has.
async fn connect(number: usize, server: SocketAddr) -> io::Result<TcpStream> {
    let own = Ipv4Addr::new(127, 1, (number / 250) as u8, (number % 250) as u8 + 1);
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from((own, 0)))?;
    socket.connect(server).await
}

async fn call_again(number: usize, server: SocketAddr, behaviour: Behaviour) {
    loop {
        if let Ok(mut stream) = connect(number, server).await {
            // However the connection ended, the caller comes again.
            let _ = behaviour.act(&mut stream).await;
        }
        sleep(RETURN_DELAY).await;
    }
}

/// Most that a VM held at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peak {
    pub(crate) descriptors: usize,
    /// Bytes that its sockets had received and it had not read.
    pub(crate) unread_bytes: u64,
    /// These, and the memory of the process, at the same moment.
    pub(crate) total_bytes: u64,
}

/// Callers and what each in turn does.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Crowd<'a> {
    pub(crate) callers: usize,
    pub(crate) behaviours: &'a [Behaviour],
    pub(crate) time: Duration,
}

impl Crowd<'_> {
    /// Runs the crowd against a listener of a VM, and samples what the VM holds.
    pub(crate) fn run(&self, vm: &mut Vm, server: SocketAddr) -> Peak {
        thread::scope(|scope| {
            let callers = scope.spawn(|| self.call(server));
            let mut peak = Peak::default();
            while !callers.is_finished() && !vm.has_ended() {
                sample(vm, &mut peak);
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        })
    }

    /// Runs `act` while the crowd calls; the crowd goes on until that has ended, or its time
    /// is over.
    pub(crate) fn run_beside<F>(&self, server: SocketAddr, act: F)
    where
        F: FnOnce(),
    {
        let has_ended = AtomicBool::new(false);
        thread::scope(|scope| {
            scope.spawn(|| self.call_until(server, || has_ended.load(Ordering::SeqCst)));
            thread::sleep(ARRIVAL_TIME);
            let _end = EndOnDrop(&has_ended);
            act();
        });
    }

    fn call(&self, server: SocketAddr) {
        self.call_until(server, || false);
    }

    fn call_until<F>(&self, server: SocketAddr, has_ended: F)
    where
        F: Fn() -> bool,
    {
        let runtime = Builder::new_current_thread().enable_all().build();
        let tasks = LocalSet::new();
        for number in 0..self.callers {
            let behaviour = self.behaviours[number % self.behaviours.len()];
            tasks.spawn_local(call_again(number, server, behaviour));
        }
        tasks.block_on(&runtime.expect("runtime"), async {
            let end = Instant::now() + self.time;
            while Instant::now() < end && !has_ended() {
                sleep(SAMPLE_INTERVAL).await;
            }
        });
    }
}

/// Sets a flag, also if a check fails.
struct EndOnDrop<'a>(&'a AtomicBool);

impl Drop for EndOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

fn sample(vm: &Vm, peak: &mut Peak) {
    // The process may end at any time.
    let resident_bytes = status_bytes(vm, "VmRSS").unwrap_or_default();
    let links = links(vm).unwrap_or_default();
    let unread_bytes = unread_bytes(&links, &[vm.callers, vm.ready, vm.peers]);
    peak.unread_bytes = peak.unread_bytes.max(unread_bytes);
    peak.total_bytes = peak.total_bytes.max(resident_bytes + unread_bytes);
    peak.descriptors = peak.descriptors.max(links.len());
}

/// Bytes that the sockets behind these descriptors have received and their owner has not
/// read, also on connections that wait to be accepted at these addresses.
fn unread_bytes(links: &[String], listeners: &[SocketAddr]) -> u64 {
    const LISTENING: &str = "0A";
    let inode_of = |link: &String| {
        let inode = link.strip_prefix("socket:[")?.strip_suffix(']')?;
        Some(inode.to_owned())
    };
    let inodes: HashSet<String> = links.iter().filter_map(inode_of).collect();
    let ports: Vec<String> = listeners
        .iter()
        .map(|address| format!(":{:04X}", address.port()))
        .collect();
    let table = fs::read_to_string("/proc/net/tcp").expect("connections");
    let queues = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (local, state, inode) = (fields.get(1)?, fields.get(3)?, fields.get(9)?);
        let (_, received) = fields.get(4)?.split_once(':')?;
        let is_own = inodes.contains(*inode) || ports.iter().any(|port| local.ends_with(port));
        let is_counted = is_own && *state != LISTENING;
        is_counted.then(|| u64::from_str_radix(received, 16).ok())?
    });
    queues.sum()
}

/// Value of a line of the process's status, in bytes; `None` if it has ended.
pub(crate) fn status_bytes(vm: &Vm, line: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{}/status", vm.id())).ok()?;
    let value = status.lines().find_map(|text| text.strip_prefix(line))?;
    let value = value.trim_start_matches(':').trim().strip_suffix(" kB")?;
    Some(value.parse::<u64>().ok()? * 1_024)
}

/// Number of open descriptors; `None` if the process has ended.
pub(crate) fn descriptors(vm: &Vm) -> Option<usize> {
    links(vm).map(|links| links.len())
}

/// What the open descriptors refer to; `None` if the process has ended.
fn links(vm: &Vm) -> Option<Vec<String>> {
    let folder = fs::read_dir(format!("/proc/{}/fd", vm.id())).ok()?;
    let links = folder.flatten().map(|entry| {
        // A descriptor may be closed meanwhile.
        let link = fs::read_link(entry.path()).unwrap_or_default();
        link.to_string_lossy().into_owned()
    });
    Some(links.collect())
}

//! Entry daemons as processes before stand-ins on loopback.

// Each test program uses a part of it.
#![allow(dead_code)]

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use lagoon_gateway::TargetStatus;
use lagoon_standin::fleet::{Link, Store, Target};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tempfile::TempDir;

/// Longest wait for anything; reached only when it never comes.
const PATIENCE: Duration = Duration::from_secs(30);

/// Ports below those that the system gives to connections, and apart from
/// those of other tests.
const FIRST_PORT: u16 = 30_100;
const LAST_PORT: u16 = 32_000;

/// Time between two events of a stream.
pub(crate) const EVENT_PERIOD: Duration = Duration::from_millis(20);

/// Events of a stream.
pub(crate) const EVENTS: u64 = 6;

pub(crate) const CONFIG: &str = include_str!("../../../../platform/samples/config.json");

/// Entry daemon.
pub(crate) struct Vm {
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) peers: SocketAddr,
    child: Child,
}

/// Store, two engines, a desk and some VMs.
pub(crate) struct Fleet {
    pub(crate) store: Store,
    pub(crate) engines: [Target; 2],
    pub(crate) desks: [Target; 2],
    pub(crate) vms: Vec<Vm>,
    /// Links to the store, the engines and the desks, if there are any.
    pub(crate) links: Vec<Link>,
    files: TempDir,
}

/// Answer to a caller.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether it ended as its framing says.
    pub(crate) is_whole: bool,
}

fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    loop {
        let port = NEXT.fetch_add(1, Ordering::SeqCst);
        assert!(port < LAST_PORT, "no port is left");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        // Other VMs send datagrams to the same number.
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Waits until `f` holds.
pub(crate) fn wait_until<F>(what: &str, mut f: F)
where
    F: FnMut() -> bool,
{
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        if f() {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("{what} never came");
}

impl Fleet {
    /// Starts everything and waits until the VMs are ready.
    pub(crate) fn start(vms: usize) -> Fleet {
        Fleet::start_with(vms, false)
    }

    /// The same with a link before the store and each target.
    pub(crate) fn start_linked(vms: usize) -> Fleet {
        Fleet::start_with(vms, true)
    }

    fn start_with(vms: usize, is_linked: bool) -> Fleet {
        let mut fleet = Fleet {
            store: Store::start(),
            engines: ["e1", "e2"].map(|id| Target::start(id, EVENTS, EVENT_PERIOD)),
            desks: ["d1", "d2"].map(|id| Target::start(id, 0, EVENT_PERIOD)),
            vms: Vec::new(),
            links: Vec::new(),
            files: TempDir::new().expect("folder"),
        };
        fleet.store.configure(CONFIG);
        if is_linked {
            let targets = fleet.engines.iter().chain(&fleet.desks);
            let targets = targets.map(|target| target.address);
            let servers = [fleet.store.address].into_iter().chain(targets);
            fleet.links = servers.map(Link::to).collect();
        }
        for index in 0..fleet.engines.len() + fleet.desks.len() {
            fleet.list(index, TargetStatus::Ready);
        }
        for _ in 0..vms {
            fleet.start_vm();
        }
        fleet.wait_until_known();
        fleet
    }

    /// Lists a target, engines first.
    pub(crate) fn list(&self, index: usize, state: TargetStatus) {
        let engines = self.engines.len();
        let mut entry = match index.checked_sub(engines) {
            None => self.engines[index].entry("engines", state),
            Some(desk) => self.desks[desk].entry("desks", state),
        };
        if let Some(link) = self.links.get(1 + index) {
            entry.address = link.address;
        }
        self.store.list(&entry);
    }

    /// Waits until all VMs know each other.
    fn wait_until_known(&self) {
        let others = format!("\nlagoon_other_vms {}\n", self.vms.len().saturating_sub(1));
        for vm in &self.vms {
            wait_until("other VMs", || {
                get(vm.peers, "/metrics").body.contains(&others)
            });
        }
        wait_until("VMs", || self.store.values("vms").len() == self.vms.len());
    }

    /// Starts one more VM.
    pub(crate) fn start_vm(&mut self) {
        let vm = self.start_vm_unready();
        wait_until("readiness", || get(vm.ready, "/ready").status == 200);
        self.vms.push(vm);
    }

    /// Starts a VM and does not wait.
    pub(crate) fn start_vm_unready(&self) -> Vm {
        // A process that is being started has the sockets of this one until it
        // runs its program, and so keeps ports that are only tried.
        static STARTING: Mutex<()> = Mutex::new(());
        let _starting = STARTING.lock().unwrap_or_else(PoisonError::into_inner);
        let (callers, ready, peers) = (free_address(), free_address(), free_address());
        let name = format!("vm-{}", callers.port());
        let text = format!(
            "[vm]\nname = \"{name}\"\ndomain = \"d1\"\n\
             [listen]\ncallers = \"{callers}\"\nready = \"{ready}\"\npeers = \"{peers}\"\n\
             [store]\naddress = \"{}\"\n[limits]\nstop_wait_s = 8\n",
            self.links
                .first()
                .map_or(self.store.address, |link| link.address)
        );
        let file = self.files.path().join(format!("{name}.toml"));
        fs::write(&file, text).expect("settings are written");
        let log = fs::File::create(self.files.path().join(format!("{name}.log")));
        let child = Command::new(env!("CARGO_BIN_EXE_lagoon-entry"))
            .arg("--settings")
            .arg(&file)
            .stderr(log.expect("log file"))
            .stdout(Stdio::null())
            .spawn()
            .expect("daemon starts");
        Vm {
            callers,
            ready,
            peers,
            child,
        }
    }

    pub(crate) fn callers(&self) -> SocketAddr {
        self.vms[0].callers
    }
}

impl Vm {
    pub(crate) fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("own child");
    }

    /// Waits for the end; says whether it was a planned one.
    pub(crate) fn wait(&mut self) -> bool {
        self.child.wait().expect("own child").success()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        // One that has ended is gone already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Opens a request without waiting for its answer.
pub(crate) fn open(
    address: SocketAddr,
    line: &str,
    host: &str,
    headers: &[String],
    body: &str,
) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("timeout");
    let text = request(line, host, headers, body);
    stream.write_all(text.as_bytes()).expect("request is sent");
    stream
}

fn request(line: &str, host: &str, headers: &[String], body: &str) -> String {
    let mut text = format!("{line} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n");
    for header in headers {
        text.push_str(header);
        text.push_str("\r\n");
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    text
}

/// Answer to a request that announces a body and never sends it.
pub(crate) fn announce(address: SocketAddr, line: &str, bytes: usize) -> Reply {
    let mut stream = TcpStream::connect(address).expect("connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("timeout");
    let text = format!(
        "{line} HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nContent-Length: {bytes}\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).expect("request is sent");
    read(stream)
}

/// Reads an answer to its end.
pub(crate) fn read(mut stream: TcpStream) -> Reply {
    let mut bytes = Vec::new();
    // A reset ends an answer like a close, before its end.
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8(bytes).expect("text");
    let Some((head, rest)) = text.split_once("\r\n\r\n") else {
        return Reply {
            status: 0,
            head: text,
            body: String::new(),
            is_whole: false,
        };
    };
    let status = head.split(' ').nth(1).expect("status").parse();
    let is_chunked = head.to_lowercase().contains("transfer-encoding: chunked");
    let (body, is_whole) = if is_chunked {
        dechunk(rest)
    } else {
        (rest.to_owned(), true)
    };
    Reply {
        status: status.expect("number"),
        head: head.to_lowercase(),
        body,
        is_whole,
    }
}

fn dechunk(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("chunk size");
        if size == 0 {
            return (body, true);
        }
        if after.len() < size + 2 {
            break;
        }
        body.push_str(&after[..size]);
        rest = &after[size + 2..];
    }
    (body, false)
}

pub(crate) fn get(address: SocketAddr, path: &str) -> Reply {
    if TcpStream::connect(address).is_err() {
        return Reply {
            status: 0,
            head: String::new(),
            body: String::new(),
            is_whole: false,
        };
    }
    read(open(address, &format!("GET {path}"), "vm", &[], ""))
}

/// Sends a request and reads its answer.
pub(crate) fn call(address: SocketAddr, line: &str, headers: &[String], body: &str) -> Reply {
    read(open(address, line, "a.example", headers, body))
}

/// The same, where the VM may be gone.
pub(crate) fn try_call(address: SocketAddr, line: &str, headers: &[String], body: &str) -> Reply {
    let none = Reply {
        status: 0,
        head: String::new(),
        body: String::new(),
        is_whole: false,
    };
    let Ok(mut stream) = TcpStream::connect(address) else {
        return none;
    };
    let text = request(line, "a.example", headers, body);
    let sent = stream.set_read_timeout(Some(PATIENCE));
    match sent.and_then(|()| stream.write_all(text.as_bytes())) {
        Ok(()) => read(stream),
        Err(_) => none,
    }
}

/// Whole stream from its first event on.
pub(crate) fn all_events() -> String {
    (1..=EVENTS)
        .map(|number| format!("id: {number}\ndata: piece {number}\n\n"))
        .collect()
}

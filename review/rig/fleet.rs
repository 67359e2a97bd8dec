//! Entry VMs as processes, stand-in engines, and the record of what happened.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{call, respond, serve, write_chunk, Answer, Request};
use crate::store::{Store, View};

/// Tokens in one event of a stream.
pub const TOKENS_PER_EVENT: u64 = 12;

const EVENT_INTERVAL: Duration = Duration::from_millis(4);

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &Path) -> Arc<Record> {
        Arc::new(Record {
            started: Instant::now(),
            file: Mutex::new(File::create(path).expect("record")),
        })
    }

    pub fn write(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.started.elapsed().as_secs_f64());
        let mut file = self.file.lock().expect("record");
        file.write_all(line.as_bytes()).expect("record");
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Waits until this time since the start.
    pub fn wait_until(&self, seconds: f64) {
        let until = Duration::from_secs_f64(seconds);
        thread::sleep(until.saturating_sub(self.elapsed()));
    }
}

/// One request that an engine began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: String,
    pub target: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

pub struct Engine {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
}

/// Starts an engine that the store lists.
pub fn start_engine(
    store: &Arc<Store>,
    record: &Arc<Record>,
    runs: &Runs,
    (id, service, zone): (&str, &str, &str),
) -> Engine {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address");
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("time")
        .as_millis();
    let entry = format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"1\",\
         \"slots\":12,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":{born}"
    );
    let (beat_store, beat_id) = (Arc::clone(store), id.to_owned());
    thread::spawn(move || {
        for number in 1.. {
            beat_store.put(
                "servers",
                &beat_id,
                Some(&format!("{entry},\"seq_num\":{number}}}")),
            );
            thread::sleep(HEARTBEAT);
        }
    });
    let own = id.to_owned();
    let (record, runs) = (Arc::clone(record), Arc::clone(runs));
    serve(listener, move |request, out| {
        let request_id = request
            .header("lagoonscale-request-id")
            .unwrap_or("-")
            .to_owned();
        if request
            .header("lagoonscale-expect-instance")
            .is_some_and(|id| id != own)
        {
            return respond(out, 421, &[("Lagoonscale-Instance-Id", &own)], b"");
        }
        runs.lock().expect("runs").push(Run {
            engine: own.clone(),
            target: request.target.clone(),
        });
        let last = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0u64);
        record.write(&format!(
            "engine {own}: {request_id} runs, after event {last}"
        ));
        stream(request, out, &own, &request_id, last)
    });
    Engine {
        id: id.to_owned(),
        zone: zone.to_owned(),
        address,
    }
}

fn stream(
    request: &Request,
    out: &mut TcpStream,
    engine: &str,
    request_id: &str,
    last: u64,
) -> bool {
    let usage = request.header("lagoonscale-token-usage").unwrap_or("0,12");
    let tokens: u64 = usage
        .split(',')
        .nth(1)
        .and_then(|t| t.parse().ok())
        .unwrap_or(12);
    let count = tokens / TOKENS_PER_EVENT;
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Lagoonscale-Request-Id: {request_id}\r\nLagoonscale-Server-Stamp: stamp.{engine}\r\n\r\n"
    );
    if out.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for number in last + 1..=count {
        thread::sleep(EVENT_INTERVAL);
        if !write_chunk(out, format!("id: {number}\ndata: {engine}\n\n").as_bytes()) {
            return false;
        }
    }
    out.write_all(b"0\r\n\r\n").is_ok()
}

pub struct Vm {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    /// Addresses by which it reaches others.
    pub view: View,
    /// State of the store's port of this VM.
    pub store_mode: Arc<AtomicU8>,
    settings: String,
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
}

/// A number that is free for TCP and UDP, below those that the system gives out.
pub fn free_port() -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 20_000 + ((u64::from(std::process::id()) * 97 + number) % 11_000) as u16;
        let is_free = TcpListener::bind(("127.0.0.1", port)).is_ok();
        if is_free && UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

const SIGTERM: i32 = 15;
const SIGKILL: u64 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

/// Has the kernel end the process of a VM if the case is ended from outside.
fn end_with_parent() -> std::io::Result<()> {
    // SAFETY: sets an attribute of the calling process.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

impl Vm {
    /// VM that is not started yet.
    pub fn new(store: &Arc<Store>, folder: &Path, name: &str, domain: &str) -> Vm {
        let view = View::default();
        let (store_address, store_mode) = store.open_port(&view);
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let (callers, ready, peers) = (local(free_port()), local(free_port()), local(free_port()));
        // As deploy/entry.toml, filled in.
        let settings = format!(
            "[vm]\nname = \"{name}\"\ndomain = \"{domain}\"\nfirst_start = FIRST\n\n\
             [listen]\ncallers = \"{callers}\"\nready = \"{ready}\"\npeers = \"{peers}\"\n\n\
             [store]\naddress = \"{store_address}\"\nrow_bytes = 65536\n\n\
             [limits]\nstop_wait_s = 8\nsettle_ms = 1000\nmemory_mb = 260\ndescriptors = 8200\n\n\
             [log]\nstdout = true\n"
        );
        Vm {
            name: name.to_owned(),
            zone: domain.to_owned(),
            callers,
            ready,
            peers,
            view,
            store_mode,
            settings,
            folder: folder.to_owned(),
            child: None,
            starts: 0,
        }
    }

    /// Starts the process; only its first start is one of the whole system.
    pub fn start(&mut self) {
        self.starts += 1;
        let is_first = (self.starts == 1).to_string();
        let file = self.folder.join(format!("{}.toml", self.name));
        fs::write(&file, self.settings.replace("FIRST", &is_first)).expect("settings");
        let log = self
            .folder
            .join(format!("{}-{}.log", self.name, self.starts));
        let log = File::create(log).expect("log");
        let mut command = Command::new("target/release/lagoon-entry");
        // SAFETY: the function makes one system call.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log"))
            .stdout(log)
            .spawn();
        self.child = Some(child.expect("target/release/lagoon-entry starts"));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&mut self) {
        if let Some(child) = &self.child {
            // SAFETY: a signal to a child that has not been waited for.
            unsafe { kill(child.id() as i32, SIGTERM) };
        }
    }

    /// Stops the process as planned: SIGTERM, and SIGKILL after `grace_s`.
    pub fn stop(&mut self) {
        self.terminate();
        let until = Instant::now() + Duration::from_secs(8);
        while Instant::now() < until {
            match self.child.as_mut().map(Child::try_wait) {
                Some(Ok(None)) => thread::sleep(Duration::from_millis(20)),
                _ => break,
            }
        }
        self.kill();
    }

    pub fn set_store(&self, mode: u8) {
        self.store_mode.store(mode, Ordering::SeqCst);
    }

    pub fn is_ready(&self) -> bool {
        let request = Request {
            method: "GET".to_owned(),
            target: "/ready".to_owned(),
            headers: vec![("Host".to_owned(), "vm".to_owned())],
            ..Request::default()
        };
        call(self.ready, &request, Duration::from_secs(1)).status == 200
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Makes ids that are unique in a run.
pub fn next_id(prefix: &str) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{prefix}-{}", NEXT.fetch_add(1, Ordering::SeqCst))
}

/// Sends one turn of a program; each attempt has an id of its own.
pub fn turn(
    record: &Record,
    vm: SocketAddr,
    (program, budget): (&str, u64),
    max_tokens: u64,
) -> Answer {
    let id = next_id(program);
    let headers = [
        ("Host", "a.example".to_owned()),
        ("Lagoonscale-Request-Id", id.clone()),
        ("Lagoonscale-Program-Id", program.to_owned()),
        ("Lagoonscale-Session-Id", format!("{program}-s")),
        ("Lagoonscale-Finish-Ms", "30000".to_owned()),
        ("Lagoonscale-Token-Budget", budget.to_string()),
        ("Lagoonscale-Token-Usage", format!("1000,{max_tokens}")),
        ("Lagoonscale-Length-Hint", max_tokens.to_string()),
        (
            "Lagoonscale-Prompt-Prefix",
            format!("5c1e07a2:512,{:x}:488", fold(program)),
        ),
        ("Lagoonscale-Deadline-Ms", "3000".to_owned()),
    ];
    let request = Request {
        method: "POST".to_owned(),
        target: format!("/stream/{program}"),
        headers: headers
            .into_iter()
            .map(|(n, v)| (n.to_owned(), v))
            .collect(),
        body: format!("prompt of {program}").into_bytes(),
    };
    record.write(&format!(
        "client: {id} sent (budget {budget}, at most {max_tokens})"
    ));
    let answer = call(vm, &request, Duration::from_millis(3_500));
    let events = answer.events().len();
    record.write(&format!(
        "client: {id} gets {} with {events} events, complete {}: {}",
        answer.status,
        answer.is_complete,
        if events == 0 {
            String::from_utf8_lossy(&answer.body)
        } else {
            "".into()
        }
    ));
    answer
}

/// Sends one stream that belongs to no program.
pub fn stream_once(record: &Record, vm: SocketAddr) -> Answer {
    let id = next_id("s");
    let headers = [
        ("Host", "a.example"),
        ("Lagoonscale-Request-Id", id.as_str()),
        ("Lagoonscale-Token-Usage", "100,72"),
        ("Lagoonscale-Deadline-Ms", "3000"),
    ];
    let request = Request {
        method: "POST".to_owned(),
        target: format!("/stream/{id}"),
        headers: headers
            .into_iter()
            .map(|(n, v)| (n.to_owned(), v.to_owned()))
            .collect(),
        body: format!("prompt of {id}").into_bytes(),
    };
    record.write(&format!("client: {id} sent"));
    let answer = call(vm, &request, Duration::from_millis(3_500));
    record.write(&format!(
        "client: {id} gets {} with events {:?}, complete {}",
        answer.status,
        answer.events(),
        answer.is_complete
    ));
    answer
}

fn fold(text: &str) -> u32 {
    let fold = |hash: u32, c: u8| (hash ^ u32::from(c)).wrapping_mul(16_777_619);
    text.bytes().fold(2_166_136_261, fold)
}

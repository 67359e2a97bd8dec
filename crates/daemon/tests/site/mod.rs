//! Test deployment on loopback: daemons as processes, the simulated platform
//! and targets as threads.

// Each test binary uses a part of this module.
#![allow(dead_code)]

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{self, Child, Command};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use lagoon_standin::caller::Client;
use lagoon_standin::engine::EngineSettings;
use lagoon_standin::service::ServiceSettings;
use lagoon_standin::{engine, platform, service};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use tempfile::TempDir;

/// Timeout of every wait; it expires only if the awaited state never occurs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Lines of each daemon's log that are printed when a test fails.
const LOG_TAIL_LINES: usize = 60;

const FIRST_PORT: u16 = 20_000;
const LAST_PORT: u16 = 30_000;
/// Number of ports by which the first ports of two processes with successive ids differ.
const PORTS_PER_PROCESS: usize = 97;
const SHEET_HEADER: &str =
    "kind,name,market,domain,address,serves,slots,price_micros,budget_tokens,\
budget_money_micros,budget_turns,weight_latency,weight_cache,repeat,fencing,version,key_sha256";
/// SHA-256 of `grower-desk-key`.
const KEY_SHA256: &str = "d2d9664c46048f8e9386419aaf2d2db044705edf6da4cce93d947fd5bf0f4056";

/// Daemon process of one VM.
pub(crate) struct Vm {
    pub(crate) name: String,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// Test deployment with its simulated platform and targets.
pub(crate) struct Site {
    pub(crate) vms: Vec<Vm>,
    pub(crate) engine: SocketAddr,
    pub(crate) booking_service: SocketAddr,
    pub(crate) platform: SocketAddr,
    _files: TempDir,
}

/// Returns an address that nothing listens on.
///
/// The ports are below the system's ephemeral range, and no two tests of this
/// process get the same one. Processes begin at different ports: a daemon binds its port
/// some time after this, and another process may find it free until then.
fn free_address() -> SocketAddr {
    static TAKEN: AtomicUsize = AtomicUsize::new(0);
    let ports = usize::from(LAST_PORT - FIRST_PORT);
    let first = process::id() as usize * PORTS_PER_PROCESS;
    loop {
        let taken = TAKEN.fetch_add(1, Ordering::SeqCst);
        assert!(taken < ports, "no free port is left");
        let port = FIRST_PORT + ((first + taken) % ports) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Polls `f` until it returns a value.
pub(crate) fn wait_for<T, F>(what: &str, mut f: F) -> T
where
    F: FnMut() -> Option<T>,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        if let Some(value) = f() {
            return value;
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("{what} never came");
}

pub(crate) fn get_json(address: SocketAddr, path: &str) -> Option<Value> {
    let mut response = ureq::get(format!("http://{address}{path}")).call().ok()?;
    response.body_mut().read_json().ok()
}

pub(crate) fn post_json(address: SocketAddr, path: &str, body: &Value) {
    let url = format!("http://{address}{path}");
    ureq::post(url).send_json(body).expect("accepted");
}

fn spawn<F>(address: SocketAddr, run: F)
where
    F: FnOnce() -> Result<(), String> + Send + 'static,
{
    thread::spawn(move || run().expect("simulator"));
    wait_for("simulator", || std::net::TcpStream::connect(address).ok());
}

impl Site {
    /// Starts the simulated services and the VMs, and applies a sheet.
    pub(crate) fn start(vms: usize) -> Site {
        Site::start_with(vms, None)
    }

    /// Like [`Site::start`]; `targets`, if they are given, take the places of the engine
    /// and the service in the sheet.
    pub(crate) fn start_with(vms: usize, targets: Option<[SocketAddr; 2]>) -> Site {
        Site::start_bounded(vms, targets, "")
    }

    /// Like [`Site::start_with`], with these lines in the section `callers` of the settings,
    /// or sections behind it.
    pub(crate) fn start_bounded(
        vms: usize,
        targets: Option<[SocketAddr; 2]>,
        callers: &str,
    ) -> Site {
        let files = TempDir::new().expect("folder");
        let (platform, engine, booking_service) = (free_address(), free_address(), free_address());
        spawn(platform, move || platform::run(platform, 1));
        spawn(engine, move || {
            engine::run(EngineSettings {
                address: engine,
                step_us: 1_000,
                extra_sequence_us: 100,
                prefill_tokens_per_ms: 20,
                cache_blocks: 1_024,
                load_report_interval_ms: 200,
            })
        });
        spawn(booking_service, move || {
            service::run(ServiceSettings {
                address: booking_service,
                deduplicates: false,
                service_time_ms: 5,
            })
        });
        let new_vm = |n| Vm::new(n, platform, &files, callers);
        let vms = (1..=vms).map(new_vm).collect();
        let mut site = Site {
            vms,
            engine: targets.map_or(engine, |[engine, _]| engine),
            booking_service: targets.map_or(booking_service, |[_, service]| service),
            platform,
            _files: files,
        };
        for vm in &mut site.vms {
            vm.start();
        }
        site.apply_sheet();
        for vm in &site.vms {
            vm.wait_ready();
        }
        site
    }

    fn sheet(&self) -> String {
        let (engine, booking_service) = (self.engine, self.booking_service);
        format!(
            "{SHEET_HEADER}\n\
             market,kumabark,,,,,,,200000,50000000,40,3.0,1.0,,,,\n\
             account,grower-desk,kumabark,,,,,,,,,,,,,,{KEY_SHA256}\n\
             model,contract-agent,kumabark,,,,,400,,,,,,,,v1,\n\
             service,booking,kumabark,,,,,1000,,,,,,once,,,\n\
             target,engine-1,,kumamoto,{engine},contract-agent,64,,,,,,,,checked,,\n\
             target,desk-1,,kumamoto,{booking_service},booking,16,,,,,,,,ignored,,\n"
        )
    }

    fn apply_sheet(&self) {
        let body = json!({"base": 0, "author": "test", "text": self.sheet()});
        let url = format!("http://{}/v1/sheet", self.vms[0].operators);
        wait_for("sheet", || ureq::post(&url).send_json(&body).ok());
    }

    pub(crate) fn client(&self, vm: usize) -> Client {
        Client::new(self.vms[vm].callers, "grower-desk-key")
    }

    /// Idempotency keys of the executed bookings.
    pub(crate) fn executed_bookings(&self) -> Vec<String> {
        let runs = get_json(self.booking_service, "/runs").expect("runs");
        let runs = runs.as_array().expect("list").iter();
        runs.map(|run| run["key"].as_str().unwrap_or_default().to_owned())
            .collect()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if thread::panicking() {
            self.vms.iter().for_each(Vm::print_log_tail);
        }
    }
}

impl Vm {
    /// What the daemon has logged; nothing if its log can't be read.
    pub(crate) fn log(&self) -> String {
        fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }

    fn print_log_tail(&self) {
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        println!("last lines of {}'s log:", self.name);
        for line in &lines[lines.len().saturating_sub(LOG_TAIL_LINES)..] {
            println!("{line}");
        }
    }

    fn new(n: usize, platform: SocketAddr, files: &TempDir, bounds: &str) -> Vm {
        let (callers, operators, peers) = (free_address(), free_address(), free_address());
        let settings = files.path().join(format!("vm{n}.toml"));
        let log = files.path().join(format!("vm{n}.log"));
        let text = format!(
            "[vm]\nname = \"vm{n}\"\ndomain = \"kumamoto\"\n\n\
             [listen]\ncallers = \"{callers}\"\noperators = \"{operators}\"\npeers = \"{peers}\"\n\n\
             [platform]\naddress = \"{platform}\"\n\n\
             [members]\nheartbeat_ms = 200\nsuspect_ms = 1000\n\n\
             [callers]\n{bounds}\n\
             [log]\nfile = {log:?}\n"
        );
        fs::write(&settings, text).expect("settings");
        Vm {
            name: format!("vm{n}"),
            callers,
            operators,
            settings,
            child: None,
        }
    }

    pub(crate) fn start(&mut self) {
        let child = Command::new(env!("CARGO_BIN_EXE_lagoond"))
            .arg("--settings")
            .arg(&self.settings)
            .spawn();
        self.child = Some(child.expect("daemon"));
    }

    pub(crate) fn wait_ready(&self) {
        wait_for(&self.name, || {
            let status = get_json(self.operators, "/v1/status")?;
            status["ready"].as_bool()?.then_some(())
        });
    }

    /// Process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.as_ref().expect("running daemon").id()
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("running daemon");
        kill(Pid::from_raw(child.id() as i32), signal).expect("signal");
    }

    /// Waits for the daemon to exit by itself; returns its exit code.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        let mut child = self.child.take().expect("runs");
        let status = wait_for(&self.name, || child.try_wait().expect("status"));
        status.code()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // SIGKILL also ends a suspended process.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

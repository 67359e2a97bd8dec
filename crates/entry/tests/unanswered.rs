//! Requests that reached a VM whole and get neither a whole answer nor a refusal.

mod changes;
mod client;
mod fleet;

use std::env;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use client::{encode, encode_chunked, Connection, Pace};
use fleet::{
    call, complete_stream, get, send_request, try_call, wait_until, Fleet, OldBuild, CONFIG,
    EVENT_COUNT,
};
use lagoon_adapter::standin::{expected_tokens_header, model_call_headers, service_call_headers};
use lagoon_gateway::TargetStatus;
use lagoon_standin::fleet::{StoreFault, Target};
use nix::sys::signal::Signal;

const TOKENS_PER_EVENT: u64 = 12;

/// Tokens of a whole stream, which is the maximum that its request states.
const STREAM_TOKENS: u64 = EVENT_COUNT * TOKENS_PER_EVENT;

/// Budget whose reserve, a quarter of it, has the tokens of one call.
const BUDGET_TOKENS: u64 = 4 * STREAM_TOKENS;

/// Estimate of a stream's tokens that is too low by a factor of 3.6.
const LENGTH_HINT_TOKENS: u64 = 20;

// Guards against streams that are cut because one reply of a sound store got lost:
// their calls were granted fewer tokens than their maximum.
#[test]
fn stream_is_whole_beside_one_lost_store_reply() {
    const PROGRAMS: usize = 10;
    let fleet = Fleet::start(1);
    let headers = |program: &str| {
        let mut headers = model_call_headers(program, program, BUDGET_TOKENS, STREAM_TOKENS);
        headers.push(expected_tokens_header(LENGTH_HINT_TOKENS));
        headers
    };
    let (mut cuts, mut refusals) = (Vec::new(), 0);
    for number in 0..PROGRAMS {
        let transactions = fleet.store.transaction_count();
        fleet.store.set_fault(StoreFault::DropReply);
        let other = headers(&format!("other{number}"));
        let other = send_request(fleet.callers(), "POST /stream/x", "a.example", &other, "p");
        wait_until("the lost reply", || {
            fleet.store.transaction_count() > transactions
        });
        let program = format!("p{number}");
        let response = call(fleet.callers(), "POST /stream/x", &headers(&program), "p");
        match response.status {
            200 if response.is_complete => assert_eq!(response.body, complete_stream()),
            200 => cuts.push(response.body.matches("id: ").count()),
            _ => refusals += 1,
        }
        drop(other);
        thread::sleep(fleet::EVENT_INTERVAL);
    }
    println!("{PROGRAMS} calls, {refusals} refused, cut after events: {cuts:?}");
    assert!(cuts.is_empty(), "cut after events: {cuts:?}");
}

/// Configuration of this version, with one of the limits set.
fn config_with_limit(version: u64, limit: &str, value: u64) -> String {
    let mut config: serde_json::Value = serde_json::from_str(CONFIG).expect("JSON");
    config["version"] = version.into();
    config["limits"][limit] = value.into();
    config.to_string()
}

/// Waits until the configuration is in force at all VMs.
fn configure(fleet: &Fleet, version: u64, config: &str) {
    fleet.store.configure(config);
    let line = format!("config_version {version}\n");
    for vm in &fleet.vms {
        wait_until("the configuration", || {
            get(vm.peers, "/metrics").body.contains(&line)
        });
    }
}

fn lookup(id: &str) -> Vec<u8> {
    encode("GET /look/x", &service_call_headers(id), b"")
}

/// Sends a request on a connection that must be open, and returns the status of its
/// answer.
fn status_of(connection: &mut Connection, request: &[u8]) -> u16 {
    assert!(!connection.is_closed(), "closed while it rested");
    let sent = connection.send(request, Pace::AT_ONCE);
    let answer = connection.read_answer();
    let answer = answer.unwrap_or_else(|cut| panic!("sent: {sent:?}, then {cut:?}"));
    answer.status
}

// Guards against open connections that keep the idle limit of an older configuration,
// while callers reuse them within the one in force.
#[test]
fn raised_idle_limit_applies_to_open_connections() {
    let fleet = Fleet::start(1);
    let mut old: serde_json::Value =
        serde_json::from_str(&config_with_limit(4, "idle_timeout_ms", 600)).expect("JSON");
    old["limits"]["header_timeout_ms"] = 600.into();
    configure(&fleet, 4, &old.to_string());
    let mut connection = Connection::open(fleet.callers()).expect("connection");
    assert_eq!(status_of(&mut connection, &lookup("before")), 200);
    old["version"] = 5.into();
    old["limits"]["idle_timeout_ms"] = 5_000.into();
    configure(&fleet, 5, &old.to_string());
    assert_eq!(status_of(&mut connection, &lookup("at once")), 200);
    thread::sleep(Duration::from_millis(2_500));
    assert_eq!(status_of(&mut connection, &lookup("rested")), 200);
}

// Guards against a request that was sent within the idle limit and meets the close.
#[test]
fn request_at_the_idle_limit_is_answered() {
    const IDLE_MS: u64 = 600;
    let fleet = Fleet::start(1);
    let mut config: serde_json::Value =
        serde_json::from_str(&config_with_limit(4, "idle_timeout_ms", IDLE_MS)).expect("JSON");
    config["limits"]["header_timeout_ms"] = IDLE_MS.into();
    configure(&fleet, 4, &config.to_string());
    let mut connection = Connection::open(fleet.callers()).expect("connection");
    assert_eq!(status_of(&mut connection, &lookup("before")), 200);
    thread::sleep(Duration::from_millis(IDLE_MS + 100));
    assert_eq!(status_of(&mut connection, &lookup("at the limit")), 200);
}

// Guards against open connections that refuse a header section within the limit in
// force, as they keep the limit of an older configuration.
#[test]
fn raised_header_limit_applies_to_open_connections() {
    const LONG_HEADER_BYTES: usize = 40_000;
    let fleet = Fleet::start(1);
    let mut connection = Connection::open(fleet.callers()).expect("connection");
    assert_eq!(status_of(&mut connection, &lookup("before")), 200);
    configure(&fleet, 4, &config_with_limit(4, "max_header_bytes", 65_536));
    let mut headers = service_call_headers("long");
    headers.push(format!("X-Long: {}", "x".repeat(LONG_HEADER_BYTES)));
    let request = encode("GET /look/x", &headers, b"");
    assert_eq!(status_of(&mut connection, &request), 200);
}

/// Sends a body that is too long and checks that its refusal arrives. Goes on with a
/// lookup if the body was sent whole, unless the VM has announced that it closes the
/// connection.
fn check_long_body(request: &[u8], pace: Pace) {
    let fleet = Fleet::start(1);
    configure(&fleet, 4, &config_with_limit(4, "max_body_bytes", 100_000));
    let mut connection = Connection::open(fleet.callers()).expect("connection");
    // The VM may close the connection before it has read all of a body that it refuses.
    let sent = connection.send(request, pace);
    let refusal = connection.read_answer();
    let refusal = refusal.unwrap_or_else(|cut| panic!("sent: {sent:?}, then {cut:?}"));
    assert_eq!(refusal.status, 413);
    if sent.is_err() || connection.is_close_announced() {
        return;
    }
    assert_eq!(status_of(&mut connection, &lookup("next")), 200);
}

/// Pace of a caller whose body is on its way for long.
const SLOW: Pace = Pace {
    pieces: 20,
    pause: Duration::from_millis(20),
};

/// Sizes of bodies over the limit: one that is sent whole before its refusal comes, and
/// one that isn't.
const LONG_BODY_BYTES: [usize; 2] = [150_000, 8_000_000];

// Guards against refusals that are lost, and connections that close without notice, as
// a body whose stated length is over the limit isn't read.
#[test]
fn refusal_of_a_stated_long_body_arrives() {
    for bytes in LONG_BODY_BYTES {
        let headers = service_call_headers("long");
        let request = encode("POST /book/x", &headers, &vec![b'b'; bytes]);
        check_long_body(&request, Pace::AT_ONCE);
        check_long_body(&request, SLOW);
    }
}

// Guards against refusals that are lost, and connections that close without notice, as
// the rest of a body isn't read once it is over the limit.
#[test]
fn refusal_of_a_chunked_long_body_arrives() {
    for bytes in LONG_BODY_BYTES {
        let headers = service_call_headers("long");
        let request = encode_chunked("POST /book/x", &headers, &vec![b'b'; bytes], 50_000);
        check_long_body(&request, Pace::AT_ONCE);
        check_long_body(&request, SLOW);
    }
}

/// Number of starts in which a signal comes as early as possible.
const EARLY_SIGNALS: usize = 40;

/// Sends a signal as soon as the VM accepts connections.
fn signal_early(fleet: &Fleet, signal: Signal) -> fleet::Vm {
    let vm = fleet.spawn_vm();
    let deadline = Instant::now() + Duration::from_secs(10);
    while TcpStream::connect(vm.callers).is_err() {
        assert!(Instant::now() < deadline, "the VM starts");
    }
    vm.signal(signal);
    vm
}

// Guards against VMs that are ended by a change of their settings, as SIGHUP comes
// before its handler is set up.
#[test]
fn early_sighup_ends_no_vm() {
    let fleet = Fleet::start(0);
    let mut ended = 0;
    for _ in 0..EARLY_SIGNALS {
        let mut vm = signal_early(&fleet, Signal::SIGHUP);
        wait_until("readiness, or the end", || {
            vm.has_ended() || try_call(vm.ready, "GET /ready", &[], "").status == 200
        });
        ended += usize::from(vm.has_ended());
    }
    assert_eq!(ended, 0, "of {EARLY_SIGNALS} VMs");
}

// Guards against connections that are reset at a planned stop, as SIGTERM comes before
// its handler is set up.
#[test]
fn early_sigterm_ends_vms_in_order() {
    let fleet = Fleet::start(0);
    let mut stopping: Vec<_> = (0..EARLY_SIGNALS)
        .map(|_| signal_early(&fleet, Signal::SIGTERM))
        .collect();
    let ended = stopping.iter_mut().map(|vm| vm.wait());
    let killed = ended.filter(|is_success| !is_success).count();
    assert_eq!(killed, 0, "of {EARLY_SIGNALS} VMs");
}

/// Time from the signal to shortly before a stopping VM closes its connections.
const BEFORE_CLOSE: Duration = Duration::from_millis(2_050);

// Guards against requests that reach a stopping VM on kept connections and are thrown
// away unread, as the VM closes the connections that rest.
#[test]
fn stop_answers_requests_that_arrived_on_kept_connections() {
    const CALLERS: usize = 10;
    let fleet = Fleet::start(1);
    let vm = &fleet.vms[0];
    let open = || Connection::open(vm.callers).expect("connection");
    let mut kept: Vec<_> = (0..CALLERS).map(|_| open()).collect();
    for connection in &mut kept {
        assert_eq!(status_of(connection, &lookup("before")), 200);
    }
    vm.signal(Signal::SIGTERM);
    thread::sleep(BEFORE_CLOSE);
    // A VM that gets no time to run can't read what arrives.
    vm.signal(Signal::SIGSTOP);
    for connection in &mut kept {
        connection
            .send(&lookup("late"), Pace::AT_ONCE)
            .expect("sent");
    }
    thread::sleep(Duration::from_millis(300));
    vm.signal(Signal::SIGCONT);
    let answers = kept.iter_mut().map(Connection::read_answer);
    let cuts: Vec<_> = answers.filter_map(Result::err).collect();
    assert!(
        cuts.is_empty(),
        "{} of {CALLERS}: {:?}",
        cuts.len(),
        cuts[0]
    );
}

// Guards against a request that is thrown away at a stop, as it arrived on the same
// connection while the answer before it was on its way.
#[test]
fn stop_answers_a_request_that_arrived_behind_a_stream() {
    let fleet = Fleet::start(1);
    // Its streams last from before the signal until after the VM closes connections.
    let slow = Target::start("slow", 30, Duration::from_millis(100));
    fleet
        .store
        .add_target(&slow.entry("engines", TargetStatus::Ready));
    (0..2).for_each(|index| fleet.store.remove_target(&fleet.engines[index].id));
    wait_until("the slow engine", || {
        let known = get(fleet.vms[0].peers, "/metrics").body;
        known.contains("\nlagoon_targets 3\n")
    });
    let mut connection = Connection::open(fleet.callers()).expect("connection");
    let headers = model_call_headers("stream", "program", 2_000, 30 * TOKENS_PER_EVENT);
    let stream = encode("POST /stream/x", &headers, b"p");
    connection.send(&stream, Pace::AT_ONCE).expect("sent");
    wait_until("the run", || !slow.executions().is_empty());
    fleet.vms[0].signal(Signal::SIGTERM);
    connection
        .send(&lookup("next"), Pace::AT_ONCE)
        .expect("sent");
    let stream = connection.read_answer().expect("whole stream");
    assert_eq!(stream.status, 200);
    let next = connection.read_answer();
    assert!(next.is_ok(), "{next:?}");
}

/// Defaults for `UNANSWERED_SEED`, `UNANSWERED_RUNS` and `UNANSWERED_SECONDS`, the first
/// seed, the number of runs and the length of each.
const DEFAULT_SEED: u64 = 1;
const DEFAULT_RUNS: u64 = 1;
const DEFAULT_SECONDS: u64 = 15;

fn env_number(name: &str, fallback: u64) -> u64 {
    env::var(name).map_or(fallback, |text| text.parse().expect("a number"))
}

// Guards against requests that reached a VM whole and get neither a whole answer nor a
// refusal, beside changes of the configuration, signals, restarts and replacements. VMs
// run an older build too if `LAGOON_OLD_ENTRY` names one.
#[test]
fn changes_and_signals_leave_no_request_unanswered() {
    let first = env_number("UNANSWERED_SEED", DEFAULT_SEED);
    let time = Duration::from_secs(env_number("UNANSWERED_SECONDS", DEFAULT_SECONDS));
    let mut failed = Vec::new();
    for seed in first..first + env_number("UNANSWERED_RUNS", DEFAULT_RUNS) {
        let report = changes::run(seed, time, OldBuild::from_environment());
        println!("seed {seed}: {:#?}", report.counts);
        for failure in &report.failures {
            println!("seed {seed}: {failure}");
        }
        if !report.failures.is_empty() {
            failed.push((seed, report.failures.len()));
        }
    }
    assert!(failed.is_empty(), "seeds and failures: {failed:?}");
}

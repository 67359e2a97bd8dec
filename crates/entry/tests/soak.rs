//! Random faults on real processes. The guarantees are checked from what
//! callers and targets observe.
//!
//! `SOAK_SEED` sets the first seed, `SOAKS` the number of runs, and
//! `SOAK_FAULTS` the faults of each run.

mod fleet;

use std::collections::{HashMap, VecDeque};
use std::env;
use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fleet::{
    call, get, stream_after, try_call, wait_until, Fleet, FleetOptions, Response, CONFIG,
    EVENT_COUNT,
};
use hyper::StatusCode;
use lagoon_adapter::standin::{
    kept_turn_headers, model_call_headers, resumption_headers, service_call_headers,
};
use lagoon_gateway::{TargetEntry, TargetStatus};
use lagoon_standin::fleet::{
    Crash, FaultProxy, ProxyFault, Store, StoreFault, Target, TargetFault,
};
use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const VMS: usize = 3;
const CALLERS: u64 = 4;
const PROGRAMS: u64 = 12;
const BUDGET_TOKENS: u64 = 1_200;
const MAX_CALL_TOKENS: u64 = 288;
const TOKENS_PER_EVENT: u64 = 12;

/// Software versions of the engines, whose streams don't fit together.
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Requests with which a caller takes up one stream.
const MAX_TAKE_UPS: usize = 3;

/// Time between two faults; long enough for every caller to make a call.
const FAULT_INTERVAL: Duration = Duration::from_millis(150);

/// Longest `timeout_ms` of the routes in [`fleet::CONFIG`].
const MAX_ROUTE_TIMEOUT: Duration = Duration::from_secs(5);

/// Path of a request that crashes each target that runs it.
const CRASHER: &str = "/stream/crasher";

/// Time between two requests that crash targets; longer than a target's restart.
const CRASHER_INTERVAL: Duration = Duration::from_millis(400);

/// Memory that the default of `limits.memory_mb` grants a VM.
const MAX_MEMORY_KB: u64 = 120_000_000 / 1_024;

/// Bodies without an end: bytes of each, number at a time, and interval. A VM with all of
/// them has more than it can hold.
const STALLED_BYTES: usize = 2_000_000;
const MAX_STALLED: usize = 24;
const STALLER_INTERVAL: Duration = Duration::from_millis(50);

/// Requests that are sent without reading a response: number, and length of a header of each.
const UNREAD_REQUESTS: usize = 40;
const UNREAD_HEAD_BYTES: usize = 12_000;

/// Time in which a restarted target is listed.
const RESTART_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Crashes after which the request is refused, once all VMs know of them.
const QUARANTINE_CRASHES: usize = 3;

/// Time in which all VMs know of a crash, faults between them included.
const CRASH_SPREAD_TIME: Duration = Duration::from_secs(3);

/// Maximum number of crashes after that time.
const MAX_LATER_CRASHES: usize = 3;

/// Defaults for `SOAK_SEED`, `SOAKS` and `SOAK_FAULTS`.
const DEFAULT_SEED: u64 = 1;
const DEFAULT_RUNS: u64 = 2;
const DEFAULT_FAULTS: u64 = 12;

#[derive(Clone, Debug, Eq, PartialEq)]
enum CallKind {
    ModelCall {
        program: u64,
        /// What the caller has of the stream that it takes up; empty for a new one.
        held: String,
    },
    /// Call on a route that keeps turns; `previous` was answered completely.
    Turn {
        previous: Option<String>,
    },
    Booking,
    Lookup,
}

/// Time in which a desk says that it leaves, before it starts again.
const LEAVING_TIME: Duration = Duration::from_millis(700);

/// Time between a desk's start and the next time that it leaves.
const STAY_TIME: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct Outcome {
    id: String,
    sent: Instant,
    answered: Instant,
    /// VM that got the call.
    vm: SocketAddr,
    kind: CallKind,
    response: Response,
}

type Addresses = Arc<Mutex<Vec<SocketAddr>>>;

fn env_number(name: &str, fallback: u64) -> u64 {
    env::var(name).map_or(fallback, |text| text.parse().expect("a number"))
}

fn run_caller(seed: u64, caller: u64, vms: &Addresses, stop: &AtomicBool) -> Vec<Outcome> {
    let mut random = Pcg64::seed_from_u64(seed * 1_000 + caller);
    let mut outcomes = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let address = {
            let vms = vms.lock().expect("no caller panics");
            vms[random.random_range(0..vms.len())]
        };
        let id = format!("r{caller}-{}", outcomes.len());
        let kind = match random.random_range(0..6) {
            0 => CallKind::Booking,
            1 => CallKind::Lookup,
            2 | 3 => CallKind::Turn {
                previous: choose_previous(&outcomes, &mut random),
            },
            _ => CallKind::ModelCall {
                program: random.random_range(0..PROGRAMS),
                held: String::new(),
            },
        };
        let sent = Instant::now();
        let response = match &kind {
            CallKind::Turn { previous } => {
                let program = format!("c{caller}");
                let headers = kept_turn_headers(&id, &program, previous.as_deref());
                try_call(address, "POST /chat/x", &headers, &turn_input(&id))
            }
            CallKind::ModelCall { program, .. } => {
                let headers =
                    model_call_headers(&id, &format!("p{program}"), BUDGET_TOKENS, MAX_CALL_TOKENS);
                try_call(
                    address,
                    "POST /stream/x",
                    &headers,
                    &format!("prompt of {id}"),
                )
            }
            CallKind::Booking => try_call(address, "POST /book/x", &service_call_headers(&id), &id),
            CallKind::Lookup => try_call(address, "GET /look/x", &service_call_headers(&id), ""),
        };
        outcomes.push(Outcome {
            id,
            sent,
            answered: Instant::now(),
            vm: address,
            kind,
            response,
        });
        take_up_stream(&mut outcomes, vms, &mut random);
        thread::sleep(Duration::from_millis(random.random_range(0..10)));
    }
    outcomes
}

/// Goes on with the last call at other VMs, if it is a stream that broke.
fn take_up_stream(outcomes: &mut Vec<Outcome>, vms: &Addresses, random: &mut Pcg64) {
    let begun = outcomes.len() - 1;
    let stream = outcomes[begun].id.clone();
    let mut held = String::new();
    for attempt in 0..MAX_TAKE_UPS {
        let last = &outcomes[outcomes.len() - 1];
        let CallKind::ModelCall { program, .. } = last.kind else {
            return;
        };
        if last.response.status == 200 {
            held.push_str(whole_events(&last.response.body));
        }
        if last.response.is_complete && last.response.status == 200 || held.is_empty() {
            return;
        }
        let vm = {
            let vms = vms.lock().expect("no caller panics");
            vms[random.random_range(0..vms.len())]
        };
        let id = format!("{stream}-{attempt}");
        let mut headers =
            model_call_headers(&id, &format!("p{program}"), BUDGET_TOKENS, MAX_CALL_TOKENS);
        headers.extend(resumption_headers(&stream, event_count(&held)));
        let sent = Instant::now();
        let body = format!("prompt of {stream}");
        let response = try_call(vm, "POST /stream/x", &headers, &body);
        outcomes.push(Outcome {
            id,
            sent,
            answered: Instant::now(),
            vm,
            kind: CallKind::ModelCall {
                program,
                held: held.clone(),
            },
            response,
        });
    }
}

/// Part of a response body up to the end of its last whole event.
fn whole_events(body: &str) -> &str {
    body.rfind("\n\n").map_or("", |end| &body[..end + 2])
}

fn event_count(events: &str) -> u64 {
    events.matches("\n\n").count() as u64
}

/// Checks that what a caller got of a stream, with what it had before, is of one
/// version, in order, and whole if the response says so.
fn check_stream(seed: u64, outcome: &Outcome, held: &str) {
    let response = &outcome.response;
    let is_of = |version: &&str| {
        let whole = stream_after(version, 0);
        let Some(expected) = whole.strip_prefix(held) else {
            return false;
        };
        match response.is_complete {
            true => response.body == expected,
            false => expected.starts_with(&response.body),
        }
    };
    let is_expected = VERSIONS.iter().any(is_of);
    assert!(is_expected, "seed {seed}: after {held:?}: {outcome:?}");
}

/// Numbers of requests that took a stream up, and of those that went on.
fn count_take_ups(outcomes: &[Outcome]) -> (usize, usize) {
    let taken_up = outcomes.iter().filter(
        |outcome| matches!(&outcome.kind, CallKind::ModelCall { held, .. } if !held.is_empty()),
    );
    let gone_on = taken_up.clone().filter(|o| o.response.status == 200);
    (taken_up.count(), gone_on.count())
}

fn turn_input(id: &str) -> String {
    format!("input of {id};")
}

/// One of the caller's last complete turns; `None` for one of four, and before
/// the first.
fn choose_previous(outcomes: &[Outcome], random: &mut Pcg64) -> Option<String> {
    let complete = outcomes.iter().rev().filter(|outcome| {
        let is_turn = matches!(outcome.kind, CallKind::Turn { .. });
        is_turn && outcome.response.status == 200 && outcome.response.is_complete
    });
    let recent: Vec<_> = complete.take(3).collect();
    if recent.is_empty() || random.random_bool(0.25) {
        return None;
    }
    Some(recent[random.random_range(0..recent.len())].id.clone())
}

/// Checks that targets got whole chains, and that no turn that was answered
/// completely is unknown. Returns how many turns continued one that another VM
/// served, and how many were refused as uncertain.
fn check_turns(seed: u64, fleet: &Fleet, outcomes: &[Outcome]) -> (usize, usize) {
    let mut chains: HashMap<&str, (String, SocketAddr)> = HashMap::new();
    let (mut moved, mut uncertain) = (0, 0);
    // A caller's outcomes are in order, so a turn comes after its previous one.
    for outcome in outcomes {
        let CallKind::Turn { previous } = &outcome.kind else {
            continue;
        };
        let before = previous.as_deref().map(|previous| &chains[previous]);
        assert_ne!(outcome.response.status, 404, "seed {seed}: {outcome:?}");
        uncertain += usize::from(previous.is_some() && outcome.response.status == 503);
        let history = before.map_or("", |(history, _)| history);
        let expected = format!("{history}{}", turn_input(&outcome.id));
        let executions = fleet.engines.iter().flat_map(|engine| engine.executions());
        let own = executions.filter(|execution| execution.received.request_id == outcome.id);
        for execution in own {
            let body = String::from_utf8_lossy(&execution.body);
            assert_eq!(body, expected, "seed {seed}: {outcome:?}");
            moved += usize::from(before.is_some_and(|(_, vm)| *vm != outcome.vm));
        }
        let lines = outcome.response.body.lines();
        let data = lines.filter_map(|line| line.strip_prefix("data: "));
        let output: String = data.map(|data| format!("{data}\n")).collect();
        chains.insert(&outcome.id, (format!("{expected}{output}"), outcome.vm));
    }
    (moved, uncertain)
}

/// Begins bodies and doesn't end them, or sends requests without reading a response, on a
/// bounded number of connections.
fn run_staller(seed: u64, vms: &Addresses, stop: &AtomicBool) {
    let mut random = Pcg64::seed_from_u64(seed * 1_000 + CALLERS + 1);
    let headers = service_call_headers("stalled").join("\r\n");
    let head = format!(
        "POST /book/x HTTP/1.1\r\nHost: a.example\r\n{headers}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let chunk = vec![b'x'; STALLED_BYTES];
    // No route has this path, so that no target runs them.
    let filler = "v".repeat(UNREAD_HEAD_BYTES);
    let unread = format!("GET /none/x HTTP/1.1\r\nHost: a.example\r\nfiller: {filler}\r\n\r\n");
    let unread = unread.repeat(UNREAD_REQUESTS);
    let mut stalled = VecDeque::new();
    while !stop.load(Ordering::SeqCst) {
        let address = {
            let vms = vms.lock().expect("no caller panics");
            vms[random.random_range(0..vms.len())]
        };
        if let Ok(mut stream) = TcpStream::connect_timeout(&address, STALLER_INTERVAL) {
            let length = format!("{:x}\r\n", chunk.len());
            let parts = match random.random_bool(0.5) {
                true => [head.as_bytes(), length.as_bytes(), &chunk].concat(),
                false => unread.clone().into_bytes(),
            };
            // A VM may be stopped, suspended or closing the connection.
            let set = stream.set_write_timeout(Some(STALLER_INTERVAL));
            let _ = set.and_then(|()| stream.write_all(&parts));
            stalled.push_back(stream);
        }
        stalled.drain(..stalled.len().saturating_sub(MAX_STALLED));
        thread::sleep(STALLER_INTERVAL);
    }
}

/// Checks that no VM had more memory than its settings grant it.
fn check_memory(seed: u64, fleet: &Fleet) {
    for vm in &fleet.vms {
        let status = fs::read_to_string(format!("/proc/{}/status", vm.id()));
        let status = status.expect("the process lives");
        let most = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let most = most.and_then(|text| text.trim().strip_suffix(" kB"));
        let most_kb: u64 = most.and_then(|kb| kb.parse().ok()).expect("memory");
        assert!(most_kb <= MAX_MEMORY_KB, "seed {seed}: {most_kb} kB");
    }
}

/// Sends the request that crashes targets through random VMs.
fn run_crasher(seed: u64, vms: &Addresses, stop: &AtomicBool) {
    let mut random = Pcg64::seed_from_u64(seed * 1_000 + CALLERS);
    let body = "crasher".repeat(20);
    while !stop.load(Ordering::SeqCst) {
        let address = {
            let vms = vms.lock().expect("no caller panics");
            vms[random.random_range(0..vms.len())]
        };
        let headers = model_call_headers("crasher", "crasher", 1_000_000, MAX_CALL_TOKENS);
        try_call(address, &format!("POST {CRASHER}"), &headers, &body);
        thread::sleep(CRASHER_INTERVAL);
    }
}

/// Times at which a target started to run the request that crashes it.
fn crash_times(target: &Target) -> Vec<Instant> {
    let executions = target.executions().into_iter();
    executions
        .filter(|execution| execution.path == CRASHER)
        .map(|execution| execution.started)
        .collect()
}

/// Lists engines with a later start time after each crash, as they do when they
/// start again.
fn list_restarts(store: &Store, engines: &[(Target, TargetEntry)], stop: &AtomicBool) {
    let mut listed = vec![0; engines.len()];
    while !stop.load(Ordering::SeqCst) {
        for ((engine, entry), listed) in engines.iter().zip(&mut listed) {
            let crashes = crash_times(engine).len();
            if crashes > *listed {
                *listed = crashes;
                store.add_target(&TargetEntry {
                    started_unix_ms: Some(crashes as u64),
                    ..entry.clone()
                });
            }
        }
        thread::sleep(RESTART_CHECK_INTERVAL);
    }
}

/// Checks that the request that crashes targets was stopped; returns how many it
/// crashed.
fn check_crasher(seed: u64, fleet: &Fleet) -> usize {
    let mut crashes: Vec<_> = fleet.engines.iter().flat_map(crash_times).collect();
    crashes.sort();
    if let Some(third) = crashes.get(QUARANTINE_CRASHES - 1) {
        let known_at = *third + CRASH_SPREAD_TIME;
        let later = crashes.iter().filter(|crash| **crash > known_at).count();
        assert!(
            later <= MAX_LATER_CRASHES,
            "seed {seed}: {later} crashes after the quarantine"
        );
    }
    crashes.len()
}

/// Run of a desk that said from `since` to `until` that it leaves.
struct Departure {
    desk: usize,
    since: Instant,
    until: Instant,
}

/// Makes the desks leave in turn, and start again.
fn run_departures(
    store: &Store,
    desks: &[(Target, TargetEntry)],
    stop: &AtomicBool,
) -> Vec<Departure> {
    let mut departures = Vec::new();
    for number in 0.. {
        thread::sleep(STAY_TIME);
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let index = number % desks.len();
        let (desk, entry) = &desks[index];
        let since = Instant::now();
        desk.leave();
        thread::sleep(LEAVING_TIME);
        departures.push(Departure {
            desk: index,
            since,
            until: Instant::now(),
        });
        desk.restart();
        let started_unix_ms = desk.entry("desks", TargetStatus::Ready).started_unix_ms;
        store.add_target(&TargetEntry {
            started_unix_ms,
            ..entry.clone()
        });
    }
    departures
}

/// Checks that no VM sent a desk a call that came after the VM had passed on a
/// response in which the desk said that it leaves. Returns how many such responses
/// there were, and how many calls came after one at the same VM.
fn check_departures(
    seed: u64,
    fleet: &Fleet,
    departures: &[Departure],
    outcomes: &[Outcome],
) -> (usize, usize) {
    let (mut statements, mut later_calls) = (0, 0);
    for departure in departures {
        let executions = fleet.desks[departure.desk].executions();
        let of_run: HashMap<_, _> = executions
            .iter()
            .filter(|execution| (departure.since..departure.until).contains(&execution.started))
            .map(|execution| (execution.received.request_id.as_str(), execution))
            .collect();
        let ran = |outcome: &&Outcome| of_run.contains_key(outcome.id.as_str());
        let says_leaving = |outcome: &&Outcome| outcome.response.head.contains("server-leaving: 1");
        let statement_outcomes = outcomes.iter().filter(ran).filter(says_leaving);
        for statement in statement_outcomes {
            statements += 1;
            let is_later = |outcome: &&Outcome| {
                outcome.vm == statement.vm
                    && outcome.sent >= statement.answered
                    && outcome.sent < departure.until
            };
            for later in outcomes.iter().filter(is_later) {
                later_calls += 1;
                assert!(!ran(&later), "seed {seed}: after {statement:?}: {later:?}");
            }
        }
    }
    (statements, later_calls)
}

/// Injects one random fault, and removes it unless it ends by itself.
fn inject_fault(fleet: &mut Fleet, random: &mut Pcg64, version: &mut u64) {
    let index = random.random_range(0..fleet.vms.len());
    let duration = Duration::from_millis(random.random_range(50..600));
    match random.random_range(0..9) {
        0 => {
            fleet.vms[index].signal(Signal::SIGKILL);
            fleet.vms[index].wait();
            fleet.vms.remove(index);
            fleet.start_vm();
        }
        1 => {
            fleet.vms[index].signal(Signal::SIGSTOP);
            thread::sleep(duration);
            fleet.vms[index].signal(Signal::SIGCONT);
        }
        2 => {
            fleet.vms[index].signal(Signal::SIGTERM);
            let mut stopping = fleet.vms.remove(index);
            fleet.start_vm();
            assert!(stopping.wait(), "graceful shutdown");
        }
        3 => {
            fleet.store.set_fault(StoreFault::Unavailable);
            thread::sleep(duration);
            fleet.store.set_fault(StoreFault::None);
        }
        4 => fleet.store.set_fault(StoreFault::DropReply),
        5 => {
            let desk = fleet.engines.len() + random.random_range(0..2);
            fleet.list(desk, TargetStatus::Draining);
            thread::sleep(duration);
            fleet.list(desk, TargetStatus::Ready);
        }
        6 => {
            *version += 1;
            let new = CONFIG.replace("\"version\": 3", &format!("\"version\": {version}"));
            fleet.store.configure(&new);
        }
        7 => {
            let engine = &fleet.engines[random.random_range(0..2)];
            let fault = match random.random_range(0..3) {
                0 => TargetFault::TruncateAfter(random.random_range(0..EVENT_COUNT)),
                1 => TargetFault::WrongRequestId,
                _ => TargetFault::CrashOnRequest,
            };
            engine.set_fault(fault);
            thread::sleep(duration);
            engine.set_fault(failure(duration));
            thread::sleep(duration / 2);
            engine.set_fault(TargetFault::None);
        }
        _ => {
            let desk = &fleet.desks[random.random_range(0..2)];
            let fault = match random.random_range(0..3) {
                0 => TargetFault::DropResponse,
                1 => TargetFault::AtCapacity,
                _ => TargetFault::WrongRequestId,
            };
            desk.set_fault(fault);
            thread::sleep(duration);
            desk.set_fault(failure(duration));
            thread::sleep(duration / 2);
            desk.set_fault(TargetFault::None);
        }
    }
}

/// Failure with one of the statuses that callers would take for a refusal. It depends on
/// the duration of a fault, so that the random numbers of earlier seeds stay as they were.
fn failure(duration: Duration) -> TargetFault {
    let statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::INTERNAL_SERVER_ERROR,
    ];
    TargetFault::Fail(statuses[duration.as_millis() as usize % statuses.len()])
}

/// Injects a fault into a proxy, and in half of the cases another fault while it
/// lasts.
fn inject_link_fault(fleet: &mut Fleet, random: &mut Pcg64, version: &mut u64) {
    let proxy = fleet.proxies[random.random_range(0..fleet.proxies.len())].clone();
    let fault = match random.random_range(0..4) {
        0 => ProxyFault::Delayed(Duration::from_millis(random.random_range(5..200))),
        1 => ProxyFault::Reset,
        2 => ProxyFault::BlackholeResponses,
        _ => ProxyFault::Blackhole,
    };
    proxy.set_fault(fault);
    thread::sleep(Duration::from_millis(random.random_range(50..600)));
    if random.random_bool(0.5) && leaves_store_reachable(&proxy, fleet) {
        inject_fault(fleet, random, version);
    }
    proxy.set_fault(ProxyFault::None);
}

/// Cuts VMs off from all targets or from some: one VM, a failure domain, or all but one.
/// In half of the cases another fault is injected meanwhile.
fn inject_path_fault(fleet: &mut Fleet, random: &mut Pcg64, version: &mut u64) {
    let fault = match random.random_range(0..5) {
        0 => ProxyFault::Unreachable,
        1 => ProxyFault::Refused,
        2 => ProxyFault::RefusedOnUse,
        3 => ProxyFault::NewRefused,
        _ => ProxyFault::Paused,
    };
    let one = random.random_range(0..fleet.vms.len());
    let kind = random.random_range(0..3);
    let is_cut = |vm: &usize| match kind {
        0 => *vm == one,
        1 => *vm % PATH_DOMAINS == one % PATH_DOMAINS,
        _ => *vm != one,
    };
    let cut_vms = (0..fleet.vms.len()).filter(is_cut);
    let share = if random.random_bool(0.7) { 1.0 } else { 0.5 };
    let mut paths: Vec<FaultProxy> = cut_vms
        .flat_map(|vm| fleet.vms[vm].paths().to_vec())
        .collect();
    paths.retain(|_| random.random_bool(share));
    paths.iter().for_each(|path| path.set_fault(fault));
    thread::sleep(Duration::from_millis(random.random_range(200..1_500)));
    if random.random_bool(0.5) {
        inject_fault(fleet, random, version);
    }
    paths
        .iter()
        .for_each(|path| path.set_fault(ProxyFault::None));
}

/// Attempts that living VMs carried for others, with a response of the target.
fn carried(fleet: &Fleet) -> u64 {
    let texts = fleet.vms.iter().map(|vm| get(vm.peers, "/metrics").body);
    let counts = texts.filter_map(|text| {
        let name = "lagoon_carried_for_others_total{end=\"answered\"} ";
        let value = text.lines().find_map(|line| line.strip_prefix(name))?;
        value.parse::<u64>().ok()
    });
    counts.sum()
}

/// Whether VMs can start during the proxy's fault: they need the store for that.
fn leaves_store_reachable(proxy: &FaultProxy, fleet: &Fleet) -> bool {
    proxy.address != fleet.proxies[0].address
}

fn check_guarantees(seed: u64, fleet: &Fleet, outcomes: &[Outcome]) {
    let mut executions: HashMap<String, u64> = HashMap::new();
    let targets = fleet.engines.iter().chain(&fleet.desks);
    for execution in targets.flat_map(|target| target.executions()) {
        *executions
            .entry(execution.received.request_id.to_string())
            .or_default() += 1;
    }
    let mut tokens: HashMap<u64, u64> = HashMap::new();
    for outcome in outcomes {
        let ran = executions.get(&outcome.id).copied().unwrap_or(0);
        let response = &outcome.response;
        if matches!(response.status, 402 | 408 | 429 | 503) {
            assert_eq!(ran, 0, "seed {seed}: refused but executed: {outcome:?}");
        }
        match outcome.kind {
            CallKind::Booking => assert!(ran <= 1, "seed {seed}: executed twice: {outcome:?}"),
            CallKind::Lookup if response.status == 200 => {
                assert_eq!(response.body, "done", "seed {seed}")
            }
            CallKind::Lookup => {}
            CallKind::ModelCall { .. } | CallKind::Turn { .. } if response.status == 200 => {
                let held = match &outcome.kind {
                    CallKind::ModelCall { held, .. } => held.as_str(),
                    _ => "",
                };
                check_stream(seed, outcome, held);
                if let CallKind::ModelCall { program, .. } = outcome.kind {
                    let events = event_count(&response.body);
                    *tokens.entry(program).or_default() += events * TOKENS_PER_EVENT;
                }
            }
            CallKind::ModelCall { .. } | CallKind::Turn { .. } => {}
        }
    }
    for (program, tokens) in tokens {
        assert!(
            tokens <= BUDGET_TOKENS + MAX_CALL_TOKENS,
            "seed {seed}: p{program} received {tokens} tokens"
        );
    }
}

fn soak_fleet(has_proxies: bool) -> Fleet {
    Fleet::start_with(
        VMS,
        FleetOptions {
            has_proxies,
            engine_versions: VERSIONS,
            ..FleetOptions::default()
        },
    )
}

/// Failure domains of a fleet whose VMs have paths of their own.
const PATH_DOMAINS: usize = 2;

fn path_fleet() -> Fleet {
    Fleet::start_with(
        VMS + 1,
        FleetOptions {
            domains: PATH_DOMAINS,
            has_paths: true,
            engine_versions: VERSIONS,
            ..FleetOptions::default()
        },
    )
}

fn run_soak(seed: u64, faults: u64, mut fleet: Fleet) {
    let vms: Addresses = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut random = Pcg64::seed_from_u64(seed);
    let mut version = 3;
    let update_addresses = |fleet: &Fleet| {
        let callers = fleet.vms.iter().map(|vm| vm.callers);
        *vms.lock().expect("no caller panics") = callers.collect();
    };
    update_addresses(&fleet);
    for engine in &fleet.engines {
        engine.crash_on_path(CRASHER, Crash::Closed);
    }
    let crasher = {
        let (vms, stop) = (Arc::clone(&vms), Arc::clone(&stop));
        thread::spawn(move || run_crasher(seed, &vms, &stop))
    };
    let staller = {
        let (vms, stop) = (Arc::clone(&vms), Arc::clone(&stop));
        thread::spawn(move || run_staller(seed, &vms, &stop))
    };
    let restarts = {
        let (store, stop) = (fleet.store.clone(), Arc::clone(&stop));
        let engines = fleet.engines.iter().enumerate();
        let engines: Vec<_> = engines
            .map(|(index, engine)| (engine.clone(), fleet.entry(index, TargetStatus::Ready)))
            .collect();
        thread::spawn(move || list_restarts(&store, &engines, &stop))
    };
    let departures = {
        let (store, stop) = (fleet.store.clone(), Arc::clone(&stop));
        let desks = fleet.desks.iter().enumerate();
        let entry = |index| fleet.entry(fleet.engines.len() + index, TargetStatus::Ready);
        let desks: Vec<_> = desks
            .map(|(index, desk)| (desk.clone(), entry(index)))
            .collect();
        thread::spawn(move || run_departures(&store, &desks, &stop))
    };
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (vms, stop) = (Arc::clone(&vms), Arc::clone(&stop));
            thread::spawn(move || run_caller(seed, caller, &vms, &stop))
        })
        .collect();
    for _ in 0..faults {
        if !fleet.vms[0].paths().is_empty() && random.random_bool(0.6) {
            inject_path_fault(&mut fleet, &mut random, &mut version);
        } else if !fleet.proxies.is_empty() && random.random_bool(0.6) {
            inject_link_fault(&mut fleet, &mut random, &mut version);
        } else {
            inject_fault(&mut fleet, &mut random, &mut version);
        }
        update_addresses(&fleet);
        thread::sleep(FAULT_INTERVAL);
    }
    if !fleet.proxies.is_empty() {
        // Lets calls on blackholed connections reach their timeout.
        thread::sleep(MAX_ROUTE_TIMEOUT);
    }
    stop.store(true, Ordering::SeqCst);
    crasher.join().expect("caller");
    staller.join().expect("stalling caller");
    restarts.join().expect("list of restarts");
    let departures = departures.join().expect("departures");
    let outcomes = callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("caller"));
    let outcomes: Vec<Outcome> = outcomes.collect();
    assert!(outcomes.len() > 20, "seed {seed}: too few calls");
    check_guarantees(seed, &fleet, &outcomes);
    check_memory(seed, &fleet);
    let (taken_up, gone_on) = count_take_ups(&outcomes);
    println!("seed {seed}: {taken_up} streams taken up, {gone_on} went on");
    let crashes = check_crasher(seed, &fleet);
    let (moved, uncertain) = check_turns(seed, &fleet, &outcomes);
    println!("seed {seed}: {moved} turns continued at another VM, {uncertain} uncertain");
    println!("seed {seed}: {} attempts carried", carried(&fleet));
    println!("seed {seed}: one request crashed targets {crashes} times");
    let (statements, later) = check_departures(seed, &fleet, &departures, &outcomes);
    println!("seed {seed}: {statements} responses of leaving desks, {later} calls after them");
    for line in ["POST /book/x", "GET /look/x"] {
        wait_until("service after the faults", || {
            call(fleet.callers(), line, &service_call_headers("after"), "").status == 200
        });
    }
    let headers = model_call_headers("after", "after", BUDGET_TOKENS, MAX_CALL_TOKENS);
    wait_until("a stream after the faults", || {
        let body = call(fleet.callers(), "POST /stream/x", &headers, "p").body;
        VERSIONS
            .iter()
            .any(|version| body == stream_after(version, 0))
    });
}

fn seeds() -> std::ops::Range<u64> {
    let first = env_number("SOAK_SEED", DEFAULT_SEED);
    first..first + env_number("SOAKS", DEFAULT_RUNS)
}

/// Seeds that failed once. 107: a stream whose framing ended correctly within
/// its last event was taken for complete. 405: twelve faults that end at once
/// left callers no time for their calls.
const REGRESSION_SEEDS: [u64; 2] = [107, 405];

/// Seeds with network faults that failed once. 601: all callers waited for their
/// routes' timeouts on blackholed connections, and the run ended before they had
/// made 20 calls; later, a VM that had read the start of a desk late took the run
/// that had said that it leaves for its successor.
const LINK_REGRESSION_SEEDS: [u64; 1] = [601];

#[test]
fn soak_link_regression_seeds_pass() {
    for seed in LINK_REGRESSION_SEEDS {
        run_soak(seed, DEFAULT_FAULTS, soak_fleet(true));
    }
}

#[test]
fn soak_regression_seeds_pass() {
    for seed in REGRESSION_SEEDS {
        run_soak(seed, DEFAULT_FAULTS, soak_fleet(false));
    }
}

#[test]
fn soak_random_faults_keep_guarantees() {
    for seed in seeds() {
        run_soak(
            seed,
            env_number("SOAK_FAULTS", DEFAULT_FAULTS),
            soak_fleet(false),
        );
    }
}

#[test]
fn soak_link_faults_keep_guarantees() {
    for seed in seeds() {
        let fleet = soak_fleet(true);
        run_soak(seed, env_number("SOAK_FAULTS", DEFAULT_FAULTS), fleet);
    }
}

#[test]
fn soak_cut_paths_keep_guarantees() {
    for seed in seeds() {
        let fleet = path_fleet();
        run_soak(seed, env_number("SOAK_FAULTS", DEFAULT_FAULTS), fleet);
    }
}

//! Targets of several software versions in one service, whose streams don't fit
//! together: VMs that resume streams, and VMs that die with open ones.

mod fleet;

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use fleet::{call, send_request, try_call, wait_until, Fleet, Response, CONFIG};
use lagoon_adapter::standin::{model_call_headers, resumption_headers};
use lagoon_gateway::TargetStatus;
use lagoon_standin::fleet::{Target, TargetFault};
use nix::sys::signal::Signal;

/// Events of a stream, which lasts half a second.
const EVENT_COUNT: u64 = 10;
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

const BUDGET_TOKENS: u64 = 10_000;
const MAX_OUTPUT_TOKENS: u64 = 200;

/// Streams that are open when a VM is killed.
const OPEN_STREAMS: usize = 12;

/// Time in which a request that can't be served is refused; its deadline is 5 s.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Refusals that a caller accepts before it gives a stream up.
const MAX_REFUSALS: usize = 2;

/// Fleet whose engines are two targets of each of these versions.
struct VersionFleet {
    fleet: Fleet,
    engines: Vec<Target>,
}

impl VersionFleet {
    fn start(vms: usize, domains: usize, versions: &[&str]) -> VersionFleet {
        let fleet = Fleet::start_in_domains(vms, domains);
        // Each interruption goes to another target.
        let streams = "\"service\": \"engines\", \"max_attempts\": ";
        let config = CONFIG.replace("\"version\": 3", "\"version\": 4");
        let config = config.replace(&format!("{streams}1"), &format!("{streams}4"));
        fleet.store.configure(&config);
        (0..2).for_each(|index| fleet.list(index, TargetStatus::Draining));
        let engines = versions.iter().flat_map(|version| {
            ["a", "b"].map(|name| {
                let id = format!("{version}{name}");
                let engine = Target::start(&id, EVENT_COUNT, EVENT_INTERVAL);
                engine.set_software_version(version);
                engine
            })
        });
        let versions = VersionFleet {
            engines: engines.collect(),
            fleet,
        };
        versions.list(&versions.engines, TargetStatus::Ready);
        for vm in &versions.fleet.vms {
            wait_until("the engines and the configuration at the VM", || {
                let metrics = fleet::get(vm.peers, "/metrics").body;
                metrics.contains(&format!("lagoon_targets {}\n", versions.engines.len() + 4))
                    && metrics.contains("lagoon_config_version 4\n")
            });
        }
        versions
    }

    fn list(&self, engines: &[Target], status: TargetStatus) {
        for engine in engines {
            self.fleet
                .store
                .add_target(&engine.entry("engines", status));
        }
    }

    /// Removes the rows of killed VMs, and starts a VM in their place.
    fn replace_killed_vm(&mut self) {
        self.fleet.remove_dead_rows();
        self.fleet.start_vm();
        self.fleet.wait_for_peers();
    }

    fn callers(&self) -> Vec<SocketAddr> {
        self.fleet.vms.iter().map(|vm| vm.callers).collect()
    }

    /// Makes one target of each version reject requests, so that streams which began
    /// there can go on only at another target.
    fn fill_first_targets(&self) {
        let first = self.engines.iter().step_by(2);
        first.for_each(|engine| engine.set_fault(TargetFault::AtCapacity));
    }

    fn clear_faults(&self) {
        let engines = self.engines.iter();
        engines.for_each(|engine| engine.set_fault(TargetFault::None));
    }

    /// Runs that engines started with an event to resume after.
    fn resumptions(&self) -> usize {
        let executions = self.engines.iter().flat_map(Target::executions);
        let is_resumed = |execution: &lagoon_standin::fleet::Execution| {
            execution.received.last_event_id.is_some()
        };
        executions.filter(is_resumed).count()
    }
}

/// What a caller holds of a stream, over its tries.
#[derive(Default)]
struct Held {
    /// Id and version of each event.
    events: Vec<(u64, String)>,
    is_complete: bool,
}

impl Held {
    /// Adds the whole events of a response body, which may end within one.
    fn add(&mut self, body: &str) {
        for event in body.split_inclusive("\n\n") {
            let Some(event) = event.strip_suffix("\n\n") else {
                return;
            };
            let (id, data) = event.split_once('\n').expect("id and data");
            let id = id.strip_prefix("id: ").expect("id").parse();
            let data = data.strip_prefix("data: ").expect("data");
            let version = data.split(' ').next().expect("version");
            self.events.push((id.expect("number"), version.to_owned()));
        }
    }

    fn last_event_id(&self) -> u64 {
        self.events.last().map_or(0, |(id, _)| *id)
    }

    fn add_response(&mut self, response: &Response) {
        self.add(&response.body);
        self.is_complete = response.is_complete;
    }

    /// Fails if events are of two versions, or one is missing or there twice.
    fn check(&self) {
        let mut versions: Vec<&str> = self.events.iter().map(|(_, v)| v.as_str()).collect();
        versions.dedup();
        assert!(versions.len() <= 1, "{:?}", self.events);
        let ids = self.events.iter().map(|(id, _)| *id);
        assert!(
            ids.eq(1..=self.events.len() as u64),
            "events in order: {:?}",
            self.events
        );
    }
}

fn headers(request: &str) -> Vec<String> {
    model_call_headers(request, request, BUDGET_TOKENS, MAX_OUTPUT_TOKENS)
}

fn body_of(stream: &str) -> String {
    format!("prompt of {stream}, longer than the shortest that tells requests apart")
}

fn take_up(vm: SocketAddr, request: &str, stream: &str, last_event_id: u64) -> Response {
    let mut headers = model_call_headers(request, stream, BUDGET_TOKENS, MAX_OUTPUT_TOKENS);
    headers.extend(resumption_headers(stream, last_event_id));
    try_call(vm, "POST /stream/x", &headers, &body_of(stream))
}

/// Reads a response until it has this text, or ends.
fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut read = Vec::new();
    let mut buffer = [0; 4_096];
    while !String::from_utf8_lossy(&read).contains(text) {
        match stream.read(&mut buffer) {
            Ok(bytes) if bytes > 0 => read.extend_from_slice(&buffer[..bytes]),
            _ => break,
        }
    }
    String::from_utf8(read).expect("text")
}

/// Events in the chunks of a response that was cut off.
fn events_of(text: &str) -> String {
    let lines = text.split("\r\n").filter(|line| line.starts_with("id: "));
    lines.collect()
}

/// Begins streams at a VM, kills it while they are open, and takes each up at the
/// others in turn. Returns what the callers hold.
fn kill_with_open_streams(versions: &mut VersionFleet, vm: usize, round: usize) -> Vec<Held> {
    let killed = versions.fleet.vms.remove(vm);
    let others = versions.callers();
    let mut streams: Vec<_> = (0..OPEN_STREAMS)
        .map(|index| {
            let stream = format!("r{round}x{index}");
            let body = body_of(&stream);
            let connection = send_request(
                killed.callers,
                "POST /stream/x",
                "a.example",
                &headers(&stream),
                &body,
            );
            (stream, connection)
        })
        .collect();
    let begun = streams.iter_mut().map(|(_, connection)| {
        let begun = read_until(connection, "id: 2\n");
        assert!(begun.contains("id: 2\n"), "{begun}");
        begun
    });
    let begun: Vec<String> = begun.collect();
    killed.signal(Signal::SIGKILL);
    versions.fill_first_targets();
    let streams = streams.into_iter().zip(begun).enumerate();
    let callers = streams.map(|(index, ((stream, mut connection), mut text))| {
        let others = others.clone();
        thread::spawn(move || {
            let mut held = Held::default();
            text.push_str(&read_until(&mut connection, "never"));
            held.add(&events_of(&text));
            for refusals in 0..=MAX_REFUSALS {
                let request = format!("{stream}try{refusals}");
                let vm = others[(index + refusals) % others.len()];
                let response = take_up(vm, &request, &stream, held.last_event_id());
                if response.status == 200 {
                    held.add_response(&response);
                    break;
                }
                assert_eq!(response.status, 503, "{}", response.head);
            }
            held
        })
    });
    let callers: Vec<_> = callers.collect();
    let held = callers
        .into_iter()
        .map(|caller| caller.join().expect("caller"))
        .collect();
    versions.clear_faults();
    held
}

// Guards against a VM that resumes a stream at a target of another version.
#[test]
fn interrupted_stream_is_resumed_only_at_its_version() {
    let versions = VersionFleet::start(1, 1, &["v1", "v2"]);
    for number in 0..12 {
        for engine in &versions.engines {
            engine.set_fault(TargetFault::TruncateAfter(2));
        }
        let stream = format!("r{number}");
        let response = call(
            versions.fleet.callers(),
            "POST /stream/x",
            &headers(&stream),
            &body_of(&stream),
        );
        let mut held = Held::default();
        held.add_response(&response);
        held.check();
        assert!(held.is_complete, "a target of the version is free");
    }
    assert!(versions.resumptions() >= 12);
}

// Guards against a VM that takes up a dead VM's stream at a target of another version,
// and against one that takes up none.
#[test]
fn stream_of_a_dead_vm_goes_on_at_its_version() {
    let mut versions = VersionFleet::start(4, 2, &["v1", "v2", "v3"]);
    let mut held = Vec::new();
    for round in 0..4 {
        held.extend(kill_with_open_streams(&mut versions, round % 4, round));
        versions.replace_killed_vm();
    }
    held.iter().for_each(Held::check);
    let gone_on = held.iter().filter(|held| held.is_complete).count();
    // At least two streams in three have a record at a VM that lives.
    assert!(gone_on * 3 >= held.len() * 2, "{gone_on} of {}", held.len());
}

// Guards against a stream that is taken up twice, at VMs that die one after the other,
// and goes on at another version.
#[test]
fn stream_that_is_taken_up_twice_stays_at_its_version() {
    let mut versions = VersionFleet::start(4, 2, &["v1", "v2"]);
    let mut gone_on = 0;
    for number in 0..4 {
        let stream = format!("r{number}");
        let mut held = Held::default();
        for attempt in 0..3 {
            let vm = versions.fleet.vms.remove(0);
            let request = if attempt == 0 {
                stream.clone()
            } else {
                format!("{stream}try{attempt}")
            };
            let mut headers =
                model_call_headers(&request, &stream, BUDGET_TOKENS, MAX_OUTPUT_TOKENS);
            if attempt > 0 {
                headers.extend(resumption_headers(&stream, held.last_event_id()));
            }
            let body = body_of(&stream);
            let mut connection =
                send_request(vm.callers, "POST /stream/x", "a.example", &headers, &body);
            let next = format!("id: {}\n", held.last_event_id() + 2);
            let mut text = read_until(&mut connection, &next);
            vm.signal(Signal::SIGKILL);
            versions.clear_faults();
            if attempt == 0 {
                versions.fill_first_targets();
            }
            text.push_str(&read_until(&mut connection, "never"));
            held.add(&events_of(&text));
            gone_on += usize::from(attempt == 2 && text.starts_with("HTTP/1.1 200"));
            versions.replace_killed_vm();
        }
        held.check();
    }
    assert!(gone_on >= 2, "{gone_on} of 4");
}

// Guards against a VM that guesses the version of a stream of which nobody knows, or
// waits for the deadline.
#[test]
fn stream_of_unknown_version_is_refused_as_not_executed() {
    let versions = VersionFleet::start(2, 1, &["v1", "v2"]);
    let huge = "f".repeat(4_000);
    for stream in ["nobody", "", "two words, and more", &huge] {
        let started = Instant::now();
        let response = take_up(versions.fleet.callers(), "r1", stream, 3);
        assert_eq!(response.status, 503, "{}", response.head);
        assert!(response.head.contains("retry-after: "));
        assert!(started.elapsed() < REFUSAL_TIME);
    }
    let mut headers = headers("r2");
    headers.push("Last-Event-Id: 3".to_owned());
    let response = call(
        versions.fleet.callers(),
        "POST /stream/x",
        &headers,
        &body_of("r2"),
    );
    assert_eq!(response.status, 503, "no stream is named");
    assert_eq!(versions.resumptions(), 0);
}

// Guards against a caller that gets at another's stream by its id.
#[test]
fn stream_of_another_content_is_not_taken_up() {
    let versions = VersionFleet::start(2, 1, &["v1", "v2"]);
    let vm = versions.fleet.callers();
    let begun = call(vm, "POST /stream/x", &headers("r1"), &body_of("r1"));
    assert_eq!(begun.status, 200);
    let mut other = headers("r2");
    other.extend(resumption_headers("r1", 3));
    let response = call(vm, "POST /stream/x", &other, &body_of("r2"));
    assert_eq!(response.status, 503);
    assert_eq!(take_up(vm, "r3", "r1", 3).status, 200, "its own caller");
}

// Guards against a stream that waits for its deadline, or goes on at another version,
// once the targets of its version have left.
#[test]
fn stream_whose_version_has_left_is_refused_at_once() {
    let versions = VersionFleet::start(2, 1, &["v1"]);
    let begun = call(
        versions.fleet.callers(),
        "POST /stream/x",
        &headers("r1"),
        &body_of("r1"),
    );
    assert_eq!(begun.status, 200);
    let newer = Target::start("v2a", EVENT_COUNT, EVENT_INTERVAL);
    newer.set_software_version("v2");
    versions.list(std::slice::from_ref(&newer), TargetStatus::Ready);
    versions.list(&versions.engines, TargetStatus::Draining);
    let callers = versions.callers();
    wait_until("the release at all VMs", || {
        let mut runs = callers.iter().map(|vm| {
            let request = headers("r2");
            call(*vm, "POST /stream/x", &request, &body_of("r2")).body
        });
        runs.all(|body| body.contains("v2"))
    });
    for (number, vm) in callers.iter().enumerate() {
        let started = Instant::now();
        let response = take_up(*vm, &format!("r1try{number}"), "r1", 3);
        assert_eq!(response.status, 503, "{}", response.head);
        assert!(response.head.contains("retry-after: "));
        assert!(started.elapsed() < REFUSAL_TIME);
    }
    let executions = newer.executions();
    let mut resumed = executions
        .iter()
        .filter(|execution| execution.received.last_event_id.is_some());
    assert!(resumed.next().is_none());
}

// Guards against refusals where the service has had one version for longer than a
// stream lasts, and needs no record: also of callers that name no stream, and by a VM
// that has just started.
#[test]
fn stream_of_the_only_version_goes_on_without_a_record() {
    let mut versions = VersionFleet::start(2, 1, &["v1"]);
    let vm = versions.fleet.callers();
    let take_up_unnamed = |vm: SocketAddr| {
        let mut headers = headers("r1");
        headers.push("Last-Event-Id: 3".to_owned());
        call(vm, "POST /stream/x", &headers, &body_of("r1")).status
    };
    wait_until("a resumed stream", || {
        take_up(vm, "r1", "nobody", 3).status == 200
    });
    assert_eq!(take_up_unnamed(vm), 200);
    versions.fleet.start_vm();
    versions.fleet.wait_for_peers();
    let started = versions.callers()[2];
    assert_eq!(take_up(started, "r1", "nobody", 3).status, 200);
    assert_eq!(take_up_unnamed(started), 200);
}

//! Quotas of client accounts over several daemons as processes.

mod fleet;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use fleet::{get, try_call, wait_for_metric, wait_until, Fleet, FleetOptions, CONFIG};
use lagoon_adapter::standin::{key_header, service_call_headers, with_quotas};
use lagoon_standin::fleet::{ProxyFault, TargetFault};
use nix::sys::signal::Signal;

/// Length of the windows in which requests are counted, and what they may exceed a quota
/// by: the defaults of the settings.
const WINDOW: Duration = Duration::from_secs(5);
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Time until buckets and stocks have begun.
const START: Duration = Duration::from_secs(3);

/// Time for which callers call in a test.
const LOAD_TIME: Duration = Duration::from_secs(13);

/// Pause of a caller between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(10);

const KEY: &str = "acme";

/// Requests that may arrive at targets in a window.
fn allowed(rate_per_s: f64, burst: f64) -> usize {
    let quota = rate_per_s * WINDOW.as_secs_f64() + burst;
    (quota * (1.0 + EXCESS) + SLACK) as usize
}

/// Times at which requests arrived at any target, in order.
fn arrivals(fleet: &Fleet) -> Vec<Instant> {
    let mut arrivals: Vec<Instant> = fleet
        .desks
        .iter()
        .flat_map(|desk| desk.arrivals())
        .collect();
    arrivals.sort();
    arrivals
}

fn most_in_window(fleet: &Fleet) -> usize {
    let arrivals = arrivals(fleet);
    let windows = arrivals.iter().enumerate().map(|(index, start)| {
        let rest = &arrivals[index..];
        rest.partition_point(|at| *at < *start + WINDOW)
    });
    windows.max().unwrap_or_default()
}

/// Share of a rate that was used between two times.
fn used_share(fleet: &Fleet, rate_per_s: f64, from: Instant, until: Instant) -> f64 {
    let arrivals = arrivals(fleet);
    let used = arrivals.iter().filter(|at| (from..until).contains(*at));
    used.count() as f64 / (rate_per_s * (until - from).as_secs_f64())
}

fn start(vms: usize, domains: usize, rate_per_s: f64, burst: f64) -> Fleet {
    let options = FleetOptions {
        domains,
        ..FleetOptions::default()
    };
    start_with(vms, options, rate_per_s, burst)
}

fn start_with(vms: usize, options: FleetOptions, rate_per_s: f64, burst: f64) -> Fleet {
    let fleet = Fleet::start_with(vms, options);
    let quotas = [(KEY, rate_per_s, burst), ("free", 0.0, 0.0)];
    let config = with_quotas(CONFIG, 4, &quotas).expect("is a configuration");
    fleet.store.configure(&config);
    for vm in &fleet.vms {
        wait_until("the configuration", || {
            let metrics = get(vm.peers, "/metrics").body;
            metrics.contains("\nlagoon_config_version 4\n")
        });
    }
    fleet
}

fn headers(key: &str) -> Vec<String> {
    let mut headers = service_call_headers("r");
    headers.push(key_header(key));
    headers
}

/// Responses by status.
#[derive(Debug, Default)]
struct Responses {
    answered: AtomicUsize,
    at_limit: AtomicUsize,
    unavailable: AtomicUsize,
    others: AtomicUsize,
    /// Those of `others`, by status; 0 stands for a connection without a response.
    other_statuses: Mutex<BTreeMap<u16, usize>>,
}

/// Calls each of the VMs from `callers` callers until the time is over, and does
/// `meanwhile` beside. Each refusal must tell when to come back.
fn call_all<F>(vms: &[SocketAddr], callers: usize, meanwhile: F) -> Responses
where
    F: FnOnce(),
{
    let responses = Responses::default();
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for vm in vms.iter().flat_map(|vm| vec![*vm; callers]) {
            let (responses, is_over) = (&responses, &is_over);
            scope.spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let response = try_call(vm, "GET /look/x", &headers(KEY), "");
                    let count = match response.status {
                        200 => &responses.answered,
                        429 => &responses.at_limit,
                        503 => &responses.unavailable,
                        status => {
                            let mut statuses = responses.other_statuses.lock().expect("a map");
                            *statuses.entry(status).or_default() += 1;
                            &responses.others
                        }
                    };
                    if matches!(response.status, 429 | 503) {
                        let head = &response.head;
                        assert!(head.contains("retry-after: 0."), "{head}");
                    }
                    count.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(CALL_PAUSE);
                }
            });
        }
        let end = Instant::now() + LOAD_TIME;
        meanwhile();
        thread::sleep(end.saturating_duration_since(Instant::now()));
        is_over.store(true, Ordering::Relaxed);
    });
    responses
}

fn callers(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.vms.iter().map(|vm| vm.callers).collect()
}

fn assert_within(fleet: &Fleet, rate_per_s: f64, burst: f64) {
    let most = most_in_window(fleet);
    let allowed = allowed(rate_per_s, burst);
    println!("{most} in a window, {allowed} allowed");
    assert!(most <= allowed, "{most} in a window, {allowed} allowed");
}

// Guards against VMs that serve an account as much as each of them may alone, against a
// limit that isn't used, and against refused requests that run.
#[test]
fn sum_over_vms_stays_within_the_quota_and_uses_it() {
    let fleet = start(4, 2, 40.0, 40.0);
    let from = Instant::now() + START;
    let responses = call_all(&callers(&fleet), 3, || {});
    assert_within(&fleet, 40.0, 40.0);
    let until = from + LOAD_TIME - START;
    let used = used_share(&fleet, 40.0, from, until);
    println!("{used:.2} of the rate, {responses:?}");
    assert!(used >= 0.9, "{used} of the rate");
    let answered = responses.answered.into_inner();
    assert_eq!(
        arrivals(&fleet).len(),
        answered,
        "what is refused isn't run"
    );
    assert!(responses.at_limit.into_inner() > 100);
    assert_eq!(responses.others.into_inner(), 0);
}

// Guards against a split by VM or domain: the VM that has all callers is to get what the
// others don't use.
#[test]
fn quota_is_used_by_the_vm_that_has_the_callers() {
    let fleet = start(4, 2, 30.0, 30.0);
    let from = Instant::now() + START;
    let responses = call_all(&callers(&fleet)[..1], 8, || {});
    assert_within(&fleet, 30.0, 30.0);
    let until = from + LOAD_TIME - START;
    let used = used_share(&fleet, 30.0, from, until);
    println!("{used:.2} of the rate, {responses:?}");
    assert!(used >= 0.9, "{used} of the rate");
}

// Guards against VMs that exceed a quota around the restart and the suspension of others.
#[test]
fn quota_holds_while_vms_are_killed_suspended_and_join() {
    let mut fleet = start(6, 2, 40.0, 40.0);
    let vms = callers(&fleet);
    let responses = call_all(&vms, 2, || {
        thread::sleep(START);
        fleet.vms.remove(0);
        thread::sleep(Duration::from_secs(1));
        fleet.vms[0].signal(Signal::SIGSTOP);
        thread::sleep(Duration::from_millis(1_500));
        fleet.vms[0].signal(Signal::SIGCONT);
        thread::sleep(Duration::from_secs(1));
        fleet.start_vm();
        thread::sleep(Duration::from_secs(1));
        fleet.vms.remove(1);
    });
    println!("{responses:?}");
    assert_within(&fleet, 40.0, 40.0);
    assert!(responses.answered.into_inner() > 200);
}

// Guards against tokens that are used up by attempts that targets refused.
#[test]
fn refused_attempts_do_not_count() {
    let fleet = start(2, 1, 10.0, 10.0);
    let desks = &fleet.desks;
    desks
        .iter()
        .for_each(|desk| desk.set_fault(TargetFault::AtCapacity));
    thread::sleep(START);
    let responses = call_all(&callers(&fleet)[..1], 1, || {});
    println!("{responses:?}");
    let refused = responses.unavailable.into_inner();
    // Tokens for each of them would suffice for 140 requests.
    assert!(refused >= 250, "{refused} refused by targets");
    let at_limit = responses.at_limit.into_inner();
    assert!(
        at_limit * 10 <= refused,
        "{at_limit} at the limit, {refused} refused by targets"
    );
}

// Guards against carried attempts without a token, and tokens that are used up by VMs
// that don't carry.
#[test]
fn carried_attempts_count_once() {
    let options = FleetOptions {
        has_paths: true,
        ..FleetOptions::default()
    };
    let fleet = start_with(3, options, 30.0, 30.0);
    fleet.set_path_fault(0, ProxyFault::Refused);
    let from = Instant::now() + START;
    let responses = call_all(&callers(&fleet)[..1], 6, || {});
    assert_within(&fleet, 30.0, 30.0);
    let until = from + LOAD_TIME - START;
    let used = used_share(&fleet, 30.0, from, until);
    println!("{used:.2} of the rate, {responses:?}");
    assert!(used >= 0.9, "{used} of the rate");
    assert!(responses.at_limit.into_inner() > 100);
}

// Guards against messages, waits and refusals for accounts without a rate.
#[test]
fn account_without_a_rate_needs_no_tokens() {
    let fleet = start(2, 1, 1.0, 1.0);
    for vm in &fleet.vms {
        for _ in 0..20 {
            let response = try_call(vm.callers, "GET /look/x", &headers("free"), "");
            assert_eq!(response.status, 200);
        }
        let metrics = get(vm.peers, "/metrics").body;
        assert!(
            !metrics.contains("lagoon_quota_requests_total{"),
            "{metrics}"
        );
    }
}

// Guards against a refusal of which an operator can't see the reason.
#[test]
fn refusal_is_logged_with_the_quota() {
    let fleet = start(1, 1, 0.5, 0.0);
    let mut refused = false;
    wait_until("a refusal", || {
        refused = try_call(fleet.callers(), "GET /look/x", &headers(KEY), "").status == 429;
        refused
    });
    let line = fleet.wait_for_line(&fleet.vms[0], &["account is at its limit"]);
    for field in ["acme", "rate_per_s", "retry_ms", "burst"] {
        assert!(line.contains(field), "{line}");
    }
    wait_for_metric(
        fleet.vms[0].peers,
        "lagoon_quota_tokens_total{outcome=\"refused\"}",
    );
}

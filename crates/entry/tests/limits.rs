//! Targets that state in their responses how many requests per second they take from
//! all VMs together.

mod fleet;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use fleet::{call, complete_stream, try_call, wait_until, Fleet, Response};
use lagoon_adapter::standin::{model_call_headers, service_call_headers};
use lagoon_standin::fleet::{Target, TargetFault};

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after which VMs keep a limit that a target states.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// Time for which callers call in a test.
const LOAD_TIME: Duration = Duration::from_secs(12);

/// Pause of a caller between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(5);

/// Requests that a target with this limit may get in a window.
fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Largest number of requests that reached the target in a window after `from`.
fn most_in_window(target: &Target, from: Instant) -> usize {
    let arrivals = target.arrivals();
    let counted: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= from).collect();
    let ends = counted.iter().map(|start| {
        let in_window = counted
            .iter()
            .filter(|at| **at >= *start && **at < *start + WINDOW);
        in_window.count()
    });
    ends.max().unwrap_or_default()
}

fn look(vm: SocketAddr) -> Response {
    call(vm, "GET /look/x", &service_call_headers("r"), "")
}

/// Calls each of the VMs from two callers until the time is over, and does
/// `meanwhile` beside. Returns the responses by status: 200, 503, others.
fn call_all<F>(vms: &[SocketAddr], meanwhile: F) -> [usize; 3]
where
    F: FnOnce(),
{
    let counts = [const { AtomicUsize::new(0) }; 3];
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for vm in vms.iter().chain(vms) {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let headers = service_call_headers("r");
                    let response = try_call(*vm, "GET /look/x", &headers, "");
                    let index = match response.status {
                        200 => 0,
                        503 => 1,
                        _ => 2,
                    };
                    counts[index].fetch_add(1, Ordering::Relaxed);
                    thread::sleep(CALL_PAUSE);
                }
            });
        }
        let end = Instant::now() + LOAD_TIME;
        meanwhile();
        thread::sleep(end.saturating_duration_since(Instant::now()));
        is_over.store(true, Ordering::Relaxed);
    });
    counts.map(AtomicUsize::into_inner)
}

fn callers(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.vms.iter().map(|vm| vm.callers).collect()
}

// Guards against VMs that send a limited target as much as before, each on its own.
#[test]
fn limited_target_gets_no_more_than_its_limit_from_all_vms() {
    let fleet = Fleet::start(3);
    let limited = &fleet.desks[0];
    limited.limit(Some(2.0));
    let from = Instant::now() + STABLE_TIME;
    let [answered, refused, others] = call_all(&callers(&fleet), || {});
    let most = most_in_window(limited, from);
    assert!(most <= allowed(2.0), "{most} in 4 s");
    assert!(most > 0, "a limited target is still used");
    assert!(answered > 0);
    assert_eq!((refused, others), (0, 0), "the other target takes the rest");
}

// Guards against a split by the number of VMs: the VM that has all callers is to use
// what the others don't.
#[test]
fn limit_is_used_by_the_vm_that_has_the_callers() {
    let fleet = Fleet::start(3);
    fleet.desks.iter().for_each(|desk| desk.limit(Some(5.0)));
    let from = Instant::now() + STABLE_TIME;
    let [_, refused, others] = call_all(&callers(&fleet)[..1], || {});
    for desk in &fleet.desks {
        let most = most_in_window(desk, from);
        assert!(most <= allowed(5.0), "{most} in 4 s");
        // Two thirds of four seconds at the limit.
        assert!(most >= 13, "{most} in 4 s");
    }
    assert!(refused > 0, "what can't be served is refused");
    assert_eq!(others, 0);
}

// Guards against calls that wait for their deadline where all targets are at their
// limits, and against refusals without a time to come back.
#[test]
fn call_is_refused_as_not_executed_when_all_targets_are_at_their_limits() {
    let fleet = Fleet::start(2);
    fleet.desks.iter().for_each(|desk| desk.limit(Some(0.25)));
    let mut refused = None;
    wait_until("a refusal", || {
        refused = Some(look(fleet.callers())).filter(|response| response.status == 503);
        refused.is_some()
    });
    let refused = refused.expect("a refusal");
    assert!(refused.head.contains("retry-after: "), "{}", refused.head);
    // At the deadline it would be "out of time".
    assert_eq!(refused.body, "targets at their limits\n");
}

// Guards against a limit that VMs don't count rejections, and what they send again,
// against.
#[test]
fn rejections_count_against_the_limit() {
    let fleet = Fleet::start(3);
    let limited = &fleet.desks[0];
    limited.limit(Some(2.0));
    limited.set_fault(TargetFault::AtCapacity);
    let from = Instant::now() + STABLE_TIME;
    let [_, _, others] = call_all(&callers(&fleet), || {});
    let most = most_in_window(limited, from);
    assert!(most <= allowed(2.0), "{most} in 4 s");
    assert_eq!(others, 0);
}

// Guards against streams that are resumed at a limited target beyond its limit.
#[test]
fn resumed_streams_count_against_the_limit() {
    let fleet = Fleet::start(2);
    let (limited, other) = (&fleet.engines[0], &fleet.engines[1]);
    limited.limit(Some(1.0));
    let from = Instant::now() + STABLE_TIME;
    let end = Instant::now() + LOAD_TIME;
    let mut program = 0;
    while Instant::now() < end {
        program += 1;
        other.set_fault(TargetFault::TruncateAfter(2));
        let headers =
            model_call_headers(&format!("a{program}"), &format!("p{program}"), 2_000, 288);
        let vm = fleet.vms[program % 2].callers;
        let response = call(vm, "POST /stream/x", &headers, "prompt");
        if response.status == 200 && response.is_complete {
            assert_eq!(response.body, complete_stream());
        }
    }
    let most = most_in_window(limited, from);
    assert!(most <= allowed(1.0), "{most} in 4 s");
}

// Guards against VMs that exceed a limit around the restart of others.
#[test]
fn limit_holds_while_vms_are_killed_and_others_join() {
    let mut fleet = Fleet::start(4);
    let limited = fleet.desks[0].clone();
    limited.limit(Some(2.0));
    let vms = callers(&fleet);
    let from = Instant::now() + STABLE_TIME;
    let [answered, ..] = call_all(&vms, || {
        thread::sleep(STABLE_TIME);
        fleet.vms.remove(0);
        thread::sleep(Duration::from_secs(1));
        fleet.start_vm();
        thread::sleep(Duration::from_secs(1));
        fleet.vms.remove(0);
    });
    let most = most_in_window(&limited, from);
    assert!(most <= allowed(2.0), "{most} in 4 s");
    assert!(answered > 0);
}

// Guards against a limit that is kept after the target has stopped stating it.
#[test]
fn limit_ends_when_responses_no_longer_state_it() {
    let fleet = Fleet::start(2);
    fleet.desks.iter().for_each(|desk| desk.limit(Some(1.0)));
    wait_until("a refusal", || look(fleet.callers()).status == 503);
    fleet.desks.iter().for_each(|desk| desk.limit(None));
    wait_until("calls without a refusal", || {
        (0..20).all(|_| look(fleet.callers()).status == 200)
    });
}

//! Targets that say in their responses that they are about to stop.

mod fleet;

use std::thread;
use std::time::Duration;

use fleet::{call, complete_stream, wait_for_metric, wait_until, Fleet, Response};
use lagoon_adapter::standin::{model_call_headers, service_call_headers};
use lagoon_gateway::TargetStatus;
use lagoon_standin::fleet::{StoreFault, Target, TargetFault};

/// Calls after which a target that gets requests has surely got one.
const CALLS: usize = 24;

/// Time in which a VM learns of a change in the store.
const FEED_TIME: Duration = Duration::from_millis(600);

/// Index of the first desk among the fleet's targets.
const FIRST_DESK: usize = 2;

fn look(fleet: &Fleet, vm: usize) -> Response {
    let headers = service_call_headers("r");
    call(fleet.vms[vm].callers, "GET /look/x", &headers, "")
}

/// Makes calls until one has run at the target.
fn reach(fleet: &Fleet, vm: usize, target: &Target) {
    let before = target.executions().len();
    wait_until("a call at the target", || {
        look(fleet, vm);
        target.executions().len() > before
    });
}

/// Number of calls, of several, that ran at the target; all are answered.
fn calls_at(fleet: &Fleet, vm: usize, target: &Target) -> usize {
    let before = target.executions().len();
    for _ in 0..CALLS {
        assert_eq!(look(fleet, vm).status, 200);
    }
    target.executions().len() - before
}

// Guards against requests to a target that has said that it stops, at VMs that
// can't read its entry.
#[test]
fn target_that_says_it_leaves_gets_no_new_requests_without_the_store() {
    let fleet = Fleet::start(2);
    fleet.store.set_fault(StoreFault::Unavailable);
    let leaving = &fleet.desks[0];
    leaving.leave();
    for vm in 0..fleet.vms.len() {
        reach(&fleet, vm, leaving);
        assert_eq!(calls_at(&fleet, vm, leaving), 0, "VM {vm}");
    }
}

// Guards against a belief that ends as the entry, which is still that of a ready
// target, is written or listed again.
#[test]
fn target_that_says_it_leaves_stays_unused_when_it_is_listed_again() {
    let fleet = Fleet::start(1);
    let leaving = &fleet.desks[0];
    leaving.leave();
    reach(&fleet, 0, leaving);
    fleet.list(FIRST_DESK, TargetStatus::Ready);
    thread::sleep(FEED_TIME);
    assert_eq!(calls_at(&fleet, 0, leaving), 0);
    fleet.store.remove_target(&leaving.id);
    thread::sleep(FEED_TIME);
    fleet.list(FIRST_DESK, TargetStatus::Ready);
    thread::sleep(FEED_TIME);
    assert_eq!(calls_at(&fleet, 0, leaving), 0);
}

// Guards against a refusal that counts for nothing because its response isn't
// passed on.
#[test]
fn target_that_says_it_leaves_in_a_rejection_gets_no_new_requests() {
    let fleet = Fleet::start(1);
    let leaving = &fleet.desks[0];
    leaving.leave();
    leaving.set_fault(TargetFault::AtCapacity);
    (0..CALLS).for_each(|_| assert_eq!(look(&fleet, 0).status, 200));
    leaving.set_fault(TargetFault::None);
    assert_eq!(calls_at(&fleet, 0, leaving), 0);
}

// Guards against streams that are resumed at a target after it has said that it
// stops, and against one that says so only in the head of a resumed stream.
#[test]
fn target_that_says_it_leaves_gets_no_resumed_stream() {
    let fleet = Fleet::start(1);
    let stream = |id: &str, program: &str| {
        let headers = model_call_headers(id, program, 2_000, 288);
        let response = call(fleet.callers(), "POST /stream/x", &headers, "prompt");
        assert_eq!(response.body, complete_stream());
    };
    let leaving = &fleet.engines[0];
    leaving.leave();
    let other = &fleet.engines[1];
    let mut program = 0;
    wait_until("a stream that is resumed at the target", || {
        program += 1;
        other.set_fault(TargetFault::TruncateAfter(2));
        stream(&format!("a{program}"), &format!("p{program}"));
        let executions = leaving.executions();
        !executions.is_empty()
    });
    let before = leaving.executions().len();
    for program in 0..CALLS {
        stream(&format!("b{program}"), &format!("q{program}"));
    }
    assert_eq!(leaving.executions().len(), before);
}

// Guards against a successor that is left out for what an earlier run under its id
// has said.
#[test]
fn target_that_left_and_started_again_gets_requests() {
    let fleet = Fleet::start(1);
    let target = &fleet.desks[0];
    target.leave();
    reach(&fleet, 0, target);
    assert_eq!(calls_at(&fleet, 0, target), 0);
    target.restart();
    fleet.list(FIRST_DESK, TargetStatus::Ready);
    reach(&fleet, 0, target);
    assert!(calls_at(&fleet, 0, target) > 0);
}

// Guards against calls that wait for a target that won't take them, and against
// refusals of calls that have run.
#[test]
fn call_is_refused_as_not_executed_when_all_targets_leave() {
    let fleet = Fleet::start(1);
    fleet.desks.iter().for_each(Target::leave);
    let executions = || -> usize {
        let counts = fleet.desks.iter().map(|desk| desk.executions().len());
        counts.sum()
    };
    let mut answered = 0;
    let refused = loop {
        let response = look(&fleet, 0);
        if response.status != 200 {
            break response;
        }
        answered += 1;
        assert!(answered <= fleet.desks.len(), "{answered} answered");
    };
    assert_eq!(refused.status, 503);
    assert!(refused.head.contains("retry-after: "), "{}", refused.head);
    assert_eq!((answered, executions()), (2, 2));
    wait_for_metric(fleet.vms[0].peers, "\nlagoon_leaving_targets 2\n");
}

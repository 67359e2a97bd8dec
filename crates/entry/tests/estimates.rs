//! Targets that report how long work takes there.

mod fleet;

use fleet::{call, wait_until, Fleet};
use lagoon_adapter::standin::service_call_headers;
use lagoon_standin::fleet::Target;

/// Calls through each VM of which the share of one target is taken.
const CALLS: usize = 24;

/// Calls of a round, through all VMs in turn, that ran at the target; all are answered.
fn calls_at(fleet: &Fleet, target: &Target) -> usize {
    let before = target.executions().len();
    for _ in 0..CALLS {
        for vm in &fleet.vms {
            let headers = service_call_headers("r");
            assert_eq!(call(vm.callers, "GET /look/x", &headers, "").status, 200);
        }
    }
    target.executions().len() - before
}

// Guards against figures that targets report and that don't reach placement, and against
// a target that gets no calls any more after it was slow.
#[test]
fn slow_target_gets_fewer_calls_and_its_share_after_recovery() {
    let fleet = Fleet::start(3);
    let all = CALLS * fleet.vms.len();
    let slow = &fleet.desks[0];
    fleet
        .desks
        .iter()
        .for_each(|desk| desk.set_work_percent(100));
    wait_until("a share of the calls before", || {
        calls_at(&fleet, slow) * 3 >= all
    });
    slow.set_work_percent(400);
    // The first calls bring the figure.
    calls_at(&fleet, slow);
    let while_slow = calls_at(&fleet, slow);
    println!("{while_slow} of {all} calls at the slow target");
    assert!(while_slow * 4 <= all, "{while_slow} of {all}");
    slow.set_work_percent(100);
    wait_until("a share of the calls after recovery", || {
        calls_at(&fleet, slow) * 3 >= all
    });
}

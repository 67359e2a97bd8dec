//! Kept turns at daemons as processes: what targets get of a chain, what callers
//! are told, and what outlives VMs and the store.

mod fleet;

use std::thread;
use std::time::Duration;

use fleet::{call, complete_stream, wait_until, Fleet, Response, EVENT_COUNT};
use lagoon_adapter::standin::kept_turn_headers;
use lagoon_standin::fleet::{ProxyFault, StoreFault, TargetFault};
use nix::sys::signal::Signal;
use yare::parameterized;

/// Time in which VMs retry a write of a turn several times.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Data of the events of a complete stream, as a chain contains it.
fn output() -> String {
    (1..=EVENT_COUNT)
        .map(|number| format!("v1 piece {number}\n"))
        .collect()
}

fn turn(fleet: &Fleet, vm: usize, id: &str, previous: Option<&str>) -> Response {
    let headers = kept_turn_headers(id, "program", previous);
    let address = fleet.vms[vm].callers;
    call(
        address,
        "POST /chat/x",
        &headers,
        &format!("input of {id};"),
    )
}

fn assert_whole(response: &Response) {
    let got = (response.status, response.is_complete, &response.body);
    assert_eq!(got, (200, true, &complete_stream()));
}

/// Bodies that the engines got for the request with this id.
fn bodies(fleet: &Fleet, id: &str) -> Vec<String> {
    let executions = fleet.engines.iter().flat_map(|engine| engine.executions());
    let own = executions.filter(|execution| execution.received.request_id == id);
    own.map(|execution| String::from_utf8(execution.body).expect("text"))
        .collect()
}

/// Body of a turn that continues `ids`.
fn chain_body(ids: &[&str], id: &str) -> String {
    let turns = ids.iter().map(|id| format!("input of {id};{}", output()));
    turns.chain([format!("input of {id};")]).collect()
}

fn assert_not_run(fleet: &Fleet, response: &Response, id: &str, status: u16) {
    assert_eq!(response.status, status, "{response:?}");
    assert_eq!(bodies(fleet, id), Vec::<String>::new());
    assert_eq!(response.head.contains("retry-after: "), status == 503);
}

#[test]
fn turns_of_a_branching_chain_reach_targets_in_order() {
    let fleet = Fleet::start(1);
    assert_whole(&turn(&fleet, 0, "t1", None));
    assert_whole(&turn(&fleet, 0, "t2", Some("t1")));
    assert_whole(&turn(&fleet, 0, "t3", Some("t2")));
    assert_whole(&turn(&fleet, 0, "s3", Some("t2")));
    assert_eq!(bodies(&fleet, "t1"), [chain_body(&[], "t1")]);
    assert_eq!(bodies(&fleet, "t3"), [chain_body(&["t1", "t2"], "t3")]);
    assert_eq!(bodies(&fleet, "s3"), [chain_body(&["t1", "t2"], "s3")]);
}

// Guards against a turn that is lost with the VM that served it.
#[test]
fn turn_is_continued_at_another_vm_after_sigkill() {
    let mut fleet = Fleet::start(2);
    assert_whole(&turn(&fleet, 0, "t1", None));
    assert_whole(&turn(&fleet, 0, "t2", Some("t1")));
    fleet.vms[0].signal(Signal::SIGKILL);
    fleet.vms[0].wait();
    assert_whole(&turn(&fleet, 1, "t3", Some("t2")));
    assert_eq!(bodies(&fleet, "t3"), [chain_body(&["t1", "t2"], "t3")]);
}

// Guards against turns that are lost when all VMs lose power right after the end
// of a response; a program that is new then continues the chain.
#[test]
fn turn_is_continued_after_all_vms_were_killed() {
    let mut fleet = Fleet::start(2);
    assert_whole(&turn(&fleet, 0, "t1", None));
    assert_whole(&turn(&fleet, 1, "t2", Some("t1")));
    fleet.restart_all_vms();
    let headers = kept_turn_headers("t3", "another program", Some("t2"));
    let address = fleet.vms[0].callers;
    assert_whole(&call(address, "POST /chat/x", &headers, "input of t3;"));
    assert_eq!(bodies(&fleet, "t3"), [chain_body(&["t1", "t2"], "t3")]);
}

// Guards against turns that end while the store is away: lost with their VM, or
// not written once it is back.
#[test]
fn turn_that_ends_without_the_store_outlives_its_vm() {
    let mut fleet = Fleet::start(3);
    fleet.store.set_fault(StoreFault::Unavailable);
    assert_whole(&turn(&fleet, 0, "t1", None));
    fleet.vms[0].signal(Signal::SIGKILL);
    fleet.vms[0].wait();
    assert_whole(&turn(&fleet, 1, "t2", Some("t1")));
    assert_eq!(bodies(&fleet, "t2"), [chain_body(&["t1"], "t2")]);
    fleet.store.set_fault(StoreFault::None);
    wait_until("both turns in the store", || {
        fleet.store.values("turns").len() == 2
    });
    fleet.vms.remove(0);
    fleet.restart_all_vms();
    assert_whole(&turn(&fleet, 0, "t3", Some("t2")));
    assert_eq!(bodies(&fleet, "t3"), [chain_body(&["t1", "t2"], "t3")]);
}

// Guards against turns that are lost when the VMs that hold them are stopped as
// planned, one after the other, before the store is back.
#[test]
fn turns_outlive_planned_stops_without_the_store() {
    const TURNS: usize = 6;
    let mut fleet = Fleet::start(4);
    fleet.store.set_fault(StoreFault::Unavailable);
    for number in 0..TURNS {
        assert_whole(&turn(&fleet, 0, &format!("t{number}"), None));
    }
    for _ in 0..3 {
        let mut stopping = fleet.vms.remove(0);
        stopping.signal(Signal::SIGTERM);
        assert!(stopping.wait(), "graceful shutdown");
    }
    for number in 0..TURNS {
        let (id, previous) = (format!("u{number}"), format!("t{number}"));
        turn(&fleet, 0, &id, Some(&previous));
        assert_eq!(bodies(&fleet, &id), [chain_body(&[&previous], &id)]);
    }
}

// Guards against a response that looks complete although its turn can get lost.
#[test]
fn turn_that_nobody_else_holds_is_cut_off() {
    let fleet = Fleet::start(1);
    fleet.store.set_fault(StoreFault::Unavailable);
    let response = turn(&fleet, 0, "t1", None);
    assert_eq!((response.status, response.is_complete), (200, false));
    fleet.store.set_fault(StoreFault::None);
    thread::sleep(SETTLE_TIME);
    assert_eq!(fleet.store.values("turns").len(), 0);
}

// Guards against a second version after a write whose reply was lost.
#[test]
fn turn_whose_write_has_no_reply_is_stored_once() {
    let fleet = Fleet::start(2);
    fleet.store.set_fault(StoreFault::DropReply);
    assert_whole(&turn(&fleet, 0, "t1", None));
    assert_whole(&turn(&fleet, 1, "t2", Some("t1")));
    assert_eq!(bodies(&fleet, "t2"), [chain_body(&["t1"], "t2")]);
    // A response may end before the store has the turn, once other VMs hold copies.
    let rows = || fleet.store.values("turns").len();
    wait_until("both turns in the store", || rows() == 2);
    thread::sleep(SETTLE_TIME);
    assert_eq!(rows(), 2);
}

// Guards against two versions of one turn, of which the later one would replace
// what the first caller got.
#[test]
fn turn_with_the_id_of_another_is_cut_off() {
    let fleet = Fleet::start(2);
    assert_whole(&turn(&fleet, 0, "t1", None));
    let headers = kept_turn_headers("t1", "program", None);
    let address = fleet.vms[1].callers;
    let second = call(address, "POST /chat/x", &headers, "another input;");
    assert!(!second.is_complete);
    assert_whole(&turn(&fleet, 1, "t2", Some("t1")));
    assert_eq!(bodies(&fleet, "t2"), [chain_body(&["t1"], "t2")]);
}

// Guards against history of a response that broke off at the target.
#[test]
fn turn_that_was_interrupted_can_not_be_continued() {
    let fleet = Fleet::start(1);
    for engine in &fleet.engines {
        engine.set_fault(TargetFault::TruncateAfter(3));
    }
    assert!(!turn(&fleet, 0, "t1", None).is_complete);
    let response = turn(&fleet, 0, "t2", Some("t1"));
    assert_not_run(&fleet, &response, "t2", 404);
}

#[test]
fn turn_that_never_existed_is_404() {
    let fleet = Fleet::start(3);
    assert_whole(&turn(&fleet, 0, "t1", None));
    let response = turn(&fleet, 1, "t2", Some("none"));
    assert_not_run(&fleet, &response, "t2", 404);
}

// Guards against 404 by VMs that can't know what their earlier runs held.
#[test]
fn turn_unknown_after_a_restart_of_all_is_503() {
    let mut fleet = Fleet::start(2);
    fleet.restart_all_vms();
    let response = turn(&fleet, 0, "t2", Some("none"));
    assert_not_run(&fleet, &response, "t2", 503);
}

// Guards against 404 by a VM that could not read the store.
#[test]
fn turn_unknown_without_the_store_is_503() {
    let fleet = Fleet::start(2);
    fleet.store.set_fault(StoreFault::Unavailable);
    let response = turn(&fleet, 0, "t2", Some("none"));
    assert_not_run(&fleet, &response, "t2", 503);
}

// Guards against 404 while a VM that may hold the turn doesn't respond.
#[test]
fn turn_unknown_while_a_vm_is_frozen_is_503() {
    let fleet = Fleet::start(3);
    fleet.vms[2].signal(Signal::SIGSTOP);
    let response = turn(&fleet, 0, "t2", Some("none"));
    fleet.vms[2].signal(Signal::SIGCONT);
    assert_not_run(&fleet, &response, "t2", 503);
}

// Guards against a chain that leads to a run although its previous turn isn't a
// turn's id.
#[parameterized(
    empty = { "" },
    two_words = { "a b" },
    itself = { "t2" },
    too_long = { "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef0" },
)]
fn turn_with_an_invalid_previous_one_is_400(previous: &str) {
    let fleet = Fleet::start(1);
    let response = turn(&fleet, 0, "t2", Some(previous));
    assert_not_run(&fleet, &response, "t2", 400);
}

#[test]
fn turn_with_two_previous_ones_is_400() {
    let fleet = Fleet::start(1);
    assert_whole(&turn(&fleet, 0, "t1", None));
    let mut headers = kept_turn_headers("t2", "program", Some("t1"));
    headers.push(headers[headers.len() - 1].clone());
    let response = call(fleet.callers(), "POST /chat/x", &headers, "input");
    assert_not_run(&fleet, &response, "t2", 400);
}

// Guards against two versions of one turn that are both continued, each from the
// VMs that hold it, after the store has taken one of them.
#[test]
fn turn_with_two_versions_is_continued_from_one() {
    let mut fleet = Fleet::start_proxied(0);
    let direct = fleet.store.address;
    let proxied = fleet.proxies[0].address;
    for store in [direct, proxied, direct, direct] {
        fleet.start_vm_at_store(store);
    }
    fleet.wait_for_peers();
    let serve = |vm: usize, id: &str, input: &str| {
        let headers = kept_turn_headers(id, "program", None);
        call(fleet.vms[vm].callers, "POST /chat/x", &headers, input)
    };
    // VMs that are asked for copies first differ from id to id.
    let ids = ["t1", "t2", "t3", "t4", "t5", "t6"];
    for id in ids {
        assert_whole(&serve(0, id, "first;"));
    }
    fleet.proxies[0].set_fault(ProxyFault::Blackhole);
    let answered = ids.map(|id| serve(1, id, "second;").is_complete);
    println!("second versions answered: {answered:?}");
    fleet.proxies[0].set_fault(ProxyFault::None);
    thread::sleep(2 * SETTLE_TIME);
    for vm in 0..fleet.vms.len() {
        for id in ids {
            let next = format!("{id}-{vm}");
            assert_whole(&turn(&fleet, vm, &next, Some(id)));
            let expected = format!("first;{}input of {next};", output());
            assert_eq!(bodies(&fleet, &next), [expected], "VM {vm}");
        }
    }
}

// Guards against a failure domain that is cut off and has no turn of the programs that
// began elsewhere: neither their VMs nor the store can be reached.
#[test]
fn turn_is_continued_in_a_domain_that_is_cut_off() {
    let mut fleet = Fleet::start_in_domains(6, 2);
    for id in 1..=3 {
        let (turn_id, previous) = (format!("t{id}"), format!("t{}", id - 1));
        let previous = (id > 1).then_some(previous.as_str());
        assert_whole(&turn(&fleet, 0, &turn_id, previous));
    }
    // The copies are sent behind the response.
    thread::sleep(SETTLE_TIME);
    fleet.store.set_fault(StoreFault::Unavailable);
    for vm in [0, 2, 4] {
        fleet.vms[vm].signal(Signal::SIGKILL);
        fleet.vms[vm].wait();
    }
    for vm in [1, 3, 5] {
        let id = format!("t4-{vm}");
        wait_until("a whole response", || {
            turn(&fleet, vm, &id, Some("t3")).status == 200
        });
        assert_eq!(bodies(&fleet, &id), [chain_body(&["t1", "t2", "t3"], &id)]);
    }
}

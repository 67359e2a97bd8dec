//! VMs that reach no target, or only some, while they reach callers, the store and the
//! other VMs, in virtual time.

use compact_str::CompactString;
use lagoon_testkit::{Request, RequestKind, Simulation};
use yare::parameterized;

const TARGETS: [&str; 6] = [
    "engine-1", "engine-2", "desk-1", "desk-2", "pay-1", "look-1",
];
const VMS: [&str; 4] = ["vm1", "vm2", "vm3", "vm4"];

/// Time after which the VMs of a simulation know each other.
const SETTLE_MS: u64 = 5_000;

/// Time in which every call is answered, or found to be in doubt.
const END_MS: u64 = 60_000;

fn simulation() -> Simulation {
    let mut sim = Simulation::new(38);
    VMS.iter().for_each(|vm| sim.start(vm));
    sim.run_ms(SETTLE_MS);
    sim
}

fn request(program: usize, kind: RequestKind) -> Request {
    Request {
        program: Some(format!("p{program}").into()),
        number: Some(1),
        parent: None,
        budget_tokens: None,
        continuation: None,
        kind,
        tag: format!("call {program}"),
    }
}

fn kind(index: usize) -> RequestKind {
    match index % 3 {
        0 => RequestKind::Chat { tokens: 12 },
        1 => RequestKind::Service(CompactString::const_new("lookup")),
        _ => RequestKind::Service(CompactString::const_new("booking")),
    }
}

/// Sends first calls of programs to each VM in turn.
fn send_calls(sim: &mut Simulation, vms: &[&str], count: usize) {
    let first = sim.requests().count();
    for index in 0..count {
        // Each VM gets calls of each kind.
        let vm = vms[(index / 3) % vms.len()];
        sim.send_request(vm, request(first + index, kind(index)));
        sim.run_ms(20);
    }
}

/// Calls whose response is whole, from the one with this index on.
fn complete(sim: &Simulation, from: usize) -> usize {
    let requests = sim.requests().skip(from);
    requests
        .filter(|(_, request, outcome)| {
            outcome.is_complete() && outcome.bytes == request.expected_response().as_bytes()
        })
        .count()
}

/// Fails if a booking ran twice, if one that is said not to have run did run, or if a
/// call got no response at all.
fn check(sim: &Simulation) {
    let executed = |tag: &str| {
        let executions = sim.executions().iter();
        let key = tag.replace("call ", "p");
        executions
            .filter(|execution| execution.is_service)
            .filter(|execution| execution.call.program.to_string() == key)
            .count()
    };
    for (_, request, outcome) in sim.requests() {
        let is_finished = outcome.is_finished() || outcome.connection_lost;
        assert!(is_finished, "{}: {}", request.tag, outcome.describe());
        if request.kind != RequestKind::Service("booking".into()) {
            continue;
        }
        let runs = executed(&request.tag);
        assert!(runs <= 1, "{} ran {runs} times", request.tag);
        let is_refused = outcome.reports_not_run();
        assert!(!is_refused || runs == 0, "{}", outcome.describe());
    }
}

// Guards against callers of a VM without paths that are refused, though another VM
// reaches the targets.
#[parameterized(
    one_vm = { &["vm1"] },
    half = { &["vm1", "vm2"] },
    all_but_one = { &["vm1", "vm2", "vm3"] },
)]
fn calls_of_vms_without_paths_are_served(without_paths: &[&str]) {
    let mut sim = simulation();
    without_paths
        .iter()
        .for_each(|vm| sim.cut_paths(vm, &TARGETS));
    send_calls(&mut sim, &VMS, 120);
    sim.run_ms(END_MS);
    assert_eq!(complete(&sim, 0), 120);
    assert!(sim.carried_attempts > 20, "{}", sim.carried_attempts);
    check(&sim);
}

#[test]
fn calls_of_a_vm_without_some_paths_are_served() {
    let mut sim = simulation();
    sim.cut_paths("vm1", &["engine-1", "desk-1", "look-1"]);
    send_calls(&mut sim, &VMS, 120);
    sim.run_ms(END_MS);
    assert_eq!(complete(&sim, 0), 120);
    assert!(sim.carried_attempts > 0);
    check(&sim);
}

// Guards against streams that end with the path on which they began.
#[test]
fn streams_that_are_open_at_a_cut_are_resumed_through_another_vm() {
    let mut sim = simulation();
    for program in 0..8 {
        sim.send_request("vm1", request(program, RequestKind::Chat { tokens: 60 }));
    }
    sim.run_ms(120);
    sim.cut_paths("vm1", &TARGETS);
    sim.run_ms(END_MS);
    assert_eq!(complete(&sim, 0), 8);
    assert!(sim.carried_attempts > 0);
    assert_eq!(sim.executions().len(), 8);
}

// Guards against bookings that run twice, or are said not to have run, when their
// carrier is killed, stopped or paused.
#[parameterized(
    killed = { |sim: &mut Simulation| sim.kill("vm3") },
    stopped = { |sim: &mut Simulation| sim.stop("vm3") },
    paused = { |sim: &mut Simulation| sim.pause("vm3") },
    cut_off_too = { |sim: &mut Simulation| sim.cut_paths("vm3", &TARGETS) },
    parted = { |sim: &mut Simulation| sim.partition("vm1", "vm3") },
)]
fn carrier_that_is_lost_loses_no_truth(fault: fn(&mut Simulation)) {
    let mut sim = simulation();
    sim.cut_paths("vm1", &TARGETS);
    sim.cut_paths("vm2", &TARGETS);
    send_calls(&mut sim, &["vm1", "vm2"], 60);
    fault(&mut sim);
    let after = sim.requests().count();
    send_calls(&mut sim, &["vm1", "vm2"], 60);
    sim.resume("vm3");
    sim.run_ms(END_MS);
    check(&sim);
    assert!(sim.carried_attempts > 20, "{}", sim.carried_attempts);
    let served = complete(&sim, after);
    assert!(served > 20, "{served} of 60");
}

// Guards against requests and events between two VMs that are lost, doubled or late.
#[test]
fn carried_calls_run_once_while_messages_get_lost() {
    let mut sim = simulation();
    sim.message_loss_percent = 15;
    sim.message_duplication_percent = 20;
    sim.max_jitter_us = 40_000;
    sim.cut_paths("vm1", &TARGETS);
    send_calls(&mut sim, &["vm1"], 90);
    sim.message_loss_percent = 0;
    sim.run_ms(END_MS);
    check(&sim);
    assert!(sim.carried_attempts > 20, "{}", sim.carried_attempts);
}

// Guards against a VM that goes on through others after its paths are back.
#[test]
fn attempts_go_direct_again_after_the_cut() {
    let mut sim = simulation();
    sim.cut_paths("vm1", &TARGETS);
    send_calls(&mut sim, &["vm1"], 30);
    sim.restore_paths();
    send_calls(&mut sim, &["vm1"], 150);
    sim.run_ms(END_MS);
    let carried = sim.carried_attempts;
    send_calls(&mut sim, &["vm1"], 60);
    sim.run_ms(END_MS);
    assert_eq!(sim.carried_attempts, carried);
    assert_eq!(complete(&sim, 0), 240);
}

// Guards against a target that is down and is asked through one VM after another.
#[test]
fn dead_target_is_left_for_another_one() {
    let mut sim = simulation();
    sim.set_target_mode("engine-1", lagoon_testkit::TargetMode::RefuseConnection);
    send_calls(&mut sim, &VMS, 120);
    sim.run_ms(END_MS);
    assert_eq!(complete(&sim, 0), 120);
    check(&sim);
}

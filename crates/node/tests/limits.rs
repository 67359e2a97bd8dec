//! Targets that state limits, in virtual time: the sum that reaches them from all VMs
//! of a failure domain.

use compact_str::CompactString;
use lagoon_testkit::{Request, RequestKind, Simulation, TargetMode};

const WINDOW_US: u64 = 4_000_000;

/// Time after which the VMs of a simulation know each other.
const SETTLE_MS: u64 = 5_000;

/// Requests that a target may get in a window.
fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW_US as f64 / 1e6 + 5.0) as usize
}

fn most_in_window(sim: &Simulation, target: &str, from_us: u64) -> usize {
    let mut arrivals = sim.arrivals_us(target);
    arrivals.retain(|at_us| *at_us >= from_us);
    let counts = arrivals.iter().map(|start| {
        let in_window = |at: &&u64| (*start..*start + WINDOW_US).contains(*at);
        arrivals.iter().filter(in_window).count()
    });
    counts.max().unwrap_or_default()
}

fn simulation(vms: usize) -> Simulation {
    let mut sim = Simulation::new(32);
    for vm in 1..=vms {
        sim.start(&format!("vm{vm}"));
    }
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

/// Sends a program's first call to each VM in turn, this often, for this time.
fn send_calls(sim: &mut Simulation, vms: &[&str], every_ms: u64, for_ms: u64, kind: &RequestKind) {
    let first = sim.requests().count();
    for index in 0..(for_ms / every_ms) as usize {
        let vm = vms[index % vms.len()];
        sim.send_request(vm, request(first + index, kind.clone()));
        sim.run_ms(every_ms);
    }
}

fn finished(sim: &Simulation) -> usize {
    let requests = sim.requests();
    requests
        .filter(|(_, _, outcome)| outcome.is_finished())
        .count()
}

const CHAT: RequestKind = RequestKind::Chat { tokens: 4 };
const LOOKUP: RequestKind = RequestKind::Service(CompactString::const_new("lookup"));

// Guards against VMs that send a limited target as much as before, each on its own.
#[test]
fn limited_target_gets_no_more_than_its_limit_from_all_vms() {
    let mut sim = simulation(3);
    sim.set_target_limit("engine-1", Some(2.0));
    send_calls(&mut sim, &["vm1", "vm2", "vm3"], 40, 1_000, &CHAT);
    let from_us = sim.now_us;
    send_calls(&mut sim, &["vm1", "vm2", "vm3"], 40, 12_000, &CHAT);
    sim.run_ms(2_000);
    let most = most_in_window(&sim, "engine-1", from_us);
    assert!(most <= allowed(2.0), "{most}");
    let used = sim.arrivals_us("engine-1").len();
    assert!(used > 10, "{used}");
    assert_eq!(finished(&sim), sim.requests().count());
}

// Guards against parts of a limit that VMs without calls keep, and against calls that
// are lost while they wait for a permit.
#[test]
fn calls_of_one_vm_use_the_whole_limit() {
    let mut sim = simulation(3);
    sim.set_target_limit("look-1", Some(5.0));
    send_calls(&mut sim, &["vm2"], 50, 10_000, &LOOKUP);
    let used = sim.arrivals_us("look-1").len();
    assert!((45..=60).contains(&used), "{used}");
    assert!(most_in_window(&sim, "look-1", 0) <= allowed(5.0));
    sim.set_target_limit("look-1", None);
    sim.run_ms(40_000);
    assert_eq!(finished(&sim), sim.requests().count());
}

// Guards against two parts of a failure domain that both use the whole limit.
#[test]
fn parts_of_a_split_domain_stay_within_the_bound() {
    let mut sim = simulation(5);
    sim.set_target_limit("look-1", Some(5.0));
    let all = ["vm1", "vm2", "vm3", "vm4", "vm5"];
    send_calls(&mut sim, &all, 50, 3_000, &LOOKUP);
    for inside in ["vm1", "vm2"] {
        for outside in ["vm3", "vm4", "vm5"] {
            sim.partition(inside, outside);
        }
    }
    let from_us = sim.now_us;
    send_calls(&mut sim, &all, 50, 10_000, &LOOKUP);
    sim.heal();
    send_calls(&mut sim, &all, 50, 6_000, &LOOKUP);
    let most = most_in_window(&sim, "look-1", from_us);
    assert!(most <= allowed(5.0), "{most}");
}

// Guards against a VM that takes over, or starts again, and adds its own count to what
// was granted before.
#[test]
fn limit_holds_while_vms_are_killed_paused_and_started() {
    for victim in ["vm1", "vm2", "vm3"] {
        let mut sim = simulation(3);
        sim.set_target_limit("look-1", Some(4.0));
        let all = ["vm1", "vm2", "vm3"];
        send_calls(&mut sim, &all, 50, 3_000, &LOOKUP);
        sim.kill(victim);
        send_calls(&mut sim, &all, 50, 4_000, &LOOKUP);
        sim.start(victim);
        send_calls(&mut sim, &all, 50, 4_000, &LOOKUP);
        sim.pause(victim);
        send_calls(&mut sim, &all, 50, 4_000, &LOOKUP);
        sim.resume(victim);
        send_calls(&mut sim, &all, 50, 4_000, &LOOKUP);
        let most = most_in_window(&sim, "look-1", 0);
        assert!(most <= allowed(4.0), "{most} with {victim}");
        assert!(sim.arrivals_us("look-1").len() > 30);
    }
}

// Guards against messages that are lost, late or doubled and count twice or not at all.
#[test]
fn limit_holds_while_messages_get_lost() {
    let mut sim = simulation(3);
    sim.message_loss_percent = 20;
    sim.message_duplication_percent = 20;
    sim.max_jitter_us = 60_000;
    sim.set_target_limit("look-1", Some(4.0));
    let all = ["vm1", "vm2", "vm3"];
    send_calls(&mut sim, &all, 50, 15_000, &LOOKUP);
    let most = most_in_window(&sim, "look-1", 0);
    assert!(most <= allowed(4.0), "{most}");
    assert!(sim.arrivals_us("look-1").len() > 20);
}

// Guards against streams that are resumed, and calls that are sent again, beyond the
// limit.
#[test]
fn resumed_streams_and_rejections_count() {
    for mode in [TargetMode::Disconnect, TargetMode::NotRun] {
        let mut sim = simulation(3);
        sim.set_target_limit("engine-1", Some(1.0));
        sim.set_target_mode("engine-1", mode);
        send_calls(&mut sim, &["vm1", "vm2", "vm3"], 40, 12_000, &CHAT);
        let from_us = sim.now_us - 11_000_000;
        let most = most_in_window(&sim, "engine-1", from_us);
        assert!(most <= allowed(1.0), "{most}");
        sim.run_ms(5_000);
        assert_eq!(finished(&sim), sim.requests().count());
    }
}

// Guards against bookings that are sent beyond the limit after their intent was slow
// to become durable, and against ones that run twice.
#[test]
fn at_most_once_calls_keep_the_limit_and_run_once() {
    let mut sim = simulation(3);
    for desk in ["desk-1", "desk-2"] {
        sim.set_target_limit(desk, Some(2.0));
    }
    let booking = RequestKind::Service("booking".into());
    send_calls(&mut sim, &["vm1", "vm2", "vm3"], 100, 10_000, &booking);
    for desk in ["desk-1", "desk-2"] {
        assert!(most_in_window(&sim, desk, 0) <= allowed(2.0));
    }
    sim.run_ms(60_000);
    assert_eq!(finished(&sim), sim.requests().count());
    let mut calls: Vec<_> = sim
        .executions()
        .iter()
        .map(|e| e.call.to_string())
        .collect();
    let executions = calls.len();
    calls.sort();
    calls.dedup();
    assert_eq!(calls.len(), executions);
}

// Guards against a limit that is kept after the target has stopped stating it.
#[test]
fn limit_ends_when_responses_no_longer_state_it() {
    let mut sim = simulation(2);
    sim.set_target_limit("look-1", Some(0.5));
    send_calls(&mut sim, &["vm1", "vm2"], 100, 6_000, &LOOKUP);
    sim.set_target_limit("look-1", None);
    sim.run_ms(4_000);
    let before = sim.arrivals_us("look-1").len();
    send_calls(&mut sim, &["vm1", "vm2"], 100, 4_000, &LOOKUP);
    sim.run_ms(500);
    assert!(sim.arrivals_us("look-1").len() >= before + 40);
}

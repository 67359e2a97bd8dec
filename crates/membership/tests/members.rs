//! Joining, leaving, death and quorum.

use lagoon_ids::VmName;
use lagoon_membership::{Heartbeat, Membership, MembershipChange, MembershipSettings};

const SUSPECT_MS: u64 = 1_000;

fn vm(name: &str) -> VmName {
    name.parse().expect("vm")
}

fn members() -> Membership {
    Membership::new(MembershipSettings {
        vm: vm("vm1"),
        domain: "d1".parse().expect("domain"),
        incarnation: "vm1-1".parse().expect("incarnation"),
        suspect_ms: SUSPECT_MS,
    })
}

fn heartbeat(name: &str, started_ms: u64) -> Heartbeat {
    Heartbeat {
        vm: vm(name),
        domain: "d1".parse().expect("domain"),
        incarnation: format!("{name}-{started_ms}").parse().expect("incarnation"),
        started_ms,
        peer_address: "127.0.0.1:1".parse().expect("address"),
        leaving: false,
        sheet_version: 0,
        loads: Vec::new(),
    }
}

fn dead(name: &str, started_ms: u64) -> MembershipChange {
    MembershipChange::Dead {
        vm: vm(name),
        incarnation: format!("{name}-{started_ms}").parse().expect("incarnation"),
    }
}

#[test]
fn tick_declares_a_silent_vm_dead_once() {
    let mut members = members();
    members.on_heartbeat(&heartbeat("vm2", 1), 0);
    assert!(members.tick(SUSPECT_MS - 1).is_empty());
    assert_eq!(members.tick(SUSPECT_MS), [dead("vm2", 1)]);
    assert!(members.tick(SUSPECT_MS + 1).is_empty());
    assert_eq!(members.live(), [&vm("vm1")]);
}

#[test]
fn on_heartbeat_reinstates_a_dead_but_not_a_leaving_incarnation() {
    let mut members = members();
    members.on_heartbeat(&heartbeat("vm2", 1), 0);
    members.tick(SUSPECT_MS);
    assert_eq!(members.live().len(), 1);
    let changes = members.on_heartbeat(&heartbeat("vm2", 1), SUSPECT_MS + 1);
    assert_eq!(changes, [MembershipChange::Joined(vm("vm2"))]);
    assert_eq!(members.live().len(), 2);
    // A leaving incarnation stays out until a new one starts, and an older one is ignored.
    members.on_leaving(&vm("vm2"));
    members.on_heartbeat(&heartbeat("vm2", 1), SUSPECT_MS + 1);
    assert_eq!(members.live().len(), 1);
    let changes = members.on_heartbeat(&heartbeat("vm2", 2), SUSPECT_MS + 2);
    assert!(changes.contains(&MembershipChange::Joined(vm("vm2"))));
    assert!(changes.contains(&dead("vm2", 1)));
    assert_eq!(members.live().len(), 2);
    assert!(members
        .on_heartbeat(&heartbeat("vm2", 1), SUSPECT_MS + 3)
        .is_empty());
}

#[test]
fn on_heartbeat_of_new_incarnation_declares_the_old_one_dead() {
    let mut members = members();
    members.on_heartbeat(&heartbeat("vm2", 1), 0);
    let changes = members.on_heartbeat(&heartbeat("vm2", 2), 1);
    assert_eq!(
        changes,
        [dead("vm2", 1), MembershipChange::Joined(vm("vm2"))]
    );
    assert!(members.on_heartbeat(&heartbeat("vm2", 1), 2).is_empty());
}

#[test]
fn on_leaving_outlasts_later_heartbeats() {
    let mut members = members();
    members.on_heartbeat(&heartbeat("vm2", 1), 0);
    assert_eq!(
        members.on_leaving(&vm("vm2")),
        [MembershipChange::Leaving(vm("vm2"))]
    );
    members.on_heartbeat(&heartbeat("vm2", 1), 1);
    assert_eq!(members.live(), [&vm("vm1")]);
}

#[test]
fn on_heartbeat_ignores_other_failure_domains() {
    let mut members = members();
    let mut other = heartbeat("vm2", 1);
    other.domain = "d2".parse().expect("domain");
    assert!(members.on_heartbeat(&other, 0).is_empty());
    assert_eq!(members.live().len(), 1);
}

#[yare::parameterized(
    alone = { "vm1", &[], &[], true },
    one_of_three = { "vm1", &[], &["vm2", "vm3"], false },
    two_of_three = { "vm1", &["vm2"], &["vm3"], true },
    half_with_lowest_name = { "vm1", &[], &["vm2"], true },
    half_without_lowest_name = { "vm2", &[], &["vm1"], false },
)]
fn has_quorum_counts_reachable_vms(own: &str, heard: &[&str], silent: &[&str], expected: bool) {
    let mut members = Membership::new(MembershipSettings {
        vm: vm(own),
        domain: "d1".parse().expect("domain"),
        incarnation: format!("{own}-1").parse().expect("incarnation"),
        suspect_ms: SUSPECT_MS,
    });
    for name in silent {
        members.on_heartbeat(&heartbeat(name, 1), 0);
    }
    for name in heard {
        members.on_heartbeat(&heartbeat(name, 1), SUSPECT_MS);
    }
    members.tick(SUSPECT_MS);
    assert_eq!(members.has_quorum(), expected);
}

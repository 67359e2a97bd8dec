//! Signs of life, of leaving and of death.

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

fn beat(name: &str, started_ms: u64) -> Heartbeat {
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
fn tick_silence_is_death_once() {
    let mut members = members();
    members.on_heartbeat(&beat("vm2", 1), 0);
    assert!(members.tick(SUSPECT_MS - 1).is_empty());
    assert_eq!(members.tick(SUSPECT_MS), [dead("vm2", 1)]);
    assert!(members.tick(SUSPECT_MS + 1).is_empty());
    assert_eq!(members.live(), [&vm("vm1")]);
}

#[test]
fn on_heartbeat_after_silence_revives_the_same_incarnation() {
    let mut members = members();
    members.on_heartbeat(&beat("vm2", 1), 0);
    members.tick(SUSPECT_MS);
    assert_eq!(members.live().len(), 1);
    let changes = members.on_heartbeat(&beat("vm2", 1), SUSPECT_MS + 1);
    assert_eq!(changes, [MembershipChange::Joined(vm("vm2"))]);
    assert_eq!(members.live().len(), 2);
    // An older incarnation, and the word of the list, bring nobody back.
    members.on_leaving(&vm("vm2"));
    members.on_heartbeat(&beat("vm2", 1), SUSPECT_MS + 1);
    assert_eq!(members.live().len(), 1);
    let changes = members.on_heartbeat(&beat("vm2", 2), SUSPECT_MS + 2);
    assert!(changes.contains(&MembershipChange::Joined(vm("vm2"))));
    assert!(changes.contains(&dead("vm2", 1)));
    assert_eq!(members.live().len(), 2);
    assert!(members
        .on_heartbeat(&beat("vm2", 1), SUSPECT_MS + 3)
        .is_empty());
}

#[test]
fn on_heartbeat_new_incarnation_ends_the_old_at_once() {
    let mut members = members();
    members.on_heartbeat(&beat("vm2", 1), 0);
    let changes = members.on_heartbeat(&beat("vm2", 2), 1);
    assert_eq!(
        changes,
        [dead("vm2", 1), MembershipChange::Joined(vm("vm2"))]
    );
    assert!(members.on_heartbeat(&beat("vm2", 1), 2).is_empty());
}

#[test]
fn on_leaving_any_source_wins_over_live() {
    let mut members = members();
    members.on_heartbeat(&beat("vm2", 1), 0);
    assert_eq!(
        members.on_leaving(&vm("vm2")),
        [MembershipChange::Leaving(vm("vm2"))]
    );
    members.on_heartbeat(&beat("vm2", 1), 1);
    assert_eq!(members.live(), [&vm("vm1")]);
}

#[test]
fn on_heartbeat_other_domain_is_no_member() {
    let mut members = members();
    let mut other = beat("vm2", 1);
    other.domain = "d2".parse().expect("domain");
    assert!(members.on_heartbeat(&other, 0).is_empty());
    assert_eq!(members.live().len(), 1);
}

#[yare::parameterized(
    alone = { "vm1", &[], &[], true },
    one_of_three = { "vm1", &[], &["vm2", "vm3"], false },
    two_of_three = { "vm1", &["vm2"], &["vm3"], true },
    half_with_first = { "vm1", &[], &["vm2"], true },
    half_without_first = { "vm2", &[], &["vm1"], false },
)]
fn hears_most_counts_own_side(own: &str, heard: &[&str], silent: &[&str], expected: bool) {
    let mut members = Membership::new(MembershipSettings {
        vm: vm(own),
        domain: "d1".parse().expect("domain"),
        incarnation: format!("{own}-1").parse().expect("incarnation"),
        suspect_ms: SUSPECT_MS,
    });
    for name in silent {
        members.on_heartbeat(&beat(name, 1), 0);
    }
    for name in heard {
        members.on_heartbeat(&beat(name, 1), SUSPECT_MS);
    }
    members.tick(SUSPECT_MS);
    assert_eq!(members.has_quorum(), expected);
}

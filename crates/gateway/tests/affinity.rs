//! Session affinity and its updates between VMs.

use lagoon_gateway::{AffinityTable, RequestMetadata, TargetHash};

fn metadata(program: &str, session: &str) -> RequestMetadata {
    RequestMetadata {
        program: Some(program.into()),
        session: Some(session.into()),
        ..RequestMetadata::default()
    }
}

fn vm(port: u16) -> std::net::SocketAddr {
    ([127, 0, 0, 1], port).into()
}

#[test]
fn origin_vm_is_the_first_that_reported_the_program() {
    let (mut sender, mut receiver) = (AffinityTable::default(), AffinityTable::default());
    assert_eq!(sender.origin_vm(&metadata("p", "p")), None);
    sender.record(&metadata("p", "p"), TargetHash(1), 0);
    assert_eq!(sender.origin_vm(&metadata("p", "p")), None);
    let updates = sender.take_updates();
    receiver.apply_updates(vm(1), &updates, 0);
    receiver.apply_updates(vm(2), &updates, 10);
    assert_eq!(receiver.origin_vm(&metadata("p", "sub")), Some(vm(1)));
}

#[test]
fn target_of_unknown_program_is_none() {
    assert_eq!(
        AffinityTable::default().target_of(&metadata("p", "p")),
        None
    );
}

#[test]
fn target_of_new_session_is_that_of_its_program() {
    let mut table = AffinityTable::default();
    table.record(&metadata("p", "p"), TargetHash(1), 0);
    assert_eq!(table.target_of(&metadata("p", "sub")), Some(TargetHash(1)));
    assert_eq!(table.target_of(&metadata("q", "q")), None);
}

#[test]
fn record_moves_one_session_only() {
    let mut table = AffinityTable::default();
    table.record(&metadata("p", "p"), TargetHash(1), 0);
    table.record(&metadata("p", "sub"), TargetHash(2), 0);
    assert_eq!(table.target_of(&metadata("p", "sub")), Some(TargetHash(2)));
    assert_eq!(table.target_of(&metadata("p", "p")), Some(TargetHash(1)));
}

#[test]
fn take_updates_only_with_unexpected_targets() {
    let mut table = AffinityTable::default();
    table.record(&metadata("p", "p"), TargetHash(1), 0);
    assert_eq!(table.take_updates().len(), 1);
    table.record(&metadata("p", "p"), TargetHash(1), 10);
    table.record(&metadata("p", "sub"), TargetHash(1), 20);
    assert_eq!(table.take_updates(), []);
    table.record(&metadata("p", "p"), TargetHash(2), 30);
    assert_eq!(table.take_updates().len(), 1);
}

#[test]
fn apply_updates_makes_another_vm_expect_the_target() {
    let (mut sender, mut receiver) = (AffinityTable::default(), AffinityTable::default());
    sender.record(&metadata("p", "p"), TargetHash(1), 0);
    receiver.apply_updates(vm(1), &sender.take_updates(), 0);
    assert_eq!(
        receiver.target_of(&metadata("p", "sub")),
        Some(TargetHash(1))
    );
    assert_eq!(receiver.take_updates(), []);
}

#[test]
fn remove_expired_keeps_sessions_with_recent_requests() {
    let mut table = AffinityTable::default();
    table.record(&metadata("p", "p"), TargetHash(1), 0);
    table.record(&metadata("q", "q"), TargetHash(1), 0);
    table.record(&metadata("q", "q"), TargetHash(1), 50_000);
    table.remove_expired(60_000);
    assert_eq!(table.len(), 1);
    assert_eq!(table.target_of(&metadata("q", "q")), Some(TargetHash(1)));
}

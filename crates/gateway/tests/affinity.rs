//! Which target a line of calls is expected at.

use lagoon_gateway::{AffinityTable, RequestMetadata, TargetHash};

fn facts(program: &str, session: &str) -> RequestMetadata {
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
fn first_vm_is_where_the_program_began() {
    let (mut here, mut there) = (AffinityTable::default(), AffinityTable::default());
    assert_eq!(here.origin_vm(&facts("p", "p")), None);
    here.record(&facts("p", "p"), TargetHash(1), 0);
    assert_eq!(here.origin_vm(&facts("p", "p")), None);
    let news = here.take_updates();
    there.apply_updates(vm(1), &news, 0);
    there.apply_updates(vm(2), &news, 10);
    assert_eq!(there.origin_vm(&facts("p", "sub")), Some(vm(1)));
}

#[test]
fn last_unknown_program_has_none() {
    assert_eq!(AffinityTable::default().target_of(&facts("p", "p")), None);
}

#[test]
fn last_new_line_is_expected_where_its_program_is() {
    let mut lines = AffinityTable::default();
    lines.record(&facts("p", "p"), TargetHash(1), 0);
    assert_eq!(lines.target_of(&facts("p", "sub")), Some(TargetHash(1)));
    assert_eq!(lines.target_of(&facts("q", "q")), None);
}

#[test]
fn served_line_goes_its_own_way() {
    let mut lines = AffinityTable::default();
    lines.record(&facts("p", "p"), TargetHash(1), 0);
    lines.record(&facts("p", "sub"), TargetHash(2), 0);
    assert_eq!(lines.target_of(&facts("p", "sub")), Some(TargetHash(2)));
    assert_eq!(lines.target_of(&facts("p", "p")), Some(TargetHash(1)));
}

#[test]
fn news_only_what_others_would_not_expect() {
    let mut lines = AffinityTable::default();
    lines.record(&facts("p", "p"), TargetHash(1), 0);
    assert_eq!(lines.take_updates().len(), 1);
    lines.record(&facts("p", "p"), TargetHash(1), 10);
    lines.record(&facts("p", "sub"), TargetHash(1), 20);
    assert_eq!(lines.take_updates(), []);
    lines.record(&facts("p", "p"), TargetHash(2), 30);
    assert_eq!(lines.take_updates().len(), 1);
}

#[test]
fn take_tells_another_vm_where_the_line_is() {
    let (mut here, mut there) = (AffinityTable::default(), AffinityTable::default());
    here.record(&facts("p", "p"), TargetHash(1), 0);
    there.apply_updates(vm(1), &here.take_updates(), 0);
    assert_eq!(there.target_of(&facts("p", "sub")), Some(TargetHash(1)));
    assert_eq!(there.take_updates(), []);
}

#[test]
fn sweep_forgets_silent_lines() {
    let mut lines = AffinityTable::default();
    lines.record(&facts("p", "p"), TargetHash(1), 0);
    lines.record(&facts("q", "q"), TargetHash(1), 0);
    lines.record(&facts("q", "q"), TargetHash(1), 50_000);
    lines.remove_expired(60_000);
    assert_eq!(lines.len(), 1);
    assert_eq!(lines.target_of(&facts("q", "q")), Some(TargetHash(1)));
}

//! Which target a line of calls is expected at.

use lagoon_gateway::{Facts, Lines, TargetTag};

fn facts(program: &str, session: &str) -> Facts {
    Facts {
        program: Some(program.into()),
        session: Some(session.into()),
        ..Facts::default()
    }
}

fn vm(port: u16) -> std::net::SocketAddr {
    ([127, 0, 0, 1], port).into()
}

#[test]
fn first_vm_is_where_the_program_began() {
    let (mut here, mut there) = (Lines::default(), Lines::default());
    assert_eq!(here.first_vm(&facts("p", "p")), None);
    here.served(&facts("p", "p"), TargetTag(1), 0);
    assert_eq!(here.first_vm(&facts("p", "p")), None);
    let news = here.news();
    there.take(vm(1), &news, 0);
    there.take(vm(2), &news, 10);
    assert_eq!(there.first_vm(&facts("p", "sub")), Some(vm(1)));
}

#[test]
fn last_unknown_program_has_none() {
    assert_eq!(Lines::default().last(&facts("p", "p")), None);
}

#[test]
fn last_new_line_is_expected_where_its_program_is() {
    let mut lines = Lines::default();
    lines.served(&facts("p", "p"), TargetTag(1), 0);
    assert_eq!(lines.last(&facts("p", "sub")), Some(TargetTag(1)));
    assert_eq!(lines.last(&facts("q", "q")), None);
}

#[test]
fn served_line_goes_its_own_way() {
    let mut lines = Lines::default();
    lines.served(&facts("p", "p"), TargetTag(1), 0);
    lines.served(&facts("p", "sub"), TargetTag(2), 0);
    assert_eq!(lines.last(&facts("p", "sub")), Some(TargetTag(2)));
    assert_eq!(lines.last(&facts("p", "p")), Some(TargetTag(1)));
}

#[test]
fn news_only_what_others_would_not_expect() {
    let mut lines = Lines::default();
    lines.served(&facts("p", "p"), TargetTag(1), 0);
    assert_eq!(lines.news().len(), 1);
    lines.served(&facts("p", "p"), TargetTag(1), 10);
    lines.served(&facts("p", "sub"), TargetTag(1), 20);
    assert_eq!(lines.news(), []);
    lines.served(&facts("p", "p"), TargetTag(2), 30);
    assert_eq!(lines.news().len(), 1);
}

#[test]
fn take_tells_another_vm_where_the_line_is() {
    let (mut here, mut there) = (Lines::default(), Lines::default());
    here.served(&facts("p", "p"), TargetTag(1), 0);
    there.take(vm(1), &here.news(), 0);
    assert_eq!(there.last(&facts("p", "sub")), Some(TargetTag(1)));
    assert_eq!(there.news(), []);
}

#[test]
fn sweep_forgets_silent_lines() {
    let mut lines = Lines::default();
    lines.served(&facts("p", "p"), TargetTag(1), 0);
    lines.served(&facts("q", "q"), TargetTag(1), 0);
    lines.served(&facts("q", "q"), TargetTag(1), 50_000);
    lines.sweep(60_000);
    assert_eq!(lines.len(), 1);
    assert_eq!(lines.last(&facts("q", "q")), Some(TargetTag(1)));
}

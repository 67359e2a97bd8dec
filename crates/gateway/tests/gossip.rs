//! Gossip between VMs on the load of targets.

use std::net::SocketAddr;

use lagoon_gateway::{
    LoadReport, TargetEntry, TargetKey, TargetLoad, TargetStatus, TargetUpdate, Targets,
};

const GOSSIP_TTL_MS: u64 = 350;

fn targets() -> (Targets, TargetKey) {
    let mut targets = Targets::default();
    targets.upsert(TargetEntry {
        id: "a".into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        domain: "d1".into(),
        software_version: "v1".into(),
        slots: 4,
        status: TargetStatus::Ready,
        started_unix_ms: None,
    });
    let key = targets.of_service("s").next().expect("is listed").0;
    (targets, key)
}

fn peer(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number).into()
}

fn load(targets: &Targets, key: TargetKey, now_ms: u64) -> f64 {
    let target = targets.get(key).expect("is listed");
    target.load(&targets.settings, now_ms)
}

fn update(targets: &Targets, key: TargetKey, in_flight: u32) -> TargetUpdate {
    TargetUpdate {
        target: targets.get(key).expect("is listed").id_hash(),
        in_flight,
        load_report: None,
        event_interval_ms: None,
    }
}

fn report(requests: u32) -> TargetLoad {
    TargetLoad {
        running: requests,
        waiting: 0,
        slots: 4,
        work_percent: None,
    }
}

#[test]
fn load_counts_requests_of_gossip_peers() {
    let (mut targets, key) = targets();
    targets.request_started(key, 0);
    let updates = [update(&targets, key, 3)];
    targets.apply_updates(peer(1), &updates, 0);
    targets.apply_updates(peer(2), &updates, 0);
    assert_eq!(load(&targets, key, 0), 7.0);
}

#[test]
fn apply_updates_replaces_earlier_updates_of_the_peer() {
    let (mut targets, key) = targets();
    let updates = [update(&targets, key, 3)];
    targets.apply_updates(peer(1), &updates, 0);
    targets.apply_updates(peer(1), &[update(&targets, key, 1)], 10);
    assert_eq!(load(&targets, key, 10), 1.0);
    targets.apply_updates(peer(1), &[], 20);
    assert_eq!(load(&targets, key, 20), 0.0);
}

#[test]
fn apply_updates_of_a_silent_peer_expire() {
    let (mut targets, key) = targets();
    let updates = [update(&targets, key, 3)];
    targets.apply_updates(peer(1), &updates, 0);
    assert_eq!(load(&targets, key, GOSSIP_TTL_MS - 1), 3.0);
    assert_eq!(load(&targets, key, GOSSIP_TTL_MS), 0.0);
}

#[test]
fn load_report_counts_requests_of_no_peer_once() {
    let (mut targets, key) = targets();
    targets.request_started(key, 0);
    let updates = [TargetUpdate {
        load_report: Some(LoadReport {
            requests: 6,
            age_ms: 0,
        }),
        ..update(&targets, key, 2)
    }];
    targets.apply_updates(peer(1), &updates, 0);
    assert_eq!(load(&targets, key, 0), 6.0);
}

#[test]
fn apply_updates_ignores_older_load_report() {
    let (mut targets, key) = targets();
    targets.record_load(key, report(2), 100);
    let updates = [TargetUpdate {
        load_report: Some(LoadReport {
            requests: 9,
            age_ms: 50,
        }),
        ..update(&targets, key, 0)
    }];
    targets.apply_updates(peer(1), &updates, 100);
    assert_eq!(load(&targets, key, 100), 2.0);
}

#[test]
fn take_updates_sends_a_load_report_once_and_the_end_of_requests() {
    let (mut targets, key) = targets();
    assert_eq!(targets.take_updates(0), []);
    targets.request_started(key, 0);
    targets.record_load(key, report(3), 10);
    let first = targets.take_updates(30);
    assert_eq!(first[0].in_flight, 1);
    assert_eq!(
        first[0].load_report,
        Some(LoadReport {
            requests: 3,
            age_ms: 20
        })
    );
    assert_eq!(targets.take_updates(130)[0].load_report, None);
    targets.request_ended(key);
    assert_eq!(targets.take_updates(230)[0].in_flight, 0);
    assert_eq!(targets.take_updates(330), []);
}

#[test]
fn take_updates_sends_the_mean_event_interval_since_the_last_call() {
    let (mut targets, key) = targets();
    targets.record_event_interval(key, 30.0, 10);
    targets.record_event_interval(key, 50.0, 20);
    assert_eq!(targets.take_updates(30)[0].event_interval_ms, Some(40));
    assert_eq!(targets.take_updates(40), []);
}

#[test]
fn slowdown_follows_updates_of_peers_and_decays() {
    let (mut targets, key) = targets();
    targets.upsert(TargetEntry {
        id: "b".into(),
        address: ([127, 0, 0, 1], 9_001).into(),
        ..targets.get(key).expect("is listed").entry.clone()
    });
    let slow = targets.of_service("s").nth(1).expect("is listed").0;
    for at_ms in 1..100 {
        targets.record_event_interval(key, 40.0, at_ms);
    }
    for _ in 0..20 {
        let updates = [TargetUpdate {
            event_interval_ms: Some(120),
            ..update(&targets, slow, 1)
        }];
        targets.apply_updates(peer(1), &updates, 100);
    }
    let slowdown = |now_ms| targets.slowdown(targets.get(slow).expect("is listed"), now_ms);
    assert!(slowdown(100) > 1.0, "{}", slowdown(100));
    assert!(slowdown(10_100) < 0.1);
    assert_eq!(
        targets.slowdown(targets.get(key).expect("is listed"), 100),
        0.0
    );
}

#[test]
fn remote_load_decays_from_the_load_report_to_the_mean() {
    let (mut targets, key) = targets();
    let remote_load = |targets: &Targets, now_ms| {
        let target = targets.get(key).expect("is listed");
        target.remote_load(&targets.settings, 3.0, now_ms)
    };
    assert_eq!(remote_load(&targets, 0), 0.0);
    targets.record_load(key, report(1), 0);
    assert_eq!(remote_load(&targets, 0), 1.0);
    assert!((remote_load(&targets, 10_000) - 3.0).abs() < 0.01);
    (0..5).for_each(|_| targets.request_started(key, 10_000));
    assert_eq!(remote_load(&targets, 10_000), 5.0);
}

#[test]
fn load_report_that_comes_back_is_not_sent_again() {
    let (mut sender, key) = targets();
    let (mut receiver, _) = targets();
    sender.record_load(key, report(3), 100);
    let updates = sender.take_updates(100);
    receiver.apply_updates(peer(1), &updates, 101);
    let echo = receiver.take_updates(200);
    assert!(echo[0].load_report.is_some(), "forwarded to other peers");
    sender.apply_updates(peer(2), &echo, 201);
    assert_eq!(sender.take_updates(300), []);
}

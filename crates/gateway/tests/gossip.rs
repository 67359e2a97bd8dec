//! What VMs tell each other of targets.

use std::net::SocketAddr;

use lagoon_gateway::{
    LoadReport, TargetEntry, TargetKey, TargetLoad, TargetStatus, TargetUpdate, Targets,
};

const NEWS_MS: u64 = 350;

fn targets() -> (Targets, TargetKey) {
    let mut targets = Targets::default();
    targets.upsert(TargetEntry {
        id: "a".into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        domain: "d1".into(),
        slots: 4,
        status: TargetStatus::Ready,
    });
    let key = targets.of_service("s").next().expect("is listed").0;
    (targets, key)
}

fn neighbour(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number).into()
}

fn load(targets: &Targets, key: TargetKey, now_ms: u64) -> f64 {
    let target = targets.get(key).expect("is listed");
    target.load(&targets.settings, now_ms)
}

fn told(targets: &Targets, key: TargetKey, in_flight: u32) -> TargetUpdate {
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
    }
}

#[test]
fn take_news_requests_of_neighbours_count() {
    let (mut targets, key) = targets();
    targets.request_started(key, 0);
    let news = [told(&targets, key, 3)];
    targets.apply_updates(neighbour(1), &news, 0);
    targets.apply_updates(neighbour(2), &news, 0);
    assert_eq!(load(&targets, key, 0), 7.0);
}

#[test]
fn take_news_replaces_what_a_neighbour_told() {
    let (mut targets, key) = targets();
    let news = [told(&targets, key, 3)];
    targets.apply_updates(neighbour(1), &news, 0);
    targets.apply_updates(neighbour(1), &[told(&targets, key, 1)], 10);
    assert_eq!(load(&targets, key, 10), 1.0);
    targets.apply_updates(neighbour(1), &[], 20);
    assert_eq!(load(&targets, key, 20), 0.0);
}

#[test]
fn take_news_of_a_silent_neighbour_lapses() {
    let (mut targets, key) = targets();
    let news = [told(&targets, key, 3)];
    targets.apply_updates(neighbour(1), &news, 0);
    assert_eq!(load(&targets, key, NEWS_MS - 1), 3.0);
    assert_eq!(load(&targets, key, NEWS_MS), 0.0);
}

#[test]
fn take_news_report_counts_what_no_neighbour_has() {
    let (mut targets, key) = targets();
    targets.request_started(key, 0);
    let news = [TargetUpdate {
        load_report: Some(LoadReport {
            requests: 6,
            age_ms: 0,
        }),
        ..told(&targets, key, 2)
    }];
    targets.apply_updates(neighbour(1), &news, 0);
    assert_eq!(load(&targets, key, 0), 6.0);
}

#[test]
fn take_news_older_report_than_the_own_one_is_ignored() {
    let (mut targets, key) = targets();
    targets.record_load(key, report(2), 100);
    let news = [TargetUpdate {
        load_report: Some(LoadReport {
            requests: 9,
            age_ms: 50,
        }),
        ..told(&targets, key, 0)
    }];
    targets.apply_updates(neighbour(1), &news, 100);
    assert_eq!(load(&targets, key, 100), 2.0);
}

#[test]
fn news_tells_a_report_once_and_the_end_of_requests() {
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
fn news_tells_the_mean_gap_since_the_last_time() {
    let (mut targets, key) = targets();
    targets.record_event_interval(key, 30.0, 10);
    targets.record_event_interval(key, 50.0, 20);
    assert_eq!(targets.take_updates(30)[0].event_interval_ms, Some(40));
    assert_eq!(targets.take_updates(40), []);
}

#[test]
fn slowness_is_what_a_neighbour_tells_too_and_fades() {
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
        let news = [TargetUpdate {
            event_interval_ms: Some(120),
            ..told(&targets, slow, 1)
        }];
        targets.apply_updates(neighbour(1), &news, 100);
    }
    let slowness = |now_ms| targets.slowdown(targets.get(slow).expect("is listed"), now_ms);
    assert!(slowness(100) > 1.0, "{}", slowness(100));
    assert!(slowness(10_100) < 0.1);
    assert_eq!(
        targets.slowdown(targets.get(key).expect("is listed"), 100),
        0.0
    );
}

#[test]
fn far_load_is_what_it_told_and_then_as_usual() {
    let (mut targets, key) = targets();
    let far_load = |targets: &Targets, now_ms| {
        let target = targets.get(key).expect("is listed");
        target.remote_load(&targets.settings, 3.0, now_ms)
    };
    assert_eq!(far_load(&targets, 0), 0.0);
    targets.record_load(key, report(1), 0);
    assert_eq!(far_load(&targets, 0), 1.0);
    assert!((far_load(&targets, 10_000) - 3.0).abs() < 0.01);
    (0..5).for_each(|_| targets.request_started(key, 10_000));
    assert_eq!(far_load(&targets, 10_000), 5.0);
}

#[test]
fn take_news_report_that_comes_back_is_no_news() {
    let (mut here, key) = targets();
    let (mut there, _) = targets();
    here.record_load(key, report(3), 100);
    let news = here.take_updates(100);
    there.apply_updates(neighbour(1), &news, 101);
    let echo = there.take_updates(200);
    assert!(echo[0].load_report.is_some(), "told on to others");
    here.apply_updates(neighbour(2), &echo, 201);
    assert_eq!(here.take_updates(300), []);
}

//! Use of the estimates of speed and capacity in placement.

use lagoon_gateway::{
    place, Placement, PlacementRequest, PlacementSettings, RequestMetadata, SampleKind,
    TargetEntry, TargetKey, TargetLoad, TargetStatus, Targets,
};

const KIND: SampleKind = SampleKind::Response { kind: 1, bytes: 0 };

fn targets(count: usize) -> (Targets, Vec<TargetKey>) {
    let mut targets = Targets::default();
    for number in 0..count {
        targets.upsert(TargetEntry {
            id: format!("t{number}").into(),
            service: "s".into(),
            address: ([127, 0, 0, 1], 9_000 + number as u16).into(),
            domain: "d1".into(),
            software_version: "v1".into(),
            slots: 6,
            status: TargetStatus::Ready,
            started_unix_ms: None,
        });
    }
    let keys = targets.of_service("s").map(|(key, _)| key).collect();
    (targets, keys)
}

fn report(targets: &mut Targets, key: TargetKey, work_percent: Option<u32>, now_ms: u64) {
    let load = TargetLoad {
        running: 1,
        waiting: 0,
        slots: 6,
        work_percent,
    };
    targets.record_load(key, load, now_ms);
}

fn placed(
    targets: &Targets,
    metadata: &RequestMetadata,
    last_target: Option<TargetKey>,
    random: u64,
    now_ms: u64,
) -> Placement {
    let request = PlacementRequest {
        service: "s",
        metadata,
        domain: "d1",
        last_target,
        excluded_targets: &[],
        demand: lagoon_limits::Demand::Running,
        skips_limited: false,
        software: None,
        distant_targets: &[],
        // Spread over all bits, as the random numbers of the gateway are.
        random: lagoon_ids::hash64(&random.to_le_bytes()),
    };
    let settings = PlacementSettings::default();
    place(targets, &settings, &request, now_ms).expect("targets are ready")
}

/// Share of plain calls that go to a target.
fn share(targets: &Targets, key: TargetKey, now_ms: u64) -> f64 {
    let metadata = RequestMetadata::default();
    let chosen = (0..1_000).filter(|random| {
        let placement = placed(targets, &metadata, None, *random, now_ms);
        placement.key == key
    });
    chosen.count() as f64 / 1e3
}

// Guards against a change for services whose targets report three figures only.
#[test]
fn without_figures_measured_times_change_nothing() {
    let (mut measured, keys) = targets(8);
    let (mut unmeasured, _) = targets(8);
    for now_ms in 1..200 {
        let key = keys[now_ms as usize % 8];
        report(&mut measured, key, None, now_ms);
        report(&mut unmeasured, key, None, now_ms);
        let took_ms = if key == keys[0] { 400.0 } else { 60.0 };
        measured.record_sample(key, KIND, took_ms, true, now_ms);
    }
    for random in 0..200 {
        let metadata = RequestMetadata::default();
        let placement = placed(&measured, &metadata, None, random, 200);
        assert_eq!(placement, placed(&unmeasured, &metadata, None, random, 200));
        assert_eq!(placement.estimate, None);
    }
    assert_eq!(measured.take_speeds(10, 200), []);
}

// Guards against a target that gets its full share while a neighbour slows it down, and
// against one that gets none after that.
#[test]
fn a_slow_target_gets_fewer_plain_calls_while_it_is_slow() {
    let (mut targets, keys) = targets(8);
    for key in &keys {
        report(&mut targets, *key, Some(100), 1_000);
    }
    report(&mut targets, keys[0], Some(250), 1_010);
    let while_slow = share(&targets, keys[0], 1_020);
    for key in &keys {
        report(&mut targets, *key, Some(100), 1_600);
    }
    let afterwards = share(&targets, keys[0], 1_610);
    println!("{while_slow} {afterwards}");
    assert!(while_slow < 0.02);
    assert!((0.08..0.18).contains(&afterwards));
}

// Guards against a herd: of equal targets, none gets much more than its share.
#[test]
fn equal_targets_get_equal_shares() {
    let (mut targets, keys) = targets(8);
    for key in &keys {
        report(&mut targets, *key, Some(100), 1_000);
    }
    for key in keys {
        let share = share(&targets, key, 1_010);
        assert!((0.08..0.18).contains(&share), "{share}");
    }
}

// Guards against requests that are refused as the sampled targets are full while others
// are free.
#[test]
fn a_single_free_target_is_found() {
    let (mut targets, keys) = targets(30);
    for key in &keys[1..] {
        report(&mut targets, *key, Some(100), 1_000);
        (0..7).for_each(|_| targets.request_started(*key, 1_000));
    }
    report(&mut targets, keys[0], Some(100), 1_000);
    assert_eq!(share(&targets, keys[0], 1_010), 1.0);
}

// Guards against sessions that stay at a slow target at any price, and against those that
// leave their prompt for a small gain.
#[test]
fn a_session_moves_only_if_the_target_is_slower_than_a_prefill() {
    let (mut targets, keys) = targets(8);
    for key in &keys {
        report(&mut targets, *key, Some(100), 1_000);
    }
    let prompt = |tokens| RequestMetadata {
        program: Some("p".into()),
        prompt_tokens: tokens,
        prompt_parts: vec![(1, tokens)],
        ..RequestMetadata::default()
    };
    let stays = |targets: &Targets, tokens| {
        let placement = placed(targets, &prompt(tokens), Some(keys[0]), 7, 1_020);
        placement.key == keys[0]
    };
    report(&mut targets, keys[0], Some(130), 1_010);
    assert!(stays(&targets, 2_000));
    report(&mut targets, keys[0], Some(400), 1_020);
    assert!(!stays(&targets, 1_000));
    assert!(stays(&targets, 20_000));
}

// Guards against placements that the operator can't explain.
#[test]
fn a_placement_says_whether_an_estimate_changed_it() {
    let (mut targets, keys) = targets(2);
    for key in &keys {
        report(&mut targets, *key, Some(100), 1_000);
    }
    (0..2).for_each(|_| targets.request_started(keys[1], 1_000));
    report(&mut targets, keys[0], Some(400), 1_010);
    let placement = placed(&targets, &RequestMetadata::default(), None, 3, 1_020);
    assert_eq!(placement.key, keys[1]);
    assert!(placement.is_changed_by_estimate);
    let estimate = placement.estimate.expect("there are figures");
    assert!(estimate.capacity > 5.0 && estimate.age_ms == Some(20));
}

// Guards against VMs that know nothing of the targets that others call.
#[test]
fn speeds_reach_gossip_peers_once() {
    let (mut sender, keys) = targets(4);
    let (mut receiver, _) = targets(4);
    for key in &keys {
        report(&mut sender, *key, Some(100), 500);
        sender.record_sample(*key, KIND, 60.0, true, 500);
    }
    assert_eq!(sender.take_speeds(10, 600).len(), 4);
    report(&mut sender, keys[2], Some(250), 1_000);
    sender.record_sample(keys[2], KIND, 150.0, true, 1_000);
    let speeds = sender.take_speeds(10, 1_040);
    assert_eq!(speeds.len(), 1);
    receiver.apply_speeds(&speeds, 1_050);
    let target = receiver.get(keys[2]).expect("is listed");
    let estimate = receiver.estimate(target, 1_050).expect("has a figure");
    assert!(estimate.slowness > 2.0);
    assert_eq!(sender.take_speeds(10, 1_140), []);
    assert_eq!(receiver.take_speeds(10, 1_140), []);
}

//! Beliefs of one VM about its paths.

use lagoon_paths::{Loss, PathChange, PathSettings, Paths, Way};
use yare::parameterized;

const SETTINGS: PathSettings = PathSettings {
    vm_silence_ms: 200,
    target_silence_ms: 600,
    check_interval_ms: 1_000,
    probe_ms: 500,
    max_probe_ms: 4_000,
    relapse_ms: 10_000,
    doubt_ms: 1_000,
    sound_ms: 1_000,
    isolation_paths: 2,
};

fn paths() -> Paths<u32> {
    Paths::new(SETTINGS)
}

#[parameterized(
    refused_keeps_open_connections = { Loss::Refused, Way::Kept },
    timed_out_uses_none = { Loss::TimedOut, Way::Carried },
)]
fn failed_connection_loses_the_path(loss: Loss, way: Way) {
    let mut paths = paths();
    assert_eq!(paths.way(1), Way::Direct);
    let lost = PathChange::Lost {
        target: 1,
        loss,
        silent_ms: None,
    };
    assert_eq!(paths.record_failed(1, loss, 1_000), [lost]);
    assert_eq!((paths.way(1), paths.way(2)), (way, Way::Direct));
    // Told once.
    assert_eq!(paths.record_failed(1, loss, 1_100), []);
    let found = PathChange::Found {
        target: 1,
        lost_ms: 500,
    };
    assert_eq!(paths.record_connected(1, 1_500), [found]);
    assert_eq!(paths.way(1), Way::Direct);
}

#[test]
fn bytes_on_a_kept_connection_don_t_end_a_refusal() {
    let mut paths = paths();
    paths.record_failed(1, Loss::Refused, 1_000);
    assert_eq!(paths.record_bytes(1, 1_100), []);
    assert_eq!(paths.way(1), Way::Kept);
    paths.record_failed(2, Loss::TimedOut, 1_000);
    assert_eq!(paths.record_bytes(2, 1_100).len(), 1);
    assert_eq!(paths.way(2), Way::Direct);
}

#[test]
fn vm_is_isolated_only_if_another_reaches_a_target() {
    let mut paths = paths();
    for target in 1..=3 {
        paths.record_failed(target, Loss::TimedOut, 1_000);
    }
    // Three targets may be dead.
    assert!(!paths.is_isolated());
    assert_eq!(paths.way(4), Way::Direct);
    let changes = paths.record_reached_elsewhere(2, 1_200);
    let confirmed = PathChange::Confirmed {
        target: 2,
        lost_ms: 200,
    };
    assert_eq!(changes, [confirmed, PathChange::Isolated { paths: 3 }]);
    assert_eq!(paths.way(4), Way::Carried);
    let changes = paths.record_bytes(4, 1_700);
    assert_eq!(changes, [PathChange::Rejoined { isolated_ms: 500 }]);
    assert_eq!((paths.way(4), paths.way(2)), (Way::Direct, Way::Carried));
}

#[test]
fn isolation_by_refusals_keeps_open_connections() {
    let mut paths = paths();
    paths.record_failed(1, Loss::Refused, 1_000);
    paths.record_reached_elsewhere(1, 1_000);
    paths.record_failed(2, Loss::Refused, 1_000);
    assert!(paths.is_isolated());
    assert_eq!(paths.way(3), Way::Kept);
}

#[test]
fn target_that_no_vm_reaches_is_no_lost_path() {
    let mut paths = paths();
    paths.record_failed(1, Loss::TimedOut, 1_000);
    let down = PathChange::TargetDown { target: 1 };
    assert_eq!(paths.record_target_down(1, 1_100), [down]);
    assert_eq!(paths.way(1), Way::Direct);
    paths.record_failed(2, Loss::TimedOut, 1_000);
    paths.record_reached_elsewhere(2, 1_000);
    assert!(!paths.is_isolated());
}

#[test]
fn one_lost_path_among_others_that_work_doesn_t_isolate() {
    let mut paths = paths();
    for round in 0..5 {
        paths.record_failed(round, Loss::TimedOut, 1_000);
        paths.record_reached_elsewhere(round, 1_000);
        paths.record_bytes(10, 1_001);
    }
    assert!(!paths.is_isolated());
}

#[test]
fn attempt_is_hopeless_once_its_loss_is_confirmed_and_it_is_silent() {
    let mut paths = paths();
    paths.attempt_started(1, 0, 1_000);
    paths.record_failed(1, Loss::TimedOut, 1_300);
    assert!(!paths.is_hopeless(1, 1_000, 1_300));
    paths.record_reached_elsewhere(1, 1_310);
    assert!(paths.is_hopeless(1, 1_000, 1_310));
    // Bytes arrived lately.
    assert!(!paths.is_hopeless(1, 1_200, 1_310));
    assert!(!paths.is_hopeless(2, 1_000, 1_310));
}

#[test]
fn refusal_ends_no_attempt() {
    let mut paths = paths();
    paths.record_failed(1, Loss::Refused, 1_000);
    paths.record_reached_elsewhere(1, 1_000);
    assert!(!paths.is_hopeless(1, 0, 5_000));
}

// Guards against an end of streams of a sound target that is silent for a second.
#[test]
fn silent_target_that_accepts_connections_loses_nothing() {
    let mut paths = paths();
    paths.attempt_started(1, 0, 1_000);
    assert_eq!(paths.take_due_checks(1_100), [] as [u32; 0]);
    assert_eq!(paths.take_due_checks(1_200), [1]);
    paths.record_connected(1, 1_202);
    assert_eq!(paths.take_due_checks(1_500), [] as [u32; 0]);
    assert!(!paths.is_hopeless(1, 1_000, 2_100));
}

#[test]
fn target_is_checked_later_while_others_respond() {
    let mut paths = paths();
    paths.attempt_started(1, 0, 1_000);
    for now_ms in (1_000..1_600).step_by(100) {
        paths.record_bytes(2, now_ms);
        assert_eq!(paths.take_due_checks(now_ms), [] as [u32; 0]);
    }
    paths.record_bytes(2, 1_600);
    assert_eq!(paths.take_due_checks(1_600), [1]);
    // At most once a second.
    assert_eq!(paths.take_due_checks(2_500), [] as [u32; 0]);
    assert_eq!(paths.take_due_checks(2_600), [1]);
}

#[test]
fn idle_path_is_not_checked() {
    let mut paths = paths();
    paths.attempt_started(1, 0, 1_000);
    paths.attempt_ended(1);
    assert_eq!(paths.take_due_checks(9_000), [] as [u32; 0]);
}

#[test]
fn lost_path_is_tried_ever_more_rarely() {
    let mut paths = paths();
    paths.record_failed(1, Loss::TimedOut, 0);
    let mut tries = Vec::new();
    for now_ms in 0..20_000 {
        if paths.take_probe(1, now_ms) {
            tries.push(now_ms);
            paths.record_failed(1, Loss::TimedOut, now_ms);
        }
    }
    assert_eq!(tries, [500, 1_500, 3_500, 7_500, 11_500, 15_500, 19_500]);
}

#[test]
fn path_that_is_lost_again_soon_goes_on_with_the_longer_time() {
    let mut paths = paths();
    paths.record_failed(1, Loss::TimedOut, 0);
    paths.record_connected(1, 600);
    paths.record_failed(1, Loss::TimedOut, 1_000);
    assert!(!paths.take_probe(1, 1_900));
    assert!(paths.take_probe(1, 2_000));
    paths.record_connected(1, 2_001);
    paths.record_failed(1, Loss::TimedOut, 20_000);
    assert!(paths.take_probe(1, 20_500));
}

// Guards against a VM that reaches targets again and finds that out only seconds later.
#[test]
fn vm_that_hears_of_no_target_tries_one_at_a_time_and_all_once_one_is_back() {
    let mut paths = paths();
    paths.record_failed(1, Loss::TimedOut, 1_000);
    assert_eq!(paths.take_vm_probe(7, 5_000), None);
    paths.record_failed(2, Loss::TimedOut, 5_000);
    paths.record_failed(3, Loss::TimedOut, 5_000);
    let mut tries = Vec::new();
    for now_ms in 5_000..7_001 {
        if let Some(target) = paths.take_vm_probe(now_ms, now_ms) {
            tries.push(now_ms);
            paths.record_failed(target, Loss::TimedOut, now_ms);
        }
    }
    assert_eq!(tries, [5_500, 6_000, 6_500, 7_000]);
    paths.record_connected(1, 7_100);
    assert_eq!(paths.take_vm_probe(7, 9_000), None);
    assert!(paths.take_probe(2, 7_100) && paths.take_probe(3, 7_100));
}

// Guards against a VM that counts as isolated for good, as no lost path is left by which
// it finds that it reaches targets again.
#[parameterized(
    target_is_down = { true },
    target_is_gone = { false },
)]
fn isolation_ends_with_the_paths_that_it_rests_on(is_down: bool) {
    let mut paths = paths();
    paths.record_failed(1, Loss::TimedOut, 1_000);
    paths.record_failed(2, Loss::TimedOut, 1_000);
    paths.record_reached_elsewhere(1, 1_000);
    assert!(paths.is_isolated());
    let rejoined = PathChange::Rejoined { isolated_ms: 500 };
    if is_down {
        let changes = paths.record_target_down(2, 1_500);
        assert_eq!(changes.last(), Some(&rejoined));
    } else {
        assert_eq!(paths.retain(|target| target == 2, 1_500), Some(rejoined));
    }
    assert_eq!(paths.way(3), Way::Direct);
}

// Guards against requests that are lost one after the other on kept connections, each to
// another target, when all of them break at once.
#[test]
fn kept_connections_are_doubted_after_a_loss_until_the_target_is_heard() {
    let mut paths = paths();
    for target in 1..=3 {
        paths.record_bytes(target, 500);
    }
    assert!(paths.trusts_kept(2, 1_000));
    paths.record_failed(1, Loss::Refused, 1_000);
    assert!(!paths.trusts_kept(2, 1_001) && !paths.trusts_kept(3, 1_001));
    paths.record_connected(2, 1_005);
    assert!(paths.trusts_kept(2, 1_006) && !paths.trusts_kept(3, 1_006));
    assert!(paths.trusts_kept(3, 2_000));
    // A dead target says nothing of the others.
    paths.record_failed(4, Loss::Refused, 3_000);
    paths.record_bytes(5, 3_000);
    paths.record_failed(5, Loss::Refused, 3_001);
    paths.record_target_down(4, 3_002);
    assert!(!paths.trusts_kept(2, 3_003));
    paths.record_target_down(5, 3_003);
    assert!(paths.trusts_kept(2, 3_004));
}

#[test]
fn refusal_after_a_break_keeps_no_connection_open() {
    let mut paths = paths();
    paths.record_broken(1, 1_000);
    paths.record_failed(1, Loss::Refused, 1_002);
    paths.record_failed(2, Loss::Refused, 1_002);
    assert_eq!((paths.way(1), paths.way(2)), (Way::Carried, Way::Kept));
    paths.record_broken(2, 1_010);
    assert_eq!(paths.way(2), Way::Carried);
}

// Guards against streams that wait for a cut-off failure domain as long as for one target
// that is silent for a second.
#[test]
fn attempts_are_hopeless_where_two_targets_of_a_domain_are_down() {
    let mut paths = paths();
    for (target, domain) in [(1, 7), (2, 7), (3, 8)] {
        paths.attempt_started(target, domain, 1_000);
    }
    let find_down = |paths: &mut Paths<u32>, target, now_ms| {
        paths.record_failed(target, Loss::TimedOut, now_ms);
        paths.record_target_down(target, now_ms);
    };
    paths.record_bytes(3, 1_500);
    find_down(&mut paths, 1, 1_700);
    assert!(paths.is_in_question(1) && !paths.is_hopeless(1, 1_000, 2_500));
    // The other one of the domain is checked sooner now.
    paths.record_bytes(3, 1_750);
    let mut due = paths.take_due_checks(1_800);
    due.sort_unstable();
    assert_eq!(due, [1, 2]);
    find_down(&mut paths, 2, 1_900);
    paths.record_bytes(3, 1_950);
    assert!(paths.is_hopeless(1, 1_000, 1_950) && paths.is_hopeless(2, 1_000, 1_950));
    assert!(!paths.is_hopeless(3, 1_000, 1_950));
    paths.record_bytes(2, 2_000);
    assert!(!paths.is_hopeless(1, 1_000, 2_000));
}

// Guards against streams that are ended although no target responds, so that they can go
// on nowhere: all targets are silent for a second.
#[test]
fn attempts_wait_where_no_target_responds() {
    let mut paths = paths();
    for target in 1..=3 {
        paths.attempt_started(target, 7, 1_000);
        paths.record_bytes(target, 1_100);
    }
    for target in 1..=2 {
        paths.record_failed(target, Loss::TimedOut, 1_500);
        paths.record_target_down(target, 1_510);
    }
    assert!(!paths.is_hopeless(1, 1_100, 2_300) && !paths.is_hopeless(2, 1_100, 2_300));
}

//! What may follow a failed try.

use lagoon_gateway::{after_failure, Attempts, Failure, Kind, Next, Route, TargetKey};
use slotmap::SlotMap;
use yare::parameterized;

fn route(kind: Kind, resumable: bool, max_attempts: u32) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 0,
        splits: Vec::new(),
        max_attempts,
        resumable,
        sticky: false,
        retention_ms: 0,
    }
}

fn keys() -> Vec<TargetKey> {
    let mut arena: SlotMap<TargetKey, ()> = SlotMap::with_key();
    (0..8).map(|_| arena.insert(())).collect()
}

#[parameterized(
    booking_broken = { Kind::NonIdempotent, false, Failure::Broken, false, Next::Unknown },
    booking_broken_at_ended = { Kind::NonIdempotent, false, Failure::Broken, true, Next::Unknown },
    booking_not_sent = { Kind::NonIdempotent, false, Failure::NotSent, true, Next::Another },
    booking_not_executed = { Kind::NonIdempotent, false, Failure::NotExecuted, false, Next::Another },
    booking_other_instance = { Kind::NonIdempotent, false, Failure::OtherInstance, false, Next::Another },
    lookup_broken = { Kind::Idempotent, false, Failure::Broken, false, Next::Same },
    lookup_broken_at_ended = { Kind::Idempotent, false, Failure::Broken, true, Next::Another },
    stream_broken = { Kind::Streaming, true, Failure::Broken, false, Next::Same },
    stream_broken_at_ended = { Kind::Streaming, true, Failure::Broken, true, Next::Another },
    stream_not_resumable = { Kind::Streaming, false, Failure::Broken, false, Next::Unknown },
)]
fn after_failure_first(kind: Kind, resumable: bool, failure: Failure, ended: bool, next: Next) {
    let mut attempts = Attempts::default();
    attempts.note(keys()[0], failure);
    let route = route(kind, resumable, 1);
    assert_eq!(after_failure(&route, &attempts, failure, ended), next);
}

#[test]
fn after_failure_second_target_within_the_attempts() {
    let route = route(Kind::Idempotent, false, 2);
    let keys = keys();
    let mut attempts = Attempts::default();
    attempts.note(keys[0], Failure::Broken);
    assert_eq!(
        after_failure(&route, &attempts, Failure::Broken, false),
        Next::Another
    );
    attempts.note(keys[1], Failure::Broken);
    assert_eq!(
        after_failure(&route, &attempts, Failure::Broken, false),
        Next::Same
    );
}

#[parameterized(
    never_ran = { Failure::NotExecuted, Next::Refuse },
    may_have_run = { Failure::Broken, Next::Unknown },
)]
fn after_failure_ends(failure: Failure, end: Next) {
    let route = route(Kind::Idempotent, false, 2);
    let mut attempts = Attempts::default();
    let ends = (0..20).find_map(|turn: usize| {
        attempts.note(keys()[turn % 8], failure);
        let next = after_failure(&route, &attempts, failure, false);
        matches!(next, Next::Refuse | Next::Unknown).then_some(next)
    });
    assert_eq!(ends, Some(end));
}

#[test]
fn after_failure_refusal_after_a_broken_try_is_unknown() {
    let route = route(Kind::Idempotent, false, 1);
    let mut attempts = Attempts::default();
    attempts.note(keys()[0], Failure::Broken);
    let mut next = Next::Another;
    for _ in 0..10 {
        attempts.note(keys()[1], Failure::NotExecuted);
        next = after_failure(&route, &attempts, Failure::NotExecuted, false);
    }
    assert_eq!(next, Next::Unknown);
}

#[test]
fn after_failure_third_break_is_the_last() {
    let route = route(Kind::Streaming, true, 1);
    let keys = keys();
    let mut attempts = Attempts::default();
    let next = [0, 1, 2].map(|index| {
        attempts.note(keys[index], Failure::Broken);
        after_failure(&route, &attempts, Failure::Broken, true)
    });
    assert_eq!(next, [Next::Another, Next::Another, Next::Unknown]);
}

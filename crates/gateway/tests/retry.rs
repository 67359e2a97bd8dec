//! What may follow a failed try.

use lagoon_gateway::{
    decide_retry, AttemptFailure, Attempts, RetryDecision, Route, RouteKind, TargetKey,
};
use slotmap::SlotMap;
use yare::parameterized;

fn route(kind: RouteKind, resumable: bool, max_attempts: u32) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 0,
        traffic_split: Vec::new(),
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
    booking_broken = { RouteKind::NonIdempotent, false, AttemptFailure::Interrupted, false, RetryDecision::UnknownOutcome },
    booking_broken_at_ended = { RouteKind::NonIdempotent, false, AttemptFailure::Interrupted, true, RetryDecision::UnknownOutcome },
    booking_not_sent = { RouteKind::NonIdempotent, false, AttemptFailure::NotSent, true, RetryDecision::AnotherTarget },
    booking_not_executed = { RouteKind::NonIdempotent, false, AttemptFailure::NotExecuted, false, RetryDecision::AnotherTarget },
    booking_other_instance = { RouteKind::NonIdempotent, false, AttemptFailure::OtherInstance, false, RetryDecision::AnotherTarget },
    lookup_broken = { RouteKind::Idempotent, false, AttemptFailure::Interrupted, false, RetryDecision::SameTarget },
    lookup_broken_at_ended = { RouteKind::Idempotent, false, AttemptFailure::Interrupted, true, RetryDecision::AnotherTarget },
    stream_broken = { RouteKind::Streaming, true, AttemptFailure::Interrupted, false, RetryDecision::SameTarget },
    stream_broken_at_ended = { RouteKind::Streaming, true, AttemptFailure::Interrupted, true, RetryDecision::AnotherTarget },
    stream_not_resumable = { RouteKind::Streaming, false, AttemptFailure::Interrupted, false, RetryDecision::UnknownOutcome },
)]
fn after_failure_first(
    kind: RouteKind,
    resumable: bool,
    failure: AttemptFailure,
    ended: bool,
    next: RetryDecision,
) {
    let mut attempts = Attempts::default();
    attempts.record_failure(keys()[0], failure);
    let route = route(kind, resumable, 1);
    assert_eq!(decide_retry(&route, &attempts, failure, ended), next);
}

#[test]
fn after_failure_second_target_within_the_attempts() {
    let route = route(RouteKind::Idempotent, false, 2);
    let keys = keys();
    let mut attempts = Attempts::default();
    attempts.record_failure(keys[0], AttemptFailure::Interrupted);
    assert_eq!(
        decide_retry(&route, &attempts, AttemptFailure::Interrupted, false),
        RetryDecision::AnotherTarget
    );
    attempts.record_failure(keys[1], AttemptFailure::Interrupted);
    assert_eq!(
        decide_retry(&route, &attempts, AttemptFailure::Interrupted, false),
        RetryDecision::SameTarget
    );
}

#[parameterized(
    never_ran = { AttemptFailure::NotExecuted, RetryDecision::Refuse },
    may_have_run = { AttemptFailure::Interrupted, RetryDecision::UnknownOutcome },
)]
fn after_failure_ends(failure: AttemptFailure, end: RetryDecision) {
    let route = route(RouteKind::Idempotent, false, 2);
    let mut attempts = Attempts::default();
    let ends = (0..20).find_map(|turn: usize| {
        attempts.record_failure(keys()[turn % 8], failure);
        let next = decide_retry(&route, &attempts, failure, false);
        matches!(next, RetryDecision::Refuse | RetryDecision::UnknownOutcome).then_some(next)
    });
    assert_eq!(ends, Some(end));
}

#[test]
fn after_failure_refusal_after_a_broken_try_is_unknown() {
    let route = route(RouteKind::Idempotent, false, 1);
    let mut attempts = Attempts::default();
    attempts.record_failure(keys()[0], AttemptFailure::Interrupted);
    let mut next = RetryDecision::AnotherTarget;
    for _ in 0..10 {
        attempts.record_failure(keys()[1], AttemptFailure::NotExecuted);
        next = decide_retry(&route, &attempts, AttemptFailure::NotExecuted, false);
    }
    assert_eq!(next, RetryDecision::UnknownOutcome);
}

#[test]
fn after_failure_third_break_is_the_last() {
    let route = route(RouteKind::Streaming, true, 1);
    let keys = keys();
    let mut attempts = Attempts::default();
    let next = [0, 1, 2].map(|index| {
        attempts.record_failure(keys[index], AttemptFailure::Interrupted);
        decide_retry(&route, &attempts, AttemptFailure::Interrupted, true)
    });
    assert_eq!(
        next,
        [
            RetryDecision::AnotherTarget,
            RetryDecision::AnotherTarget,
            RetryDecision::UnknownOutcome
        ]
    );
}

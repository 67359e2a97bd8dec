//! Retry decisions after failed attempts.

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
        keeps_turns: false,
        is_public: false,
    }
}

fn keys() -> Vec<TargetKey> {
    let mut arena: SlotMap<TargetKey, ()> = SlotMap::with_key();
    (0..8).map(|_| arena.insert(())).collect()
}

#[parameterized(
    booking_interrupted = { RouteKind::NonIdempotent, false, AttemptFailure::Interrupted, false, RetryDecision::UnknownOutcome },
    booking_interrupted_at_ended_target = { RouteKind::NonIdempotent, false, AttemptFailure::Interrupted, true, RetryDecision::UnknownOutcome },
    booking_not_sent = { RouteKind::NonIdempotent, false, AttemptFailure::NotSent, true, RetryDecision::AnotherTarget },
    booking_not_executed = { RouteKind::NonIdempotent, false, AttemptFailure::NotExecuted, false, RetryDecision::AnotherTarget },
    booking_other_instance = { RouteKind::NonIdempotent, false, AttemptFailure::OtherInstance, false, RetryDecision::AnotherTarget },
    lookup_interrupted = { RouteKind::Idempotent, false, AttemptFailure::Interrupted, false, RetryDecision::SameTarget },
    lookup_interrupted_at_ended_target = { RouteKind::Idempotent, false, AttemptFailure::Interrupted, true, RetryDecision::AnotherTarget },
    stream_interrupted = { RouteKind::Streaming, true, AttemptFailure::Interrupted, false, RetryDecision::SameTarget },
    stream_interrupted_at_ended_target = { RouteKind::Streaming, true, AttemptFailure::Interrupted, true, RetryDecision::AnotherTarget },
    stream_not_resumable = { RouteKind::Streaming, false, AttemptFailure::Interrupted, false, RetryDecision::UnknownOutcome },
)]
fn decide_retry_after_first_attempt(
    kind: RouteKind,
    resumable: bool,
    failure: AttemptFailure,
    ended: bool,
    decision: RetryDecision,
) {
    let mut attempts = Attempts::default();
    attempts.record_failure(keys()[0], failure);
    let route = route(kind, resumable, 1);
    assert_eq!(decide_retry(&route, &attempts, failure, ended), decision);
}

#[test]
fn decide_retry_tries_targets_up_to_the_routes_attempts() {
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
fn decide_retry_ends(failure: AttemptFailure, end: RetryDecision) {
    let route = route(RouteKind::Idempotent, false, 2);
    let mut attempts = Attempts::default();
    let ends = (0..20).find_map(|attempt: usize| {
        attempts.record_failure(keys()[attempt % 8], failure);
        let decision = decide_retry(&route, &attempts, failure, false);
        matches!(
            decision,
            RetryDecision::Refuse | RetryDecision::UnknownOutcome
        )
        .then_some(decision)
    });
    assert_eq!(ends, Some(end));
}

#[test]
fn decide_retry_after_an_interrupted_attempt_never_refuses() {
    let route = route(RouteKind::Idempotent, false, 1);
    let mut attempts = Attempts::default();
    attempts.record_failure(keys()[0], AttemptFailure::Interrupted);
    let mut decision = RetryDecision::AnotherTarget;
    for _ in 0..10 {
        attempts.record_failure(keys()[1], AttemptFailure::NotExecuted);
        decision = decide_retry(&route, &attempts, AttemptFailure::NotExecuted, false);
    }
    assert_eq!(decision, RetryDecision::UnknownOutcome);
}

#[test]
fn decide_retry_stops_at_the_third_interruption() {
    let route = route(RouteKind::Streaming, true, 1);
    let keys = keys();
    let mut attempts = Attempts::default();
    let decisions = [0, 1, 2].map(|index| {
        attempts.record_failure(keys[index], AttemptFailure::Interrupted);
        decide_retry(&route, &attempts, AttemptFailure::Interrupted, true)
    });
    assert_eq!(
        decisions,
        [
            RetryDecision::AnotherTarget,
            RetryDecision::AnotherTarget,
            RetryDecision::UnknownOutcome
        ]
    );
}

//! Retry decisions after failed attempts.

use lagoon_gateway::{
    decide_retry, AttemptFailure, Attempts, RetryDecision, Route, RouteKind, TargetKey,
};
use proptest::prelude::*;
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

/// State of a target when it is decided what follows an attempt there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TargetState {
    TakesRequests,
    /// Runs, and takes no more requests.
    Drained,
    Ended,
}

use TargetState::{Drained, Ended, TakesRequests};

/// Decision after the last failure at a target in this state.
fn decide(
    route: &Route,
    attempts: &mut Attempts,
    target: TargetKey,
    failure: AttemptFailure,
    state: TargetState,
) -> RetryDecision {
    if state == Ended {
        attempts.record_ended(target);
    }
    let mut ran_at = attempts.ran_at();
    let again_at = ran_at.find(|ran| *ran == target && state == TakesRequests);
    drop(ran_at);
    decide_retry(route, attempts, failure, again_at)
}

/// What is decided, whichever target is meant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Decision {
    Another,
    Same,
    Refuse,
    Unknown,
}

impl From<RetryDecision> for Decision {
    fn from(decision: RetryDecision) -> Decision {
        match decision {
            RetryDecision::AnotherTarget => Decision::Another,
            RetryDecision::SameTarget(_) => Decision::Same,
            RetryDecision::Refuse => Decision::Refuse,
            RetryDecision::UnknownOutcome => Decision::Unknown,
        }
    }
}

#[parameterized(
    booking_interrupted = { RouteKind::NonIdempotent, false, AttemptFailure::Interrupted, TakesRequests, Decision::Unknown },
    booking_interrupted_at_ended_target = { RouteKind::NonIdempotent, false, AttemptFailure::Interrupted, Ended, Decision::Unknown },
    booking_failed = { RouteKind::NonIdempotent, false, AttemptFailure::Failed, TakesRequests, Decision::Unknown },
    booking_not_sent = { RouteKind::NonIdempotent, false, AttemptFailure::NotSent, Ended, Decision::Another },
    booking_not_executed = { RouteKind::NonIdempotent, false, AttemptFailure::NotExecuted, TakesRequests, Decision::Another },
    booking_not_sent_to_drained_target = { RouteKind::NonIdempotent, false, AttemptFailure::NotSent, Drained, Decision::Another },
    booking_other_instance = { RouteKind::NonIdempotent, false, AttemptFailure::OtherInstance, TakesRequests, Decision::Another },
    lookup_interrupted = { RouteKind::Idempotent, false, AttemptFailure::Interrupted, TakesRequests, Decision::Same },
    lookup_interrupted_at_ended_target = { RouteKind::Idempotent, false, AttemptFailure::Interrupted, Ended, Decision::Another },
    lookup_interrupted_at_drained_target = { RouteKind::Idempotent, false, AttemptFailure::Interrupted, Drained, Decision::Unknown },
    lookup_failed = { RouteKind::Idempotent, false, AttemptFailure::Failed, TakesRequests, Decision::Same },
    stream_failed = { RouteKind::Streaming, true, AttemptFailure::Failed, TakesRequests, Decision::Same },
    stream_failed_and_not_resumable = { RouteKind::Streaming, false, AttemptFailure::Failed, TakesRequests, Decision::Unknown },
    stream_interrupted = { RouteKind::Streaming, true, AttemptFailure::Interrupted, TakesRequests, Decision::Same },
    stream_interrupted_at_ended_target = { RouteKind::Streaming, true, AttemptFailure::Interrupted, Ended, Decision::Another },
    stream_interrupted_at_drained_target = { RouteKind::Streaming, true, AttemptFailure::Interrupted, Drained, Decision::Unknown },
    stream_not_resumable = { RouteKind::Streaming, false, AttemptFailure::Interrupted, TakesRequests, Decision::Unknown },
)]
fn decide_retry_after_first_attempt(
    kind: RouteKind,
    resumable: bool,
    failure: AttemptFailure,
    state: TargetState,
    expected: Decision,
) {
    let mut attempts = Attempts::default();
    let target = keys()[0];
    attempts.record_failure(target, failure);
    let route = route(kind, resumable, 1);
    let decision = decide(&route, &mut attempts, target, failure, state);
    assert_eq!(Decision::from(decision), expected);
}

// Guards against a request that runs at more targets than its route allows, as the one
// that may have run it refuses it the next time.
#[parameterized(
    full = { AttemptFailure::NotExecuted },
    not_sent = { AttemptFailure::NotSent },
)]
fn decide_retry_stays_at_the_target_that_may_have_run_it(failure: AttemptFailure) {
    let route = route(RouteKind::Streaming, true, 1);
    let target = keys()[0];
    let mut attempts = Attempts::default();
    attempts.record_failure(target, AttemptFailure::Interrupted);
    attempts.record_failure(target, failure);
    let decision = decide(&route, &mut attempts, target, failure, TakesRequests);
    assert_eq!(decision, RetryDecision::SameTarget(target));
    let decision = decide(&route, &mut attempts, target, failure, Drained);
    assert_eq!(decision, RetryDecision::UnknownOutcome);
    let decision = decide(&route, &mut attempts, target, failure, Ended);
    assert_eq!(decision, RetryDecision::AnotherTarget);
}

#[test]
fn decide_retry_tries_targets_up_to_the_routes_attempts() {
    let route = route(RouteKind::Idempotent, false, 2);
    let keys = keys();
    let mut attempts = Attempts::default();
    let interrupted = AttemptFailure::Interrupted;
    attempts.record_failure(keys[0], interrupted);
    assert_eq!(
        decide_retry(&route, &attempts, interrupted, Some(keys[0])),
        RetryDecision::AnotherTarget
    );
    attempts.record_failure(keys[1], interrupted);
    assert_eq!(
        decide_retry(&route, &attempts, interrupted, Some(keys[1])),
        RetryDecision::SameTarget(keys[1])
    );
}

#[parameterized(
    never_ran = { AttemptFailure::NotExecuted, RetryDecision::Refuse },
    may_have_run = { AttemptFailure::Interrupted, RetryDecision::UnknownOutcome },
    failed = { AttemptFailure::Failed, RetryDecision::UnknownOutcome },
)]
fn decide_retry_ends(failure: AttemptFailure, end: RetryDecision) {
    let route = route(RouteKind::Idempotent, false, 2);
    let mut attempts = Attempts::default();
    let ends = (0..20).find_map(|attempt: usize| {
        let target = keys()[attempt % 8];
        attempts.record_failure(target, failure);
        let decision = decide(&route, &mut attempts, target, failure, TakesRequests);
        matches!(
            decision,
            RetryDecision::Refuse | RetryDecision::UnknownOutcome
        )
        .then_some(decision)
    });
    assert_eq!(ends, Some(end));
}

#[parameterized(
    interrupted = { AttemptFailure::Interrupted },
    failed = { AttemptFailure::Failed },
)]
fn decide_retry_after_an_attempt_that_may_have_run_never_refuses(first: AttemptFailure) {
    let route = route(RouteKind::Idempotent, false, 1);
    let mut attempts = Attempts::default();
    attempts.record_failure(keys()[0], first);
    let mut decision = RetryDecision::AnotherTarget;
    for _ in 0..10 {
        let (target, failure) = (keys()[1], AttemptFailure::NotExecuted);
        attempts.record_failure(target, failure);
        decision = decide(&route, &mut attempts, target, failure, TakesRequests);
        assert_ne!(decision, RetryDecision::Refuse);
    }
    assert_eq!(decision, RetryDecision::UnknownOutcome);
}

#[test]
fn decide_retry_stops_at_the_third_interruption() {
    let route = route(RouteKind::Streaming, true, 1);
    let keys = keys();
    let mut attempts = Attempts::default();
    let decisions = [0, 1, 2].map(|index| {
        let (target, failure) = (keys[index], AttemptFailure::Interrupted);
        attempts.record_failure(target, failure);
        decide(&route, &mut attempts, target, failure, Ended)
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

const FAILURES: [AttemptFailure; 5] = [
    AttemptFailure::NotSent,
    AttemptFailure::NotExecuted,
    AttemptFailure::OtherInstance,
    AttemptFailure::Interrupted,
    AttemptFailure::Failed,
];

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: prop::test_runner::RngSeed::Fixed(60),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against a request that runs at more targets than its route allows, or is sent
    // to one that takes no more requests, whatever failed before and in whichever state
    // its targets are then.
    #[test]
    fn request_runs_at_no_more_targets_than_allowed(
        max_attempts in 1..4_u32,
        is_repeatable in any::<bool>(),
        outcomes in prop::collection::vec((0..5_usize, 0..8_usize, 0..3_usize), 12),
    ) {
        let kind = match is_repeatable {
            true => RouteKind::Idempotent,
            false => RouteKind::NonIdempotent,
        };
        let route = route(kind, false, max_attempts);
        let keys = keys();
        let mut states = vec![TakesRequests; keys.len()];
        let mut attempts = Attempts::default();
        let mut ran_at = Vec::new();
        let mut target = 0;
        for (failure, next, state) in outcomes {
            let failure = FAILURES[failure];
            attempts.record_failure(keys[target], failure);
            if !failure.is_not_executed() && !ran_at.contains(&target) {
                ran_at.push(target);
            }
            states[target] = [TakesRequests, Drained, Ended][state];
            let alive = ran_at.iter().filter(|ran| states[**ran] != Ended).count();
            prop_assert!(alive as u32 <= max_attempts, "{ran_at:?} {states:?}");
            if states[target] == Ended {
                attempts.record_ended(keys[target]);
            }
            let is_open = |key: &TargetKey| {
                let index = keys.iter().position(|other| other == key);
                index.is_some_and(|index| states[index] == TakesRequests)
            };
            let again_at = attempts.ran_at().find(is_open);
            target = match decide_retry(&route, &attempts, failure, again_at) {
                // Placement takes one that takes requests.
                RetryDecision::AnotherTarget => {
                    let open = (0..keys.len()).filter(|index| states[*index] == TakesRequests);
                    let open: Vec<usize> = open.collect();
                    if open.is_empty() {
                        break;
                    }
                    open[next % open.len()]
                }
                RetryDecision::SameTarget(key) => {
                    let index = keys.iter().position(|other| *other == key);
                    let index = index.expect("a target");
                    prop_assert!(states[index] == TakesRequests && ran_at.contains(&index));
                    index
                }
                RetryDecision::Refuse => {
                    prop_assert!(ran_at.is_empty());
                    break;
                }
                RetryDecision::UnknownOutcome => {
                    prop_assert!(!ran_at.is_empty());
                    break;
                }
            };
        }
    }
}

//! Retry decisions after failed attempts at targets.

use derive_more::Display;
use lagoon_ids::FastSet;

use crate::config::Route;
use crate::targets::TargetKey;

/// Why an attempt has no response.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum AttemptFailure {
    /// No byte of the request was sent.
    #[display("not sent")]
    NotSent,
    /// The target reported that it did not execute the request.
    #[display("not executed")]
    NotExecuted,
    /// Another instance than the chosen target has the address.
    #[display("other instance")]
    OtherInstance,
    /// The request was sent and no complete response came.
    #[display("broken")]
    Interrupted,
    /// The target failed, and responded with a status that would tell the caller that the
    /// request was not executed, which the target doesn't state.
    #[display("failed")]
    Failed,
}

impl AttemptFailure {
    /// Whether the request surely was not executed.
    pub fn is_not_executed(self) -> bool {
        !matches!(self, AttemptFailure::Interrupted | AttemptFailure::Failed)
    }
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RetryDecision {
    /// Retry at another target.
    #[display("another target")]
    AnotherTarget,
    /// Retry at this target, which may have run the request before, as the route's
    /// `max_attempts` is reached.
    #[display("same target")]
    SameTarget(TargetKey),
    /// Respond that the request has not run.
    #[display("refuse")]
    Refuse,
    /// Respond that the request may have run.
    #[display("unknown")]
    UnknownOutcome,
}

/// Failed attempts of one request.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    /// Targets that may have run the request and haven't ended since.
    ran_at: FastSet<TargetKey>,
    failed: u32,
    /// Failed attempts that may have run.
    possible_runs: u32,
}

/// Maximum number of failed attempts that may have run: a request that fails three times
/// at targets probably causes that itself.
const MAX_POSSIBLE_RUNS: u32 = 3;

/// Maximum number of failed attempts of any kind; bounds the work that one
/// request causes when every target refuses it.
const MAX_ATTEMPTS: u32 = 6;

impl Attempts {
    /// Number of failed attempts.
    pub fn count(&self) -> u32 {
        self.failed
    }

    /// Whether the request may have been executed by an attempt that failed.
    pub fn may_have_run(&self) -> bool {
        self.possible_runs > 0
    }

    /// Counts a failed attempt.
    pub fn record_failure(&mut self, target: TargetKey, failure: AttemptFailure) {
        self.failed += 1;
        if !failure.is_not_executed() {
            self.possible_runs += 1;
            self.ran_at.insert(target);
        }
    }

    /// Records that a target has ended or can't be reached, so that it doesn't count
    /// towards the route's `max_attempts`.
    pub fn record_ended(&mut self, target: TargetKey) {
        self.ran_at.remove(&target);
    }

    /// Targets that may have run the request and aren't known to have ended.
    pub fn ran_at(&self) -> impl Iterator<Item = TargetKey> + '_ {
        self.ran_at.iter().copied()
    }

    /// Whether a target that has not run the request yet may get it.
    pub fn allow_another_target(&self, route: &Route) -> bool {
        (self.ran_at.len() as u32) < route.max_attempts.max(1)
    }
}

/// Decision after `failure`, which [`Attempts::record_failure`] has counted.
///
/// `again_at` is a target of [`Attempts::ran_at`] that still takes requests. Where the
/// route's `max_attempts` is reached, nothing is sent to any other target, also after a
/// refusal; without `again_at` the request ends at once.
pub fn decide_retry(
    route: &Route,
    attempts: &Attempts,
    failure: AttemptFailure,
    again_at: Option<TargetKey>,
) -> RetryDecision {
    let is_exhausted = attempts.failed >= MAX_ATTEMPTS;
    if is_exhausted && !attempts.may_have_run() {
        return RetryDecision::Refuse;
    }
    let may_have_run = !failure.is_not_executed();
    let may_repeat = route.is_repeatable() && attempts.possible_runs < MAX_POSSIBLE_RUNS;
    if is_exhausted || (may_have_run && !may_repeat) {
        return RetryDecision::UnknownOutcome;
    }
    if attempts.allow_another_target(route) {
        return RetryDecision::AnotherTarget;
    }
    match again_at {
        Some(target) => RetryDecision::SameTarget(target),
        None => RetryDecision::UnknownOutcome,
    }
}

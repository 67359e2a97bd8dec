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
}

impl AttemptFailure {
    /// Whether the request surely was not executed.
    pub fn is_not_executed(self) -> bool {
        !matches!(self, AttemptFailure::Interrupted)
    }
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RetryDecision {
    /// Retry at another target.
    #[display("another target")]
    AnotherTarget,
    /// Retry at the same target, as the route's `max_attempts` is reached.
    #[display("same target")]
    SameTarget,
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
    interrupted_at: FastSet<TargetKey>,
    failed: u32,
    interrupted: u32,
}

/// Maximum number of interrupted attempts, each of which may have run: a request
/// that is interrupted three times probably causes the interruptions itself.
const MAX_INTERRUPTED: u32 = 3;

/// Maximum number of failed attempts of any kind; bounds the work that one
/// request causes when every target refuses it.
const MAX_ATTEMPTS: u32 = 6;

impl Attempts {
    /// Number of failed attempts.
    pub fn count(&self) -> u32 {
        self.failed
    }

    /// Whether the request may have been executed, as an attempt was interrupted.
    pub fn may_have_run(&self) -> bool {
        self.interrupted > 0
    }

    /// Counts a failed attempt.
    pub fn record_failure(&mut self, target: TargetKey, failure: AttemptFailure) {
        self.failed += 1;
        if failure == AttemptFailure::Interrupted {
            self.interrupted += 1;
            self.interrupted_at.insert(target);
        }
    }
}

/// Decision after `failure`, which [`Attempts::record_failure`]
/// has counted.
///
/// If the target has `ended`, another one is tried even if the route's
/// `max_attempts` is reached.
pub fn decide_retry(
    route: &Route,
    attempts: &Attempts,
    failure: AttemptFailure,
    ended: bool,
) -> RetryDecision {
    let is_exhausted = attempts.failed >= MAX_ATTEMPTS;
    if failure.is_not_executed() {
        return match (is_exhausted, attempts.may_have_run()) {
            (false, _) => RetryDecision::AnotherTarget,
            (true, false) => RetryDecision::Refuse,
            (true, true) => RetryDecision::UnknownOutcome,
        };
    }
    if !route.is_repeatable() || is_exhausted || attempts.interrupted >= MAX_INTERRUPTED {
        return RetryDecision::UnknownOutcome;
    }
    if ended || (attempts.interrupted_at.len() as u32) < route.max_attempts {
        return RetryDecision::AnotherTarget;
    }
    RetryDecision::SameTarget
}

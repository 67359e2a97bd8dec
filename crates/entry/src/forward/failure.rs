//! Failed attempts: retries, crashes of targets, and quarantine of requests that cause
//! them.

use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use lagoon_gateway::{decide_retry, AttemptFailure, RetryDecision, TargetKey};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at};

use crate::body::ResponseBody;
use crate::connection::Connection;
use crate::forward::{FailedAttempt, ForwardedRequest};
use crate::suspects::{InterruptedAttempt, CRASH_PROBE_DELAY};

/// Maximum number of targets that are probed to tell a crash of their neighbor
/// from an unreachable failure domain.
const MAX_DOMAIN_NEIGHBORS: usize = 2;

/// Delay before a request is sent to the same target again; it doubles with each failed
/// attempt, as a target that is full needs time.
const REPEAT_DELAY: Duration = Duration::from_millis(5);

/// `Retry-After` of a request that crashed several targets.
const QUARANTINE_RETRY_AFTER_MS: u64 = 30_000;

impl ForwardedRequest {
    /// Whether targets crashed so often while they ran this request that it must
    /// not be sent again.
    pub(crate) fn is_quarantined(&self) -> bool {
        let crash_tracker = &self.state.crash_tracker;
        crash_tracker.is_quarantined(self.fingerprint)
    }

    pub(super) fn quarantined(&self) -> Box<Response<ResponseBody>> {
        const WHY: &str = "crashed several targets";
        log::info!(
            request = self.metadata.request_id.as_str(),
            fingerprint = format!("{:016x}", self.fingerprint);
            "request is quarantined"
        );
        if self.attempts.may_have_run() {
            return self.unknown_outcome(WHY);
        }
        self.refuse(WHY, QUARANTINE_RETRY_AFTER_MS)
    }

    /// Starts to find out whether a target crashed after an interrupted attempt.
    /// Waits for the result if targets crashed before while they ran this request.
    async fn probe_for_crash(&self, key: TargetKey) {
        let attempt = {
            let targets = self.state.targets.borrow();
            let Some(target) = targets.get(key) else {
                return;
            };
            InterruptedAttempt {
                request_id: self.metadata.request_id.clone(),
                fingerprint: self.fingerprint,
                target: target.run_hash(),
                target_id: target.entry.id.clone(),
                address: target.entry.address,
                domain_neighbors: targets.domain_neighbors(key, MAX_DOMAIN_NEIGHBORS),
                ended_ms: self.state.now_ms(),
            }
        };
        let crash_tracker = Rc::clone(&self.state.crash_tracker);
        let is_suspect = crash_tracker.crash_count(self.fingerprint) > 0;
        let state = Rc::clone(&self.state);
        let reach_of_others = async move { state.ask_for_reach(key).await };
        let probe = spawn_local(crash_tracker.record_if_crashed(attempt, reach_of_others));
        if !is_suspect {
            return;
        }
        if let Ok(Err(error)) = timeout_at(self.deadline(), probe).await {
            log::error!(error = error.to_string(); "crash probe failed");
        }
    }

    /// Records a failed attempt and decides what follows. Waits until it is known
    /// whether the target crashed if others did so while they ran this request.
    pub(crate) async fn record_failure(
        &mut self,
        key: TargetKey,
        failed: &FailedAttempt,
    ) -> RetryDecision {
        let now_ms = self.state.now_ms();
        self.attempts.record_failure(key, failed.failure);
        self.may_have_run = self.attempts.may_have_run();
        if failed.failure.is_not_executed() {
            self.keep_quota_token();
        }
        {
            let mut targets = self.state.targets.borrow_mut();
            match failed.failure {
                AttemptFailure::NotSent | AttemptFailure::OtherInstance => {
                    targets.record_unreachable(key, now_ms)
                }
                AttemptFailure::Interrupted if failed.is_path_lost => {}
                AttemptFailure::Interrupted => targets.record_failure(key, now_ms),
                // The response counts already.
                AttemptFailure::NotExecuted | AttemptFailure::Failed => {}
            }
        }
        if failed.failure != AttemptFailure::Interrupted {
            self.excluded_targets.push(key);
        } else if !failed.is_path_lost {
            self.probe_for_crash(key).await;
        }
        if failed.is_unreachable || failed.failure == AttemptFailure::OtherInstance {
            self.attempts.record_ended(key);
        }
        let mut again_at = self.target_to_repeat_at(key, failed);
        if again_at.is_none() && !self.attempts.allow_another_target(&self.route) {
            self.find_out_whether_ended(key).await;
            again_at = self.target_to_repeat_at(key, failed);
        }
        let next = decide_retry(&self.route, &self.attempts, failed.failure, again_at);
        self.state
            .metrics
            .record_failed_attempt(&failed.failure.to_string());
        log::info!(
            request = self.metadata.request_id.as_str(),
            target_id = self.target_id.as_str(),
            failure = failed.failure.to_string(),
            detail = failed.detail.as_str(),
            takes_requests = self.is_usable(key),
            may_have_run_at = self.attempts.ran_at().count(),
            next = next.to_string();
            "try failed"
        );
        next
    }

    /// Target that may have run the request and still takes requests: the one of the
    /// failed attempt, or else another one.
    fn target_to_repeat_at(&self, key: TargetKey, failed: &FailedAttempt) -> Option<TargetKey> {
        let is_usable = |target: &TargetKey| {
            let is_refused = *target == key && failed.is_target_leaving;
            !is_refused && self.is_usable(*target)
        };
        let mut usable = self.attempts.ran_at().filter(is_usable);
        let first = usable.next()?;
        Some(usable.find(|target| *target == key).unwrap_or(first))
    }

    /// Finds out whether a target that takes no more requests has ended, which it does
    /// soon after it was drained. One that hasn't counts towards the route's
    /// `max_attempts`.
    async fn find_out_whether_ended(&mut self, key: TargetKey) {
        let Some(address) = self.target_address else {
            return;
        };
        sleep(CRASH_PROBE_DELAY).await;
        let probe = timeout_at(self.deadline(), Connection::open_to_target(address));
        if let Ok(Err(error)) = probe.await {
            log::info!(
                request = self.metadata.request_id.as_str(),
                target_id = self.target_id.as_str(),
                error = error.to_string();
                "target that takes no more requests has ended"
            );
            self.attempts.record_ended(key);
        }
    }

    /// Waits before the request is sent to the same target again.
    pub(crate) async fn wait_before_repeat(&self) {
        let doublings = self.attempts.count().saturating_sub(1);
        let delay = REPEAT_DELAY * 2_u32.saturating_pow(doublings);
        sleep(delay).await;
    }
}

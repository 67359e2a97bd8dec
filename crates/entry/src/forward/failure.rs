//! Failed attempts: retries, crashes of targets, and quarantine of requests that cause
//! them.

use std::rc::Rc;

use hyper::Response;
use lagoon_gateway::{decide_retry, AttemptFailure, RetryDecision, TargetKey};
use tokio::task::spawn_local;
use tokio::time::timeout_at;

use crate::body::ResponseBody;
use crate::forward::{FailedAttempt, ForwardedRequest};
use crate::suspects::InterruptedAttempt;

/// Maximum number of targets that are probed to tell a crash of their neighbor
/// from an unreachable failure domain.
const MAX_DOMAIN_NEIGHBORS: usize = 2;

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
                AttemptFailure::NotExecuted => {}
            }
        }
        if failed.failure.is_not_executed() {
            self.excluded_targets.push(key);
        } else if !failed.is_path_lost {
            self.probe_for_crash(key).await;
        }
        let is_listed = self.state.targets.borrow().get(key).is_some();
        let is_target_gone = failed.is_unreachable || !is_listed;
        let next = decide_retry(&self.route, &self.attempts, failed.failure, is_target_gone);
        self.state
            .metrics
            .record_failed_attempt(&failed.failure.to_string());
        log::info!(
            request = self.metadata.request_id.as_str(),
            target_id = self.target_id.as_str(),
            failure = failed.failure.to_string(),
            detail = failed.detail.as_str(),
            next = next.to_string();
            "try failed"
        );
        next
    }
}

//! Choice of a target that the request may be sent to: one without a limit, or one
//! for which a permit was granted.

use std::time::Duration;

use hyper::Response;
use lagoon_gateway::{TargetEntry, TargetKey};
use lagoon_limits::{Demand, PERMIT_TTL_MS};
use rand::RngExt;
use tokio::time::sleep;

use crate::body::ResponseBody;
use crate::forward::ForwardedRequest;

/// Maximum time that a request of a running program waits for room at a target.
const MAX_ROOM_WAIT_MS: u64 = 150;

/// Maximum of the random delay after the time at which a target may have room, so
/// that VMs don't all ask at once.
const ROOM_JITTER_MS: u64 = 15;

/// Permits requested for one attempt, after which only targets without limits are
/// tried.
const MAX_PERMIT_REQUESTS: u32 = 4;

/// Bounds of the random part of `Retry-After` when all targets are at their limits; it
/// spreads the return of callers.
const LIMITED_RETRY_AFTER_MS: std::ops::Range<u64> = 200..800;

/// Permit to send one request to a target with a limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Permit {
    pub(super) target: TargetKey,
    expires_ms: u64,
}

impl Permit {
    pub(super) fn is_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.expires_ms
    }
}

impl ForwardedRequest {
    /// Chooses the target of the next attempt, or takes `same_target` if it still takes
    /// requests, and gets a permit if it has a limit. Waits for room for a short time;
    /// `None` if there is none by then, or no target.
    pub(crate) async fn claim_target(
        &mut self,
        same_target: Option<TargetKey>,
    ) -> Option<(TargetKey, TargetEntry)> {
        let wait_until_ms = self.state.now_ms() + MAX_ROOM_WAIT_MS;
        let mut requests = 0;
        loop {
            self.skips_limited = requests >= MAX_PERMIT_REQUESTS;
            let chosen = match same_target {
                Some(key) => Some((key, self.usable_target(key)?)),
                None => self.permitted_target().or_else(|| self.choose_target()),
            };
            if let Some((key, entry)) = chosen {
                if self.obtain_permit(key).await {
                    return Some((key, entry));
                }
                requests += 1;
                if same_target.is_none() {
                    continue;
                }
            }
            let room_ms = self.next_room_ms(same_target)?;
            let now_ms = self.state.now_ms();
            if self.demand != Demand::Running || room_ms.max(now_ms) > wait_until_ms {
                return None;
            }
            let jitter_ms = rand::rng().random_range(0..ROOM_JITTER_MS);
            let wait_ms = room_ms.saturating_sub(now_ms) + jitter_ms;
            sleep(Duration::from_millis(wait_ms)).await;
            requests = 0;
        }
    }

    /// Target of the permit that admission obtained, if both are still usable.
    fn permitted_target(&mut self) -> Option<(TargetKey, TargetEntry)> {
        let now_ms = self.state.now_ms();
        let permit = self.permit.filter(|permit| !permit.is_expired(now_ms))?;
        let entry = self.usable_target(permit.target)?;
        self.target_id = entry.id.clone();
        Some((permit.target, entry))
    }

    /// Whether the request may be sent to this target: it has no limit, or a permit
    /// was granted.
    pub(super) async fn obtain_permit(&mut self, key: TargetKey) -> bool {
        let now_ms = self.state.now_ms();
        let limit = self.state.targets.borrow().limit(key, now_ms);
        let Some((limit_per_s, limit_age_ms)) = limit else {
            self.permit = None;
            return true;
        };
        let is_usable = |permit: &Permit| permit.target == key && !permit.is_expired(now_ms);
        if self.permit.as_ref().is_some_and(is_usable) {
            return true;
        }
        self.permit = None;
        let refused = match self.state.request_permit(key, self.demand).await {
            Ok(()) => {
                self.permit = Some(Permit {
                    target: key,
                    expires_ms: now_ms + PERMIT_TTL_MS,
                });
                return true;
            }
            Err(refused) => refused,
        };
        log::info!(
            request = self.metadata.request_id.as_str(),
            target_id = self.target_id.as_str(),
            limit_per_s,
            limit_age_ms,
            retry_ms = refused.retry_ms,
            is_new = self.demand != Demand::Running;
            "target is at its limit"
        );
        let until_ms = self.state.now_ms() + refused.retry_ms;
        let mut targets = self.state.targets.borrow_mut();
        targets.record_no_room(key, self.demand, until_ms);
        false
    }

    /// Earliest time at which a target that is at its limit may have room; `None` if
    /// no target is left out for its limit.
    fn next_room_ms(&self, same_target: Option<TargetKey>) -> Option<u64> {
        let targets = self.state.targets.borrow();
        let is_candidate = |key: TargetKey| match same_target {
            Some(same) => key == same,
            None => {
                let target = targets.get(key);
                let is_version = self
                    .software
                    .is_none_or(|software| target.is_some_and(|t| t.software == software));
                is_version && !self.excluded_targets.contains(&key)
            }
        };
        targets.next_room_ms(&self.service, is_candidate, self.demand)
    }

    /// Refuses the request if targets are left out only for their limits.
    pub(super) fn refuse_at_limits(&self) -> Option<Box<Response<ResponseBody>>> {
        let room_ms = self.next_room_ms(None)?;
        let wait_ms = room_ms.saturating_sub(self.state.now_ms());
        let spread_ms = rand::rng().random_range(LIMITED_RETRY_AFTER_MS);
        Some(self.refuse("targets at their limits", wait_ms + spread_ms))
    }
}

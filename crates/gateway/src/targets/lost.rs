//! Attempts that ended without a response at a target that is gone soon after.
//!
//! A target that crashes without closing its connections interrupts nothing: the
//! caller leaves, or the time is over. That it crashed shows only when its entry
//! expires, some seconds later.

use std::collections::VecDeque;

use compact_str::CompactString;

use super::TargetKey;
use crate::gossip::TargetHash;

/// Time after the end of an attempt in which the entry of a crashed target
/// expires: some missed heartbeats, and an outage of the store.
const ENTRY_EXPIRY_MS: u64 = 15_000;

/// Time without a sign of life after which a target whose entry expires counts as
/// crashed: an entry expires after several missed heartbeats. Entries of targets
/// that are alive may expire too, in an outage of the store.
pub(super) const MIN_SILENCE_MS: u64 = 2_000;

/// Maximum number of attempts kept for one target; the oldest are dropped.
const MAX_UNFINISHED: usize = 64;

/// Maximum number of removed targets whose attempts in flight are recognized.
const MAX_REMOVED: usize = 64;

/// Attempt that ended without a complete response, although the request was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnfinishedAttempt {
    /// Id of the caller's request.
    pub request_id: CompactString,
    /// Fingerprint of the request's content.
    pub fingerprint: u64,
    /// Time at which the attempt ended.
    pub ended_ms: u64,
}

/// Unfinished attempt whose target gave no sign of life afterwards, and whose
/// entry then expired.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostAttempt {
    /// The attempt.
    pub attempt: UnfinishedAttempt,
    /// Run of the target's process that it was sent to.
    pub target: TargetHash,
    /// Id of that target.
    pub target_id: CompactString,
}

/// Unfinished attempts at one target since it last gave a sign of life.
#[derive(Clone, Debug, Default)]
pub(super) struct UnfinishedAttempts(VecDeque<UnfinishedAttempt>);

impl UnfinishedAttempts {
    pub(super) fn push(&mut self, attempt: UnfinishedAttempt) {
        if self.0.len() == MAX_UNFINISHED {
            self.0.pop_front();
        }
        self.0.push_back(attempt);
    }

    /// Drops the attempts that ended before the target was alive at `alive_ms`.
    pub(super) fn record_alive(&mut self, alive_ms: u64) {
        self.0.retain(|attempt| attempt.ended_ms > alive_ms);
    }
}

/// Target that was removed as it had crashed.
#[derive(Clone, Debug)]
struct RemovedTarget {
    key: TargetKey,
    target: TargetHash,
    target_id: CompactString,
}

impl RemovedTarget {
    fn lost(&self, attempt: UnfinishedAttempt) -> LostAttempt {
        LostAttempt {
            attempt,
            target: self.target,
            target_id: self.target_id.clone(),
        }
    }
}

/// Attempts lost at targets that are gone.
#[derive(Debug, Default)]
pub(super) struct LostAttempts {
    removed: VecDeque<RemovedTarget>,
    lost: Vec<LostAttempt>,
}

impl LostAttempts {
    /// Records that a crashed target was removed, with its unfinished attempts.
    pub(super) fn target_removed(
        &mut self,
        key: TargetKey,
        target: TargetHash,
        target_id: CompactString,
        unfinished: UnfinishedAttempts,
    ) {
        let removed = RemovedTarget {
            key,
            target,
            target_id,
        };
        let lost = unfinished
            .0
            .into_iter()
            .map(|attempt| removed.lost(attempt));
        self.lost.extend(lost);
        if self.removed.len() == MAX_REMOVED {
            self.removed.pop_front();
        }
        self.removed.push_back(removed);
    }

    /// Records an attempt that ended after its target was removed.
    pub(super) fn ended_after_removal(&mut self, key: TargetKey, attempt: UnfinishedAttempt) {
        let removed = self.removed.iter().find(|removed| removed.key == key);
        if let Some(removed) = removed {
            self.lost.push(removed.lost(attempt));
        }
    }

    pub(super) fn take(&mut self, now_ms: u64) -> Vec<LostAttempt> {
        let mut lost = std::mem::take(&mut self.lost);
        lost.retain(|lost| now_ms < lost.attempt.ended_ms + ENTRY_EXPIRY_MS);
        lost
    }
}

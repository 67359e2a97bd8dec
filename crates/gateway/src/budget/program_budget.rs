//! Budget of one program as one VM sees it.

use crate::budget::row::{BudgetRow, MAX_WRITERS};
use crate::budget::{BudgetSettings, ChargeDecision, ChargeRequest, Grant, WaiterId};
use crate::store::Row;
use crate::store_versions::StoreVersions;

/// Retention (time that a program may pause between calls) of a program whose
/// calls come through other VMs only, so that its route's retention isn't known
/// here.
const DEFAULT_RETENTION_MS: u64 = 600_000;

/// Time for which a refusal is repeated without a write to the store. A fraction
/// of the settings key `limits.settle_ms` (1,000 by default), within which the
/// store learns what a call used.
const REFUSAL_TTL_MS: u64 = 300;

/// Idle time after which a program's row is deleted, as a multiple of the
/// retention. The row of a program in use is written at least once in two
/// retentions: by a VM that spends held tokens, and by one that refuses a call
/// unless the row was written lately.
const REMOVAL_RETENTIONS: u64 = 4;

/// Age of a row's last write from which a VM that refuses a call by the row
/// writes it, as a divisor of the retention.
const REFRESH_DIVISOR: u64 = 2;

/// Write in flight, or one whose outcome is unknown.
#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    pub(super) sequence: u64,
    pub(super) granted: Vec<(WaiterId, Grant)>,
    /// Tokens charged for calls that were cancelled while the write was in flight;
    /// held once it is applied.
    pub(super) cancelled_tokens: u64,
    /// Tokens held before the write, which uses them for its grants.
    pub(super) held_before_tokens: u64,
    /// Tokens held once the write is applied.
    pub(super) held_after_tokens: u64,
    /// Tokens spent without the store that this write charges.
    pub(super) deferred_tokens: u64,
    /// Row that the write stores.
    pub(super) row: BudgetRow,
}

impl PendingWrite {
    /// Tokens granted to calls of this VM or held by it once the write is
    /// applied.
    pub(super) fn owned_tokens(&self) -> u64 {
        let granted: u64 = self.granted.iter().map(|(_, grant)| grant.tokens).sum();
        granted + self.cancelled_tokens + self.held_after_tokens
    }

    /// Tokens that this VM has in either case, whether the write is applied or
    /// not.
    pub(super) fn certain_tokens(&self) -> u64 {
        self.owned_tokens().min(self.held_before_tokens)
    }
}

/// Last refusal because the budget had no room for a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    pub(super) refused_ms: u64,
    /// Smallest call that the refusal covers, by its maximum tokens.
    pub(super) min_tokens: u64,
    pub(super) charged_tokens: u64,
}

impl Refusal {
    /// Whether the refusal applies to a further call. For a short time the row
    /// isn't read again, as calls in flight have probably not returned their
    /// unused tokens yet.
    pub(super) fn covers(&self, request: &ChargeRequest, now_ms: u64) -> bool {
        request.tokens >= self.min_tokens && now_ms < self.refused_ms + REFUSAL_TTL_MS
    }
}

/// Budget of one program as this VM sees it.
#[derive(Clone, Debug, Default)]
pub(super) struct ProgramBudget {
    /// Version of the row as last seen; 0 if it isn't known or doesn't exist.
    pub(super) version: u64,
    pub(super) row: BudgetRow,
    pub(super) budget_tokens: u64,
    /// Part of the budget that the row doesn't charge unless the reserve is
    /// released.
    pub(super) reserve_tokens: u64,
    /// Tokens granted of a reserve that its home has released, until the row has
    /// them.
    pub(super) released_tokens: Option<u64>,
    pub(super) max_call_tokens: u64,
    pub(super) waiting: Vec<ChargeRequest>,
    /// Write of the row in flight, if any; there is at most one.
    pub(super) pending: Option<PendingWrite>,
    /// Writes without a reply. All of them and the next write expect the same
    /// version of the row, so at most one is applied.
    pub(super) unresolved: Vec<PendingWrite>,
    /// Tokens charged in the row and not granted to a call.
    pub(super) held_tokens: u64,
    /// Tokens spent without the store and not charged yet.
    pub(super) deferred_tokens: u64,
    /// Whether another VM requested more tokens than are held here, so that the
    /// row must be written: it may list tokens as held here that are not.
    pub(super) is_release_requested: bool,
    /// Whether the next write is due although no call waits, as it shows that the
    /// program is in use.
    pub(super) is_refresh_due: bool,
    pub(super) refusal: Option<Refusal>,
    pub(super) last_used_ms: u64,
    /// Time of the last reply that showed the row.
    pub(super) last_seen_ms: u64,
    /// Longest retention of the program's calls through this VM, and by its row; 0
    /// if none is known.
    pub(super) retention_ms: u64,
}

impl ProgramBudget {
    /// Tokens that the row charges, and those of the reserve that it doesn't have.
    fn unavailable_tokens(&self) -> u64 {
        let reserved_tokens = match (self.row.is_whole, self.released_tokens) {
            (true, _) => 0,
            (false, Some(granted_tokens)) => granted_tokens,
            (false, None) => self.reserve_tokens,
        };
        self.row.charged_tokens + reserved_tokens
    }

    pub(super) fn remaining_tokens(&self) -> u64 {
        let unavailable_tokens = self.unavailable_tokens();
        self.budget_tokens.saturating_sub(unavailable_tokens)
    }

    /// Tokens beyond the budget that the row charges, by its state as last seen. Other
    /// VMs' charges since then don't go beyond the budget.
    pub(super) fn overspent_tokens(&self) -> u64 {
        let unavailable_tokens = self.unavailable_tokens();
        unavailable_tokens.saturating_sub(self.budget_tokens)
    }

    /// Tokens that the home may still hold in reserve.
    fn unreleased_tokens(&self) -> u64 {
        let is_released = self.row.is_whole || self.released_tokens.is_some();
        if is_released {
            0
        } else {
            self.reserve_tokens
        }
    }

    /// Tokens that a call lacks even with the reserve, by the row as last seen.
    pub(super) fn missing_tokens(&self, tokens: u64) -> u64 {
        let available_tokens =
            self.remaining_tokens() + self.held_tokens + self.unreleased_tokens();
        tokens.saturating_sub(available_tokens)
    }

    /// Whether a call fits only with the reserve, by the row as last seen.
    pub(super) fn needs_reserve(&self, tokens: u64) -> bool {
        let available_tokens = self.remaining_tokens() + self.held_tokens;
        tokens > available_tokens && tokens <= available_tokens + self.unreleased_tokens()
    }

    /// Sets the row as read or written, which may show that the reserve is
    /// released.
    fn set_row(&mut self, row: BudgetRow) {
        if row.is_whole {
            self.released_tokens = None;
        }
        self.retention_ms = self.retention_ms.max(row.retention_ms);
        self.row = row;
    }

    /// Whether a row that was found at this version was written lately, so that no
    /// VM deletes it before the program's next call.
    pub(super) fn is_recent(
        &self,
        found_version: u64,
        versions: &StoreVersions,
        now_ms: u64,
    ) -> bool {
        let since_ms = now_ms.saturating_sub(self.retention_ms / REFRESH_DIVISOR);
        let has_changed = self.version > 0 && found_version > self.version;
        (has_changed && self.last_seen_ms >= since_ms)
            || versions.is_written_since(found_version, since_ms)
    }

    /// Whether the row is known to have been written recently enough that no VM has
    /// deleted it.
    pub(super) fn is_fresh(&self, now_ms: u64) -> bool {
        let is_known = self.version > 0 && self.row.retention_ms >= self.retention_ms;
        is_known && now_ms <= self.last_seen_ms + self.retention_ms
    }

    /// Takes held tokens for a call at another VM; `false` if there are too few.
    pub(super) fn take_held(&mut self, tokens: u64, now_ms: u64) -> bool {
        let is_enough = self.held_tokens >= tokens;
        if is_enough {
            self.held_tokens -= tokens;
            // The program is active, though not at this VM.
            self.last_used_ms = now_ms;
        }
        is_enough
    }

    pub(super) fn is_expired(&self, now_ms: u64) -> bool {
        let retention_ms = match self.retention_ms {
            0 => DEFAULT_RETENTION_MS,
            retention_ms => retention_ms,
        };
        now_ms > self.last_used_ms + REMOVAL_RETENTIONS * retention_ms
    }

    /// Whether the row charges tokens that no call needs, or may charge some
    /// because a write has no reply.
    pub(super) fn has_surplus(&self) -> bool {
        self.held_tokens > 0 || !self.unresolved.is_empty()
    }

    /// Whether the row needs a write although no call waits.
    pub(super) fn needs_write(&self, settings: &BudgetSettings, now_ms: u64) -> bool {
        if self.deferred_tokens > 0 || (self.is_release_requested && !self.has_surplus()) {
            return true;
        }
        let is_idle = self.last_used_ms + settings.idle_return_ms <= now_ms;
        self.has_surplus() && (self.is_release_requested || self.is_short()) && is_idle
    }

    /// Whether tokens were spent without the store and their charge isn't
    /// confirmed yet.
    pub(super) fn has_deferred_charges(&self) -> bool {
        let writes = self.pending.iter().chain(&self.unresolved);
        self.deferred_tokens > 0 || writes.into_iter().any(|write| write.deferred_tokens > 0)
    }

    /// Whether the row has too few uncharged tokens for a call of the largest size,
    /// so that other VMs may need the tokens held here.
    pub(super) fn is_short(&self) -> bool {
        self.remaining_tokens() < self.max_call_tokens
    }

    /// Tokens to charge ahead for further calls. The first VM of a program, which
    /// usually sees most of its calls, takes up to half of the budget; later
    /// writes take up to a quarter of the remaining tokens.
    pub(super) fn prefetch_tokens(&self, settings: &BudgetSettings, remaining_tokens: u64) -> u64 {
        let share = if self.version == 0 {
            let available_tokens = self.budget_tokens - self.unreleased_tokens();
            let kept_tokens = available_tokens.saturating_sub(self.budget_tokens / 2);
            remaining_tokens.saturating_sub(kept_tokens)
        } else {
            remaining_tokens / 4
        };
        share.min(settings.max_held_calls * self.max_call_tokens)
    }

    pub(super) fn on_applied(
        &mut self,
        version: u64,
        pending: PendingWrite,
        writer: &str,
    ) -> Vec<(WaiterId, ChargeDecision)> {
        self.version = version;
        self.set_row(pending.row);
        self.held_tokens += pending.held_after_tokens + pending.cancelled_tokens;
        // Writes without a reply expect the version that this write replaced, so
        // they were never applied.
        for unresolved in std::mem::take(&mut self.unresolved) {
            self.held_tokens += unresolved.held_before_tokens - unresolved.certain_tokens();
            self.deferred_tokens += unresolved.deferred_tokens;
        }
        self.decide(pending.granted, writer)
    }

    /// Returns the decisions after a write whose reply shows the current row:
    /// `granted` calls may run, and waiting calls for which too few tokens are left
    /// are refused. The others wait for the next write.
    pub(super) fn decide(
        &mut self,
        granted: Vec<(WaiterId, Grant)>,
        writer: &str,
    ) -> Vec<(WaiterId, ChargeDecision)> {
        let granted = granted.into_iter();
        let mut decisions: Vec<_> = granted
            .map(|(waiter, grant)| (waiter, ChargeDecision::Granted(grant)))
            .collect();
        let remaining_tokens = self.remaining_tokens() + self.held_tokens;
        let charged_tokens = self.row.charged_tokens;
        let held_tokens = self.row.held_by_others(writer);
        let reserve_tokens = self.unreleased_tokens();
        self.waiting.retain(|request| {
            let decision = if request.tokens <= remaining_tokens {
                return true;
            } else if request.tokens <= remaining_tokens + reserve_tokens {
                ChargeDecision::ReserveNeeded
            } else if request.tokens <= remaining_tokens + reserve_tokens + held_tokens {
                ChargeDecision::HeldElsewhere { held_tokens }
            } else {
                ChargeDecision::Exhausted { charged_tokens }
            };
            decisions.push((request.waiter, decision));
            false
        });
        decisions
    }

    /// Handles a reply that shows another row than expected, which is not `is_recent`
    /// if it may have been written long ago.
    pub(super) fn on_conflict(
        &mut self,
        writer: &str,
        found: Option<&Row>,
        pending: PendingWrite,
        is_recent: bool,
    ) -> Vec<(WaiterId, ChargeDecision)> {
        let value = found.and_then(|row| row.value.as_deref());
        let row = match value.map(BudgetRow::decode) {
            // A row that was deleted although this VM uses the program is restored
            // as far as it is known here.
            None if self.version > 0 => self.row.clone(),
            None => BudgetRow::default(),
            Some(Ok(row)) => row,
            Some(Err(_)) => {
                self.held_tokens += pending.certain_tokens();
                self.deferred_tokens += pending.deferred_tokens;
                return self.fail_all(pending.granted);
            }
        };
        let last_sequence = row.last_sequence_of(writer);
        // A full list of writers may have dropped this one, so that its absence
        // doesn't show that none of its writes was applied.
        let has_entry = last_sequence > 0 || row.writers.len() < MAX_WRITERS;
        self.version = match value {
            Some(_) => found.map_or(0, |row| row.version),
            None => 0,
        };
        let is_refreshed = is_recent && row.retention_ms >= self.retention_ms;
        let is_missing = value.is_none() && self.row == BudgetRow::default();
        self.set_row(row);
        for unresolved in std::mem::take(&mut self.unresolved) {
            let certain_tokens = unresolved.certain_tokens();
            if last_sequence == unresolved.sequence {
                self.held_tokens += unresolved.owned_tokens() - certain_tokens;
                continue;
            }
            self.deferred_tokens += unresolved.deferred_tokens;
            if has_entry {
                self.held_tokens += unresolved.held_before_tokens - certain_tokens;
            }
        }
        if last_sequence == pending.sequence {
            self.held_tokens += pending.held_after_tokens + pending.cancelled_tokens;
            return self.decide(pending.granted, writer);
        }
        self.deferred_tokens += pending.deferred_tokens;
        self.held_tokens += if has_entry {
            pending.held_before_tokens
        } else {
            pending.certain_tokens()
        };
        let (budget_tokens, retention_ms) = (self.budget_tokens, self.retention_ms);
        let retried = pending
            .granted
            .into_iter()
            .map(|(waiter, grant)| ChargeRequest {
                waiter,
                budget_tokens,
                tokens: grant.tokens,
                retention_ms,
            });
        self.waiting.splice(0..0, retried);
        if is_refreshed || is_missing {
            self.decide(Vec::new(), writer)
        } else {
            // The next write shows other VMs that the program is in use, also if it
            // grants nothing. The calls may have got other tokens meanwhile.
            self.is_refresh_due = true;
            Vec::new()
        }
    }

    pub(super) fn record_refusal(&mut self, decisions: &[(WaiterId, ChargeDecision)], now_ms: u64) {
        let exhausted = decisions.iter().find_map(|(_, decision)| match decision {
            ChargeDecision::Exhausted { charged_tokens } => Some(*charged_tokens),
            _ => None,
        });
        if let Some(charged_tokens) = exhausted {
            self.refusal = Some(Refusal {
                refused_ms: now_ms,
                min_tokens: self.max_call_tokens,
                charged_tokens,
            });
        }
    }

    pub(super) fn fail_all(
        &mut self,
        granted: Vec<(WaiterId, Grant)>,
    ) -> Vec<(WaiterId, ChargeDecision)> {
        let waiting = std::mem::take(&mut self.waiting);
        let granted = granted.into_iter().map(|(waiter, _)| waiter);
        let waiting = waiting.into_iter().map(|request| request.waiter);
        granted
            .chain(waiting)
            .map(|waiter| (waiter, ChargeDecision::Unavailable))
            .collect()
    }
}

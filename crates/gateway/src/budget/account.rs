//! Account of one program at one VM.

use crate::budget::row::{BudgetRow, WRITERS};
use crate::budget::{BudgetSettings, ChargeDecision, ChargeRequest, Grant, WaiterId};
use crate::store::Row;

/// Retention of a program whose calls come through other VMs only, so that
/// theirs is not known here.
const OTHERS_RETENTION_MS: u64 = 600_000;

/// Time for which a refusal is not asked for again: a part of that in which
/// what a call spent becomes known.
const SPENT_MS: u64 = 300;

/// Retentions of silence after which a program's row is removed. A VM that
/// spends from what it holds writes the row at least once in two of them.
const SWEEP_RETENTIONS: u64 = 4;

/// Write under way, or one whose end is unknown.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) number: u64,
    pub(super) granted: Vec<(WaiterId, Grant)>,
    /// Charged for calls that gave up waiting meanwhile.
    pub(super) abandoned_tokens: u64,
    /// Held before, and part of what is granted.
    pub(super) held_before_tokens: u64,
    /// Held after.
    pub(super) held_after_tokens: u64,
    /// Spent without the store, and charged by this write.
    pub(super) debt_tokens: u64,
    pub(super) row: BudgetRow,
}

impl Pending {
    /// Tokens of this VM once the write is applied.
    pub(super) fn owned_tokens(&self) -> u64 {
        let granted: u64 = self.granted.iter().map(|(_, grant)| grant.tokens).sum();
        granted + self.abandoned_tokens + self.held_after_tokens
    }

    /// Tokens of this VM whether or not the write is applied.
    pub(super) fn certain_tokens(&self) -> u64 {
        self.owned_tokens().min(self.held_before_tokens)
    }
}

/// Refusal that the row gave.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spent {
    pub(super) at_ms: u64,
    pub(super) tokens: u64,
    pub(super) charged_tokens: u64,
}

impl Spent {
    /// Whether the refusal holds for one more call. It is not asked for
    /// again at once, as what calls under way give back may take longer.
    pub(super) fn holds(&self, asked: &ChargeRequest, now_ms: u64) -> bool {
        asked.tokens >= self.tokens && now_ms < self.at_ms + SPENT_MS
    }
}

/// Account of one program at this VM.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    pub(super) version: u64,
    pub(super) row: BudgetRow,
    pub(super) budget_tokens: u64,
    pub(super) largest_call_tokens: u64,
    pub(super) waiting: Vec<ChargeRequest>,
    pub(super) pending: Option<Pending>,
    /// Writes that were given up. All have the condition of the next one, so
    /// at most one of them was applied.
    pub(super) unresolved: Vec<Pending>,
    /// Charged in the row and not given to a call.
    pub(super) held_tokens: u64,
    /// Spent without the store and not charged yet.
    pub(super) debt_tokens: u64,
    /// Whether another VM asked for more than is held.
    pub(super) is_wanted: bool,
    /// Last refusal.
    pub(super) spent: Option<Spent>,
    pub(super) used_ms: u64,
    pub(super) written_ms: u64,
    pub(super) retention_ms: u64,
}

impl Account {
    pub(super) fn left_tokens(&self) -> u64 {
        self.budget_tokens.saturating_sub(self.row.charged_tokens)
    }

    /// Whether the row was written lately, so that no VM removes it.
    pub(super) fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms <= self.written_ms + self.retention_ms
    }

    /// Takes held tokens out, for a call at another VM.
    pub(super) fn take(&mut self, tokens: u64, now_ms: u64) -> bool {
        let is_enough = self.held_tokens >= tokens;
        if is_enough {
            self.held_tokens -= tokens;
            // The program goes on, though not here.
            self.used_ms = now_ms;
        }
        is_enough
    }

    pub(super) fn is_over(&self, now_ms: u64) -> bool {
        let retention_ms = match self.retention_ms {
            0 => OTHERS_RETENTION_MS,
            retention_ms => retention_ms,
        };
        now_ms > self.used_ms + SWEEP_RETENTIONS * retention_ms
    }

    /// Whether tokens are charged that no call needs.
    pub(super) fn has_surplus(&self) -> bool {
        self.held_tokens > 0 || !self.unresolved.is_empty()
    }

    /// Whether the row must change although no call waits.
    pub(super) fn is_due(&self, settings: &BudgetSettings, now_ms: u64) -> bool {
        if self.debt_tokens > 0 || (self.is_wanted && !self.has_surplus()) {
            return true;
        }
        let is_silent = self.used_ms + settings.idle_return_ms <= now_ms;
        self.has_surplus() && (self.is_wanted || self.is_short()) && is_silent
    }

    /// Whether tokens that were spent without the store may not be charged.
    pub(super) fn has_debt(&self) -> bool {
        let writes = self.pending.iter().chain(&self.unresolved);
        self.debt_tokens > 0 || writes.into_iter().any(|write| write.debt_tokens > 0)
    }

    /// Whether the budget leaves other VMs less than one call.
    pub(super) fn is_short(&self) -> bool {
        self.left_tokens() < self.largest_call_tokens
    }

    /// Tokens to charge beyond the waiting calls. The first VM of a program,
    /// which as a rule sees most of it, takes up to half of the budget.
    pub(super) fn ahead_tokens(&self, settings: &BudgetSettings, left_tokens: u64) -> u64 {
        let share = if self.version == 0 {
            left_tokens.saturating_sub(self.budget_tokens / 2)
        } else {
            left_tokens / 4
        };
        share.min(settings.max_held_calls * self.largest_call_tokens)
    }

    pub(super) fn applied(
        &mut self,
        version: u64,
        pending: Pending,
        writer: &str,
    ) -> Vec<(WaiterId, ChargeDecision)> {
        self.version = version;
        self.row = pending.row;
        self.held_tokens += pending.held_after_tokens + pending.abandoned_tokens;
        // The condition of these is void now, so they never were applied.
        for unresolved in std::mem::take(&mut self.unresolved) {
            self.held_tokens += unresolved.held_before_tokens - unresolved.certain_tokens();
            self.debt_tokens += unresolved.debt_tokens;
        }
        self.decide(pending.granted, writer)
    }

    /// Grants what is charged, and refuses what the row, now known to be
    /// current, does not hold.
    pub(super) fn decide(
        &mut self,
        granted: Vec<(WaiterId, Grant)>,
        writer: &str,
    ) -> Vec<(WaiterId, ChargeDecision)> {
        let granted = granted.into_iter();
        let mut decisions: Vec<_> = granted
            .map(|(waiter, grant)| (waiter, ChargeDecision::Granted(grant)))
            .collect();
        let left_tokens = self.left_tokens() + self.held_tokens;
        let charged_tokens = self.row.charged_tokens;
        let held_tokens = self.row.held_by_others(writer);
        self.waiting.retain(|asked| {
            let decision = if asked.tokens <= left_tokens {
                return true;
            } else if asked.tokens <= left_tokens + held_tokens {
                ChargeDecision::HeldElsewhere { held_tokens }
            } else {
                ChargeDecision::Exhausted { charged_tokens }
            };
            decisions.push((asked.waiter, decision));
            false
        });
        decisions
    }

    pub(super) fn conflict(
        &mut self,
        writer: &str,
        found: Option<&Row>,
        pending: Pending,
    ) -> Vec<(WaiterId, ChargeDecision)> {
        let value = found.and_then(|row| row.value.as_deref());
        let row = match value.map(serde_json::from_slice::<BudgetRow>) {
            None => BudgetRow::default(),
            Some(Ok(row)) => row,
            Some(Err(_)) => {
                self.held_tokens += pending.certain_tokens();
                self.debt_tokens += pending.debt_tokens;
                return self.refuse(pending.granted);
            }
        };
        let last = row.last_of(writer);
        // A full list may have lost this writer's mark.
        let is_marked = last > 0 || row.writers.len() < WRITERS;
        self.version = match value {
            Some(_) => found.map_or(0, |row| row.version),
            None => 0,
        };
        self.row = row;
        for unresolved in std::mem::take(&mut self.unresolved) {
            let certain_tokens = unresolved.certain_tokens();
            if last == unresolved.number {
                self.held_tokens += unresolved.owned_tokens() - certain_tokens;
                continue;
            }
            self.debt_tokens += unresolved.debt_tokens;
            if is_marked {
                self.held_tokens += unresolved.held_before_tokens - certain_tokens;
            }
        }
        if last == pending.number {
            self.held_tokens += pending.held_after_tokens + pending.abandoned_tokens;
            return self.decide(pending.granted, writer);
        }
        self.debt_tokens += pending.debt_tokens;
        self.held_tokens += if is_marked {
            pending.held_before_tokens
        } else {
            pending.certain_tokens()
        };
        let (budget_tokens, retention_ms) = (self.budget_tokens, self.retention_ms);
        let again = pending
            .granted
            .into_iter()
            .map(|(waiter, grant)| ChargeRequest {
                waiter,
                budget_tokens,
                tokens: grant.tokens,
                retention_ms,
            });
        self.waiting.splice(0..0, again);
        self.decide(Vec::new(), writer)
    }

    pub(super) fn note_spent(&mut self, decisions: &[(WaiterId, ChargeDecision)], now_ms: u64) {
        let spent = decisions.iter().find_map(|(_, decision)| match decision {
            ChargeDecision::Exhausted { charged_tokens } => Some(*charged_tokens),
            _ => None,
        });
        if let Some(charged_tokens) = spent {
            self.spent = Some(Spent {
                at_ms: now_ms,
                tokens: self.largest_call_tokens,
                charged_tokens,
            });
        }
    }

    pub(super) fn refuse(
        &mut self,
        granted: Vec<(WaiterId, Grant)>,
    ) -> Vec<(WaiterId, ChargeDecision)> {
        let waiting = std::mem::take(&mut self.waiting);
        let granted = granted.into_iter().map(|(waiter, _)| waiter);
        let waiting = waiting.into_iter().map(|asked| asked.waiter);
        granted
            .chain(waiting)
            .map(|waiter| (waiter, ChargeDecision::Unavailable))
            .collect()
    }
}

//! Tokens that programs may spend while the store is unreachable.
//!
//! A budget may be overspent by at most the maximum output tokens of one call. The write
//! that creates a program's row names its writer in it: that incarnation of a VM alone, the
//! program's allowance holder, may grant this allowance, whatever it and other VMs reach.
//! All its grants together stay within the maximum of a call, counted in tokens delivered
//! to callers; a stream that would exceed its grant is cut. What was spent is charged to
//! the row once the store is reachable.
//!
//! As no other VM grants, nothing that others know, and no order of deaths, starts and
//! partitions, can have an allowance granted twice. A holder that dies takes it along. One
//! that stops grants nothing more and passes it on, with what was granted of it. That is a
//! count of its own: how much of it the row charges is known to some VMs only.

use compact_str::CompactString;
use lagoon_ids::{FastMap, FastSet};
use serde::{Deserialize, Serialize};

use crate::budget::{DeferredCharge, ProgramKey};
use crate::connectivity::Connectivity;
use crate::reserve::max_allowance_tokens;

/// Request for tokens for one call, sent to the allowance holder of the
/// call's program.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowanceRequest {
    /// Connectivity of the requesting VM, for earlier builds.
    pub connectivity: Connectivity,
    /// Program of the call, by the name that its caller gives.
    pub program: CompactString,
    /// Tokens that all calls of the program may generate together.
    pub budget_tokens: u64,
    /// Output tokens that the call may use at most.
    pub max_tokens: u64,
    /// Output tokens that the caller expects, or an estimate if it states none.
    pub expected_tokens: u64,
}

/// Report to the allowance holder of what a call used of its grant.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowanceSettlement {
    /// Program of the call, by the name that its caller gives.
    pub program: CompactString,
    /// Tokens that [`Allowances::grant`] returned for the call.
    pub granted_tokens: u64,
    /// Tokens delivered to the caller.
    pub used_tokens: u64,
}

/// Charge that a VM passes on at its end, as it could not write it. The name and two
/// fields are those of earlier builds, which hold records of allowances together.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowanceRecord {
    /// Program, by the name that its caller gives.
    pub program: CompactString,
    /// Incarnation of the VM that granted the tokens.
    pub coordinator: CompactString,
    /// Age of an earlier build's record; 0.
    pub age_ms: u64,
    /// Tokens that the receiver is to charge; 0 in a record of an earlier build that only
    /// says who grants.
    pub uncharged_tokens: u64,
    /// Tokens that all calls of the program may generate together.
    pub budget_tokens: u64,
    /// Maximum output tokens of the program's largest call so far.
    pub max_call_tokens: u64,
}

impl AllowanceRecord {
    /// Charge that the receiver is to write; `None` if there is none.
    pub fn deferred_charge(&self) -> Option<DeferredCharge> {
        (self.uncharged_tokens > 0).then(|| DeferredCharge {
            program: ProgramKey(self.program.clone()),
            tokens: self.uncharged_tokens,
            budget_tokens: self.budget_tokens,
            max_call_tokens: self.max_call_tokens,
        })
    }
}

/// Allowance that its holder passes on, as it is stopping.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PassedAllowance {
    /// Program, by the name that its caller gives.
    pub program: CompactString,
    /// Tokens of it that are no longer to be granted.
    pub used_tokens: u64,
}

/// Maximum grant as a multiple of the call's expected tokens.
const MAX_GRANT_FACTOR: u64 = 3;

/// Minimum grant as a multiple of the call's expected tokens. With less, the
/// stream would likely be cut, so the call gets no grant.
const MIN_GRANT_NUMERATOR: u64 = 3;
const MIN_GRANT_DENOMINATOR: u64 = 2;

/// What a program's row, as a VM has last seen it, says of the program's allowance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AllowanceRow {
    /// Whether the row names this VM as the one that grants the allowance.
    pub is_holder: bool,
    /// Tokens that the row charges beyond the budget.
    pub overspent_tokens: u64,
    /// Whether this VM has charges of tokens that were spent without the store which
    /// the row may lack.
    pub has_pending_charges: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Allowance {
    budget_tokens: u64,
    max_call_tokens: u64,
    /// Tokens that are no longer to be granted: by this VM's grants, and by those of the
    /// VMs that passed the allowance on. A charge doesn't lower it, as the next holder may
    /// not know the row.
    used_tokens: u64,
    in_flight_tokens: u64,
    spent_tokens: u64,
    /// Grants of calls that were in flight when they were charged in full. What these
    /// calls report later has no effect.
    charged_in_flight_tokens: u64,
    /// Whether another VM has passed the allowance on to this one.
    is_received: bool,
    expires_ms: u64,
}

impl Allowance {
    fn uncharged_tokens(&self) -> u64 {
        self.in_flight_tokens + self.spent_tokens
    }

    /// Counts what is used by the row, where the row has all grants of the allowance: only
    /// the VM that it names has granted, and all of that is charged.
    fn count_by_row(&mut self, row: AllowanceRow) {
        if row.is_holder && !row.has_pending_charges && !self.is_received {
            self.used_tokens = row.overspent_tokens + self.uncharged_tokens();
        }
    }

    /// Tokens that are no longer to be granted. What the row charges beyond the budget is
    /// used in any case.
    fn used_tokens(&self, row: AllowanceRow) -> u64 {
        let by_row = row.overspent_tokens + self.uncharged_tokens();
        self.used_tokens.max(by_row)
    }
}

/// The allowances that this VM holds, and what was granted of them.
#[derive(Debug, Default)]
pub struct Allowances {
    programs: FastMap<ProgramKey, Allowance>,
    overdrawn: FastSet<ProgramKey>,
    /// Whether this VM is stopping.
    is_stopped: bool,
}

/// Time without a grant after which an allowance is forgotten; one that was passed on
/// can't be granted any more. It is longer than programs may pause between calls.
const ALLOWANCE_TTL_MS: u64 = 600_000;

impl Allowances {
    /// Tokens granted to a call of a program; 0 if this VM doesn't hold its allowance, too
    /// few tokens of it remain, the program is listed as overdrawn, or this VM is stopping.
    pub fn grant(&mut self, request: &AllowanceRequest, row: AllowanceRow, now_ms: u64) -> u64 {
        let program = ProgramKey(request.program.clone());
        let is_held = row.is_holder || self.has_received(&program);
        if !is_held || self.is_stopped || self.overdrawn.contains(&program) {
            return 0;
        }
        let allowance = self.programs.entry(program).or_default();
        allowance.expires_ms = now_ms + ALLOWANCE_TTL_MS;
        allowance.budget_tokens = request.budget_tokens;
        allowance.max_call_tokens = allowance.max_call_tokens.max(request.max_tokens);
        allowance.count_by_row(row);
        // A call that was granted fewer than its maximum asks for the rest, which says
        // nothing of the program's allowance.
        let max_tokens = max_allowance_tokens(request.budget_tokens, allowance.max_call_tokens);
        let remaining_tokens = max_tokens.saturating_sub(allowance.used_tokens(row));
        let expected_tokens = request.expected_tokens.max(1);
        let min_grant_tokens =
            (expected_tokens * MIN_GRANT_NUMERATOR / MIN_GRANT_DENOMINATOR).min(request.max_tokens);
        if remaining_tokens < min_grant_tokens {
            return 0;
        }
        let wanted_tokens = request.max_tokens.min(expected_tokens * MAX_GRANT_FACTOR);
        let granted_tokens = remaining_tokens.min(wanted_tokens);
        allowance.in_flight_tokens += granted_tokens;
        allowance.used_tokens += granted_tokens;
        granted_tokens
    }

    /// Replaces the tokens granted to a call by those it used.
    pub fn settle(&mut self, settlement: &AllowanceSettlement) {
        let program = ProgramKey(settlement.program.clone());
        let Some(allowance) = self.programs.get_mut(&program) else {
            return;
        };
        let granted_tokens = settlement.granted_tokens;
        if allowance.charged_in_flight_tokens >= granted_tokens {
            allowance.charged_in_flight_tokens -= granted_tokens;
            return;
        }
        let before_tokens = allowance.uncharged_tokens();
        let in_flight_tokens = allowance.in_flight_tokens;
        allowance.in_flight_tokens = in_flight_tokens.saturating_sub(granted_tokens);
        allowance.spent_tokens += settlement.used_tokens;
        let after_tokens = allowance.uncharged_tokens();
        allowance.used_tokens =
            (allowance.used_tokens + after_tokens).saturating_sub(before_tokens);
    }

    /// Charges to write once the store is reachable. Calls in flight are
    /// charged their whole grant.
    pub fn take_deferred_charges(&mut self) -> Vec<DeferredCharge> {
        let mut charges = Vec::new();
        for (program, allowance) in &mut self.programs {
            let tokens = allowance.uncharged_tokens();
            if tokens > 0 {
                charges.push(DeferredCharge {
                    program: program.clone(),
                    tokens,
                    budget_tokens: allowance.budget_tokens,
                    max_call_tokens: allowance.max_call_tokens,
                });
            }
            allowance.charged_in_flight_tokens += allowance.in_flight_tokens;
            (allowance.in_flight_tokens, allowance.spent_tokens) = (0, 0);
        }
        charges
    }

    /// Whether another VM has passed a program's allowance on to this one.
    pub fn has_received(&self, program: &ProgramKey) -> bool {
        let allowance = self.programs.get(program);
        allowance.is_some_and(|allowance| allowance.is_received)
    }

    /// Tokens of a program's allowance that are no longer to be granted, as far as this VM
    /// counts them itself.
    pub fn used_tokens(&self, program: &ProgramKey) -> u64 {
        let allowance = self.programs.get(program);
        allowance.map_or(0, |allowance| allowance.used_tokens)
    }

    /// Holds an allowance that another VM passes on; `false`, without effect, if this VM is
    /// stopping.
    pub fn receive(&mut self, passed: &PassedAllowance, now_ms: u64) -> bool {
        if self.is_stopped {
            return false;
        }
        let program = ProgramKey(passed.program.clone());
        let allowance = self.programs.entry(program).or_default();
        allowance.is_received = true;
        allowance.expires_ms = now_ms + ALLOWANCE_TTL_MS;
        // What several VMs pass on are grants of their own.
        allowance.used_tokens += passed.used_tokens;
        true
    }

    /// Grants nothing from now on, as this VM is stopping. Returns the allowances that it
    /// holds, to be passed on: those that it has received, and those of the programs whose
    /// rows name it. `rows` are all that are known here.
    pub fn stop(&mut self, rows: Vec<(ProgramKey, AllowanceRow)>) -> Vec<PassedAllowance> {
        self.is_stopped = true;
        let received = self.programs.iter_mut();
        let mut held: FastMap<ProgramKey, AllowanceRow> = received
            .filter_map(|(program, allowance)| {
                let was_received = std::mem::take(&mut allowance.is_received);
                was_received.then(|| (program.clone(), AllowanceRow::default()))
            })
            .collect();
        for (program, row) in rows {
            let is_received = held.contains_key(&program);
            if row.is_holder || is_received {
                let is_holder = row.is_holder && !is_received;
                held.insert(program, AllowanceRow { is_holder, ..row });
            }
        }
        let passed = held.into_iter().map(|(program, row)| {
            let allowance = self.programs.get(&program).copied();
            let mut allowance = allowance.unwrap_or_default();
            allowance.count_by_row(row);
            PassedAllowance {
                program: program.0,
                used_tokens: allowance.used_tokens(row),
            }
        });
        passed.collect()
    }

    /// Forgets allowances of programs that ended long ago, but for those with tokens that
    /// aren't charged or whose charge `is_pending`.
    pub fn remove_expired<F>(&mut self, now_ms: u64, is_pending: F)
    where
        F: Fn(&ProgramKey) -> bool,
    {
        self.programs.retain(|program, allowance| {
            let is_charged = allowance.uncharged_tokens() == 0 && !is_pending(program);
            now_ms < allowance.expires_ms || !is_charged
        });
    }

    /// Marks a program as overdrawn, so that [`Allowances::grant`] returns 0 for it, or
    /// removes the mark.
    pub fn set_overdrawn(&mut self, program: ProgramKey, is_overdrawn: bool) {
        if is_overdrawn {
            self.overdrawn.insert(program);
        } else {
            self.overdrawn.remove(&program);
        }
    }

    /// Whether this VM has granted nothing that isn't charged.
    pub fn is_empty(&self) -> bool {
        let mut granted = self.programs.values();
        granted.all(|allowance| allowance.uncharged_tokens() == 0)
    }
}

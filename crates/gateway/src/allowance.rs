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
//! that stops grants nothing more and passes it on, with what it has granted of it.

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

#[derive(Clone, Copy, Debug, Default)]
struct Allowance {
    budget_tokens: u64,
    max_call_tokens: u64,
    in_flight_tokens: u64,
    spent_tokens: u64,
    /// Grants of calls that were in flight when they were charged in full. What these
    /// calls report later has no effect.
    charged_in_flight_tokens: u64,
}

impl Allowance {
    fn uncharged_tokens(&self) -> u64 {
        self.in_flight_tokens + self.spent_tokens
    }
}

/// Allowance that another VM has passed on to this one.
#[derive(Clone, Copy, Debug)]
struct Received {
    /// Tokens of it that are no longer to be granted.
    used_tokens: u64,
    expires_ms: u64,
}

/// What this VM has granted of the allowances that it holds.
#[derive(Debug, Default)]
pub struct Allowances {
    programs: FastMap<ProgramKey, Allowance>,
    received: FastMap<ProgramKey, Received>,
    overdrawn: FastSet<ProgramKey>,
    /// Whether this VM is stopping.
    is_stopped: bool,
}

/// Time for which an allowance that was passed on can be granted. It is longer than
/// programs may pause between calls.
const RECEIVED_TTL_MS: u64 = 600_000;

impl Allowances {
    /// Tokens granted to a call of a program whose allowance this VM holds, by the row or
    /// as it was passed on; 0 if too few remain, the program is listed as overdrawn, or
    /// this VM is stopping. `overspent_tokens`: what the row charges beyond the budget.
    pub fn grant(&mut self, request: &AllowanceRequest, overspent_tokens: u64) -> u64 {
        let program = ProgramKey(request.program.clone());
        if self.is_stopped || self.overdrawn.contains(&program) {
            return 0;
        }
        let received = self.received.get(&program);
        let used_before_tokens = received.map_or(0, |received| received.used_tokens);
        let allowance = self.programs.entry(program).or_default();
        allowance.budget_tokens = request.budget_tokens;
        allowance.max_call_tokens = allowance.max_call_tokens.max(request.max_tokens);
        let used_tokens = allowance.uncharged_tokens() + used_before_tokens + overspent_tokens;
        // A call that was granted fewer than its maximum asks for the rest, which says
        // nothing of the program's allowance.
        let max_tokens = max_allowance_tokens(request.budget_tokens, allowance.max_call_tokens);
        let remaining_tokens = max_tokens.saturating_sub(used_tokens);
        let expected_tokens = request.expected_tokens.max(1);
        let min_grant_tokens =
            (expected_tokens * MIN_GRANT_NUMERATOR / MIN_GRANT_DENOMINATOR).min(request.max_tokens);
        if remaining_tokens < min_grant_tokens {
            return 0;
        }
        let wanted_tokens = request.max_tokens.min(expected_tokens * MAX_GRANT_FACTOR);
        let granted_tokens = remaining_tokens.min(wanted_tokens);
        allowance.in_flight_tokens += granted_tokens;
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
        let in_flight_tokens = allowance.in_flight_tokens;
        allowance.in_flight_tokens = in_flight_tokens.saturating_sub(granted_tokens);
        allowance.spent_tokens += settlement.used_tokens;
    }

    /// Charges to write once the store is reachable. Calls in flight are
    /// charged their whole grant.
    pub fn take_deferred_charges(&mut self) -> Vec<DeferredCharge> {
        let mut charges = Vec::new();
        self.programs.retain(|program, allowance| {
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
            allowance.charged_in_flight_tokens > 0
        });
        charges
    }

    /// Whether another VM has passed a program's allowance on to this one.
    pub fn has_received(&self, program: &ProgramKey) -> bool {
        self.received.contains_key(program)
    }

    /// Holds an allowance that another VM passes on.
    pub fn receive(&mut self, passed: &PassedAllowance, now_ms: u64) {
        let received = Received {
            used_tokens: passed.used_tokens,
            expires_ms: now_ms + RECEIVED_TTL_MS,
        };
        let program = ProgramKey(passed.program.clone());
        // It was this VM's own: what it has granted of it counts already.
        self.received.entry(program).or_insert(received);
    }

    /// Grants nothing from now on, as this VM is stopping. Returns the allowances of
    /// these programs, of which the row charges some tokens beyond the budget, and those
    /// that this VM has received, to be passed on.
    pub fn stop(&mut self, held: Vec<(ProgramKey, u64)>) -> Vec<PassedAllowance> {
        self.is_stopped = true;
        let received = self.received.drain();
        let received = received.map(|(program, received)| (program, received.used_tokens));
        let mut passed: FastMap<ProgramKey, u64> = received.collect();
        for (program, overspent_tokens) in held {
            *passed.entry(program).or_default() += overspent_tokens;
        }
        let passed = passed.into_iter().map(|(program, used_tokens)| {
            let allowance = self.programs.get(&program);
            let uncharged_tokens = allowance.map_or(0, Allowance::uncharged_tokens);
            PassedAllowance {
                program: program.0,
                used_tokens: used_tokens + uncharged_tokens,
            }
        });
        passed.collect()
    }

    /// Forgets what was passed on for programs that ended long ago.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.received
            .retain(|_, received| now_ms < received.expires_ms);
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

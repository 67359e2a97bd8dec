//! Tokens that programs may spend while the store is unreachable.
//!
//! A budget may be overspent by at most the maximum output tokens of one call. So
//! among the VMs that are cut off from the store (see
//! [`crate::classify_connectivity`]) one is the program's coordinator. All its
//! grants to the program together stay within that maximum, counted in tokens
//! delivered to callers; a stream that would exceed its grant is cut. What was
//! spent is charged to the program's budget row once the store is reachable.
//!
//! The group of VMs that may grant can change before deferred charges are
//! written. So one VM of each failure domain, chosen by [`allowance_coordinator`]
//! among the domain's VMs, records which VM grants for the program. If the VMs of
//! all domains are cut off together, the coordinator needs the agreement of each
//! of these VMs before it grants. A program whose row exceeds its budget after
//! the charge is listed as overdrawn and gets no further allowance.

use compact_str::CompactString;
use lagoon_ids::{rendezvous_hash, FastMap, FastSet};
use serde::{Deserialize, Serialize};

use crate::budget::{DeferredCharge, ProgramKey};
use crate::connectivity::Connectivity;
use crate::reserve::max_allowance_tokens;

/// Request for tokens for one call, sent to the coordinator of the call's
/// program.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowanceRequest {
    /// Connectivity of the requesting VM; the coordinator must have the same.
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

/// Report to the coordinator of what a call used of its grant.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowanceSettlement {
    /// Program of the call, by the name that its caller gives.
    pub program: CompactString,
    /// Tokens that [`Allowances::grant`] returned for the call.
    pub granted_tokens: u64,
    /// Tokens delivered to the caller.
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
}

/// Allowances that this VM coordinates.
#[derive(Debug, Default)]
pub struct Allowances {
    programs: FastMap<ProgramKey, Allowance>,
    overdrawn: FastSet<ProgramKey>,
    /// VM recorded as the coordinator of each program, and the time of the last
    /// claim by any VM.
    coordinators: FastMap<ProgramKey, (CompactString, u64)>,
}

/// Time after the last claim for which a program's coordinator stays recorded. It
/// is longer than programs may pause between calls.
const COORDINATOR_TTL_MS: u64 = 600_000;

impl Allowances {
    /// Tokens granted to a call; 0 if too few remain or the program is listed as
    /// overdrawn.
    pub fn grant(&mut self, request: &AllowanceRequest) -> u64 {
        let program = ProgramKey(request.program.clone());
        if self.overdrawn.contains(&program) {
            return 0;
        }
        let allowance = self.programs.entry(program).or_default();
        allowance.budget_tokens = request.budget_tokens;
        allowance.max_call_tokens = allowance.max_call_tokens.max(request.max_tokens);
        let committed_tokens = allowance.in_flight_tokens + allowance.spent_tokens;
        let max_tokens = max_allowance_tokens(request.budget_tokens, request.max_tokens);
        let remaining_tokens = max_tokens.saturating_sub(committed_tokens);
        let expected_tokens = request.expected_tokens.max(1);
        let min_grant_tokens =
            (expected_tokens * MIN_GRANT_NUMERATOR / MIN_GRANT_DENOMINATOR).min(request.max_tokens);
        if remaining_tokens < min_grant_tokens {
            return 0;
        }
        let granted_tokens = remaining_tokens.min(expected_tokens * MAX_GRANT_FACTOR);
        allowance.in_flight_tokens += granted_tokens;
        granted_tokens
    }

    /// Replaces the tokens granted to a call by those it used.
    pub fn settle(&mut self, settlement: &AllowanceSettlement) {
        let program = ProgramKey(settlement.program.clone());
        if let Some(allowance) = self.programs.get_mut(&program) {
            let in_flight_tokens = allowance.in_flight_tokens;
            allowance.in_flight_tokens = in_flight_tokens.saturating_sub(settlement.granted_tokens);
            allowance.spent_tokens += settlement.used_tokens;
        }
    }

    /// Charges to write once the store is reachable. Calls in flight are
    /// charged their whole grant.
    pub fn take_deferred_charges(&mut self) -> Vec<DeferredCharge> {
        let programs = self.programs.drain();
        programs
            .map(|(program, allowance)| DeferredCharge {
                program,
                tokens: allowance.spent_tokens + allowance.in_flight_tokens,
                budget_tokens: allowance.budget_tokens,
                max_call_tokens: allowance.max_call_tokens,
            })
            .filter(|charge| charge.tokens > 0)
            .collect()
    }

    /// Records `coordinator` as the VM that grants for a program; `false` if
    /// another one is recorded.
    pub fn claim_coordinator(
        &mut self,
        program: &ProgramKey,
        coordinator: &str,
        now_ms: u64,
    ) -> bool {
        let entry = self.coordinators.entry(program.clone());
        let (current, claimed_ms) = entry.or_insert_with(|| (coordinator.into(), now_ms));
        *claimed_ms = now_ms;
        current == coordinator
    }

    /// Whether this VM has granted an allowance to a program.
    pub fn has_allowance(&self, program: &ProgramKey) -> bool {
        self.programs.contains_key(program)
    }

    /// Removes coordinators of programs that had no claim for
    /// `COORDINATOR_TTL_MS`.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.coordinators
            .retain(|_, (_, claimed_ms)| now_ms < *claimed_ms + COORDINATOR_TTL_MS);
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

    /// Whether this VM has granted no allowance.
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }
}

/// VM that coordinates a program's allowance, by rendezvous hashing; `None` if
/// `vms` is empty.
pub fn allowance_coordinator<'a, I>(program: &ProgramKey, vms: I) -> Option<&'a CompactString>
where
    I: IntoIterator<Item = &'a CompactString>,
{
    rendezvous_hash(&program.0, vms)
}

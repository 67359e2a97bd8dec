//! What a program may spend where the store is out of reach.
//!
//! A budget may be overspent by the most tokens of one call, and no more. So
//! the VMs that are without the store (see [`crate::judge`]) have one among
//! them, the program's steward, that hands out that much in all, counted in
//! tokens that callers get; streams that would pass it are cut. What was
//! spent is charged to the program's row when the store is back.
//!
//! As groups follow each other faster than debts are charged, every failure
//! domain has a VM that notes who hands out for a program: the domain's own
//! steward of it. A steward of all domains asks these first. A program
//! whose row then holds more than its budget is listed as overdrawn, and gets
//! no allowance again.

use compact_str::CompactString;
use lagoon_ids::{rendezvous_hash, FastMap, FastSet};
use serde::{Deserialize, Serialize};

use crate::budget::{DeferredCharge, ProgramKey};
use crate::connectivity::Connectivity;

/// Tokens that a call asks its program's steward for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowanceRequest {
    /// What the VM that asks can reach; the steward must see the same.
    pub connectivity: Connectivity,
    /// Program.
    pub program: CompactString,
    /// Budget of the program.
    pub budget_tokens: u64,
    /// Most tokens of the call.
    pub max_tokens: u64,
    /// Tokens that the caller expects.
    pub expected_tokens: u64,
}

/// End of a call that spent from an allowance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowanceSettlement {
    /// Program.
    pub program: CompactString,
    /// Tokens that were handed out for it.
    pub granted_tokens: u64,
    /// Tokens that its caller got.
    pub used_tokens: u64,
}

/// Times the expected tokens that a call gets if there are as many.
const MAX_GRANT_FACTOR: u64 = 3;

/// Times the expected tokens below which a call would likely be cut.
const MIN_GRANT_NUMERATOR: u64 = 3;
const MIN_GRANT_DENOMINATOR: u64 = 2;

#[derive(Clone, Copy, Debug, Default)]
struct Allowance {
    budget_tokens: u64,
    max_call_tokens: u64,
    in_flight_tokens: u64,
    spent_tokens: u64,
}

/// Allowances that this VM is the steward of.
#[derive(Debug, Default)]
pub struct Allowances {
    programs: FastMap<ProgramKey, Allowance>,
    overdrawn: FastSet<ProgramKey>,
    /// Stewards that hand out, as far as this VM was told, and since when.
    coordinators: FastMap<ProgramKey, (CompactString, u64)>,
}

/// How long it is remembered who hands out for a program: longer than
/// programs are silent and go on.
const COORDINATOR_TTL_MS: u64 = 600_000;

impl Allowances {
    /// Tokens for a call; 0 if too few are left.
    pub fn grant(&mut self, ask: &AllowanceRequest) -> u64 {
        let program = ProgramKey(ask.program.clone());
        if self.overdrawn.contains(&program) {
            return 0;
        }
        let allowance = self.programs.entry(program).or_default();
        allowance.budget_tokens = ask.budget_tokens;
        allowance.max_call_tokens = allowance.max_call_tokens.max(ask.max_tokens);
        let taken_tokens = allowance.in_flight_tokens + allowance.spent_tokens;
        let left_tokens = ask.max_tokens.saturating_sub(taken_tokens);
        let expected_tokens = ask.expected_tokens.max(1);
        let scant_tokens =
            (expected_tokens * MIN_GRANT_NUMERATOR / MIN_GRANT_DENOMINATOR).min(ask.max_tokens);
        if left_tokens < scant_tokens {
            return 0;
        }
        let granted_tokens = left_tokens.min(expected_tokens * MAX_GRANT_FACTOR);
        allowance.in_flight_tokens += granted_tokens;
        granted_tokens
    }

    /// Ends a call that got tokens.
    pub fn settle(&mut self, end: &AllowanceSettlement) {
        let program = ProgramKey(end.program.clone());
        if let Some(allowance) = self.programs.get_mut(&program) {
            let under_way_tokens = allowance.in_flight_tokens;
            allowance.in_flight_tokens = under_way_tokens.saturating_sub(end.granted_tokens);
            allowance.spent_tokens += end.used_tokens;
        }
    }

    /// What is to be charged now that the store is back. Calls under way are
    /// charged with all that they got.
    pub fn take_deferred_charges(&mut self) -> Vec<DeferredCharge> {
        let programs = self.programs.drain();
        programs
            .map(|(program, allowance)| DeferredCharge {
                program,
                tokens: allowance.spent_tokens + allowance.in_flight_tokens,
                budget_tokens: allowance.budget_tokens,
                max_call_tokens: allowance.max_call_tokens,
            })
            .filter(|debt| debt.tokens > 0)
            .collect()
    }

    /// Notes that `steward` hands out for a program; `false` if another one
    /// does.
    pub fn claim_coordinator(&mut self, program: &ProgramKey, steward: &str, now_ms: u64) -> bool {
        let noted = self.coordinators.entry(program.clone());
        let (known, at_ms) = noted.or_insert_with(|| (steward.into(), now_ms));
        *at_ms = now_ms;
        known == steward
    }

    /// Whether this VM hands out for a program.
    pub fn has_allowance(&self, program: &ProgramKey) -> bool {
        self.programs.contains_key(program)
    }

    /// Forgets who handed out for programs that are long over.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.coordinators
            .retain(|_, (_, at_ms)| now_ms < *at_ms + COORDINATOR_TTL_MS);
    }

    /// Takes note whether a program is listed as overdrawn.
    pub fn set_overdrawn(&mut self, program: ProgramKey, is_overdrawn: bool) {
        if is_overdrawn {
            self.overdrawn.insert(program);
        } else {
            self.overdrawn.remove(&program);
        }
    }

    /// Whether nothing is handed out.
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }
}

/// Steward of a program among these VMs.
pub fn allowance_coordinator<'a, I>(program: &ProgramKey, vms: I) -> Option<&'a CompactString>
where
    I: IntoIterator<Item = &'a CompactString>,
{
    rendezvous_hash(&program.0, vms)
}

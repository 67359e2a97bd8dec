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
//! written, and a VM that granted may end or lose its place in the list of VMs.
//! So the first two VMs of each failure domain, ranked for the program, hold a
//! record of which incarnation of which VM grants for it (see
//! [`crate::Peers::claim_holders`]). The coordinator needs the agreement of those
//! of its group before it grants. A VM that stops grants nothing more, and passes
//! its records and charges on. A program whose row exceeds its budget after the
//! charge is listed as overdrawn and gets no further allowance.

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

/// What a VM knows of a program's allowance, for the VMs that hold it too.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowanceRecord {
    /// Program, by the name that its caller gives.
    pub program: CompactString,
    /// Incarnation of the VM that may have granted tokens, and alone may do so; empty
    /// if there are two of them, and so no VM may.
    pub coordinator: CompactString,
    /// Time since the last claim by any VM.
    pub age_ms: u64,
    /// Tokens that the receiver is to charge, as the sender ends; 0 if the sender
    /// charges what it granted.
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

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ClaimState {
    /// This VM waits for the agreement of others, and has granted nothing.
    Pending,
    /// The coordinator may have granted tokens.
    Granted,
    /// Two VMs are known that may have granted tokens; no VM may grant any more.
    Contested,
}

/// Right of one incarnation of a VM to grant for a program.
#[derive(Clone, Debug)]
struct Claim {
    coordinator: CompactString,
    /// Time of the last claim by any VM.
    claimed_ms: u64,
    state: ClaimState,
}

impl Claim {
    fn is_of(&self, coordinator: &str) -> bool {
        self.coordinator == coordinator && self.state != ClaimState::Contested
    }
}

/// Allowances that this VM coordinates, and claims of others.
#[derive(Debug, Default)]
pub struct Allowances {
    programs: FastMap<ProgramKey, Allowance>,
    overdrawn: FastSet<ProgramKey>,
    claims: FastMap<ProgramKey, Claim>,
    /// Programs for which this VM granted or agreed to grants while its failure domain
    /// was cut off, and of which the other domains have yet to be told.
    untold: FastSet<ProgramKey>,
    /// Whether this VM is stopping.
    is_stopped: bool,
}

/// Time after the last claim for which a program's coordinator stays recorded. It
/// is longer than programs may pause between calls.
const COORDINATOR_TTL_MS: u64 = 600_000;

impl Allowances {
    /// Tokens granted to a call; 0 if too few remain, the program is listed as
    /// overdrawn, its allowance is contested, or this VM is stopping.
    pub fn grant(&mut self, request: &AllowanceRequest) -> u64 {
        let program = ProgramKey(request.program.clone());
        if self.is_stopped || self.overdrawn.contains(&program) {
            return 0;
        }
        if let Some(claim) = self.claims.get_mut(&program) {
            if claim.state == ClaimState::Contested {
                return 0;
            }
            claim.state = ClaimState::Granted;
        }
        if request.connectivity == Connectivity::OwnDomain {
            self.untold.insert(program.clone());
        }
        let allowance = self.programs.entry(program).or_default();
        allowance.budget_tokens = request.budget_tokens;
        allowance.max_call_tokens = allowance.max_call_tokens.max(request.max_tokens);
        let committed_tokens = allowance.in_flight_tokens + allowance.spent_tokens;
        // A call that was granted fewer than its maximum asks for the rest, which says
        // nothing of the program's allowance.
        let max_tokens = max_allowance_tokens(request.budget_tokens, allowance.max_call_tokens);
        let remaining_tokens = max_tokens.saturating_sub(committed_tokens);
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

    /// Records `coordinator`, another VM's incarnation, as the one that grants for a
    /// program; `false` if a different one is recorded.
    pub fn claim_coordinator(
        &mut self,
        program: &ProgramKey,
        coordinator: &str,
        now_ms: u64,
    ) -> bool {
        self.claim(program, coordinator, ClaimState::Granted, now_ms)
    }

    /// Records this VM's own incarnation as the one that is about to grant for a
    /// program; `false` if a different one is recorded.
    pub fn claim_own(&mut self, program: &ProgramKey, own: &str, now_ms: u64) -> bool {
        self.claim(program, own, ClaimState::Pending, now_ms)
    }

    fn claim(
        &mut self,
        program: &ProgramKey,
        coordinator: &str,
        state: ClaimState,
        now_ms: u64,
    ) -> bool {
        let claim = self.claims.entry(program.clone()).or_insert_with(|| Claim {
            coordinator: coordinator.into(),
            claimed_ms: now_ms,
            state,
        });
        claim.claimed_ms = now_ms;
        claim.is_of(coordinator)
    }

    /// Removes this VM's own claim to a program, which other VMs didn't agree to, so
    /// that it doesn't outrank what they know. Has no effect once tokens were granted.
    pub fn withdraw_claim(&mut self, program: &ProgramKey, own: &str) {
        let claim = self.claims.get(program);
        if claim.is_some_and(|claim| claim.is_of(own) && claim.state == ClaimState::Pending) {
            self.claims.remove(program);
        }
    }

    /// Holds what another VM knows of an allowance. It replaces a claim of this VM
    /// that is pending; with a different one that may have been used, the allowance is
    /// contested.
    pub fn hold_record(&mut self, record: &AllowanceRecord, now_ms: u64) {
        let program = ProgramKey(record.program.clone());
        let held = Claim {
            coordinator: record.coordinator.clone(),
            claimed_ms: now_ms.saturating_sub(record.age_ms),
            state: ClaimState::Granted,
        };
        let claim = self.claims.entry(program).or_insert_with(|| held.clone());
        if claim.state == ClaimState::Pending {
            *claim = held;
        } else if claim.coordinator != held.coordinator {
            claim.state = ClaimState::Contested;
        }
    }

    /// Grants nothing from now on, as this VM is stopping.
    pub fn stop(&mut self) {
        self.is_stopped = true;
    }

    /// All that this VM knows of allowances that may have been granted, for the VMs
    /// that hold it too.
    pub fn records(&self, now_ms: u64) -> Vec<AllowanceRecord> {
        let claims = self.claims.iter();
        claims
            .filter(|(_, claim)| claim.state != ClaimState::Pending)
            .map(|(program, claim)| AllowanceRecord {
                program: program.0.clone(),
                coordinator: match claim.state {
                    ClaimState::Contested => CompactString::default(),
                    ClaimState::Pending | ClaimState::Granted => claim.coordinator.clone(),
                },
                age_ms: now_ms.saturating_sub(claim.claimed_ms),
                uncharged_tokens: 0,
                budget_tokens: 0,
                max_call_tokens: 0,
            })
            .collect()
    }

    /// Records that another VM of the own failure domain, which may be cut off, may
    /// grant for a program, so that this VM tells the other domains of it too.
    pub fn set_untold(&mut self, program: &ProgramKey) {
        self.untold.insert(program.clone());
    }

    /// Records that the other failure domains know who granted for a program.
    pub fn set_told(&mut self, program: &ProgramKey) {
        self.untold.remove(program);
    }

    /// What the other failure domains have yet to be told.
    pub fn untold_records(&self, now_ms: u64) -> Vec<AllowanceRecord> {
        let mut records = self.records(now_ms);
        records.retain(|record| {
            let program = ProgramKey(record.program.clone());
            self.untold.contains(&program)
        });
        records
    }

    /// Whether the other failure domains have yet to be told of a grant.
    pub fn has_untold(&self) -> bool {
        !self.untold.is_empty()
    }

    /// Whether this VM has granted an allowance to a program.
    pub fn has_allowance(&self, program: &ProgramKey) -> bool {
        self.programs.contains_key(program)
    }

    /// Removes claims to programs that had none for `COORDINATOR_TTL_MS`.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.claims
            .retain(|_, claim| now_ms < claim.claimed_ms + COORDINATOR_TTL_MS);
        let claims = &self.claims;
        self.untold.retain(|program| claims.contains_key(program));
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

/// The first two of these VMs in a program's ranking; fewer if there are fewer.
pub fn record_holders<'a>(
    program: &ProgramKey,
    vms: &[&'a CompactString],
) -> Vec<&'a CompactString> {
    let ranked = || vms.iter().copied();
    let first = allowance_coordinator(program, ranked());
    let rest = ranked().filter(|name| Some(*name) != first);
    let holders = [first, allowance_coordinator(program, rest)];
    holders.into_iter().flatten().collect()
}

/// VM that coordinates a program's allowance, by rendezvous hashing; `None` if
/// `vms` is empty.
pub fn allowance_coordinator<'a, I>(program: &ProgramKey, vms: I) -> Option<&'a CompactString>
where
    I: IntoIterator<Item = &'a CompactString>,
{
    rendezvous_hash(&program.0, vms)
}

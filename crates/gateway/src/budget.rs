//! Token budgets of programs whose calls come through any VM.
//!
//! Each program has one row in the platform's store. Tokens are charged there
//! before they are spent, on condition that the row hasn't changed since it was
//! read. A VM charges more than its next call needs and holds the rest, so that
//! most calls need no write; it releases what it holds when the budget runs
//! short. A VM recognizes a write whose reply was lost by the sequence number
//! that the write left in the row. A row may overstate what was spent, never
//! understate it.

mod program_budget;
mod row;

use compact_str::CompactString;
use derive_more::Display;
use lagoon_ids::FastMap;

use crate::allowance::AllowanceRow;
use crate::reserve::reserve_tokens;
use crate::store::{RowWrite, StoreError, StoreReply};
use crate::store_versions::StoreVersions;

use program_budget::{PendingWrite, ProgramBudget};
pub use row::{BudgetRow, ProgramKey, WriterMark};

/// Name of the writer, and how many tokens [`ProgramBudgets`] holds and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Incarnation of the VM, unique among all writers.
    pub writer: CompactString,
    /// Time without a call after which held tokens are released if the budget
    /// runs short.
    pub idle_return_ms: u64,
    /// Maximum number of tokens that a write charges ahead for further calls of a
    /// program, as a multiple of the tokens of its largest call.
    pub max_held_calls: u64,
    /// Whether a part of each budget is the reserve of the program's home.
    pub keeps_reserve: bool,
}

impl BudgetSettings {
    /// Settings with default limits; `writer` has none, as it must be unique.
    pub fn new(writer: CompactString) -> BudgetSettings {
        BudgetSettings {
            writer,
            idle_return_ms: 250,
            max_held_calls: 5,
            keeps_reserve: false,
        }
    }

    fn reserve_tokens(&self, budget_tokens: u64) -> u64 {
        match self.keeps_reserve {
            true => reserve_tokens(budget_tokens),
            false => 0,
        }
    }
}

/// Id of a call that waits for its charge.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub struct WaiterId(pub u64);

/// Tokens granted to one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Tokens that are charged for the call.
    pub tokens: u64,
}

/// Whether a call may use the tokens that its [`ChargeRequest`] asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChargeDecision {
    /// The tokens are charged and the call may be sent.
    Granted(Grant),
    /// The budget has no room for the call.
    Exhausted {
        /// [`BudgetRow::charged_tokens`] of the program's row at the refusal.
        charged_tokens: u64,
    },
    /// Other VMs hold the remaining tokens and release them soon.
    HeldElsewhere {
        /// Tokens that other VMs hold.
        held_tokens: u64,
    },
    /// The call fits only with the reserve, which the program's home must release
    /// first.
    ReserveNeeded,
    /// The store is unavailable, so the budget isn't known.
    Unavailable,
}

/// Tokens that a program spent while the store was unreachable.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeferredCharge {
    /// Program that spent them.
    pub program: ProgramKey,
    /// Tokens to charge: those spent, and the whole grants of calls in flight.
    pub tokens: u64,
    /// Token budget by the program's latest allowance request.
    pub budget_tokens: u64,
    /// Tokens of the program's largest call.
    pub max_call_tokens: u64,
}

/// Conditional write of a program's row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BudgetWrite {
    /// Program whose row is written.
    pub program: ProgramKey,
    /// Write to apply if the row is unchanged.
    pub write: RowWrite,
}

/// Request to charge the tokens of a call before it is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChargeRequest {
    /// Id by which the decision is returned.
    pub waiter: WaiterId,
    /// Tokens that all calls of the program may use together; the latest request's
    /// value applies.
    pub budget_tokens: u64,
    /// Tokens that the call may use at most.
    pub tokens: u64,
    /// Time that the program may pause between calls.
    pub retention_ms: u64,
}

/// Budgets of all programs with calls through this VM.
#[derive(Debug)]
pub struct ProgramBudgets {
    settings: BudgetSettings,
    next_sequence: u64,
    programs: FastMap<ProgramKey, ProgramBudget>,
    versions: StoreVersions,
}

impl ProgramBudgets {
    /// Budgets without a known program.
    pub fn new(settings: BudgetSettings) -> ProgramBudgets {
        ProgramBudgets {
            settings,
            next_sequence: 1,
            programs: FastMap::default(),
            versions: StoreVersions::default(),
        }
    }

    /// Records that the store replied with this version to a call that began at
    /// `began_ms`, so that newer rows are known to be newer than that.
    pub fn record_store_version(&mut self, version: u64, began_ms: u64) {
        self.versions.record(version, began_ms);
    }

    /// Number of known programs.
    pub fn len(&self) -> usize {
        self.programs.len()
    }

    /// Whether no program is known.
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }

    /// Decides on a call by the held tokens or a recent refusal; `None` if it is
    /// queued for the next write, whose reply [`ProgramBudgets::on_write_reply`]
    /// handles.
    pub fn request_charge(
        &mut self,
        program: &ProgramKey,
        request: ChargeRequest,
        now_ms: u64,
    ) -> Option<ChargeDecision> {
        let budget = self.programs.entry(program.clone()).or_default();
        budget.last_used_ms = now_ms;
        budget.retention_ms = budget.retention_ms.max(request.retention_ms);
        budget.budget_tokens = request.budget_tokens;
        budget.reserve_tokens = self.settings.reserve_tokens(request.budget_tokens);
        budget.max_call_tokens = budget.max_call_tokens.max(request.tokens);
        if budget.is_fresh(now_ms)
            && budget.held_tokens >= request.tokens
            && budget.waiting.is_empty()
        {
            budget.held_tokens -= request.tokens;
            return Some(ChargeDecision::Granted(Grant {
                tokens: request.tokens,
            }));
        }
        if let Some(refusal) = budget
            .refusal
            .filter(|refusal| refusal.covers(&request, now_ms))
        {
            return Some(ChargeDecision::Exhausted {
                charged_tokens: refusal.charged_tokens,
            });
        }
        if budget.is_fresh(now_ms) && budget.needs_reserve(request.tokens) {
            return Some(ChargeDecision::ReserveNeeded);
        }
        budget.waiting.push(request);
        None
    }

    /// Cancels a call that stopped waiting. Tokens that a write in flight charges
    /// for it are held afterwards.
    pub fn cancel_charge(&mut self, program: &ProgramKey, waiter: WaiterId) {
        let Some(budget) = self.programs.get_mut(program) else {
            return;
        };
        budget.waiting.retain(|request| request.waiter != waiter);
        if let Some(pending) = &mut budget.pending {
            let granted = &mut pending.granted;
            if let Some(index) = granted.iter().position(|(granted, _)| *granted == waiter) {
                pending.cancelled_tokens += granted.swap_remove(index).1.tokens;
            }
        }
    }

    /// Ends a call that used `used_tokens` of its grant; the rest is held.
    pub fn settle(&mut self, program: &ProgramKey, grant: Grant, used_tokens: u64, now_ms: u64) {
        if let Some(budget) = self.programs.get_mut(program) {
            budget.held_tokens += grant.tokens.saturating_sub(used_tokens);
            budget.last_used_ms = now_ms;
        }
    }

    /// Whether calls wait for the next write.
    pub fn has_waiting(&self, program: &ProgramKey) -> bool {
        let budget = self.programs.get(program);
        budget.is_some_and(|budget| !budget.waiting.is_empty())
    }

    /// Write that charges the waiting calls; `None` if no call waits or another
    /// write of the row is in flight.
    pub fn charge_write(&mut self, program: &ProgramKey) -> Option<BudgetWrite> {
        let budget = self.programs.get_mut(program)?;
        let is_due = budget.is_refresh_due || !budget.waiting.is_empty();
        if budget.pending.is_some() || !is_due {
            return None;
        }
        let held_before_tokens = std::mem::take(&mut budget.held_tokens);
        let mut remaining_tokens = budget.remaining_tokens() + held_before_tokens;
        let mut granted = Vec::new();
        budget.waiting.retain(|request| {
            let fits = request.tokens <= remaining_tokens;
            if fits {
                remaining_tokens -= request.tokens;
                let grant = Grant {
                    tokens: request.tokens,
                };
                granted.push((request.waiter, grant));
            }
            !fits
        });
        let held_after_tokens = if granted.is_empty() {
            // The write only verifies that the row is current.
            held_before_tokens
        } else {
            budget.prefetch_tokens(&self.settings, remaining_tokens)
        };
        self.begin_write(program, granted, held_before_tokens, held_after_tokens)
    }

    /// Next write after a reply: the one that charges the waiting calls, or the one that
    /// releases held tokens, if that is due. While the budget runs short, a release that met
    /// a newer row is repeated at once, as the row may change as often as calls at other VMs
    /// are refused by it.
    pub fn next_write(&mut self, program: &ProgramKey, now_ms: u64) -> Option<BudgetWrite> {
        if let Some(write) = self.charge_write(program) {
            return Some(write);
        }
        let budget = self.programs.get(program)?;
        let is_due = budget.needs_write(&self.settings, now_ms);
        is_due.then(|| self.release_write(program)).flatten()
    }

    /// Write that releases the held tokens; `None` if there is nothing to write
    /// or another write of the row is in flight. Its reply also shows whether
    /// earlier writes without a reply were applied.
    pub fn release_write(&mut self, program: &ProgramKey) -> Option<BudgetWrite> {
        let budget = self.programs.get_mut(program)?;
        let is_needed =
            budget.has_surplus() || budget.deferred_tokens > 0 || budget.is_release_requested;
        if budget.pending.is_some() || !is_needed {
            return None;
        }
        budget.is_release_requested = false;
        let held_tokens = std::mem::take(&mut budget.held_tokens);
        self.begin_write(program, Vec::new(), held_tokens, 0)
    }

    fn begin_write(
        &mut self,
        program: &ProgramKey,
        granted: Vec<(WaiterId, Grant)>,
        held_before_tokens: u64,
        held_after_tokens: u64,
    ) -> Option<BudgetWrite> {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let budget = self.programs.get_mut(program)?;
        budget.is_refresh_due = false;
        let mut pending = PendingWrite {
            sequence,
            granted,
            cancelled_tokens: 0,
            held_before_tokens,
            held_after_tokens,
            deferred_tokens: std::mem::take(&mut budget.deferred_tokens),
            row: budget.row.clone(),
        };
        let added_tokens = pending.owned_tokens() + pending.deferred_tokens;
        let charged_tokens = budget.row.charged_tokens + added_tokens;
        pending.row.charged_tokens = charged_tokens.saturating_sub(held_before_tokens);
        if let (false, Some(granted_tokens)) = (pending.row.is_whole, budget.released_tokens) {
            pending.row.charged_tokens += granted_tokens;
            pending.row.is_whole = true;
        }
        pending.row.retention_ms = budget.retention_ms;
        if budget.version == 0 && budget.row == BudgetRow::default() {
            pending.row.allowance_holder = Some(self.settings.writer.clone());
        }
        pending.row.set_mark(WriterMark {
            writer: self.settings.writer.clone(),
            sequence,
            held_tokens: held_after_tokens,
        });
        // A struct of numbers and strings always serializes.
        let value = serde_json::to_vec(&pending.row).unwrap_or_default();
        let write = RowWrite {
            key: program.row_key(),
            expected_version: budget.version,
            value: Some(value),
        };
        budget.pending = Some(pending);
        Some(BudgetWrite {
            program: program.clone(),
            write,
        })
    }

    /// Records that the home has released the reserve, of which it granted
    /// `granted_tokens`. The next write adds it to the row.
    pub fn record_release(&mut self, program: &ProgramKey, granted_tokens: u64) {
        if let Some(budget) = self.programs.get_mut(program) {
            if !budget.row.is_whole {
                budget.released_tokens = Some(granted_tokens);
            }
        }
    }

    /// Handles the reply to the write in flight. Returns the calls that are granted
    /// or refused, or fail because the store is unavailable; waiting calls that
    /// aren't returned wait for the next write.
    pub fn on_write_reply(
        &mut self,
        program: &ProgramKey,
        reply: &Result<StoreReply, StoreError>,
        now_ms: u64,
    ) -> Vec<(WaiterId, ChargeDecision)> {
        let Some(budget) = self.programs.get_mut(program) else {
            return Vec::new();
        };
        let Some(pending) = budget.pending.take() else {
            return Vec::new();
        };
        let writer = self.settings.writer.as_str();
        let decisions = match reply {
            Ok(StoreReply::Applied { version }) => budget.on_applied(*version, pending, writer),
            Ok(StoreReply::Conflict(rows)) => {
                let key = program.row_key();
                let found = rows.iter().find(|row| row.key == key);
                let is_recent =
                    found.is_some_and(|row| budget.is_recent(row.version, &self.versions, now_ms));
                budget.on_conflict(writer, found, pending, is_recent)
            }
            Err(StoreError::NoReply(_)) => {
                budget.held_tokens += pending.certain_tokens();
                let granted = pending.granted.clone();
                budget.unresolved.push(pending);
                budget.fail_all(granted)
            }
            Ok(_) | Err(_) => {
                budget.held_tokens += pending.held_before_tokens;
                budget.deferred_tokens += pending.deferred_tokens;
                budget.fail_all(pending.granted)
            }
        };
        if reply.is_ok() {
            budget.last_seen_ms = now_ms;
        }
        budget.record_refusal(&decisions, now_ms);
        decisions
    }

    /// Programs whose row needs a write although no call waits: tokens were spent
    /// without the store, or tokens are held while the budget runs short and calls
    /// at other VMs may need them.
    pub fn programs_to_write(&self, now_ms: u64) -> Vec<ProgramKey> {
        self.programs
            .iter()
            .filter(|(_, budget)| budget.pending.is_none())
            .filter(|(_, budget)| budget.needs_write(&self.settings, now_ms))
            .map(|(program, _)| program.clone())
            .collect()
    }

    /// Adds tokens that were spent without the store, to be charged by the next
    /// write.
    pub fn add_deferred_charge(&mut self, charge: &DeferredCharge, now_ms: u64) {
        let budget = self.programs.entry(charge.program.clone()).or_default();
        budget.deferred_tokens += charge.tokens;
        budget.budget_tokens = charge.budget_tokens;
        budget.reserve_tokens = self.settings.reserve_tokens(charge.budget_tokens);
        budget.max_call_tokens = budget.max_call_tokens.max(charge.max_call_tokens);
        budget.last_used_ms = now_ms;
    }

    /// Whether the uncharged rest of a program's budget, by its row as last seen, is
    /// smaller than its largest call; `false` if the program isn't known.
    pub fn lacks_room_for_largest_call(&self, program: &ProgramKey) -> bool {
        let budget = self.programs.get(program);
        budget.is_some_and(|budget| budget.remaining_tokens() < budget.max_call_tokens)
    }

    /// Incarnation of the VM that alone grants a program's allowance, by its row as last
    /// seen; `None` if the row isn't known or names none.
    pub fn allowance_holder(&self, program: &ProgramKey) -> Option<&CompactString> {
        let budget = self.programs.get(program)?;
        let is_known = budget.version > 0;
        budget.row.allowance_holder.as_ref().filter(|_| is_known)
    }

    /// Whether this VM alone grants a program's allowance.
    pub fn is_allowance_holder(&self, program: &ProgramKey) -> bool {
        let holder = self.allowance_holder(program);
        holder.is_some_and(|holder| *holder == self.settings.writer)
    }

    /// Version of a program's row as last seen; 0 if it isn't known.
    pub fn row_version(&self, program: &ProgramKey) -> u64 {
        let budget = self.programs.get(program);
        budget.map_or(0, |budget| budget.version)
    }

    /// What a program's row, as last seen, says of its allowance.
    pub fn allowance_row(&self, program: &ProgramKey) -> AllowanceRow {
        let budget = self.programs.get(program);
        budget.map_or_else(AllowanceRow::default, |budget| AllowanceRow {
            is_holder: self.is_allowance_holder(program),
            overspent_tokens: budget.overspent_tokens(),
            has_pending_charges: budget.has_deferred_charges(),
        })
    }

    /// What the rows of all known programs say of their allowances.
    pub fn allowance_rows(&self) -> Vec<(ProgramKey, AllowanceRow)> {
        let programs = self.programs.keys();
        programs
            .map(|program| (program.clone(), self.allowance_row(program)))
            .collect()
    }

    /// Whether tokens that were spent without the store are not known to be charged.
    pub fn has_deferred_charges(&self, program: &ProgramKey) -> bool {
        let budget = self.programs.get(program);
        budget.is_some_and(ProgramBudget::has_deferred_charges)
    }

    /// Writers that hold tokens of a program by its row as last seen, largest
    /// amount first.
    pub fn holders(&self, program: &ProgramKey) -> Vec<CompactString> {
        let Some(budget) = self.programs.get(program) else {
            return Vec::new();
        };
        let own = &self.settings.writer;
        let marks = budget.row.writers.iter();
        let mut holders: Vec<&WriterMark> = marks
            .filter(|mark| mark.held_tokens > 0 && mark.writer != *own)
            .collect();
        holders.sort_by_key(|mark| std::cmp::Reverse(mark.held_tokens));
        holders
            .into_iter()
            .map(|mark| mark.writer.clone())
            .collect()
    }

    /// Other writers of a program's row as last seen, newest first.
    pub fn other_writers(&self, program: &ProgramKey) -> Vec<CompactString> {
        let Some(budget) = self.programs.get(program) else {
            return Vec::new();
        };
        let own = &self.settings.writer;
        let marks = budget.row.writers.iter().rev();
        let others = marks.filter(|mark| mark.writer != *own);
        others.map(|mark| mark.writer.clone()).collect()
    }

    /// Tokens that a call of this size lacks, by the row as last seen and what this VM
    /// holds, even if the reserve is released.
    pub fn missing_tokens(&self, program: &ProgramKey, tokens: u64) -> u64 {
        let budget = self.programs.get(program);
        budget.map_or(0, |budget| budget.missing_tokens(tokens))
    }

    /// Takes held tokens for a call at another VM; `false` if there are too few.
    /// In that case a write soon releases all held tokens, so that the row
    /// doesn't list tokens as held here any more.
    pub fn transfer_out(&mut self, program: &ProgramKey, tokens: u64, now_ms: u64) -> bool {
        let budget = self.programs.get_mut(program);
        budget.is_some_and(|budget| {
            let is_taken = budget.take_held(tokens, now_ms);
            budget.is_release_requested |= !is_taken;
            is_taken
        })
    }

    /// Takes held tokens for a call at another VM, which can charge the row
    /// instead if this returns `false`: too few are held, or the row was not
    /// written recently. Unlike [`ProgramBudgets::transfer_out`], a shortage
    /// causes no release.
    pub fn transfer_out_surplus(&mut self, program: &ProgramKey, tokens: u64, now_ms: u64) -> bool {
        let budget = self.programs.get_mut(program);
        let fresh = budget.filter(|budget| budget.is_fresh(now_ms));
        fresh.is_some_and(|budget| budget.take_held(tokens, now_ms))
    }

    /// Takes back surplus tokens that a call at another VM did not use; if the
    /// program has expired here, they stay charged.
    pub fn return_unused(&mut self, program: &ProgramKey, tokens: u64) {
        if let Some(budget) = self.programs.get_mut(program) {
            budget.held_tokens += tokens;
        }
    }

    /// Whether a call can be charged from the tokens held here.
    pub fn has_held(&self, program: &ProgramKey, tokens: u64) -> bool {
        let budget = self.programs.get(program);
        budget.is_some_and(|budget| budget.held_tokens >= tokens)
    }

    /// Adds tokens that another VM held. An earlier refusal isn't repeated.
    pub fn transfer_in(&mut self, program: &ProgramKey, tokens: u64, now_ms: u64) {
        let budget = self.programs.entry(program.clone()).or_default();
        budget.held_tokens += tokens;
        budget.last_used_ms = now_ms;
        budget.refusal = None;
    }

    /// Removes idle programs and returns writes that delete their rows. Only the
    /// last writer of a row deletes it.
    pub fn remove_expired(&mut self, now_ms: u64) -> Vec<RowWrite> {
        let mut writes = Vec::new();
        let writer = &self.settings.writer;
        self.programs.retain(|program, budget| {
            let is_idle = budget.pending.is_none() && budget.waiting.is_empty();
            if !is_idle || budget.has_deferred_charges() || !budget.is_expired(now_ms) {
                return true;
            }
            let last = budget.row.writers.last();
            if budget.version > 0 && last.is_some_and(|mark| mark.writer == *writer) {
                writes.push(RowWrite {
                    key: program.row_key(),
                    expected_version: budget.version,
                    value: None,
                });
            }
            false
        });
        writes
    }
}

//! Token budgets of programs, whichever VMs their calls come through.
//!
//! Each program has one row in the platform's store. Tokens are charged there
//! before they are spent, under the condition that nobody changed the row
//! since. A VM charges some more than its next call needs and holds them, so
//! that most calls need no write; what it holds goes back when the budget
//! gets short. A write whose reply was lost is recognized by the number that
//! its VM left in the row. A row can thus only overstate what was spent.

mod account;
mod row;

use compact_str::CompactString;
use derive_more::Display;
use lagoon_ids::FastMap;

use crate::store::{RowWrite, StoreError, StoreReply};

use account::{Account, Pending};
pub use row::{BudgetRow, ProgramKey, WriterMark};

/// Settings of [`Accounts`].
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Name of this incarnation of the VM, unlike any other's.
    pub writer: CompactString,
    /// Time without a call after which held tokens go back if the budget is
    /// short.
    pub idle_return_ms: u64,
    /// Calls of the most tokens that are held at most.
    pub max_held_calls: u64,
}

impl BudgetSettings {
    /// Default settings for a writer.
    pub fn new(writer: CompactString) -> BudgetSettings {
        BudgetSettings {
            writer,
            idle_return_ms: 250,
            max_held_calls: 5,
        }
    }
}

/// Reference of a call that waits for its charge.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub struct WaiterId(pub u64);

/// Charge of one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Tokens that are charged.
    pub tokens: u64,
}

/// What becomes of a waiting call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChargeDecision {
    /// It is charged and may be sent.
    Granted(Grant),
    /// The budget doesn't hold it.
    Exhausted {
        /// Tokens that are charged already.
        charged_tokens: u64,
    },
    /// Other VMs hold what is left, and give it back soon.
    HeldElsewhere {
        /// Tokens that they hold.
        held_tokens: u64,
    },
    /// The store can't say.
    Unavailable,
}

/// Tokens that a program spent without the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeferredCharge {
    /// Program.
    pub program: ProgramKey,
    /// Tokens.
    pub tokens: u64,
    /// Budget of the program.
    pub budget_tokens: u64,
    /// Most tokens of one of its calls.
    pub max_call_tokens: u64,
}

/// Write that a program's account needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BudgetWrite {
    /// Program.
    pub program: ProgramKey,
    /// Conditional write.
    pub write: RowWrite,
}

/// Call that asks for its charge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChargeRequest {
    /// Reference.
    pub waiter: WaiterId,
    /// Budget of its program.
    pub budget_tokens: u64,
    /// Most tokens that it may spend.
    pub tokens: u64,
    /// How long the program may be silent and go on.
    pub retention_ms: u64,
}

/// Accounts of all programs that come through this VM.
#[derive(Debug)]
pub struct ProgramBudgets {
    settings: BudgetSettings,
    next_number: u64,
    accounts: FastMap<ProgramKey, Account>,
}

impl ProgramBudgets {
    /// No account yet.
    pub fn new(settings: BudgetSettings) -> ProgramBudgets {
        ProgramBudgets {
            settings,
            next_number: 1,
            accounts: FastMap::default(),
        }
    }

    /// Programs with an account.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether there is no account.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Charges a call from what is held, or queues it for the next write, to
    /// be decided by [`Accounts::written`].
    pub fn request_charge(
        &mut self,
        program: &ProgramKey,
        asked: ChargeRequest,
        now_ms: u64,
    ) -> Option<ChargeDecision> {
        let account = self.accounts.entry(program.clone()).or_default();
        account.used_ms = now_ms;
        account.retention_ms = account.retention_ms.max(asked.retention_ms);
        account.budget_tokens = asked.budget_tokens;
        account.largest_call_tokens = account.largest_call_tokens.max(asked.tokens);
        if account.is_fresh(now_ms)
            && account.held_tokens >= asked.tokens
            && account.waiting.is_empty()
        {
            account.held_tokens -= asked.tokens;
            return Some(ChargeDecision::Granted(Grant {
                tokens: asked.tokens,
            }));
        }
        if let Some(spent) = account.spent.filter(|spent| spent.holds(&asked, now_ms)) {
            return Some(ChargeDecision::Exhausted {
                charged_tokens: spent.charged_tokens,
            });
        }
        account.waiting.push(asked);
        None
    }

    /// Withdraws a call that gave up waiting. What is being charged for it is
    /// held.
    pub fn cancel_charge(&mut self, program: &ProgramKey, waiter: WaiterId) {
        let Some(account) = self.accounts.get_mut(program) else {
            return;
        };
        account.waiting.retain(|asked| asked.waiter != waiter);
        if let Some(pending) = &mut account.pending {
            let granted = &mut pending.granted;
            if let Some(index) = granted.iter().position(|(held, _)| *held == waiter) {
                pending.abandoned_tokens += granted.swap_remove(index).1.tokens;
            }
        }
    }

    /// Ends a charged call that used `used_tokens`.
    pub fn settle(&mut self, program: &ProgramKey, grant: Grant, used_tokens: u64, now_ms: u64) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.held_tokens += grant.tokens.saturating_sub(used_tokens);
            account.used_ms = now_ms;
        }
    }

    /// Whether calls wait for a further write.
    pub fn has_waiting(&self, program: &ProgramKey) -> bool {
        let account = self.accounts.get(program);
        account.is_some_and(|account| !account.waiting.is_empty())
    }

    /// Write that charges the waiting calls, if none is under way.
    pub fn charge_write(&mut self, program: &ProgramKey) -> Option<BudgetWrite> {
        let account = self.accounts.get_mut(program)?;
        if account.pending.is_some() || account.waiting.is_empty() {
            return None;
        }
        let held_before_tokens = std::mem::take(&mut account.held_tokens);
        let mut left_tokens = account.left_tokens() + held_before_tokens;
        let mut granted = Vec::new();
        account.waiting.retain(|asked| {
            let fits = asked.tokens <= left_tokens;
            if fits {
                left_tokens -= asked.tokens;
                let grant = Grant {
                    tokens: asked.tokens,
                };
                granted.push((asked.waiter, grant));
            }
            !fits
        });
        let held_after_tokens = if granted.is_empty() {
            // The write only makes sure that the row is current.
            held_before_tokens
        } else {
            account.ahead_tokens(&self.settings, left_tokens)
        };
        self.begin(program, granted, held_before_tokens, held_after_tokens)
    }

    /// Write that gives back what is held, if none is under way. It also finds
    /// out what became of writes without a reply.
    pub fn release_write(&mut self, program: &ProgramKey) -> Option<BudgetWrite> {
        let account = self.accounts.get_mut(program)?;
        let is_needed = account.has_surplus() || account.debt_tokens > 0 || account.is_wanted;
        if account.pending.is_some() || !is_needed {
            return None;
        }
        account.is_wanted = false;
        let held_tokens = std::mem::take(&mut account.held_tokens);
        self.begin(program, Vec::new(), held_tokens, 0)
    }

    fn begin(
        &mut self,
        program: &ProgramKey,
        granted: Vec<(WaiterId, Grant)>,
        held_before_tokens: u64,
        held_after_tokens: u64,
    ) -> Option<BudgetWrite> {
        let number = self.next_number;
        self.next_number += 1;
        let account = self.accounts.get_mut(program)?;
        let mut pending = Pending {
            number,
            granted,
            abandoned_tokens: 0,
            held_before_tokens,
            held_after_tokens,
            debt_tokens: std::mem::take(&mut account.debt_tokens),
            row: account.row.clone(),
        };
        let added_tokens = pending.owned_tokens() + pending.debt_tokens;
        let charged_tokens = account.row.charged_tokens + added_tokens;
        pending.row.charged_tokens = charged_tokens.saturating_sub(held_before_tokens);
        pending.row.mark(WriterMark {
            writer: self.settings.writer.clone(),
            sequence: number,
            held_tokens: held_after_tokens,
        });
        // A struct of numbers and texts always serializes.
        let value = serde_json::to_vec(&pending.row).unwrap_or_default();
        let write = RowWrite {
            key: program.row_key(),
            expected_version: account.version,
            value: Some(value),
        };
        account.pending = Some(pending);
        Some(BudgetWrite {
            program: program.clone(),
            write,
        })
    }

    /// Takes the reply to the write under way. Calls that are decided are
    /// returned; others go into the next write.
    pub fn on_write_reply(
        &mut self,
        program: &ProgramKey,
        reply: &Result<StoreReply, StoreError>,
        now_ms: u64,
    ) -> Vec<(WaiterId, ChargeDecision)> {
        let Some(account) = self.accounts.get_mut(program) else {
            return Vec::new();
        };
        let Some(pending) = account.pending.take() else {
            return Vec::new();
        };
        let writer = self.settings.writer.as_str();
        if reply.is_ok() {
            account.written_ms = now_ms;
        }
        let decisions = match reply {
            Ok(StoreReply::Applied { version }) => account.applied(*version, pending, writer),
            Ok(StoreReply::Conflict(rows)) => {
                let key = program.row_key();
                let found = rows.iter().find(|row| row.key == key);
                account.conflict(writer, found, pending)
            }
            Err(StoreError::NoReply(_)) => {
                account.held_tokens += pending.certain_tokens();
                let granted = pending.granted.clone();
                account.unresolved.push(pending);
                account.refuse(granted)
            }
            Ok(_) | Err(_) => {
                account.held_tokens += pending.held_before_tokens;
                account.debt_tokens += pending.debt_tokens;
                account.refuse(pending.granted)
            }
        };
        account.note_spent(&decisions, now_ms);
        decisions
    }

    /// Programs whose row should change although no call waits: tokens were
    /// spent without the store, or tokens are held while the budget is short
    /// and calls at other VMs may need them.
    pub fn programs_to_write(&self, now_ms: u64) -> Vec<ProgramKey> {
        self.accounts
            .iter()
            .filter(|(_, account)| account.pending.is_none())
            .filter(|(_, account)| account.is_due(&self.settings, now_ms))
            .map(|(program, _)| program.clone())
            .collect()
    }

    /// Takes note of tokens that were spent without the store.
    pub fn add_deferred_charge(&mut self, debt: &DeferredCharge, now_ms: u64) {
        let account = self.accounts.entry(debt.program.clone()).or_default();
        account.debt_tokens += debt.tokens;
        account.budget_tokens = debt.budget_tokens;
        account.largest_call_tokens = account.largest_call_tokens.max(debt.max_call_tokens);
        account.used_ms = now_ms;
    }

    /// Whether a program's charges, as its row was last seen, leave no room
    /// for one more call.
    pub fn lacks_room_for_largest_call(&self, program: &ProgramKey) -> bool {
        let account = self.accounts.get(program);
        account.is_some_and(|account| account.left_tokens() < account.largest_call_tokens)
    }

    /// Whether tokens that were spent without the store are not charged yet,
    /// or the budget is known to be spent.
    pub fn lacks_room(&self, program: &ProgramKey, tokens: u64) -> bool {
        self.accounts.get(program).is_some_and(|account| {
            let is_known = account.version > 0;
            account.has_debt() || (is_known && account.left_tokens() < tokens)
        })
    }

    /// Writers that hold tokens of a program, as its row was last seen, most
    /// first.
    pub fn holders(&self, program: &ProgramKey) -> Vec<CompactString> {
        let Some(account) = self.accounts.get(program) else {
            return Vec::new();
        };
        let own = &self.settings.writer;
        let marks = account.row.writers.iter();
        let mut holders: Vec<&WriterMark> = marks
            .filter(|mark| mark.held_tokens > 0 && mark.writer != *own)
            .collect();
        holders.sort_by_key(|mark| std::cmp::Reverse(mark.held_tokens));
        holders
            .into_iter()
            .map(|mark| mark.writer.clone())
            .collect()
    }

    /// Takes held tokens out, for a call at another VM. If there are too few,
    /// they go back to the row soon, and it no longer says that they are held.
    pub fn transfer_out(&mut self, program: &ProgramKey, tokens: u64, now_ms: u64) -> bool {
        let account = self.accounts.get_mut(program);
        account.is_some_and(|account| {
            let is_taken = account.take(tokens, now_ms);
            account.is_wanted |= !is_taken;
            is_taken
        })
    }

    /// Takes held tokens out, for a call at another VM that has other ways to
    /// get them.
    pub fn transfer_out_surplus(&mut self, program: &ProgramKey, tokens: u64, now_ms: u64) -> bool {
        let account = self.accounts.get_mut(program);
        let fresh = account.filter(|account| account.is_fresh(now_ms));
        fresh.is_some_and(|account| account.take(tokens, now_ms))
    }

    /// Takes spare tokens back that a call at another VM did not use; those
    /// of a program that is forgotten stay charged.
    pub fn return_unused(&mut self, program: &ProgramKey, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.held_tokens += tokens;
        }
    }

    /// Whether a call can be charged from what is held here.
    pub fn has_held(&self, program: &ProgramKey, tokens: u64) -> bool {
        let account = self.accounts.get(program);
        account.is_some_and(|account| account.held_tokens >= tokens)
    }

    /// Takes tokens in that another VM held.
    pub fn transfer_in(&mut self, program: &ProgramKey, tokens: u64, now_ms: u64) {
        let account = self.accounts.entry(program.clone()).or_default();
        account.held_tokens += tokens;
        account.used_ms = now_ms;
    }

    /// Forgets programs that are long silent; the rows to be removed are
    /// returned. A row is the last writer's to remove.
    pub fn remove_expired(&mut self, now_ms: u64) -> Vec<RowWrite> {
        let mut writes = Vec::new();
        let writer = &self.settings.writer;
        self.accounts.retain(|program, account| {
            let is_idle = account.pending.is_none() && account.waiting.is_empty();
            if !is_idle || account.has_debt() || !account.is_over(now_ms) {
                return true;
            }
            let newest = account.row.writers.last();
            if account.version > 0 && newest.is_some_and(|mark| mark.writer == *writer) {
                writes.push(RowWrite {
                    key: program.row_key(),
                    expected_version: account.version,
                    value: None,
                });
            }
            false
        });
        writes
    }
}

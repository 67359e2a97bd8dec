//! Token budgets of programs, whichever VMs their calls come through.
//!
//! Each program has one row in the platform's store. A call's most tokens are
//! charged there, under the condition that nobody changed the row since,
//! before the call is sent; what it did not use is given back with a later
//! write. A write whose reply was lost is recognized by the number that its
//! VM left in the row. A row can thus only overstate what was spent.

use compact_str::CompactString;
use derive_more::{AsRef, Display, From};
use lagoon_ids::{hash64, FastMap};
use serde::{Deserialize, Serialize};

use crate::store::{Row, RowKey, StoreError, StoreReply, Write};

/// Table of the rows.
const TABLE: &str = "budgets";

/// Parts of the table; each carries its own transactions.
const PARTS: u64 = 16;

/// Longest name that is a key as it is, in bytes.
const KEY_BYTES: usize = 64;

/// Writers whose numbers a row keeps.
const WRITERS: usize = 16;

/// Program as callers name it.
#[derive(AsRef, Clone, Debug, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd)]
pub struct ProgramKey(pub CompactString);

impl ProgramKey {
    fn row_key(&self) -> RowKey {
        let hash = hash64(self.0.as_bytes());
        let key = if self.0.len() <= KEY_BYTES {
            self.0.clone()
        } else {
            compact_str::format_compact!("{hash:016x}")
        };
        RowKey {
            table: CompactString::const_new(TABLE),
            part: compact_str::format_compact!("p{}", hash % PARTS),
            key,
        }
    }
}

/// Settings of [`Accounts`].
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Name of this incarnation of the VM, unlike any other's.
    pub writer: CompactString,
    /// Age at which what a call did not use is written back if the budget is
    /// short.
    pub settle_after_ms: u64,
    /// Calls of the most tokens below which a budget is short.
    pub short_calls: u64,
}

impl BudgetSettings {
    /// Default settings for a writer.
    pub fn of(writer: CompactString) -> BudgetSettings {
        BudgetSettings {
            writer,
            settle_after_ms: 250,
            short_calls: 12,
        }
    }
}

/// Row as it is stored, as JSON.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountRow {
    /// Tokens that are spent, and those that calls under way may spend.
    pub charged_tokens: u64,
    /// Number of the last write of each writer, newest writer last.
    pub writers: Vec<(CompactString, u64)>,
}

impl AccountRow {
    fn last_of(&self, writer: &str) -> u64 {
        let found = self.writers.iter().find(|(name, _)| name == writer);
        found.map_or(0, |(_, number)| *number)
    }

    fn mark(&mut self, writer: &CompactString, number: u64) {
        self.writers.retain(|(name, _)| name != writer);
        self.writers.push((writer.clone(), number));
        let excess = self.writers.len().saturating_sub(WRITERS);
        self.writers.drain(..excess);
    }
}

/// Reference of a call that waits for its charge.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub struct Waiter(pub u64);

/// Charge of one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Tokens that are charged.
    pub tokens: u64,
}

/// What becomes of a waiting call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It is charged and may be sent.
    Granted(Grant),
    /// The budget doesn't hold it.
    Spent {
        /// Tokens that are charged already.
        charged_tokens: u64,
    },
    /// The store can't say.
    Unavailable,
}

/// Write that a program's account needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BudgetWrite {
    /// Program.
    pub program: ProgramKey,
    /// Conditional write.
    pub write: Write,
}

#[derive(Clone, Debug)]
struct Request {
    waiter: Waiter,
    budget_tokens: u64,
    tokens: u64,
}

#[derive(Clone, Debug)]
struct Pending {
    number: u64,
    granted: Vec<(Waiter, Grant)>,
    /// Charged for calls that gave up waiting meanwhile.
    abandoned_tokens: u64,
    refund_tokens: u64,
    row: AccountRow,
}

impl Pending {
    fn charged_tokens(&self) -> u64 {
        let granted = self.granted.iter().map(|(_, grant)| grant.tokens);
        granted.sum::<u64>() + self.abandoned_tokens
    }
}

/// Account of one program at this VM.
#[derive(Clone, Debug, Default)]
pub struct Account {
    version: u64,
    row: AccountRow,
    budget_tokens: u64,
    largest_call_tokens: u64,
    waiting: Vec<Request>,
    pending: Option<Pending>,
    /// Writes that were given up. All have the condition of the next one, so
    /// at most one of them was applied.
    unresolved: Vec<Pending>,
    refund_tokens: u64,
    refund_since_ms: u64,
    used_ms: u64,
    retention_ms: u64,
}

/// Accounts of all programs that come through this VM.
#[derive(Debug)]
pub struct Accounts {
    settings: BudgetSettings,
    next_number: u64,
    accounts: FastMap<ProgramKey, Account>,
}

impl Accounts {
    /// No account yet.
    pub fn new(settings: BudgetSettings) -> Accounts {
        Accounts {
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

    /// Asks for the charge of a call; [`Accounts::written`] decides.
    pub fn request(
        &mut self,
        program: &ProgramKey,
        waiter: Waiter,
        budget_tokens: u64,
        tokens: u64,
        retention_ms: u64,
        now_ms: u64,
    ) {
        let account = self.accounts.entry(program.clone()).or_default();
        account.used_ms = now_ms;
        account.retention_ms = account.retention_ms.max(retention_ms);
        account.budget_tokens = budget_tokens;
        account.largest_call_tokens = account.largest_call_tokens.max(tokens);
        account.waiting.push(Request {
            waiter,
            budget_tokens,
            tokens,
        });
    }

    /// Withdraws a call that gave up waiting. A charge that is being written
    /// for it is given back.
    pub fn withdraw(&mut self, program: &ProgramKey, waiter: Waiter, now_ms: u64) {
        let Some(account) = self.accounts.get_mut(program) else {
            return;
        };
        account.waiting.retain(|request| request.waiter != waiter);
        if let Some(pending) = &mut account.pending {
            let granted = &mut pending.granted;
            if let Some(index) = granted.iter().position(|(held, _)| *held == waiter) {
                pending.abandoned_tokens += granted.swap_remove(index).1.tokens;
            }
        }
        account.used_ms = now_ms;
    }

    /// Ends a charged call that used `used_tokens`.
    pub fn settle(&mut self, program: &ProgramKey, grant: Grant, used_tokens: u64, now_ms: u64) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.give_back(grant.tokens.saturating_sub(used_tokens), now_ms);
            account.used_ms = now_ms;
        }
    }

    /// Write that the program needs now, if none is under way.
    pub fn next_write(&mut self, program: &ProgramKey) -> Option<BudgetWrite> {
        let account = self.accounts.get_mut(program)?;
        if account.pending.is_some() {
            return None;
        }
        let refund_tokens = account.refund_tokens.min(account.row.charged_tokens);
        let mut charged_tokens = account.row.charged_tokens - refund_tokens;
        let mut granted = Vec::new();
        account.waiting.retain(|request| {
            let fits = charged_tokens + request.tokens <= request.budget_tokens;
            // What a fresh row says is decided by the store's version of it.
            if fits {
                charged_tokens += request.tokens;
                let grant = Grant {
                    tokens: request.tokens,
                };
                granted.push((request.waiter, grant));
            }
            !fits
        });
        if granted.is_empty() && refund_tokens == 0 && account.waiting.is_empty() {
            return None;
        }
        let number = self.next_number;
        self.next_number += 1;
        let mut row = AccountRow {
            charged_tokens,
            ..account.row.clone()
        };
        row.mark(&self.settings.writer, number);
        account.refund_tokens -= refund_tokens;
        let write = account.write(program, &row);
        account.pending = Some(Pending {
            number,
            granted,
            abandoned_tokens: 0,
            refund_tokens,
            row,
        });
        Some(BudgetWrite {
            program: program.clone(),
            write,
        })
    }

    /// Whether calls wait for a further write.
    pub fn has_waiting(&self, program: &ProgramKey) -> bool {
        let account = self.accounts.get(program);
        account.is_some_and(|account| !account.waiting.is_empty())
    }

    /// Takes the reply to the write under way. Calls that are decided are
    /// returned; others go into the next write.
    pub fn written(
        &mut self,
        program: &ProgramKey,
        reply: &Result<StoreReply, StoreError>,
        now_ms: u64,
    ) -> Vec<(Waiter, Decision)> {
        let Some(account) = self.accounts.get_mut(program) else {
            return Vec::new();
        };
        let Some(pending) = account.pending.take() else {
            return Vec::new();
        };
        match reply {
            Ok(StoreReply::Applied { version }) => {
                account.applied(*version, pending, now_ms)
            }
            Ok(StoreReply::Conflict(rows)) => {
                account.conflict(&self.settings.writer, program, rows, pending, now_ms)
            }
            Ok(_) | Err(_) => account.give_up(pending, reply, now_ms),
        }
    }

    /// Programs whose refunds are due: the budget is short, and waiting calls
    /// of other VMs may need them.
    pub fn due(&self, now_ms: u64) -> Vec<ProgramKey> {
        let settings = &self.settings;
        self.accounts
            .iter()
            .filter(|(_, account)| account.pending.is_none() && account.refund_tokens > 0)
            .filter(|(_, account)| account.is_short(settings.short_calls))
            .filter(|(_, account)| account.refund_since_ms + settings.settle_after_ms <= now_ms)
            .map(|(program, _)| program.clone())
            .collect()
    }

    /// Forgets programs that were silent for twice their retention; the rows
    /// to be removed are returned.
    pub fn sweep(&mut self, now_ms: u64) -> Vec<Write> {
        let mut writes = Vec::new();
        self.accounts.retain(|program, account| {
            let is_over = now_ms > account.used_ms + 2 * account.retention_ms;
            let is_idle = account.pending.is_none() && account.waiting.is_empty();
            if is_over && is_idle && account.version > 0 {
                writes.push(Write {
                    key: program.row_key(),
                    expected: account.version,
                    value: None,
                });
            }
            !(is_over && is_idle)
        });
        writes
    }
}

impl Account {
    fn write(&self, program: &ProgramKey, row: &AccountRow) -> Write {
        // A struct of numbers and texts always serializes.
        let value = serde_json::to_vec(row).unwrap_or_default();
        Write {
            key: program.row_key(),
            expected: self.version,
            value: Some(value),
        }
    }

    fn is_short(&self, short_calls: u64) -> bool {
        let left_tokens = self.budget_tokens.saturating_sub(self.row.charged_tokens);
        left_tokens < short_calls * self.largest_call_tokens
    }

    fn give_back(&mut self, tokens: u64, now_ms: u64) {
        if tokens == 0 {
            return;
        }
        if self.refund_tokens == 0 {
            self.refund_since_ms = now_ms;
        }
        self.refund_tokens += tokens;
    }

    fn applied(
        &mut self,
        version: u64,
        pending: Pending,
        now_ms: u64,
    ) -> Vec<(Waiter, Decision)> {
        self.version = version;
        self.row = pending.row;
        // Their condition is void now.
        for unresolved in std::mem::take(&mut self.unresolved) {
            self.give_back(unresolved.refund_tokens, now_ms);
        }
        self.give_back(pending.abandoned_tokens, now_ms);
        self.decide(pending.granted)
    }

    /// Grants what is charged, and refuses what the row, now known to be
    /// current, does not hold.
    fn decide(&mut self, granted: Vec<(Waiter, Grant)>) -> Vec<(Waiter, Decision)> {
        let granted = granted.into_iter();
        let mut decisions: Vec<_> = granted
            .map(|(waiter, grant)| (waiter, Decision::Granted(grant)))
            .collect();
        let charged_tokens = self.row.charged_tokens;
        let refund_tokens = self.refund_tokens.min(charged_tokens);
        self.waiting.retain(|request| {
            let fits = charged_tokens - refund_tokens + request.tokens <= request.budget_tokens;
            if !fits {
                decisions.push((request.waiter, Decision::Spent { charged_tokens }));
            }
            fits
        });
        decisions
    }

    fn conflict(
        &mut self,
        writer: &str,
        program: &ProgramKey,
        rows: &[Row],
        pending: Pending,
        now_ms: u64,
    ) -> Vec<(Waiter, Decision)> {
        let key = program.row_key();
        let found = rows.iter().find(|row| row.key == key && row.value.is_some());
        let (version, row) = match found {
            None => (0, AccountRow::default()),
            Some(found) => {
                let bytes = found.value.as_deref().unwrap_or_default();
                match serde_json::from_slice::<AccountRow>(bytes) {
                    Ok(row) => (found.version, row),
                    Err(_) => {
                        self.refund_tokens += pending.refund_tokens;
                        return self.refuse(pending.granted);
                    }
                }
            }
        };
        let last = row.last_of(writer);
        // A full list may have lost this writer's number.
        let is_marked = last > 0 || row.writers.len() < WRITERS;
        self.version = version;
        self.row = row;
        for unresolved in std::mem::take(&mut self.unresolved) {
            if last == unresolved.number {
                // Its calls were refused meanwhile.
                self.give_back(unresolved.charged_tokens(), now_ms);
            } else if is_marked {
                self.give_back(unresolved.refund_tokens, now_ms);
            }
        }
        if last == pending.number {
            self.give_back(pending.abandoned_tokens, now_ms);
            return self.decide(pending.granted);
        }
        if is_marked {
            self.give_back(pending.refund_tokens, now_ms);
        }
        let budget_tokens = self.budget_tokens;
        let requests = pending.granted.into_iter().map(|(waiter, grant)| Request {
            waiter,
            budget_tokens,
            tokens: grant.tokens,
        });
        self.waiting.splice(0..0, requests);
        self.decide(Vec::new())
    }

    fn give_up(
        &mut self,
        pending: Pending,
        reply: &Result<StoreReply, StoreError>,
        now_ms: u64,
    ) -> Vec<(Waiter, Decision)> {
        let granted = pending.granted.clone();
        if matches!(reply, Err(StoreError::NoReply(_))) {
            self.unresolved.push(pending);
        } else {
            self.give_back(pending.refund_tokens, now_ms);
        }
        self.refuse(granted)
    }

    fn refuse(&mut self, granted: Vec<(Waiter, Grant)>) -> Vec<(Waiter, Decision)> {
        let waiting = std::mem::take(&mut self.waiting);
        granted
            .into_iter()
            .map(|(waiter, _)| waiter)
            .chain(waiting.into_iter().map(|request| request.waiter))
            .map(|waiter| (waiter, Decision::Unavailable))
            .collect()
    }
}

//! Token budgets of programs, whichever VMs their calls come through.
//!
//! Each program has one row in the platform's store. Tokens are charged there
//! before they are spent, under the condition that nobody changed the row
//! since. A VM charges some more than its next call needs and holds them, so
//! that most calls need no write; what it holds goes back when the budget
//! gets short. A write whose reply was lost is recognized by the number that
//! its VM left in the row. A row can thus only overstate what was spent.

use compact_str::CompactString;
use derive_more::{AsRef, Display, From};
use lagoon_ids::{hash64, FastMap};
use serde::{Deserialize, Serialize};

use crate::store::{Row, RowKey, StoreError, StoreReply, Write};

/// Table of the rows.
const TABLE: &str = "budgets";

/// Parts of the table. Each carries its own transactions, one after another,
/// so that a slow store makes programs of one part wait for each other.
const PARTS: u64 = 1_024;

/// Longest name that is a key as it is, in bytes.
const KEY_BYTES: usize = 64;

/// Retention of a program whose calls come through other VMs only, so that
/// theirs is not known here.
const OTHERS_RETENTION_MS: u64 = 600_000;

/// Time for which a refusal is not asked for again: a part of that in which
/// what a call spent becomes known.
const SPENT_MS: u64 = 300;

/// Retentions of silence after which a program's row is removed. A VM that
/// spends from what it holds writes the row at least once in two of them.
const SWEEP_RETENTIONS: u64 = 4;

/// Writers whose marks a row keeps.
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
    /// Time without a call after which held tokens go back if the budget is
    /// short.
    pub return_after_ms: u64,
    /// Calls of the most tokens that are held at most.
    pub held_calls: u64,
}

impl BudgetSettings {
    /// Default settings for a writer.
    pub fn of(writer: CompactString) -> BudgetSettings {
        BudgetSettings {
            writer,
            return_after_ms: 250,
            held_calls: 5,
        }
    }
}

/// What one writer left in a row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Mark {
    /// Writer.
    pub writer: CompactString,
    /// Number of its last write.
    pub number: u64,
    /// Tokens that it held then beyond its calls under way.
    pub held_tokens: u64,
}

/// Row as it is stored, as JSON.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountRow {
    /// Tokens that are spent, held, or charged for calls under way.
    pub charged_tokens: u64,
    /// Marks, newest last.
    pub marks: Vec<Mark>,
}

impl AccountRow {
    fn last_of(&self, writer: &str) -> u64 {
        let found = self.marks.iter().find(|mark| mark.writer == writer);
        found.map_or(0, |mark| mark.number)
    }

    fn mark(&mut self, mark: Mark) {
        self.marks.retain(|other| other.writer != mark.writer);
        self.marks.push(mark);
        let excess = self.marks.len().saturating_sub(WRITERS);
        self.marks.drain(..excess);
    }

    fn held_by_others(&self, writer: &str) -> u64 {
        let others = self.marks.iter().filter(|mark| mark.writer != writer);
        others.map(|mark| mark.held_tokens).sum()
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
pub struct Debt {
    /// Program.
    pub program: ProgramKey,
    /// Tokens.
    pub tokens: u64,
    /// Budget of the program.
    pub budget_tokens: u64,
    /// Most tokens of one of its calls.
    pub most_tokens: u64,
}

/// Write that a program's account needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BudgetWrite {
    /// Program.
    pub program: ProgramKey,
    /// Conditional write.
    pub write: Write,
}

/// Call that asks for its charge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Asked {
    /// Reference.
    pub waiter: Waiter,
    /// Budget of its program.
    pub budget_tokens: u64,
    /// Most tokens that it may spend.
    pub tokens: u64,
    /// How long the program may be silent and go on.
    pub retention_ms: u64,
}

/// Write under way, or one whose end is unknown.
#[derive(Clone, Debug)]
struct Pending {
    number: u64,
    granted: Vec<(Waiter, Grant)>,
    /// Charged for calls that gave up waiting meanwhile.
    abandoned_tokens: u64,
    /// Held before, and part of what is granted.
    held_before_tokens: u64,
    /// Held after.
    held_after_tokens: u64,
    /// Spent without the store, and charged by this write.
    debt_tokens: u64,
    row: AccountRow,
}

impl Pending {
    /// Tokens of this VM once the write is applied.
    fn owned_tokens(&self) -> u64 {
        let granted: u64 = self.granted.iter().map(|(_, grant)| grant.tokens).sum();
        granted + self.abandoned_tokens + self.held_after_tokens
    }

    /// Tokens of this VM whether or not the write is applied.
    fn certain_tokens(&self) -> u64 {
        self.owned_tokens().min(self.held_before_tokens)
    }
}

/// Refusal that the row gave.
#[derive(Clone, Copy, Debug)]
struct Spent {
    at_ms: u64,
    tokens: u64,
    charged_tokens: u64,
}

impl Spent {
    /// Whether the refusal holds for one more call. It is not asked for
    /// again at once, as what calls under way give back may take longer.
    fn holds(&self, asked: &Asked, now_ms: u64) -> bool {
        asked.tokens >= self.tokens && now_ms < self.at_ms + SPENT_MS
    }
}

/// Account of one program at this VM.
#[derive(Clone, Debug, Default)]
struct Account {
    version: u64,
    row: AccountRow,
    budget_tokens: u64,
    largest_call_tokens: u64,
    waiting: Vec<Asked>,
    pending: Option<Pending>,
    /// Writes that were given up. All have the condition of the next one, so
    /// at most one of them was applied.
    unresolved: Vec<Pending>,
    /// Charged in the row and not given to a call.
    held_tokens: u64,
    /// Spent without the store and not charged yet.
    debt_tokens: u64,
    /// Whether another VM asked for more than is held.
    is_wanted: bool,
    /// Last refusal.
    spent: Option<Spent>,
    used_ms: u64,
    written_ms: u64,
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

    /// Charges a call from what is held, or queues it for the next write, to
    /// be decided by [`Accounts::written`].
    pub fn ask(&mut self, program: &ProgramKey, asked: Asked, now_ms: u64) -> Option<Decision> {
        let account = self.accounts.entry(program.clone()).or_default();
        account.used_ms = now_ms;
        account.retention_ms = account.retention_ms.max(asked.retention_ms);
        account.budget_tokens = asked.budget_tokens;
        account.largest_call_tokens = account.largest_call_tokens.max(asked.tokens);
        let is_fresh = now_ms <= account.written_ms + account.retention_ms;
        if is_fresh && account.held_tokens >= asked.tokens && account.waiting.is_empty() {
            account.held_tokens -= asked.tokens;
            return Some(Decision::Granted(Grant {
                tokens: asked.tokens,
            }));
        }
        if let Some(spent) = account.spent.filter(|spent| spent.holds(&asked, now_ms)) {
            return Some(Decision::Spent {
                charged_tokens: spent.charged_tokens,
            });
        }
        account.waiting.push(asked);
        None
    }

    /// Withdraws a call that gave up waiting. What is being charged for it is
    /// held.
    pub fn withdraw(&mut self, program: &ProgramKey, waiter: Waiter) {
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
    pub fn charge(&mut self, program: &ProgramKey) -> Option<BudgetWrite> {
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
    pub fn give_back(&mut self, program: &ProgramKey) -> Option<BudgetWrite> {
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
        granted: Vec<(Waiter, Grant)>,
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
        pending.row.mark(Mark {
            writer: self.settings.writer.clone(),
            number,
            held_tokens: held_after_tokens,
        });
        // A struct of numbers and texts always serializes.
        let value = serde_json::to_vec(&pending.row).unwrap_or_default();
        let write = Write {
            key: program.row_key(),
            expected: account.version,
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
    pub fn due(&self, now_ms: u64) -> Vec<ProgramKey> {
        self.accounts
            .iter()
            .filter(|(_, account)| account.pending.is_none())
            .filter(|(_, account)| account.is_due(&self.settings, now_ms))
            .map(|(program, _)| program.clone())
            .collect()
    }

    /// Takes note of tokens that were spent without the store.
    pub fn add_debt(&mut self, debt: &Debt, now_ms: u64) {
        let account = self.accounts.entry(debt.program.clone()).or_default();
        account.debt_tokens += debt.tokens;
        account.budget_tokens = debt.budget_tokens;
        account.largest_call_tokens = account.largest_call_tokens.max(debt.most_tokens);
        account.used_ms = now_ms;
    }

    /// Whether a program's charges, as its row was last seen, leave no room
    /// for one more call.
    pub fn is_spent(&self, program: &ProgramKey) -> bool {
        let account = self.accounts.get(program);
        account.is_some_and(|account| account.left_tokens() < account.largest_call_tokens)
    }

    /// Whether tokens that were spent without the store are not charged yet,
    /// or the budget is known to be spent.
    pub fn is_exhausted(&self, program: &ProgramKey, tokens: u64) -> bool {
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
        let marks = account.row.marks.iter();
        let mut holders: Vec<&Mark> = marks
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
    pub fn take_held(&mut self, program: &ProgramKey, tokens: u64) -> bool {
        let account = self.accounts.get_mut(program);
        let Some(account) = account else {
            return false;
        };
        if account.held_tokens >= tokens {
            account.held_tokens -= tokens;
            return true;
        }
        account.is_wanted = true;
        false
    }

    /// Takes tokens in that another VM held.
    pub fn add_held(&mut self, program: &ProgramKey, tokens: u64, now_ms: u64) {
        let account = self.accounts.entry(program.clone()).or_default();
        account.held_tokens += tokens;
        account.used_ms = now_ms;
    }

    /// Forgets programs that are long silent; the rows to be removed are
    /// returned. A row is the last writer's to remove.
    pub fn sweep(&mut self, now_ms: u64) -> Vec<Write> {
        let mut writes = Vec::new();
        let writer = &self.settings.writer;
        self.accounts.retain(|program, account| {
            let is_idle = account.pending.is_none() && account.waiting.is_empty();
            if !is_idle || account.has_debt() || !account.is_over(now_ms) {
                return true;
            }
            let newest = account.row.marks.last();
            if account.version > 0 && newest.is_some_and(|mark| mark.writer == *writer) {
                writes.push(Write {
                    key: program.row_key(),
                    expected: account.version,
                    value: None,
                });
            }
            false
        });
        writes
    }
}

impl Account {
    fn left_tokens(&self) -> u64 {
        self.budget_tokens.saturating_sub(self.row.charged_tokens)
    }

    fn is_over(&self, now_ms: u64) -> bool {
        let retention_ms = match self.retention_ms {
            0 => OTHERS_RETENTION_MS,
            retention_ms => retention_ms,
        };
        now_ms > self.used_ms + SWEEP_RETENTIONS * retention_ms
    }

    /// Whether tokens are charged that no call needs.
    fn has_surplus(&self) -> bool {
        self.held_tokens > 0 || !self.unresolved.is_empty()
    }

    /// Whether the row must change although no call waits.
    fn is_due(&self, settings: &BudgetSettings, now_ms: u64) -> bool {
        if self.debt_tokens > 0 || (self.is_wanted && !self.has_surplus()) {
            return true;
        }
        let is_silent = self.used_ms + settings.return_after_ms <= now_ms;
        self.has_surplus() && (self.is_wanted || self.is_short()) && is_silent
    }

    /// Whether tokens that were spent without the store may not be charged.
    fn has_debt(&self) -> bool {
        let writes = self.pending.iter().chain(&self.unresolved);
        self.debt_tokens > 0 || writes.into_iter().any(|write| write.debt_tokens > 0)
    }

    /// Whether the budget leaves other VMs less than one call.
    fn is_short(&self) -> bool {
        self.left_tokens() < self.largest_call_tokens
    }

    /// Tokens to charge beyond the waiting calls. The first VM of a program,
    /// which as a rule sees most of it, takes up to half of the budget.
    fn ahead_tokens(&self, settings: &BudgetSettings, left_tokens: u64) -> u64 {
        let share = if self.version == 0 {
            left_tokens.saturating_sub(self.budget_tokens / 2)
        } else {
            left_tokens / 4
        };
        share.min(settings.held_calls * self.largest_call_tokens)
    }

    fn applied(&mut self, version: u64, pending: Pending, writer: &str) -> Vec<(Waiter, Decision)> {
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
    fn decide(&mut self, granted: Vec<(Waiter, Grant)>, writer: &str) -> Vec<(Waiter, Decision)> {
        let granted = granted.into_iter();
        let mut decisions: Vec<_> = granted
            .map(|(waiter, grant)| (waiter, Decision::Granted(grant)))
            .collect();
        let left_tokens = self.left_tokens() + self.held_tokens;
        let charged_tokens = self.row.charged_tokens;
        let held_tokens = self.row.held_by_others(writer);
        self.waiting.retain(|asked| {
            let decision = if asked.tokens <= left_tokens {
                return true;
            } else if asked.tokens <= left_tokens + held_tokens {
                Decision::HeldElsewhere { held_tokens }
            } else {
                Decision::Spent { charged_tokens }
            };
            decisions.push((asked.waiter, decision));
            false
        });
        decisions
    }

    fn conflict(
        &mut self,
        writer: &str,
        found: Option<&Row>,
        pending: Pending,
    ) -> Vec<(Waiter, Decision)> {
        let value = found.and_then(|row| row.value.as_deref());
        let row = match value.map(serde_json::from_slice::<AccountRow>) {
            None => AccountRow::default(),
            Some(Ok(row)) => row,
            Some(Err(_)) => {
                self.held_tokens += pending.certain_tokens();
                self.debt_tokens += pending.debt_tokens;
                return self.refuse(pending.granted);
            }
        };
        let last = row.last_of(writer);
        // A full list may have lost this writer's mark.
        let is_marked = last > 0 || row.marks.len() < WRITERS;
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
        let again = pending.granted.into_iter().map(|(waiter, grant)| Asked {
            waiter,
            budget_tokens,
            tokens: grant.tokens,
            retention_ms,
        });
        self.waiting.splice(0..0, again);
        self.decide(Vec::new(), writer)
    }

    fn note_spent(&mut self, decisions: &[(Waiter, Decision)], now_ms: u64) {
        let spent = decisions.iter().find_map(|(_, decision)| match decision {
            Decision::Spent { charged_tokens } => Some(*charged_tokens),
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

    fn refuse(&mut self, granted: Vec<(Waiter, Grant)>) -> Vec<(Waiter, Decision)> {
        let waiting = std::mem::take(&mut self.waiting);
        let granted = granted.into_iter().map(|(waiter, _)| waiter);
        let waiting = waiting.into_iter().map(|asked| asked.waiter);
        granted
            .chain(waiting)
            .map(|waiter| (waiter, Decision::Unavailable))
            .collect()
    }
}

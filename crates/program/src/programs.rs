//! Programs of one owner, by family.
//!
//! A family is a program with all that it spawned. It has one owner, so its
//! budget needs no shared counter: a call is counted in its own program and
//! in each ancestor.

use compact_str::CompactString;
use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::{AccountName, CallKey, FastMap, MarketName, ProgramId};
use slotmap::{new_key_type, SlotMap};

use crate::program::Intent;
use crate::{FinishedCall, Outcome, Program, ProgramSnapshot, Record, ResourceAmounts};

/// Largest part of a family's budget reserved ahead, as a divisor.
const RESERVE_DIVISOR: u64 = 8;

new_key_type! {
    /// Key of a [`Program`].
    pub struct ProgramKey;
}

/// What a program begins with.
#[derive(Clone, Debug)]
pub struct ProgramSpec {
    /// Program.
    pub program: ProgramId,
    /// Account that pays.
    pub account: AccountName,
    /// Market whose rules hold.
    pub market: MarketName,
    /// Budget, within its parent's.
    pub limit: ResourceAmounts,
}

/// Whether the durable reserve covers a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReserveCoverage {
    /// Call may be sent.
    Covered,
    /// Call may be sent once the pending reserve is durable.
    Pending,
    /// This much has to be reserved first.
    Insufficient(ResourceAmounts),
}

/// Programs of one owner.
#[derive(Clone, Debug, Default)]
pub struct Programs {
    arena: SlotMap<ProgramKey, Program>,
    by_id: FastMap<ProgramId, ProgramKey>,
    families: FastMap<CompactString, Vec<ProgramKey>>,
}

impl Programs {
    /// Key of a program.
    pub fn find(&self, id: &ProgramId) -> Option<ProgramKey> {
        self.by_id.get(id).copied()
    }

    /// Program of a key.
    pub fn get(&self, key: ProgramKey) -> Option<&Program> {
        self.arena.get(key)
    }

    /// Program of a key, to change.
    pub fn get_mut(&mut self, key: ProgramKey) -> Option<&mut Program> {
        self.arena.get_mut(key)
    }

    /// All programs.
    pub fn iter(&self) -> impl Iterator<Item = (ProgramKey, &Program)> {
        self.arena.iter()
    }

    /// Programs of one family.
    pub fn family(&self, family: &str) -> impl Iterator<Item = &Program> {
        let members = self.families.get(family).map(Vec::as_slice);
        let members = members.unwrap_or_default().iter();
        members.filter_map(|key| self.arena.get(*key))
    }

    /// First programs of all families.
    pub fn roots(&self) -> impl Iterator<Item = &Program> {
        self.arena
            .values()
            .filter(|program| program.parent.is_none())
    }

    /// Number of programs.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// Record that opens a program.
    ///
    /// # Errors
    ///
    /// Fails when its parent is unknown or has ended.
    pub fn open(&self, opening: ProgramSpec) -> Result<Record, CallError> {
        if let Some(parent) = opening.program.parent() {
            let found = self.find(&parent).and_then(|key| self.get(key));
            match found {
                None => {
                    let detail = format!("parent {parent} is not under way");
                    return Err(CallError::new(ErrorKind::UnknownProgram, detail));
                }
                Some(program) if program.ended => {
                    let detail = format!("parent {parent} has ended");
                    return Err(CallError::new(ErrorKind::ProgramEnded, detail));
                }
                Some(_) => {}
            }
        }
        Ok(Record::Opened {
            program: opening.program,
            account: opening.account,
            market: opening.market,
            limit: opening.limit,
        })
    }

    /// Program and its ancestors, the first program of the family last.
    fn line(&self, key: ProgramKey) -> Vec<ProgramKey> {
        let mut line = vec![key];
        let mut next = self.arena.get(key).and_then(|program| program.parent);
        while let Some(key) = next {
            line.push(key);
            next = self.arena.get(key).and_then(|program| program.parent);
        }
        line
    }

    /// First program of the family.
    pub fn root(&self, key: ProgramKey) -> ProgramKey {
        self.line(key).pop().unwrap_or(key)
    }

    fn on_line<F>(&mut self, key: ProgramKey, mut f: F)
    where
        F: FnMut(&mut Program),
    {
        for member in self.line(key) {
            if let Some(program) = self.arena.get_mut(member) {
                f(program);
            }
        }
    }

    /// Counts the worst case of a call in its program and each ancestor.
    ///
    /// # Errors
    ///
    /// Fails when one of them has too little left.
    pub fn admit(&mut self, key: ProgramKey, worst: ResourceAmounts) -> Result<(), CallError> {
        for member in self.line(key) {
            let Some(program) = self.arena.get(member) else {
                continue;
            };
            let left = program.budget.remaining();
            if !worst.fits_within(left) {
                let detail = format!(
                    "{} has {} tokens, {} micros and {} turns left; the call may need {}, {} and {}",
                    program.id,
                    left.tokens,
                    left.money_micros,
                    left.turns,
                    worst.tokens,
                    worst.money_micros,
                    worst.turns
                );
                return Err(CallError::new(ErrorKind::BudgetExhausted, detail));
            }
        }
        self.on_line(key, |program| {
            program.budget.in_flight = program.budget.in_flight.saturating_add(worst);
        });
        Ok(())
    }

    /// What a program's further calls may use at worst, within its family.
    pub fn remaining(&self, key: ProgramKey) -> ResourceAmounts {
        let line = self.line(key).into_iter();
        line.filter_map(|member| self.arena.get(member))
            .map(|program| program.budget.remaining())
            .fold(ResourceAmounts::UNBOUNDED, ResourceAmounts::min)
    }

    /// Takes back the worst case of a call that no longer is under way.
    pub fn release(&mut self, key: ProgramKey, worst: ResourceAmounts) {
        self.on_line(key, |program| {
            program.budget.in_flight = program.budget.in_flight.saturating_sub(worst);
        });
    }

    /// Whether the family's durable reserve covers all calls under way.
    pub fn reserve_coverage(&self, key: ProgramKey) -> ReserveCoverage {
        let Some(root) = self.arena.get(self.root(key)) else {
            return ReserveCoverage::Covered;
        };
        let budget = &root.budget;
        if budget.in_flight.fits_within(root.reserve.durable) {
            return ReserveCoverage::Covered;
        }
        let reserved = root.reserve.durable.saturating_add(root.reserve.pending);
        if budget.in_flight.fits_within(reserved) {
            return ReserveCoverage::Pending;
        }
        let missing = budget.in_flight.saturating_sub(reserved);
        let ahead = budget.limit.div_ceil(RESERVE_DIVISOR);
        let wanted = missing.saturating_add(ahead.min(budget.in_flight));
        let allowed = budget
            .limit
            .saturating_sub(budget.spent)
            .saturating_sub(reserved);
        ReserveCoverage::Insufficient(wanted.min(allowed))
    }

    /// Notes a reservation that is journaled but not durable yet.
    pub fn add_pending_reserve(&mut self, root: ProgramKey, amounts: ResourceAmounts) {
        if let Some(program) = self.arena.get_mut(root) {
            program.reserve.pending = program.reserve.pending.saturating_add(amounts);
        }
    }

    /// Notes that a pending reservation is durable.
    pub fn commit_reserve(&mut self, root: &ProgramId, amounts: ResourceAmounts) {
        let Some(key) = self.find(root) else {
            return;
        };
        if let Some(program) = self.arena.get_mut(key) {
            program.reserve.pending = program.reserve.pending.saturating_sub(amounts);
            program.reserve.durable = program.reserve.durable.saturating_add(amounts);
        }
    }

    fn charge(&mut self, key: ProgramKey, used: ResourceAmounts) {
        self.on_line(key, |program| {
            program.budget.spent = program.budget.spent.saturating_add(used);
        });
        let root = self.root(key);
        if let Some(program) = self.arena.get_mut(root) {
            program.reserve.durable = program.reserve.durable.saturating_sub(used);
        }
    }

    /// Applies a record, live or from the journal.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Opened {
                program,
                account,
                market,
                limit,
            } => {
                let parent = program.parent().and_then(|parent| self.find(&parent));
                self.insert(Program::new(
                    program.clone(),
                    account.clone(),
                    market.clone(),
                    parent,
                    *limit,
                ));
            }
            Record::Reserved { root, amounts } => self.commit_reserve(root, *amounts),
            Record::ReserveReleased { root } => {
                if let Some(key) = self.find(root) {
                    self.arena[key].reserve.durable = ResourceAmounts::default();
                }
            }
            Record::Intent {
                call,
                content_hash,
                target,
                worst_case: worst,
            } => {
                let intent = Intent {
                    content_hash: *content_hash,
                    target: target.clone(),
                    worst: *worst,
                };
                self.with_call(call, |program| {
                    program.intents.insert(call.number, intent);
                });
            }
            Record::IntentCancelled { call } => self.with_call(call, |program| {
                program.intents.remove(&call.number);
            }),
            Record::Finished { call, finished } => self.finish(call, finished.clone()),
            Record::Charged { call, used } => {
                if let Some(key) = self.find(&call.program) {
                    self.charge(key, *used);
                }
            }
            Record::Continued {
                program,
                next_number,
                spent,
                family_spent,
            } => self.go_on(program, *next_number, *spent, *family_spent),
            Record::Settled { call, ran } => self.with_call(call, |program| {
                if let Some(finished) = program.finished.get_mut(&call.number) {
                    finished.outcome = Outcome::Settled { ran: *ran };
                }
            }),
            Record::Ended { program } => {
                if let Some(key) = self.find(program) {
                    self.arena[key].ended = true;
                }
            }
            Record::Removed { program } => self.forget(program),
            Record::Imported { .. } => {}
            Record::Snapshot(image) => self.restore(image),
        }
    }

    fn insert(&mut self, program: Program) -> ProgramKey {
        let id = program.id.clone();
        if let Some(old) = self.by_id.get(&id) {
            return *old;
        }
        let key = self.arena.insert(program);
        let family = CompactString::new(id.family());
        self.families.entry(family).or_default().push(key);
        self.by_id.insert(id, key);
        key
    }

    fn with_call<F>(&mut self, call: &CallKey, f: F)
    where
        F: FnOnce(&mut Program),
    {
        let key = self.find(&call.program);
        if let Some(program) = key.and_then(|key| self.arena.get_mut(key)) {
            f(program);
        }
    }

    fn finish(&mut self, call: &CallKey, finished: FinishedCall) {
        let Some(key) = self.find(&call.program) else {
            return;
        };
        let used = finished.used;
        let program = &mut self.arena[key];
        program.intents.remove(&call.number);
        if program.finished.insert(call.number, finished).is_none() {
            self.charge(key, used);
        }
    }

    /// Takes a caller's proof of calls that are not recorded here.
    fn go_on(
        &mut self,
        id: &ProgramId,
        next_number: u32,
        spent: ResourceAmounts,
        family_spent: ResourceAmounts,
    ) {
        let Some(key) = self.find(id) else {
            return;
        };
        let root = self.root(key);
        let program = &mut self.arena[key];
        if next_number > program.next_number() {
            program.recorded_from = next_number;
        }
        program.budget.spent = program.budget.spent.max(spent);
        let root = &mut self.arena[root];
        root.budget.spent = root.budget.spent.max(family_spent);
    }

    fn forget(&mut self, id: &ProgramId) {
        let Some(key) = self.by_id.remove(id) else {
            return;
        };
        self.arena.remove(key);
        if let Some(members) = self.families.get_mut(id.family()) {
            members.retain(|member| *member != key);
            if members.is_empty() {
                self.families.remove(id.family());
            }
        }
    }

    fn restore(&mut self, image: &ProgramSnapshot) {
        let parent = image.program.parent().and_then(|parent| self.find(&parent));
        let key = self.insert(Program::new(
            image.program.clone(),
            image.account.clone(),
            image.market.clone(),
            parent,
            image.budget.limit,
        ));
        let program = &mut self.arena[key];
        program.budget = image.budget;
        program.reserve = image.reserve;
        program.finished = image.finished.iter().cloned().collect();
        program.recorded_from = image.recorded_from;
        program.ended = image.ended;
        program.intents = image
            .intents
            .iter()
            .map(|(number, content_hash, target, worst)| {
                let intent = Intent {
                    content_hash: *content_hash,
                    target: target.clone(),
                    worst: *worst,
                };
                (*number, intent)
            })
            .collect();
    }

    /// Images of all programs, parents before those they spawned.
    pub fn snapshots(&self) -> Vec<ProgramSnapshot> {
        let mut images: Vec<ProgramSnapshot> = self.arena.values().map(Program::snapshot).collect();
        images.sort_by(|a, b| a.program.cmp(&b.program));
        images
    }

    /// Turns replayed state into the state of a new owner.
    ///
    /// Nobody knows which calls the old owner had under way, so the whole
    /// reserve counts as spent and each intent without an outcome is in
    /// doubt. Returns the records that say so.
    pub fn take_over(&mut self) -> Vec<Record> {
        let mut records = Vec::new();
        for program in self.arena.values() {
            for (number, intent) in &program.intents {
                records.push(Record::Finished {
                    call: CallKey {
                        program: program.id.clone(),
                        number: *number,
                    },
                    finished: FinishedCall {
                        content_hash: intent.content_hash,
                        target: intent.target.clone(),
                        used: intent.worst,
                        outcome: Outcome::InDoubt,
                    },
                });
            }
        }
        for record in &records {
            self.apply(record);
        }
        let mut charges = Vec::new();
        for program in self.arena.values() {
            let held = program.reserve.durable;
            if program.parent.is_none() && held != ResourceAmounts::default() {
                charges.push(Record::Charged {
                    call: CallKey {
                        program: program.id.clone(),
                        number: program.next_number(),
                    },
                    used: held,
                });
            }
        }
        for record in &charges {
            self.apply(record);
        }
        records.extend(charges);
        records
    }
}

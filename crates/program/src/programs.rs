//! Programs of one owner, by family.
//!
//! A family is a root program and its descendants. It has a single owner, so
//! its budgets need no counters shared between VMs: a call is charged to its
//! own program and to each ancestor.

use compact_str::CompactString;
use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::{AccountName, CallKey, FastMap, MarketName, ProgramId};
use slotmap::{new_key_type, SlotMap};

use crate::program::Intent;
use crate::{FinishedCall, Outcome, Program, ProgramSnapshot, Record, ResourceAmounts};

/// Limits what a reservation adds to the missing amount for later calls: at most
/// the family's budget limit divided by this.
const RESERVE_AHEAD_DIVISOR: u64 = 8;

new_key_type! {
    /// Key of a [`Program`] in [`Programs`]; not reused after the program's removal.
    pub struct ProgramKey;
}

/// Parameters of a new program.
#[derive(Clone, Debug)]
pub struct ProgramSpec {
    /// Identifier of the program, with those of its ancestors.
    pub program: ProgramId,
    /// Account that the program is charged to.
    pub account: AccountName,
    /// Market whose budget limits, models and services apply.
    pub market: MarketName,
    /// Limit of the budget; the budgets of all ancestors apply too.
    pub limit: ResourceAmounts,
}

/// Whether the durable reserve of a family covers its calls in flight.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReserveCoverage {
    /// Calls may be sent.
    Covered,
    /// Calls may be sent once the pending reserve is durable.
    Pending,
    /// These amounts have to be reserved first.
    Insufficient(ResourceAmounts),
}

/// Programs that one incarnation of a VM owns, with indexes by id and family.
#[derive(Clone, Debug, Default)]
pub struct Programs {
    arena: SlotMap<ProgramKey, Program>,
    by_id: FastMap<ProgramId, ProgramKey>,
    families: FastMap<CompactString, Vec<ProgramKey>>,
}

impl Programs {
    /// Key of a program; `None` if this owner does not have it.
    pub fn find(&self, id: &ProgramId) -> Option<ProgramKey> {
        self.by_id.get(id).copied()
    }

    /// Program with a key; `None` if it has been removed.
    pub fn get(&self, key: ProgramKey) -> Option<&Program> {
        self.arena.get(key)
    }

    /// Mutable program with a key; `None` if it has been removed.
    pub fn get_mut(&mut self, key: ProgramKey) -> Option<&mut Program> {
        self.arena.get_mut(key)
    }

    /// All programs with their keys, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (ProgramKey, &Program)> {
        self.arena.iter()
    }

    /// Root program and descendants of a family, given the name of the family;
    /// empty if this owner does not have it.
    pub fn family(&self, family: &str) -> impl Iterator<Item = &Program> {
        let members = self.families.get(family).map(Vec::as_slice);
        let members = members.unwrap_or_default().iter();
        members.filter_map(|key| self.arena.get(*key))
    }

    /// Root programs of all families, including ended ones.
    pub fn roots(&self) -> impl Iterator<Item = &Program> {
        self.arena
            .values()
            .filter(|program| program.parent.is_none())
    }

    /// Number of programs.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether there are no programs.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// Checks the parent and returns the record that opens a program.
    ///
    /// The program exists once the caller has applied the record.
    ///
    /// # Errors
    ///
    /// Fails if the parent is unknown or has ended.
    pub fn open(&self, spec: ProgramSpec) -> Result<Record, CallError> {
        if let Some(parent) = spec.program.parent() {
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
            program: spec.program,
            account: spec.account,
            market: spec.market,
            limit: spec.limit,
        })
    }

    /// Program and its ancestors, up to the root program.
    fn ancestry(&self, key: ProgramKey) -> Vec<ProgramKey> {
        let mut ancestry = vec![key];
        let mut next = self.arena.get(key).and_then(|program| program.parent);
        while let Some(key) = next {
            ancestry.push(key);
            next = self.arena.get(key).and_then(|program| program.parent);
        }
        ancestry
    }

    /// Key of the root program of a program's family; `key` itself for a root program.
    pub fn root(&self, key: ProgramKey) -> ProgramKey {
        self.ancestry(key).pop().unwrap_or(key)
    }

    fn for_each_in_ancestry<F>(&mut self, key: ProgramKey, mut f: F)
    where
        F: FnMut(&mut Program),
    {
        for member in self.ancestry(key) {
            if let Some(program) = self.arena.get_mut(member) {
                f(program);
            }
        }
    }

    /// Admits a call: adds its worst-case usage to its program and each ancestor.
    ///
    /// # Errors
    ///
    /// Fails if one of these programs has too little budget remaining.
    pub fn admit(&mut self, key: ProgramKey, worst_case: ResourceAmounts) -> Result<(), CallError> {
        for member in self.ancestry(key) {
            let Some(program) = self.arena.get(member) else {
                continue;
            };
            let remaining = program.budget.remaining();
            if !worst_case.fits_within(remaining) {
                let detail = format!(
                    "{} has {} tokens, {} micros and {} turns left; the call may need {}, {} and {}",
                    program.id,
                    remaining.tokens,
                    remaining.money_micros,
                    remaining.turns,
                    worst_case.tokens,
                    worst_case.money_micros,
                    worst_case.turns
                );
                return Err(CallError::new(ErrorKind::BudgetExhausted, detail));
            }
        }
        self.for_each_in_ancestry(key, |program| {
            program.budget.in_flight = program.budget.in_flight.saturating_add(worst_case);
        });
        Ok(())
    }

    /// Maximum worst-case usage of a program's further calls, within its ancestors' budgets.
    pub fn remaining(&self, key: ProgramKey) -> ResourceAmounts {
        let ancestry = self.ancestry(key).into_iter();
        ancestry
            .filter_map(|member| self.arena.get(member))
            .map(|program| program.budget.remaining())
            .fold(ResourceAmounts::UNBOUNDED, ResourceAmounts::min)
    }

    /// Subtracts the worst-case usage of an admitted call from its program and each ancestor.
    pub fn release(&mut self, key: ProgramKey, worst_case: ResourceAmounts) {
        self.for_each_in_ancestry(key, |program| {
            program.budget.in_flight = program.budget.in_flight.saturating_sub(worst_case);
        });
    }

    /// Whether the durable reserve of the family covers all its calls in flight.
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
        let ahead = budget.limit.div_ceil(RESERVE_AHEAD_DIVISOR);
        let wanted = missing.saturating_add(ahead.min(budget.in_flight));
        let allowed = budget
            .limit
            .saturating_sub(budget.spent)
            .saturating_sub(reserved);
        ReserveCoverage::Insufficient(wanted.min(allowed))
    }

    /// Adds a reservation that is journaled but not durable yet.
    pub fn add_pending_reserve(&mut self, root: ProgramKey, amounts: ResourceAmounts) {
        if let Some(program) = self.arena.get_mut(root) {
            program.reserve.pending = program.reserve.pending.saturating_add(amounts);
        }
    }

    /// Moves a reservation whose record has become durable from the pending to the
    /// durable reserve; on replay nothing is pending, and it is only added.
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
        self.for_each_in_ancestry(key, |program| {
            program.budget.spent = program.budget.spent.saturating_add(used);
        });
        let root = self.root(key);
        if let Some(program) = self.arena.get_mut(root) {
            program.reserve.durable = program.reserve.durable.saturating_sub(used);
        }
    }

    /// Applies a record, in operation and on replay.
    ///
    /// A record of an unknown program has no effect, unless it opens or restores it.
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
                worst_case,
            } => {
                let intent = Intent {
                    content_hash: *content_hash,
                    target: target.clone(),
                    worst_case: *worst_case,
                };
                self.with_program_of(call, |program| {
                    program.intents.insert(call.number, intent);
                });
            }
            Record::IntentCancelled { call } => self.with_program_of(call, |program| {
                program.intents.remove(&call.number);
            }),
            Record::Finished { call, finished } => self.apply_finished(call, finished.clone()),
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
            } => self.apply_continuation(program, *next_number, *spent, *family_spent),
            Record::Settled { call, ran } => self.with_program_of(call, |program| {
                if let Some(finished) = program.finished.get_mut(&call.number) {
                    finished.outcome = Outcome::Settled { ran: *ran };
                }
            }),
            Record::Ended { program } => {
                if let Some(key) = self.find(program) {
                    self.arena[key].ended = true;
                }
            }
            Record::Removed { program } => self.remove(program),
            Record::Imported { .. } => {}
            Record::Snapshot(snapshot) => self.restore(snapshot),
        }
    }

    fn insert(&mut self, program: Program) -> ProgramKey {
        let id = program.id.clone();
        if let Some(existing) = self.by_id.get(&id) {
            return *existing;
        }
        let key = self.arena.insert(program);
        let family = CompactString::new(id.family());
        self.families.entry(family).or_default().push(key);
        self.by_id.insert(id, key);
        key
    }

    fn with_program_of<F>(&mut self, call: &CallKey, f: F)
    where
        F: FnOnce(&mut Program),
    {
        let key = self.find(&call.program);
        if let Some(program) = key.and_then(|key| self.arena.get_mut(key)) {
            f(program);
        }
    }

    fn apply_finished(&mut self, call: &CallKey, finished: FinishedCall) {
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

    /// Advances a program to the state in a caller's continuation token.
    ///
    /// Call number and usage are never lowered.
    fn apply_continuation(
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

    fn remove(&mut self, id: &ProgramId) {
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

    fn restore(&mut self, snapshot: &ProgramSnapshot) {
        let parent = snapshot
            .program
            .parent()
            .and_then(|parent| self.find(&parent));
        let key = self.insert(Program::new(
            snapshot.program.clone(),
            snapshot.account.clone(),
            snapshot.market.clone(),
            parent,
            snapshot.budget.limit,
        ));
        let program = &mut self.arena[key];
        program.budget = snapshot.budget;
        program.reserve = snapshot.reserve;
        program.finished = snapshot.finished.iter().cloned().collect();
        program.recorded_from = snapshot.recorded_from;
        program.ended = snapshot.ended;
        program.intents = snapshot
            .intents
            .iter()
            .map(|(number, content_hash, target, worst_case)| {
                let intent = Intent {
                    content_hash: *content_hash,
                    target: target.clone(),
                    worst_case: *worst_case,
                };
                (*number, intent)
            })
            .collect();
    }

    /// Snapshots of all programs, parents before children.
    pub fn snapshots(&self) -> Vec<ProgramSnapshot> {
        let mut snapshots: Vec<ProgramSnapshot> =
            self.arena.values().map(Program::snapshot).collect();
        snapshots.sort_by(|a, b| a.program.cmp(&b.program));
        snapshots
    }

    /// Turns the state replayed from a journal into that of the new owner.
    ///
    /// Which calls the old owner had in flight is unknown. So the whole durable
    /// reserve is charged as spent, and each intent without an outcome becomes
    /// a call in doubt. Returns the records of these changes, which are already applied.
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
                        used: intent.worst_case,
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
            let reserved = program.reserve.durable;
            if program.parent.is_none() && reserved != ResourceAmounts::default() {
                charges.push(Record::Charged {
                    call: CallKey {
                        program: program.id.clone(),
                        number: program.next_number(),
                    },
                    used: reserved,
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

//! Programs of a dead or stopped incarnation.
//!
//! Seal, read the journal, import, in this order. The seal is a transaction
//! that also checks that the own incarnation is open, so of two VMs that
//! hold each other for dead one survives. Each step may be repeated.

use lagoon_ids::{FastSet, Incarnation};
use lagoon_journal::{
    decode_batch, incarnation_key, log_key, log_prefix, seal_txn, sealed_key, sealed_prefix,
    snapshot_key, snapshot_pointer_key, IncarnationRow, IncarnationState,
};
use lagoon_platform::{Compare, Op, PlatformError, PlatformReply, PlatformRequest, Txn, TxnReply};
use lagoon_program::{Programs, Record};

use crate::constants::STORE_RETRY_DELAY_MS;
use crate::node::commit::CommitAction;
use crate::node::store::StorePurpose;
use crate::node::Node;

/// Silences that a VM which hears few others waits for.
const LONELY_PATIENCE: u64 = 2;

/// How far a takeover has come.
#[derive(Clone, Debug)]
enum Step {
    /// Row has to be read.
    Read,
    /// Row has to be sealed.
    Seal(IncarnationRow),
    /// Journal has to be read.
    Replay,
    /// Snapshot has to be read.
    Snapshot {
        sequence: u64,
        batches: Vec<Record>,
        /// What the old owner had sealed itself.
        sealed: Vec<Incarnation>,
    },
    /// What the old owner had sealed has to be noted as the own one's.
    Adopt {
        replayed: Vec<Record>,
        sealed: Vec<Incarnation>,
    },
    /// Import waits for its commit.
    Import(Vec<Record>),
}

/// Takeover under way.
#[derive(Clone, Debug)]
pub(crate) struct TakeOver {
    step: Step,
    asked: bool,
    due_ms: u64,
    started_ms: u64,
}

impl Node {
    /// Notes that an incarnation is dead and has programs without an owner.
    pub(super) fn on_dead(&mut self, incarnation: Incarnation) {
        if incarnation != *self.incarnation() {
            let now_ms = self.now_ms();
            self.ownership.orphans.entry(incarnation).or_insert(now_ms);
        }
        self.consider_orphans();
    }

    /// Takes over the orphans that fall to this VM.
    pub(super) fn consider_orphans(&mut self) {
        let own = &self.settings.vm;
        let now_ms = self.now_ms();
        // A VM that hears few others may itself be the one that is cut off.
        // It waits until those who hear each other would have sealed it.
        let patience_ms = if self.members.has_quorum() {
            0
        } else {
            LONELY_PATIENCE * self.settings.suspect_ms
        };
        let due: Vec<Incarnation> = self
            .ownership
            .orphans
            .iter()
            .filter(|(_, since_ms)| now_ms >= *since_ms + patience_ms)
            .filter(|(orphan, _)| self.members.assigned_vm(orphan.as_str()) == Some(own))
            .map(|(orphan, _)| orphan.clone())
            .collect();
        for orphan in due {
            self.start_takeover(orphan);
        }
    }

    pub(super) fn start_takeover(&mut self, incarnation: Incarnation) {
        let known = self.takeovers.contains_key(&incarnation)
            || self.ownership.imported.contains(&incarnation);
        if known || incarnation == *self.incarnation() || self.is_handed_over() {
            return;
        }
        self.begin_takeover(incarnation, Step::Read);
    }

    fn begin_takeover(&mut self, incarnation: Incarnation, step: Step) {
        log::info!(incarnation = incarnation.as_str(); "takeover begins");
        let takeover = TakeOver {
            step,
            asked: false,
            due_ms: 0,
            started_ms: self.now_ms(),
        };
        self.takeovers.insert(incarnation.clone(), takeover);
        self.step_takeover(&incarnation);
    }

    /// Asks the store again where it gave no reply.
    pub(super) fn check_takeovers(&mut self) {
        self.consider_orphans();
        let now_ms = self.now_ms();
        let due: Vec<Incarnation> = self
            .takeovers
            .iter()
            .filter(|(_, takeover)| !takeover.asked && now_ms >= takeover.due_ms)
            .map(|(incarnation, _)| incarnation.clone())
            .collect();
        for incarnation in due {
            self.step_takeover(&incarnation);
        }
    }

    fn set_step(&mut self, incarnation: &Incarnation, step: Step) {
        if let Some(takeover) = self.takeovers.get_mut(incarnation) {
            takeover.step = step;
            takeover.asked = false;
            takeover.due_ms = 0;
        }
        self.step_takeover(incarnation);
    }

    fn step_takeover(&mut self, incarnation: &Incarnation) {
        let Some(takeover) = self.takeovers.get_mut(incarnation) else {
            return;
        };
        takeover.asked = true;
        let request = match &takeover.step {
            Step::Read => PlatformRequest::Txn(read(incarnation)),
            Step::Seal(row) => PlatformRequest::Txn(seal_txn(row, self.journal.row())),
            Step::Replay => PlatformRequest::Txn(replay(incarnation)),
            Step::Snapshot { sequence, .. } => PlatformRequest::GetObject {
                key: snapshot_key(incarnation, *sequence),
            },
            Step::Adopt { sealed, .. } => PlatformRequest::Txn(adopt(self.journal.row(), sealed)),
            Step::Import(_) => return,
        };
        self.send_store_request(request, StorePurpose::TakeoverStep(incarnation.clone()));
    }

    pub(super) fn on_takeover_reply(
        &mut self,
        incarnation: Incarnation,
        reply: Result<PlatformReply, PlatformError>,
    ) {
        let now_ms = self.now_ms();
        let Some(takeover) = self.takeovers.get_mut(&incarnation) else {
            return;
        };
        let Ok(reply) = reply else {
            takeover.asked = false;
            takeover.due_ms = now_ms + STORE_RETRY_DELAY_MS;
            return;
        };
        match (takeover.step.clone(), reply) {
            (Step::Read, PlatformReply::Txn(reply)) => self.on_row_read(&incarnation, &reply),
            (Step::Seal(_), PlatformReply::Txn(reply)) if reply.succeeded => {
                self.set_step(&incarnation, Step::Replay);
            }
            (Step::Seal(_), PlatformReply::Txn(reply)) => {
                self.on_seal_refused(&incarnation, &reply)
            }
            (Step::Replay, PlatformReply::Txn(reply)) => self.on_journal_read(&incarnation, &reply),
            (
                Step::Snapshot {
                    batches, sealed, ..
                },
                PlatformReply::Object(object),
            ) => {
                let mut records = read_snapshot(object);
                records.extend(batches);
                self.adopt_or_import(&incarnation, records, sealed);
            }
            (Step::Adopt { replayed, sealed }, PlatformReply::Txn(reply)) if reply.succeeded => {
                for incarnation in sealed {
                    self.begin_takeover(incarnation, Step::Replay);
                }
                self.import(&incarnation, &replayed);
            }
            (Step::Adopt { .. }, PlatformReply::Txn(_)) => {
                self.drop_takeover(&incarnation);
                self.on_own_row_sealed();
            }
            (step, reply) => log::error!(step:? = step, reply:? = reply; "reply fits no step"),
        }
    }

    fn on_row_read(&mut self, incarnation: &Incarnation, reply: &TxnReply) {
        let row = reply
            .rows()
            .next()
            .and_then(|row| IncarnationRow::decode(&row.value).ok());
        let Some(row) = row else {
            self.drop_takeover(incarnation);
            return;
        };
        match &row.state {
            IncarnationState::Open => self.set_step(incarnation, Step::Seal(row)),
            IncarnationState::Sealed { by } => {
                // What another one sealed is its own, or its successor's, who
                // finds it while it replays that one's journal.
                let by = by.clone();
                let mine = by == *self.incarnation();
                self.ownership.record_successor(incarnation.clone(), by);
                if mine {
                    self.set_step(incarnation, Step::Replay);
                } else {
                    self.drop_takeover(incarnation);
                }
            }
        }
    }

    /// Somebody sealed the own row, or changed the other one, or an earlier
    /// try took effect.
    fn on_seal_refused(&mut self, incarnation: &Incarnation, reply: &TxnReply) {
        let own = self.journal.row();
        let open = reply.value(&incarnation_key(&own.incarnation)) == Some(own.encode().as_slice());
        if open {
            self.set_step(incarnation, Step::Read);
        } else {
            self.drop_takeover(incarnation);
            self.on_own_row_sealed();
        }
    }

    fn drop_takeover(&mut self, incarnation: &Incarnation) {
        self.takeovers.remove(incarnation);
        self.ownership.orphans.remove(incarnation);
    }

    fn on_journal_read(&mut self, incarnation: &Incarnation, reply: &TxnReply) {
        let mut batches = Vec::new();
        for row in reply.results.first().into_iter().flatten() {
            match decode_batch(&row.key, &row.value) {
                Ok(records) => batches.extend(records),
                Err(error) => log::error!(error = error.to_string(); "journal is damaged"),
            }
        }
        let prefix = sealed_prefix(incarnation);
        let sealed: Vec<Incarnation> = reply
            .rows()
            .filter_map(|row| row.key.strip_prefix(&prefix)?.parse().ok())
            .collect();
        let pointer = reply.value(&snapshot_pointer_key(incarnation));
        let sequence = pointer
            .and_then(|value| std::str::from_utf8(value).ok())
            .and_then(|text| text.parse().ok());
        match sequence {
            Some(sequence) => {
                let step = Step::Snapshot {
                    sequence,
                    batches,
                    sealed,
                };
                self.set_step(incarnation, step);
            }
            None => self.adopt_or_import(incarnation, batches, sealed),
        }
    }

    /// Imports, after what the old owner had sealed and not imported is noted.
    ///
    /// Nobody else can take that: the old owner's only successor is this
    /// incarnation. Noted first, it is found even if this one dies next.
    fn adopt_or_import(
        &mut self,
        incarnation: &Incarnation,
        replayed: Vec<Record>,
        sealed: Vec<Incarnation>,
    ) {
        let imported: FastSet<&Incarnation> = replayed
            .iter()
            .filter_map(|record| match record {
                Record::Imported { from } => Some(from),
                _ => None,
            })
            .collect();
        let known = |sealed: &Incarnation| {
            imported.contains(sealed)
                || self.takeovers.contains_key(sealed)
                || self.ownership.imported.contains(sealed)
        };
        let sealed: Vec<Incarnation> = sealed.into_iter().filter(|sealed| !known(sealed)).collect();
        if sealed.is_empty() {
            self.import(incarnation, &replayed);
        } else {
            self.set_step(incarnation, Step::Adopt { replayed, sealed });
        }
    }

    /// Replays the old owner's records and journals the result as the own.
    fn import(&mut self, incarnation: &Incarnation, replayed: &[Record]) {
        let mut programs = Programs::default();
        for record in replayed {
            programs.apply(record);
        }
        programs.take_over();
        let mut records: Vec<Record> = programs
            .snapshots()
            .into_iter()
            .map(|image| Record::Snapshot(Box::new(image)))
            .collect();
        records.push(Record::Imported {
            from: incarnation.clone(),
        });
        if let Some(takeover) = self.takeovers.get_mut(incarnation) {
            takeover.step = Step::Import(records.clone());
        }
        self.append_records(records, Some(CommitAction::Imported(incarnation.clone())));
    }

    /// Import is durable: its programs run here from now on.
    pub(super) fn on_imported(&mut self, incarnation: &Incarnation) {
        let Some(takeover) = self.takeovers.remove(incarnation) else {
            return;
        };
        let Step::Import(records) = takeover.step else {
            return;
        };
        let now_ms = self.now_ms();
        let count = records.len() - 1;
        for record in &records {
            self.programs.apply(record);
            if let Record::Snapshot(image) = record {
                self.pending_openings.remove(&image.program);
                let key = self.programs.find(&image.program);
                if let Some(program) = key.and_then(|key| self.programs.get_mut(key)) {
                    program.last_active_ms = now_ms;
                }
            }
        }
        self.ownership.orphans.remove(incarnation);
        self.ownership.imported.insert(incarnation.clone());
        let own = self.incarnation().clone();
        self.ownership
            .record_successor(incarnation.clone(), own.clone());
        let took_ms = now_ms - takeover.started_ms;
        log::info!(incarnation = incarnation.as_str(), programs = count, took_ms; "takeover done");
        self.last_takeover_ms = Some(took_ms);
        let txn = Txn {
            success: vec![
                Op::Delete {
                    key: sealed_key(&own, incarnation),
                },
                Op::Delete {
                    key: snapshot_pointer_key(incarnation),
                },
                Op::DeleteRange {
                    from: log_key(incarnation, 0),
                    to: log_key(incarnation, 999_999_999_999),
                },
            ],
            ..Txn::default()
        };
        self.send_store_request(PlatformRequest::Txn(txn), StorePurpose::DeleteObsolete);
    }
}

/// Notes incarnations as sealed by `own`, while that is open.
fn adopt(own: &IncarnationRow, sealed: &[Incarnation]) -> Txn {
    let notes = sealed.iter().map(|sealed| Op::Put {
        key: sealed_key(&own.incarnation, sealed),
        value: Vec::new(),
    });
    Txn {
        compare: vec![Compare::ValueEquals {
            key: incarnation_key(&own.incarnation),
            value: own.encode(),
        }],
        success: notes.collect(),
        failure: Vec::new(),
    }
}

fn read(incarnation: &Incarnation) -> Txn {
    Txn {
        success: vec![Op::Get {
            key: incarnation_key(incarnation),
        }],
        ..Txn::default()
    }
}

fn replay(incarnation: &Incarnation) -> Txn {
    Txn {
        success: vec![
            Op::Range {
                prefix: log_prefix(incarnation),
            },
            Op::Get {
                key: snapshot_pointer_key(incarnation),
            },
            Op::Range {
                prefix: sealed_prefix(incarnation),
            },
        ],
        ..Txn::default()
    }
}

/// Records of a snapshot; none if it is damaged.
fn read_snapshot(object: Option<Vec<u8>>) -> Vec<Record> {
    match object.map(|bytes| postcard::from_bytes(&bytes)) {
        Some(Ok(records)) => records,
        other => {
            log::error!(snapshot:? = other.map(Result::err); "snapshot is damaged");
            Vec::new()
        }
    }
}

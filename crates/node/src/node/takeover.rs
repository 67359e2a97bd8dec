//! Takeover of the programs of a dead or stopped incarnation.
//!
//! The steps are: seal the incarnation, read its journal, import its programs.
//! The seal is a transaction that also checks that the successor's own
//! incarnation is open, so if two VMs declare each other dead, one survives.
//! Every step can be repeated.

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

/// Delay of a takeover by a VM without a quorum, as a multiple of the time without a
/// heartbeat after which a VM is declared dead.
const MINORITY_SUSPECT_PERIODS: u64 = 2;

/// Current step of a takeover.
#[derive(Clone, Debug)]
enum Step {
    /// Reads the incarnation's row.
    ReadRow,
    /// Seals the row, provided that it is unchanged.
    Seal(IncarnationRow),
    /// Reads the journal of the sealed incarnation.
    ReadJournal,
    /// Reads the snapshot that the journal continues.
    ReadSnapshot {
        /// Sequence number in the snapshot's key.
        sequence: u64,
        /// Records of the journal batches after the snapshot.
        batches: Vec<Record>,
        /// Incarnations that the old owner had sealed.
        sealed: Vec<Incarnation>,
    },
    /// Writes rows that name the incarnations sealed by the old owner as sealed by this
    /// incarnation.
    RecordSealed {
        /// Records of the old owner's snapshot and journal.
        replayed: Vec<Record>,
        sealed: Vec<Incarnation>,
    },
    /// Waits for the commit of the imported records.
    Import(Vec<Record>),
}

/// Progress of the takeover of one incarnation's programs.
#[derive(Clone, Debug)]
pub(crate) struct Takeover {
    step: Step,
    request_in_flight: bool,
    retry_due_ms: u64,
    started_ms: u64,
}

impl Node {
    /// Records that an incarnation is dead, so that its programs need a new owner.
    pub(super) fn on_incarnation_dead(&mut self, incarnation: Incarnation) {
        if incarnation != *self.incarnation() {
            let now_ms = self.now_ms();
            self.ownership.orphans.entry(incarnation).or_insert(now_ms);
        }
        self.take_over_orphans();
    }

    /// Starts the takeover of the dead incarnations that rendezvous hashing assigns to this VM.
    pub(super) fn take_over_orphans(&mut self) {
        let own_vm = &self.settings.vm;
        let now_ms = self.now_ms();
        // A VM without a quorum may itself be partitioned. It waits long enough for a VM of
        // the majority to seal it, after which its own attempts to seal fail.
        let delay_ms = if self.members.has_quorum() {
            0
        } else {
            MINORITY_SUSPECT_PERIODS * self.settings.suspect_ms
        };
        let ready: Vec<Incarnation> = self
            .ownership
            .orphans
            .iter()
            .filter(|(_, since_ms)| now_ms >= *since_ms + delay_ms)
            .filter(|(orphan, _)| self.members.assigned_vm(orphan.as_str()) == Some(own_vm))
            .map(|(orphan, _)| orphan.clone())
            .collect();
        for orphan in ready {
            self.start_takeover(orphan);
        }
    }

    pub(super) fn start_takeover(&mut self, incarnation: Incarnation) {
        let known = self.takeovers.contains_key(&incarnation)
            || self.ownership.imported.contains(&incarnation);
        if known || incarnation == *self.incarnation() || self.is_handed_over() {
            return;
        }
        self.insert_takeover(incarnation, Step::ReadRow);
    }

    fn insert_takeover(&mut self, incarnation: Incarnation, step: Step) {
        log::info!(incarnation = incarnation.as_str(); "takeover started");
        let takeover = Takeover {
            step,
            request_in_flight: false,
            retry_due_ms: 0,
            started_ms: self.now_ms(),
        };
        self.takeovers.insert(incarnation.clone(), takeover);
        self.send_step_request(&incarnation);
    }

    /// Starts pending takeovers and retries steps whose store request failed.
    pub(super) fn advance_takeovers(&mut self) {
        self.take_over_orphans();
        let now_ms = self.now_ms();
        let ready: Vec<Incarnation> = self
            .takeovers
            .iter()
            .filter(|(_, takeover)| !takeover.request_in_flight && now_ms >= takeover.retry_due_ms)
            .map(|(incarnation, _)| incarnation.clone())
            .collect();
        for incarnation in ready {
            self.send_step_request(&incarnation);
        }
    }

    fn set_step(&mut self, incarnation: &Incarnation, step: Step) {
        if let Some(takeover) = self.takeovers.get_mut(incarnation) {
            takeover.step = step;
            takeover.request_in_flight = false;
            takeover.retry_due_ms = 0;
        }
        self.send_step_request(incarnation);
    }

    fn send_step_request(&mut self, incarnation: &Incarnation) {
        let Some(takeover) = self.takeovers.get_mut(incarnation) else {
            return;
        };
        takeover.request_in_flight = true;
        let request = match &takeover.step {
            Step::ReadRow => PlatformRequest::Txn(read_row_txn(incarnation)),
            Step::Seal(row) => PlatformRequest::Txn(seal_txn(row, self.journal.row())),
            Step::ReadJournal => PlatformRequest::Txn(read_journal_txn(incarnation)),
            Step::ReadSnapshot { sequence, .. } => PlatformRequest::GetObject {
                key: snapshot_key(incarnation, *sequence),
            },
            Step::RecordSealed { sealed, .. } => {
                PlatformRequest::Txn(record_sealed_txn(self.journal.row(), sealed))
            }
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
            takeover.request_in_flight = false;
            takeover.retry_due_ms = now_ms + STORE_RETRY_DELAY_MS;
            return;
        };
        match (takeover.step.clone(), reply) {
            (Step::ReadRow, PlatformReply::Txn(reply)) => {
                self.on_takeover_row(&incarnation, &reply)
            }
            (Step::Seal(_), PlatformReply::Txn(reply)) if reply.succeeded => {
                self.set_step(&incarnation, Step::ReadJournal);
            }
            (Step::Seal(_), PlatformReply::Txn(reply)) => {
                self.on_seal_rejected(&incarnation, &reply)
            }
            (Step::ReadJournal, PlatformReply::Txn(reply)) => {
                self.on_journal_read(&incarnation, &reply)
            }
            (
                Step::ReadSnapshot {
                    batches, sealed, ..
                },
                PlatformReply::Object(object),
            ) => {
                let mut records = read_snapshot(object);
                records.extend(batches);
                self.record_sealed_or_import(&incarnation, records, sealed);
            }
            (Step::RecordSealed { replayed, sealed }, PlatformReply::Txn(reply))
                if reply.succeeded =>
            {
                for incarnation in sealed {
                    self.insert_takeover(incarnation, Step::ReadJournal);
                }
                self.import(&incarnation, &replayed);
            }
            (Step::RecordSealed { .. }, PlatformReply::Txn(_)) => {
                self.abandon_takeover(&incarnation);
                self.on_own_row_sealed();
            }
            (step, reply) => log::error!(step:? = step, reply:? = reply; "unexpected store reply"),
        }
    }

    fn on_takeover_row(&mut self, incarnation: &Incarnation, reply: &TxnReply) {
        let row = reply
            .rows()
            .next()
            .and_then(|row| IncarnationRow::decode(&row.value).ok());
        let Some(row) = row else {
            self.abandon_takeover(incarnation);
            return;
        };
        match &row.state {
            IncarnationState::Open => self.set_step(incarnation, Step::Seal(row)),
            IncarnationState::Sealed { by } => {
                // An incarnation sealed by another VM is imported by that VM. If that VM dies
                // first, its successor finds the incarnation in the list of those that the
                // dead VM had sealed.
                let by = by.clone();
                let is_own = by == *self.incarnation();
                self.ownership.record_successor(incarnation.clone(), by);
                if is_own {
                    self.set_step(incarnation, Step::ReadJournal);
                } else {
                    self.abandon_takeover(incarnation);
                }
            }
        }
    }

    /// Handles a rejected seal. Either this VM's own incarnation is sealed, or the row of
    /// `incarnation` has changed, possibly by an earlier attempt whose reply was lost.
    fn on_seal_rejected(&mut self, incarnation: &Incarnation, reply: &TxnReply) {
        let own_row = self.journal.row();
        let open = reply.value(&incarnation_key(&own_row.incarnation))
            == Some(own_row.encode().as_slice());
        if open {
            self.set_step(incarnation, Step::ReadRow);
        } else {
            self.abandon_takeover(incarnation);
            self.on_own_row_sealed();
        }
    }

    fn abandon_takeover(&mut self, incarnation: &Incarnation) {
        self.takeovers.remove(incarnation);
        self.ownership.orphans.remove(incarnation);
    }

    fn on_journal_read(&mut self, incarnation: &Incarnation, reply: &TxnReply) {
        let mut batches = Vec::new();
        for row in reply.results.first().into_iter().flatten() {
            match decode_batch(&row.key, &row.value) {
                Ok(records) => batches.extend(records),
                Err(error) => {
                    log::error!(error = error.to_string(); "journal batch can't be decoded")
                }
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
                let step = Step::ReadSnapshot {
                    sequence,
                    batches,
                    sealed,
                };
                self.set_step(incarnation, step);
            }
            None => self.record_sealed_or_import(incarnation, batches, sealed),
        }
    }

    /// Imports the programs, after recording the incarnations that the old owner
    /// had sealed but not imported.
    ///
    /// No other VM can take those over, since this incarnation is the old owner's
    /// only successor. They are recorded first so that a later successor finds
    /// them if this VM dies.
    fn record_sealed_or_import(
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
            self.set_step(incarnation, Step::RecordSealed { replayed, sealed });
        }
    }

    /// Replays the old owner's records and journals the resulting programs as this incarnation's.
    fn import(&mut self, incarnation: &Incarnation, replayed: &[Record]) {
        let mut programs = Programs::default();
        for record in replayed {
            programs.apply(record);
        }
        programs.take_over();
        let mut records: Vec<Record> = programs
            .snapshots()
            .into_iter()
            .map(|snapshot| Record::Snapshot(Box::new(snapshot)))
            .collect();
        records.push(Record::Imported {
            from: incarnation.clone(),
        });
        if let Some(takeover) = self.takeovers.get_mut(incarnation) {
            takeover.step = Step::Import(records.clone());
        }
        self.append_records(records, Some(CommitAction::Imported(incarnation.clone())));
    }

    /// Activates imported programs once their records are durable.
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
            if let Record::Snapshot(snapshot) = record {
                self.pending_openings.remove(&snapshot.program);
                let key = self.programs.find(&snapshot.program);
                if let Some(program) = key.and_then(|key| self.programs.get_mut(key)) {
                    program.last_active_ms = now_ms;
                }
            }
        }
        self.ownership.orphans.remove(incarnation);
        self.ownership.imported.insert(incarnation.clone());
        let own_incarnation = self.incarnation().clone();
        self.ownership
            .record_successor(incarnation.clone(), own_incarnation.clone());
        let took_ms = now_ms - takeover.started_ms;
        log::info!(incarnation = incarnation.as_str(), programs = count, took_ms; "takeover finished");
        self.last_takeover_ms = Some(took_ms);
        let txn = Txn {
            success: vec![
                Op::Delete {
                    key: sealed_key(&own_incarnation, incarnation),
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

/// Records incarnations as sealed by the incarnation of `own_row`, provided that it is open.
fn record_sealed_txn(own_row: &IncarnationRow, sealed: &[Incarnation]) -> Txn {
    let puts = sealed.iter().map(|sealed| Op::Put {
        key: sealed_key(&own_row.incarnation, sealed),
        value: Vec::new(),
    });
    Txn {
        compare: vec![Compare::ValueEquals {
            key: incarnation_key(&own_row.incarnation),
            value: own_row.encode(),
        }],
        success: puts.collect(),
        failure: Vec::new(),
    }
}

fn read_row_txn(incarnation: &Incarnation) -> Txn {
    Txn {
        success: vec![Op::Get {
            key: incarnation_key(incarnation),
        }],
        ..Txn::default()
    }
}

fn read_journal_txn(incarnation: &Incarnation) -> Txn {
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

/// Decodes a snapshot; a missing or damaged one yields no records.
fn read_snapshot(object: Option<Vec<u8>>) -> Vec<Record> {
    match object.map(|bytes| postcard::from_bytes(&bytes)) {
        Some(Ok(records)) => records,
        other => {
            log::error!(snapshot:? = other.map(Result::err); "snapshot is missing or can't be decoded");
            Vec::new()
        }
    }
}

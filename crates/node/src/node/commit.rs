//! Group commits and those who wait for them.

use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::{CallKey, ProgramId};
use lagoon_journal::{
    log_key, snapshot_key, snapshot_pointer_key, ClaimConflict, RecordGroup, WaiterId, FAMILY_ENDED,
};
use lagoon_platform::{Compare, Op, PlatformError, PlatformReply, PlatformRequest, Txn, TxnReply};
use lagoon_program::{Record, ResourceAmounts};

use crate::constants::SNAPSHOT_INTERVAL_BATCHES;
use crate::effect::Effect;
use crate::node::call::CallSlot;
use crate::node::store::StoreUse;
use crate::node::Node;

/// What a commit lets go on.
#[derive(Clone, Debug)]
pub(crate) enum Commit {
    /// Program may run.
    Opened(ProgramId),
    /// Reserve may be spent.
    Reserved(ProgramId, ResourceAmounts),
    /// Call may be sent.
    Intent(CallSlot),
    /// Answer may end.
    Finished(CallSlot, CallKey),
    /// Programs of another incarnation may run.
    Imported(lagoon_ids::Incarnation),
}

impl Node {
    /// Journals records and remembers what waits for them.
    pub(super) fn journal(&mut self, records: Vec<Record>, commit: Option<Commit>) {
        self.journal_group(
            RecordGroup {
                records,
                ..RecordGroup::default()
            },
            commit,
        );
    }

    pub(super) fn journal_group(&mut self, mut group: RecordGroup, commit: Option<Commit>) {
        if let Some(commit) = commit {
            let waiter = WaiterId(self.next_id());
            self.commits.insert(waiter, commit);
            group.waiter = Some(waiter);
        }
        self.journal.push(group);
    }

    pub(super) fn poll_journal(&mut self) {
        if !self.ownership.registered {
            return;
        }
        if let Some(txn) = self.journal.poll(self.now_ms()) {
            self.ask_store(PlatformRequest::Txn(txn), StoreUse::Append);
        }
    }

    pub(super) fn on_append(&mut self, reply: Result<TxnReply, PlatformError>) {
        let committed = self.journal.on_reply(reply);
        if committed.fenced {
            self.on_fenced();
            return;
        }
        for conflict in committed.conflicts {
            self.on_conflict(&conflict);
        }
        let durable = !committed.waiters.is_empty() || !committed.records.is_empty();
        for waiter in committed.waiters {
            if let Some(commit) = self.commits.remove(&waiter) {
                self.on_commit(commit);
            }
        }
        if durable
            && self
                .journal
                .sequence()
                .is_multiple_of(SNAPSHOT_INTERVAL_BATCHES)
        {
            self.start_snapshot();
        }
    }

    fn on_commit(&mut self, commit: Commit) {
        match commit {
            Commit::Opened(program) => {
                self.pending_openings.remove(&program);
                self.advance_family(&program);
            }
            Commit::Reserved(root, amounts) => {
                self.programs.commit_reserve(&root, amounts);
                self.advance_family(&root);
            }
            Commit::Intent(slot) => self.on_intent_durable(slot),
            Commit::Finished(slot, key) => {
                self.nondurable_outcomes.remove(&key);
                self.finish_call(slot, true);
            }
            Commit::Imported(incarnation) => self.on_imported(&incarnation),
        }
    }

    /// Another incarnation holds a family that this one wanted to open.
    fn on_conflict(&mut self, conflict: &ClaimConflict) {
        let waiter = conflict.waiter;
        let Some(Commit::Opened(program)) = waiter.and_then(|waiter| self.commits.remove(&waiter))
        else {
            return;
        };
        if !self.pending_openings.remove(&program) {
            // A takeover brought the program while the claim was under way.
            self.advance_family(&program);
            return;
        }
        self.programs.apply(&Record::Removed {
            program: program.clone(),
        });
        let holder = std::str::from_utf8(&conflict.row_value).unwrap_or_default();
        if conflict.row_value == FAMILY_ENDED {
            let detail = format!("program {program} has ended");
            self.fail_family(&program, &CallError::new(ErrorKind::ProgramEnded, detail));
            return;
        }
        match holder.parse() {
            Ok(owner) if self.owns(&owner) => {
                let detail = format!("program {program} is not under way");
                self.fail_family(&program, &CallError::new(ErrorKind::UnknownProgram, detail));
            }
            Ok(owner) => self.move_family(&program, &owner),
            Err(_) => {
                let detail = format!("row of {program} can't be read");
                self.fail_family(&program, &CallError::new(ErrorKind::Internal, detail));
            }
        }
    }

    /// A successor owns everything; nothing more may be promised.
    pub(super) fn on_fenced(&mut self) {
        log::error!(incarnation = self.incarnation().as_str(); "sealed by a successor");
        let slots: Vec<CallSlot> = self.calls.keys().collect();
        for slot in slots {
            let error =
                CallError::new(ErrorKind::OwnerUnreachable, "program has another owner now");
            self.fail_call(slot, error);
        }
        self.emit(Effect::Exit { fenced: true });
    }

    /// Stores an image of all programs, so that a successor replays less.
    ///
    /// The image covers only batches that are durable, since none is under
    /// way and nothing is queued.
    fn start_snapshot(&mut self) {
        if !self.journal.is_idle() {
            return;
        }
        let records: Vec<Record> = self
            .programs
            .snapshots()
            .into_iter()
            .map(|image| Record::Snapshot(Box::new(image)))
            .chain(self.ownership.absorbed_records())
            .collect();
        let Ok(bytes) = postcard::to_stdvec(&records) else {
            return;
        };
        let sequence = self.journal.sequence();
        let key = snapshot_key(self.incarnation(), sequence);
        self.ask_store(
            PlatformRequest::PutObject { key, bytes },
            StoreUse::Snapshot(sequence),
        );
    }

    pub(super) fn on_snapshot(
        &mut self,
        sequence: u64,
        reply: Result<PlatformReply, PlatformError>,
    ) {
        if reply.is_err() {
            return;
        }
        let own = self.journal.row();
        let incarnation = &own.incarnation;
        let txn = Txn {
            compare: vec![Compare::ValueEquals {
                key: lagoon_journal::incarnation_key(incarnation),
                value: own.encode(),
            }],
            success: vec![
                Op::Put {
                    key: snapshot_pointer_key(incarnation),
                    value: sequence.to_string().into_bytes(),
                },
                Op::DeleteRange {
                    from: log_key(incarnation, 0),
                    to: log_key(incarnation, sequence),
                },
            ],
            failure: Vec::new(),
        };
        self.ask_store(PlatformRequest::Txn(txn), StoreUse::Cleaned);
    }
}

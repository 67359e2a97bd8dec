//! Group commits to the journal, the actions that wait for them, and snapshots.

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
use crate::node::store::StorePurpose;
use crate::node::Node;

/// Action to run once a journal group is durable.
#[derive(Clone, Debug)]
pub(crate) enum CommitAction {
    /// Starts the calls of a program that was opened.
    Opened(ProgramId),
    /// Adds these amounts to the durable reserve of a root program.
    Reserved(ProgramId, ResourceAmounts),
    /// Dispatches the at-most-once call whose intent was recorded.
    Intent(CallSlot),
    /// Ends the response of a call as durable.
    Finished(CallSlot, CallKey),
    /// Activates the programs imported from this incarnation.
    Imported(lagoon_ids::Incarnation),
}

impl Node {
    /// Appends records to the journal; `action` runs once they are durable.
    pub(super) fn append_records(&mut self, records: Vec<Record>, action: Option<CommitAction>) {
        self.append_group(
            RecordGroup {
                records,
                ..RecordGroup::default()
            },
            action,
        );
    }

    pub(super) fn append_group(&mut self, mut group: RecordGroup, action: Option<CommitAction>) {
        if let Some(action) = action {
            let waiter = WaiterId(self.next_id());
            self.commit_actions.insert(waiter, action);
            group.waiter = Some(waiter);
        }
        self.journal.push(group);
    }

    pub(super) fn poll_journal(&mut self) {
        if !self.ownership.registered {
            return;
        }
        if let Some(txn) = self.journal.poll(self.now_ms()) {
            self.send_store_request(PlatformRequest::Txn(txn), StorePurpose::AppendBatch);
        }
    }

    pub(super) fn on_append_reply(&mut self, reply: Result<TxnReply, PlatformError>) {
        let committed = self.journal.on_reply(reply);
        if committed.fenced {
            self.on_fenced();
            return;
        }
        for conflict in committed.conflicts {
            self.on_claim_conflict(&conflict);
        }
        let durable = !committed.waiters.is_empty() || !committed.records.is_empty();
        for waiter in committed.waiters {
            if let Some(action) = self.commit_actions.remove(&waiter) {
                self.run_commit_action(action);
            }
        }
        if durable
            && self
                .journal
                .sequence()
                .is_multiple_of(SNAPSHOT_INTERVAL_BATCHES)
        {
            self.write_snapshot();
        }
    }

    fn run_commit_action(&mut self, action: CommitAction) {
        match action {
            CommitAction::Opened(program) => {
                self.pending_openings.remove(&program);
                self.advance_family(&program);
            }
            CommitAction::Reserved(root, amounts) => {
                self.programs.commit_reserve(&root, amounts);
                self.advance_family(&root);
            }
            CommitAction::Intent(slot) => self.on_intent_durable(slot),
            CommitAction::Finished(slot, key) => {
                self.nondurable_outcomes.remove(&key);
                self.finish_call(slot, true);
            }
            CommitAction::Imported(incarnation) => self.on_imported(&incarnation),
        }
    }

    /// Handles a failed claim: the family's row already names an owner or says that the family
    /// has ended.
    fn on_claim_conflict(&mut self, conflict: &ClaimConflict) {
        let waiter = conflict.waiter;
        let Some(CommitAction::Opened(program)) =
            waiter.and_then(|waiter| self.commit_actions.remove(&waiter))
        else {
            return;
        };
        if !self.pending_openings.remove(&program) {
            // A takeover imported the program while the claim was in flight.
            self.advance_family(&program);
            return;
        }
        self.programs.apply(&Record::Removed {
            program: program.clone(),
        });
        let row_text = std::str::from_utf8(&conflict.row_value).unwrap_or_default();
        if conflict.row_value == FAMILY_ENDED {
            let detail = format!("program {program} has ended");
            self.fail_family(&program, &CallError::new(ErrorKind::ProgramEnded, detail));
            return;
        }
        match row_text.parse() {
            Ok(owner) if self.owns(&owner) => {
                let detail = format!("program {program} is not under way");
                self.fail_family(&program, &CallError::new(ErrorKind::UnknownProgram, detail));
            }
            Ok(owner) => self.reroute_family(&program, &owner),
            Err(_) => {
                let detail = format!("row of {program} can't be read");
                self.fail_family(&program, &CallError::new(ErrorKind::Internal, detail));
            }
        }
    }

    /// Refuses all calls and exits, since a successor owns the programs of this incarnation.
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

    /// Stores a snapshot of all programs to shorten a successor's replay.
    ///
    /// Runs only while the journal is idle, so that the snapshot covers nothing
    /// but durable batches.
    fn write_snapshot(&mut self) {
        if !self.journal.is_idle() {
            return;
        }
        let records: Vec<Record> = self
            .programs
            .snapshots()
            .into_iter()
            .map(|snapshot| Record::Snapshot(Box::new(snapshot)))
            .chain(self.ownership.imported_records())
            .collect();
        let Ok(bytes) = postcard::to_stdvec(&records) else {
            return;
        };
        let sequence = self.journal.sequence();
        let key = snapshot_key(self.incarnation(), sequence);
        self.send_store_request(
            PlatformRequest::PutObject { key, bytes },
            StorePurpose::PutSnapshot(sequence),
        );
    }

    pub(super) fn on_snapshot_stored(
        &mut self,
        sequence: u64,
        reply: Result<PlatformReply, PlatformError>,
    ) {
        if reply.is_err() {
            return;
        }
        let own_row = self.journal.row();
        let incarnation = &own_row.incarnation;
        let txn = Txn {
            compare: vec![Compare::ValueEquals {
                key: lagoon_journal::incarnation_key(incarnation),
                value: own_row.encode(),
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
        self.send_store_request(PlatformRequest::Txn(txn), StorePurpose::DeleteObsolete);
    }
}

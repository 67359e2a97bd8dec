//! Append to the journal with group commit.

use lagoon_ids::Incarnation;
use lagoon_platform::{Compare, Op, PlatformError, Txn, TxnReply};
use lagoon_program::Record;

use crate::batch::{encode_batch, RecordGroup, WaiterId};
use crate::keys::{family_key, incarnation_key, log_key, FAMILY_ENDED};
use crate::{IncarnationRow, IncarnationState};

/// Maximum size of the encoded records of one batch; a larger group gets a batch of its own.
const BATCH_LIMIT_BYTES: usize = 1_000_000;

/// Batch that has been formed and is not yet committed.
#[derive(Clone, Debug)]
struct Batch {
    groups: Vec<RecordGroup>,
    value: Vec<u8>,
}

/// Claim of a family that already has an ownership row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimConflict {
    /// Waiter of the group with the claim; `None` if nobody waits.
    pub waiter: Option<WaiterId>,
    /// Claimed family.
    pub family: String,
    /// Value of the ownership row: the owner, or [`FAMILY_ENDED`].
    pub row_value: Vec<u8>,
}

/// Outcome of an append; empty if the reply was lost.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppendOutcome {
    /// Records that became durable.
    pub records: Vec<Record>,
    /// Waiters of the groups that became durable.
    pub waiters: Vec<WaiterId>,
    /// Failed claims; their groups are dropped from the journal.
    pub conflicts: Vec<ClaimConflict>,
    /// Whether no further append can succeed, since a successor has sealed the incarnation.
    pub fenced: bool,
}

/// Journal of the local incarnation, with at most one append in flight.
#[derive(Clone, Debug)]
pub struct Journal {
    row: IncarnationRow,
    sequence: u64,
    queue: Vec<RecordGroup>,
    in_flight: Option<Batch>,
    /// Whether `in_flight` has not been sent yet, or has to be sent again after a lost reply.
    send_pending: bool,
    /// Time at which the latest batch was formed; 0 lets the next one form at once.
    batch_formed_ms: u64,
    commit_interval_ms: u64,
    fenced: bool,
}

impl Journal {
    /// Empty journal of an open incarnation.
    pub fn new(row: IncarnationRow) -> Journal {
        Journal {
            row,
            sequence: 1,
            queue: Vec::new(),
            in_flight: None,
            send_pending: false,
            batch_formed_ms: 0,
            commit_interval_ms: 0,
            fenced: false,
        }
    }

    /// Incarnation that writes this journal.
    pub fn incarnation(&self) -> &Incarnation {
        &self.row.incarnation
    }

    /// Table row of the local incarnation, which an append requires to be unchanged.
    pub fn row(&self) -> &IncarnationRow {
        &self.row
    }

    /// Sequence number of the next batch to be committed, from 1.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Sets the minimum time between two batches, in milliseconds; 0 until then.
    pub fn set_commit_interval_ms(&mut self, commit_interval_ms: u64) {
        self.commit_interval_ms = commit_interval_ms;
    }

    /// Whether all pushed groups are durable.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// Number of groups that are not durable yet.
    pub fn backlog(&self) -> usize {
        let in_flight = self
            .in_flight
            .as_ref()
            .map_or(0, |batch| batch.groups.len());
        in_flight + self.queue.len()
    }

    /// Queues a group for a later batch.
    pub fn push(&mut self, group: RecordGroup) {
        self.queue.push(group);
    }

    /// Transaction to send at `now_ms`; `None` if none is due, one is in flight or the journal is
    /// fenced.
    pub fn poll(&mut self, now_ms: u64) -> Option<Txn> {
        if self.fenced {
            return None;
        }
        if self.in_flight.is_none() {
            self.form_batch(now_ms);
        }
        if !self.send_pending {
            return None;
        }
        self.send_pending = false;
        self.in_flight.as_ref().map(|batch| self.append_txn(batch))
    }

    /// Forms the next batch from the queue if the commit interval has passed.
    fn form_batch(&mut self, now_ms: u64) {
        let due = now_ms >= self.batch_formed_ms + self.commit_interval_ms;
        if self.queue.is_empty() || !due {
            return;
        }
        let count = self.next_batch_len();
        let rest = self.queue.split_off(count);
        let groups = std::mem::replace(&mut self.queue, rest);
        let value = encode_batch(&groups);
        self.in_flight = Some(Batch { groups, value });
        self.send_pending = true;
        self.batch_formed_ms = now_ms;
    }

    /// Number of queued groups that go into the next batch.
    ///
    /// A batch claims or ends each family at most once, so that no transaction
    /// writes the same ownership row twice.
    fn next_batch_len(&self) -> usize {
        let mut bytes = 0;
        let mut families: Vec<&str> = Vec::new();
        for (index, group) in self.queue.iter().enumerate() {
            bytes += encode_batch(std::slice::from_ref(group)).len();
            let family = group
                .claim_family
                .as_deref()
                .or(group.end_family.as_deref());
            let repeated = family.is_some_and(|family| families.contains(&family));
            if index > 0 && (bytes > BATCH_LIMIT_BYTES || repeated) {
                return index;
            }
            families.extend(family);
        }
        self.queue.len()
    }

    fn row_key(&self) -> String {
        incarnation_key(&self.row.incarnation)
    }

    fn append_txn(&self, batch: &Batch) -> Txn {
        let row_key = self.row_key();
        let batch_key = log_key(&self.row.incarnation, self.sequence);
        let mut txn = Txn {
            compare: vec![
                Compare::ValueEquals {
                    key: row_key.clone(),
                    value: self.row.encode(),
                },
                Compare::Absent {
                    key: batch_key.clone(),
                },
            ],
            success: vec![Op::Put {
                key: batch_key.clone(),
                value: batch.value.clone(),
            }],
            failure: vec![Op::Get { key: row_key }, Op::Get { key: batch_key }],
        };
        for group in &batch.groups {
            if let Some(family) = &group.claim_family {
                let key = family_key(family);
                txn.compare.push(Compare::Absent { key: key.clone() });
                txn.failure.push(Op::Get { key: key.clone() });
                txn.success.push(Op::Put {
                    key,
                    value: self.row.incarnation.as_str().as_bytes().to_vec(),
                });
            }
            if let Some(family) = &group.end_family {
                txn.success.push(Op::Put {
                    key: family_key(family),
                    value: FAMILY_ENDED.to_vec(),
                });
            }
        }
        txn
    }

    /// Processes the reply to the last transaction.
    ///
    /// If the reply was lost, a later `poll` sends the same batch again. If the
    /// first attempt had taken effect, the retry finds the batch's row in the
    /// table, which counts as success.
    pub fn on_reply(&mut self, reply: Result<TxnReply, PlatformError>) -> AppendOutcome {
        let Some(batch) = self.in_flight.take() else {
            return AppendOutcome::default();
        };
        let Ok(reply) = reply else {
            self.in_flight = Some(batch);
            self.send_pending = true;
            return AppendOutcome::default();
        };
        let batch_key = log_key(&self.row.incarnation, self.sequence);
        let already_committed = reply.value(&batch_key) == Some(batch.value.as_slice());
        if reply.succeeded || already_committed {
            return self.commit(batch);
        }
        if self.is_sealed(&reply) || reply.value(&batch_key).is_some() {
            self.fenced = true;
            return AppendOutcome {
                fenced: true,
                ..AppendOutcome::default()
            };
        }
        self.drop_failed_claims(batch, &reply)
    }

    fn is_sealed(&self, reply: &TxnReply) -> bool {
        let row = reply
            .value(&self.row_key())
            .and_then(|value| IncarnationRow::decode(value).ok());
        row.is_none_or(|row| row.state != IncarnationState::Open)
    }

    fn commit(&mut self, batch: Batch) -> AppendOutcome {
        self.sequence += 1;
        let mut result = AppendOutcome::default();
        for group in batch.groups {
            result.waiters.extend(group.waiter);
            result.records.extend(group.records);
        }
        result
    }

    fn drop_failed_claims(&mut self, batch: Batch, reply: &TxnReply) -> AppendOutcome {
        let mut result = AppendOutcome::default();
        let mut kept = Vec::new();
        for group in batch.groups {
            let family = group.claim_family.clone().unwrap_or_default();
            match reply.value(&family_key(&family)) {
                Some(row) if group.claim_family.is_some() => result.conflicts.push(ClaimConflict {
                    waiter: group.waiter,
                    family,
                    row_value: row.to_vec(),
                }),
                _ => kept.push(group),
            }
        }
        // The remaining groups go first in the next batch, without waiting for the interval.
        kept.append(&mut self.queue);
        self.queue = kept;
        self.batch_formed_ms = 0;
        result
    }
}

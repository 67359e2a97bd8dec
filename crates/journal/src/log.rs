//! Group commit.

use lagoon_ids::Incarnation;
use lagoon_platform::{Compare, Op, PlatformError, Txn, TxnReply};
use lagoon_program::Record;

use crate::batch::{encode_batch, RecordGroup, WaiterId};
use crate::keys::{family_key, incarnation_key, log_key, FAMILY_ENDED};
use crate::{IncarnationRow, IncarnationState};

/// Most records of one batch, in encoded bytes.
const BATCH_LIMIT_BYTES: usize = 1_000_000;

/// Batch that was sent and has no reply yet.
#[derive(Clone, Debug)]
struct Batch {
    groups: Vec<RecordGroup>,
    value: Vec<u8>,
}

/// Family that another incarnation holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimConflict {
    /// Who waited for the claim.
    pub waiter: Option<WaiterId>,
    /// Family.
    pub family: String,
    /// Value of its row: the holder, or [`FAMILY_ENDED`].
    pub row_value: Vec<u8>,
}

/// What a reply says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppendOutcome {
    /// Records that are durable now.
    pub records: Vec<Record>,
    /// Those who waited for them.
    pub waiters: Vec<WaiterId>,
    /// Claims that failed; their groups are dropped.
    pub conflicts: Vec<ClaimConflict>,
    /// Whether a successor has sealed this incarnation.
    pub fenced: bool,
}

/// Journal of the own incarnation.
#[derive(Clone, Debug)]
pub struct Journal {
    row: IncarnationRow,
    sequence: u64,
    queue: Vec<RecordGroup>,
    in_flight: Option<Batch>,
    retry_now: bool,
    committed_ms: u64,
    interval_ms: u64,
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
            retry_now: false,
            committed_ms: 0,
            interval_ms: 0,
            fenced: false,
        }
    }

    /// Own incarnation.
    pub fn incarnation(&self) -> &Incarnation {
        &self.row.incarnation
    }

    /// Row of the own incarnation.
    pub fn row(&self) -> &IncarnationRow {
        &self.row
    }

    /// Sequence of the next batch.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Least time between two commits, in milliseconds.
    pub fn set_commit_interval_ms(&mut self, interval_ms: u64) {
        self.interval_ms = interval_ms;
    }

    /// Whether everything pushed is durable.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// Groups that are not durable yet.
    pub fn backlog(&self) -> usize {
        let sent = self
            .in_flight
            .as_ref()
            .map_or(0, |batch| batch.groups.len());
        sent + self.queue.len()
    }

    /// Adds a group to the next batch.
    pub fn push(&mut self, group: RecordGroup) {
        self.queue.push(group);
    }

    /// Transaction to send now, if any.
    pub fn poll(&mut self, now_ms: u64) -> Option<Txn> {
        if self.fenced {
            return None;
        }
        if self.in_flight.is_none() {
            self.cut(now_ms);
        }
        if !self.retry_now {
            return None;
        }
        self.retry_now = false;
        self.in_flight.as_ref().map(|batch| self.append(batch))
    }

    /// Makes the next batch of what is queued.
    fn cut(&mut self, now_ms: u64) {
        let due = now_ms >= self.committed_ms + self.interval_ms;
        if self.queue.is_empty() || !due {
            return;
        }
        let count = self.batch_groups();
        let rest = self.queue.split_off(count);
        let groups = std::mem::replace(&mut self.queue, rest);
        let value = encode_batch(&groups);
        self.in_flight = Some(Batch { groups, value });
        self.retry_now = true;
        self.committed_ms = now_ms;
    }

    /// Groups that fit in one batch; a family is claimed or retired once.
    fn batch_groups(&self) -> usize {
        let mut bytes = 0;
        let mut families: Vec<&str> = Vec::new();
        for (place, group) in self.queue.iter().enumerate() {
            bytes += encode_batch(std::slice::from_ref(group)).len();
            let named = group
                .claim_family
                .as_deref()
                .or(group.end_family.as_deref());
            let twice = named.is_some_and(|family| families.contains(&family));
            if place > 0 && (bytes > BATCH_LIMIT_BYTES || twice) {
                return place;
            }
            families.extend(named);
        }
        self.queue.len()
    }

    fn own_key(&self) -> String {
        incarnation_key(&self.row.incarnation)
    }

    fn append(&self, batch: &Batch) -> Txn {
        let own_key = self.own_key();
        let batch_key = log_key(&self.row.incarnation, self.sequence);
        let mut txn = Txn {
            compare: vec![
                Compare::ValueEquals {
                    key: own_key.clone(),
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
            failure: vec![Op::Get { key: own_key }, Op::Get { key: batch_key }],
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

    /// Takes the reply to the last transaction.
    ///
    /// Without a reply the same batch is sent again by a later `poll`: if it
    /// had taken effect, its own row is found and counts as success.
    pub fn on_reply(&mut self, reply: Result<TxnReply, PlatformError>) -> AppendOutcome {
        let Some(batch) = self.in_flight.take() else {
            return AppendOutcome::default();
        };
        let Ok(reply) = reply else {
            self.in_flight = Some(batch);
            self.retry_now = true;
            return AppendOutcome::default();
        };
        let batch_key = log_key(&self.row.incarnation, self.sequence);
        let found_own = reply.value(&batch_key) == Some(batch.value.as_slice());
        if reply.succeeded || found_own {
            return self.commit(batch);
        }
        if self.is_sealed(&reply) || reply.value(&batch_key).is_some() {
            self.fenced = true;
            return AppendOutcome {
                fenced: true,
                ..AppendOutcome::default()
            };
        }
        self.drop_conflicts(batch, &reply)
    }

    fn is_sealed(&self, reply: &TxnReply) -> bool {
        let row = reply
            .value(&self.own_key())
            .and_then(|value| IncarnationRow::decode(value).ok());
        row.is_none_or(|row| row.state != IncarnationState::Open)
    }

    fn commit(&mut self, batch: Batch) -> AppendOutcome {
        self.sequence += 1;
        let mut committed = AppendOutcome::default();
        for group in batch.groups {
            committed.waiters.extend(group.waiter);
            committed.records.extend(group.records);
        }
        committed
    }

    fn drop_conflicts(&mut self, batch: Batch, reply: &TxnReply) -> AppendOutcome {
        let mut committed = AppendOutcome::default();
        let mut kept = Vec::new();
        for group in batch.groups {
            let family = group.claim_family.clone().unwrap_or_default();
            match reply.value(&family_key(&family)) {
                Some(holder) if group.claim_family.is_some() => {
                    committed.conflicts.push(ClaimConflict {
                        waiter: group.waiter,
                        family,
                        row_value: holder.to_vec(),
                    })
                }
                _ => kept.push(group),
            }
        }
        // The rest goes first in the next batch, without a further wait.
        kept.append(&mut self.queue);
        self.queue = kept;
        self.committed_ms = 0;
        committed
    }
}

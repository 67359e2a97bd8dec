//! Writes turns to the store; turns of one partition that end together share a
//! transaction.

use std::rc::Rc;

use compact_str::CompactString;
use lagoon_gateway::{Row, RowKey, RowWrite, StoreCall, StoreError, StoreReply};
use lagoon_turns::{
    merge_rows, partition_of, row_writes, RowExpiry, StoredRow, Turn, WriteOutcome,
};
use tokio::task::spawn_local;

use super::{applied_version, sleep_about, value_bytes, TurnKeeper};

/// Maximum number of turns in one transaction.
const MAX_TURNS_PER_WRITE: usize = 50;

/// Maximum size of the values in one transaction; base64 makes them a third
/// larger, and the store accepts 1 MB.
const MAX_WRITE_BYTES: usize = 600_000;

/// Mean delay before a failed write is repeated.
const RETRY_DELAY_MS: u64 = 30;

/// Mean interval at which a writer checks whether the store can be reached again.
const OUTAGE_CHECK_MS: u64 = 100;

/// Turn with the writes that create its rows.
struct TurnWrites {
    turn: Rc<Turn>,
    writes: Vec<RowWrite>,
    expires_unix_ms: u64,
}

impl TurnKeeper {
    /// Queues a turn for the next write of its partition.
    pub(super) fn queue_write(self: &Rc<Self>, turn: Rc<Turn>) {
        let partition = partition_of(&turn.id);
        let mut queues = self.queues.borrow_mut();
        let is_idle = !queues.contains_key(&partition);
        queues.entry(partition.clone()).or_default().push_back(turn);
        drop(queues);
        if is_idle {
            spawn_local(Rc::clone(self).write_partition(partition));
        }
    }

    async fn write_partition(self: Rc<Self>, partition: CompactString) {
        loop {
            self.wait_for_store().await;
            let batch = self.take_batch(&partition);
            if batch.is_empty() {
                self.queues.borrow_mut().remove(&partition);
                return;
            }
            let remaining = self.write_batch(batch).await;
            if remaining.is_empty() {
                continue;
            }
            if let Some(queue) = self.queues.borrow_mut().get_mut(&partition) {
                for turn in remaining.into_iter().rev() {
                    queue.push_front(turn);
                }
            }
            sleep_about(RETRY_DELAY_MS).await;
        }
    }

    /// Waits while neither this VM nor another one can reach the store.
    async fn wait_for_store(&self) {
        while self.budget_client.is_store_out_of_reach() {
            sleep_about(OUTAGE_CHECK_MS).await;
        }
    }

    /// Takes turns of one transaction from the queue, without those that need
    /// not be written any more.
    fn take_batch(&self, partition: &CompactString) -> Vec<TurnWrites> {
        let mut queues = self.queues.borrow_mut();
        let Some(queue) = queues.get_mut(partition) else {
            return Vec::new();
        };
        let unsaved = self.unsaved.borrow();
        let mut batch: Vec<TurnWrites> = Vec::new();
        let mut batch_bytes = 0;
        while let Some(turn) = queue.pop_front() {
            if !unsaved.contains(&turn.id) {
                continue;
            }
            let expires_unix_ms = RowExpiry::expires_unix_ms(turn.ended_unix_ms, turn.retention_ms);
            let writes = row_writes(&turn, expires_unix_ms, self.max_row_bytes);
            batch_bytes += value_bytes(&writes);
            let is_full = batch_bytes > MAX_WRITE_BYTES || batch.len() >= MAX_TURNS_PER_WRITE;
            if is_full && !batch.is_empty() {
                queue.push_front(turn);
                break;
            }
            let is_large = batch_bytes > MAX_WRITE_BYTES;
            batch.push(TurnWrites {
                turn,
                writes,
                expires_unix_ms,
            });
            if is_large {
                break;
            }
        }
        batch
    }

    /// Writes turns, and returns those that are not known to be in the store.
    async fn write_batch(&self, batch: Vec<TurnWrites>) -> Vec<Rc<Turn>> {
        if let [large] = batch.as_slice() {
            if !self.write_further_rows(large).await {
                return vec![Rc::clone(&large.turn)];
            }
        }
        let heads = batch.iter().flat_map(|turn| match batch.len() {
            1 if value_bytes(&turn.writes) > MAX_WRITE_BYTES => {
                turn.writes[turn.writes.len() - 1..].to_vec()
            }
            _ => turn.writes.clone(),
        });
        let call = StoreCall::Transact(heads.collect());
        let reply = self.budget_client.execute_or_relay(&call).await;
        let mut remaining = Vec::new();
        for written in batch {
            match self.outcome(&written, &reply) {
                WriteOutcome::NotStored => remaining.push(written.turn),
                outcome => self.finish(&written.turn, outcome),
            }
        }
        if let Err(error) = &reply {
            log::debug!(turns = remaining.len(), error = error.to_string(); "turns not written yet");
        }
        remaining
    }

    /// Writes the rows of a turn that is too large for one transaction, but for
    /// its head; `false` if that fails. Rows of an earlier attempt count.
    async fn write_further_rows(&self, large: &TurnWrites) -> bool {
        if value_bytes(&large.writes) <= MAX_WRITE_BYTES {
            return true;
        }
        let (_, further) = large.writes.split_last().unwrap_or((&large.writes[0], &[]));
        let rows_per_write = (MAX_WRITE_BYTES / self.max_row_bytes).max(1);
        for rows in further.chunks(rows_per_write) {
            let call = StoreCall::Transact(rows.to_vec());
            let reply = self.budget_client.execute_or_relay(&call).await;
            let is_written = match &reply {
                Ok(StoreReply::Applied { .. }) => true,
                Ok(StoreReply::Conflict(found)) => merge_rows(rows, found) == WriteOutcome::Stored,
                _ => false,
            };
            if !is_written {
                return false;
            }
        }
        true
    }

    fn outcome(
        &self,
        written: &TurnWrites,
        reply: &Result<StoreReply, StoreError>,
    ) -> WriteOutcome {
        let Ok(reply) = reply else {
            return WriteOutcome::NotStored;
        };
        if let Some(version) = applied_version(reply) {
            let rows = written.writes.iter();
            let rows = rows.map(|write| (write.key.clone(), version)).collect();
            self.remember_rows(rows, written.expires_unix_ms);
            return WriteOutcome::Stored;
        }
        let found: &[Row] = match reply {
            StoreReply::Conflict(found) => found,
            _ => &[],
        };
        let outcome = merge_rows(&written.writes, found);
        if outcome == WriteOutcome::Superseded {
            log::warn!(turn = written.turn.id.as_str(); "another version of the turn is in the store");
        }
        outcome
    }

    /// Remembers rows for deletion.
    pub(super) fn remember_rows(&self, rows: Vec<(RowKey, u64)>, expires_unix_ms: u64) {
        let rows = rows.into_iter();
        let rows = rows.map(|(key, version)| StoredRow { key, version });
        if !self
            .expiry
            .borrow_mut()
            .add(rows.collect(), expires_unix_ms)
        {
            log::warn!("too many turns to remember; this one stays in the store");
        }
    }

    /// Reports the outcome of a write to the call that waits for it.
    fn finish(&self, turn: &Rc<Turn>, outcome: WriteOutcome) {
        self.unsaved.borrow_mut().remove(&turn.id);
        if outcome == WriteOutcome::Superseded {
            self.cache.borrow_mut().remove(&turn.id);
            self.withdraw_copies(turn);
        } else {
            self.release_copies(&turn.id);
        }
        let waiter = self.waiters.borrow_mut().remove(&turn.id);
        if let Some(waiter) = waiter {
            // The call may have ended meanwhile.
            let _ = waiter.send(outcome);
        }
    }
}

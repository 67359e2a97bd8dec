//! Deletes turns whose time is over, and postpones the deletion of those that
//! are continued.

use std::rc::Rc;

use compact_str::CompactString;
use lagoon_gateway::{StoreCall, StoreReply};
use lagoon_turns::{expired_rows, partition_name, RowExpiry, Turn, TurnId, PARTITIONS, TURN_TABLE};
use rand::RngExt;
use tokio::task::spawn_local;

use super::{sleep_about, TurnKeeper};
use crate::clock::unix_now_ms;

/// Mean interval at which a VM looks for expired turns of VMs that have ended,
/// in one partition each time.
const SWEEP_INTERVAL_MS: u64 = 60_000;

impl TurnKeeper {
    /// Deletes what VMs that have ended left in the store.
    pub(crate) async fn sweep_periodically(self: Rc<Self>) {
        loop {
            sleep_about(SWEEP_INTERVAL_MS).await;
            let keeps_turns = self.retention_ms.get() > 0;
            if keeps_turns && !self.budget_client.is_store_unavailable() {
                let partition = rand::rng().random_range(0..PARTITIONS);
                self.sweep(partition_name(partition)).await;
            }
        }
    }

    /// Deletes the rows of a partition that expired a retention ago; before that,
    /// the VM that wrote them does.
    async fn sweep(&self, partition: CompactString) {
        let call = StoreCall::Read {
            table: CompactString::const_new(TURN_TABLE),
            partition,
            from_key: CompactString::default(),
        };
        let Ok(StoreReply::Rows { rows, .. }) = self.budget_client.execute_store_call(&call).await
        else {
            return;
        };
        let before_unix_ms = unix_now_ms().saturating_sub(self.retention_ms.get());
        let deletion = expired_rows(&rows, before_unix_ms);
        if deletion.is_empty() {
            return;
        }
        let count = deletion.len();
        let call = StoreCall::Transact(deletion);
        let deleted = self.budget_client.execute_store_call(&call).await;
        let is_deleted = matches!(deleted, Ok(StoreReply::Applied { .. }));
        log::info!(rows = count, is_deleted; "expired turns of VMs that have ended");
    }

    /// Deletes the rows that this VM wrote and whose time is over.
    pub(crate) async fn delete_expired(&self) {
        let deletions = self.expiry.borrow_mut().take_expired(unix_now_ms());
        for deletion in deletions {
            let rows = deletion.len();
            let deleted = self
                .budget_client
                .execute_store_call(&StoreCall::Transact(deletion))
                .await;
            match deleted {
                Ok(StoreReply::Applied { .. }) => {}
                // Another VM has postponed the deletion of a row, and deletes
                // it; the others of the transaction stay in the store.
                Ok(_) => log::debug!(rows; "expired turns were postponed by another VM"),
                Err(error) => {
                    log::info!(rows, error = error.to_string(); "cannot delete expired turns");
                }
            }
        }
    }

    /// Postpones the deletion of a chain's older turns, which are kept as long as
    /// the turn that continues them.
    pub(crate) fn extend(self: &Rc<Self>, chain: &[Rc<Turn>]) {
        let now_unix_ms = unix_now_ms();
        let is_old = |turn: &&Rc<Turn>| {
            RowExpiry::needs_extension(turn.ended_unix_ms, turn.retention_ms, now_unix_ms)
        };
        for turn in chain.iter().filter(is_old) {
            spawn_local(Rc::clone(self).extend_row(turn.id.clone()));
        }
    }

    async fn extend_row(self: Rc<Self>, id: TurnId) {
        let read = self.read_row(&id).await;
        let Ok(Some(kept)) = read else {
            log::warn!(turn = id.as_str(); "cannot postpone the deletion of a turn");
            return;
        };
        let turn = &kept.turn;
        let expires_unix_ms = RowExpiry::expires_unix_ms(unix_now_ms(), turn.retention_ms);
        // A chain of many turns is postponed once in a retention.
        let least_unix_ms = expires_unix_ms + turn.retention_ms / 2 - turn.retention_ms;
        if kept.expires_unix_ms >= least_unix_ms {
            return;
        }
        let Some(write) = kept.extend_write(expires_unix_ms) else {
            return;
        };
        let call = StoreCall::Transact(vec![write]);
        match self.budget_client.execute_or_relay(&call).await {
            Ok(StoreReply::Applied { version }) => {
                let mut rows = kept.rows;
                if let Some((_, head_version)) = rows.first_mut() {
                    *head_version = version;
                }
                self.remember_rows(rows, expires_unix_ms);
            }
            Ok(_) => {}
            Err(error) => {
                log::warn!(turn = id.as_str(), error = error.to_string(); "cannot postpone the deletion of a turn");
            }
        }
    }
}

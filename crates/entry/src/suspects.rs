//! Detects crashes of targets after interrupted responses, and shares them with
//! other VMs: by gossip, and in the store for VMs that start later.
//!
//! A target that accepts no connections has crashed if a VM that reaches others can't
//! connect to it either, or, where no VM can tell, if another target in its failure
//! domain accepts some. Otherwise this VM may be cut off, and only the expiry of the
//! target's entry shows that it crashed.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use futures::future::join_all;
use lagoon_gateway::{
    CrashLog, CrashRecord, CrashUpdate, LostAttempt, Row, RowKey, RowWrite, StoreCall, StoreReply,
    TargetHash,
};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::connection::Connection;
use crate::ledger::BudgetClient;
use crate::metrics::Metrics;
use crate::paths::TargetReach;
use crate::tables::CRASH_TABLE;

/// Delay between an interrupted response and the connection attempt that
/// detects a crash; by then, a target that crashed or ended accepts no connections.
pub(crate) const CRASH_PROBE_DELAY: Duration = Duration::from_millis(30);

/// Maximum number of rows that the store writes in one transaction.
const MAX_ROWS_PER_WRITE: usize = 100;

/// Crashes known to this VM.
pub(crate) struct CrashTracker {
    clock: Clock,
    budget_client: Rc<BudgetClient>,
    metrics: Metrics,
    crash_log: RefCell<CrashLog>,
    /// Whether a write of crash rows has no reply yet.
    is_storing: Cell<bool>,
}

/// Attempt whose response was interrupted.
pub(crate) struct InterruptedAttempt {
    pub(crate) request_id: CompactString,
    pub(crate) fingerprint: u64,
    pub(crate) target_id: CompactString,
    pub(crate) target: TargetHash,
    pub(crate) address: SocketAddr,
    /// Addresses of other targets in the target's failure domain.
    pub(crate) domain_neighbors: Vec<SocketAddr>,
    pub(crate) ended_ms: u64,
}

fn row_key(record: CrashRecord) -> RowKey {
    RowKey {
        table: CompactString::const_new(CRASH_TABLE),
        partition: CompactString::default(),
        key: record.row_key(),
    }
}

/// Whether any of these addresses accepts a connection.
async fn accepts_any(addresses: &[SocketAddr]) -> bool {
    let connections = join_all(addresses.iter().copied().map(Connection::open_to_target)).await;
    connections.iter().any(Result::is_ok)
}

impl CrashTracker {
    pub(crate) fn new(
        clock: Clock,
        budget_client: Rc<BudgetClient>,
        metrics: Metrics,
    ) -> Rc<CrashTracker> {
        Rc::new(CrashTracker {
            clock,
            budget_client,
            metrics,
            crash_log: RefCell::default(),
            is_storing: Cell::new(false),
        })
    }

    pub(crate) fn is_quarantined(&self, fingerprint: u64) -> bool {
        let now_ms = self.clock.now_ms();
        self.crash_log.borrow().is_quarantined(fingerprint, now_ms)
    }

    /// Known crashes of targets that were running a request with this
    /// fingerprint.
    pub(crate) fn crash_count(&self, fingerprint: u64) -> usize {
        let now_ms = self.clock.now_ms();
        self.crash_log.borrow().crash_count(fingerprint, now_ms)
    }

    pub(crate) fn quarantined_count(&self) -> usize {
        let now_ms = self.clock.now_ms();
        self.crash_log.borrow().quarantined_count(now_ms)
    }

    /// Records a crash if the target whose response was interrupted accepts no
    /// connections of this VM, nor of another VM that reaches other targets. If no other
    /// VM can tell, another target in its failure domain must accept some.
    pub(crate) async fn record_if_crashed<F>(
        self: Rc<Self>,
        attempt: InterruptedAttempt,
        reach_of_others: F,
    ) where
        F: Future<Output = TargetReach>,
    {
        sleep(CRASH_PROBE_DELAY).await;
        let Err(error) = Connection::open_to_target(attempt.address).await else {
            self.metrics.record_target_crash("target is up");
            log::info!(request = attempt.request_id.as_str(), target_id = attempt.target_id.as_str(); "target accepts connections after an interrupted response");
            return;
        };
        let reach = reach_of_others.await;
        if reach == TargetReach::Reached {
            self.metrics.record_target_crash("path lost");
            log::info!(request = attempt.request_id.as_str(), target_id = attempt.target_id.as_str(), error = error.to_string(); "another VM reaches the target; it has not crashed");
            return;
        }
        if reach != TargetReach::NotReached
            && !attempt.domain_neighbors.is_empty()
            && !accepts_any(&attempt.domain_neighbors).await
        {
            self.metrics.record_target_crash("domain unreachable");
            log::info!(request = attempt.request_id.as_str(), target_id = attempt.target_id.as_str(), error = error.to_string(); "failure domain of the target can't be reached; it may not have crashed");
            return;
        }
        let now_ms = self.clock.now_ms();
        let record = self.crash_log.borrow_mut().record_interrupted(
            attempt.fingerprint,
            attempt.target,
            attempt.ended_ms,
            now_ms,
        );
        let Some(record) = record else {
            return;
        };
        self.metrics.record_target_crash("crashed");
        log::warn!(
            request = attempt.request_id.as_str(),
            crash = record.row_key().as_str(),
            target_id = attempt.target_id.as_str(),
            address = attempt.address.to_string(),
            error = error.to_string(),
            crashes = self.crash_count(attempt.fingerprint);
            "target crashed while it ran a request"
        );
        spawn_local(self.store_pending());
    }

    /// Records a crash of a target whose entry expired after an attempt without
    /// a response.
    pub(crate) fn record_lost(self: &Rc<Self>, lost: &LostAttempt) {
        let attempt = &lost.attempt;
        let now_ms = self.clock.now_ms();
        let mut crash_log = self.crash_log.borrow_mut();
        let record = crash_log.record_gone(attempt.fingerprint, lost.target, now_ms);
        drop(crash_log);
        let Some(record) = record else {
            return;
        };
        self.metrics.record_target_crash("lost");
        log::warn!(
            request = attempt.request_id.as_str(),
            crash = record.row_key().as_str(),
            target_id = lost.target_id.as_str(),
            ended_before_ms = now_ms - attempt.ended_ms,
            crashes = self.crash_count(attempt.fingerprint);
            "target is gone after an attempt without a response"
        );
        spawn_local(Rc::clone(self).store_pending());
    }

    /// Writes the crashes that this VM has yet to store. Those that can't be
    /// written stay pending.
    pub(crate) async fn store_pending(self: Rc<Self>) {
        let pending = self.crash_log.borrow().pending(MAX_ROWS_PER_WRITE);
        if pending.is_empty() || self.is_storing.replace(true) {
            return;
        }
        let writes = pending.iter().map(|record| RowWrite {
            key: row_key(*record),
            expected_version: 0,
            value: Some(Vec::new()),
        });
        let call = StoreCall::Transact(writes.collect());
        let reply = self.budget_client.execute_or_relay(&call).await;
        self.is_storing.set(false);
        match reply {
            Ok(StoreReply::Applied { version }) => {
                self.metrics.record_target_crash("stored");
                self.set_stored(pending.into_iter().map(|record| (record, version)));
            }
            Ok(StoreReply::Conflict(rows)) => {
                // An earlier write was applied although its reply was lost.
                let stored = rows.iter().filter_map(|row| {
                    let record = CrashRecord::from_row_key(&row.key.key)?;
                    Some((record, row.version))
                });
                self.set_stored(stored);
            }
            Ok(reply) => {
                log::error!(reply = format!("{reply:?}"); "unexpected reply to a write of crashes");
            }
            Err(error) => {
                self.metrics.record_target_crash("not stored");
                log::warn!(crashes = pending.len(), error = error.to_string(); "cannot store crashes yet");
            }
        }
    }

    fn set_stored<I>(&self, stored: I)
    where
        I: Iterator<Item = (CrashRecord, u64)>,
    {
        let now_ms = self.clock.now_ms();
        let mut crash_log = self.crash_log.borrow_mut();
        for (record, version) in stored {
            crash_log.set_stored(record, version, now_ms);
        }
    }

    /// Applies a row of the crash table; a deleted one removes its crash.
    pub(crate) fn apply_row(&self, row: &Row) {
        let Some(record) = CrashRecord::from_row_key(&row.key.key) else {
            self.metrics.record_invalid_row(CRASH_TABLE);
            log::warn!(key = row.key.key.as_str(); "row key does not name a crash");
            return;
        };
        match row.value {
            Some(_) => self.set_stored([(record, row.version)].into_iter()),
            None => self.crash_log.borrow_mut().remove(record),
        }
    }

    /// Crashes that this VM saw since the last call, for all other VMs.
    pub(crate) fn take_new(&self) -> Vec<CrashUpdate> {
        self.crash_log.borrow_mut().take_new(self.clock.now_ms())
    }

    /// Recent crashes to repeat to other VMs, at most `max`.
    pub(crate) fn to_repeat(&self, max: usize) -> Vec<CrashUpdate> {
        self.crash_log.borrow().to_repeat(max, self.clock.now_ms())
    }

    pub(crate) fn apply_updates(&self, updates: &[CrashUpdate]) {
        let now_ms = self.clock.now_ms();
        self.crash_log.borrow_mut().apply_updates(updates, now_ms);
    }

    /// Removes the crashes of a request that completed at a target.
    pub(crate) fn record_completed(self: &Rc<Self>, fingerprint: u64) {
        let rows = self.crash_log.borrow_mut().remove_completed(fingerprint);
        if !rows.is_empty() {
            let tracker = Rc::clone(self);
            spawn_local(async move { tracker.remove_rows(rows).await });
        }
    }

    /// Removes expired crashes from this VM and the store.
    pub(crate) async fn remove_expired(&self) {
        let now_ms = self.clock.now_ms();
        let expired = self.crash_log.borrow_mut().remove_expired(now_ms);
        self.remove_rows(expired).await;
    }

    async fn remove_rows(&self, rows: Vec<(CrashRecord, u64)>) {
        for (record, version) in rows {
            let write = RowWrite {
                key: row_key(record),
                expected_version: version,
                value: None,
            };
            let call = StoreCall::Transact(vec![write]);
            // Other VMs may attempt this too; the first one removes the row.
            if let Err(error) = self.budget_client.execute_store_call(&call).await {
                log::debug!(error = error.to_string(); "cannot remove the row of a crash");
            }
        }
    }
}

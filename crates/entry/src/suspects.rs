//! Detects crashes of targets after interrupted responses, and counts them in
//! the store by request fingerprint.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use lagoon_gateway::{CrashCounts, Row, RowKey, RowWrite, StoreCall, StoreReply};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::connection::Connection;
use crate::metrics::Metrics;
use crate::store::StoreClient;

/// Store table of crash counts, with one row for each request fingerprint.
pub(crate) const CRASH_COUNT_TABLE: &str = "suspects";

/// Delay between an interrupted response and the connection attempt that
/// detects a crash; by then, a crashed target accepts no connections.
const CRASH_PROBE_DELAY: Duration = Duration::from_millis(30);

/// Attempts of a write, which may conflict with VMs that count crashes of the
/// same request.
const WRITE_ATTEMPTS: u32 = 4;

/// Crash counts of this VM and, through the store, of all VMs.
pub(crate) struct CrashTracker {
    clock: Clock,
    store: Rc<StoreClient>,
    metrics: Metrics,
    crash_counts: RefCell<CrashCounts>,
}

/// Attempt whose response was interrupted.
pub(crate) struct InterruptedAttempt {
    pub(crate) request_id: CompactString,
    pub(crate) fingerprint: u64,
    pub(crate) target_id: CompactString,
    pub(crate) address: SocketAddr,
}

/// Write of a request's crash count; `None` deletes the row.
fn count_write(fingerprint: u64, expected_version: u64, crashes: Option<u32>) -> RowWrite {
    RowWrite {
        key: RowKey {
            table: CompactString::const_new(CRASH_COUNT_TABLE),
            partition: CompactString::default(),
            key: compact_str::format_compact!("{fingerprint:016x}"),
        },
        expected_version,
        value: crashes.map(|crashes| crashes.to_string().into_bytes()),
    }
}

impl CrashTracker {
    pub(crate) fn new(clock: Clock, store: Rc<StoreClient>, metrics: Metrics) -> Rc<CrashTracker> {
        Rc::new(CrashTracker {
            clock,
            store,
            metrics,
            crash_counts: RefCell::default(),
        })
    }

    pub(crate) fn is_quarantined(&self, fingerprint: u64) -> bool {
        let now_ms = self.clock.now_ms();
        self.crash_counts
            .borrow()
            .is_quarantined(fingerprint, now_ms)
    }

    pub(crate) fn quarantined_count(&self) -> usize {
        let now_ms = self.clock.now_ms();
        self.crash_counts.borrow().quarantined_count(now_ms)
    }

    /// Counts a crash if the target whose response was interrupted accepts no
    /// connections.
    pub(crate) async fn record_if_crashed(self: Rc<Self>, attempt: InterruptedAttempt) {
        let InterruptedAttempt {
            request_id,
            fingerprint,
            target_id,
            address,
        } = attempt;
        sleep(CRASH_PROBE_DELAY).await;
        let Err(error) = Connection::open(address).await else {
            self.metrics.record_target_crash("target is up");
            log::info!(request = request_id.as_str(), target_id = target_id.as_str(); "target accepts connections after an interrupted response");
            return;
        };
        self.metrics.record_target_crash("crashed");
        let (mut crashes, mut expected_version) =
            self.crash_counts.borrow().next_count(fingerprint);
        log::warn!(
            request = request_id.as_str(),
            fingerprint = format!("{fingerprint:016x}"),
            target_id = target_id.as_str(),
            address = address.to_string(),
            error = error.to_string(),
            crashes,
            row_version = expected_version;
            "target crashed while it ran a request"
        );
        for _ in 0..WRITE_ATTEMPTS {
            self.set_count(fingerprint, crashes, expected_version);
            let call = StoreCall::Transact(vec![count_write(
                fingerprint,
                expected_version,
                Some(crashes),
            )]);
            match self.store.call(&call).await {
                Ok(StoreReply::Applied { version }) => {
                    self.set_count(fingerprint, crashes, version);
                    self.metrics.record_target_crash("stored");
                    return;
                }
                Ok(StoreReply::Conflict(rows)) => {
                    let row = rows.first();
                    crashes = row.and_then(parse_count).unwrap_or(0) + 1;
                    expected_version = row.map_or(0, |row| row.version);
                }
                Ok(_) => return,
                Err(error) => {
                    self.metrics.record_target_crash("not stored");
                    log::warn!(request = request_id.as_str(), fingerprint = format!("{fingerprint:016x}"), crashes, error = error.to_string(); "cannot store a crash count; it applies to this VM only");
                    return;
                }
            }
        }
    }

    fn set_count(&self, fingerprint: u64, crashes: u32, version: u64) {
        let now_ms = self.clock.now_ms();
        let mut crash_counts = self.crash_counts.borrow_mut();
        crash_counts.set_count(fingerprint, crashes, version, now_ms);
    }

    /// Applies a row of the crash count table; a deleted or invalid one removes
    /// the count.
    pub(crate) fn apply_row(&self, row: &Row) {
        let Ok(fingerprint) = u64::from_str_radix(&row.key.key, 16) else {
            log::warn!(key = row.key.key.as_str(); "row key is not a request fingerprint");
            return;
        };
        match parse_count(row) {
            Some(crashes) => self.set_count(fingerprint, crashes, row.version),
            None => self.crash_counts.borrow_mut().remove(fingerprint),
        }
    }

    /// Removes expired counts from this VM and the store.
    pub(crate) async fn remove_expired(&self) {
        let expired = self.crash_counts.borrow().expired(self.clock.now_ms());
        for (fingerprint, version) in expired {
            self.crash_counts.borrow_mut().remove(fingerprint);
            let call = StoreCall::Transact(vec![count_write(fingerprint, version, None)]);
            // All VMs attempt this; the first one removes the row.
            if let Err(error) = self.store.call(&call).await {
                log::debug!(error = error.to_string(); "cannot remove an expired crash count");
            }
        }
    }
}

fn parse_count(row: &Row) -> Option<u32> {
    let value = row.value.as_deref()?;
    std::str::from_utf8(value).ok()?.parse().ok()
}

//! Crashes of targets, looked for where an answer broke off, and counted in
//! the store.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use lagoon_gateway::{CrashCounts, Row, RowKey, RowWrite, StoreCall, StoreReply};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::connection::Connection;
use crate::store::StoreClient;

/// Table of the counts.
pub(crate) const SUSPECT_TABLE: &str = "suspects";

/// Time after a broken answer at which a target that crashed no longer takes
/// connections.
const PROBE_PAUSE: Duration = Duration::from_millis(30);

/// Writes against VMs that count the same request.
const TRIES: u32 = 4;

/// Suspects of this VM and, by the store, of all.
pub(crate) struct CrashLog {
    clock: Clock,
    store: Rc<StoreClient>,
    suspects: RefCell<CrashCounts>,
}

fn write(fingerprint: u64, expected: u64, crashes: Option<u32>) -> RowWrite {
    RowWrite {
        key: RowKey {
            table: CompactString::const_new(SUSPECT_TABLE),
            partition: CompactString::default(),
            key: compact_str::format_compact!("{fingerprint:016x}"),
        },
        expected_version: expected,
        value: crashes.map(|crashes| crashes.to_string().into_bytes()),
    }
}

impl CrashLog {
    pub(crate) fn new(clock: Clock, store: Rc<StoreClient>) -> Rc<CrashLog> {
        Rc::new(CrashLog {
            clock,
            store,
            suspects: RefCell::default(),
        })
    }

    pub(crate) fn is_refused(&self, fingerprint: u64) -> bool {
        let now_ms = self.clock.now_ms();
        self.suspects.borrow().is_quarantined(fingerprint, now_ms)
    }

    /// Counts a crash if the target whose answer broke off is gone.
    pub(crate) async fn look(self: Rc<Self>, fingerprint: u64, address: SocketAddr) {
        sleep(PROBE_PAUSE).await;
        if Connection::open(address).await.is_ok() {
            return;
        }
        let (mut crashes, mut expected) = self.suspects.borrow().next_count(fingerprint);
        log::warn!(fingerprint = format!("{fingerprint:016x}"), address = address.to_string(), crashes; "target crashed under a request");
        for _ in 0..TRIES {
            self.set(fingerprint, crashes, expected);
            let call = StoreCall::Transact(vec![write(fingerprint, expected, Some(crashes))]);
            match self.store.call(&call).await {
                Ok(StoreReply::Applied { version }) => {
                    self.set(fingerprint, crashes, version);
                    return;
                }
                Ok(StoreReply::Conflict(rows)) => {
                    let row = rows.first();
                    crashes = row.and_then(count).unwrap_or(0) + 1;
                    expected = row.map_or(0, |row| row.version);
                }
                Ok(_) => return,
                Err(error) => {
                    log::warn!(error = error.to_string(); "crash counted here only");
                    return;
                }
            }
        }
    }

    fn set(&self, fingerprint: u64, crashes: u32, version: u64) {
        let now_ms = self.clock.now_ms();
        let mut suspects = self.suspects.borrow_mut();
        suspects.set_count(fingerprint, crashes, version, now_ms);
    }

    /// Takes a row of the store.
    pub(crate) fn take(&self, row: &Row) {
        let Ok(fingerprint) = u64::from_str_radix(&row.key.key, 16) else {
            log::warn!(key = row.key.key.as_str(); "row names no suspect");
            return;
        };
        match count(row) {
            Some(crashes) => self.set(fingerprint, crashes, row.version),
            None => self.suspects.borrow_mut().remove(fingerprint),
        }
    }

    /// Removes suspects that are over.
    pub(crate) async fn sweep(&self) {
        let over = self.suspects.borrow().expired(self.clock.now_ms());
        for (fingerprint, version) in over {
            self.suspects.borrow_mut().remove(fingerprint);
            let call = StoreCall::Transact(vec![write(fingerprint, version, None)]);
            // All VMs try; the first one removes the row.
            if let Err(error) = self.store.call(&call).await {
                log::debug!(error = error.to_string(); "row of a suspect stays");
            }
        }
    }
}

fn count(row: &Row) -> Option<u32> {
    let value = row.value.as_deref()?;
    std::str::from_utf8(value).ok()?.parse().ok()
}

//! Row of this VM in the store, by which other VMs find it.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use lagoon_gateway::{PeerEntry, RowKey, RowWrite, StoreCall, StoreReply, PROTOCOL_VERSION};
use tokio::time::sleep;

use crate::settings::EntrySettings;
use crate::state::DaemonState;
use crate::store::StoreClient;
use crate::tables::PEER_TABLE;

const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum attempts of a write, which may conflict with the row of an earlier
/// incarnation of this VM.
const WRITE_ATTEMPTS: u32 = 3;

pub(crate) struct Registration {
    store: Rc<StoreClient>,
    key: RowKey,
    value: Vec<u8>,
}

fn row_key(name: CompactString) -> RowKey {
    RowKey {
        table: CompactString::const_new(PEER_TABLE),
        partition: CompactString::default(),
        key: name,
    }
}

impl Registration {
    pub(crate) fn new(
        settings: &EntrySettings,
        writer: CompactString,
        store: Rc<StoreClient>,
    ) -> Registration {
        let entry = PeerEntry {
            address: settings.listen.peers,
            domain: settings.vm.domain.clone(),
            writer,
            protocol: PROTOCOL_VERSION,
        };
        Registration {
            store,
            key: row_key(settings.vm.name.clone()),
            // A struct of strings always serializes.
            value: serde_json::to_vec(&entry).unwrap_or_default(),
        }
    }

    /// Keeps the row of this VM in the store until the VM stops, and removes
    /// the rows of VMs that have long been unresponsive.
    pub(crate) async fn maintain(self: Rc<Self>, state: Rc<DaemonState>) {
        while !state.stopping.get() {
            if !state.registered.get() && !self.store.is_unavailable() {
                let is_registered = self.write(Some(self.value.clone())).await;
                state.registered.set(is_registered);
                if is_registered {
                    state.budget_client.record_registration();
                }
            }
            let expired = state.peer_client.peers.borrow().expired(state.now_ms());
            for (name, version) in expired {
                self.remove_peer(&state, name, version).await;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Removes the row of this VM, before it stops.
    pub(crate) async fn unregister(&self) {
        self.write(None).await;
    }

    /// Writes the row of this VM, or deletes it if `value` is `None`; `false` if
    /// that fails.
    async fn write(&self, value: Option<Vec<u8>>) -> bool {
        let mut expected_version = 0;
        for _ in 0..WRITE_ATTEMPTS {
            let write = RowWrite {
                key: self.key.clone(),
                expected_version,
                value: value.clone(),
            };
            match self.store.call(&StoreCall::Transact(vec![write])).await {
                Ok(StoreReply::Conflict(rows)) => {
                    let row = rows.first().filter(|row| row.value.is_some());
                    expected_version = row.map_or(0, |row| row.version);
                }
                Ok(_) => return true,
                Err(error) => {
                    log::warn!(error = error.to_string(); "cannot write the row of this VM");
                    return false;
                }
            }
        }
        false
    }

    async fn remove_peer(&self, state: &DaemonState, name: CompactString, version: u64) {
        log::info!(peer = name.as_str(); "removing the row of an unresponsive VM");
        let write = RowWrite {
            key: row_key(name.clone()),
            expected_version: version,
            value: None,
        };
        let removed = self.store.call(&StoreCall::Transact(vec![write])).await;
        if removed.is_ok() {
            let now_ms = state.now_ms();
            state.peer_client.peers.borrow_mut().remove(&name, now_ms);
        }
    }
}

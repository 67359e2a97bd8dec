//! Entry of this VM in the store, by which others find it.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use lagoon_gateway::{PeerEntry, RowKey, RowWrite, StoreCall, StoreReply};
use tokio::time::sleep;

use crate::settings::EntrySettings;
use crate::shared::Shared;
use crate::store::StoreClient;

/// Table of the entries.
pub(crate) const PEER_TABLE: &str = "vms";

/// Time between two looks at whether the entry is there.
const LOOK_PERIOD: Duration = Duration::from_millis(500);

/// Conflicts with entries of earlier incarnations.
const TRIES: u32 = 3;

/// Entry of this VM.
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
        };
        Registration {
            store,
            key: row_key(settings.vm.name.clone()),
            // A struct of texts always serializes.
            value: serde_json::to_vec(&entry).unwrap_or_default(),
        }
    }

    /// Sees to it that the entry is there, and that those of VMs that are
    /// long gone are not.
    pub(crate) async fn keep(self: Rc<Self>, shared: Rc<Shared>) {
        while !shared.stopping.get() {
            if !shared.registered.get() && !self.store.is_away() {
                shared
                    .registered
                    .set(self.write(Some(self.value.clone())).await);
            }
            let gone = shared.peers.peers.borrow().expired(shared.now_ms());
            for (name, version) in gone {
                self.remove_other(&shared, name, version).await;
            }
            sleep(LOOK_PERIOD).await;
        }
    }

    /// Takes the entry away before a stop.
    pub(crate) async fn remove(&self) {
        self.write(None).await;
    }

    async fn write(&self, value: Option<Vec<u8>>) -> bool {
        let mut expected = 0;
        for _ in 0..TRIES {
            let write = RowWrite {
                key: self.key.clone(),
                expected_version: expected,
                value: value.clone(),
            };
            match self.store.call(&StoreCall::Transact(vec![write])).await {
                Ok(StoreReply::Conflict(rows)) => {
                    let row = rows.first().filter(|row| row.value.is_some());
                    expected = row.map_or(0, |row| row.version);
                }
                Ok(_) => return true,
                Err(error) => {
                    log::warn!(error = error.to_string(); "own entry not written");
                    return false;
                }
            }
        }
        false
    }

    async fn remove_other(&self, shared: &Shared, name: CompactString, version: u64) {
        log::info!(peer = name.as_str(); "VM is gone");
        let write = RowWrite {
            key: row_key(name.clone()),
            expected_version: version,
            value: None,
        };
        let removed = self.store.call(&StoreCall::Transact(vec![write])).await;
        if removed.is_ok() {
            shared.peers.peers.borrow_mut().remove(&name);
        }
    }
}

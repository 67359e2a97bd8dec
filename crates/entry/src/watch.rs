//! Following the configuration and the list of targets in the store.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use lagoon_adapter::{decode_config, decode_target, CONFIG_KEY, OPERATOR_TABLE, TARGET_TABLE};
use lagoon_gateway::{ProgramKey, Row, StoreCall, StoreError, StoreReply, TargetEntry};
use tokio::time::sleep;

use crate::ledger::OVERDRAWN_TABLE;
use crate::registration::PEER_TABLE;
use crate::shared::Shared;
use crate::store::StoreClient;
use crate::suspects::SUSPECT_TABLE;

/// Longest wait of one watch: a connection that went silent is noticed soon
/// after.
const WATCH_WAIT_MS: u64 = 10_000;

/// The same for tables on which no bound of time rests.
const SLOW_WATCH_WAIT_MS: u64 = 30_000;

/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Silence of the store after which entries may have lapsed in it.
const OUTAGE_MS: u64 = 1_000;

/// Follows one table for good.
pub(crate) async fn follow(shared: Rc<Shared>, store: Rc<StoreClient>, table: Table) {
    let mut follower = Follower {
        shared,
        store,
        table,
        version: 0,
        failing_since_ms: None,
    };
    loop {
        if let Err(error) = follower.read_all().await {
            follower.failed(&error);
            sleep(RETRY_PAUSE).await;
            continue;
        }
        follower.watch().await;
    }
}

/// Table that is followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Table {
    Config,
    Targets,
    Peers,
    Overdrawn,
    Suspects,
}

impl Table {
    fn name(self) -> CompactString {
        CompactString::const_new(match self {
            Table::Config => OPERATOR_TABLE,
            Table::Targets => TARGET_TABLE,
            Table::Peers => PEER_TABLE,
            Table::Overdrawn => OVERDRAWN_TABLE,
            Table::Suspects => SUSPECT_TABLE,
        })
    }

    /// Longest wait of one watch.
    fn wait_ms(self) -> u64 {
        match self {
            Table::Config | Table::Targets => WATCH_WAIT_MS,
            Table::Peers | Table::Overdrawn | Table::Suspects => SLOW_WATCH_WAIT_MS,
        }
    }
}

struct Follower {
    shared: Rc<Shared>,
    store: Rc<StoreClient>,
    table: Table,
    /// Newest version of the store that is known.
    version: u64,
    failing_since_ms: Option<u64>,
}

impl Follower {
    fn failed(&mut self, error: &StoreError) {
        let now_ms = self.shared.now_ms();
        if self.failing_since_ms.is_none() {
            self.failing_since_ms = Some(now_ms);
            log::warn!(table = self.table.name().as_str(), version = self.version, error = error.to_string(); "feed lost");
        }
    }

    fn succeeded(&mut self) {
        let now_ms = self.shared.now_ms();
        if let Some(since_ms) = self.failing_since_ms.take() {
            let away_ms = now_ms - since_ms;
            log::info!(table = self.table.name().as_str(), away_ms, version = self.version; "feed is back");
            if away_ms >= OUTAGE_MS {
                self.shared.targets.borrow_mut().on_store_recovered(now_ms);
            }
        }
    }

    /// Reads the whole table.
    async fn read_all(&mut self) -> Result<(), StoreError> {
        let mut rows: Vec<Row> = Vec::new();
        let mut from = CompactString::default();
        let mut first_version = None;
        loop {
            let call = StoreCall::Read {
                table: self.table.name(),
                partition: CompactString::default(),
                from_key: from.clone(),
            };
            let StoreReply::Rows {
                rows: page,
                has_more,
                version,
            } = self.store.call(&call).await?
            else {
                return Err(StoreError::NoReply("reply of another call".into()));
            };
            // Pages are of different moments; the feed from the first one on
            // brings what changed between them.
            first_version.get_or_insert(version);
            if let Some(last) = page.last() {
                from = compact_str::format_compact!("{}\0", last.key.key);
            }
            rows.extend(page);
            if !has_more {
                break;
            }
        }
        let version = first_version.unwrap_or_default();
        if version < self.version {
            return Err(StoreError::NoReply("read is older than the feed".into()));
        }
        self.succeeded();
        self.version = version;
        self.take_all(rows);
        Ok(())
    }

    /// Takes changes until the feed ends.
    async fn watch(&mut self) {
        loop {
            let call = StoreCall::Watch {
                table: self.table.name(),
                after_version: self.version,
                wait_ms: self.table.wait_ms(),
            };
            match self.store.call(&call).await {
                Ok(StoreReply::Rows { rows, version, .. }) => {
                    self.succeeded();
                    let newest = rows.iter().map(|row| row.version).max();
                    self.version = self.version.max(version).max(newest.unwrap_or_default());
                    rows.into_iter().for_each(|row| self.take(row));
                    self.publish();
                }
                Ok(StoreReply::Compacted) => {
                    log::info!(table = self.table.name().as_str(), version = self.version; "history lost, reading all");
                    return;
                }
                Ok(_) => return,
                Err(error) => {
                    self.failed(&error);
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    fn take_all(&mut self, rows: Vec<Row>) {
        match self.table {
            Table::Config | Table::Overdrawn | Table::Suspects => {
                rows.into_iter().for_each(|row| self.take(row));
            }
            Table::Peers => {
                let listed = |name: &str| rows.iter().any(|row| row.key.key == name);
                self.shared.peers.peers.borrow_mut().retain(listed);
                if !listed(self.shared.peers.peers.borrow().own_name()) {
                    self.shared.registered.set(false);
                }
                rows.into_iter().for_each(|row| self.take(row));
            }
            Table::Targets => {
                let entries = rows.iter().filter_map(entry).collect();
                let now_ms = self.shared.now_ms();
                self.shared.targets.borrow_mut().replace(entries, now_ms);
                self.shared.targets_known.set(true);
            }
        }
        self.publish();
    }

    fn take(&mut self, row: Row) {
        match self.table {
            Table::Config if row.key.key == CONFIG_KEY => self.take_config(&row),
            Table::Config => {}
            Table::Targets => self.take_target(&row),
            Table::Peers => self.take_peer(row),
            Table::Overdrawn => {
                let program = ProgramKey(row.key.key);
                let ledger = &self.shared.ledger;
                ledger.set_overdrawn(program, row.value.is_some());
            }
            Table::Suspects => self.shared.crashes.take(&row),
        }
    }

    fn take_peer(&mut self, row: Row) {
        let mut peers = self.shared.peers.peers.borrow_mut();
        let name = row.key.key;
        let Some(value) = row.value else {
            if name == peers.own_name() {
                self.shared.registered.set(false);
            }
            peers.remove(&name);
            return;
        };
        match serde_json::from_slice(&value) {
            Ok(entry) => peers.upsert(name, entry, row.version),
            Err(error) => {
                log::warn!(peer = name.as_str(), error = error.to_string(); "entry names no VM");
                peers.remove(&name);
            }
        }
    }

    fn take_config(&mut self, row: &Row) {
        let Some(value) = &row.value else {
            log::warn!(row_version = row.version; "configuration was removed, the last one stays");
            return;
        };
        let config = match decode_config(value) {
            Ok(config) => config,
            Err(error) => {
                log::error!(row_version = row.version, error = error.to_string(); "configuration ignored");
                return;
            }
        };
        let mut known = self.shared.config.borrow_mut();
        let known_version = known.as_ref().map_or(0, |config| config.version);
        if config.version <= known_version && known.is_some() {
            return;
        }
        log::info!(version = config.version, before = known_version; "configuration in force");
        *known = Some(Rc::new(config));
    }

    fn take_target(&mut self, row: &Row) {
        let now_ms = self.shared.now_ms();
        let id = row.key.key.as_str();
        let mut targets = self.shared.targets.borrow_mut();
        match (&row.value, entry(row)) {
            (None, _) => {
                log::info!(target_id = id, row_version = row.version; "target left the list");
                targets.remove(id, now_ms);
            }
            (Some(_), Some(entry)) => {
                log::info!(target_id = id, state = entry.status.to_string(), row_version = row.version; "target changed");
                targets.upsert(entry);
            }
            (Some(_), None) => targets.remove(id, now_ms),
        }
    }

    fn publish(&self) {
        let shared = &self.shared;
        shared.metrics.targets(shared.targets.borrow().len());
        shared.metrics.vms(shared.peers.peers.borrow().len());
        if let Some(config) = shared.config.borrow().as_ref() {
            shared.metrics.config_version(config.version);
        }
    }
}

/// Target of a row, if it names one.
fn entry(row: &Row) -> Option<TargetEntry> {
    let value = row.value.as_deref()?;
    match decode_target(&row.key.key, value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log::warn!(target_id = row.key.key.as_str(), error = error.to_string(); "entry names no target");
            None
        }
    }
}

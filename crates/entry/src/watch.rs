//! Follows the store's tables: configuration, targets, VMs, overdrawn programs
//! and crashes of targets.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use futures::stream::{FuturesUnordered, StreamExt};
use lagoon_accounts::Accounts;
use lagoon_adapter::{decode_config, decode_target, CONFIG_KEY, OPERATOR_TABLE, TARGET_TABLE};
use lagoon_gateway::{
    evidence_ms, AccountRates, Config, ProgramKey, Row, SentinelTable, StoreCall, StoreError,
    StoreReply, TargetEntry, TargetStatus, WatchDuration,
};
use lagoon_ids::FastSet;
use tokio::time::sleep;

use crate::clock::boot_now_ms;
use crate::metrics::Metrics;
use crate::state::DaemonState;
use crate::store::StoreClient;
use crate::tables::{CRASH_TABLE, OVERDRAWN_TABLE, PEER_TABLE};

/// Maximum time that one watch waits for a change. An unresponsive connection
/// is noticed one reply timeout later.
const MAX_WAIT_MS: u64 = 10_000;

/// Like `MAX_WAIT_MS`, of a watch that is repeated as the reply to another one is overdue.
const REPEATED_MAX_WAIT_MS: u64 = 800;

/// Time after the maximum duration of a watch at which its reply is overdue and the
/// watch is repeated. The reply timeout of the store is too long for that: with it, a
/// sentinel whose reply was lost read a new configuration 2.5 s after its acknowledgement,
/// where 2 s are allowed for all VMs. A slow store takes about 250 ms for a reply.
const OVERDUE_AFTER: Duration = Duration::from_millis(300);

/// Like `MAX_WAIT_MS`, for tables whose changes may be noticed late.
const SLOW_MAX_WAIT_MS: u64 = 30_000;

/// In place of a row's version: there is no row. No configuration in force is as new.
const REMOVED: u64 = u64::MAX;

const RETRY_DELAY: Duration = Duration::from_millis(250);

pub(crate) async fn follow_table(
    state: Rc<DaemonState>,
    store: Rc<StoreClient>,
    table: FollowedTable,
) {
    let mut follower = TableFollower {
        state,
        store,
        table,
        version: 0,
        newest_config: 0,
        failing_since_ms: None,
    };
    loop {
        let started_ms = follower.state.now_ms();
        if let Err(error) = follower.read_all().await {
            follower.record_failure(&error, started_ms);
            sleep(RETRY_DELAY).await;
            continue;
        }
        follower.watch().await;
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FollowedTable {
    Config,
    Targets,
    Peers,
    Overdrawn,
    Crashes,
}

impl FollowedTable {
    fn name(self) -> CompactString {
        CompactString::const_new(match self {
            FollowedTable::Config => OPERATOR_TABLE,
            FollowedTable::Targets => TARGET_TABLE,
            FollowedTable::Peers => PEER_TABLE,
            FollowedTable::Overdrawn => OVERDRAWN_TABLE,
            FollowedTable::Crashes => CRASH_TABLE,
        })
    }

    /// Name of the task that follows the table.
    pub(crate) fn task_name(self) -> &'static str {
        match self {
            FollowedTable::Config => "feed of the configuration",
            FollowedTable::Targets => "feed of targets",
            FollowedTable::Peers => "feed of VMs",
            FollowedTable::Overdrawn => "feed of overdrawn programs",
            FollowedTable::Crashes => "feed of crashes",
        }
    }

    /// Minimum time between a change and the next watch. Changes that come
    /// together, as those of many VMs that start, are then read in one call.
    fn min_interval(self) -> Duration {
        Duration::from_millis(match self {
            FollowedTable::Config => 0,
            FollowedTable::Targets => 250,
            FollowedTable::Overdrawn => 200,
            FollowedTable::Crashes => 500,
            FollowedTable::Peers => 1_000,
        })
    }

    /// The table in the terms of sentinels; `None` if its changes may be noticed late.
    fn sentinel_table(self) -> Option<SentinelTable> {
        match self {
            FollowedTable::Config => Some(SentinelTable::Config),
            FollowedTable::Targets => Some(SentinelTable::Targets),
            FollowedTable::Overdrawn => Some(SentinelTable::Overdrawn),
            FollowedTable::Peers => Some(SentinelTable::Peers),
            FollowedTable::Crashes => None,
        }
    }

    /// Maximum duration of a long watch.
    fn max_wait_ms(self) -> u64 {
        match self {
            FollowedTable::Config | FollowedTable::Targets => MAX_WAIT_MS,
            FollowedTable::Peers | FollowedTable::Overdrawn | FollowedTable::Crashes => {
                SLOW_MAX_WAIT_MS
            }
        }
    }
}

/// Reply to a watch, with when it began and how long it was to wait.
struct Watched {
    began_ms: u64,
    wait_ms: u64,
    reply: Result<StoreReply, StoreError>,
}

struct TableFollower {
    state: Rc<DaemonState>,
    store: Rc<StoreClient>,
    table: FollowedTable,
    /// Newest known version of the store; 0 before the first read.
    version: u64,
    /// Version of the configuration's row when the table was last read or watched;
    /// `REMOVED` if there was none.
    newest_config: u64,
    /// Time of the first failed call since the last reply; `None` if there was
    /// none.
    failing_since_ms: Option<u64>,
}

impl TableFollower {
    /// Records the failure of a call that began at `started_ms`.
    fn record_failure(&mut self, error: &StoreError, started_ms: u64) {
        let now_ms = self.state.now_ms();
        let waited_ms = now_ms - started_ms;
        if self.failing_since_ms.is_none() {
            self.failing_since_ms = Some(now_ms);
            log::warn!(table = self.table.name().as_str(), version = self.version, waited_ms, error = error.to_string(); "feed lost");
        }
    }

    /// Records a reply with the store's `version` and these changes, which are the newest
    /// as of `evidence_ms`.
    fn record_success(&mut self, version: u64, rows: &[Row], evidence_ms: u64) {
        let now_ms = self.state.now_ms();
        if let Some(table) = self.table.sentinel_table() {
            let newest_change = rows.iter().map(|row| row.version).max();
            let mut sentinel = self.state.sentinel.borrow_mut();
            sentinel.on_reply(table, version, newest_change, evidence_ms);
        }
        if let Some(since_ms) = self.failing_since_ms.take() {
            let away_ms = now_ms - since_ms;
            log::info!(table = self.table.name().as_str(), away_ms, version = self.version; "feed is back");
        }
        // A watch may be silent for long after the store is back, so the grace
        // period of missing entries starts with the store's first reply instead.
        if let Some(recovered_ms) = self.store.recovered_ms() {
            let mut targets = self.state.targets.borrow_mut();
            targets.on_store_recovered(recovered_ms);
        }
    }

    /// Reads the whole table, page by page, and applies it.
    async fn read_all(&mut self) -> Result<(), StoreError> {
        let mut rows: Vec<Row> = Vec::new();
        let mut from_key = CompactString::default();
        let mut first_version = None;
        let began_ms = self.state.now_ms();
        let began_boot_ms = boot_now_ms();
        let evidence_ms = self.state.evidence_now_ms();
        loop {
            let call = StoreCall::Read {
                table: self.table.name(),
                partition: CompactString::default(),
                from_key: from_key.clone(),
            };
            let StoreReply::Rows {
                rows: page,
                has_more,
                version,
            } = self.store.call(&call).await?
            else {
                return Err(StoreError::NoReply("reply to another call".into()));
            };
            // Pages may have different versions. The watch starts at the
            // version of the first page, so it also reports what changed while
            // later pages were read.
            first_version.get_or_insert(version);
            if let Some(last) = page.last() {
                from_key = compact_str::format_compact!("{}\0", last.key.key);
            }
            rows.extend(page);
            if !has_more {
                break;
            }
        }
        let version = first_version.unwrap_or_default();
        if version < self.version {
            return Err(StoreError::NoReply(
                "read is older than the known version".into(),
            ));
        }
        let budget_client = &self.state.budget_client;
        budget_client.record_store_version(version, began_ms);
        self.record_success(version, &rows, evidence_ms);
        self.version = version;
        self.newest_config = newest_config(&rows).unwrap_or(REMOVED);
        self.apply_all(rows);
        self.record_evidence(began_boot_ms);
        Ok(())
    }

    /// Watches the table and applies its changes. Returns when the watch can't
    /// be continued, so that the whole table must be read again.
    async fn watch(&mut self) {
        loop {
            let wait_ms = self.start_watch();
            let recoveries = self.store.recoveries();
            let started_ms = self.state.now_ms();
            let started_boot_ms = boot_now_ms();
            let watched = tokio::select! {
                watched = self.call_watch(wait_ms) => watched,
                () = self.renewal_due() => {
                    self.log_renewal(started_ms);
                    self.store.close_idle();
                    continue;
                }
            };
            match watched.reply {
                Ok(StoreReply::Rows { rows, version, .. }) => {
                    let is_changed = !rows.is_empty();
                    let newest = rows.iter().map(|row| row.version).max();
                    self.version = self.version.max(version).max(newest.unwrap_or_default());
                    let now_ms = self.state.evidence_now_ms();
                    let evidence_ms =
                        evidence_ms(watched.began_ms, watched.wait_ms, !is_changed, now_ms);
                    self.record_success(self.version, &rows, evidence_ms);
                    self.newest_config = newest_config(&rows).unwrap_or(self.newest_config);
                    rows.into_iter().for_each(|row| self.apply(row));
                    self.record_evidence(started_boot_ms);
                    self.update_gauges();
                    if is_changed {
                        sleep(self.table.min_interval()).await;
                    }
                }
                Ok(StoreReply::Compacted) => {
                    log::info!(table = self.table.name().as_str(), version = self.version; "change history is lost; reading the whole table");
                    return;
                }
                Ok(_) => return,
                Err(error) => {
                    self.record_failure(&error, started_ms);
                    if self.store.recoveries() != recoveries {
                        continue;
                    }
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn log_renewal(&self, started_ms: u64) {
        let waited_ms = self.state.now_ms() - started_ms;
        let table = self.table.sentinel_table();
        let sentinel = self.state.sentinel.borrow();
        let now_ms = self.state.evidence_now_ms();
        let age_ms = table.and_then(|table| sentinel.evidence_age_ms(table, now_ms));
        let evidence_age_ms = age_ms.map_or(-1, |age_ms| age_ms as i64);
        let voucher = table.and_then(|table| sentinel.voucher(table));
        let voucher = voucher.map_or_else(String::new, |address| address.to_string());
        log::info!(table = self.table.name().as_str(), version = self.version, waited_ms, evidence_age_ms, sentinel = voucher.as_str(); "watch renewed");
    }

    /// Executes a watch that waits for `wait_ms` at most, and returns its first reply.
    /// While that is overdue, a short watch is added on another connection, as the fault
    /// that lost one reply may have lost the next, too. None is added while the store counts
    /// as unavailable, so that it isn't called more often then.
    async fn call_watch(&self, wait_ms: u64) -> Watched {
        let repeated_wait_ms = wait_ms.min(REPEATED_MAX_WAIT_MS);
        let mut overdue_after = Duration::from_millis(wait_ms) + OVERDUE_AFTER;
        let mut calls = FuturesUnordered::new();
        calls.push(self.call_once(wait_ms));
        loop {
            tokio::select! {
                Some(watched) = calls.next() => match watched.reply {
                    Err(_) if !calls.is_empty() => {}
                    _ => return watched,
                },
                () = sleep(overdue_after), if !self.store.is_unavailable() => {
                    log::info!(table = self.table.name().as_str(), version = self.version; "watch repeated, as its reply is overdue");
                    self.store.close_idle();
                    calls.push(self.call_once(repeated_wait_ms));
                    overdue_after = Duration::from_millis(repeated_wait_ms) + OVERDUE_AFTER;
                }
            }
        }
    }

    async fn call_once(&self, wait_ms: u64) -> Watched {
        let watch = StoreCall::Watch {
            table: self.table.name(),
            after_version: self.version,
            wait_ms,
        };
        Watched {
            began_ms: self.state.evidence_now_ms(),
            wait_ms,
            reply: self.store.call(&watch).await,
        }
    }

    /// Records that the configuration was read by a call that began at `began_ms`.
    fn record_evidence(&self, began_ms: Option<u64>) {
        if self.table == FollowedTable::Config {
            self.state.evidence.record(began_ms, self.newest_config);
        }
    }

    /// Records that a watch begins; returns its maximum duration.
    fn start_watch(&self) -> u64 {
        let max_watch_ms = self.state.evidence.max_watch_ms();
        if let (FollowedTable::Config, Some(max_watch_ms)) = (self.table, max_watch_ms) {
            return max_watch_ms;
        }
        let Some(table) = self.table.sentinel_table() else {
            return self.table.max_wait_ms();
        };
        let now_ms = self.state.evidence_now_ms();
        let duration = {
            let mut sentinel = self.state.sentinel.borrow_mut();
            sentinel.watch_started(table, now_ms)
        };
        match duration {
            // A VM without requests may have no other call that shows that the store
            // replies again.
            WatchDuration::Long if self.store.is_failing() => REPEATED_MAX_WAIT_MS,
            WatchDuration::Long => self.table.max_wait_ms(),
            WatchDuration::ShortMs(wait_ms) => wait_ms,
        }
    }

    async fn renewal_due(&self) {
        match self.table.sentinel_table() {
            Some(table) => self.state.renewal_due(table).await,
            None => std::future::pending().await,
        }
    }

    fn apply_all(&mut self, rows: Vec<Row>) {
        match self.table {
            FollowedTable::Config | FollowedTable::Overdrawn | FollowedTable::Crashes => {
                rows.into_iter().for_each(|row| self.apply(row));
            }
            FollowedTable::Peers => {
                let is_listed = |name: &str| rows.iter().any(|row| row.key.key == name);
                let now_ms = self.state.now_ms();
                let peer_client = &self.state.peer_client;
                peer_client.peers.borrow_mut().retain(is_listed, now_ms);
                if !is_listed(self.state.peer_client.peers.borrow().own_name()) {
                    self.state.registered.set(false);
                }
                rows.into_iter().for_each(|row| self.apply(row));
            }
            FollowedTable::Targets => {
                let listed: FastSet<&str> = rows.iter().map(|row| row.key.key.as_str()).collect();
                let now_ms = self.state.now_ms();
                let mut targets = self.state.targets.borrow_mut();
                targets.retain(|id| listed.contains(id), now_ms);
                drop(targets);
                for row in &rows {
                    self.apply_target_value(row);
                }
                self.state.targets_loaded.set(true);
            }
        }
        self.update_gauges();
    }

    fn apply(&mut self, row: Row) {
        match self.table {
            FollowedTable::Config if row.key.key == CONFIG_KEY => apply_config(&self.state, &row),
            FollowedTable::Config => {}
            FollowedTable::Targets => self.apply_target(&row),
            FollowedTable::Peers => self.apply_peer(row),
            FollowedTable::Overdrawn => {
                let program = ProgramKey(row.key.key);
                let budget_client = &self.state.budget_client;
                budget_client.set_overdrawn(program, row.value.is_some());
            }
            FollowedTable::Crashes => self.state.crash_tracker.apply_row(&row),
        }
    }

    fn apply_peer(&mut self, row: Row) {
        let now_ms = self.state.now_ms();
        let mut peers = self.state.peer_client.peers.borrow_mut();
        let name = row.key.key;
        let Some(value) = row.value else {
            if name == peers.own_name() {
                self.state.registered.set(false);
            }
            peers.remove(&name, now_ms);
            return;
        };
        match serde_json::from_slice(&value) {
            Ok(entry) => {
                peers.upsert(name, entry, row.version);
            }
            Err(error) => {
                self.state.metrics.record_invalid_row(PEER_TABLE);
                log::warn!(peer = name.as_str(), row_version = row.version, error = error.to_string(); "invalid entry of a VM");
                if name == peers.own_name() {
                    self.state.registered.set(false);
                }
                peers.remove(&name, now_ms);
            }
        }
    }

    fn apply_target(&self, row: &Row) {
        let id = row.key.key.as_str();
        if row.value.is_some() {
            if let Some(status) = self.apply_target_value(row) {
                log::info!(target_id = id, state = status.to_string(), row_version = row.version; "target changed");
            }
            return;
        }
        log::info!(target_id = id, row_version = row.version; "target removed");
        let now_ms = self.state.now_ms();
        self.state.targets.borrow_mut().remove(id, now_ms);
    }

    /// Applies the row of a target that was not removed; returns its status, or `None`
    /// if the row is invalid.
    fn apply_target_value(&self, row: &Row) -> Option<TargetStatus> {
        let state = &self.state;
        let id = row.key.key.as_str();
        let mut targets = state.targets.borrow_mut();
        let Some(entry) = decode_entry(row, &state.metrics) else {
            targets.suspend(id);
            return None;
        };
        let status = entry.status;
        let config = state.config.borrow();
        let is_named = |config: &Rc<Config>| config.service(&entry.service).is_some();
        if config.as_ref().is_none_or(is_named) {
            targets.upsert(entry);
            return Some(status);
        }
        let service = entry.service.clone();
        if targets.hold(entry) {
            state.metrics.record_invalid_row(TARGET_TABLE);
            log::warn!(target_id = id, row_version = row.version, service = service.as_str(); "entry of a target has a service that the configuration doesn't name");
            return None;
        }
        Some(status)
    }

    fn update_gauges(&self) {
        let state = &self.state;
        if self.table == FollowedTable::Peers {
            state.peer_client.set_listing_read();
        }
        let targets = state.targets.borrow();
        state.metrics.set_targets(targets.len());
        state.metrics.set_leaving_targets(targets.leaving_count());
        state.metrics.set_limited_targets(targets.limited_count());
        state
            .metrics
            .set_other_vms(state.peer_client.peers.borrow().len());
        if let Some(config) = state.config.borrow().as_ref() {
            state.metrics.set_config_version(config.version);
        }
    }
}

/// Version of the configuration's row among these; `None` if it isn't among them.
fn newest_config(rows: &[Row]) -> Option<u64> {
    let rows = rows.iter().filter(|row| row.key.key == CONFIG_KEY);
    rows.map(|row| row.version).max()
}

/// Puts the configuration in a row in force, if it is newer than the one that is.
pub(crate) fn apply_config(state: &DaemonState, row: &Row) {
    let Some(value) = &row.value else {
        log::warn!(row_version = row.version; "configuration was removed; the last one stays in force");
        return;
    };
    let decoded = match decode_config(value) {
        Ok(decoded) => decoded,
        Err(error) => {
            state.metrics.record_invalid_row(OPERATOR_TABLE);
            log::error!(row_version = row.version, error = error.to_string(); "configuration ignored");
            state.evidence.refuse(row.version);
            return;
        }
    };
    let config = decoded.config;
    let mut known = state.config.borrow_mut();
    let known_version = known.as_ref().map_or(0, |config| config.version);
    if known.as_deref() == Some(&config) {
        state.evidence.put_in_force(row.version, value);
        return;
    }
    if config.version <= known_version && known.is_some() {
        if row.version > state.evidence.version() {
            state.evidence.refuse(row.version);
            log::error!(row_version = row.version, version = config.version, in_force = known_version; "configuration ignored, as its version has not grown");
        }
        return;
    }
    log::info!(version = config.version, before = known_version, row_version = row.version; "configuration in force");
    for error in &decoded.invalid {
        state.metrics.record_invalid_row(OPERATOR_TABLE);
        log::error!(version = config.version, row_version = row.version, error = error.to_string(); "part of the configuration ignored");
    }
    for adjusted in &decoded.adjusted {
        log::warn!(version = config.version, row_version = row.version, detail = adjusted.to_string(); "part of the configuration is not used as written");
    }
    let mut targets = state.targets.borrow_mut();
    targets.release_held(|service| config.service(service).is_some());
    let retention_ms = config.max_turn_retention_ms();
    state.turn_keeper.record_retention(retention_ms);
    state.idle_limit.set(&config.limits);
    let rates = account_rates(&config);
    state.admission.borrow_mut().set_account_rates(rates);
    *known = Some(Rc::new(config));
    state.evidence.put_in_force(row.version, value);
}

/// Rates of the quotas of a configuration's accounts.
fn account_rates(config: &Config) -> AccountRates {
    let accounts = config.accounts.iter().flat_map(Accounts::iter);
    let rates = accounts.filter_map(|account| {
        let rate_per_s = account.quota?.rate_per_s;
        Some((account.hash as u32, rate_per_s))
    });
    AccountRates::new(rates.collect())
}

/// Decodes the row of a target; `None` for a removed or invalid one.
pub(crate) fn decode_entry(row: &Row, metrics: &Metrics) -> Option<TargetEntry> {
    let value = row.value.as_deref()?;
    match decode_target(&row.key.key, value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            metrics.record_invalid_row(TARGET_TABLE);
            log::warn!(target_id = row.key.key.as_str(), row_version = row.version, error = error.to_string(); "invalid entry of a target");
            None
        }
    }
}

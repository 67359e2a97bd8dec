//! Simulated store: versioned rows, conditional transactions and watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use lagoon_adapter::standin::{decode_store_call, encode_store_reply, encode_target};
use lagoon_adapter::{decode_target, CONFIG_KEY, OPERATOR_TABLE, TARGET_TABLE};
use lagoon_gateway::{Row, RowKey, RowWrite, StoreCall, StoreReply, TargetEntry};
use tokio::time::sleep;

use super::{full_response, serve, ConnectionAborted, HttpResponse};

const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Fault injected into the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Every call is rejected with 503.
    Unavailable,
    /// Transactions that write this table are rejected with 429.
    TableOverloaded(&'static str),
    /// The next transaction is applied and its reply is dropped; the fault then ends.
    DropReply,
    /// Calls of this table get no reply, also after the fault, and neither do watches
    /// that began before it.
    TableSilent(&'static str),
}

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<RowKey, Row>,
    fault: StoreFault,
    transaction_count: u64,
    /// Watches by table.
    watch_counts: BTreeMap<CompactString, u64>,
}

/// Handle of a simulated store.
#[derive(Clone)]
pub struct Store {
    /// Address of its HTTP server, on loopback.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Addresses of targets by those in their rows.
type ShownAddresses = Arc<Mutex<BTreeMap<SocketAddr, SocketAddr>>>;

/// Server of a store that lists targets at other addresses.
#[derive(Clone, Debug)]
pub struct StoreView {
    /// Address of its HTTP server, on loopback.
    pub address: SocketAddr,
    addresses: ShownAddresses,
    is_rejecting: Arc<AtomicBool>,
}

impl StoreView {
    /// Sets whether this server rejects every call with 503, while the store serves
    /// others.
    pub fn set_rejecting(&self, is_rejecting: bool) {
        self.is_rejecting.store(is_rejecting, Ordering::SeqCst);
    }

    /// Shows the target that is listed at one address at another one, in all rows
    /// that are read from now on.
    pub fn show(&self, listed: SocketAddr, shown: SocketAddr) {
        let mut addresses = self
            .addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        addresses.insert(listed, shown);
    }
}

impl Store {
    /// Starts an empty store on a free loopback port.
    pub fn start() -> Store {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let address = serve(Arc::default(), move |request| {
            handle(Arc::clone(&shared), Arc::default(), request)
        });
        Store { address, state }
    }

    /// Starts a second server of the same store, whose rows of targets can have other
    /// addresses.
    pub fn start_view(&self) -> StoreView {
        let addresses = ShownAddresses::default();
        let is_rejecting = Arc::new(AtomicBool::new(false));
        let (state, shared) = (Arc::clone(&self.state), Arc::clone(&addresses));
        let rejects = Arc::clone(&is_rejecting);
        let address = serve(Arc::default(), move |request| {
            let (state, shared) = (Arc::clone(&state), Arc::clone(&shared));
            let rejects = rejects.load(Ordering::SeqCst);
            async move {
                if rejects {
                    return Ok(full_response(StatusCode::SERVICE_UNAVAILABLE, Vec::new()));
                }
                handle(state, shared, request).await
            }
        });
        StoreView {
            address,
            addresses,
            is_rejecting,
        }
    }

    /// Injects a fault; [`StoreFault::None`] ends it.
    pub fn set_fault(&self, fault: StoreFault) {
        lock(&self.state).fault = fault;
    }

    /// Writes the configuration row.
    pub fn configure(&self, config: &str) {
        self.put(OPERATOR_TABLE, CONFIG_KEY, Some(config.into()));
    }

    /// Adds a target to the target table, or replaces its row.
    pub fn add_target(&self, entry: &TargetEntry) {
        let value = encode_target(entry);
        self.put(TARGET_TABLE, &entry.id, Some(value));
    }

    /// Deletes the target's row from the target table; watchers get the row without a
    /// value.
    pub fn remove_target(&self, id: &str) {
        self.put(TARGET_TABLE, id, None);
    }

    /// Writes a row unconditionally; `None` deletes it.
    pub fn put(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let key = RowKey {
            table: table.into(),
            partition: "".into(),
            key: key.into(),
        };
        self.put_row(key, value);
    }

    /// Like [`Store::put`], for a row of any partition.
    pub fn put_row(&self, key: RowKey, value: Option<Vec<u8>>) {
        let mut state = lock(&self.state);
        let expected = state.version_of(&key);
        state.apply(&[RowWrite {
            key,
            expected_version: expected,
            value,
        }]);
    }

    /// Values of all rows of a table that are not deleted.
    pub fn values(&self, table: &str) -> Vec<Vec<u8>> {
        let state = lock(&self.state);
        let rows = state.rows.values().filter(|row| row.key.table == table);
        rows.filter_map(|row| row.value.clone()).collect()
    }

    /// Watches of a table that began.
    pub fn watch_count(&self, table: &str) -> u64 {
        let state = lock(&self.state);
        state.watch_counts.get(table).copied().unwrap_or_default()
    }

    /// Transactions received over HTTP, including those that ended in a conflict.
    pub fn transaction_count(&self) -> u64 {
        lock(&self.state).transaction_count
    }
}

impl State {
    fn version_of(&self, key: &RowKey) -> u64 {
        let row = self.rows.get(key).filter(|row| row.value.is_some());
        row.map_or(0, |row| row.version)
    }

    fn apply(&mut self, writes: &[RowWrite]) -> StoreReply {
        let version_matches =
            |write: &RowWrite| self.version_of(&write.key) == write.expected_version;
        if !writes.iter().all(version_matches) {
            let rows = writes.iter().filter_map(|write| self.rows.get(&write.key));
            let rows = rows.filter(|row| row.value.is_some());
            return StoreReply::Conflict(rows.cloned().collect());
        }
        self.version += 1;
        for write in writes {
            let row = Row {
                key: write.key.clone(),
                value: write.value.clone(),
                version: self.version,
            };
            self.rows.insert(write.key.clone(), row);
        }
        StoreReply::Applied {
            version: self.version,
        }
    }

    fn read(&self, table: &str, part: &str, from: &str, to: Option<&str>) -> StoreReply {
        let rows = self.rows.values().filter(|row| {
            let key = &row.key;
            key.table == table
                && key.partition == part
                && key.key.as_str() >= from
                && to.is_none_or(|to| key.key.as_str() < to)
                && row.value.is_some()
        });
        StoreReply::Rows {
            rows: rows.cloned().collect(),
            has_more: false,
            version: self.version,
        }
    }

    fn changes(&self, table: &str, after: u64) -> Vec<Row> {
        let rows = self.rows.values();
        let changed = rows.filter(|row| row.key.table == table && row.version > after);
        let mut changed: Vec<Row> = changed.cloned().collect();
        changed.sort_by_key(|row| row.version);
        changed
    }
}

/// Replaces addresses in the rows of targets.
fn show_addresses(rows: &mut [Row], addresses: &ShownAddresses) {
    let addresses = addresses.lock().unwrap_or_else(PoisonError::into_inner);
    for row in rows.iter_mut().filter(|row| row.key.table == TARGET_TABLE) {
        let Some(value) = &row.value else {
            continue;
        };
        let Ok(mut entry) = decode_target(&row.key.key, value) else {
            continue;
        };
        if let Some(shown) = addresses.get(&entry.address) {
            entry.address = *shown;
            row.value = Some(encode_target(&entry));
        }
    }
}

async fn handle(
    state: Arc<Mutex<State>>,
    addresses: ShownAddresses,
    request: Request<Incoming>,
) -> Result<HttpResponse, ConnectionAborted> {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|_| ConnectionAborted)?;
    let Ok(call) = decode_store_call(&path, &query, &body.to_bytes()) else {
        return Ok(full_response(StatusCode::NOT_FOUND, Vec::new()));
    };
    if lock(&state).fault == StoreFault::Unavailable {
        return Ok(full_response(StatusCode::SERVICE_UNAVAILABLE, Vec::new()));
    }
    let silent_table = match lock(&state).fault {
        StoreFault::TableSilent(table) => Some(table),
        _ => None,
    };
    if silent_table.is_some_and(|table| is_call_of(&call, table)) {
        return std::future::pending().await;
    }
    let mut reply = match call {
        StoreCall::Transact(writes) => {
            let mut state = lock(&state);
            let is_overloaded = |write: &RowWrite| matches!(state.fault, StoreFault::TableOverloaded(table) if table == write.key.table);
            if writes.iter().any(is_overloaded) {
                return Ok(full_response(StatusCode::TOO_MANY_REQUESTS, Vec::new()));
            }
            let reply = state.apply(&writes);
            state.transaction_count += 1;
            if state.fault == StoreFault::DropReply {
                state.fault = StoreFault::None;
                return Err(ConnectionAborted);
            }
            reply
        }
        StoreCall::Read {
            table,
            partition: part,
            from_key: from,
        } => lock(&state).read(&table, &part, &from, None),
        StoreCall::ReadRange {
            table,
            partition: part,
            from_key: from,
            to_key: to,
        } => lock(&state).read(&table, &part, &from, Some(&to)),
        StoreCall::Watch {
            table,
            after_version: after,
            wait_ms,
        } => watch(&state, &table, after, wait_ms).await,
    };
    if let StoreReply::Rows { rows, .. } = &mut reply {
        show_addresses(rows, &addresses);
    }
    let (status, body) = encode_store_reply(&reply);
    let status = StatusCode::from_u16(status).map_err(|_| ConnectionAborted)?;
    Ok(full_response(status, body))
}

fn is_call_of(call: &StoreCall, name: &str) -> bool {
    match call {
        StoreCall::Transact(writes) => writes.iter().any(|write| write.key.table == name),
        StoreCall::Read { table, .. }
        | StoreCall::ReadRange { table, .. }
        | StoreCall::Watch { table, .. } => table == name,
    }
}

async fn watch(state: &Mutex<State>, table: &str, after: u64, wait_ms: u64) -> StoreReply {
    *lock(state).watch_counts.entry(table.into()).or_default() += 1;
    // Measured, not counted in intervals: these take longer than stated, so that a wait of
    // 800 ms took over 1,100 ms on a busy machine.
    let (started, wait) = (Instant::now(), Duration::from_millis(wait_ms));
    loop {
        let (rows, version, fault) = {
            let state = lock(state);
            (state.changes(table, after), state.version, state.fault)
        };
        if matches!(fault, StoreFault::TableSilent(silent) if silent == table) {
            return std::future::pending().await;
        }
        if !rows.is_empty() || started.elapsed() >= wait {
            return StoreReply::Rows {
                rows,
                has_more: false,
                version,
            };
        }
        sleep(WATCH_POLL_INTERVAL).await;
    }
}

//! Client of the platform's store.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::{BodyExt, Limited};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::Request;
use lagoon_adapter::{decode_store_reply, encode_store_call, Method};
use lagoon_gateway::{ReplyTimeout, StoreCall, StoreError, StoreReply};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::body::RequestBody;
use crate::clock::Clock;
use crate::connection::{Connection, ExchangeError};
use crate::metrics::Metrics;
use crate::tables::PEER_TABLE;

/// Timeout of a read; for a watch, in addition to the wait that it asks for.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of the read that probes the store; a slow store takes about a
/// quarter of a second for a read.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// Sorts after the keys of all VMs, so that a probe reads no row.
const AFTER_ALL_KEYS: &str = "~";

/// Outage of the store after which the watches in flight are taken for lost: it
/// may have dropped them without closing their connections.
const WATCH_LOSS_MS: u64 = 1_000;

/// Maximum size of a reply; the store sends one megabyte at most.
const MAX_REPLY_BYTES: usize = 4_000_000;

/// Consecutive failures from which the store counts as unavailable.
const UNAVAILABLE_FAILURES: u32 = 2;

/// HTTP status of a call beyond the store's rate limit.
const TOO_MANY_REQUESTS: u16 = 429;

/// Idle connections that are kept; further ones are closed after use.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Client that tracks whether the store is available, and how fast it replies.
pub(crate) struct StoreClient {
    address: SocketAddr,
    clock: Clock,
    metrics: Metrics,
    idle: RefCell<Vec<Connection>>,
    /// Time of the first failure since the last reply; `None` if there was
    /// none.
    failing_since_ms: Cell<Option<u64>>,
    /// Failures since the last reply, as weighted by [`failure_weight`].
    failures: Cell<u32>,
    reply_timeout: Cell<ReplyTimeout>,
    /// Notified at the end of an outage of at least [`WATCH_LOSS_MS`].
    recovered: Notify,
    /// Number of such outages that have ended.
    recoveries: Cell<u32>,
    /// End of the last one; `None` before the first.
    recovered_ms: Cell<Option<u64>>,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr, clock: Clock, metrics: Metrics) -> StoreClient {
        StoreClient {
            address,
            clock,
            metrics,
            idle: RefCell::default(),
            failing_since_ms: Cell::new(None),
            failures: Cell::new(0),
            reply_timeout: Cell::default(),
            recovered: Notify::new(),
            recoveries: Cell::new(0),
            recovered_ms: Cell::new(None),
        }
    }

    /// Number of outages that have ended and in which watches may have got lost.
    pub(crate) fn recoveries(&self) -> u32 {
        self.recoveries.get()
    }

    /// End of the last outage of at least [`WATCH_LOSS_MS`]; `None` before the first.
    pub(crate) fn recovered_ms(&self) -> Option<u64> {
        self.recovered_ms.get()
    }

    /// Counts a row of a reply that can't be used.
    pub(crate) fn record_invalid_row(&self, table: &str) {
        self.metrics.record_invalid_row(table);
    }

    /// Whether the store counts as unavailable after consecutive failures.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.failures.get() >= UNAVAILABLE_FAILURES
    }

    /// Whether a call has failed since the last reply.
    pub(crate) fn is_failing(&self) -> bool {
        self.failing_since_ms.get().is_some()
    }

    /// Closes idle connections. A fault that made one call silent may have cut them
    /// off too, without a sign.
    pub(crate) fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Probes the store with a read that returns no row; `true` if it fails.
    pub(crate) async fn read_fails(&self) -> bool {
        let call = StoreCall::Read {
            table: CompactString::const_new(PEER_TABLE),
            partition: CompactString::default(),
            from_key: CompactString::const_new(AFTER_ALL_KEYS),
        };
        let read = timeout(PROBE_TIMEOUT, self.call(&call)).await;
        !matches!(read, Ok(Ok(_)))
    }

    /// Executes a call, without retries. A watch fails at the end of an outage.
    pub(crate) async fn call(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let max_wait = match call {
            StoreCall::Watch { wait_ms, .. } => REPLY_TIMEOUT + Duration::from_millis(*wait_ms),
            StoreCall::Transact(_) => Duration::from_millis(self.reply_timeout.get().timeout_ms()),
            StoreCall::Read { .. } | StoreCall::ReadRange { .. } => REPLY_TIMEOUT,
        };
        let started_ms = self.clock.now_ms();
        let is_watch = matches!(call, StoreCall::Watch { .. });
        let reply = tokio::select! {
            reply = timeout(max_wait, self.exchange(call)) => match reply {
                Ok(reply) => reply,
                Err(_) => Err(StoreError::NoReply("no reply in time".into())),
            },
            () = self.recovered.notified(), if is_watch => {
                return Err(StoreError::NoReply("store was unavailable meanwhile".into()));
            }
        };
        if matches!(call, StoreCall::Transact(_)) {
            self.adapt_timeout(&reply, self.clock.now_ms() - started_ms);
        }
        self.record_outcome(call, &reply);
        reply
    }

    /// Adapts the timeout of transactions to how long replies take, and to lost
    /// replies.
    fn adapt_timeout(&self, reply: &Result<StoreReply, StoreError>, took_ms: u64) {
        let mut reply_timeout = self.reply_timeout.get();
        match reply {
            Ok(_) => reply_timeout.record_reply(took_ms),
            Err(StoreError::NoReply(_)) => reply_timeout.record_timeout(),
            Err(StoreError::NotSent(_) | StoreError::Refused(_)) => {}
        }
        self.reply_timeout.set(reply_timeout);
    }

    fn record_outcome(&self, call: &StoreCall, reply: &Result<StoreReply, StoreError>) {
        let name = match call {
            StoreCall::Transact(_) => "transact",
            StoreCall::Read { .. } | StoreCall::ReadRange { .. } => "read",
            StoreCall::Watch { .. } => "watch",
        };
        match reply {
            Ok(_) => {
                self.metrics.record_store_call(name, "reply");
                self.failures.set(0);
                if let Some(since_ms) = self.failing_since_ms.take() {
                    let away_ms = self.clock.now_ms() - since_ms;
                    log::info!(away_ms, renews_watches = away_ms >= WATCH_LOSS_MS; "store answers again");
                    if away_ms >= WATCH_LOSS_MS {
                        self.close_idle();
                        self.recoveries.set(self.recoveries.get() + 1);
                        self.recovered_ms.set(Some(self.clock.now_ms()));
                        self.recovered.notify_waiters();
                    }
                }
            }
            Err(error) => {
                self.metrics.record_store_call(name, "error");
                self.failures
                    .set(self.failures.get() + failure_weight(error));
                if self.failing_since_ms.get().is_none() {
                    self.failing_since_ms.set(Some(self.clock.now_ms()));
                    log::warn!(call = name, error = error.to_string(); "store lost");
                }
            }
        }
    }

    async fn exchange(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let encoded = encode_store_call(call);
        let method = match encoded.method {
            Method::Get => hyper::Method::GET,
            Method::Post => hyper::Method::POST,
        };
        let request = Request::builder()
            .method(method)
            .uri(encoded.path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(RequestBody::new([Bytes::from(encoded.body)]))
            .map_err(|error| StoreError::NotSent(error.to_string().into()))?;
        let idle_connection = self.take_idle();
        let mut connection = match idle_connection {
            Some(connection) => connection,
            None => Connection::open(self.address)
                .await
                .map_err(|error| store_error(error.into()))?,
        };
        let response = connection.send(request).await.map_err(store_error)?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_REPLY_BYTES)
            .collect()
            .await
            .map_err(|error| StoreError::NoReply(error.to_string().into()))?
            .to_bytes();
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
        drop(idle);
        decode_store_reply(call, status, &body)
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}

/// Number of failures that an error counts as; `UNAVAILABLE_FAILURES` makes the
/// store count as unavailable at once.
fn failure_weight(error: &StoreError) -> u32 {
    match error {
        // The store is available, but overloaded.
        StoreError::Refused(TOO_MANY_REQUESTS) => 0,
        StoreError::Refused(_) | StoreError::NotSent(_) => UNAVAILABLE_FAILURES,
        // A single reply may get lost although the store is available.
        StoreError::NoReply(_) => 1,
    }
}

fn store_error(error: ExchangeError) -> StoreError {
    match error {
        ExchangeError::NotSent(detail) => StoreError::NotSent(detail.into()),
        ExchangeError::Interrupted(detail) | ExchangeError::Invalid(detail) => {
            StoreError::NoReply(detail.into())
        }
    }
}

//! Client of the platform's store.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::Request;
use lagoon_adapter::{decode_store_reply, encode_store_call, Method};
use lagoon_gateway::{ReplyTimeout, StoreCall, StoreError, StoreReply};
use tokio::time::timeout;

use crate::clock::Clock;
use crate::connection::{Connection, ExchangeError};
use crate::metrics::Metrics;
use crate::registration::PEER_TABLE;

/// Longest wait for a reply beyond the wait that the call itself asks for.
const REPLY_WAIT: Duration = Duration::from_millis(1_500);

/// Longest wait for the reply to a probe; a slow store takes about a quarter
/// of a second for a read.
const PROBE_WAIT: Duration = Duration::from_millis(600);

/// Key behind those of all VMs, so that a probe reads no row.
const AFTER_ALL_KEYS: &str = "~";

/// Largest reply, above the megabyte that the store sends at most.
const REPLY_BYTES: usize = 4_000_000;

/// Failures in a row after which the store counts as away.
const AWAY_FAILURES: u32 = 2;

/// Status of a call beyond the store's rates.
const TOO_MANY_REQUESTS: u16 = 429;

/// Kept connections; more are closed after use.
const KEPT: usize = 4;

/// Client that has not connected yet.
pub(crate) struct StoreClient {
    address: SocketAddr,
    clock: Clock,
    metrics: Metrics,
    idle: RefCell<Vec<Connection>>,
    /// Since when no call had a reply.
    silent_since_ms: Cell<Option<u64>>,
    /// Calls without a reply since the last one that had one.
    failures: Cell<u32>,
    patience: Cell<ReplyTimeout>,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr, clock: Clock, metrics: Metrics) -> StoreClient {
        StoreClient {
            address,
            clock,
            metrics,
            idle: RefCell::default(),
            silent_since_ms: Cell::new(None),
            failures: Cell::new(0),
            patience: Cell::default(),
        }
    }

    /// Whether calls are not worth a try.
    pub(crate) fn is_away(&self) -> bool {
        self.failures.get() >= AWAY_FAILURES
    }

    /// Whether a read gets no answer now.
    pub(crate) async fn is_unreadable(&self) -> bool {
        let call = StoreCall::Read {
            table: CompactString::const_new(PEER_TABLE),
            partition: CompactString::default(),
            from_key: CompactString::const_new(AFTER_ALL_KEYS),
        };
        let read = timeout(PROBE_WAIT, self.call(&call)).await;
        !matches!(read, Ok(Ok(_)))
    }

    /// Carries a call out once.
    pub(crate) async fn call(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let wait = match call {
            StoreCall::Watch { wait_ms, .. } => REPLY_WAIT + Duration::from_millis(*wait_ms),
            StoreCall::Transact(_) => Duration::from_millis(self.patience.get().timeout_ms()),
            StoreCall::Read { .. } => REPLY_WAIT,
        };
        let started_ms = self.clock.now_ms();
        let reply = match timeout(wait, self.exchange(call)).await {
            Ok(reply) => reply,
            Err(_) => Err(StoreError::NoReply("no reply in time".into())),
        };
        if matches!(call, StoreCall::Transact(_)) {
            self.learn(&reply, self.clock.now_ms() - started_ms);
        }
        self.note(call, &reply);
        reply
    }

    /// Takes note of how long a transaction took.
    fn learn(&self, reply: &Result<StoreReply, StoreError>, took_ms: u64) {
        let mut patience = self.patience.get();
        match reply {
            Ok(_) => patience.record_reply(took_ms),
            Err(StoreError::NoReply(_)) => patience.record_timeout(),
            Err(StoreError::NotSent(_) | StoreError::Refused(_)) => {}
        }
        self.patience.set(patience);
    }

    fn note(&self, call: &StoreCall, reply: &Result<StoreReply, StoreError>) {
        let name = match call {
            StoreCall::Transact(_) => "transact",
            StoreCall::Read { .. } => "read",
            StoreCall::Watch { .. } => "watch",
        };
        match reply {
            Ok(_) => {
                self.metrics.store_call(name, "reply");
                self.failures.set(0);
                if let Some(since_ms) = self.silent_since_ms.take() {
                    let away_ms = self.clock.now_ms() - since_ms;
                    log::info!(away_ms; "store answers again");
                }
            }
            Err(error) => {
                self.metrics.store_call(name, "error");
                self.failures.set(self.failures.get() + weight(error));
                if self.silent_since_ms.get().is_none() {
                    self.silent_since_ms.set(Some(self.clock.now_ms()));
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
            .body(Full::new(Bytes::from(encoded.body)))
            .map_err(|error| StoreError::NotSent(error.to_string().into()))?;
        let kept = self.take();
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::open(self.address).await.map_err(store_error)?,
        };
        let response = connection.send(request).await.map_err(store_error)?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), REPLY_BYTES)
            .collect()
            .await
            .map_err(|error| StoreError::NoReply(error.to_string().into()))?
            .to_bytes();
        let mut idle = self.idle.borrow_mut();
        if idle.len() < KEPT {
            idle.push(connection);
        }
        drop(idle);
        decode_store_reply(call, status, &body)
    }

    fn take(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}

/// Failures that an error counts for.
fn weight(error: &StoreError) -> u32 {
    match error {
        // The store is there, and has too much to do.
        StoreError::Refused(TOO_MANY_REQUESTS) => 0,
        StoreError::Refused(_) | StoreError::NotSent(_) => AWAY_FAILURES,
        // One answer may get lost.
        StoreError::NoReply(_) => 1,
    }
}

fn store_error(error: ExchangeError) -> StoreError {
    match error {
        ExchangeError::NotSent(detail) => StoreError::NotSent(detail.into()),
        ExchangeError::Broken(detail) => StoreError::NoReply(detail.into()),
    }
}

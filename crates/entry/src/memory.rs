//! Memory and connections that peers of this VM may take up.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use lagoon_ids::FastMap;
use lagoon_memory::{Claim, DiscardGuard, Exhausted, Holding, Memory};
use tokio::time::{timeout_at, Instant};

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::settings::EntryLimits;

/// The process memory divided by this is the maximum of all bytes that are held for peers.
/// The rest is for hyper's buffers, kept turns, tables and the program itself.
const HELD_MEMORY_DIVISOR: u64 = 4;

/// Maximum number of refused bodies that are discarded at the same time; connections with
/// further ones are closed at once.
const MAX_DISCARDS: usize = 32;

/// Part of the connections that a single address can't use, so that the load balancer,
/// other VMs and other callers get in beside it: its divisor.
const OTHER_ADDRESSES_DIVISOR: usize = 8;

/// Interval between two log lines of withdrawn or refused bytes.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Why a body could not be read whole.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The connection broke off, or the bytes are no body.
    Broken(String),
    /// It is longer than allowed.
    TooLong,
    /// The memory for held bytes is exhausted.
    NoMemory,
    /// It didn't arrive in time.
    TimedOut,
}

/// Limits of one body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    pub(crate) max_bytes: usize,
    /// Maximum time between two parts.
    pub(crate) progress: Duration,
    /// Maximum time for all.
    pub(crate) whole: Duration,
}

impl BodyLimits {
    /// Limits of a body whose time is limited otherwise.
    pub(crate) fn of_size(max_bytes: usize) -> BodyLimits {
        BodyLimits {
            max_bytes,
            progress: Duration::MAX,
            whole: Duration::MAX,
        }
    }
}

pub(crate) struct PeerMemory {
    memory: Memory,
    clock: Clock,
    metrics: Metrics,
    pub(crate) body_timeout: Duration,
    max_connections_by_address: usize,
    connections: RefCell<FastMap<IpAddr, usize>>,
    logged_ms: Cell<Option<u64>>,
    unlogged: Cell<u64>,
}

impl PeerMemory {
    pub(crate) fn new(
        limits: &EntryLimits,
        max_connections: usize,
        clock: Clock,
        metrics: Metrics,
    ) -> PeerMemory {
        let held_bytes = limits.memory_mb * 1_000_000 / HELD_MEMORY_DIVISOR;
        let by_address = match limits.connections_per_address {
            0 => max_connections - max_connections / OTHER_ADDRESSES_DIVISOR,
            connections => connections as usize,
        };
        PeerMemory {
            memory: Memory::new(held_bytes, MAX_DISCARDS),
            clock,
            metrics,
            body_timeout: Duration::from_millis(limits.body_timeout_ms),
            max_connections_by_address: by_address,
            connections: RefCell::default(),
            logged_ms: Cell::new(None),
            unlogged: Cell::new(0),
        }
    }

    /// New holding whose bytes may be withdrawn.
    pub(crate) fn hold(&self) -> Holding {
        self.memory.hold(Claim::Withdrawable, self.clock.now_ms())
    }

    /// New holding whose bytes can't be withdrawn, of a request that may have run.
    pub(crate) fn hold_pinned(&self) -> Holding {
        self.memory.hold(Claim::Pinned, self.clock.now_ms())
    }

    /// Changes the number of bytes of a holding without a buffer.
    pub(crate) fn set(&self, holding: &Holding, bytes: usize) -> Result<(), Exhausted> {
        holding.set(bytes as u64, self.clock.now_ms())
    }

    /// Whether a body of this length can be held at all.
    pub(crate) fn can_hold(&self, bytes: u64) -> bool {
        bytes <= self.memory.max_holding_bytes()
    }

    pub(crate) fn begin_discard(&self) -> Option<DiscardGuard> {
        self.memory.begin_discard()
    }

    /// Reads a body into the holding.
    pub(crate) async fn read<B>(
        &self,
        holding: &Holding,
        body: &mut B,
        limits: BodyLimits,
    ) -> Result<Bytes, ReadError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: ToString,
    {
        let far = Duration::from_secs(86_400);
        let end = Instant::now() + limits.whole.min(far);
        loop {
            let deadline = end.min(Instant::now() + limits.progress.min(far));
            let frame = tokio::select! {
                biased;
                () = holding.withdrawn() => return Err(ReadError::NoMemory),
                frame = timeout_at(deadline, body.frame()) => frame,
            };
            let frame = match frame {
                Ok(Some(frame)) => frame,
                Ok(None) => return holding.finish().map_err(|_| ReadError::NoMemory),
                Err(_) => return Err(ReadError::TimedOut),
            };
            let frame = frame.map_err(|error| ReadError::Broken(error.to_string()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if data.len() > limits.max_bytes - holding.buffered_bytes() {
                return Err(ReadError::TooLong);
            }
            let pushed = holding.push(&data, self.clock.now_ms());
            pushed.map_err(|_| ReadError::NoMemory)?;
        }
    }

    /// Counts bytes that were refused or withdrawn, and logs that now and then.
    pub(crate) fn record_exhausted(&self, what: &'static str) {
        self.record(what, "the memory for held bytes is exhausted");
    }

    /// Counts a body or head that didn't arrive in time, and logs that now and then.
    pub(crate) fn record_late(&self, what: &'static str) {
        self.record(what, "a peer took too long");
    }

    fn record(&self, what: &'static str, why: &'static str) {
        self.metrics.record_refused_bytes(what);
        let now_ms = self.clock.now_ms();
        let is_due = self
            .logged_ms
            .get()
            .is_none_or(|logged_ms| now_ms - logged_ms >= LOG_INTERVAL_MS);
        if !is_due {
            self.unlogged.set(self.unlogged.get() + 1);
            return;
        }
        self.logged_ms.set(Some(now_ms));
        log::warn!(
            what,
            held_bytes = self.memory.held_bytes(),
            withdrawn = self.memory.withdrawn_count(),
            unlogged = self.unlogged.take();
            "refused: {why}"
        );
    }

    /// Counts a connection of this address as open until the result is dropped; `None` if
    /// too many are.
    pub(crate) fn admit(self: &Rc<Self>, address: IpAddr) -> Option<AddressGuard> {
        let mut connections = self.connections.borrow_mut();
        let open = connections.entry(address).or_default();
        if *open >= self.max_connections_by_address {
            return None;
        }
        *open += 1;
        Some(AddressGuard {
            memory: Rc::clone(self),
            address,
        })
    }

    /// Updates the gauge of held bytes.
    pub(crate) fn update_metrics(&self) {
        self.metrics.set_held_bytes(self.memory.held_bytes());
    }
}

/// Counts a connection of an address as open.
pub(crate) struct AddressGuard {
    memory: Rc<PeerMemory>,
    address: IpAddr,
}

impl Drop for AddressGuard {
    fn drop(&mut self) {
        let mut connections = self.memory.connections.borrow_mut();
        let open = connections.get_mut(&self.address);
        let is_last = open.is_some_and(|open| {
            *open -= 1;
            *open == 0
        });
        if is_last {
            connections.remove(&self.address);
        }
    }
}

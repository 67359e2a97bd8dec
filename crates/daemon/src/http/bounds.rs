//! Bounds of a server's connections, and counts of those who meet them.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use lagoon_connections::{AddressLimit, LogLimit};
use lagoon_memory::Memory;

use crate::clock::Clock;

/// Bound that a connection or a request has met.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Bound {
    Connections,
    ConnectionsOfAddress,
    HeadTime,
    HeadMemory,
    BodyTime,
    BodyMemory,
}

impl Bound {
    const ALL: [Bound; 6] = [
        Bound::Connections,
        Bound::ConnectionsOfAddress,
        Bound::HeadTime,
        Bound::HeadMemory,
        Bound::BodyTime,
        Bound::BodyMemory,
    ];

    /// Value of a metric's tag and of a log line's field.
    fn name(self) -> &'static str {
        match self {
            Bound::Connections => "connections",
            Bound::ConnectionsOfAddress => "connections_of_address",
            Bound::HeadTime => "head_time",
            Bound::HeadMemory => "head_memory",
            Bound::BodyTime => "body_time",
            Bound::BodyMemory => "body_memory",
        }
    }
}

/// Counts of all servers, which the actor thread reports.
#[derive(Debug, Default)]
pub(crate) struct BoundCounts {
    met: [AtomicU64; Bound::ALL.len()],
    connections: AtomicU64,
}

impl BoundCounts {
    /// How often each bound was met since the last call, if it was.
    pub(crate) fn take(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        let taken = Bound::ALL.iter().map(|bound| {
            let count = self.met[*bound as usize].swap(0, Ordering::Relaxed);
            (bound.name(), count)
        });
        taken.filter(|(_, count)| *count > 0)
    }

    /// Number of open connections.
    pub(crate) fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }
}

/// Limits of the connections of a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    pub(crate) max_connections: usize,
    /// Connections of one address; 0 stands for seven eighths of all.
    pub(crate) by_address: usize,
    /// Time for a head after its first bytes.
    pub(crate) head_timeout: Duration,
    /// Time that a connection may rest between two requests, a body between two parts, or a
    /// peer without taking what is sent to it.
    pub(crate) idle_timeout: Duration,
    /// Time for a whole body.
    pub(crate) body_timeout: Duration,
}

/// Connections of a server on its thread.
pub(super) struct Bounds {
    name: &'static str,
    pub(super) limits: ConnectionLimits,
    pub(super) addresses: Rc<AddressLimit>,
    pub(super) memory: Memory,
    pub(super) clock: Clock,
    counts: Arc<BoundCounts>,
    open: Cell<usize>,
    log: LogLimit,
}

impl Bounds {
    pub(super) fn new(
        name: &'static str,
        limits: ConnectionLimits,
        memory: Memory,
        clock: Clock,
        counts: Arc<BoundCounts>,
    ) -> Rc<Bounds> {
        Rc::new(Bounds {
            name,
            limits,
            addresses: AddressLimit::new(limits.by_address, limits.max_connections),
            memory,
            clock,
            counts,
            open: Cell::new(0),
            log: LogLimit::default(),
        })
    }

    /// Counts that a bound was met, and logs that now and then.
    pub(super) fn record(&self, bound: Bound) {
        self.counts.met[bound as usize].fetch_add(1, Ordering::Relaxed);
        let Some(unlogged) = self.log.admit(self.clock.now_ms()) else {
            return;
        };
        log::warn!(
            server = self.name,
            bound = bound.name(),
            connections = self.open.get(),
            held_bytes = self.memory.held_bytes(),
            withdrawn = self.memory.withdrawn_count(),
            unlogged;
            "a client has met a bound"
        );
    }

    /// Counts a connection as open until the result is dropped; `None` if too many are.
    pub(super) fn admit(self: &Rc<Self>) -> Option<OpenConnection> {
        if self.open.get() >= self.limits.max_connections {
            return None;
        }
        self.open.set(self.open.get() + 1);
        self.counts.connections.fetch_add(1, Ordering::Relaxed);
        Some(OpenConnection(Rc::clone(self)))
    }
}

/// Counts a connection as open.
pub(super) struct OpenConnection(Rc<Bounds>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.counts.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

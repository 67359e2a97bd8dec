//! Memory and connections that peers of this VM may take up.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use lagoon_connections::{
    read_body, AddressGuard, AddressLimit, BodyLimits, LogLimit, ReadError, MAX_UNREAD_BYTES,
};
use lagoon_memory::{Claim, DiscardGuard, Exhausted, Holding, Memory, OutsideGuard, ProcessLimit};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::settings::EntryLimits;

/// The process memory divided by this is the maximum of all bytes that are held for peers.
/// The rest is for hyper's buffers, kept turns, tables and the program itself.
const HELD_MEMORY_DIVISOR: u64 = 4;

/// Maximum number of refused bodies that are discarded at the same time; connections with
/// further ones are closed at once.
const MAX_DISCARDS: usize = 32;

/// Memory of the process besides its heap: the program, its stack and tables of the
/// allocator. A program that isn't optimized is larger.
const PROGRAM_BYTES: u64 = match cfg!(debug_assertions) {
    true => 20_000_000,
    false => 10_000_000,
};

/// Part of the memory for the heap that fragmentation may take up: its divisor.
const FRAGMENTATION_DIVISOR: u64 = 8;

/// What an open connection takes up while it rests: its buffers, its task and its entries in
/// tables.
const CONNECTION_BYTES: u64 = 20_480;

/// Interval at which a response that waits for room asks for it.
const ROOM_RECHECK: Duration = Duration::from_millis(50);

/// Returns the bytes that the heap of the process has allocated.
pub type HeapBytes = fn() -> u64;

pub(crate) struct PeerMemory {
    memory: Memory,
    heap_bytes: Option<HeapBytes>,
    clock: Clock,
    metrics: Metrics,
    pub(crate) body_timeout: Duration,
    addresses: Rc<AddressLimit>,
    log: LogLimit,
}

impl PeerMemory {
    pub(crate) fn new(
        limits: &EntryLimits,
        heap_bytes: Option<HeapBytes>,
        max_connections: usize,
        clock: Clock,
        metrics: Metrics,
    ) -> PeerMemory {
        let memory_bytes = limits.memory_mb * 1_000_000;
        let held_bytes = memory_bytes / HELD_MEMORY_DIVISOR;
        let memory = match heap_bytes {
            None => Memory::new(held_bytes, MAX_DISCARDS),
            Some(heap_bytes) => {
                let process = process_limit(memory_bytes, heap_bytes);
                Memory::of_process(held_bytes, MAX_DISCARDS, process)
            }
        };
        let by_address = limits.connections_per_address as usize;
        PeerMemory {
            memory,
            heap_bytes,
            clock,
            metrics,
            body_timeout: Duration::from_millis(limits.body_timeout_ms),
            addresses: AddressLimit::new(by_address, max_connections),
            log: LogLimit::default(),
        }
    }

    /// New holding of an open connection.
    pub(crate) fn hold_connection(&self) -> Holding {
        let now_ms = self.clock.now_ms();
        self.memory
            .hold_beside(Claim::Withdrawable, CONNECTION_BYTES, now_ms)
    }

    /// Counts what a socket may have received and nobody has read, until the result is
    /// dropped.
    pub(crate) fn count_socket(&self) -> OutsideGuard {
        self.memory.count_outside(MAX_UNREAD_BYTES)
    }

    /// Counts the buffers of a connection that are about to be allocated, until the result is
    /// dropped.
    pub(crate) fn count_buffers(&self) -> OutsideGuard {
        self.memory.count_outside(CONNECTION_BYTES)
    }

    /// New holding whose bytes may be withdrawn.
    pub(crate) fn hold(&self) -> Holding {
        self.memory.hold(Claim::Withdrawable, self.clock.now_ms())
    }

    /// New holding whose bytes can't be withdrawn, of a request that may have run.
    pub(crate) fn hold_pinned(&self) -> Holding {
        self.memory.hold(Claim::Pinned, self.clock.now_ms())
    }

    /// Waits until there is room for a body of this length, as others can't lose theirs for
    /// it at once.
    pub(crate) async fn wait_for_room(&self, holding: &Holding, bytes: u64) {
        while holding.reserve(bytes, self.clock.now_ms()).is_err() {
            sleep(ROOM_RECHECK).await;
        }
    }

    /// Changes the number of bytes of a holding without a buffer.
    pub(crate) fn set(&self, holding: &Holding, bytes: usize) -> Result<(), Exhausted> {
        holding.set(bytes as u64, self.clock.now_ms())
    }

    /// The same for a response that has begun.
    pub(crate) fn set_in_progress(&self, holding: &Holding, bytes: usize) -> Result<(), Exhausted> {
        holding.set_in_progress(bytes as u64, self.clock.now_ms())
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
        read_body(holding, body, limits, || self.clock.now_ms()).await
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
        let Some(unlogged) = self.log.admit(self.clock.now_ms()) else {
            return;
        };
        log::warn!(
            what,
            held_bytes = self.memory.held_bytes(),
            withdrawn = self.memory.withdrawn_count(),
            unlogged;
            "refused: {why}"
        );
    }

    /// Counts a connection of this address as open until the result is dropped; `None` if
    /// too many are.
    pub(crate) fn admit(&self, address: IpAddr) -> Option<AddressGuard> {
        self.addresses.admit(address)
    }

    /// Updates the gauges of held bytes and of the heap.
    pub(crate) fn update_metrics(&self) {
        self.metrics.set_held_bytes(self.memory.held_bytes());
        if let Some(heap_bytes) = self.heap_bytes {
            self.metrics.set_heap_bytes(heap_bytes());
        }
    }
}

fn process_limit(memory_bytes: u64, heap_bytes: HeapBytes) -> ProcessLimit {
    let free_bytes = memory_bytes.saturating_sub(PROGRAM_BYTES);
    ProcessLimit {
        max_bytes: free_bytes - free_bytes / FRAGMENTATION_DIVISOR,
        heap_bytes,
    }
}

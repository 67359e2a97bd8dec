//! State that all requests of the daemon share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use compact_str::CompactString;
use lagoon_gateway::{
    AdmissionSettings, AffinityTable, Config, Limits, PlacementSettings, Targets,
};

use crate::clock::Clock;
use crate::ledger::Ledger;
use crate::metrics::Metrics;
use crate::peers::PeerClient;
use crate::pool::Pool;
use crate::settings::EntryLimits;
use crate::suspects::CrashLog;

/// Descriptors that one caller's connection may need: its own, one to a
/// target and one to another VM or the store, and as many in reserve.
const DESCRIPTORS_EACH: usize = 4;

/// Share of the memory, as a divisor, that bodies may take: each is held
/// once as it came and once on its way out.
const MEMORY_SHARE: u64 = 4;

/// Bytes that a request holds.
pub(crate) struct Held {
    shared: Rc<Shared>,
    bytes: u64,
}

impl Drop for Held {
    fn drop(&mut self) {
        let held_bytes = self.shared.held_bytes.get();
        self.shared.held_bytes.set(held_bytes - self.bytes);
    }
}

/// State of the daemon.
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    pub(crate) domain: CompactString,
    pub(crate) metrics: Metrics,
    pub(crate) pool: Rc<Pool>,
    pub(crate) ledger: Rc<Ledger>,
    pub(crate) peers: Rc<PeerClient>,
    pub(crate) crashes: Rc<CrashLog>,
    pub(crate) placement: PlacementSettings,
    pub(crate) admission: AdmissionSettings,
    pub(crate) config: RefCell<Option<Rc<Config>>>,
    pub(crate) targets: RefCell<Targets>,
    /// Whether the list of targets was read since the start.
    pub(crate) targets_known: Cell<bool>,
    pub(crate) stopping: Cell<bool>,
    /// Whether the store lists this VM.
    pub(crate) registered: Cell<bool>,
    /// Connections that others opened.
    pub(crate) connections: Cell<usize>,
    /// Connections beyond which new ones are closed at once.
    pub(crate) most_connections: usize,
    /// Bytes of bodies that are held.
    held_bytes: Cell<u64>,
    /// Bytes of bodies beyond which requests are refused.
    most_held_bytes: u64,
    pub(crate) lines: RefCell<AffinityTable>,
}

impl Shared {
    pub(crate) fn new(
        clock: Clock,
        domain: CompactString,
        metrics: Metrics,
        ledger: Rc<Ledger>,
        peers: Rc<PeerClient>,
        crashes: Rc<CrashLog>,
        limits: &EntryLimits,
    ) -> Rc<Shared> {
        Rc::new(Shared {
            clock,
            domain,
            metrics,
            pool: Pool::new(clock),
            ledger,
            peers,
            crashes,
            placement: PlacementSettings::default(),
            admission: AdmissionSettings::default(),
            config: RefCell::new(None),
            targets: RefCell::default(),
            targets_known: Cell::new(false),
            stopping: Cell::new(false),
            registered: Cell::new(false),
            connections: Cell::new(0),
            most_connections: limits.descriptors as usize / DESCRIPTORS_EACH,
            held_bytes: Cell::new(0),
            most_held_bytes: limits.memory_mb * 1_000_000 / MEMORY_SHARE,
            lines: RefCell::default(),
        })
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Limits on what callers send, as of now.
    pub(crate) fn limits(&self) -> Limits {
        let config = self.config.borrow();
        config
            .as_ref()
            .map_or_else(Limits::default, |config| config.limits)
    }

    /// Whether callers should come here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.get() && self.targets_known.get() && self.config.borrow().is_some()
    }

    /// Holds the bytes of a body until the result is dropped; `None` if the
    /// process holds too many.
    pub(crate) fn hold(self: &Rc<Self>, bytes: u64) -> Option<Held> {
        let held_bytes = self.held_bytes.get() + bytes;
        if held_bytes > self.most_held_bytes {
            return None;
        }
        self.held_bytes.set(held_bytes);
        Some(Held {
            shared: Rc::clone(self),
            bytes,
        })
    }
}

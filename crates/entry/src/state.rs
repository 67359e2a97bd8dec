//! State that all requests of the daemon share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use compact_str::CompactString;
use lagoon_gateway::{
    AdmissionSettings, AffinityTable, Config, Limits, PlacementSettings, Targets,
};

use crate::clock::Clock;
use crate::ledger::BudgetClient;
use crate::metrics::Metrics;
use crate::peers::PeerClient;
use crate::pool::Pool;
use crate::settings::EntryLimits;
use crate::suspects::CrashTracker;

/// Descriptors that one caller's connection may need: its own, one to a
/// target and one to another VM or the store, and as many in reserve.
const DESCRIPTORS_EACH: usize = 4;

/// Share of the memory, as a divisor, that bodies may take: each is held
/// once as it came and once on its way out.
const MEMORY_SHARE: u64 = 4;

/// Bytes that a request holds.
pub(crate) struct BodyMemory {
    state: Rc<DaemonState>,
    bytes: u64,
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        let body_memory_bytes = self.state.body_memory_bytes.get();
        self.state
            .body_memory_bytes
            .set(body_memory_bytes - self.bytes);
    }
}

/// State of the daemon.
pub(crate) struct DaemonState {
    pub(crate) clock: Clock,
    pub(crate) domain: CompactString,
    pub(crate) metrics: Metrics,
    pub(crate) pool: Rc<Pool>,
    pub(crate) budget_client: Rc<BudgetClient>,
    pub(crate) peer_client: Rc<PeerClient>,
    pub(crate) crash_tracker: Rc<CrashTracker>,
    pub(crate) placement: PlacementSettings,
    pub(crate) admission: AdmissionSettings,
    pub(crate) config: RefCell<Option<Rc<Config>>>,
    pub(crate) targets: RefCell<Targets>,
    /// Whether the list of targets was read since the start.
    pub(crate) targets_loaded: Cell<bool>,
    pub(crate) stopping: Cell<bool>,
    /// Whether the store lists this VM.
    pub(crate) registered: Cell<bool>,
    /// Connections that others opened.
    pub(crate) connections: Cell<usize>,
    /// Connections beyond which new ones are closed at once.
    pub(crate) max_connections: usize,
    /// Bytes of bodies that are held.
    body_memory_bytes: Cell<u64>,
    /// Bytes of bodies beyond which requests are refused.
    max_body_memory_bytes: u64,
    pub(crate) affinity: RefCell<AffinityTable>,
}

impl DaemonState {
    pub(crate) fn new(
        clock: Clock,
        domain: CompactString,
        metrics: Metrics,
        budget_client: Rc<BudgetClient>,
        peer_client: Rc<PeerClient>,
        crash_tracker: Rc<CrashTracker>,
        limits: &EntryLimits,
    ) -> Rc<DaemonState> {
        Rc::new(DaemonState {
            clock,
            domain,
            metrics,
            pool: Pool::new(clock),
            budget_client,
            peer_client,
            crash_tracker,
            placement: PlacementSettings::default(),
            admission: AdmissionSettings::default(),
            config: RefCell::new(None),
            targets: RefCell::default(),
            targets_loaded: Cell::new(false),
            stopping: Cell::new(false),
            registered: Cell::new(false),
            connections: Cell::new(0),
            max_connections: limits.descriptors as usize / DESCRIPTORS_EACH,
            body_memory_bytes: Cell::new(0),
            max_body_memory_bytes: limits.memory_mb * 1_000_000 / MEMORY_SHARE,
            affinity: RefCell::default(),
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
        !self.stopping.get() && self.targets_loaded.get() && self.config.borrow().is_some()
    }

    /// Holds the bytes of a body until the result is dropped; `None` if the
    /// process holds too many.
    pub(crate) fn reserve_body_memory(self: &Rc<Self>, bytes: u64) -> Option<BodyMemory> {
        let body_memory_bytes = self.body_memory_bytes.get() + bytes;
        if body_memory_bytes > self.max_body_memory_bytes {
            return None;
        }
        self.body_memory_bytes.set(body_memory_bytes);
        Some(BodyMemory {
            state: Rc::clone(self),
            bytes,
        })
    }
}

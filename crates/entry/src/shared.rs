//! State that all requests of the daemon share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use compact_str::CompactString;
use lagoon_gateway::{Config, PlacementSettings, TargetKey, Targets};
use lagoon_ids::FastMap;

use crate::clock::Clock;
use crate::ledger::Ledger;
use crate::metrics::Metrics;
use crate::peers::PeerClient;
use crate::pool::Pool;

/// Lines of calls whose last target is remembered at most.
const LINES: usize = 20_000;

/// State of the daemon.
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    pub(crate) domain: CompactString,
    pub(crate) metrics: Metrics,
    pub(crate) pool: Rc<Pool>,
    pub(crate) ledger: Rc<Ledger>,
    pub(crate) peers: Rc<PeerClient>,
    pub(crate) placement: PlacementSettings,
    pub(crate) config: RefCell<Option<Rc<Config>>>,
    pub(crate) targets: RefCell<Targets>,
    /// Whether the list of targets was read since the start.
    pub(crate) targets_known: Cell<bool>,
    pub(crate) stopping: Cell<bool>,
    /// Whether the store lists this VM.
    pub(crate) registered: Cell<bool>,
    /// Connections that others opened.
    pub(crate) connections: Cell<usize>,
    last_targets: RefCell<FastMap<CompactString, TargetKey>>,
}

impl Shared {
    pub(crate) fn new(
        clock: Clock,
        domain: CompactString,
        metrics: Metrics,
        ledger: Rc<Ledger>,
        peers: Rc<PeerClient>,
    ) -> Rc<Shared> {
        Rc::new(Shared {
            clock,
            domain,
            metrics,
            pool: Pool::new(clock),
            ledger,
            peers,
            placement: PlacementSettings::default(),
            config: RefCell::new(None),
            targets: RefCell::default(),
            targets_known: Cell::new(false),
            stopping: Cell::new(false),
            registered: Cell::new(false),
            connections: Cell::new(0),
            last_targets: RefCell::default(),
        })
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Whether callers should come here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.get() && self.targets_known.get() && self.config.borrow().is_some()
    }

    /// Target that served a line of calls last.
    pub(crate) fn last_target(&self, line: &str) -> Option<TargetKey> {
        self.last_targets.borrow().get(line).copied()
    }

    pub(crate) fn served_line(&self, line: &str, target: TargetKey) {
        let mut lines = self.last_targets.borrow_mut();
        if lines.len() >= LINES {
            lines.clear();
        }
        lines.insert(line.into(), target);
    }
}

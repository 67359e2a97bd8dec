//! State shared by all requests of the daemon.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use compact_str::CompactString;
use lagoon_connections::LogLimit;
use lagoon_gateway::{
    AdmissionSettings, AffinityTable, Config, Limits, PlacementSettings, ProgramAdmission,
    Sentinel, SentinelSettings, SentinelTable, TargetKey, Targets,
};
use lagoon_paths::{CarrierSettings, Carriers, PathSettings, Paths};
use tokio::sync::Notify;

use crate::clock::{boot_now_ms, Clock};
use crate::evidence::ConfigEvidence;
use crate::idle::IdleLimit;
use crate::ledger::BudgetClient;
use crate::memory::{HeapBytes, PeerMemory};
use crate::metrics::Metrics;
use crate::peers::PeerClient;
use crate::permits::Permits;
use crate::pool::Pool;
use crate::quotas::Quotas;
use crate::settings::EntrySettings;
use crate::streams::StreamOrigins;
use crate::suspects::CrashTracker;
use crate::turns::TurnKeeper;

/// File descriptors that one caller's connection may need: its own, one to a
/// target, one to another VM or the store, and one in reserve.
const DESCRIPTORS_PER_CONNECTION: usize = 4;

/// Parts of the daemon with state of their own.
pub(crate) struct Services {
    pub(crate) budget_client: Rc<BudgetClient>,
    pub(crate) peer_client: Rc<PeerClient>,
    pub(crate) crash_tracker: Rc<CrashTracker>,
    pub(crate) turn_keeper: Rc<TurnKeeper>,
    pub(crate) quotas: Rc<Quotas>,
}

pub(crate) struct DaemonState {
    pub(crate) clock: Clock,
    pub(crate) domain: CompactString,
    pub(crate) metrics: Metrics,
    pub(crate) pool: Rc<Pool<TargetKey>>,
    pub(crate) paths: RefCell<Paths<TargetKey>>,
    /// Notified when the loss of a path is confirmed, or a target found to be down.
    pub(crate) path_losses: Notify,
    /// Other VMs as carriers of attempts to targets that this VM can't reach.
    pub(crate) carriers: RefCell<Carriers>,
    pub(crate) carrier_pool: Rc<Pool<SocketAddr>>,
    /// Attempts of other VMs that this one carries.
    pub(crate) carried: Cell<usize>,
    pub(crate) budget_client: Rc<BudgetClient>,
    pub(crate) peer_client: Rc<PeerClient>,
    pub(crate) crash_tracker: Rc<CrashTracker>,
    pub(crate) turn_keeper: Rc<TurnKeeper>,
    pub(crate) permits: Permits,
    pub(crate) quotas: Rc<Quotas>,
    pub(crate) origins: StreamOrigins,
    pub(crate) placement_settings: PlacementSettings,
    pub(crate) admission_settings: AdmissionSettings,
    pub(crate) admission: RefCell<ProgramAdmission>,
    /// `None` until a valid configuration was read.
    pub(crate) config: RefCell<Option<Rc<Config>>>,
    /// How recent it is.
    pub(crate) evidence: ConfigEvidence,
    /// Rest of callers' connections that the configuration allows.
    pub(crate) idle_limit: IdleLimit,
    pub(crate) targets: RefCell<Targets>,
    /// Whether the table of targets was read since the start.
    pub(crate) targets_loaded: Cell<bool>,
    pub(crate) stopping: Cell<bool>,
    /// Whether the process exits now, with what is still open.
    pub(crate) exiting: Cell<bool>,
    /// Whether this VM's row is in the store's table of VMs.
    pub(crate) registered: Cell<bool>,
    /// Open incoming connections of all listeners.
    pub(crate) connections: Cell<usize>,
    /// Maximum of `connections`; further ones are closed at once.
    pub(crate) max_connections: usize,
    /// Memory for bytes that are held for peers.
    pub(crate) memory: Rc<PeerMemory>,
    /// Limits the lines about connections that are closed unread.
    pub(crate) closed_log: LogLimit,
    pub(crate) affinity: RefCell<AffinityTable>,
    pub(crate) sentinel: RefCell<Sentinel>,
    /// Notified to renew the watch in flight, by table.
    renewals: [Notify; SentinelTable::ALL.len()],
}

impl DaemonState {
    pub(crate) fn new(
        clock: Clock,
        metrics: Metrics,
        services: Services,
        settings: &EntrySettings,
        heap_bytes: Option<HeapBytes>,
    ) -> Rc<DaemonState> {
        let limits = &settings.limits;
        let max_connections = limits.descriptors as usize / DESCRIPTORS_PER_CONNECTION;
        let memory = PeerMemory::new(limits, heap_bytes, max_connections, clock, metrics.clone());
        let memory = Rc::new(memory);
        Rc::new(DaemonState {
            clock,
            domain: settings.vm.domain.clone(),
            metrics,
            pool: Pool::new(clock),
            paths: RefCell::new(Paths::new(PathSettings::default())),
            path_losses: Notify::new(),
            carriers: RefCell::new(Carriers::new(CarrierSettings::default())),
            carrier_pool: Pool::new(clock),
            carried: Cell::new(0),
            budget_client: services.budget_client,
            peer_client: services.peer_client,
            crash_tracker: services.crash_tracker,
            turn_keeper: services.turn_keeper,
            permits: Permits::default(),
            quotas: services.quotas,
            origins: StreamOrigins::default(),
            placement_settings: PlacementSettings::default(),
            admission_settings: AdmissionSettings::default(),
            admission: RefCell::default(),
            config: RefCell::new(None),
            evidence: ConfigEvidence::new(&settings.accounts),
            idle_limit: IdleLimit::new(&Limits::default()),
            targets: RefCell::default(),
            targets_loaded: Cell::new(false),
            stopping: Cell::new(false),
            exiting: Cell::new(false),
            registered: Cell::new(false),
            connections: Cell::new(0),
            max_connections,
            memory,
            closed_log: LogLimit::default(),
            affinity: RefCell::default(),
            sentinel: RefCell::new(Sentinel::new(
                SentinelSettings::default(),
                settings.listen.peers,
            )),
            renewals: Default::default(),
        })
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Time for the age of evidence, by a clock that counts suspensions of the VM if the
    /// system has one.
    pub(crate) fn evidence_now_ms(&self) -> u64 {
        boot_now_ms().unwrap_or_else(|| self.now_ms())
    }

    /// Limits on callers' requests: those of the current configuration, or the
    /// defaults before there is one.
    pub(crate) fn limits(&self) -> Limits {
        let config = self.config.borrow();
        config
            .as_ref()
            .map_or_else(Limits::default, |config| config.limits)
    }

    /// Whether the load balancer should send callers to this VM.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.get() && self.targets_loaded.get() && self.config.borrow().is_some()
    }

    /// Waits until the watch in flight of this table must be renewed.
    pub(crate) async fn renewal_due(&self, table: SentinelTable) {
        self.renewals[table as usize].notified().await;
    }

    /// Renews watches that have missed changes, or without young evidence.
    pub(crate) fn renew_watches(&self) {
        let now_ms = self.evidence_now_ms();
        let due = self.sentinel.borrow_mut().take_renewals(now_ms);
        for table in due {
            self.renewals[table as usize].notify_waiters();
        }
    }
}

//! Startup, periodic maintenance and shutdown of the daemon.

use std::future::Future;
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use futures::future::join;
use hyper::body::Incoming;
use hyper::{Request, Response};
use lagoon_gateway::{BudgetSettings, Peers, ProgramBudgets};
use rand::RngExt;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

use crate::body::ResponseBody;
use crate::clock::Clock;
use crate::forward;
use crate::freshness;
use crate::ledger::BudgetClient;
use crate::memory::HeapBytes;
use crate::metrics::Metrics;
use crate::news;
use crate::panics;
use crate::peers::PeerClient;
use crate::quotas::{QuotaBounds, Quotas};
use crate::registration::Registration;
use crate::server;
use crate::settings::{load, EntrySettings};
use crate::state::{DaemonState, Services};
use crate::store::StoreClient;
use crate::suspects::CrashTracker;
use crate::tasks::spawn_lasting;
use crate::turns::TurnKeeper;
use crate::unanswered::{Client, RequestGuard};
use crate::watch::{follow_table, FollowedTable};

const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);

/// Housekeeping rounds between two probes of other VMs, and between two writes
/// of crashes that could not be stored.
const PROBE_ROUNDS: u32 = 10;

/// Housekeeping rounds between two removals of expired state.
const EXPIRY_ROUNDS: u32 = 50;

/// Time until the load balancer sends no more connections here: it checks
/// readiness each second, and acts on the second failed check.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2_200);

/// Part of the stop time that is left for the process to exit before it is
/// killed.
const EXIT_MARGIN_S: f64 = 0.4;

/// Time for the last turns and allowances to be handed over before the process exits.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(300);

/// Error with which the daemon exits.
#[derive(Debug, Error)]
pub enum RunError {
    /// Runtime or signal handler can't be set up.
    #[error("cannot start: {0}")]
    Start(#[from] std::io::Error),
    /// Metrics can't be registered.
    #[error("cannot register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// Socket can't be opened.
    #[error("cannot listen on {key}: {source}")]
    Socket {
        /// Settings key of the address.
        key: &'static str,
        /// Error of the system call that failed.
        source: std::io::Error,
    },
}

/// Runs until a graceful shutdown, on SIGTERM or SIGINT, is complete. On
/// SIGHUP, `file` is read again, and whether it differs from `settings` is
/// logged.
///
/// # Errors
///
/// Fails if the runtime, a signal handler, the metrics or a socket can't be set
/// up.
pub fn run(settings: &EntrySettings, file: &Path) -> Result<(), RunError> {
    run_in_memory(settings, file, None)
}

/// Like [`run`], within `limits.memory_mb` for the whole process, whose heap `heap_bytes`
/// measures.
///
/// # Errors
///
/// As [`run`].
pub fn run_within_memory(
    settings: &EntrySettings,
    file: &Path,
    heap_bytes: HeapBytes,
) -> Result<(), RunError> {
    run_in_memory(settings, file, Some(heap_bytes))
}

fn run_in_memory(
    settings: &EntrySettings,
    file: &Path,
    heap_bytes: Option<HeapBytes>,
) -> Result<(), RunError> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    panics::install_hook();
    let tasks = LocalSet::new();
    let result = tasks.block_on(
        &runtime,
        main_task(settings.clone(), file.to_owned(), heap_bytes),
    );
    // Requests that are still open are logged when their tasks are dropped.
    drop(tasks);
    result
}

async fn main_task(
    settings: EntrySettings,
    file: PathBuf,
    heap_bytes: Option<HeapBytes>,
) -> Result<(), RunError> {
    // Before anything else: the default action of each of them ends the process.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let _hangup = signal(SignalKind::hangup())?;
    let clock = Clock::start();
    let metrics = Metrics::new()?;
    let store = Rc::new(StoreClient::new(
        settings.store.address,
        clock,
        metrics.clone(),
    ));
    let incarnation: u32 = rand::rng().random();
    let writer = compact_str::format_compact!("{incarnation:08x}");
    let budgets = ProgramBudgets::new(BudgetSettings {
        idle_return_ms: settings.limits.settle_ms / 4,
        keeps_reserve: true,
        ..BudgetSettings::new(writer.clone())
    });
    let peers = Peers::new(settings.vm.name.clone(), settings.vm.domain.clone());
    let peer_client = Rc::new(PeerClient::new(clock, peers));
    let budget_client = BudgetClient::new(
        clock,
        Rc::clone(&store),
        Rc::clone(&peer_client),
        budgets,
        &writer,
        settings.vm.first_start,
    );
    let crash_tracker = CrashTracker::new(clock, Rc::clone(&budget_client), metrics.clone());
    let turn_keeper = TurnKeeper::new(
        &settings,
        clock,
        Rc::clone(&budget_client),
        Rc::clone(&peer_client),
        metrics.clone(),
    );
    let quotas = Quotas::new(
        clock,
        Rc::clone(&peer_client),
        metrics.clone(),
        QuotaBounds::from(&settings.accounts),
    );
    let services = Services {
        budget_client,
        peer_client,
        crash_tracker,
        turn_keeper,
        quotas,
    };
    let state = DaemonState::new(clock, metrics, services, &settings, heap_bytes);

    let (stop, stopped) = watch::channel(false);
    start_listeners(&settings, &state, &stopped)?;
    for table in [
        FollowedTable::Config,
        FollowedTable::Targets,
        FollowedTable::Peers,
        FollowedTable::Overdrawn,
        FollowedTable::Crashes,
    ] {
        let (state, store) = (Rc::clone(&state), Rc::clone(&store));
        spawn_lasting(table.task_name(), move || {
            follow_table(Rc::clone(&state), Rc::clone(&store), table)
        });
    }
    start_maintenance(&settings, &state, file);
    let registration = Registration::new(&settings, writer.clone(), Rc::clone(&store));
    let registration = Rc::new(registration);
    let (task_registration, task_state) = (Rc::clone(&registration), Rc::clone(&state));
    spawn_lasting("registration", move || {
        Rc::clone(&task_registration).maintain(Rc::clone(&task_state))
    });
    log::info!(
        domain = settings.vm.domain.as_str(),
        writer = writer.as_str(),
        callers = settings.listen.callers.to_string(),
        first_start = settings.vm.first_start;
        "started"
    );

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    state.stopping.set(true);
    // Before this VM leaves the list by which others take its place.
    state.budget_client.stop_granting();
    spawn_local(async move { registration.unregister().await });
    state.hand_over_origins();
    state.turn_keeper.stop();
    let turn_keeper = Rc::clone(&state.turn_keeper);
    spawn_local(async move { turn_keeper.hand_over().await });
    shut_down(&settings, &state, &stop).await;
    Ok(())
}

fn start_maintenance(settings: &EntrySettings, state: &Rc<DaemonState>, file: PathBuf) {
    let task_state = Rc::clone(state);
    spawn_lasting("housekeeping", move || housekeeping(Rc::clone(&task_state)));
    let turn_keeper = Rc::clone(&state.turn_keeper);
    spawn_lasting("deletion of turns", move || {
        Rc::clone(&turn_keeper).sweep_periodically()
    });
    let budget_client = Rc::clone(&state.budget_client);
    spawn_lasting("connectivity", move || {
        Rc::clone(&budget_client).monitor_connectivity()
    });
    let task_state = Rc::clone(state);
    spawn_lasting("evidence of other VMs", move || {
        freshness::keep_evidence(Rc::clone(&task_state))
    });
    let task_state = Rc::clone(state);
    spawn_lasting("quotas", move || maintain_quotas(Rc::clone(&task_state)));
    let settings = settings.clone();
    spawn_lasting("settings", move || {
        report_settings_changes(settings.clone(), file.clone())
    });
}

fn start_listeners(
    settings: &EntrySettings,
    state: &Rc<DaemonState>,
    stopped: &watch::Receiver<bool>,
) -> Result<(), RunError> {
    let listen =
        |key, address| server::listen(address).map_err(|source| RunError::Socket { key, source });
    let callers = listen("listen.callers", settings.listen.callers)?;
    let ready = listen("listen.ready", settings.listen.ready)?;
    let peers = listen("listen.peers", settings.listen.peers)?;
    news::start_gossip(state, settings.listen.peers).map_err(|source| RunError::Socket {
        key: "listen.peers",
        source,
    })?;

    let handler_state = Rc::clone(state);
    let handle = move |_, request, open| forward::handle(Rc::clone(&handler_state), request, open);
    start_listener("callers", state, callers, stopped, Client::Caller, handle);
    let handler_state = Rc::clone(state);
    let handle = move |_, request: Request<_>, _| {
        let response = server::readiness(&handler_state, request.uri().path());
        async move { response }
    };
    start_listener("readiness", state, ready, stopped, Client::Other, handle);
    let handler_state = Rc::clone(state);
    let handle =
        move |from, request, _| server::handle_internal(Rc::clone(&handler_state), from, request);
    start_listener("peers", state, peers, stopped, Client::Other, handle);
    Ok(())
}

fn start_listener<F, R>(
    name: &'static str,
    state: &Rc<DaemonState>,
    listener: TcpListener,
    stopped: &watch::Receiver<bool>,
    client: Client,
    handle: F,
) where
    F: Fn(IpAddr, Request<Incoming>, RequestGuard) -> R + Clone + 'static,
    R: Future<Output = Response<ResponseBody>> + 'static,
{
    let (state, listener) = (Rc::clone(state), Rc::new(listener));
    let stopped = stopped.clone();
    spawn_lasting(name, move || {
        let (state, listener) = (Rc::clone(&state), Rc::clone(&listener));
        server::serve(state, listener, stopped.clone(), client, handle.clone())
    });
}

/// Apart from housekeeping, which may wait for the store: a gap between two calls counts
/// as a suspension of the VM.
async fn maintain_quotas(state: Rc<DaemonState>) {
    loop {
        sleep(HOUSEKEEPING_INTERVAL).await;
        // Other VMs that read the row of an earlier run ask this one before it has written
        // its own.
        let is_known = state.peer_client.peers.borrow().is_own_listed();
        let is_listed = (is_known || state.registered.get()) && !state.stopping.get();
        state.quotas.maintain(is_listed);
    }
}

async fn housekeeping(state: Rc<DaemonState>) {
    let mut round = 0;
    loop {
        sleep(HOUSEKEEPING_INTERVAL).await;
        if round % PROBE_ROUNDS == 0 {
            let peer_client = Rc::clone(&state.peer_client);
            spawn_local(async move { peer_client.probe_next_peer().await });
            spawn_local(Rc::clone(&state.crash_tracker).store_pending());
        }
        state.budget_client.flush_due_writes();
        state.turn_keeper.maintain();
        state.check_paths();
        // Also while calls fail: a VM without requests may make no other call that shows
        // that the store replies again.
        state.renew_watches();
        state.targets.borrow_mut().remove_expired(state.now_ms());
        if state.targets_loaded.get() {
            state.targets.borrow_mut().observe_versions(state.now_ms());
        }
        let lost_attempts = state.targets.borrow_mut().take_lost(state.now_ms());
        for lost in &lost_attempts {
            state.crash_tracker.record_lost(lost);
        }
        round += 1;
        if round % EXPIRY_ROUNDS == 0 {
            state.pool.remove_expired();
            state.carrier_pool.remove_expired();
            let now_ms = state.now_ms();
            state.carriers.borrow_mut().remove_expired(now_ms);
            state.affinity.borrow_mut().remove_expired(state.now_ms());
            state.permits.remove_expired(state.now_ms());
            let now_ms = state.now_ms();
            state.origins.remove_expired(now_ms);
            state.targets.borrow_mut().remove_expired_limits(now_ms);
            state.remove_expired_paths();
            state.budget_client.remove_expired().await;
            state.crash_tracker.remove_expired().await;
            state.turn_keeper.delete_expired().await;
        }
    }
}

/// On SIGHUP, logs whether the settings file has changed; changes take effect
/// on restart.
async fn report_settings_changes(settings: EntrySettings, file: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!(error = error.to_string(); "cannot handle SIGHUP");
            return;
        }
    };
    while hangup.recv().await.is_some() {
        match load(&file) {
            Ok(new) if new == settings => log::info!("settings are unchanged"),
            Ok(_) => log::warn!("settings have changed; restart to apply them"),
            Err(error) => log::error!(error = error.to_string(); "cannot read the settings"),
        }
    }
}

/// Graceful shutdown: waits until the load balancer sends callers to other VMs,
/// then closes each connection after its response in flight, until the stop
/// time is over.
async fn shut_down(settings: &EntrySettings, state: &Rc<DaemonState>, stop: &watch::Sender<bool>) {
    let wait_s = (settings.limits.stop_wait_s - EXIT_MARGIN_S).max(0.0);
    let deadline = Instant::now() + Duration::from_secs_f64(wait_s);
    log::info!(wait_s; "stopping");
    sleep(BALANCER_DRAIN_TIME).await;
    stop.send_replace(true);
    // The listeners first accept what callers have opened already.
    sleep(HOUSEKEEPING_INTERVAL).await;
    while state.connections.get() > 0 && Instant::now() < deadline {
        sleep(HOUSEKEEPING_INTERVAL).await;
    }
    // Streams that began and turns that ended since the stop began.
    state.hand_over_origins();
    let handed_over = join(
        state.turn_keeper.hand_over(),
        state.budget_client.hand_over_charges(),
    );
    if timeout(HANDOVER_TIMEOUT, handed_over).await.is_err() {
        log::warn!("not all turns and allowances were handed over");
    }
    log::info!(unclosed = state.connections.get(); "stopped");
    state.exiting.set(true);
}

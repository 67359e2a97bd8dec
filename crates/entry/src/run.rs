//! Start, housekeeping and end of the daemon.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use lagoon_gateway::{BudgetSettings, Peers, ProgramBudgets};
use rand::RngExt;
use thiserror::Error;
use tokio::runtime::Builder;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, Instant};

use crate::clock::Clock;
use crate::forward;
use crate::ledger::Ledger;
use crate::metrics::Metrics;
use crate::news;
use crate::peers::PeerClient;
use crate::registration::Registration;
use crate::server;
use crate::settings::{load, EntrySettings};
use crate::shared::Shared;
use crate::store::StoreClient;
use crate::suspects::CrashLog;
use crate::watch::{follow, Table};

/// Time between two looks at what is due.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_millis(100);

/// Housekeeping rounds between two VMs that are sounded out.
const SOUND_ROUNDS: u32 = 10;

/// Housekeeping rounds between two sweeps.
const SWEEP_ROUNDS: u32 = 50;

/// Time until the balancer, which asks each second and believes the second
/// answer, sends no more connections here.
const BALANCER_WAIT: Duration = Duration::from_millis(2_200);

/// Time before the kill that is kept for the end of the process.
const EXIT_MARGIN_S: f64 = 0.4;

/// Reason why the daemon ends other than by a planned stop.
#[derive(Debug, Error)]
pub enum RunError {
    /// Runtime or signals can't begin.
    #[error("start: {0}")]
    Start(#[from] std::io::Error),
    /// Metrics can't begin.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// Socket can't be opened.
    #[error("{key}: {source}")]
    Socket {
        /// Key of the address in the settings.
        key: &'static str,
        /// Cause.
        source: std::io::Error,
    },
}

/// Runs until a planned stop is done; `file` is read again on a hangup.
///
/// # Errors
///
/// Fails when a socket can't be opened.
pub fn run(settings: &EntrySettings, file: &Path) -> Result<(), RunError> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, main_task(settings.clone(), file.to_owned()))
}

async fn main_task(settings: EntrySettings, file: PathBuf) -> Result<(), RunError> {
    let clock = Clock::start();
    let metrics = Metrics::new()?;
    let store = Rc::new(StoreClient::new(
        settings.store.address,
        clock,
        metrics.clone(),
    ));
    let incarnation: u32 = rand::rng().random();
    let writer = compact_str::format_compact!("{incarnation:08x}");
    let accounts = ProgramBudgets::new(BudgetSettings {
        idle_return_ms: settings.limits.settle_ms / 4,
        ..BudgetSettings::new(writer.clone())
    });
    let own = Peers::new(settings.vm.name.clone(), settings.vm.domain.clone());
    let peers = Rc::new(PeerClient::new(clock, own));
    let ledger = Ledger::new(clock, Rc::clone(&store), Rc::clone(&peers), accounts);
    let crashes = CrashLog::new(clock, Rc::clone(&store));
    let domain = settings.vm.domain.clone();
    let limits = &settings.limits;
    let shared = Shared::new(clock, domain, metrics, ledger, peers, crashes, limits);

    let (stop, stopped) = watch::channel(false);
    listen_all(&settings, &shared, &stopped)?;
    for table in [
        Table::Config,
        Table::Targets,
        Table::Peers,
        Table::Overdrawn,
        Table::Suspects,
    ] {
        spawn_local(follow(Rc::clone(&shared), Rc::clone(&store), table));
    }
    spawn_local(housekeeping(Rc::clone(&shared)));
    spawn_local(Rc::clone(&shared.ledger).keep_looking());
    spawn_local(reload(settings.clone(), file));
    let registration = Registration::new(&settings, writer.clone(), Rc::clone(&store));
    let registration = Rc::new(registration);
    spawn_local(Rc::clone(&registration).keep(Rc::clone(&shared)));
    log::info!(
        domain = settings.vm.domain.as_str(),
        writer = writer.as_str(),
        callers = settings.listen.callers.to_string();
        "started"
    );

    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    shared.stopping.set(true);
    spawn_local(async move { registration.remove().await });
    leave(&settings, &shared, &stop).await;
    Ok(())
}

fn listen_all(
    settings: &EntrySettings,
    shared: &Rc<Shared>,
    stopped: &watch::Receiver<bool>,
) -> Result<(), RunError> {
    let listen =
        |key, address| server::listen(address).map_err(|source| RunError::Socket { key, source });
    let callers = listen("listen.callers", settings.listen.callers)?;
    let ready = listen("listen.ready", settings.listen.ready)?;
    let peers = listen("listen.peers", settings.listen.peers)?;
    news::exchange(shared, settings.listen.peers).map_err(|source| RunError::Socket {
        key: "listen.peers",
        source,
    })?;

    let state = Rc::clone(shared);
    let handle = move |request| forward::handle(Rc::clone(&state), request);
    spawn_local(server::serve(
        Rc::clone(shared),
        callers,
        stopped.clone(),
        handle,
    ));
    let state = Rc::clone(shared);
    let handle = move |request: hyper::Request<_>| {
        let answer = server::readiness(&state, request.uri().path());
        async move { answer }
    };
    spawn_local(server::serve(
        Rc::clone(shared),
        ready,
        stopped.clone(),
        handle,
    ));
    let state = Rc::clone(shared);
    let handle = move |request| server::inside(Rc::clone(&state), request);
    spawn_local(server::serve(
        Rc::clone(shared),
        peers,
        stopped.clone(),
        handle,
    ));
    Ok(())
}

async fn housekeeping(shared: Rc<Shared>) {
    let mut round = 0;
    loop {
        sleep(HOUSEKEEPING_PERIOD).await;
        if round % SOUND_ROUNDS == 0 {
            let peers = Rc::clone(&shared.peers);
            spawn_local(async move { peers.sound_next().await });
        }
        shared.ledger.write_due();
        shared.targets.borrow_mut().remove_expired(shared.now_ms());
        round += 1;
        if round % SWEEP_ROUNDS == 0 {
            shared.pool.sweep();
            shared.lines.borrow_mut().remove_expired(shared.now_ms());
            shared.ledger.sweep().await;
            shared.crashes.sweep().await;
        }
    }
}

/// Tells, on a hangup, what a changed settings file would need.
async fn reload(settings: EntrySettings, file: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!(error = error.to_string(); "hangups are not seen");
            return;
        }
    };
    while hangup.recv().await.is_some() {
        match load(&file) {
            Ok(new) if new == settings => log::info!("settings are unchanged"),
            Ok(_) => log::warn!("settings changed; they are in force after a restart"),
            Err(error) => log::error!(error = error.to_string(); "settings can't be read"),
        }
    }
}

/// Stops as planned: callers go elsewhere first, then what was read is
/// answered.
async fn leave(settings: &EntrySettings, shared: &Rc<Shared>, stop: &watch::Sender<bool>) {
    let wait_s = (settings.limits.stop_wait_s - EXIT_MARGIN_S).max(0.0);
    let until = Instant::now() + Duration::from_secs_f64(wait_s);
    log::info!(wait_s; "stopping");
    sleep(BALANCER_WAIT).await;
    stop.send_replace(true);
    while shared.connections.get() > 0 && Instant::now() < until {
        sleep(HOUSEKEEPING_PERIOD).await;
    }
    log::info!(unclosed = shared.connections.get(); "stopped");
}

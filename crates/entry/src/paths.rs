//! Evidence of this VM's paths to targets, from connections and responses.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use lagoon_gateway::TargetKey;
use lagoon_limits::RunId;
use lagoon_paths::{Decline, Loss, PathChange, Way};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::connection::{Connection, OpenError};
use crate::exchange::NoExchange;
use crate::pool::PooledConnection;
use crate::state::DaemonState;

/// Time for a connection to a target to be established, after which the path counts as
/// lost. Many round trips between failure domains.
const CONNECT_PATIENCE: Duration = Duration::from_millis(100);

/// Maximum number of VMs that are asked whether they reach a target.
const MAX_ASKED: usize = 3;

/// Whether a VM reaches a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetReach {
    /// It has a path to the target.
    Reached,
    /// It reaches others, and not this one.
    NotReached,
    /// It reaches none.
    Isolated,
    /// It can't tell: it has lost its path to this one, or doesn't know this run of it.
    Unknown,
}

/// Connection that is being opened. If it is dropped, the connection goes to the pool
/// once it is established.
pub(crate) type Opening = oneshot::Receiver<Result<PooledConnection<TargetKey>, OpenError>>;

impl DaemonState {
    /// Opens a connection to a target, and records whether its path works.
    pub(crate) async fn open_path(
        self: &Rc<Self>,
        key: TargetKey,
        address: SocketAddr,
    ) -> Result<PooledConnection<TargetKey>, NoExchange> {
        let mut opening = self.start_opening(key, address);
        let (error, opening) = match timeout(CONNECT_PATIENCE, &mut opening).await {
            Ok(Ok(Ok(pooled))) => return Ok(pooled),
            Ok(Ok(Err(error))) => (error, None),
            // The task that opens it ends only with a result.
            Ok(Err(_)) => (OpenError::timed_out(), None),
            Err(_) => (OpenError::timed_out(), Some(opening)),
        };
        Err(NoExchange::NoPath { error, opening })
    }

    /// Starts to open a connection to a target, and records whether its path works.
    pub(crate) fn start_opening(self: &Rc<Self>, key: TargetKey, address: SocketAddr) -> Opening {
        let (sender, opening) = oneshot::channel();
        let state = Rc::clone(self);
        spawn_local(async move {
            let opened = state.open_and_record(key, address).await;
            let opened = opened.map(|connection| state.pool.adopt(key, connection));
            if let Err(Ok(unclaimed)) = sender.send(opened) {
                unclaimed.release(None);
            }
        });
        opening
    }

    async fn open_and_record(
        &self,
        key: TargetKey,
        address: SocketAddr,
    ) -> Result<Connection, OpenError> {
        let mut connecting = pin!(Connection::open_to_target(address));
        let opened = match timeout(CONNECT_PATIENCE, connecting.as_mut()).await {
            Ok(opened) => {
                if let Some(loss) = opened.as_ref().err().and_then(|error| error.loss) {
                    self.record_path_failed(key, loss);
                }
                opened
            }
            Err(_) => {
                self.record_path_failed(key, Loss::TimedOut);
                connecting.await
            }
        };
        if opened.is_ok() {
            let now_ms = self.now_ms();
            let changes = self.paths.borrow_mut().record_connected(key, now_ms);
            self.apply_path_changes(changes);
        }
        opened
    }

    /// How an attempt gets to a target. If the path is lost and another try is due, the
    /// connection that is being opened is returned too.
    pub(crate) fn way_to(
        self: &Rc<Self>,
        key: TargetKey,
        address: SocketAddr,
    ) -> (Way, Option<Opening>) {
        let way = self.paths.borrow().way(key);
        let is_due = way != Way::Direct && self.paths.borrow_mut().take_probe(key, self.now_ms());
        (way, is_due.then(|| self.start_opening(key, address)))
    }

    /// Checks the paths of targets that are silent, and looks for one that works again
    /// if this VM is isolated.
    pub(crate) fn check_paths(self: &Rc<Self>) {
        let now_ms = self.now_ms();
        let due = self.paths.borrow_mut().take_due_checks(now_ms);
        for key in due {
            let state = Rc::clone(self);
            spawn_local(async move { state.check_path(key).await });
        }
        let random = rand::rng().random();
        let probe = self.paths.borrow_mut().take_vm_probe(random, now_ms);
        if let Some((key, address)) = probe.and_then(|key| Some((key, self.address_of(key)?))) {
            // Once it is established, it goes to the pool.
            drop(self.start_opening(key, address));
        }
    }

    fn address_of(&self, key: TargetKey) -> Option<SocketAddr> {
        let targets = self.targets.borrow();
        targets.get(key).map(|target| target.entry.address)
    }

    async fn check_path(self: &Rc<Self>, key: TargetKey) {
        let Some(address) = self.address_of(key) else {
            return;
        };
        self.metrics.record_path("checked");
        match self.open_path(key, address).await {
            Ok(pooled) => pooled.release(None),
            Err(_) => {
                self.ask_for_reach(key).await;
            }
        }
    }

    /// Asks other VMs whether they reach a target that this one doesn't reach, and
    /// records the result.
    pub(crate) async fn ask_for_reach(self: &Rc<Self>, key: TargetKey) -> TargetReach {
        let target = self.targets.borrow().get(key).map(|target| {
            let entry = &target.entry;
            (entry.id.clone(), target.run, entry.domain.clone())
        });
        let Some((id, run, domain)) = target else {
            return TargetReach::Unknown;
        };
        let mut asked = Vec::new();
        while asked.len() < MAX_ASKED {
            let Some(carrier) = self.choose_carrier(&asked, &domain) else {
                break;
            };
            let reach = self
                .peer_client
                .ask_for_reach(&carrier.name, id.clone(), run);
            match reach.await {
                Some(reach @ (TargetReach::Reached | TargetReach::NotReached)) => {
                    self.record_reach(key, reach == TargetReach::Reached);
                    return reach;
                }
                Some(TargetReach::Isolated) => self.record_declined(&carrier, Decline::Isolated),
                Some(TargetReach::Unknown) | None => {}
            }
            asked.push(carrier.name);
        }
        TargetReach::Unknown
    }

    /// Records whether a VM with paths reaches a target that this one doesn't reach.
    pub(crate) fn record_reach(&self, key: TargetKey, is_reached: bool) {
        let now_ms = self.now_ms();
        let mut paths = self.paths.borrow_mut();
        let changes = match is_reached {
            true => paths.record_reached_elsewhere(key, now_ms),
            false => paths.record_target_down(key, now_ms),
        };
        drop(paths);
        self.apply_path_changes(changes);
    }

    /// Finds out for another VM whether this one reaches a target.
    pub(crate) async fn reach_of(self: &Rc<Self>, id: &CompactString, run: RunId) -> TargetReach {
        let found = self.targets.borrow().find_run(id, run);
        let Some((key, address)) = found else {
            return TargetReach::Unknown;
        };
        let is_lost = self.paths.borrow().is_lost(key);
        if !is_lost {
            if let Ok(pooled) = self.open_path(key, address).await {
                pooled.release(None);
                return TargetReach::Reached;
            }
        }
        let paths = self.paths.borrow();
        match paths.is_cut_off() {
            true => TargetReach::Isolated,
            false if !is_lost && paths.reaches_others(key, self.now_ms()) => {
                TargetReach::NotReached
            }
            false => TargetReach::Unknown,
        }
    }

    fn record_path_failed(&self, key: TargetKey, loss: Loss) {
        let now_ms = self.now_ms();
        let changes = self.paths.borrow_mut().record_failed(key, loss, now_ms);
        self.apply_path_changes(changes);
    }

    /// Records that bytes of a target arrived on a connection of this VM to it.
    pub(crate) fn record_path_bytes(&self, key: TargetKey) {
        let now_ms = self.now_ms();
        let changes = self.paths.borrow_mut().record_bytes(key, now_ms);
        self.apply_path_changes(changes);
    }

    /// Forgets the paths to targets that are no longer known.
    pub(crate) fn remove_expired_paths(&self) {
        let targets = self.targets.borrow();
        let is_known = |key| targets.get(key).is_some();
        let change = self.paths.borrow_mut().retain(is_known, self.now_ms());
        drop(targets);
        self.apply_path_changes(change);
    }

    /// Records that an open connection to a target broke, and checks whether the path
    /// is lost.
    pub(crate) fn record_path_broken(self: &Rc<Self>, key: TargetKey) {
        let now_ms = self.now_ms();
        self.paths.borrow_mut().record_broken(key, now_ms);
        let state = Rc::clone(self);
        spawn_local(async move { state.check_path(key).await });
    }

    /// Logs and counts what has changed.
    fn apply_path_changes<I>(&self, changes: I)
    where
        I: IntoIterator<Item = PathChange<TargetKey>>,
    {
        for change in changes {
            self.log_path_change(change);
            if matches!(
                change,
                PathChange::Confirmed { .. }
                    | PathChange::Isolated { .. }
                    | PathChange::TargetDown { .. }
            ) {
                self.path_losses.notify_waiters();
            }
        }
    }

    fn log_path_change(&self, change: PathChange<TargetKey>) {
        let targets = self.targets.borrow();
        let target_id = |key| targets.get(key).map_or("-", |target| &target.entry.id);
        let event = match change {
            PathChange::Lost {
                target,
                loss,
                silent_ms,
            } => {
                log::info!(
                    target_id = target_id(target),
                    evidence = loss.to_string(),
                    silent_ms = silent_ms.map_or(-1, |ms| ms as i64);
                    "no path to a target"
                );
                "lost"
            }
            PathChange::Confirmed { target, lost_ms } => {
                log::info!(target_id = target_id(target), lost_ms; "another VM reaches a target that this one doesn't reach");
                "confirmed"
            }
            PathChange::TargetDown { target } => {
                log::info!(target_id = target_id(target); "no VM that was asked reaches a target");
                "target down"
            }
            PathChange::Found { target, lost_ms } => {
                log::info!(target_id = target_id(target), lost_ms; "path to a target works again");
                "found"
            }
            PathChange::Isolated { paths } => {
                log::warn!(lost_paths = paths; "isolated: no target can be reached from here");
                "isolated"
            }
            PathChange::Rejoined { isolated_ms } => {
                log::warn!(isolated_ms; "no longer isolated");
                "rejoined"
            }
        };
        self.metrics.record_path(event);
    }
}

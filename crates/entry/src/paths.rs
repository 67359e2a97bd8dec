//! Evidence of this VM's paths to targets, from connections and responses.

use std::net::SocketAddr;
use std::rc::Rc;

use lagoon_gateway::TargetKey;
use lagoon_paths::{Loss, PathChange};

use crate::connection::{Connection, OpenError};
use crate::pool::PooledConnection;
use crate::state::DaemonState;

impl DaemonState {
    /// Opens a connection to a target, and records whether its path works.
    pub(crate) async fn open_path(
        self: &Rc<Self>,
        key: TargetKey,
        address: SocketAddr,
    ) -> Result<PooledConnection<TargetKey>, OpenError> {
        match Connection::open(address).await {
            Ok(connection) => {
                let changes = self.paths.borrow_mut().record_connected(key, self.now_ms());
                self.apply_path_changes(changes);
                Ok(self.pool.adopt(key, connection))
            }
            Err(error) => {
                if let Some(loss) = error.loss {
                    self.record_path_failed(key, loss);
                }
                Err(error)
            }
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
        self.paths.borrow_mut().retain(is_known);
    }

    /// Logs and counts what has changed.
    fn apply_path_changes<I>(&self, changes: I)
    where
        I: IntoIterator<Item = PathChange<TargetKey>>,
    {
        for change in changes {
            self.log_path_change(change);
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

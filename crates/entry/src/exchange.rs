//! Sends one request to one target from this VM: for callers, and for other VMs that
//! have no path to the target.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};
use lagoon_gateway::{TargetEntry, TargetKey};
use lagoon_ids::hash64;
use tokio::time::sleep;

use crate::body::RequestBody;
use crate::connection::{ExchangeError, OpenError};
use crate::paths::Opening;
use crate::pool::PooledConnection;
use crate::state::DaemonState;

/// Maximum number of pooled connections that one attempt may find closed and
/// replace; one more fails the attempt.
const MAX_STALE_CONNECTIONS: u32 = 2;

/// Interval at which an attempt on a lost path is looked at, until it has been silent
/// for long enough to be given up.
const HOPELESS_RECHECK: Duration = Duration::from_millis(50);

/// Counts an attempt as in flight on the path to its target until it is dropped.
pub(crate) struct PathGuard {
    state: Rc<DaemonState>,
    key: TargetKey,
    /// Time of the start, or of the last bytes.
    heard_ms: Cell<u64>,
}

impl PathGuard {
    fn new(state: &Rc<DaemonState>, key: TargetKey) -> PathGuard {
        let now_ms = state.now_ms();
        let domain = state
            .targets
            .borrow()
            .get(key)
            .map_or(0, |target| hash64(target.entry.domain.as_bytes()));
        let mut paths = state.paths.borrow_mut();
        paths.attempt_started(key, domain, now_ms);
        drop(paths);
        PathGuard {
            state: Rc::clone(state),
            key,
            heard_ms: Cell::new(now_ms),
        }
    }

    /// Records that bytes of the response arrived.
    pub(crate) fn record_bytes(&self) {
        self.heard_ms.set(self.state.now_ms());
        self.state.record_path_bytes(self.key);
    }

    /// Records that the connection broke.
    pub(crate) fn record_broken(&self) {
        self.state.record_path_broken(self.key);
    }

    /// Waits until no response can come any more, as the path is lost or the target down;
    /// returns which.
    pub(crate) async fn until_hopeless(&self) -> NoExchange {
        let state = &self.state;
        loop {
            let change = state.path_losses.notified();
            let is_in_question = {
                let paths = state.paths.borrow();
                if paths.is_hopeless(self.key, self.heard_ms.get(), state.now_ms()) {
                    return match paths.is_lost(self.key) {
                        true => NoExchange::PathLost,
                        false => NoExchange::Interrupted("target is down".to_owned()),
                    };
                }
                paths.is_in_question(self.key)
            };
            match is_in_question {
                true => sleep(HOPELESS_RECHECK).await,
                false => change.await,
            }
        }
    }
}

impl Drop for PathGuard {
    fn drop(&mut self) {
        self.state.paths.borrow_mut().attempt_ended(self.key);
    }
}

/// Response of a target, with the connection on which its body arrives.
pub(crate) struct DirectExchange {
    pub(crate) response: Response<Incoming>,
    pub(crate) pooled: PooledConnection<TargetKey>,
    pub(crate) guard: PathGuard,
}

/// Why a target gave no response.
pub(crate) enum NoExchange {
    /// There is no kept connection, and none is to be opened.
    NoKeptConnection,
    /// No connection could be opened, or none in time.
    NoPath {
        error: OpenError,
        /// The connection that may still be established.
        opening: Option<Opening>,
    },
    /// The request was withdrawn before it was sent.
    Withdrawn,
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have been executed.
    Interrupted(String),
    /// As `Interrupted`, because the path was lost meanwhile.
    PathLost,
}

/// How one request is sent to a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendOptions {
    pub(crate) key: TargetKey,
    pub(crate) address: SocketAddr,
    /// Whether a connection may be opened if none is kept.
    pub(crate) may_open: bool,
    /// Whether the request may be executed again, so that it is given up when its path
    /// is lost.
    pub(crate) is_repeatable: bool,
}

/// Sends one request on a kept connection, or on a new one. `build` makes the request
/// when the connection is there; `None` withdraws it.
pub(crate) async fn send_direct<F>(
    state: &Rc<DaemonState>,
    options: SendOptions,
    mut build: F,
) -> Result<DirectExchange, NoExchange>
where
    F: FnMut() -> Option<Request<RequestBody>>,
{
    let mut stale_connections = 0;
    loop {
        let uses_kept = !options.may_open
            || state
                .paths
                .borrow()
                .trusts_kept(options.key, state.now_ms());
        let kept = uses_kept.then(|| state.pool.take(options.key)).flatten();
        let pooled = match kept {
            Some(pooled) => pooled,
            None if options.may_open => state.open_path(options.key, options.address).await?,
            None => return Err(NoExchange::NoKeptConnection),
        };
        let is_reused = pooled.is_reused;
        match send_on(state, options, pooled, &mut build).await {
            Err(NoExchange::NotSent(_))
                if is_reused && stale_connections < MAX_STALE_CONNECTIONS =>
            {
                stale_connections += 1;
            }
            sent => return sent,
        }
    }
}

/// Sends one request on this connection.
pub(crate) async fn send_on<F>(
    state: &Rc<DaemonState>,
    options: SendOptions,
    mut pooled: PooledConnection<TargetKey>,
    mut build: F,
) -> Result<DirectExchange, NoExchange>
where
    F: FnMut() -> Option<Request<RequestBody>>,
{
    let request = build().ok_or(NoExchange::Withdrawn)?;
    let guard = PathGuard::new(state, options.key);
    let sent = tokio::select! {
        biased;
        sent = pooled.connection.send(request) => sent,
        hopeless = guard.until_hopeless(), if options.is_repeatable => return Err(hopeless),
    };
    match sent {
        Ok(response) => {
            guard.record_bytes();
            Ok(DirectExchange {
                response,
                pooled,
                guard,
            })
        }
        Err(ExchangeError::NotSent(detail)) => Err(NoExchange::NotSent(detail)),
        Err(ExchangeError::Interrupted(detail)) => {
            guard.record_broken();
            Err(NoExchange::Interrupted(detail))
        }
        Err(error @ ExchangeError::Invalid(_)) => {
            guard.record_broken();
            state.record_invalid_response(options.key, &error);
            Err(NoExchange::Interrupted(error.to_string()))
        }
    }
}

impl DaemonState {
    /// Counts and logs that the bytes of a target are no response.
    fn record_invalid_response(&self, key: TargetKey, error: &ExchangeError) {
        let targets = self.targets.borrow();
        // The target may have been removed since the request was sent.
        let target_id = targets.get(key).map_or("", |target| &target.entry.id);
        self.metrics.record_invalid_response(target_id);
        log::warn!(target_id, error = error.to_string(); "bytes of a target are no response");
    }

    /// Records that a target states in the response to a request, which was sent by
    /// `entry`, that it is about to stop, and closes its idle connections.
    pub(crate) fn record_leaving(
        &self,
        request_id: &str,
        key: TargetKey,
        entry: &TargetEntry,
        sent_unix_ms: u64,
    ) {
        let mut targets = self.targets.borrow_mut();
        if !targets.record_leaving(entry, sent_unix_ms) {
            return;
        }
        self.pool.close_idle(key);
        self.metrics.set_leaving_targets(targets.leaving_count());
        log::info!(
            request = request_id,
            target_id = entry.id.as_str(),
            sent_while = entry.status.to_string();
            "target is leaving"
        );
    }
}

//! Pool of idle connections to targets.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use lagoon_gateway::TargetKey;
use lagoon_ids::FastMap;

use crate::clock::Clock;
use crate::connection::{Connection, ExchangeError};

/// Maximum idle time of a connection; its target may announce a shorter one.
const MAX_IDLE_MS: u64 = 10_000;

/// How long before its target's keep-alive timeout an idle connection expires,
/// so that no request is sent while the target closes it.
const CLOSE_MARGIN_MS: u64 = 400;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_ms: u64,
}

/// Idle connections by target.
#[derive(Debug)]
pub(crate) struct Pool {
    clock: Clock,
    idle: RefCell<FastMap<TargetKey, Vec<IdleConnection>>>,
}

/// Connection in use; closed on drop unless it is released to the pool.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub(crate) connection: Connection,
    /// Whether it has carried a request before.
    pub(crate) is_reused: bool,
    pool: Rc<Pool>,
    target: TargetKey,
}

impl Pool {
    pub(crate) fn new(clock: Clock) -> Rc<Pool> {
        Rc::new(Pool {
            clock,
            idle: RefCell::default(),
        })
    }

    /// Returns an idle connection, or opens a new one.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        target: TargetKey,
        address: SocketAddr,
    ) -> Result<PooledConnection, ExchangeError> {
        let idle_connection = self.take_idle(target);
        let is_reused = idle_connection.is_some();
        let connection = match idle_connection {
            Some(connection) => connection,
            None => Connection::open(address).await?,
        };
        Ok(PooledConnection {
            connection,
            is_reused,
            pool: Rc::clone(self),
            target,
        })
    }

    fn take_idle(&self, target: TargetKey) -> Option<Connection> {
        let now_ms = self.clock.now_ms();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&target)?;
        while let Some(candidate) = connections.pop() {
            if candidate.expires_ms > now_ms && candidate.connection.is_ready() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Closes the idle connections to a target.
    pub(crate) fn close_idle(&self, target: TargetKey) {
        self.idle.borrow_mut().remove(&target);
    }

    /// Closes connections that have expired or that the target has closed.
    pub(crate) fn remove_expired(&self) {
        let now_ms = self.clock.now_ms();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.expires_ms > now_ms && idle.connection.is_ready());
            !connections.is_empty()
        });
    }
}

impl PooledConnection {
    /// Returns the connection to the pool. The last response must have been
    /// read completely. `keep_alive_s` is the target's idle timeout; `None` if
    /// it announces none.
    pub(crate) fn release(self, keep_alive_s: Option<u64>) {
        let idle_ms = keep_alive_s.map_or(MAX_IDLE_MS, |seconds| {
            (seconds * 1_000).saturating_sub(CLOSE_MARGIN_MS)
        });
        let expires_ms = self.pool.clock.now_ms() + idle_ms.min(MAX_IDLE_MS);
        let mut idle = self.pool.idle.borrow_mut();
        idle.entry(self.target).or_default().push(IdleConnection {
            connection: self.connection,
            expires_ms,
        });
    }
}

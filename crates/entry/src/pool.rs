//! Kept connections to targets.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use lagoon_gateway::TargetKey;
use lagoon_ids::FastMap;

use crate::clock::Clock;
use crate::connection::{Connection, ExchangeError};

/// Longest idle time of a kept connection whose target names none.
const IDLE_LIMIT_MS: u64 = 10_000;

/// How long before its target closes a connection it is given up, so that a
/// request does not cross the close.
const IDLE_MARGIN_MS: u64 = 400;

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until_ms: u64,
}

/// Idle connections by target.
#[derive(Debug)]
pub(crate) struct Pool {
    clock: Clock,
    idle: RefCell<FastMap<TargetKey, Vec<Idle>>>,
}

/// Connection in use; it closes on drop unless it is kept.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub(crate) connection: Connection,
    /// Whether it carried a request before.
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

    /// Kept connection, or a new one.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        target: TargetKey,
        address: SocketAddr,
    ) -> Result<PooledConnection, ExchangeError> {
        let kept = self.take(target);
        let is_reused = kept.is_some();
        let connection = match kept {
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

    fn take(&self, target: TargetKey) -> Option<Connection> {
        let now_ms = self.clock.now_ms();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&target)?;
        while let Some(candidate) = kept.pop() {
            if candidate.until_ms > now_ms && candidate.connection.is_ready() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Closes connections that are idle for too long.
    pub(crate) fn remove_expired(&self) {
        let now_ms = self.clock.now_ms();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|idle| idle.until_ms > now_ms && idle.connection.is_ready());
            !kept.is_empty()
        });
    }
}

impl PooledConnection {
    /// Keeps the connection for the next request; its answer was whole.
    pub(crate) fn release(self, keep_alive_s: Option<u64>) {
        let limit_ms = keep_alive_s.map_or(IDLE_LIMIT_MS, |seconds| {
            (seconds * 1_000).saturating_sub(IDLE_MARGIN_MS)
        });
        let until_ms = self.pool.clock.now_ms() + limit_ms.min(IDLE_LIMIT_MS);
        let mut idle = self.pool.idle.borrow_mut();
        idle.entry(self.target).or_default().push(Idle {
            connection: self.connection,
            until_ms,
        });
    }
}

//! Pools of idle connections, to targets and to VMs that carry attempts.

use std::cell::RefCell;
use std::hash::Hash;
use std::rc::Rc;

use lagoon_ids::FastMap;

use crate::clock::Clock;
use crate::connection::Connection;

/// Maximum idle time of a connection; its server may announce a shorter one.
const MAX_IDLE_MS: u64 = 10_000;

/// How long before its server's keep-alive timeout an idle connection expires,
/// so that no request is sent while the server closes it.
const CLOSE_MARGIN_MS: u64 = 400;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_ms: u64,
}

/// Idle connections by server.
#[derive(Debug)]
pub(crate) struct Pool<K> {
    clock: Clock,
    idle: RefCell<FastMap<K, Vec<IdleConnection>>>,
}

/// Connection in use; closed on drop unless it is released to the pool.
#[derive(Debug)]
pub(crate) struct PooledConnection<K> {
    pub(crate) connection: Connection,
    /// Whether it has carried a request before.
    pub(crate) is_reused: bool,
    pool: Rc<Pool<K>>,
    server: K,
}

impl<K> Pool<K>
where
    K: Copy + Eq + Hash,
{
    pub(crate) fn new(clock: Clock) -> Rc<Pool<K>> {
        Rc::new(Pool {
            clock,
            idle: RefCell::default(),
        })
    }

    /// Returns an idle connection, if there is one.
    pub(crate) fn take(self: &Rc<Self>, server: K) -> Option<PooledConnection<K>> {
        let connection = self.take_idle(server)?;
        Some(PooledConnection {
            connection,
            is_reused: true,
            pool: Rc::clone(self),
            server,
        })
    }

    /// Adds a connection that was just opened, for use.
    pub(crate) fn adopt(self: &Rc<Self>, server: K, connection: Connection) -> PooledConnection<K> {
        PooledConnection {
            connection,
            is_reused: false,
            pool: Rc::clone(self),
            server,
        }
    }

    fn take_idle(&self, server: K) -> Option<Connection> {
        let now_ms = self.clock.now_ms();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        while let Some(candidate) = connections.pop() {
            if candidate.expires_ms > now_ms && candidate.connection.is_ready() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Closes the idle connections to a server.
    pub(crate) fn close_idle(&self, server: K) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes connections that have expired or that the server has closed.
    pub(crate) fn remove_expired(&self) {
        let now_ms = self.clock.now_ms();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.expires_ms > now_ms && idle.connection.is_ready());
            !connections.is_empty()
        });
    }
}

impl<K> PooledConnection<K>
where
    K: Copy + Eq + Hash,
{
    /// Returns the connection to the pool. The last response must have been
    /// read completely. `keep_alive_s` is the server's idle timeout; `None` if
    /// it announces none.
    pub(crate) fn release(self, keep_alive_s: Option<u64>) {
        let idle_ms = keep_alive_s.map_or(MAX_IDLE_MS, |seconds| {
            (seconds * 1_000).saturating_sub(CLOSE_MARGIN_MS)
        });
        let expires_ms = self.pool.clock.now_ms() + idle_ms.min(MAX_IDLE_MS);
        let mut idle = self.pool.idle.borrow_mut();
        idle.entry(self.server).or_default().push(IdleConnection {
            connection: self.connection,
            expires_ms,
        });
    }
}

//! Session affinity: which target served a session last and so probably has
//! its prompt cached.

use std::net::SocketAddr;

use lagoon_ids::{hash64, FastMap};

use crate::gossip::{AffinityUpdate, SessionHash, TargetHash};
use crate::request_metadata::RequestMetadata;

/// Time without a request after which a session is removed.
const SESSION_TTL_MS: u64 = 60_000;

/// Maximum number of sessions kept, enough for 140,000 programs; while it is
/// reached, new sessions are not recorded.
const MAX_SESSIONS: usize = 150_000;

#[derive(Clone, Copy, Debug)]
struct Session {
    target: TargetHash,
    /// VM through which the session's first request came; `None` if it was this
    /// VM.
    origin: Option<SocketAddr>,
    last_used_ms: u64,
}

/// Sessions with requests through this VM or reported by others.
#[derive(Debug, Default)]
pub struct AffinityTable {
    sessions: FastMap<SessionHash, Session>,
    updates: Vec<AffinityUpdate>,
}

fn session_hash(name: &str) -> SessionHash {
    SessionHash(hash64(name.as_bytes()) as u32)
}

impl AffinityTable {
    /// Target that served the request's session last. A new session of a program
    /// starts with the prompt of the session that spawned it, so its target is
    /// the one of the program's first session. `None` if neither session is
    /// known.
    pub fn target_of(&self, metadata: &RequestMetadata) -> Option<TargetHash> {
        let program = metadata.program.as_deref().map(session_hash);
        [Some(session_hash(metadata.affinity_key())), program]
            .into_iter()
            .flatten()
            .find_map(|session| self.sessions.get(&session))
            .map(|session| session.target)
    }

    /// Other VM through which the program's first request came and which
    /// therefore holds most of its budget; `None` if that was this VM or isn't
    /// known.
    pub fn origin_vm(&self, metadata: &RequestMetadata) -> Option<SocketAddr> {
        let program = metadata.program.as_deref()?;
        self.sessions.get(&session_hash(program))?.origin
    }

    /// Records the target that serves a request. Queues an update for other VMs
    /// if [`AffinityTable::target_of`] gave another target or none.
    pub fn record(&mut self, metadata: &RequestMetadata, target: TargetHash, now_ms: u64) {
        let session = session_hash(metadata.affinity_key());
        if self.target_of(metadata) != Some(target) {
            self.updates.push(AffinityUpdate { session, target });
            self.insert(session, target, None, now_ms);
        } else if let Some(current) = self.sessions.get_mut(&session) {
            current.last_used_ms = now_ms;
        }
    }

    /// Applies the updates of another VM.
    pub fn apply_updates(&mut self, vm: SocketAddr, updates: &[AffinityUpdate], now_ms: u64) {
        for update in updates {
            self.insert(update.session, update.target, Some(vm), now_ms);
        }
    }

    /// Updates for other VMs since the last call.
    pub fn take_updates(&mut self) -> Vec<AffinityUpdate> {
        std::mem::take(&mut self.updates)
    }

    /// Removes sessions that had no request or update for `SESSION_TTL_MS`.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.sessions
            .retain(|_, session| now_ms < session.last_used_ms + SESSION_TTL_MS);
    }

    /// Number of known sessions.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether no session is known.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    fn insert(
        &mut self,
        session: SessionHash,
        target: TargetHash,
        origin: Option<SocketAddr>,
        last_used_ms: u64,
    ) {
        if let Some(current) = self.sessions.get_mut(&session) {
            current.target = target;
            current.last_used_ms = last_used_ms;
        } else if self.sessions.len() < MAX_SESSIONS {
            let new = Session {
                target,
                origin,
                last_used_ms,
            };
            self.sessions.insert(session, new);
        }
    }
}

//! Which target serves a line of calls, and so keeps its prompt.

use std::net::SocketAddr;

use lagoon_ids::{hash64, FastMap};

use crate::gossip::{AffinityUpdate, SessionHash, TargetHash};
use crate::request_metadata::RequestMetadata;

/// Time without a call after which a line is forgotten.
const SESSION_TTL_MS: u64 = 60_000;

/// Lines that are known at most: those of 140,000 programs.
const MAX_SESSIONS: usize = 150_000;

#[derive(Clone, Copy, Debug)]
struct Session {
    target: TargetHash,
    /// VM that told of it first; `None` for this one.
    origin: Option<SocketAddr>,
    last_used_ms: u64,
}

/// Lines of calls that came through this VM, or that others told of.
#[derive(Debug, Default)]
pub struct AffinityTable {
    sessions: FastMap<SessionHash, Session>,
    updates: Vec<AffinityUpdate>,
}

fn session_hash(name: &str) -> SessionHash {
    SessionHash(hash64(name.as_bytes()) as u32)
}

impl AffinityTable {
    /// Target that served the request's line last. A new line of a program
    /// begins with the prompt of the line that spawned it, so its target is
    /// the one of the program's first line.
    pub fn target_of(&self, facts: &RequestMetadata) -> Option<TargetHash> {
        let program = facts.program.as_deref().map(session_hash);
        [Some(session_hash(facts.affinity_key())), program]
            .into_iter()
            .flatten()
            .find_map(|line| self.sessions.get(&line))
            .map(|line| line.target)
    }

    /// Other VM through which the request's program began, and which so holds
    /// most of its budget.
    pub fn origin_vm(&self, facts: &RequestMetadata) -> Option<SocketAddr> {
        let program = facts.program.as_deref()?;
        self.sessions.get(&session_hash(program))?.origin
    }

    /// Takes note that a target serves the request; it is news if other VMs
    /// would not expect it there.
    pub fn record(&mut self, facts: &RequestMetadata, target: TargetHash, now_ms: u64) {
        let line = session_hash(facts.affinity_key());
        if self.target_of(facts) != Some(target) {
            self.updates.push(AffinityUpdate {
                session: line,
                target,
            });
            self.insert(line, target, None, now_ms);
        } else if let Some(known) = self.sessions.get_mut(&line) {
            known.last_used_ms = now_ms;
        }
    }

    /// Takes in what another VM tells.
    pub fn apply_updates(&mut self, vm: SocketAddr, news: &[AffinityUpdate], now_ms: u64) {
        for told in news {
            self.insert(told.session, told.target, Some(vm), now_ms);
        }
    }

    /// What other VMs should know since this was asked last.
    pub fn take_updates(&mut self) -> Vec<AffinityUpdate> {
        std::mem::take(&mut self.updates)
    }

    /// Forgets lines that are long silent.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.sessions
            .retain(|_, line| now_ms < line.last_used_ms + SESSION_TTL_MS);
    }

    /// Lines that are known.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether no line is known.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    fn insert(
        &mut self,
        line: SessionHash,
        target: TargetHash,
        vm: Option<SocketAddr>,
        used_ms: u64,
    ) {
        if let Some(known) = self.sessions.get_mut(&line) {
            known.target = target;
            known.last_used_ms = used_ms;
        } else if self.sessions.len() < MAX_SESSIONS {
            let begun = Session {
                target,
                origin: vm,
                last_used_ms: used_ms,
            };
            self.sessions.insert(line, begun);
        }
    }
}

//! Other entry VMs, and which of them to ask.

use std::net::SocketAddr;

use compact_str::CompactString;
use lagoon_ids::FastMap;
use serde::{Deserialize, Serialize};

/// Entry that a VM writes of itself, as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerEntry {
    /// Address for other VMs.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: CompactString,
    /// Incarnation.
    pub writer: CompactString,
}

/// How a request to another VM ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerEnd {
    /// It answered.
    Answered,
    /// It can't help now.
    Unable,
    /// It can't be reached.
    Unreachable,
}

/// Pause after a VM said that it can't help.
const UNABLE_PAUSE_MS: u64 = 500;

/// First pause after a VM was not reached; doubles with each time.
const UNREACHABLE_PAUSE_MS: u64 = 1_000;

/// Doublings of that pause at most.
const DOUBLINGS: u32 = 5;

/// Time without any answer after which a VM's entry is removed.
const GONE_MS: u64 = 120_000;

#[derive(Clone, Debug)]
struct Peer {
    entry: PeerEntry,
    version: u64,
    avoid_until_ms: u64,
    failures: u32,
    failing_since_ms: Option<u64>,
}

/// Other VMs by name.
#[derive(Debug, Default)]
pub struct Peers {
    own: CompactString,
    peers: FastMap<CompactString, Peer>,
}

impl Peers {
    /// No other VM is known; `own` is left out of what is learned.
    pub fn new(own: CompactString) -> Peers {
        Peers {
            own,
            peers: FastMap::default(),
        }
    }

    /// Name of this VM.
    pub fn own(&self) -> &CompactString {
        &self.own
    }

    /// Takes an entry of the store's version `version`.
    pub fn upsert(&mut self, name: CompactString, entry: PeerEntry, version: u64) {
        if name == self.own {
            return;
        }
        let known = self.peers.get(&name).filter(|peer| peer.entry == entry);
        if known.is_none() {
            let peer = Peer {
                entry,
                version,
                avoid_until_ms: 0,
                failures: 0,
                failing_since_ms: None,
            };
            self.peers.insert(name, peer);
        }
    }

    /// Forgets a VM.
    pub fn remove(&mut self, name: &str) {
        self.peers.remove(name);
    }

    /// Forgets all but these.
    pub fn retain<F>(&mut self, is_kept: F)
    where
        F: Fn(&str) -> bool,
    {
        self.peers.retain(|name, _| is_kept(name));
    }

    /// VMs to ask, at most `count`; `random` spreads the load.
    pub fn candidates(
        &self,
        count: usize,
        random: u64,
        now_ms: u64,
    ) -> Vec<(CompactString, SocketAddr)> {
        let mut names: Vec<&CompactString> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.avoid_until_ms <= now_ms)
            .map(|(name, _)| name)
            .collect();
        names.sort();
        if names.is_empty() {
            return Vec::new();
        }
        let start = random as usize % names.len();
        let (before, after) = names.split_at(start);
        let order = after.iter().chain(before);
        order
            .take(count)
            .map(|name| ((*name).clone(), self.peers[*name].entry.address))
            .collect()
    }

    /// Takes note of the end of a request to a VM.
    pub fn note(&mut self, name: &str, end: PeerEnd, now_ms: u64) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        match end {
            PeerEnd::Answered => {
                peer.failures = 0;
                peer.failing_since_ms = None;
            }
            PeerEnd::Unable => {
                peer.failing_since_ms = None;
                peer.avoid_until_ms = now_ms + UNABLE_PAUSE_MS;
            }
            PeerEnd::Unreachable => {
                let doublings = peer.failures.min(DOUBLINGS);
                peer.avoid_until_ms = now_ms + (UNREACHABLE_PAUSE_MS << doublings);
                peer.failures += 1;
                peer.failing_since_ms.get_or_insert(now_ms);
            }
        }
    }

    /// VMs that are long gone, with the versions of their entries.
    pub fn gone(&self, now_ms: u64) -> Vec<(CompactString, u64)> {
        let is_gone = |peer: &Peer| {
            let since = peer.failing_since_ms;
            since.is_some_and(|since_ms| now_ms >= since_ms + GONE_MS)
        };
        self.peers
            .iter()
            .filter(|(_, peer)| is_gone(peer))
            .map(|(name, peer)| (name.clone(), peer.version))
            .collect()
    }
}

//! Other VMs of the gateway, and the choice of those that a VM asks, probes or
//! sends gossip to.

use std::net::{IpAddr, SocketAddr};

use compact_str::CompactString;
use lagoon_ids::{hash64, rendezvous_hash, FastMap};
use serde::{Deserialize, Serialize};

use crate::budget::ProgramKey;
use crate::reserve::UNLISTED_HOME_MS;

/// Version of the messages that this build sends to other VMs and understands. It
/// grows with each build that adds a message; docs/design/compatibility.md lists them.
pub const PROTOCOL_VERSION: u32 = 13;

/// Entry that a VM registers in the store, as JSON. Later versions may add fields, each
/// with a default.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerEntry {
    /// Address for messages of other VMs.
    pub address: SocketAddr,
    /// Failure domain that the VM runs in.
    pub domain: CompactString,
    /// Name of the VM's incarnation, which identifies it as a writer of budget
    /// rows.
    pub writer: CompactString,
    /// [`PROTOCOL_VERSION`] of its build; 0 for builds that don't state it.
    #[serde(default)]
    pub protocol: u32,
}

/// Outcome of a request to another VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerOutcome {
    /// It responded; its count of consecutive failures starts over.
    Answered,
    /// It is reachable and can't serve the request at present.
    Declined,
    /// It can't be reached.
    Unreachable,
}

/// Time for which a VM is not asked after it declined a request.
const DECLINED_BACKOFF_MS: u64 = 500;

/// Time for which a VM is not asked after it was unreachable once; doubles with
/// each further failure.
const UNREACHABLE_BACKOFF_MS: u64 = 1_000;

/// Maximum number of times that [`UNREACHABLE_BACKOFF_MS`] is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Time for which a VM isn't sent messages that it has refused as unknown. A restart at
/// another version ends it.
const UNKNOWN_MESSAGE_BACKOFF_MS: u64 = 30_000;

/// Time without a response after which a VM is taken for dead.
const DEAD_AFTER_MS: u64 = 3_000;

/// Time without a response after which a VM's entry is deleted from the store.
const EXPIRE_AFTER_MS: u64 = 120_000;

#[derive(Clone, Debug)]
struct Peer {
    entry: PeerEntry,
    version: u64,
    backoff_until_ms: u64,
    consecutive_failures: u32,
    /// Time of the first failure since the VM's last response; `None` if there
    /// was no failure.
    failing_since_ms: Option<u64>,
    /// Message that it has refused as unknown.
    refused: Option<RefusedMessage>,
}

#[derive(Clone, Copy, Debug)]
struct RefusedMessage {
    /// Protocol version that the message needs.
    protocol: u32,
    until_ms: u64,
}

/// Other VMs by name.
#[derive(Debug, Default)]
pub struct Peers {
    own_name: CompactString,
    own_domain: CompactString,
    /// Whether the store lists this VM, perhaps with the row of an earlier run.
    is_own_listed: bool,
    peers: FastMap<CompactString, Peer>,
    /// VMs that are no longer listed, with the time of their removal.
    unlisted: FastMap<CompactString, u64>,
    /// Whether this VM is stopping and no candidate for any role.
    is_stopping: bool,
}

impl Peer {
    /// Whether the last request to it did not fail, or that was long enough ago.
    fn is_available(&self, now_ms: u64) -> bool {
        self.consecutive_failures == 0 || self.backoff_until_ms <= now_ms
    }
}

/// Rank of a VM in the order that `random` gives.
fn random_rank(name: &str, random: u64) -> u64 {
    hash64(&(hash64(name.as_bytes()) ^ random).to_le_bytes())
}

impl Peers {
    /// Starts without a known VM; entries with the name `own` are ignored.
    pub fn new(own: CompactString, domain: CompactString) -> Peers {
        Peers {
            own_name: own,
            own_domain: domain,
            is_own_listed: false,
            peers: FastMap::default(),
            unlisted: FastMap::default(),
            is_stopping: false,
        }
    }

    /// Excludes this VM from the heirs of allowances, as it is stopping.
    pub fn set_stopping(&mut self) {
        self.is_stopping = true;
    }

    /// Name of this VM, which is never listed as a peer.
    pub fn own_name(&self) -> &CompactString {
        &self.own_name
    }

    /// Whether other VMs that read the list know this VM, by its own row or that of an
    /// earlier run.
    pub fn is_own_listed(&self) -> bool {
        self.is_own_listed
    }

    /// Number of other VMs.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no other VM is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Adds or updates the entry of a VM; `version` is the version of its row in
    /// the store.
    pub fn upsert(&mut self, name: CompactString, entry: PeerEntry, version: u64) {
        if name == self.own_name {
            self.is_own_listed = true;
            return;
        }
        self.unlisted.remove(&name);
        let known = self.peers.get(&name).filter(|peer| peer.entry == entry);
        if known.is_none() {
            let peer = Peer {
                entry,
                version,
                backoff_until_ms: 0,
                consecutive_failures: 0,
                failing_since_ms: None,
                refused: None,
            };
            self.peers.insert(name, peer);
        }
    }

    /// Removes a VM whose entry was deleted from the store or is invalid.
    pub fn remove(&mut self, name: &str, now_ms: u64) {
        self.is_own_listed &= name != self.own_name;
        if let Some((name, _)) = self.peers.remove_entry(name) {
            self.unlisted.insert(name, now_ms);
        }
    }

    /// Removes the VMs for whose name `is_kept` returns `false`.
    pub fn retain<F>(&mut self, is_kept: F, now_ms: u64)
    where
        F: Fn(&str) -> bool,
    {
        self.is_own_listed = is_kept(&self.own_name);
        let removed = self.peers.keys().filter(|name| !is_kept(name));
        for name in removed.cloned().collect::<Vec<_>>() {
            self.remove(&name, now_ms);
        }
    }

    /// Home of a program, which grants its reserve: this VM or another one;
    /// `None` if it was unlisted lately, so that no VM grants it.
    pub fn home_of(&mut self, program: &ProgramKey, now_ms: u64) -> Option<CompactString> {
        self.unlisted
            .retain(|_, removed_ms| now_ms < *removed_ms + UNLISTED_HOME_MS);
        let names = self.peers.keys().chain(self.unlisted.keys());
        let home = rendezvous_hash(&program.0, names.chain([&self.own_name]))?;
        (!self.unlisted.contains_key(home)).then(|| home.clone())
    }

    /// VMs to ask for the execution of a store call, at most `count`. Those of
    /// other failure domains come first, as a failure that cuts this VM off may
    /// affect its whole domain; `random` spreads the load.
    pub fn candidates(
        &self,
        count: usize,
        random: u64,
        now_ms: u64,
    ) -> Vec<(CompactString, SocketAddr)> {
        let usable = |peer: &&CompactString| self.peers[*peer].backoff_until_ms <= now_ms;
        let mut names: Vec<&CompactString> = self.peers.keys().filter(usable).collect();
        names.sort_by_key(|name| {
            let is_local = self.peers[*name].entry.domain == self.own_domain;
            (is_local, random_rank(name, random))
        });
        self.addresses(names.into_iter().take(count))
    }

    /// VMs to ask for held tokens, at most `count`: those listed in `writers`, in
    /// this order, then VMs of the own failure domain, then others.
    pub fn holder_candidates(
        &self,
        writers: &[CompactString],
        count: usize,
        now_ms: u64,
    ) -> Vec<(CompactString, SocketAddr)> {
        let available = self.peers.iter();
        let available = available.filter(|(_, peer)| peer.is_available(now_ms));
        let mut names: Vec<&CompactString> = available.map(|(name, _)| name).collect();
        names.sort_by_key(|name| {
            let entry = &self.peers[*name].entry;
            let mut ranked = writers.iter();
            let rank = ranked.position(|writer| *writer == entry.writer);
            let rank = rank.unwrap_or(writers.len());
            (rank, entry.domain != self.own_domain, *name)
        });
        self.addresses(names.into_iter().take(count))
    }

    /// VMs to ask for a copy of the item with this key, the best first; the first
    /// two are of different failure domains, if there are two. VMs that know the
    /// same others give the same order, but for themselves.
    pub fn copy_candidates(&self, key: &str, now_ms: u64) -> Vec<(CompactString, PeerEntry)> {
        let available = self.peers.iter();
        let available = available.filter(|(_, peer)| peer.is_available(now_ms));
        let mut ranked: Vec<_> = available.collect();
        let key_hash = hash64(key.as_bytes());
        ranked.sort_by_key(|(name, _)| random_rank(name, key_hash));
        let first_domain = ranked.first().map(|(_, peer)| &peer.entry.domain);
        let second = ranked
            .iter()
            .position(|(_, peer)| Some(&peer.entry.domain) != first_domain);
        if let Some(second) = second {
            ranked[1..=second].rotate_right(1);
        }
        let ranked = ranked.into_iter();
        ranked
            .map(|(name, peer)| (name.clone(), peer.entry.clone()))
            .collect()
    }

    /// Name and address of the VM of each failure domain that keeps copies of what
    /// belongs to `key`, with the domain's name. A domain where that is this VM is left
    /// out. VMs that know the same others give the same, but for those that don't respond.
    pub fn domain_holders(&self, key: &str) -> Vec<(CompactString, CompactString, SocketAddr)> {
        let key_hash = hash64(key.as_bytes());
        let mut first: FastMap<&str, (u64, &str)> = FastMap::default();
        let own = (self.own_name.as_str(), self.own_domain.as_str());
        for (name, domain) in self.responsive_entries().chain([own]) {
            let ranked = (random_rank(name, key_hash), name);
            let best = first.entry(domain).or_insert(ranked);
            *best = ranked.max(*best);
        }
        let others = first.into_iter().filter_map(|(domain, (_, name))| {
            let peer = self.peers.get(name)?;
            Some((domain.into(), name.into(), peer.entry.address))
        });
        others.collect()
    }

    /// Names and failure domains of all other VMs.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &str)> {
        let peers = self.peers.iter();
        peers.map(|(name, peer)| (name.as_str(), peer.entry.domain.as_str()))
    }

    /// Names and failure domains of the VMs to which the last request didn't fail; of
    /// all if there is none.
    pub fn responsive_entries(&self) -> impl Iterator<Item = (&str, &str)> {
        let is_responsive = |peer: &Peer| peer.consecutive_failures == 0;
        let is_any = self.peers.values().any(is_responsive);
        let peers = self.peers.iter();
        let listed = peers.filter(move |(_, peer)| !is_any || is_responsive(peer));
        listed.map(|(name, peer)| (name.as_str(), peer.entry.domain.as_str()))
    }

    /// Names and addresses of all other VMs.
    pub fn all(&self) -> Vec<(CompactString, SocketAddr)> {
        self.addresses(self.peers.keys())
    }

    /// Addresses of all other VMs, split into gossip peers and the rest. The
    /// gossip peers are at most `count` VMs of the own failure domain: those
    /// whose names follow this VM's in circular order, so that each VM sends to
    /// as many as it receives from.
    pub fn split_gossip_peers(&self, count: usize) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let mut peers: Vec<(&CompactString, &Peer)> = self.peers.iter().collect();
        let is_remote = |peer: &Peer| peer.entry.domain != self.own_domain;
        peers.sort_by_key(|(name, peer)| (is_remote(peer), **name < self.own_name, *name));
        let local_count = peers
            .iter()
            .take_while(|(_, peer)| !is_remote(peer))
            .count();
        let mut addresses = peers.iter().map(|(_, peer)| peer.entry.address);
        let gossip_peers = addresses.by_ref().take(local_count.min(count)).collect();
        (gossip_peers, addresses.collect())
    }

    /// Addresses of the other VMs of the own failure domain.
    pub fn local_addresses(&self) -> Vec<SocketAddr> {
        let peers = self.peers.values();
        let local = peers.filter(|peer| peer.entry.domain == self.own_domain);
        local.map(|peer| peer.entry.address).collect()
    }

    /// Addresses of other VMs, at most `count`, chosen by `random`.
    pub fn sample(&self, count: usize, random: u64) -> Vec<SocketAddr> {
        let mut names: Vec<&CompactString> = self.peers.keys().collect();
        names.sort_by_key(|name| random_rank(name, random));
        let addresses = names.iter().map(|name| self.peers[*name].entry.address);
        addresses.take(count).collect()
    }

    /// Whether another VM is registered with this address.
    pub fn is_known(&self, address: SocketAddr) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.entry.address == address)
    }

    /// Whether another VM is registered with this IP address.
    pub fn is_known_ip(&self, ip: IpAddr) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.entry.address.ip() == ip)
    }

    /// Name of the VM at this address; `None` if there is none or the last
    /// request to it failed.
    pub fn responsive_at(&self, address: SocketAddr) -> Option<&CompactString> {
        let mut peers = self.peers.iter();
        let found = peers.find(|(_, peer)| peer.entry.address == address);
        found
            .filter(|(_, peer)| peer.consecutive_failures == 0)
            .map(|(name, _)| name)
    }

    /// VMs to probe, at most `max_per_domain` of each failure domain.
    pub fn probe_candidates(&self, max_per_domain: usize) -> Vec<(CompactString, PeerEntry)> {
        let mut counts: FastMap<&str, usize> = FastMap::default();
        let mut names: Vec<&CompactString> = self.peers.keys().collect();
        names.sort();
        names
            .into_iter()
            .map(|name| (name, &self.peers[name].entry))
            .filter(|(_, entry)| {
                let count = counts.entry(entry.domain.as_str()).or_default();
                *count += 1;
                *count <= max_per_domain
            })
            .map(|(name, entry)| (name.clone(), entry.clone()))
            .collect()
    }

    /// Whether a VM has not responded for so long that it is taken for dead.
    pub fn is_dead(&self, name: &str, now_ms: u64) -> bool {
        let since = self.peers.get(name).and_then(|peer| peer.failing_since_ms);
        since.is_some_and(|since_ms| now_ms >= since_ms + DEAD_AFTER_MS)
    }

    /// Other failure domains, with the names of their VMs in order.
    pub fn other_domains(&self) -> FastMap<CompactString, Vec<CompactString>> {
        let mut domains: FastMap<CompactString, Vec<CompactString>> = FastMap::default();
        for (name, peer) in &self.peers {
            if peer.entry.domain != self.own_domain {
                let vms = domains.entry(peer.entry.domain.clone()).or_default();
                vms.push(name.clone());
            }
        }
        domains.values_mut().for_each(|vms| vms.sort());
        domains
    }

    /// VM of the own failure domain to which the holder of a program's allowance passes it
    /// on when it stops: the first one in the program's ranking that isn't taken for dead,
    /// this VM included unless it is stopping. `None` if there is none.
    pub fn allowance_heir(&self, program: &ProgramKey, now_ms: u64) -> Option<CompactString> {
        let is_candidate = |name: &CompactString, peer: &Peer| {
            peer.entry.domain == self.own_domain && !self.is_dead(name, now_ms)
        };
        let others = self.peers.iter();
        let others = others.filter(|(name, peer)| is_candidate(name, peer));
        let own = (!self.is_stopping).then_some(&self.own_name);
        let vms = others.map(|(name, _)| name).chain(own);
        rendezvous_hash(&program.0, vms).cloned()
    }

    /// Name of the VM whose incarnation is this writer of budget rows; `None` if it isn't
    /// listed, or the last request to it failed a short time ago.
    pub fn name_of_writer(&self, writer: &str, now_ms: u64) -> Option<&CompactString> {
        let mut peers = self.peers.iter();
        let (name, peer) = peers.find(|(_, peer)| peer.entry.writer == writer)?;
        peer.is_available(now_ms).then_some(name)
    }

    /// Failure domain of this VM.
    pub fn own_domain(&self) -> &CompactString {
        &self.own_domain
    }

    fn addresses<'a, I>(&self, names: I) -> Vec<(CompactString, SocketAddr)>
    where
        I: Iterator<Item = &'a CompactString>,
    {
        names
            .map(|name| (name.clone(), self.peers[name].entry.address))
            .collect()
    }

    /// Address of a VM, if it is known.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.peers.get(name).map(|peer| peer.entry.address)
    }

    /// Records the outcome of a request to a VM.
    pub fn record_outcome(&mut self, name: &str, outcome: PeerOutcome, now_ms: u64) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        match outcome {
            PeerOutcome::Answered => {
                peer.consecutive_failures = 0;
                peer.failing_since_ms = None;
            }
            PeerOutcome::Declined => {
                peer.consecutive_failures = 0;
                peer.failing_since_ms = None;
                peer.backoff_until_ms = now_ms + DECLINED_BACKOFF_MS;
            }
            PeerOutcome::Unreachable => {
                let doublings = peer.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
                peer.backoff_until_ms = now_ms + (UNREACHABLE_BACKOFF_MS << doublings);
                peer.consecutive_failures += 1;
                peer.failing_since_ms.get_or_insert(now_ms);
            }
        }
    }

    /// Records that a VM refused a message of this protocol version as unknown.
    /// Returns whether that is new.
    pub fn record_unknown_message(&mut self, name: &str, protocol: u32, now_ms: u64) -> bool {
        let is_new = !self.lacks_protocol(name, protocol, now_ms);
        self.record_outcome(name, PeerOutcome::Answered, now_ms);
        if let Some(peer) = self.peers.get_mut(name) {
            let earlier = peer.refused.filter(|refused| now_ms < refused.until_ms);
            let lowest = earlier.map_or(protocol, |refused| refused.protocol.min(protocol));
            peer.refused = Some(RefusedMessage {
                protocol: lowest,
                until_ms: now_ms + UNKNOWN_MESSAGE_BACKOFF_MS,
            });
        }
        is_new
    }

    /// Whether a VM is known not to understand messages of this protocol version, by
    /// its entry or by a refusal.
    pub fn lacks_protocol(&self, name: &str, protocol: u32, now_ms: u64) -> bool {
        let Some(peer) = self.peers.get(name) else {
            return false;
        };
        let is_older = peer.entry.protocol > 0 && peer.entry.protocol < protocol;
        let has_refused = peer
            .refused
            .is_some_and(|refused| now_ms < refused.until_ms && protocol >= refused.protocol);
        is_older || has_refused
    }

    /// VMs whose entries should be deleted, with the entries' versions.
    pub fn expired(&self, now_ms: u64) -> Vec<(CompactString, u64)> {
        let is_expired = |peer: &Peer| {
            let since = peer.failing_since_ms;
            since.is_some_and(|since_ms| now_ms >= since_ms + EXPIRE_AFTER_MS)
        };
        self.peers
            .iter()
            .filter(|(_, peer)| is_expired(peer))
            .map(|(name, peer)| (name.clone(), peer.version))
            .collect()
    }
}

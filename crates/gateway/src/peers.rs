//! Other VMs of the gateway, and the choice of those that a VM asks, probes or
//! sends gossip to.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use compact_str::CompactString;
use lagoon_ids::{hash64, rendezvous_hash, FastMap};
use serde::{Deserialize, Serialize};

use crate::allowance::record_holders;
use crate::budget::ProgramKey;
use crate::connectivity::Connectivity;
use crate::reserve::{part_domains, PARTS_PROTOCOL, UNLISTED_HOME_MS};

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

/// Parts of a program's budget that belong to a failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartHome {
    /// Failure domain.
    pub domain: CompactString,
    /// Number of its parts.
    pub parts: u64,
    /// VM that grants them; `None` if no VM does.
    pub home: Option<CompactString>,
    /// Whether the last request to that VM didn't fail.
    pub responds: bool,
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
    /// VMs that are no longer listed in a failure domain, as domain and name, with the
    /// time since which they are not; `None` until [`Peers::part_homes`] notes it.
    former: FastMap<(CompactString, CompactString), Option<u64>>,
    /// Whether a build that knows no parts of budgets was listed since
    /// [`Peers::take_lists_older`].
    has_listed_older: bool,
    /// Whether this VM is stopping and no candidate for any role.
    is_stopping: bool,
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
            former: FastMap::default(),
            has_listed_older: false,
            is_stopping: false,
        }
    }

    /// Excludes this VM from the candidates for coordinators, as it is stopping.
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
    /// the store. Returns whether this incarnation of the VM is new.
    pub fn upsert(&mut self, name: CompactString, entry: PeerEntry, version: u64) -> bool {
        if name == self.own_name {
            self.is_own_listed = true;
            return false;
        }
        self.unlisted.remove(&name);
        self.has_listed_older |= entry.protocol < PARTS_PROTOCOL;
        let known = self.peers.get(&name);
        if let Some(known) = known.filter(|known| known.entry.domain != entry.domain) {
            let place = (known.entry.domain.clone(), name.clone());
            self.former.insert(place, None);
        }
        self.former.remove(&(entry.domain.clone(), name.clone()));
        let known = self.peers.get(&name).filter(|peer| peer.entry == entry);
        let is_new = known.is_none();
        if is_new {
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
        is_new
    }

    /// Whether a VM, of the own failure domain, is one of those that hold a program's
    /// record there.
    pub fn is_record_holder(&self, program: &ProgramKey, name: &str) -> bool {
        let peers = self.peers.iter();
        let local = peers.filter(|(_, peer)| peer.entry.domain == self.own_domain);
        let local = local.map(|(name, _)| name).chain([&self.own_name]);
        let vms: Vec<&CompactString> = local.collect();
        record_holders(program, &vms)
            .iter()
            .any(|holder| *holder == name)
    }

    /// Removes a VM whose entry was deleted from the store or is invalid.
    pub fn remove(&mut self, name: &str, now_ms: u64) {
        self.is_own_listed &= name != self.own_name;
        if let Some((name, peer)) = self.peers.remove_entry(name) {
            let place = (peer.entry.domain, name.clone());
            self.former.insert(place, Some(now_ms));
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

    /// Failure domains that a program's budget has parts for, with their number and the
    /// VM that grants them; `None` where that VM was unlisted lately. The own domain comes
    /// first, then those of the VMs that responded last.
    pub fn part_homes(&mut self, program: &ProgramKey, now_ms: u64) -> Vec<PartHome> {
        self.former
            .retain(|_, removed_ms| now_ms < *removed_ms.get_or_insert(now_ms) + UNLISTED_HOME_MS);
        let listed = self.peers.iter();
        let listed = listed.map(|(name, peer)| (&peer.entry.domain, name));
        let former = self.former.keys().map(|(domain, name)| (domain, name));
        let own = (&self.own_domain, &self.own_name);
        let mut domains: BTreeMap<&CompactString, Vec<&CompactString>> = BTreeMap::new();
        for (domain, name) in listed.chain(former).chain([own]) {
            domains.entry(domain).or_default().push(name);
        }
        let names = domains.keys().map(|domain| (*domain).clone()).collect();
        let parts = part_domains(program, &names).into_iter();
        let mut homes: Vec<PartHome> = parts
            .map(|(domain, parts)| {
                let names = domains.get(&domain);
                let home =
                    names.and_then(|names| rendezvous_hash(&program.0, names.iter().copied()));
                let place = |name: &CompactString| (domain.clone(), name.clone());
                let home = home.filter(|name| !self.former.contains_key(&place(name)));
                let home = home.cloned();
                let peer = home.as_ref().and_then(|name| self.peers.get(name));
                let responds = peer.is_none_or(|peer| peer.consecutive_failures == 0);
                PartHome {
                    domain,
                    parts,
                    home,
                    responds,
                }
            })
            .collect();
        homes.sort_by_key(|home| (home.domain != self.own_domain, !home.responds));
        homes
    }

    /// Whether a build that knows no parts of budgets is listed, or was since the last
    /// call.
    pub fn take_lists_older(&mut self) -> bool {
        let mut peers = self.peers.values();
        let lists_older = peers.any(|peer| peer.entry.protocol < PARTS_PROTOCOL);
        std::mem::take(&mut self.has_listed_older) || lists_older
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
        let is_available =
            |peer: &Peer| peer.consecutive_failures == 0 || peer.backoff_until_ms <= now_ms;
        let available = self.peers.iter().filter(|(_, peer)| is_available(peer));
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
        let is_available =
            |peer: &Peer| peer.consecutive_failures == 0 || peer.backoff_until_ms <= now_ms;
        let available = self.peers.iter().filter(|(_, peer)| is_available(peer));
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

    /// Other VMs that must agree before this one grants a program's allowance, and
    /// that hold the record of it: in each failure domain of the group, the first VM
    /// in the program's ranking, and the next one that isn't taken for dead. So the
    /// VM that is first after an end or a change of the list knows of it. Empty if
    /// no other VM would hold it.
    pub fn claim_holders(
        &self,
        program: &ProgramKey,
        connectivity: Connectivity,
        now_ms: u64,
    ) -> Vec<CompactString> {
        let mut domains: FastMap<&str, Vec<&CompactString>> = FastMap::default();
        for name in self.coordinator_candidates(connectivity) {
            let peer = self.peers.get(name);
            let domain = peer.map_or(&self.own_domain, |peer| &peer.entry.domain);
            domains.entry(domain.as_str()).or_default().push(name);
        }
        let holders = domains.values().flat_map(|vms| {
            let vms = || vms.iter().copied();
            let first = rendezvous_hash(&program.0, vms());
            let others = vms().filter(|name| Some(*name) != first);
            let second = others.filter(|name| !self.is_dead(name, now_ms));
            [first, rendezvous_hash(&program.0, second)]
        });
        let others = holders.flatten().filter(|name| **name != self.own_name);
        others.cloned().collect()
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

    /// Other VMs of the own failure domain that hold a program's record when this one
    /// ends: the first two in the program's ranking that aren't taken for dead.
    pub fn record_successors(&self, program: &ProgramKey, now_ms: u64) -> Vec<CompactString> {
        let is_candidate = |name: &CompactString, peer: &Peer| {
            peer.entry.domain == self.own_domain && !self.is_dead(name, now_ms)
        };
        let others = self.peers.iter();
        let others = others.filter(|(name, peer)| is_candidate(name, peer));
        let vms: Vec<&CompactString> = others.map(|(name, _)| name).collect();
        let successors = record_holders(program, &vms);
        successors.into_iter().cloned().collect()
    }

    /// VMs of which one coordinates a program's allowance: this one, unless it is
    /// stopping, and, if grants are allowed, the others of the group that may grant.
    pub fn coordinator_candidates(&self, connectivity: Connectivity) -> Vec<&CompactString> {
        let is_member = |peer: &Peer| match connectivity {
            Connectivity::AllDomains => true,
            Connectivity::OwnDomain => peer.entry.domain == self.own_domain,
            Connectivity::Store | Connectivity::Indeterminate => false,
        };
        let others = self.peers.iter().filter(|(_, peer)| is_member(peer));
        let own = (!self.is_stopping).then_some(&self.own_name);
        others.map(|(name, _)| name).chain(own).collect()
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

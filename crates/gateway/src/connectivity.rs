//! Connectivity of a VM that can't reach the store.
//!
//! At most one group of VMs may grant allowances at a time. A VM takes part
//! in one of two cases only: every VM that isn't considered dead replies, in
//! every failure domain, and none reaches the store; or no other failure
//! domain replies while a majority of its own does. As partitions separate
//! one failure domain at a time, the two cases never hold at once.

use compact_str::CompactString;
use derive_more::Display;
use lagoon_ids::FastMap;
use serde::{Deserialize, Serialize};

/// Result of probing another VM for whether it reaches the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerProbe {
    /// Failure domain of the probed VM.
    pub domain: CompactString,
    /// Whether the probed VM can't reach the store; `None` if it didn't reply.
    pub is_store_down: Option<bool>,
    /// Whether the probed VM has not replied for so long that it is considered dead.
    pub is_dead: bool,
}

/// What a VM reaches.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum Connectivity {
    /// The store, directly or through another VM.
    #[display("store")]
    Store,
    /// All failure domains, none of which reaches the store.
    #[display("all domains")]
    AllDomains,
    /// The own failure domain only.
    #[display("own domain")]
    OwnDomain,
    /// None of the other cases; no allowance may be granted.
    #[display("unclear")]
    Indeterminate,
}

impl Connectivity {
    /// Whether this VM is in the group that may grant allowances.
    pub fn allows_offline_grants(self) -> bool {
        matches!(self, Connectivity::AllDomains | Connectivity::OwnDomain)
    }
}

#[derive(Default)]
struct Tally {
    probed: usize,
    replied: usize,
}

/// Connectivity by the probes of other VMs, for a VM of the failure domain
/// `own` that can't reach the store.
pub fn classify_connectivity(own: &str, probes: &[PeerProbe]) -> Connectivity {
    if probes
        .iter()
        .any(|probe| probe.is_store_down == Some(false))
    {
        return Connectivity::Store;
    }
    let mut domains: FastMap<&str, Tally> = FastMap::default();
    for probe in probes {
        let tally = domains.entry(probe.domain.as_str()).or_default();
        tally.probed += 1;
        tally.replied += usize::from(probe.is_store_down.is_some());
    }
    let own_tally = domains.remove(own).unwrap_or_default();
    let has_all_domains = domains.values().all(|tally| tally.replied > 0);
    let mut unanswered = probes.iter().filter(|probe| probe.is_store_down.is_none());
    if !domains.is_empty() && has_all_domains && unanswered.all(|probe| probe.is_dead) {
        return Connectivity::AllDomains;
    }
    // This VM counts towards the majority of its domain. If no other VM of the
    // domain replies, perhaps only this VM is cut off and not the domain.
    let has_domain_majority =
        own_tally.replied > 0 && 2 * (own_tally.replied + 1) > own_tally.probed + 1;
    let is_isolated = domains.values().all(|tally| tally.replied == 0);
    match is_isolated && has_domain_majority {
        true => Connectivity::OwnDomain,
        false => Connectivity::Indeterminate,
    }
}

/// Time for which a failure domain that was out of reach must be in reach again
/// before it counts as having told what it granted; over twice the time between two
/// attempts to tell.
const TELL_TIME_MS: u64 = 500;

/// Other failure domains that may have been cut off and granted allowances of which
/// this VM hasn't been told.
#[derive(Debug, Default)]
pub struct CutDoubt {
    /// Domains that were out of reach while another one was in reach, with the time
    /// since which they are in reach again.
    missed: FastMap<CompactString, Option<u64>>,
}

impl CutDoubt {
    /// Records a round of probes by a VM of the failure domain `own`. Without a reply
    /// from another domain, it is the own one that is cut off.
    pub fn record_probes(&mut self, own: &str, probes: &[PeerProbe], now_ms: u64) {
        let others = probes.iter().filter(|probe| probe.domain != own);
        let mut replies: FastMap<&CompactString, bool> = FastMap::default();
        for probe in others {
            *replies.entry(&probe.domain).or_default() |= probe.is_store_down.is_some();
        }
        self.missed.retain(|domain, _| replies.contains_key(domain));
        if !replies.values().any(|has_replied| *has_replied) {
            self.missed.values_mut().for_each(|since| *since = None);
            return;
        }
        for (domain, has_replied) in replies {
            match has_replied {
                true => self.record_reply(domain, now_ms),
                false => {
                    self.missed.insert(domain.clone(), None);
                }
            }
        }
    }

    /// Records a reply of a VM of another failure domain.
    pub fn record_reply(&mut self, domain: &str, now_ms: u64) {
        let Some(since) = self.missed.get_mut(domain) else {
            return;
        };
        let since_ms = *since.get_or_insert(now_ms);
        if now_ms >= since_ms + TELL_TIME_MS {
            self.missed.remove(domain);
        }
    }

    /// Domains that were out of reach and aren't known to have told what they granted.
    pub fn missed_domains(&self) -> impl Iterator<Item = &CompactString> {
        self.missed.keys()
    }

    /// Whether a VM with this connectivity must not grant, nor agree to grants.
    pub fn forbids_grants(&self, connectivity: Connectivity) -> bool {
        connectivity == Connectivity::OwnDomain && !self.missed.is_empty()
    }
}

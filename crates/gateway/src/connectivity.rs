//! Connectivity of a VM that can't reach the store.
//!
//! It decides where a VM turns for tokens, and whether a write waits for the store. A VM
//! whose connectivity isn't clear may be the only one that is cut off.

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
    /// None of the other cases.
    #[display("unclear")]
    Indeterminate,
}

impl Connectivity {
    /// Whether no VM that this one reaches can use the store, as far as is known.
    pub fn is_store_out_of_reach(self) -> bool {
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

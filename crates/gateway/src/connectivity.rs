//! What a VM without the store can still reach.
//!
//! At most one group of VMs may hand out allowances at a time. So a VM takes
//! part only if it sees one of two things: every VM that was within reach
//! lately answers, in every failure domain, and none has the store; or no
//! other domain answers while most of its own does. As domains are cut off
//! one at a time, both are never seen at once.

use compact_str::CompactString;
use derive_more::Display;
use lagoon_ids::FastMap;
use serde::{Deserialize, Serialize};

/// Answer of a VM that was asked whether it has the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerProbe {
    /// Failure domain of the VM.
    pub domain: CompactString,
    /// Whether it is without the store; `None` without an answer.
    pub is_store_down: Option<bool>,
    /// Whether it did not answer for long, and so is taken for gone.
    pub is_dead: bool,
}

/// What is within reach.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum Connectivity {
    /// Store, or a VM that has it.
    #[display("store")]
    Store,
    /// All failure domains, none of which has the store.
    #[display("all domains")]
    AllDomains,
    /// Own failure domain only.
    #[display("own domain")]
    OwnDomain,
    /// Anything else.
    #[display("unclear")]
    Indeterminate,
}

impl Connectivity {
    /// Whether this VM is in a group that goes on without the store.
    pub fn allows_offline_grants(self) -> bool {
        matches!(self, Connectivity::AllDomains | Connectivity::OwnDomain)
    }
}

#[derive(Default)]
struct Tally {
    probed: usize,
    replied: usize,
}

/// Judges the answers of other VMs, for a VM of `own` that is without the
/// store.
pub fn classify_connectivity(own: &str, soundings: &[PeerProbe]) -> Connectivity {
    if soundings
        .iter()
        .any(|sounding| sounding.is_store_down == Some(false))
    {
        return Connectivity::Store;
    }
    let mut domains: FastMap<&str, Tally> = FastMap::default();
    for sounding in soundings {
        let tally = domains.entry(sounding.domain.as_str()).or_default();
        tally.probed += 1;
        tally.replied += usize::from(sounding.is_store_down.is_some());
    }
    let near = domains.remove(own).unwrap_or_default();
    let is_whole = domains.values().all(|tally| tally.replied > 0);
    let mut silent = soundings.iter().filter(|s| s.is_store_down.is_none());
    if !domains.is_empty() && is_whole && silent.all(|sounding| sounding.is_dead) {
        return Connectivity::AllDomains;
    }
    // This VM counts among those of its domain. One that knows no neighbour
    // can't tell the domain's being cut off from its own.
    let has_most_near = near.replied > 0 && 2 * (near.replied + 1) > near.probed + 1;
    let is_alone = domains.values().all(|tally| tally.replied == 0);
    match is_alone && has_most_near {
        true => Connectivity::OwnDomain,
        false => Connectivity::Indeterminate,
    }
}

//! What a VM without the store can still reach.
//!
//! At most one group of VMs may hand out allowances at a time. So a VM takes
//! part only if it sees one of two things: every failure domain answers and
//! none has the store, or no other domain answers while most of its own does.
//! As domains are cut off one at a time, both are never seen at once.

use compact_str::CompactString;
use derive_more::Display;
use lagoon_ids::FastMap;
use serde::{Deserialize, Serialize};

/// Answer of a VM that was asked whether it has the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sounding {
    /// Failure domain of the VM.
    pub domain: CompactString,
    /// Whether it is without the store; `None` without an answer.
    pub is_away: Option<bool>,
}

/// What is within reach.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum Reach {
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
    Unclear,
}

#[derive(Default)]
struct Tally {
    asked: usize,
    answered: usize,
}

/// Judges the answers of other VMs, for a VM of `own` that is without the
/// store.
pub fn judge(own: &str, soundings: &[Sounding]) -> Reach {
    if soundings
        .iter()
        .any(|sounding| sounding.is_away == Some(false))
    {
        return Reach::Store;
    }
    let mut domains: FastMap<&str, Tally> = FastMap::default();
    for sounding in soundings {
        let tally = domains.entry(sounding.domain.as_str()).or_default();
        tally.asked += 1;
        tally.answered += usize::from(sounding.is_away.is_some());
    }
    let near = domains.remove(own).unwrap_or_default();
    // This VM counts among those of its domain.
    let has_most_near = 2 * (near.answered + 1) > near.asked + 1;
    if domains.is_empty() {
        // Without another domain, the own one is all there is.
        return match has_most_near {
            true => Reach::OwnDomain,
            false => Reach::Unclear,
        };
    }
    if domains.values().all(|tally| tally.answered > 0) {
        return Reach::AllDomains;
    }
    let is_alone = domains.values().all(|tally| tally.answered == 0);
    if is_alone && has_most_near {
        return Reach::OwnDomain;
    }
    Reach::Unclear
}

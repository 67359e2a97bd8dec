//! Budget of one program and durable reserve of one family.

use serde::{Deserialize, Serialize};

use crate::ResourceAmounts;

/// Budget of one program, which its descendants draw from too.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Budget {
    /// Most that may be spent.
    pub limit: ResourceAmounts,
    /// Spent by finished calls.
    pub spent: ResourceAmounts,
    /// Worst case of calls under way.
    pub in_flight: ResourceAmounts,
}

impl Budget {
    /// Unspent budget.
    pub fn new(limit: ResourceAmounts) -> Budget {
        Budget {
            limit,
            ..Budget::default()
        }
    }

    /// What further calls may use at worst.
    pub fn remaining(&self) -> ResourceAmounts {
        self.limit
            .saturating_sub(self.spent)
            .saturating_sub(self.in_flight)
    }
}

/// Part of a family's budget that the journal says may be spent.
///
/// A call is sent only when its worst case lies within the durable part, so
/// that a successor which counts the whole reserve as spent counts enough.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Reserve {
    /// Durable and not spent yet.
    pub durable: ResourceAmounts,
    /// Journaled but not durable yet.
    pub pending: ResourceAmounts,
}

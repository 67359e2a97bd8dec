//! Budget of a program and durable reserve of a family.

use serde::{Deserialize, Serialize};

use crate::ResourceAmounts;

/// Budget of a program. Calls of its descendants are charged to it too.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Budget {
    /// Maximum that may be spent.
    pub limit: ResourceAmounts,
    /// Usage that has been charged.
    pub spent: ResourceAmounts,
    /// Sum of the worst-case usage of calls in flight.
    pub in_flight: ResourceAmounts,
}

impl Budget {
    /// Budget with nothing spent.
    pub fn new(limit: ResourceAmounts) -> Budget {
        Budget {
            limit,
            ..Budget::default()
        }
    }

    /// Maximum worst-case usage of further calls.
    pub fn remaining(&self) -> ResourceAmounts {
        self.limit
            .saturating_sub(self.spent)
            .saturating_sub(self.in_flight)
    }
}

/// Part of a family's budget that is reserved in the journal.
///
/// A call is sent only if the durable part covers the worst-case usage of all
/// calls in flight. A successor that charges the whole reserve as spent thus
/// never charges too little.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Reserve {
    /// Reservation that is durable and not spent yet.
    pub durable: ResourceAmounts,
    /// Reservation that is journaled but not durable yet.
    pub pending: ResourceAmounts,
}

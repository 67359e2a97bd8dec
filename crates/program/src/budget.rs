//! Budget of a program and durable reserve of a family.

use serde::{Deserialize, Serialize};

use crate::ResourceAmounts;

/// Budget of a program. Calls of its descendants are charged to it too.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Budget {
    /// Maximum usage of the program and its descendants, from start to end.
    pub limit: ResourceAmounts,
    /// Usage charged so far.
    pub spent: ResourceAmounts,
    /// Sum of the worst-case usage of calls in flight: from
    /// [`Programs::admit`](crate::Programs::admit) to
    /// [`Programs::release`](crate::Programs::release).
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

    /// Limit less the usage charged or in flight: the maximum worst-case usage of another call.
    pub fn remaining(&self) -> ResourceAmounts {
        self.limit
            .saturating_sub(self.spent)
            .saturating_sub(self.in_flight)
    }
}

/// Part of a family's budget that is reserved in the journal.
///
/// A call is sent only if the durable part covers the worst-case usage of all
/// calls of the family in flight. A successor that charges the whole reserve as
/// spent thus never charges too little.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Reserve {
    /// Amounts reserved by durable records, less the usage charged since.
    pub durable: ResourceAmounts,
    /// Amounts reserved by records that are journaled but not durable yet.
    pub pending: ResourceAmounts,
}

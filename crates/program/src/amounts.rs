//! Amounts of the resources that budgets limit.

use serde::{Deserialize, Serialize};

/// Amount of each resource; all operations work component by component.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ResourceAmounts {
    /// Input and output tokens.
    pub tokens: u64,
    /// Money, in millionths of the currency unit.
    pub money_micros: u64,
    /// Number of calls.
    pub turns: u64,
}

impl ResourceAmounts {
    /// Maximum of each amount; stands for no limit.
    pub const UNBOUNDED: ResourceAmounts = ResourceAmounts {
        tokens: u64::MAX,
        money_micros: u64::MAX,
        turns: u64::MAX,
    };

    fn zip_with<F>(self, other: ResourceAmounts, f: F) -> ResourceAmounts
    where
        F: Fn(u64, u64) -> u64,
    {
        ResourceAmounts {
            tokens: f(self.tokens, other.tokens),
            money_micros: f(self.money_micros, other.money_micros),
            turns: f(self.turns, other.turns),
        }
    }

    /// Sum, saturating at `u64::MAX`.
    pub fn saturating_add(self, other: ResourceAmounts) -> ResourceAmounts {
        self.zip_with(other, u64::saturating_add)
    }

    /// Difference, saturating at 0.
    pub fn saturating_sub(self, other: ResourceAmounts) -> ResourceAmounts {
        self.zip_with(other, u64::saturating_sub)
    }

    /// Component-wise maximum.
    pub fn max(self, other: ResourceAmounts) -> ResourceAmounts {
        self.zip_with(other, u64::max)
    }

    /// Component-wise minimum.
    pub fn min(self, other: ResourceAmounts) -> ResourceAmounts {
        self.zip_with(other, u64::min)
    }

    /// Quotient, rounded up; panics if `divisor` is 0.
    pub fn div_ceil(self, divisor: u64) -> ResourceAmounts {
        self.zip_with(self, |amount, _| amount.div_ceil(divisor))
    }

    /// Whether no amount exceeds that of `other`.
    pub fn fits_within(self, other: ResourceAmounts) -> bool {
        self.min(other) == self
    }
}

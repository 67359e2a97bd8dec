//! Amounts that budgets count.

use serde::{Deserialize, Serialize};

/// Tokens, money and turns.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ResourceAmounts {
    /// Tokens.
    pub tokens: u64,
    /// Money, in millionths.
    pub money_micros: u64,
    /// Calls.
    pub turns: u64,
}

impl ResourceAmounts {
    /// Amounts without a practical bound.
    pub const UNBOUNDED: ResourceAmounts = ResourceAmounts {
        tokens: u64::MAX,
        money_micros: u64::MAX,
        turns: u64::MAX,
    };

    fn each<F>(self, other: ResourceAmounts, f: F) -> ResourceAmounts
    where
        F: Fn(u64, u64) -> u64,
    {
        ResourceAmounts {
            tokens: f(self.tokens, other.tokens),
            money_micros: f(self.money_micros, other.money_micros),
            turns: f(self.turns, other.turns),
        }
    }

    /// Sum, at most the largest number.
    pub fn saturating_add(self, other: ResourceAmounts) -> ResourceAmounts {
        self.each(other, u64::saturating_add)
    }

    /// Difference, at least zero.
    pub fn saturating_sub(self, other: ResourceAmounts) -> ResourceAmounts {
        self.each(other, u64::saturating_sub)
    }

    /// Larger of each.
    pub fn max(self, other: ResourceAmounts) -> ResourceAmounts {
        self.each(other, u64::max)
    }

    /// Smaller of each.
    pub fn min(self, other: ResourceAmounts) -> ResourceAmounts {
        self.each(other, u64::min)
    }

    /// Each divided by `divisor`, rounded up.
    pub fn div_ceil(self, divisor: u64) -> ResourceAmounts {
        self.each(self, |amount, _| amount.div_ceil(divisor))
    }

    /// Whether each is at most the other's.
    pub fn fits_within(self, other: ResourceAmounts) -> bool {
        self.min(other) == self
    }
}

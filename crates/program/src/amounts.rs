//! Amounts that budgets count.

use serde::{Deserialize, Serialize};

/// Tokens, money and turns.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Amounts {
    /// Tokens.
    pub tokens: u64,
    /// Money, in millionths.
    pub money_micros: u64,
    /// Calls.
    pub turns: u64,
}

impl Amounts {
    /// Amounts without a practical bound.
    pub const UNBOUNDED: Amounts = Amounts {
        tokens: u64::MAX,
        money_micros: u64::MAX,
        turns: u64::MAX,
    };

    fn each<F>(self, other: Amounts, f: F) -> Amounts
    where
        F: Fn(u64, u64) -> u64,
    {
        Amounts {
            tokens: f(self.tokens, other.tokens),
            money_micros: f(self.money_micros, other.money_micros),
            turns: f(self.turns, other.turns),
        }
    }

    /// Sum, at most the largest number.
    pub fn plus(self, other: Amounts) -> Amounts {
        self.each(other, u64::saturating_add)
    }

    /// Difference, at least zero.
    pub fn minus(self, other: Amounts) -> Amounts {
        self.each(other, u64::saturating_sub)
    }

    /// Larger of each.
    pub fn max(self, other: Amounts) -> Amounts {
        self.each(other, u64::max)
    }

    /// Smaller of each.
    pub fn min(self, other: Amounts) -> Amounts {
        self.each(other, u64::min)
    }

    /// Each divided by `divisor`, rounded up.
    pub fn share(self, divisor: u64) -> Amounts {
        self.each(self, |amount, _| amount.div_ceil(divisor))
    }

    /// Whether each is at most the other's.
    pub fn fits(self, other: Amounts) -> bool {
        self.min(other) == self
    }
}

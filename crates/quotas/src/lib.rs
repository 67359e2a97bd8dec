//! Quotas of client accounts over all VMs.
//!
//! Each failure domain has a token bucket for each account, at one of its VMs, the
//! grantor. Other VMs get batches of tokens from it and use one for each attempt at a
//! target; domains transfer tokens that they don't need.
//!
//! Nothing here has a clock, a thread, a socket or a random source; each call gets
//! times as arguments.

mod grantor;
mod order;
mod rate;
mod stock;

pub use grantor::{
    Grant, Grantor, GrantorRole, QuotaDecision, Reservation, Reserved, Shortage,
    TRANSFER_INTERVAL_MS,
};
pub use order::{grantor_order, Reachability, TAKEOVER_MS};
pub use stock::{Stock, Take};

use lagoon_accounts::Quota;
use serde::{Deserialize, Serialize};

/// Class of a request that needs a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestClass {
    /// Request of a program that has begun, or of none.
    Running,
    /// First request of a program.
    NewProgram,
}

/// Tokens that a VM asks for, by class.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaDemand {
    /// For programs that have begun, and for requests of none.
    pub running: u32,
    /// For first requests of programs.
    pub new_programs: u32,
}

impl QuotaDemand {
    /// Tokens of both classes.
    pub fn total(self) -> u32 {
        self.running.saturating_add(self.new_programs)
    }
}

/// Quota of an account in one version of the configuration.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuotaTerms {
    /// Version of the configuration. The grantor applies the newest that it has received.
    pub version: u64,
    /// Requests per second over all VMs.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

impl QuotaTerms {
    /// Quota as this version of the configuration states it.
    pub fn new(version: u64, quota: Quota) -> QuotaTerms {
        QuotaTerms {
            version,
            rate_per_s: quota.rate_per_s,
            burst: quota.burst,
        }
    }

    /// Rates and bursts of messages are checked like those of the configuration.
    fn is_valid(&self) -> bool {
        let is_burst = self.burst.is_finite() && self.burst >= 0.0;
        self.rate_per_s.is_finite() && self.rate_per_s > 0.0 && is_burst
    }
}

/// Time for which a VM may use a token after it asked for it, by the length of the
/// windows and the excess that they allow. At least the time of a round trip, also where
/// the settings allow no excess.
pub fn token_ttl_ms(window_s: f64, excess: f64) -> u64 {
    /// The rest of the excess is left to transfers, takeovers and the time that requests
    /// travel.
    const TTL_SHARE: f64 = 0.4;
    const MIN_TTL_MS: u64 = 40;
    ((window_s * excess * TTL_SHARE * 1e3) as u64).max(MIN_TTL_MS)
}

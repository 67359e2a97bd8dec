//! Permits that a VM grants for requests to targets with limits.

use derive_more::Display;
use lagoon_ids::FastMap;
use serde::{Deserialize, Serialize};

use crate::bucket::TokenBucket;
use crate::statement::RunId;

/// Time within which a permit is used. A request that is sent later could fall into a
/// window of time with more permits than the limit allows.
pub const PERMIT_TTL_MS: u64 = 250;

/// Time without a reply after which the next VM is asked for a permit: some round trips
/// between failure domains.
pub const PERMIT_TIMEOUT_MS: u64 = 40;

/// Time after which a target is tried again for which no VM granted or refused a
/// permit.
pub const NO_GRANTOR_RETRY_MS: u64 = 100;

/// Tokens that a full bucket has, besides those of [`BURST_S`].
const MIN_CAPACITY: f64 = 2.0;

/// Time at the bucket's rate whose tokens a full bucket has.
const BURST_S: f64 = 0.1;

/// Rate of a standby's bucket as a share of the limit. Primary and standby together
/// stay below 1.5 times the limit.
const STANDBY_SHARE: f64 = 0.4;

/// Rate of a target that states a smaller limit, in requests per second, so that its
/// responses show when the limit ends.
const MIN_RATE_PER_S: f64 = 0.05;

/// Share of its capacity that the bucket must have for a new program on a route of the
/// highest priority, and what each step of lower priority adds. The rest is left to
/// programs that have begun.
const NEW_PROGRAM_SHARE: f64 = 0.65;
const PRIORITY_STEP_SHARE: f64 = 0.15;
const MAX_NEW_PROGRAM_SHARE: f64 = 0.95;

/// Bounds of the time after which a refused request is asked for again.
const RETRY_MS: std::ops::RangeInclusive<f64> = 5.0..=1_000.0;

/// Time without a request after which a bucket is dropped.
const MAX_IDLE_MS: u64 = 60_000;

/// Which of the VMs that grant permits for a run this one is.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum GrantorRank {
    /// The VM that is asked first.
    #[display("primary")]
    Primary,
    /// The VM that is asked while the primary can't be reached.
    #[display("standby")]
    Standby,
}

/// Kind of a request that needs a permit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Demand {
    /// Request of a program that has begun, or of none.
    Running,
    /// First request of a program.
    NewProgram {
        /// Priority of its route; 0 is the highest.
        priority: u32,
    },
}

impl Demand {
    /// Tokens that must be in a bucket of this capacity.
    fn level(self, capacity: f64) -> f64 {
        match self {
            Demand::Running => 1.0,
            Demand::NewProgram { priority } => {
                let share = NEW_PROGRAM_SHARE + PRIORITY_STEP_SHARE * f64::from(priority);
                (share.min(MAX_NEW_PROGRAM_SHARE) * capacity).max(1.0)
            }
        }
    }
}

/// Outcome of a request for a permit.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum PermitDecision {
    /// One request may be sent.
    #[display("granted")]
    Granted,
    /// The limit is reached.
    #[display("refused")]
    Refused {
        /// Time until a permit may be granted.
        retry_ms: u32,
    },
    /// The VM doesn't grant permits for this run.
    #[display("not the grantor")]
    NotGrantor,
    /// The run has no limit any more.
    #[display("not limited")]
    NotLimited,
}

/// Buckets of the runs for which this VM grants permits.
#[derive(Clone, Debug, Default)]
pub struct Grantor {
    buckets: FastMap<RunId, TokenBucket>,
}

impl Grantor {
    /// Decides on one request to a run with this limit.
    pub fn decide(
        &mut self,
        run: RunId,
        limit_per_s: f64,
        rank: GrantorRank,
        demand: Demand,
        now_ms: u64,
    ) -> PermitDecision {
        let rate_per_s = match rank {
            GrantorRank::Primary => limit_per_s.max(MIN_RATE_PER_S),
            GrantorRank::Standby => limit_per_s.max(MIN_RATE_PER_S) * STANDBY_SHARE,
        };
        let capacity = MIN_CAPACITY + BURST_S * rate_per_s;
        let bucket = self
            .buckets
            .entry(run)
            .or_insert_with(|| TokenBucket::new(rate_per_s, capacity, now_ms));
        bucket.refill(rate_per_s, capacity, now_ms);
        match bucket.take(demand.level(bucket.capacity())) {
            Ok(()) => PermitDecision::Granted,
            Err(wait_ms) => PermitDecision::Refused {
                retry_ms: wait_ms.clamp(*RETRY_MS.start(), *RETRY_MS.end()).ceil() as u32,
            },
        }
    }

    /// Removes the buckets that were not asked for lately.
    pub fn remove_idle(&mut self, now_ms: u64) {
        self.buckets
            .retain(|_, bucket| bucket.idle_ms(now_ms) < MAX_IDLE_MS);
    }
}

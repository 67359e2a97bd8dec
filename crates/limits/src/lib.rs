//! Limits on the requests per second that a target takes from all VMs together, as
//! it states them in its responses, and the permits that keep the sum within them.
//!
//! Nothing here has a clock, a thread, a socket or a random source; each call gets
//! times as arguments.

mod bucket;
mod grantor;
mod ranking;
mod statement;

pub use bucket::TokenBucket;
pub use grantor::{
    Demand, Grantor, GrantorRank, PermitDecision, NO_GRANTOR_RETRY_MS, PERMIT_TIMEOUT_MS,
    PERMIT_TTL_MS,
};
pub use ranking::{grantors, rank};
pub use statement::{LimitChange, LimitTable, LimitUpdate, RunId};

//! Load balancing over targets and scheduling of waiting calls.
//!
//! A target gets a call only while its estimated load is below its slots. A
//! VM's own calls in flight count on top of the last load report, which lags.

mod balancer;
mod queue;

pub use balancer::{Balancer, BalancerSettings, PlacementHint, TargetState};
pub use queue::{Priority, WaitQueue};

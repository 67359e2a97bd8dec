//! Choice of a target and order between waiting calls.
//!
//! A window bounds the calls that one VM has under way at a target. Own
//! calls in flight count on top of the last load report, which lags.

mod balancer;
mod queue;

pub use balancer::{Balancer, BalancerSettings, PlacementHint, TargetState};
pub use queue::{Priority, WaitQueue};

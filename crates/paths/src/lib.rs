//! Paths of a VM to targets: which ones it can't reach although they run, and which
//! other VM carries an attempt to such a target.
//!
//! Nothing here does I/O or reads a clock; times are milliseconds of the caller's
//! monotonic clock.

mod carriers;
mod paths;

pub use carriers::{CarrierSettings, Carriers, Decline, Vm};
pub use paths::{Loss, PathChange, PathSettings, Paths, Way};

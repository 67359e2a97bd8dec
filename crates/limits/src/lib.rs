//! Limits on the requests per second that a target takes from all VMs together, as
//! it states them in its responses.
//!
//! Nothing here has a clock, a thread, a socket or a random source; each call gets
//! times as arguments.

mod statement;

pub use statement::{LimitChange, LimitTable, LimitUpdate, RunId};

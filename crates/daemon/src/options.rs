//! Command line of the daemon.

mod args;

pub use args::{parse_args, Command, UsageError};

//! Command line.

mod args;
mod command;

pub use args::{parse_args, usage, Options, Parsed, UsageError};
pub use command::Command;

//! Command line options.

mod args;
mod command;

pub use args::{parse_args, usage, Options, ParsedArgs, UsageError};
pub use command::Command;

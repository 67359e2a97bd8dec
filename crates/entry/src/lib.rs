//! Entry daemon: HTTP from callers to targets.
//!
//! One thread drives all connections. Decisions are those of
//! `lagoon-gateway`, names and formats those of `lagoon-adapter`; here are
//! sockets, timers and the order in which both are asked.

mod body;
mod clock;
mod connection;
mod forward;
mod ledger;
mod metrics;
mod news;
mod options;
mod peers;
mod pool;
mod registration;
mod relay;
mod response;
mod run;
mod server;
mod settings;
mod state;
mod store;
mod suspects;
mod watch;

pub use options::{parse_args, Command, UsageError};
pub use run::{run, RunError};
pub use settings::{load, parse, EntrySettings, SettingsError};

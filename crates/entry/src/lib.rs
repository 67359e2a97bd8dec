//! Entry daemon: forwards callers' HTTP requests to targets.
//!
//! One thread drives all connections. `lagoon-gateway` makes the decisions, and
//! `lagoon-adapter` defines header names and formats; this crate contains the
//! sockets, the timers and the control flow.

mod accounts;
mod body;
mod caller_io;
mod carry;
mod clock;
mod connection;
mod evidence;
mod exchange;
mod forward;
mod freshness;
mod idle;
mod ledger;
mod memory;
mod message;
mod message_handler;
mod metrics;
mod news;
mod options;
mod panics;
mod paths;
mod peers;
mod permits;
mod pool;
mod quotas;
mod registration;
mod response;
mod run;
mod server;
mod settings;
mod state;
mod store;
mod streams;
mod suspects;
mod tables;
mod tasks;
mod turns;
mod unanswered;
mod watch;

pub use memory::HeapBytes;
pub use options::{parse_args, Command, UsageError};
pub use run::{run, run_within_memory, RunError};
pub use settings::{load, parse, AccountSettings, EntrySettings, SettingsError};

/// Formats of what VMs send each other, which builds of different versions share.
/// docs/design/compatibility.md says how they may change.
pub mod wire {
    pub use crate::carry::{decode_attempt, write_attempt, CarriedAttempt, CarryEnd};
    pub use crate::evidence::FreshnessReply;
    pub use crate::message::{PeerMessage, StoreResult, TurnReply};
    pub use crate::news::News;
    pub use crate::paths::TargetReach;
    pub use crate::permits::{PermitReply, PermitRequest};
    pub use crate::quotas::{QuotaRequest, ReservationRequest, TransferRequest};
}

//! Heartbeat between VMs.

use std::net::SocketAddr;

use lagoon_ids::{DomainName, Incarnation, TargetName, VmName};
use serde::{Deserialize, Serialize};

/// Load of one target, as last polled.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Target that the load was polled from.
    pub target: TargetName,
    /// Calls that the target is executing.
    pub running: u32,
    /// Calls that the target has accepted but not started.
    pub waiting: u32,
    /// Whether the target is shutting down.
    pub leaving: bool,
}

/// Periodic message of a VM to other VMs about its state and the loads of targets.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// VM that sends the heartbeat.
    pub vm: VmName,
    /// Failure domain of the sender.
    pub domain: DomainName,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Start of the incarnation, in milliseconds since the Unix epoch; increases
    /// with each start of the daemon on the VM.
    pub started_ms: u64,
    /// Address at which the sender receives messages from other VMs.
    pub peer_address: SocketAddr,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Version of the sheet in effect on the sender; 0 if none is.
    pub sheet_version: u64,
    /// Latest loads of the targets that the sender polls.
    pub loads: Vec<LoadReport>,
}

//! What VMs tell each other at each heartbeat.

use std::net::SocketAddr;

use lagoon_ids::{DomainName, Incarnation, TargetName, VmName};
use serde::{Deserialize, Serialize};

/// Load of one target, as last read by the VM that polls it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Target.
    pub target: TargetName,
    /// Calls it runs.
    pub running: u32,
    /// Calls it has admitted and not begun.
    pub waiting: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Heartbeat of a VM.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Number of the incarnation's start, which grows with each start.
    pub started_ms: u64,
    /// Where it takes messages.
    pub peer_address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Version of the sheet it has in force.
    pub sheet_version: u64,
    /// Loads of the targets that it polls.
    pub loads: Vec<LoadReport>,
}

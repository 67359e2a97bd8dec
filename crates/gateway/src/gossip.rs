//! What VMs tell each other of targets and of lines of calls.
//!
//! A VM sees a target's load only in the answers to its own requests, which
//! is seldom where many VMs share many targets. So each tells its neighbours
//! what it has under way at each target, and what targets told it. It tells
//! all VMs at which target a line of calls is served, as the next call of the
//! line may come through any of them.

use serde::{Deserialize, Serialize};

/// Short name of a target: a hash of its identity.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TargetHash(pub u32);

/// Short name of a line of calls: a hash of its name. Two lines of the same
/// tag disturb each other's placement and nothing else.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct SessionHash(pub u32);

/// Load that a target told one VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests that run or wait there.
    pub requests: u32,
    /// Time since.
    pub age_ms: u64,
}

/// What a VM knows of one target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetUpdate {
    /// Target.
    pub target: TargetHash,
    /// Requests that the VM has there.
    pub in_flight: u32,
    /// Newest load that the target told, unless it was told before.
    pub load_report: Option<LoadReport>,
    /// Mean gap between the events of the VM's streams since it told last.
    pub event_interval_ms: Option<u32>,
}

/// Target that serves a line of calls.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AffinityUpdate {
    /// Line.
    pub session: SessionHash,
    /// Target.
    pub target: TargetHash,
}

/// Message to another VM; lost ones do no lasting harm.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GossipMessage {
    /// Targets where the VM has requests, or had when it told last; takes the
    /// place of what it told before. `None` for VMs that aren't neighbours.
    pub targets: Option<Vec<TargetUpdate>>,
    /// Lines that are served elsewhere than was known.
    pub affinities: Vec<AffinityUpdate>,
}

//! Gossip between VMs on the load of targets and on session affinity.
//!
//! A VM sees a target's load only in the responses to its own requests, which
//! are few where many VMs share many targets. So each VM sends its gossip peers
//! its in-flight requests at each target and the load reports that it got. It
//! sends the target of a session to all VMs, as the session's next request may
//! come through any of them.

use lagoon_capacity::TargetSpeed;
use lagoon_ids::hash64;
use serde::{Deserialize, Serialize};

use crate::admission::AdmittedPrograms;

/// Hash of a target's id that identifies it in gossip.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetHash(pub u32);

impl TargetHash {
    /// Hash of a target's id.
    pub fn of_id(id: &str) -> TargetHash {
        TargetHash(hash64(id.as_bytes()) as u32)
    }
}

/// Hash of an affinity key. Sessions with equal hashes disturb each other's
/// placement and nothing else.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct SessionHash(pub u32);

/// Load that a target reported to one VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests that run or wait at the target.
    pub requests: u32,
    /// Time from the target's report to the message that passes it on.
    pub age_ms: u64,
}

/// In-flight requests, load and speed of one target, as the sender sees them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetUpdate {
    /// Target that the update is about.
    pub target: TargetHash,
    /// Requests that the VM has in flight at the target.
    pub in_flight: u32,
    /// Newest load report of the target; `None` if there is none or it was sent
    /// before.
    pub load_report: Option<LoadReport>,
    /// Mean time between two events of the VM's streams from the target since the
    /// VM's last update; `None` without a sample.
    pub event_interval_ms: Option<u32>,
}

/// Target that serves a session.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AffinityUpdate {
    /// Hash of the session's affinity key.
    pub session: SessionHash,
    /// Target that serves the session.
    pub target: TargetHash,
}

/// Message to another VM, without acknowledgement. If it is lost, the next
/// message brings newer loads; a session whose new target was lost may cost one
/// more prefill of its prompt.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GossipMessage {
    /// Targets with requests in flight now or in the last message; replaces the
    /// targets of the sender's last message. `None` for VMs that aren't gossip
    /// peers.
    pub targets: Option<Vec<TargetUpdate>>,
    /// Sessions whose target changed since the sender's last message.
    pub affinities: Vec<AffinityUpdate>,
}

/// What a VM learned of the capacity of targets and of its use.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CapacityUpdate {
    /// Speed of a target.
    Speed(TargetSpeed),
    /// Programs that were admitted for an account.
    Admitted(AdmittedPrograms),
}

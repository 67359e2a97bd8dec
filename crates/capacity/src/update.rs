//! What VMs tell each other of the speed of targets.

use serde::{Deserialize, Serialize};

/// Speed of one target, as the sender measured it or the target reported it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetSpeed {
    /// Hash of the target's id.
    pub target: u32,
    /// Newest figure that the target reported, in percent, with its age; `None` if there
    /// is none or it was sent before.
    pub figure: Option<(u16, u16)>,
    /// Mean time of the sender's requests since its last update, in percent of that which
    /// the target's figures explain, with their number; `None` without a sample.
    pub measured: Option<(u16, u8)>,
}

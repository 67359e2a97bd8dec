//! Admission of new programs.
//!
//! Programs in progress have prompts cached at their targets. With more of them
//! than slots, all become late together and evict each other's prompts. So a
//! new program waits for a slot and is told to retry later if none gets free
//! soon.

use crate::placement::Placement;

/// Limits on load and waiting time by which [`admit`] decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Load up to which a target takes new programs, as a share of its slots.
    pub max_load_share: f64,
    /// Maximum time that a new program waits for a slot.
    pub max_wait_ms: u64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        AdmissionSettings {
            max_load_share: 0.9,
            // Half of the time within which the first token of a call is due.
            max_wait_ms: 120,
        }
    }
}

/// Decision on a new program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The program may start.
    Admit,
    /// The program waits for a slot.
    Wait,
    /// The program is refused and should retry later.
    Refuse,
}

/// Decision on a new program that has waited for `waited_ms` and would run at
/// `placement`.
pub fn admit(settings: &AdmissionSettings, placement: &Placement, waited_ms: u64) -> Admission {
    if placement.load < placement.slots * settings.max_load_share {
        Admission::Admit
    } else if waited_ms < settings.max_wait_ms {
        Admission::Wait
    } else {
        Admission::Refuse
    }
}

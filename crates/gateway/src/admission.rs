//! Whether a new program may begin.
//!
//! Programs under way keep prompts at their targets. With more of them than
//! targets have places, all become late together, and prompts push each other
//! out. So a new one waits for a place, and is asked to come back if none gets
//! free soon.

use crate::placement::Placement;

/// Settings of [`admit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Share of a target's places up to which it takes new programs.
    pub max_load_share: f64,
    /// Longest wait for a place.
    pub max_wait_ms: u64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        AdmissionSettings {
            max_load_share: 0.9,
            // Half of the time in which the first token of a call is due.
            max_wait_ms: 120,
        }
    }
}

/// What a new program does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Begins.
    Admit,
    /// Waits for a place.
    Wait,
    /// Is refused.
    Refuse,
}

/// Decides on a new program that has waited for `waited_ms`, and would be
/// served by `choice`.
pub fn admit(settings: &AdmissionSettings, choice: &Placement, waited_ms: u64) -> Admission {
    if choice.load < choice.slots * settings.max_load_share {
        Admission::Admit
    } else if waited_ms < settings.max_wait_ms {
        Admission::Wait
    } else {
        Admission::Refuse
    }
}

//! Copies of a turn on other VMs, where the store does not confirm it in time.
//!
//! A turn counts as safe on this VM and two more, one of them in another
//! failure domain if any VM there accepts it.

use serde::{Deserialize, Serialize};

/// Number of other VMs that must accept a turn, if there are as many.
const REQUIRED_COPIES: usize = 2;

/// Maximum number of VMs that are asked in all.
const MAX_ASKED: usize = 8;

/// Response of a VM that is asked to hold a copy of a turn.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CopyReply {
    /// It doesn't hold the copy.
    Refused,
    /// It holds the copy.
    Held,
    /// It knows another version of the turn.
    OtherVersion,
}

/// What to do next for the copies of a turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyStep {
    /// Send the turn to the candidate with this index.
    Send(usize),
    /// Wait for the response of a VM that was asked.
    Wait,
    /// Enough VMs have accepted the turn.
    Safe,
    /// Too few VMs can be reached, or one knows another version of the turn.
    Failed,
}

/// Progress of the copies of one turn.
#[derive(Clone, Debug)]
pub struct CopyPlan {
    /// Whether each candidate is in another failure domain, in the order in
    /// which they are asked.
    is_remote: Vec<bool>,
    required: usize,
    /// Number of candidates that were asked.
    asked: usize,
    in_flight: usize,
    accepted: usize,
    has_remote: bool,
    /// Candidates in other domains that have neither accepted nor failed.
    open_remotes: usize,
    /// Whether another version fails the plan; not for a turn that was answered.
    needs_one_version: bool,
    has_other_version: bool,
}

impl CopyPlan {
    /// Copies of a turn that this VM goes on holding; the candidates are in the
    /// order of preference.
    pub fn new(is_remote: Vec<bool>) -> CopyPlan {
        CopyPlan::with_copies(is_remote, REQUIRED_COPIES, true)
    }

    /// Copies of a turn that this VM is about to lose, as it stops.
    pub fn for_handover(is_remote: Vec<bool>) -> CopyPlan {
        CopyPlan::with_copies(is_remote, REQUIRED_COPIES + 1, false)
    }

    fn with_copies(is_remote: Vec<bool>, required: usize, needs_one_version: bool) -> CopyPlan {
        let asked = is_remote.iter().take(MAX_ASKED);
        let open_remotes = asked.filter(|is_remote| **is_remote).count();
        CopyPlan {
            required: required.min(is_remote.len()),
            is_remote,
            asked: 0,
            in_flight: 0,
            accepted: 0,
            has_remote: false,
            open_remotes,
            needs_one_version,
            has_other_version: false,
        }
    }

    /// Next step; after [`CopyStep::Send`], the caller asks again.
    pub fn next_step(&mut self) -> CopyStep {
        if self.needs_one_version && self.has_other_version {
            return CopyStep::Failed;
        }
        let candidates = self.is_remote.len().min(MAX_ASKED);
        let required = self.required;
        let needs_remote = !self.has_remote && self.open_remotes > 0;
        if required > 0 && self.accepted >= required && !needs_remote {
            return CopyStep::Safe;
        }
        let wanted = required
            .saturating_sub(self.accepted)
            .max(usize::from(needs_remote));
        if self.in_flight < wanted && self.asked < candidates {
            self.asked += 1;
            self.in_flight += 1;
            return CopyStep::Send(self.asked - 1);
        }
        if self.in_flight > 0 {
            CopyStep::Wait
        } else {
            CopyStep::Failed
        }
    }

    /// Records the response of the candidate with this index.
    pub fn record_response(&mut self, candidate: usize, reply: CopyReply) {
        let is_remote = self.is_remote.get(candidate).copied().unwrap_or_default();
        self.in_flight = self.in_flight.saturating_sub(1);
        if is_remote {
            self.open_remotes = self.open_remotes.saturating_sub(1);
        }
        self.has_other_version |= reply == CopyReply::OtherVersion;
        if reply == CopyReply::Held {
            self.accepted += 1;
            self.has_remote |= is_remote;
        }
    }
}

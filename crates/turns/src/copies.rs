//! Copies of a turn on other VMs, where the store does not confirm it in time.
//!
//! A turn counts as safe on this VM and two more, one of them in another
//! failure domain if any VM there accepts it.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Number of other VMs that must accept a turn, if there are as many.
const REQUIRED_COPIES: usize = 2;

/// Number of VMs that are asked at most, in the order of preference.
const MAX_ASKED: usize = 8;

/// VMs of the own failure domain that are asked at least, also if they come later in
/// the order: in a fleet of several domains, most of the first [`MAX_ASKED`] may be in
/// domains that are out of reach.
const MIN_LOCAL_ASKED: usize = 3;

/// VMs of other domains that are asked at the same time once one of them has not
/// accepted. A partition makes each of them cost a timeout.
const MAX_REMOTE_IN_FLIGHT: usize = 3;

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
    /// Whether each candidate is in another failure domain.
    is_remote: Vec<bool>,
    required: usize,
    /// Candidates that were not asked yet, in the order of preference.
    unasked: VecDeque<usize>,
    local_in_flight: usize,
    remote_in_flight: usize,
    accepted: usize,
    has_remote: bool,
    /// Whether a VM of another domain has not accepted.
    has_remote_failure: bool,
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
        let first = 0..is_remote.len().min(MAX_ASKED);
        let mut unasked: VecDeque<usize> = first.collect();
        let local_count = unasked.iter().filter(|index| !is_remote[**index]).count();
        let further = (unasked.len()..is_remote.len()).filter(|index| !is_remote[*index]);
        unasked.extend(further.take(MIN_LOCAL_ASKED.saturating_sub(local_count)));
        CopyPlan {
            required: required.min(is_remote.len()),
            is_remote,
            unasked,
            local_in_flight: 0,
            remote_in_flight: 0,
            accepted: 0,
            has_remote: false,
            has_remote_failure: false,
            needs_one_version,
            has_other_version: false,
        }
    }

    /// Next step; after [`CopyStep::Send`], the caller asks again.
    pub fn next_step(&mut self) -> CopyStep {
        if self.needs_one_version && self.has_other_version {
            return CopyStep::Failed;
        }
        let has_open_remote = self.remote_in_flight > 0 || self.has_unasked(true);
        let needs_remote = !self.has_remote && has_open_remote;
        if self.required > 0 && self.accepted >= self.required && !needs_remote {
            return CopyStep::Safe;
        }
        if let Some(candidate) = self.next_candidate(needs_remote) {
            match self.is_remote[candidate] {
                true => self.remote_in_flight += 1,
                false => self.local_in_flight += 1,
            }
            return CopyStep::Send(candidate);
        }
        match self.local_in_flight + self.remote_in_flight {
            0 => CopyStep::Failed,
            _ => CopyStep::Wait,
        }
    }

    /// Candidate to ask now, if any: in the order of preference while other domains
    /// accept; otherwise VMs of the own domain complete the number while several of
    /// other domains are tried.
    fn next_candidate(&mut self, needs_remote: bool) -> Option<usize> {
        let missing = self.required.saturating_sub(self.accepted);
        let in_flight = self.local_in_flight + self.remote_in_flight;
        if !self.has_remote_failure {
            let wanted = missing.max(usize::from(needs_remote));
            return (in_flight < wanted).then(|| self.unasked.pop_front())?;
        }
        if needs_remote && self.remote_in_flight < MAX_REMOTE_IN_FLIGHT {
            if let Some(candidate) = self.take_unasked(true) {
                return Some(candidate);
            }
        }
        if self.local_in_flight < missing {
            if let Some(candidate) = self.take_unasked(false) {
                return Some(candidate);
            }
        }
        (in_flight < missing).then(|| self.unasked.pop_front())?
    }

    fn has_unasked(&self, is_remote: bool) -> bool {
        let mut unasked = self.unasked.iter();
        unasked.any(|candidate| self.is_remote[*candidate] == is_remote)
    }

    fn take_unasked(&mut self, is_remote: bool) -> Option<usize> {
        let mut unasked = self.unasked.iter();
        let position = unasked.position(|candidate| self.is_remote[*candidate] == is_remote)?;
        self.unasked.remove(position)
    }

    /// Records the response of the candidate with this index.
    pub fn record_response(&mut self, candidate: usize, reply: CopyReply) {
        let is_remote = self.is_remote.get(candidate).copied().unwrap_or_default();
        let in_flight = match is_remote {
            true => &mut self.remote_in_flight,
            false => &mut self.local_in_flight,
        };
        *in_flight = in_flight.saturating_sub(1);
        self.has_other_version |= reply == CopyReply::OtherVersion;
        if reply == CopyReply::Held {
            self.accepted += 1;
            self.has_remote |= is_remote;
        } else {
            self.has_remote_failure |= is_remote;
        }
    }
}

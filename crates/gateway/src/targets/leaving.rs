//! Runs of targets that have stated in a response that they are about to stop.
//!
//! The statement outlives the target's entry: one that expires and is written
//! again is still that of a target about to stop.

use std::collections::VecDeque;
use std::net::SocketAddr;

use compact_str::CompactString;

use super::TargetEntry;

/// Maximum number of runs that are remembered; the oldest are dropped.
const MAX_LEAVING: usize = 1_024;

/// Run of a target's process. The start time tells runs with the same id and
/// address apart.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Run {
    id: CompactString,
    address: SocketAddr,
    started_unix_ms: Option<u64>,
}

impl From<&TargetEntry> for Run {
    fn from(entry: &TargetEntry) -> Run {
        Run {
            id: entry.id.clone(),
            address: entry.address,
            started_unix_ms: entry.started_unix_ms,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct LeavingRuns(VecDeque<Run>);

impl LeavingRuns {
    /// Adds the run of an entry; `false` if it is known already.
    pub(super) fn insert(&mut self, entry: &TargetEntry) -> bool {
        if self.contains(entry) {
            return false;
        }
        if self.0.len() == MAX_LEAVING {
            self.0.pop_front();
        }
        self.0.push_back(entry.into());
        true
    }

    pub(super) fn contains(&self, entry: &TargetEntry) -> bool {
        self.0.contains(&entry.into())
    }
}

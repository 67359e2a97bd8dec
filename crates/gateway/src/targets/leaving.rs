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

/// Statement of the target that had this id and address at the time. The entry that
/// the request was sent by may be that of an earlier run, so only the time tells
/// whose statement it was.
#[derive(Clone, Debug)]
struct Statement {
    id: CompactString,
    address: SocketAddr,
    /// Unix time at which the request was sent whose response had the statement, or
    /// the start of the run that it was sent to, if that is later by its clock.
    sent_unix_ms: u64,
}

impl Statement {
    /// Whether the entry is that of the run that made the statement, or of an
    /// earlier one. An entry without a start time is.
    fn covers(&self, entry: &TargetEntry) -> bool {
        let is_later = |started_unix_ms| started_unix_ms > self.sent_unix_ms;
        self.id == entry.id
            && self.address == entry.address
            && !entry.started_unix_ms.is_some_and(is_later)
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct LeavingRuns(VecDeque<Statement>);

impl LeavingRuns {
    /// Adds the statement of a target in the response to a request that was sent by
    /// this entry. Of several statements the latest request counts.
    pub(super) fn insert(&mut self, entry: &TargetEntry, sent_unix_ms: u64) {
        let sent_unix_ms = sent_unix_ms.max(entry.started_unix_ms.unwrap_or_default());
        let is_same =
            |known: &&mut Statement| known.id == entry.id && known.address == entry.address;
        if let Some(known) = self.0.iter_mut().find(is_same) {
            known.sent_unix_ms = known.sent_unix_ms.max(sent_unix_ms);
            return;
        }
        if self.0.len() == MAX_LEAVING {
            self.0.pop_front();
        }
        self.0.push_back(Statement {
            id: entry.id.clone(),
            address: entry.address,
            sent_unix_ms,
        });
    }

    pub(super) fn contains(&self, entry: &TargetEntry) -> bool {
        self.0.iter().any(|statement| statement.covers(entry))
    }
}

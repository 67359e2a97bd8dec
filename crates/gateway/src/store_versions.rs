//! Versions that the store had at times in the past.
//!
//! The store numbers all writes in order, so a row of a newer version than the
//! store had at some time was written after it. This needs no clock but the own
//! one.

use std::collections::VecDeque;

/// Minimum time between two records.
const MIN_INTERVAL_MS: u64 = 500;

/// Maximum number of records. Rows count as written since the oldest one at most.
const MAX_RECORDS: usize = 128;

/// Times, each with a version that the store had not passed then; oldest first.
#[derive(Debug, Default)]
pub(crate) struct StoreVersions {
    records: VecDeque<(u64, u64)>,
}

impl StoreVersions {
    /// Records the version in a reply to a call that began at `began_ms`: the store
    /// had not passed it by then.
    pub(crate) fn record(&mut self, version: u64, began_ms: u64) {
        if let Some((last_ms, last_version)) = self.records.back_mut() {
            if began_ms < *last_ms + MIN_INTERVAL_MS {
                if began_ms >= *last_ms {
                    *last_version = version.min(*last_version);
                }
                return;
            }
        }
        self.records.push_back((began_ms, version));
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    /// Whether a row of this version is known to have been written at `since_ms` or
    /// later.
    pub(crate) fn is_written_since(&self, row_version: u64, since_ms: u64) -> bool {
        let later = self.records.iter().filter(|(at_ms, _)| *at_ms >= since_ms);
        let mut versions = later.map(|(_, version)| *version);
        versions.any(|version| version < row_version)
    }
}

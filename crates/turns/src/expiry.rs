//! Deletion of turns whose retention is over, in few transactions.
//!
//! A row is kept for two retentions after the turn's end. A VM that continues a
//! turn older than one retention postpones the deletion, so that a chain lasts
//! as long as its newest turn. A deletion is conditional on the row's version,
//! so it fails if the row was postponed.

use std::collections::BTreeMap;

use compact_str::CompactString;
use lagoon_gateway::{RowKey, RowWrite};
use lagoon_ids::FastMap;

/// Lifetime of a row, as a multiple of the retention.
const LIFETIME_RETENTIONS: u64 = 2;

/// Rows that one transaction deletes at most.
pub(crate) const MAX_ROWS_PER_DELETE: usize = 100;

/// Maximum number of rows that are remembered for deletion.
const MAX_ROWS: usize = 20_000;

/// Row that this VM wrote.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRow {
    /// Key of the row.
    pub key: RowKey,
    /// Version of its last write.
    pub version: u64,
}

/// Rows to delete, by the time of their expiry.
#[derive(Debug, Default)]
pub struct RowExpiry {
    rows: BTreeMap<u64, Vec<StoredRow>>,
    count: usize,
}

impl RowExpiry {
    /// Expiry of a row whose turn ended, or was continued, at `at_unix_ms`.
    pub fn expires_unix_ms(at_unix_ms: u64, retention_ms: u64) -> u64 {
        at_unix_ms + LIFETIME_RETENTIONS * retention_ms
    }

    /// Whether a turn that is continued at `now_unix_ms` must be kept longer than
    /// its row lasts.
    pub fn needs_extension(ended_unix_ms: u64, retention_ms: u64, now_unix_ms: u64) -> bool {
        now_unix_ms > ended_unix_ms + retention_ms
    }

    /// Remembers rows that this VM wrote; `false` if there are too many, so that
    /// they stay in the store.
    pub fn add(&mut self, rows: Vec<StoredRow>, expires_unix_ms: u64) -> bool {
        if self.count + rows.len() > MAX_ROWS {
            return false;
        }
        self.count += rows.len();
        self.rows.entry(expires_unix_ms).or_default().extend(rows);
        true
    }

    /// Takes the rows that have expired, as deletions grouped by partition, each
    /// group for one transaction.
    pub fn take_expired(&mut self, now_unix_ms: u64) -> Vec<Vec<RowWrite>> {
        let kept = self.rows.split_off(&now_unix_ms);
        let expired = std::mem::replace(&mut self.rows, kept);
        let mut groups: FastMap<CompactString, Vec<RowWrite>> = FastMap::default();
        for row in expired.into_values().flatten() {
            self.count -= 1;
            let group = groups.entry(row.key.partition.clone()).or_default();
            group.push(RowWrite {
                key: row.key,
                expected_version: row.version,
                value: None,
            });
        }
        let groups = groups.into_values();
        groups
            .flat_map(|group| {
                let transactions = group.chunks(MAX_ROWS_PER_DELETE).map(<[_]>::to_vec);
                transactions.collect::<Vec<_>>()
            })
            .collect()
    }
}

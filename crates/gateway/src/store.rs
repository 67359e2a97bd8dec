//! Requests to the platform's store and its replies, independent of transport.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Table, partition and key that identify a row of the store.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RowKey {
    /// Table of the row.
    pub table: CompactString,
    /// Partition, within which a transaction is atomic.
    pub partition: CompactString,
    /// Key within the partition.
    pub key: CompactString,
}

/// Row as read from the store, possibly deleted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Key of the row.
    pub key: RowKey,
    /// Value; `None` if the row was deleted.
    pub value: Option<Vec<u8>>,
    /// Store version of the row's last write.
    pub version: u64,
}

/// Write of one row, applied only if the row has the expected version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: RowKey,
    /// Version that the row must have; 0 if it must not exist.
    pub expected_version: u64,
    /// New value; `None` deletes the row.
    pub value: Option<Vec<u8>>,
}

/// Request to the store, sent directly or relayed by another VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreCall {
    /// Applies all writes or none.
    Transact(Vec<RowWrite>),
    /// Reads the rows of one partition in the order of keys.
    Read {
        /// Table that contains the partition.
        table: CompactString,
        /// Partition to read.
        partition: CompactString,
        /// First key, inclusive.
        from_key: CompactString,
    },
    /// Waits for changes of a table after a version.
    Watch {
        /// Table to watch.
        table: CompactString,
        /// Newest version that the watcher knows.
        after_version: u64,
        /// Maximum time that the store waits for a change.
        wait_ms: u64,
    },
    /// Reads the rows of one partition between two keys, in the order of keys.
    ReadRange {
        /// Table that contains the partition.
        table: CompactString,
        /// Partition to read.
        partition: CompactString,
        /// First key, inclusive.
        from_key: CompactString,
        /// Last key, exclusive.
        to_key: CompactString,
    },
}

/// Reply of the store; a refused or lost request has a [`StoreError`] instead.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreReply {
    /// All writes were applied.
    Applied {
        /// Version of the written rows.
        version: u64,
    },
    /// No write was applied, as a row doesn't have its expected version; these
    /// are the current rows.
    Conflict(Vec<Row>),
    /// Reply to a consistent read or to a watch.
    Rows {
        /// Rows that the read found, or that changed after the watched version.
        rows: Vec<Row>,
        /// Whether further rows match that this reply doesn't contain.
        has_more: bool,
        /// Newest version of the store.
        version: u64,
    },
    /// The store has discarded the changes after the watched version.
    Compacted,
}

/// Why a request to the store failed.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum StoreError {
    /// The store refused the request and applied nothing.
    #[error("refused: status {0}")]
    Refused(u16),
    /// The request was not sent, for the given reason, and so not applied.
    #[error("not sent: {0}")]
    NotSent(CompactString),
    /// The request was sent; whether it was applied is unknown.
    #[error("no reply: {0}")]
    NoReply(CompactString),
}

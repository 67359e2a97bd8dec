//! Calls to the platform's store as plain values.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Place of a row.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RowKey {
    /// Table.
    pub table: CompactString,
    /// Part within which a transaction is atomic.
    pub partition: CompactString,
    /// Key.
    pub key: CompactString,
}

/// Row, or the news that it is gone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Place.
    pub key: RowKey,
    /// Value; `None` for a row that was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the store that wrote it.
    pub version: u64,
}

/// Change of one row, if it still has the version that it was decided on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowWrite {
    /// Place.
    pub key: RowKey,
    /// Version that it must have; 0 for none.
    pub expected_version: u64,
    /// New value; `None` removes the row.
    pub value: Option<Vec<u8>>,
}

/// Call to the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreCall {
    /// Applies all writes or none.
    Transact(Vec<RowWrite>),
    /// Reads rows of one table and part after a key.
    Read {
        /// Table.
        table: CompactString,
        /// Part.
        partition: CompactString,
        /// First key.
        from_key: CompactString,
    },
    /// Waits for changes of a table after a version.
    Watch {
        /// Table.
        table: CompactString,
        /// Version that is known.
        after_version: u64,
        /// Longest wait.
        wait_ms: u64,
    },
}

/// Reply of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreReply {
    /// All writes are applied.
    Applied {
        /// Version of the written rows.
        version: u64,
    },
    /// No write is applied; rows as they are.
    Conflict(Vec<Row>),
    /// Rows as of one moment.
    Rows {
        /// Rows.
        rows: Vec<Row>,
        /// Whether more follow.
        has_more: bool,
        /// Newest version of the store.
        version: u64,
    },
    /// History up to the version asked for is gone.
    Compacted,
}

/// Reason why a call has no reply.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum StoreError {
    /// Store said that nothing was done.
    #[error("refused: status {0}")]
    Refused(u16),
    /// Nothing was sent.
    #[error("not sent: {0}")]
    NotSent(CompactString),
    /// Effect is unknown.
    #[error("no reply: {0}")]
    NoReply(CompactString),
}

//! Requests to the platform and their replies.

use lagoon_ids::{DomainName, VmName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Condition of a transaction, on one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Compare {
    /// The key has no row.
    Absent {
        /// Key without a row.
        key: String,
    },
    /// The row of the key holds exactly this value.
    ValueEquals {
        /// Key of the row.
        key: String,
        /// Expected value, compared byte by byte.
        value: Vec<u8>,
    },
}

impl Compare {
    /// Key that the condition is about.
    pub fn key(&self) -> &str {
        match self {
            Compare::Absent { key } | Compare::ValueEquals { key, .. } => key,
        }
    }
}

/// Operation of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Op {
    /// Creates or overwrites a row.
    Put {
        /// Key of the row.
        key: String,
        /// Value to write.
        value: Vec<u8>,
    },
    /// Reads a row.
    Get {
        /// Key of the row; the result is empty if there is none.
        key: String,
    },
    /// Reads the rows with a key prefix, sorted by key.
    Range {
        /// Key prefix; ASCII and not empty.
        prefix: String,
    },
    /// Deletes a row.
    Delete {
        /// Key of the row.
        key: String,
    },
    /// Deletes the rows in the half-open key range `from..to`.
    DeleteRange {
        /// First key of the range.
        from: String,
        /// First key after the range.
        to: String,
    },
}

/// Atomic transaction on the table: runs `success` if every condition holds,
/// else `failure`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Txn {
    /// Conditions, all of which must hold; empty for an unconditional one.
    pub compare: Vec<Compare>,
    /// Operations to run if every condition holds.
    pub success: Vec<Op>,
    /// Operations to run if a condition fails.
    pub failure: Vec<Op>,
}

/// Row of the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Key, unique in the table.
    pub key: String,
    /// Value, opaque to the platform.
    pub value: Vec<u8>,
}

/// Reply to a transaction.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TxnReply {
    /// Whether every condition held, so that `success` was run.
    pub succeeded: bool,
    /// Rows read by each operation that was run, in order; empty for writes.
    pub results: Vec<Vec<Row>>,
}

impl TxnReply {
    /// Rows read by all operations.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.results.iter().flatten()
    }

    /// Value of a key, if one of the operations read its row.
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.rows()
            .find(|row| row.key == key)
            .map(|row| row.value.as_slice())
    }
}

/// Status of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum VmStatus {
    /// Kept in service by the platform.
    Running,
    /// Being stopped or replaced.
    Stopping,
}

/// VM as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name, unique in the list.
    pub name: VmName,
    /// Failure domain that the VM runs in.
    pub domain: DomainName,
    /// Whether the platform keeps the VM in service or is removing it.
    pub status: VmStatus,
}

/// Request to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformRequest {
    /// Transaction on the table.
    Txn(Txn),
    /// Creates or overwrites an object.
    PutObject {
        /// Key, appended to the URL path `/objects/` without percent-encoding.
        key: String,
        /// Content of the object.
        bytes: Vec<u8>,
    },
    /// Reads an object.
    GetObject {
        /// Key, appended to the URL path `/objects/` without percent-encoding.
        key: String,
    },
    /// Reads the VM list.
    ListVms,
}

/// Reply of the platform to a [`PlatformRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformReply {
    /// The transaction was run.
    Txn(TxnReply),
    /// The object was written.
    ObjectStored,
    /// Content of the object; `None` if there is no such object.
    Object(Option<Vec<u8>>),
    /// Entries of the VM list, each with its failure domain.
    VmList(Vec<VmEntry>),
}

/// Failure of a request to the platform.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PlatformError {
    /// No usable reply, so the request may have taken effect.
    #[error("platform gives no reply: {0}")]
    NoReply(String),
    /// Not sent, as the circuit breaker is open or waits for the outcome of a trial
    /// request; holds the time to wait, in milliseconds.
    #[error("platform is held to be down for {0} ms more")]
    CircuitOpen(u64),
    /// The platform refused the request, so it had no effect.
    #[error("platform refused: {0}")]
    Refused(String),
}

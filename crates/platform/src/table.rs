//! Requests to the platform and their replies.

use lagoon_ids::{DomainName, VmName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Condition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Compare {
    /// Key has no row.
    Absent {
        /// Key.
        key: String,
    },
    /// Row of the key holds this value.
    ValueEquals {
        /// Key.
        key: String,
        /// Value.
        value: Vec<u8>,
    },
}

impl Compare {
    /// Key that is compared.
    pub fn key(&self) -> &str {
        match self {
            Compare::Absent { key } | Compare::ValueEquals { key, .. } => key,
        }
    }
}

/// Operation of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Op {
    /// Writes a row.
    Put {
        /// Key.
        key: String,
        /// Value.
        value: Vec<u8>,
    },
    /// Reads a row.
    Get {
        /// Key.
        key: String,
    },
    /// Reads the rows whose keys begin with a prefix, in order of their keys.
    Range {
        /// Prefix.
        prefix: String,
    },
    /// Deletes a row.
    Delete {
        /// Key.
        key: String,
    },
    /// Deletes the rows whose keys lie from `from` up to `to`, exclusive.
    DeleteRange {
        /// First key.
        from: String,
        /// Key after the last.
        to: String,
    },
}

/// Transaction: all of `success` if every condition holds, else `failure`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Txn {
    /// Conditions.
    pub compare: Vec<Compare>,
    /// Operations if they hold.
    pub success: Vec<Op>,
    /// Operations if one doesn't.
    pub failure: Vec<Op>,
}

/// Row of the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
}

/// Reply to a transaction.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TxnReply {
    /// Whether the conditions held.
    pub succeeded: bool,
    /// Rows read, one list for each operation.
    pub results: Vec<Vec<Row>>,
}

impl TxnReply {
    /// All rows read.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.results.iter().flatten()
    }

    /// Value of a key among the rows read.
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.rows()
            .find(|row| row.key == key)
            .map(|row| row.value.as_slice())
    }
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum VmStatus {
    /// Running.
    Running,
    /// Being stopped or replaced.
    Stopping,
}

/// VM in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name.
    pub name: VmName,
    /// Failure domain.
    pub domain: DomainName,
    /// State.
    pub status: VmStatus,
}

/// Request to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformRequest {
    /// Transaction on the table.
    Txn(Txn),
    /// Write of an object.
    PutObject {
        /// Key.
        key: String,
        /// Content.
        bytes: Vec<u8>,
    },
    /// Read of an object.
    GetObject {
        /// Key.
        key: String,
    },
    /// Read of the VM list.
    ListVms,
}

/// Reply of the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformReply {
    /// Transaction is done.
    Txn(TxnReply),
    /// Object is written.
    ObjectStored,
    /// Object, if there is one.
    Object(Option<Vec<u8>>),
    /// VM list.
    VmList(Vec<VmEntry>),
}

/// Failure of a request to the platform.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PlatformError {
    /// No reply; the request may have taken effect.
    #[error("platform gives no reply: {0}")]
    NoReply(String),
    /// Request was not sent, since earlier ones failed.
    #[error("platform is held to be down for {0} ms more")]
    CircuitOpen(u64),
    /// Platform refused the request; it had no effect.
    #[error("platform refused: {0}")]
    Refused(String),
}

//! Groups of records and their encoding.

use lagoon_program::Record;
use thiserror::Error;

/// Token that tells whoever pushed a group about its commit.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct WaiterId(pub u64);

/// Records that become durable together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecordGroup {
    /// Records in order.
    pub records: Vec<Record>,
    /// Family that the group claims for this incarnation.
    pub claim_family: Option<String>,
    /// Family that ends with the group.
    pub end_family: Option<String>,
    /// Who waits for the commit.
    pub waiter: Option<WaiterId>,
}

/// Fault of a journal's content.
#[derive(Debug, Error)]
pub enum JournalError {
    /// Batch can't be decoded.
    #[error("batch {key} can't be decoded: {source}")]
    Decode {
        /// Key of the batch.
        key: String,
        /// Cause.
        source: postcard::Error,
    },
    /// Batch is missing between others.
    #[error("batch {0} is missing")]
    Missing(u64),
}

/// Value of a batch's row.
pub(crate) fn encode_batch(groups: &[RecordGroup]) -> Vec<u8> {
    let records: Vec<&Record> = groups.iter().flat_map(|group| &group.records).collect();
    // Records are plain data, and a vector takes any length.
    postcard::to_stdvec(&records).unwrap_or_default()
}

/// Records of a batch's row.
///
/// # Errors
///
/// Fails when the value is no batch.
pub fn decode_batch(key: &str, value: &[u8]) -> Result<Vec<Record>, JournalError> {
    postcard::from_bytes(value).map_err(|source| JournalError::Decode {
        key: key.to_owned(),
        source,
    })
}

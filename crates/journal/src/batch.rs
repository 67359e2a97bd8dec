//! Record groups and the encoding of batches.

use lagoon_program::Record;
use thiserror::Error;

/// Identifier chosen with a group of records; the journal returns it when the
/// group is committed or its claim fails.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct WaiterId(pub u64);

/// Records that are committed atomically.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecordGroup {
    /// Records, in the order in which they are applied.
    pub records: Vec<Record>,
    /// Family to claim, by creating its ownership row with this incarnation as the
    /// owner. If the row exists already, the claim fails and the group is dropped.
    /// `None` claims nothing.
    pub claim_family: Option<String>,
    /// Family whose ownership row is set to [`FAMILY_ENDED`](crate::FAMILY_ENDED);
    /// `None` if no family ends.
    pub end_family: Option<String>,
    /// Identifier to return on the commit or a failed claim; `None` if nobody waits.
    pub waiter: Option<WaiterId>,
}

/// Batch that is missing from a journal or can't be decoded.
#[derive(Debug, Error)]
pub enum JournalError {
    /// Batch cannot be decoded.
    #[error("batch {key} can't be decoded: {source}")]
    Decode {
        /// Key of the batch's row.
        key: String,
        /// Decoding error.
        source: postcard::Error,
    },
    /// Batch with this sequence number is missing from the journal.
    #[error("batch {0} is missing")]
    Missing(u64),
}

/// Encodes the records of a batch as the value of its row.
pub(crate) fn encode_batch(groups: &[RecordGroup]) -> Vec<u8> {
    let records: Vec<&Record> = groups.iter().flat_map(|group| &group.records).collect();
    // Records are plain data and the vector grows, so serialization cannot fail.
    postcard::to_stdvec(&records).unwrap_or_default()
}

/// Decodes the records of a batch from the value of its row; errors name the row's `key`.
///
/// # Errors
///
/// Fails if the value is not an encoded batch.
pub fn decode_batch(key: &str, value: &[u8]) -> Result<Vec<Record>, JournalError> {
    postcard::from_bytes(value).map_err(|source| JournalError::Decode {
        key: key.to_owned(),
        source,
    })
}

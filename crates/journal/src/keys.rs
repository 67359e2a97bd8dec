//! Keys of rows in the platform's table and of objects in its object store.

use lagoon_ids::{DomainName, Incarnation};

/// Value of the ownership row of a family that has ended.
pub const FAMILY_ENDED: &[u8] = b"ended";

/// Key prefix of the incarnation rows of a failure domain.
pub fn incarnation_prefix(domain: &DomainName) -> String {
    format!("incarnation/{}", Incarnation::domain_prefix(domain))
}

/// Key of the row that holds an [`IncarnationRow`](crate::IncarnationRow).
pub fn incarnation_key(incarnation: &Incarnation) -> String {
    format!("incarnation/{incarnation}")
}

/// Key prefix of the journal of an incarnation.
pub fn log_prefix(incarnation: &Incarnation) -> String {
    format!("log/{incarnation}/")
}

/// Key of one batch in the journal of an incarnation.
pub fn log_key(incarnation: &Incarnation, sequence: u64) -> String {
    format!("log/{incarnation}/{sequence:012}")
}

/// Key prefix of the rows that list the incarnations sealed by `successor`.
pub fn sealed_prefix(successor: &Incarnation) -> String {
    format!("sealed/{successor}/")
}

/// Key of the row that records that `successor` sealed an incarnation.
pub fn sealed_key(successor: &Incarnation, sealed: &Incarnation) -> String {
    format!("sealed/{successor}/{sealed}")
}

/// Key of the ownership row of a family: its owner, or [`FAMILY_ENDED`].
pub fn family_key(family: &str) -> String {
    format!("family/{family}")
}

/// Key of the row that holds the sequence number of the latest snapshot of an incarnation.
pub fn snapshot_pointer_key(incarnation: &Incarnation) -> String {
    format!("snapshot/{incarnation}")
}

/// Key of the snapshot object that replaces the batches before `sequence`.
pub fn snapshot_key(incarnation: &Incarnation, sequence: u64) -> String {
    format!("snapshot/{incarnation}/{sequence:012}")
}

//! Keys of the table's rows and of the objects.

use lagoon_ids::{DomainName, Incarnation};

/// Value of the row of a family that has ended.
pub const FAMILY_ENDED: &[u8] = b"ended";

/// Prefix of the rows of one failure domain's incarnations.
pub fn incarnation_prefix(domain: &DomainName) -> String {
    format!("incarnation/{}", Incarnation::domain_prefix(domain))
}

/// Row of an incarnation.
pub fn incarnation_key(incarnation: &Incarnation) -> String {
    format!("incarnation/{incarnation}")
}

/// Prefix of an incarnation's journal.
pub fn log_prefix(incarnation: &Incarnation) -> String {
    format!("log/{incarnation}/")
}

/// Row of one batch of an incarnation's journal.
pub fn log_key(incarnation: &Incarnation, sequence: u64) -> String {
    format!("log/{incarnation}/{sequence:012}")
}

/// Prefix of the rows that name what an incarnation sealed.
pub fn sealed_prefix(successor: &Incarnation) -> String {
    format!("sealed/{successor}/")
}

/// Row that says that `successor` sealed an incarnation.
pub fn sealed_key(successor: &Incarnation, sealed: &Incarnation) -> String {
    format!("sealed/{successor}/{sealed}")
}

/// Row that names the owner of a family.
pub fn family_key(family: &str) -> String {
    format!("family/{family}")
}

/// Row that names an incarnation's latest snapshot.
pub fn snapshot_pointer_key(incarnation: &Incarnation) -> String {
    format!("snapshot/{incarnation}")
}

/// Object of a snapshot that covers the journal before `sequence`.
pub fn snapshot_key(incarnation: &Incarnation, sequence: u64) -> String {
    format!("snapshot/{incarnation}/{sequence:012}")
}

//! Journal of one incarnation, kept in the platform's table.
//!
//! Each append is one transaction that also checks that the incarnation is
//! still open. A successor seals the incarnation first; from then on no
//! append of the old owner can succeed, whatever its clock says. Nothing
//! here depends on time for its safety.

mod batch;
mod incarnation;
mod keys;
mod log;

pub use batch::{decode_batch, JournalError, RecordGroup, WaiterId};
pub use incarnation::{seal_txn, IncarnationRow, IncarnationState};
pub use keys::{
    family_key, incarnation_key, incarnation_prefix, log_key, log_prefix, sealed_key,
    sealed_prefix, snapshot_key, snapshot_pointer_key, FAMILY_ENDED,
};
pub use log::{AppendOutcome, ClaimConflict, Journal};

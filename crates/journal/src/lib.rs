//! Journal of one incarnation, kept in the platform's table.
//!
//! Each append is one transaction that also checks that the incarnation is
//! still open. A successor seals the incarnation before it reads the journal;
//! from then on every append of the old owner fails. Safety does not depend on
//! clocks or timeouts.

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

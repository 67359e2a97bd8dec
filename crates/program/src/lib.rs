//! Programs: the order of their calls, their budgets and their outcomes.
//!
//! Every change that must outlive the VM is a [`Record`]. Live code makes a
//! record, applies it and journals it; a successor applies the same records
//! to an empty [`Programs`] and gets the same state.

mod amounts;
mod budget;
mod outcome;
mod program;
mod programs;
mod record;

pub use amounts::ResourceAmounts;
pub use budget::{Budget, Reserve};
pub use outcome::{FinishedCall, Outcome, RecordedResponse};
pub use program::{CallDecision, Program};
pub use programs::{ProgramKey, ProgramSpec, Programs, ReserveCoverage};
pub use record::{ProgramSnapshot, Record};

//! Programs: the order of their calls, their budgets and their results.
//!
//! A program is a chain of dependent calls. Every change of state that must
//! survive a crash is a [`Record`]. The owner of a program applies each record
//! and appends it to its journal; a successor applies the same records to an
//! empty [`Programs`] and reaches the same state.

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

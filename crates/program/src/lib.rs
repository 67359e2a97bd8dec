//! Programs: the order of their calls, their budgets and their results.
//!
//! A program is a chain of dependent calls. Every change of state that must
//! survive a crash is a [`Record`]. The VM that owns a program applies each record
//! and appends it to its own journal; a VM that takes the program over applies
//! the records of that journal to an empty [`Programs`] and reaches the same state.

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

//! Fakes at the node's interfaces, under virtual time.
//!
//! A [`World`] holds nodes, a table, targets and callers' answers, and
//! delivers what passes between them in the order of virtual time. Faults
//! are set on it while it runs. It models interfaces, not machines.

mod callers;
mod table;
mod targets;
mod world;

pub use callers::{Outcome, Request, RequestId, Work};
pub use table::{StoreMode, Table};
pub use targets::{Run, TargetMode};
pub use world::{Host, World, SHEET};

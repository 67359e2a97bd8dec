//! Deterministic simulation of several VMs under virtual time.
//!
//! A [`Simulation`] holds the nodes, a fake platform, simulated targets and the
//! responses to callers, and delivers all messages between them in the order of
//! virtual time. Tests inject faults while it runs. Only the events and effects of a
//! node are simulated, not its machine: computation takes no virtual time.

mod callers;
mod platform;
mod simulation;
mod targets;

pub use callers::{Outcome, Request, RequestId, RequestKind};
pub use platform::{FakePlatform, StoreMode};
pub use simulation::{SimulatedVm, Simulation, SHEET};
pub use targets::{Execution, TargetMode};

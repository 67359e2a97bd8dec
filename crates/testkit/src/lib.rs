//! Deterministic simulation of several VMs under virtual time.
//!
//! A [`Simulation`] holds the nodes, a fake platform, fake targets and the responses
//! to callers, and delivers all messages between them in the order of virtual
//! time. Tests inject faults while it runs. It models the interfaces of a
//! node (its events and effects), not machines: nothing takes processor time.

mod callers;
mod platform;
mod simulation;
mod targets;

pub use callers::{Outcome, Request, RequestId, RequestKind};
pub use platform::{FakePlatform, StoreMode};
pub use simulation::{SimulatedVm, Simulation, SHEET};
pub use targets::{Execution, TargetMode};

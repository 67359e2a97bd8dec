//! Membership of a failure domain, from heartbeats and the platform's VM list.
//!
//! Leaving is final for an incarnation: once any source reports it, the VM
//! gets no new work until a new incarnation starts. A stale VM list can
//! therefore not reinstate a VM.

mod heartbeat;
mod members;

pub use heartbeat::{Heartbeat, LoadReport};
pub use members::{Member, Membership, MembershipChange, MembershipSettings};

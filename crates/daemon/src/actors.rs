//! Actors: one for the node, and one each for other VMs, the platform and
//! targets.

mod node;
mod peers;
mod store;
mod targets;

pub(crate) use node::{ExitReason, NodeActor, NodeParts};
pub(crate) use peers::{listen, PeersActor};
pub(crate) use store::StoreActor;
pub(crate) use targets::{TargetIoSettings, TargetsActor};

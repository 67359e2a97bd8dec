//! Actors: the node and one for each kind of neighbour.

mod node;
mod peers;
mod store;
mod targets;

pub(crate) use node::{ExitReason, NodeActor, NodeParts};
pub(crate) use peers::{listen, PeersActor};
pub(crate) use store::StoreActor;
pub(crate) use targets::{TargetIoSettings, TargetsActor};

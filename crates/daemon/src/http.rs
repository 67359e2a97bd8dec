//! HTTP APIs of callers and operators.

mod body;
mod bounds;
mod callers;
mod chat;
mod connection;
mod delivery;
mod events;
mod operators;
mod response;
mod server;

pub(crate) use bounds::{BoundCounts, ConnectionLimits};
pub(crate) use callers::CallerApi;
pub(crate) use operators::OperatorApi;
pub(crate) use server::{ActiveRequests, ClientMemory, Server};

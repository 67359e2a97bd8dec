//! HTTP APIs of callers and operators.

mod callers;
mod chat;
mod operators;
mod response;
mod server;

pub(crate) use callers::CallerApi;
pub(crate) use operators::OperatorApi;
pub(crate) use server::{serve, ActiveRequests, BodyMemory};

//! HTTP for callers and operators.

mod answer;
mod callers;
mod chat;
mod operators;
mod server;

pub(crate) use callers::CallerApi;
pub(crate) use operators::OperatorApi;
pub(crate) use server::{serve, Active};

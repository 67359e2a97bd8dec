//! Simulated platform, targets and callers for tests and trials.
//!
//! [`platform`] implements a subset of the etcd v3 JSON gateway, [`engine`] the
//! chat-completions API with resumable server-sent events, and [`service`] a
//! `POST` with an idempotency key. [`fleet`] has the store and the targets that
//! entry VMs use, and fault-injecting proxies to them. Faults can be switched on
//! and off at run time.

pub mod caller;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod platform;
pub mod service;

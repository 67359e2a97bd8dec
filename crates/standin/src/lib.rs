//! Small stand-ins for tests and trials.
//!
//! The platform speaks a subset of the etcd v3 JSON gateway, the engine the
//! chat-completions API with resumable server-sent events, and the service
//! one `POST` with an idempotency key. Faults are set while they run.

pub mod caller;
pub mod engine;
pub mod http;
pub mod platform;
pub mod service;

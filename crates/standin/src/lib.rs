//! Small stand-ins for tests and trials.
//!
//! The platform speaks a subset of the etcd v3 JSON gateway, the engine the
//! chat-completions API with resumable server-sent events, and the service
//! one `POST` with an idempotency key. `fleet` has the store and the targets
//! of the users' platform. Faults are set while they run.

pub mod caller;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod platform;
pub mod service;

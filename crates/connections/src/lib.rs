//! Bounds of the connections that peers open to a server on hyper and tokio, on one thread.
//!
//! `lagoon-memory` counts the bytes; this crate reads them from sockets and bodies.

mod addresses;
mod bodies;
mod connection_memory;
mod log_limit;
mod reads;
mod sockets;

pub use addresses::{AddressGuard, AddressLimit};
pub use bodies::{discard, read_body, BodyLimits, ReadError};
pub use connection_memory::{ConnectionMemory, Refusal};
pub use log_limit::LogLimit;
pub use reads::{poll_read_part, PartialReads};
pub use sockets::{connect, listen, set_socket_options, MAX_UNREAD_BYTES};

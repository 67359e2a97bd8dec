//! Daemon of an entry VM.
//!
//! A single thread runs all actors and makes all decisions. The other threads
//! do the socket I/O and exchange messages with it.

mod actors;
mod clock;
mod constants;
mod http;
mod input;
pub mod options;
mod run;

pub use run::{run, RunError};

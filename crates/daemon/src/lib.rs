//! The entry VM's daemon.
//!
//! One thread runs the actors, and so every decision. Threads around it
//! read and write sockets and talk to it by messages.

mod actors;
mod clock;
mod constants;
mod http;
mod input;
pub mod options;
mod run;

pub use run::{run, RunError};

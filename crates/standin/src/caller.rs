//! Simulated callers: a scripted program with a sub-agent and a booking, and a
//! load generator.

mod client;
mod load;
mod program;

pub use client::{Client, Reply};
pub use load::{run_load, LoadSettings};
pub use program::run_program;

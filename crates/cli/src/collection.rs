//! Sources of data: the operators' API of a VM, and logs.

mod client;
mod log;

pub use client::{ClientError, OperatorClient};
pub use log::{parse_log, LogLine};

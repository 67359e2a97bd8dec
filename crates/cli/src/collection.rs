//! Asking a VM, and reading logs of VMs.

mod client;
mod log;

pub use client::{ClientError, OperatorClient};
pub use log::{parse_log, LogLine};

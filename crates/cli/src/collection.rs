//! Asking a VM, and reading logs of VMs.

mod log;
mod vm;

pub use log::{read_log, LogLine};
pub use vm::{AskError, Vm};

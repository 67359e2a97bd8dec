//! Asking a VM.

mod vm;

pub use vm::{AskError, Vm};

//! Command line tool for operators.
//!
//! `options` parses the arguments, `collection` retrieves data from a VM and
//! parses logs, `canvas` formats the output, and `commands` combines them.

pub mod canvas;
pub mod collection;
pub mod commands;
pub mod options;

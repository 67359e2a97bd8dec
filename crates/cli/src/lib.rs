//! Operators' command line.
//!
//! `options` reads the arguments, `collection` asks a VM, `canvas` shows
//! the answer, and `commands` puts the three together.

pub mod canvas;
pub mod collection;
pub mod commands;
pub mod options;

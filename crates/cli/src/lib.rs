//! Operators' command line

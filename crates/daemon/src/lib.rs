//! The entry VM's daemon

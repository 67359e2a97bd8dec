//! Names of the store's tables that this daemon writes.

/// Entry VMs.
pub(crate) const PEER_TABLE: &str = "vms";

/// Overdrawn programs.
pub(crate) const OVERDRAWN_TABLE: &str = "overdrawn";

/// Crashes of targets, with one row for each.
pub(crate) const CRASH_TABLE: &str = "crashes";

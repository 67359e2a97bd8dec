//! Limits and times of a node.

/// Tries of one call at targets, the first included.
pub(crate) const TARGET_TRIES: u32 = 3;
/// Tries to take a broken stream up again.
pub(crate) const RESUME_TRIES: u32 = 3;
/// Hops that one call may be forwarded.
pub(crate) const HOP_LIMIT: u8 = 3;
/// Owners of families remembered at the most.
pub(crate) const OWNER_CACHE_LIMIT: usize = 20_000;
/// Oldest durable intent that may still be sent.
pub(crate) const INTENT_AGE_LIMIT_MS: u64 = 2_000;
/// Largest answer kept.
pub(crate) const ANSWER_LIMIT_BYTES: usize = 8_000_000;
/// Table writes a second that all VMs share for their journals.
pub(crate) const TABLE_WRITES_PER_S: u64 = 300;
/// Longest time between two commits of one VM.
pub(crate) const COMMIT_INTERVAL_LIMIT_MS: u64 = 2_000;
/// Time between reads of the list of incarnations and of the VM list.
pub(crate) const DISCOVERY_MS: u64 = 5_000;
/// Pause before a store request of the node's own is made again.
pub(crate) const STORE_AGAIN_MS: u64 = 500;
/// Time between looks at ended and idle programs.
pub(crate) const SWEEP_MS: u64 = 5_000;
/// Time an ended program's answers are kept for repeats.
pub(crate) const ENDED_KEPT_MS: u64 = 60_000;
/// Programs of one family.
pub(crate) const FAMILY_LIMIT: usize = 256;
/// Batches between two snapshots of the journal.
pub(crate) const SNAPSHOT_BATCHES: u64 = 200;

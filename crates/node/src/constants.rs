//! Limits and intervals of a node.

/// Attempts of one call at targets, including the first.
pub(crate) const MAX_TARGET_ATTEMPTS: u32 = 3;
/// Attempts to resume an interrupted response stream.
pub(crate) const MAX_STREAM_RESUMES: u32 = 3;
/// Forwarding hops of one call between VMs.
pub(crate) const MAX_FORWARD_HOPS: u8 = 3;
/// Entries of the cache of family owners.
pub(crate) const MAX_CACHED_OWNERS: usize = 20_000;
/// Maximum time between journaling an intent and dispatching its call.
pub(crate) const MAX_INTENT_AGE_MS: u64 = 2_000;
/// Maximum size of a response, which is buffered whole for replay.
pub(crate) const MAX_RESPONSE_BYTES: usize = 8_000_000;
/// Rate of table writes that the journals of all VMs share.
pub(crate) const TABLE_WRITES_PER_S: u64 = 300;
/// Maximum interval between two group commits of one VM.
pub(crate) const MAX_COMMIT_INTERVAL_MS: u64 = 2_000;
/// Interval between reads of the incarnation rows and the VM list.
pub(crate) const DISCOVERY_INTERVAL_MS: u64 = 5_000;
/// Delay before the node retries one of its own store requests.
pub(crate) const STORE_RETRY_DELAY_MS: u64 = 500;
/// Interval between scans for idle and ended programs.
pub(crate) const EXPIRY_INTERVAL_MS: u64 = 5_000;
/// Time for which the responses of an ended program stay available to retries.
pub(crate) const ENDED_RETENTION_MS: u64 = 60_000;
/// Maximum number of programs in one family.
pub(crate) const MAX_FAMILY_PROGRAMS: usize = 256;
/// Journal batches between two snapshots.
pub(crate) const SNAPSHOT_INTERVAL_BATCHES: u64 = 200;

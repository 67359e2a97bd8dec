//! Limits and intervals of a node.

/// Maximum number of attempts of one call at targets, including the first.
pub(crate) const MAX_TARGET_ATTEMPTS: u32 = 3;
/// Maximum number of times that one call resumes an interrupted response stream.
pub(crate) const MAX_STREAM_RESUMES: u32 = 3;
/// Number of redirects and reroutes at which a forwarded call fails, so that VMs that
/// disagree on its owner do not pass it on forever.
pub(crate) const MAX_FORWARD_HOPS: u8 = 3;
/// Maximum number of entries in the cache of family owners; a full cache is cleared.
pub(crate) const MAX_CACHED_OWNERS: usize = 20_000;
/// Maximum time between journaling an intent and dispatching its call; a call whose intent
/// takes longer to become durable is refused.
pub(crate) const MAX_INTENT_AGE_MS: u64 = 2_000;
/// Maximum size of a response, which is buffered whole for replay; a longer one is aborted.
pub(crate) const MAX_RESPONSE_BYTES: usize = 8_000_000;
/// Maximum rate of table writes by the journals of all VMs together.
pub(crate) const TABLE_WRITES_PER_S: u64 = 300;
/// Upper bound of a VM's commit interval, which grows with the number of VMs.
pub(crate) const MAX_COMMIT_INTERVAL_MS: u64 = 2_000;
/// Interval between reads of the incarnation rows and the VM list.
pub(crate) const DISCOVERY_INTERVAL_MS: u64 = 5_000;
/// Delay before the node retries a failed store request.
pub(crate) const STORE_RETRY_DELAY_MS: u64 = 500;
/// Interval between scans for idle and ended programs.
pub(crate) const EXPIRY_INTERVAL_MS: u64 = 5_000;
/// Time for which the responses of an ended program stay available to retries; also the
/// idle limit of a program with an issued identifier and at most one finished call.
pub(crate) const ENDED_RETENTION_MS: u64 = 60_000;
/// Maximum number of programs in one family.
pub(crate) const MAX_FAMILY_PROGRAMS: usize = 256;
/// Journal batches between two snapshots.
pub(crate) const SNAPSHOT_INTERVAL_BATCHES: u64 = 200;

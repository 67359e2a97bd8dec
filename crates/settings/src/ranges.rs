//! Allowed ranges of the numeric keys of a settings file, both bounds included.

use std::ops::RangeInclusive;

pub(crate) const PLATFORM_TIMEOUT_MS: RangeInclusive<u64> = 50..=60_000;
pub(crate) const PLATFORM_TRIES: RangeInclusive<u64> = 1..=10;
pub(crate) const PLATFORM_WORKERS: RangeInclusive<u64> = 1..=16;
pub(crate) const HEARTBEAT_MS: RangeInclusive<u64> = 50..=10_000;
pub(crate) const SUSPECT_MS: RangeInclusive<u64> = 200..=60_000;
pub(crate) const SHEET_POLL_MS: RangeInclusive<u64> = 100..=10_000;
pub(crate) const GAP_WAIT_MS: RangeInclusive<u64> = 10..=60_000;
pub(crate) const QUEUE_LIMIT: RangeInclusive<u64> = 1..=1_000_000;
pub(crate) const BODY_LIMIT_BYTES: RangeInclusive<u64> = 1_024..=64_000_000;
pub(crate) const IDLE_LIMIT_MS: RangeInclusive<u64> = 1_000..=86_400_000;
pub(crate) const STREAM_SILENCE_MS: RangeInclusive<u64> = 100..=600_000;
pub(crate) const ANSWER_WAIT_MS: RangeInclusive<u64> = 100..=3_600_000;
pub(crate) const COMMIT_WAIT_MS: RangeInclusive<u64> = 10..=60_000;
pub(crate) const MAX_CONNECTIONS: RangeInclusive<u64> = 8..=65_536;
pub(crate) const CONNECTIONS_PER_ADDRESS: RangeInclusive<u64> = 0..=65_536;
pub(crate) const HEAD_TIMEOUT_MS: RangeInclusive<u64> = 100..=60_000;
pub(crate) const CONNECTION_IDLE_MS: RangeInclusive<u64> = 100..=3_600_000;
pub(crate) const BODY_TIMEOUT_MS: RangeInclusive<u64> = 100..=3_600_000;
pub(crate) const LOAD_POLL_MS: RangeInclusive<u64> = 50..=60_000;
pub(crate) const SAMPLE_PERCENT: RangeInclusive<u64> = 0..=100;
pub(crate) const STOP_WAIT_MS: RangeInclusive<u64> = 100..=3_600_000;

//! Limits and times of the daemon.

use std::time::Duration;

/// Stack of a thread that serves one request or one try.
pub(crate) const WORKER_STACK_BYTES: usize = 256 * 1024;
/// Callers' requests served at once.
pub(crate) const MAX_CONCURRENT_REQUESTS: usize = 4_096;
/// Output limit given to a model call that names none, in tokens.
pub(crate) const DEFAULT_OUTPUT_TOKENS: u64 = 4_096;
/// Time between ticks while calls or records are under way.
pub(crate) const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between ticks otherwise.
pub(crate) const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between gauges.
pub(crate) const GAUGE_INTERVAL: Duration = Duration::from_secs(1);
/// Inputs taken in a row before timers are looked at.
pub(crate) const MAX_INPUT_BATCH: usize = 256;
/// Longest wait for the node's answer to an operator.
pub(crate) const OPERATOR_REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for answers that are still being written at exit.
pub(crate) const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Messages buffered for a VM that can't be reached.
pub(crate) const PEER_BUFFER_MESSAGES: i32 = 256;
/// Largest message between VMs.
pub(crate) const MAX_PEER_MESSAGE_BYTES: usize = 64_000_000;
/// Silence after which the connection to a VM is dropped.
pub(crate) const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest wait for a connection to a target.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for a load report or a cancellation.
pub(crate) const CONTROL_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Buffers of one connection to a target.
pub(crate) const TARGET_BUFFER_BYTES: usize = 16 * 1024;
/// Largest part of a target's error text that is passed on.
pub(crate) const MAX_ERROR_DETAIL_BYTES: u64 = 2_000;
/// Largest answer of a target.
pub(crate) const MAX_RESPONSE_BYTES: u64 = 8_000_000;

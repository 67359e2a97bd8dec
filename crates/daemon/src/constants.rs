//! Limits, intervals and timeouts of the daemon.

use std::time::Duration;

/// Stack size of the threads that do socket I/O; each attempt has a thread of its
/// own.
pub(crate) const WORKER_STACK_BYTES: usize = 256 * 1024;
/// Maximum number of connections to the operators' listener.
pub(crate) const MAX_OPERATOR_CONNECTIONS: usize = 64;
/// Maximum size of all heads over 8 KiB and request bodies that are held at the same time, and number of bodies
/// of the largest size that it has room for at least.
pub(crate) const MAX_HELD_BYTES: u64 = 32_000_000;
pub(crate) const MIN_LARGEST_BODIES: u64 = 4;
/// Maximum number of refused bodies that are discarded at the same time; connections with
/// further ones are closed at once.
pub(crate) const MAX_DISCARDS: usize = 32;
/// Maximum size of a head, up to which a client with larger headers than allowed gets a
/// response that says so.
pub(crate) const MAX_HEAD_BYTES: usize = 131_072;
/// Maximum number of headers. With a name, a value and 16 bytes each, as many as
/// [`MAX_HEADER_BYTES`] have room for.
pub(crate) const MAX_HEADERS: usize = 1_024;
/// Delay after a connection could not be accepted, which mostly means that the process is out
/// of descriptors.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum size of a request's headers, names and values.
pub(crate) const MAX_HEADER_BYTES: usize = 16_384;
/// `max_tokens` that is added to a chat request without an output limit.
pub(crate) const DEFAULT_OUTPUT_TOKENS: u64 = 4_096;
/// Tick interval while calls are in flight, journal records are not durable yet or
/// a stop is in progress.
pub(crate) const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Tick interval otherwise.
pub(crate) const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);
pub(crate) const GAUGE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of queued inputs that are handled after a first one, before
/// timers are checked.
pub(crate) const MAX_INPUT_BATCH: usize = 256;
/// Timeout of the node's reply to an operator's request, after which the operator
/// gets an internal error.
pub(crate) const OPERATOR_REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time given to open requests to finish before the process exits.
pub(crate) const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of messages buffered for one VM; further ones are dropped.
pub(crate) const PEER_BUFFER_MESSAGES: i32 = 256;
/// Maximum size of a message between VMs.
pub(crate) const MAX_PEER_MESSAGE_BYTES: usize = 64_000_000;
/// Time without a message to a VM after which the connection to it is closed.
pub(crate) const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of connecting to a target.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Read and write timeout of a load poll or a cancellation.
pub(crate) const CONTROL_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of each buffer of a connection to a target.
pub(crate) const TARGET_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum size of a target's error body that is passed on to the caller; of a
/// larger one, only the HTTP status is passed on.
pub(crate) const MAX_ERROR_DETAIL_BYTES: u64 = 2_000;
/// Maximum size of a target's response that is not streamed; with a larger one,
/// the attempt counts as interrupted.
pub(crate) const MAX_RESPONSE_BYTES: u64 = 8_000_000;
/// Maximum size of one event of a target's stream, comments before it included; with a
/// larger one, the stream counts as interrupted. The same as in `lagoon-entry`.
pub(crate) const MAX_EVENT_BYTES: usize = 262_144;

//! Adaptive timeout for store replies.
//!
//! A lost reply is noticed only by the timeout, so a long timeout delays the
//! retry, while a short one expires before a slow store replies. The timeout is a
//! multiple of the moving average of reply times and doubles with each reply that
//! doesn't come in time.

/// Minimum timeout: a few times the duration of a transaction at a lightly loaded
/// store.
const MIN_TIMEOUT_MS: u64 = 150;

const MAX_TIMEOUT_MS: u64 = 1_500;

/// Timeout as a multiple of the mean reply time.
const TIMEOUT_FACTOR: f64 = 4.0;

/// Weight of the newest sample in the exponential moving average.
const NEWEST_WEIGHT: f64 = 0.3;

/// Timeout for the replies of one server.
#[derive(Clone, Copy, Debug)]
pub struct ReplyTimeout {
    mean_reply_ms: f64,
    timeout_ms: u64,
}

impl Default for ReplyTimeout {
    fn default() -> Self {
        ReplyTimeout {
            mean_reply_ms: 0.0,
            timeout_ms: MIN_TIMEOUT_MS,
        }
    }
}

impl ReplyTimeout {
    /// Timeout for the next reply.
    pub fn timeout_ms(&self) -> u64 {
        self.timeout_ms
    }

    /// Adds a reply time to the moving average and derives the timeout from it.
    pub fn record_reply(&mut self, elapsed_ms: u64) {
        self.mean_reply_ms += (elapsed_ms as f64 - self.mean_reply_ms) * NEWEST_WEIGHT;
        let timeout_ms = (self.mean_reply_ms * TIMEOUT_FACTOR) as u64;
        self.timeout_ms = timeout_ms.clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS);
    }

    /// Doubles the timeout after a reply didn't come in time.
    pub fn record_timeout(&mut self) {
        self.timeout_ms = (self.timeout_ms * 2).min(MAX_TIMEOUT_MS);
    }
}

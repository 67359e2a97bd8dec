//! Token bucket whose rate may change.

/// Tokens that a full bucket has, besides those of [`BURST_S`].
const MIN_CAPACITY: f64 = 2.0;

/// Time at the bucket's rate whose tokens a full bucket has.
const BURST_S: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    updated_ms: u64,
}

impl TokenBucket {
    /// Starts empty, so that a bucket that takes over from another one adds nothing
    /// to the tokens that were taken from that one.
    pub(crate) fn new(rate_per_s: f64, now_ms: u64) -> TokenBucket {
        TokenBucket {
            rate_per_s,
            tokens: 0.0,
            updated_ms: now_ms,
        }
    }

    pub(crate) fn capacity(&self) -> f64 {
        MIN_CAPACITY + BURST_S * self.rate_per_s
    }

    /// Adds the tokens since the last call at the rate until now, then sets the rate.
    pub(crate) fn refill(&mut self, rate_per_s: f64, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1e3;
        self.tokens += elapsed_s * self.rate_per_s;
        self.rate_per_s = rate_per_s;
        self.tokens = self.tokens.min(self.capacity());
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    /// Takes one token if there are at least `level`. Otherwise returns the time in
    /// milliseconds until there will be.
    pub(crate) fn take(&mut self, level: f64) -> Result<(), f64> {
        if self.tokens >= level {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err((level - self.tokens) / self.rate_per_s * 1e3)
    }

    pub(crate) fn idle_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.updated_ms)
    }
}

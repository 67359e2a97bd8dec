//! Token bucket whose rate may change.

/// Token bucket whose rate and capacity may change.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    capacity: f64,
    tokens: f64,
    updated_ms: u64,
}

impl TokenBucket {
    /// Starts empty, so that a bucket that takes over from another one adds nothing
    /// to the tokens that were taken from that one.
    pub fn new(rate_per_s: f64, capacity: f64, now_ms: u64) -> TokenBucket {
        TokenBucket {
            rate_per_s,
            capacity,
            tokens: 0.0,
            updated_ms: now_ms,
        }
    }

    /// Tokens that a full bucket has.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Tokens at the time of the last refill.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds the tokens since the last call at the rate until now, then sets the rate and
    /// the capacity.
    pub fn refill(&mut self, rate_per_s: f64, capacity: f64, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1e3;
        self.tokens += elapsed_s * self.rate_per_s;
        self.rate_per_s = rate_per_s;
        self.capacity = capacity;
        self.tokens = self.tokens.min(capacity);
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    /// Takes one token if there are at least `level`. Otherwise returns the time in
    /// milliseconds until there will be.
    pub fn take(&mut self, level: f64) -> Result<(), f64> {
        if self.tokens >= level {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err((level - self.tokens) / self.rate_per_s * 1e3)
    }

    /// Adds tokens up to `max` in all; returns how many don't fit.
    pub fn add(&mut self, tokens: f64, max: f64) -> f64 {
        let added = tokens.min((max - self.tokens).max(0.0));
        self.tokens += added;
        tokens - added
    }

    /// Takes tokens off, at most all.
    pub fn remove(&mut self, tokens: f64) {
        self.tokens = (self.tokens - tokens).max(0.0);
    }

    /// Time since the last refill.
    pub fn idle_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.updated_ms)
    }
}

//! Exponential backoff with full jitter, and a retry budget.

/// Settings of the retries of one client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Attempts of one request, the first included.
    pub max_attempts: u32,
    /// Half the upper bound of the first backoff; the bound doubles with each
    /// further attempt.
    pub base_backoff_ms: u64,
    /// Upper bound of every backoff.
    pub max_backoff_ms: u64,
    /// Retries added to the budget by each request.
    pub retry_ratio: f64,
    /// Retries that the budget holds at most, and at the start.
    pub retry_capacity: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        RetrySettings {
            max_attempts: 3,
            base_backoff_ms: 20,
            max_backoff_ms: 500,
            retry_ratio: 0.2,
            retry_capacity: 10.0,
        }
    }
}

impl RetrySettings {
    /// Backoff after failed attempt `attempt`, counted from 1.
    ///
    /// `jitter` is a random number in 0..1 that scales the upper bound.
    pub fn backoff_ms(&self, attempt: u32, jitter: f64) -> u64 {
        let factor = 1u64 << attempt.min(16);
        let max_ms = self
            .base_backoff_ms
            .saturating_mul(factor)
            .min(self.max_backoff_ms);
        (max_ms as f64 * jitter) as u64
    }
}

/// Token bucket that limits retries to a share of the requests.
///
/// Without it, a failing platform would get `max_attempts` times the usual
/// load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    available: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(settings: RetrySettings) -> RetryBudget {
        RetryBudget {
            settings,
            available: settings.retry_capacity,
        }
    }

    /// Adds `retry_ratio` retries, up to the capacity; called once for each request.
    pub fn deposit(&mut self) {
        self.available =
            (self.available + self.settings.retry_ratio).min(self.settings.retry_capacity);
    }

    /// Withdraws one retry; returns false if less than one is available.
    pub fn withdraw(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

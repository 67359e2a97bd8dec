//! Bounded retries with jitter and a retry budget.

/// Settings of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Tries of one request.
    pub max_attempts: u32,
    /// First pause.
    pub base_backoff_ms: u64,
    /// Longest pause.
    pub max_backoff_ms: u64,
    /// Retries earned by each request.
    pub retry_ratio: f64,
    /// Retries that can be saved up.
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
    /// Pause before try `attempt`, counted from 1; `jitter` lies in 0..1.
    pub fn backoff_ms(&self, attempt: u32, jitter: f64) -> u64 {
        let factor = 1u64 << attempt.min(16);
        let bound_ms = self
            .base_backoff_ms
            .saturating_mul(factor)
            .min(self.max_backoff_ms);
        (bound_ms as f64 * jitter) as u64
    }
}

/// Budget that keeps retries a small share of requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    left: f64,
}

impl RetryBudget {
    /// Full budget.
    pub fn new(settings: RetrySettings) -> RetryBudget {
        RetryBudget {
            settings,
            left: settings.retry_capacity,
        }
    }

    /// Notes a first try.
    pub fn deposit(&mut self) {
        self.left = (self.left + self.settings.retry_ratio).min(self.settings.retry_capacity);
    }

    /// Takes one retry, if one is left.
    pub fn withdraw(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

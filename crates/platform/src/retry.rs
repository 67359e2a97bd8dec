//! Bounded retries with jitter and a retry budget.

/// Settings of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Tries of one request.
    pub tries: u32,
    /// First pause.
    pub base_ms: u64,
    /// Longest pause.
    pub most_ms: u64,
    /// Retries earned by each request.
    pub earned: f64,
    /// Retries that can be saved up.
    pub saved: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        RetrySettings {
            tries: 3,
            base_ms: 20,
            most_ms: 500,
            earned: 0.2,
            saved: 10.0,
        }
    }
}

impl RetrySettings {
    /// Pause before try `attempt`, counted from 1; `jitter` lies in 0..1.
    pub fn pause_ms(&self, attempt: u32, jitter: f64) -> u64 {
        let factor = 1u64 << attempt.min(16);
        let bound_ms = self.base_ms.saturating_mul(factor).min(self.most_ms);
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
            left: settings.saved,
        }
    }

    /// Notes a first try.
    pub fn earn(&mut self) {
        self.left = (self.left + self.settings.earned).min(self.settings.saved);
    }

    /// Takes one retry, if one is left.
    pub fn take(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

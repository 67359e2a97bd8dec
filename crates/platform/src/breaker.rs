//! Circuit breaker.

/// Settings of a [`CircuitBreaker`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CircuitBreakerSettings {
    /// Failures in a row that open it.
    pub failure_threshold: u32,
    /// Time it stays open.
    pub open_ms: u64,
}

impl Default for CircuitBreakerSettings {
    fn default() -> Self {
        CircuitBreakerSettings {
            failure_threshold: 3,
            open_ms: 1_000,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Closed { failures: u32 },
    Open { until_ms: u64 },
    HalfOpen,
}

/// Circuit breaker in front of the platform.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    settings: CircuitBreakerSettings,
    state: State,
}

impl CircuitBreaker {
    /// Closed breaker.
    pub fn new(settings: CircuitBreakerSettings) -> CircuitBreaker {
        CircuitBreaker {
            settings,
            state: State::Closed { failures: 0 },
        }
    }

    /// Whether a request may be sent now.
    ///
    /// # Errors
    ///
    /// Fails with the time left, in milliseconds, while it is open.
    pub fn permit(&mut self, now_ms: u64) -> Result<(), u64> {
        match self.state {
            State::Closed { .. } => Ok(()),
            State::Open { until_ms } if now_ms < until_ms => Err(until_ms - now_ms),
            State::Open { .. } => {
                self.state = State::HalfOpen;
                Ok(())
            }
            State::HalfOpen => Err(self.settings.open_ms),
        }
    }

    /// Notes the outcome of a permitted request.
    pub fn record(&mut self, ok: bool, now_ms: u64) {
        let failures = match (ok, self.state) {
            (true, _) => 0,
            (false, State::Closed { failures }) => failures + 1,
            (false, _) => self.settings.failure_threshold,
        };
        self.state = if failures >= self.settings.failure_threshold {
            State::Open {
                until_ms: now_ms + self.settings.open_ms,
            }
        } else {
            State::Closed { failures }
        };
    }

    /// Whether it is open at `now_ms`.
    pub fn is_open(&self, now_ms: u64) -> bool {
        matches!(self.state, State::Open { until_ms } if now_ms < until_ms)
    }
}

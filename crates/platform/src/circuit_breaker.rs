//! Circuit breaker that stops sending requests while the platform fails.

/// When a [`CircuitBreaker`] opens, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CircuitBreakerSettings {
    /// Consecutive failures that open the breaker.
    pub failure_threshold: u32,
    /// Time in the open state before one trial request is let through.
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

/// Circuit breaker with closed, open and half-open states.
///
/// The time is an argument, so that tests can run on a virtual clock.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    settings: CircuitBreakerSettings,
    state: State,
}

impl CircuitBreaker {
    /// Creates a breaker in the closed state.
    pub fn new(settings: CircuitBreakerSettings) -> CircuitBreaker {
        CircuitBreaker {
            settings,
            state: State::Closed { failures: 0 },
        }
    }

    /// Checks whether a request may be sent at `now_ms`.
    ///
    /// Once the open time is over, one trial request is permitted; others are
    /// rejected until [`record`](Self::record) gets its outcome.
    ///
    /// # Errors
    ///
    /// Fails with the time to wait, in milliseconds, while the breaker is open
    /// or a trial request is in flight.
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

    /// Records the outcome of a permitted request.
    ///
    /// A success closes the breaker; a failure outside the closed state opens
    /// it again at once.
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

    /// Whether the open time is still running at `now_ms`.
    ///
    /// False in the half-open state, although requests other than the trial are
    /// rejected there too.
    pub fn is_open(&self, now_ms: u64) -> bool {
        matches!(self.state, State::Open { until_ms } if now_ms < until_ms)
    }
}

//! Monotonic clock that starts with the daemon.

use std::time::Duration;

use tokio::time::Instant;

/// Monotonic clock in milliseconds; 0 is the start of the daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    pub(crate) fn now_ms(self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Converts a time of this clock to an [`Instant`].
    pub(crate) fn instant(self, at_ms: u64) -> Instant {
        self.start + Duration::from_millis(at_ms)
    }
}

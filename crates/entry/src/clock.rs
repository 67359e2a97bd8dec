//! Time since the daemon's start.

use std::time::Duration;

use tokio::time::Instant;

/// Steady clock in milliseconds.
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

    /// Instant of a time in milliseconds.
    pub(crate) fn instant(self, at_ms: u64) -> Instant {
        self.start + Duration::from_millis(at_ms)
    }
}

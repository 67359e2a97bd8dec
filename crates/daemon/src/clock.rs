//! Time since the Unix epoch that never goes back.

use std::time::{Instant, SystemTime};

/// Clock of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
    started_us: u64,
}

impl Clock {
    pub(crate) fn start() -> Clock {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Clock {
            started: Instant::now(),
            started_us: since.map_or(0, |since| since.as_micros() as u64),
        }
    }

    /// Time since the epoch, in microseconds.
    pub(crate) fn now_us(&self) -> u64 {
        self.started_us + self.started.elapsed().as_micros() as u64
    }

    /// Start of the process since the epoch, in milliseconds.
    pub(crate) fn started_ms(&self) -> u64 {
        self.started_us / 1_000
    }
}

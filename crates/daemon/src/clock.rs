//! Monotonic time since the Unix epoch.

use std::time::{Instant, SystemTime};

/// System time at the start of the process, advanced by a monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started_at: Instant,
    started_us: u64,
}

impl Clock {
    pub(crate) fn start() -> Clock {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Clock {
            started_at: Instant::now(),
            started_us: since_epoch.map_or(0, |elapsed| elapsed.as_micros() as u64),
        }
    }

    /// Time since the epoch, in microseconds.
    pub(crate) fn now_us(&self) -> u64 {
        self.started_us + self.started_at.elapsed().as_micros() as u64
    }

    /// Time since the epoch, in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        self.now_us() / 1_000
    }

    /// Start of the process since the epoch, in milliseconds.
    pub(crate) fn started_ms(&self) -> u64 {
        self.started_us / 1_000
    }
}

//! Monotonic clock that starts with the daemon.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{clock_gettime, ClockId};
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

/// Milliseconds since the Unix epoch by the system's clock, which may jump.
pub(crate) fn unix_now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Milliseconds since the VM started, including the time for which it was suspended,
/// which monotonic clocks leave out. `None` if the system has no such clock.
pub(crate) fn boot_now_ms() -> Option<u64> {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    u64::try_from(Duration::from(now).as_millis()).ok()
}

//! Rate of recent events.

/// Time constant of the exponential average. A longer one keeps the tokens of a peak
/// that is over; a shorter one misses accounts with a few requests a second.
const TIME_CONSTANT_MS: f64 = 500.0;

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentRate {
    decayed_count: f64,
    updated_ms: u64,
}

impl RecentRate {
    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.decayed_count *= (-elapsed_ms / TIME_CONSTANT_MS).exp();
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    pub(crate) fn record(&mut self, events: f64, now_ms: u64) {
        self.decay(now_ms);
        self.decayed_count += events;
    }

    /// Events expected in a time, if they go on as lately.
    pub(crate) fn expected(&mut self, within_ms: u64, now_ms: u64) -> f64 {
        self.decay(now_ms);
        self.decayed_count / TIME_CONSTANT_MS * within_ms as f64
    }
}

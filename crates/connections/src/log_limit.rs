//! Log lines of bounded volume.

use std::cell::Cell;

/// Interval between two log lines.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Lets one log line a second pass, and counts the others.
#[derive(Debug, Default)]
pub struct LogLimit {
    logged_ms: Cell<Option<u64>>,
    unlogged: Cell<u64>,
}

impl LogLimit {
    /// Whether a line may be written now; returns the number of those that were left out
    /// since the last one.
    pub fn admit(&self, now_ms: u64) -> Option<u64> {
        let is_due = self
            .logged_ms
            .get()
            .is_none_or(|logged_ms| now_ms - logged_ms >= LOG_INTERVAL_MS);
        if !is_due {
            self.unlogged.set(self.unlogged.get() + 1);
            return None;
        }
        self.logged_ms.set(Some(now_ms));
        Some(self.unlogged.take())
    }
}

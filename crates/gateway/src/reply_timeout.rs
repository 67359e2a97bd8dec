//! How long a reply is waited for.
//!
//! A store that loses replies shows it only by silence, so waiting for long
//! is dear; one that is slow needs the wait. The wait follows the replies
//! that came, and doubles while none does.

/// Shortest wait, a few times that of a calm store's transaction.
const SHORTEST_MS: u64 = 150;

/// Longest wait.
const LONGEST_MS: u64 = 1_500;

/// Times the usual reply time that is waited.
const GENEROSITY: f64 = 4.0;

/// Weight of the newest reply time.
const NEWEST: f64 = 0.3;

/// Wait for the replies of one server.
#[derive(Clone, Copy, Debug)]
pub struct ReplyTimeout {
    usual_ms: f64,
    timeout_ms: u64,
}

impl Default for ReplyTimeout {
    fn default() -> Self {
        ReplyTimeout {
            usual_ms: 0.0,
            timeout_ms: SHORTEST_MS,
        }
    }
}

impl ReplyTimeout {
    /// Longest wait for the next reply.
    pub fn timeout_ms(&self) -> u64 {
        self.timeout_ms
    }

    /// Takes a reply that came after `took_ms`.
    pub fn record_reply(&mut self, took_ms: u64) {
        self.usual_ms += (took_ms as f64 - self.usual_ms) * NEWEST;
        let wait_ms = (self.usual_ms * GENEROSITY) as u64;
        self.timeout_ms = wait_ms.clamp(SHORTEST_MS, LONGEST_MS);
    }

    /// Takes note that no reply came in time.
    pub fn record_timeout(&mut self) {
        self.timeout_ms = (self.timeout_ms * 2).min(LONGEST_MS);
    }
}

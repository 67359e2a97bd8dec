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
pub struct Patience {
    usual_ms: f64,
    wait_ms: u64,
}

impl Default for Patience {
    fn default() -> Self {
        Patience {
            usual_ms: 0.0,
            wait_ms: SHORTEST_MS,
        }
    }
}

impl Patience {
    /// Longest wait for the next reply.
    pub fn wait_ms(&self) -> u64 {
        self.wait_ms
    }

    /// Takes a reply that came after `took_ms`.
    pub fn replied(&mut self, took_ms: u64) {
        self.usual_ms += (took_ms as f64 - self.usual_ms) * NEWEST;
        let wait_ms = (self.usual_ms * GENEROSITY) as u64;
        self.wait_ms = wait_ms.clamp(SHORTEST_MS, LONGEST_MS);
    }

    /// Takes note that no reply came in time.
    pub fn ran_out(&mut self) {
        self.wait_ms = (self.wait_ms * 2).min(LONGEST_MS);
    }
}

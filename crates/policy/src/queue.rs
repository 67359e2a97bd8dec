//! Order between waiting calls.

/// What decides when a waiting call runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Priority {
    /// Tokens that its program and family have been served so far.
    pub attained_tokens: u64,
    /// Time at which it began to wait.
    pub queued_at_ms: u64,
    /// End of the program's window, if it has one.
    pub deadline_ms: Option<u64>,
}

/// Tokens of service that one second of waiting makes up for.
const AGEING_TOKENS_PER_S: u64 = 2_000;
/// Slack below which a window goes before everything else.
const URGENT_MS: u64 = 2_000;

impl Priority {
    /// Order at a time; the smallest runs first.
    pub fn rank(&self, now_ms: u64) -> (bool, u64, u64) {
        let waited_ms = now_ms.saturating_sub(self.queued_at_ms);
        let credit = waited_ms * AGEING_TOKENS_PER_S / 1_000;
        let urgent = self
            .deadline_ms
            .is_some_and(|deadline_ms| deadline_ms < now_ms + URGENT_MS);
        (
            !urgent,
            self.attained_tokens.saturating_sub(credit),
            self.queued_at_ms,
        )
    }
}

/// Waiting calls; least attained service first, with ageing.
#[derive(Clone, Debug)]
pub struct WaitQueue<K> {
    waiting: Vec<(K, Priority)>,
}

impl<K> Default for WaitQueue<K> {
    fn default() -> Self {
        WaitQueue {
            waiting: Vec::new(),
        }
    }
}

impl<K> WaitQueue<K>
where
    K: Copy + PartialEq,
{
    /// Number of waiting calls.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none wait.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a call.
    pub fn push(&mut self, key: K, priority: Priority) {
        self.waiting.push((key, priority));
    }

    /// Removes a call.
    pub fn remove(&mut self, key: K) {
        self.waiting.retain(|(waiting, _)| *waiting != key);
    }

    /// Waiting calls in the order in which they should run.
    pub fn in_order(&self, now_ms: u64) -> Vec<K> {
        let mut ranked: Vec<_> = self
            .waiting
            .iter()
            .map(|(key, priority)| (priority.rank(now_ms), *key))
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, key)| key).collect()
    }
}

//! Scheduling order of waiting calls.

/// Inputs of a waiting call's priority.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Priority {
    /// Tokens that the call's program family (a root program and its descendants)
    /// has received so far, so that spawning child programs gains no priority.
    pub attained_tokens: u64,
    /// Time at which the call was queued; among otherwise equal calls the earlier
    /// one runs first.
    pub queued_at_ms: u64,
    /// Time by which the program should finish; `None` without a deadline.
    pub deadline_ms: Option<u64>,
}

/// Attained tokens that each second of waiting subtracts in a call's rank.
const AGEING_TOKENS_PER_S: u64 = 2_000;
/// Time before its program's deadline from which a call ranks before all calls
/// that aren't urgent.
const URGENT_MS: u64 = 2_000;

impl Priority {
    /// Rank at a time; the lowest runs first.
    pub fn rank(&self, now_ms: u64) -> (bool, u64, u64) {
        let waited_ms = now_ms.saturating_sub(self.queued_at_ms);
        let offset_tokens = waited_ms * AGEING_TOKENS_PER_S / 1_000;
        let is_urgent = self
            .deadline_ms
            .is_some_and(|deadline_ms| deadline_ms < now_ms + URGENT_MS);
        (
            !is_urgent,
            self.attained_tokens.saturating_sub(offset_tokens),
            self.queued_at_ms,
        )
    }
}

/// Queue of waiting calls: least attained service first, with ageing.
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

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a call.
    pub fn push(&mut self, key: K, priority: Priority) {
        self.waiting.push((key, priority));
    }

    /// Removes a call, if it is queued.
    pub fn remove(&mut self, key: K) {
        self.waiting.retain(|(waiting, _)| *waiting != key);
    }

    /// Waiting calls by rank, the first to run first.
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

//! Prefix cache of fixed-size blocks with LRU eviction.

use std::collections::HashMap;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Length of a block in bytes, at an assumed 4 bytes per token.
const BLOCK_BYTES: usize = 64;
/// Length of a block in tokens; prompts are cached in whole blocks only.
pub(super) const BLOCK_TOKENS: u64 = 16;
/// Maximum number of cache events kept for readers; when it is reached, the older
/// half is removed.
const MAX_EVENTS: usize = 1_024;

/// A block was stored in the cache or evicted from it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct CacheEvent {
    pub(super) sequence: u64,
    pub(super) block: u64,
    pub(super) stored: bool,
}

#[derive(Default)]
pub(super) struct PrefixCache {
    max_blocks: usize,
    use_count: u64,
    blocks: HashMap<u64, u64>,
    events: Vec<CacheEvent>,
    sequence: u64,
}

impl PrefixCache {
    pub(super) fn new(max_blocks: usize) -> PrefixCache {
        PrefixCache {
            max_blocks,
            ..PrefixCache::default()
        }
    }

    /// Stores the blocks of a prompt and returns how many prompt tokens were cached
    /// before.
    pub(super) fn store_prompt(&mut self, prompt: &str) -> u64 {
        let mut hash = 0;
        let mut cached_blocks = 0;
        let mut is_prefix_cached = true;
        for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
            hash = xxh3_64_with_seed(block, hash);
            self.use_count += 1;
            is_prefix_cached &= self.blocks.contains_key(&hash);
            if is_prefix_cached {
                cached_blocks += 1;
            } else {
                self.record_event(hash, true);
            }
            self.blocks.insert(hash, self.use_count);
        }
        self.evict();
        cached_blocks * BLOCK_TOKENS
    }

    fn evict(&mut self) {
        while self.blocks.len() > self.max_blocks {
            let least_recent = self.blocks.iter().min_by_key(|(_, last_used)| **last_used);
            let Some(block) = least_recent.map(|(block, _)| *block) else {
                return;
            };
            self.blocks.remove(&block);
            self.record_event(block, false);
        }
    }

    fn record_event(&mut self, block: u64, stored: bool) {
        self.sequence += 1;
        if self.events.len() >= MAX_EVENTS {
            self.events.drain(..MAX_EVENTS / 2);
        }
        self.events.push(CacheEvent {
            sequence: self.sequence,
            block,
            stored,
        });
    }

    /// Events after a sequence number. Leaves out every 16th event, to simulate the
    /// loss of events.
    pub(super) fn events(&self, after: u64) -> Vec<CacheEvent> {
        let events = self.events.iter().filter(|event| event.sequence > after);
        events
            .filter(|event| event.sequence % 16 != 0)
            .cloned()
            .collect()
    }
}

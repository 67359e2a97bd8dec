//! Prefix cache by blocks, least recently used first out.

use std::collections::HashMap;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Characters of one block; four are held to be one token.
const BLOCK_CHARS: usize = 64;
/// Tokens of one block.
pub(super) const BLOCK_TOKENS: u64 = 16;
/// Events kept for those who ask.
const EVENT_LIMIT: usize = 1_024;

/// Cache event.
#[derive(Clone, Debug, Serialize)]
pub(super) struct CacheEvent {
    pub(super) sequence: u64,
    pub(super) block: u64,
    pub(super) stored: bool,
}

#[derive(Default)]
pub(super) struct PrefixCache {
    limit: usize,
    clock: u64,
    blocks: HashMap<u64, u64>,
    events: Vec<CacheEvent>,
    sequence: u64,
}

impl PrefixCache {
    pub(super) fn new(limit: usize) -> PrefixCache {
        PrefixCache {
            limit,
            ..PrefixCache::default()
        }
    }

    /// Tokens of the prompt that were cached; the rest is cached from now on.
    pub(super) fn use_prompt(&mut self, prompt: &str) -> u64 {
        let mut hash = 0;
        let mut hits = 0;
        let mut hitting = true;
        for block in prompt.as_bytes().chunks_exact(BLOCK_CHARS) {
            hash = xxh3_64_with_seed(block, hash);
            self.clock += 1;
            hitting &= self.blocks.contains_key(&hash);
            if hitting {
                hits += 1;
            } else {
                self.note(hash, true);
            }
            self.blocks.insert(hash, self.clock);
        }
        self.evict();
        hits * BLOCK_TOKENS
    }

    fn evict(&mut self) {
        while self.blocks.len() > self.limit {
            let oldest = self.blocks.iter().min_by_key(|(_, used)| **used);
            let Some(block) = oldest.map(|(block, _)| *block) else {
                return;
            };
            self.blocks.remove(&block);
            self.note(block, false);
        }
    }

    fn note(&mut self, block: u64, stored: bool) {
        self.sequence += 1;
        if self.events.len() >= EVENT_LIMIT {
            self.events.drain(..EVENT_LIMIT / 2);
        }
        self.events.push(CacheEvent {
            sequence: self.sequence,
            block,
            stored,
        });
    }

    /// Events after a number; every 16th is lost.
    pub(super) fn events(&self, after: u64) -> Vec<CacheEvent> {
        let later = self.events.iter().filter(|event| event.sequence > after);
        later
            .filter(|event| event.sequence % 16 != 0)
            .cloned()
            .collect()
    }
}

//! Turns in memory, bounded in bytes.

use std::collections::BTreeMap;
use std::rc::Rc;

use lagoon_ids::FastMap;

use crate::turn::{Turn, TurnId};

/// Memory of a cached turn beyond its content.
const ENTRY_OVERHEAD_BYTES: usize = 400;

#[derive(Debug)]
struct Entry {
    turn: Rc<Turn>,
    used_at: u64,
}

/// Recently used turns; the least recently used ones are evicted.
#[derive(Debug)]
pub struct TurnCache {
    max_bytes: usize,
    used_bytes: usize,
    /// Number of uses so far, which orders the entries.
    uses: u64,
    entries: FastMap<TurnId, Entry>,
    by_use: BTreeMap<u64, TurnId>,
}

fn cost_bytes(turn: &Turn) -> usize {
    turn.len_bytes() + ENTRY_OVERHEAD_BYTES
}

impl TurnCache {
    /// Empty cache that holds at most `max_bytes`.
    pub fn new(max_bytes: usize) -> TurnCache {
        TurnCache {
            max_bytes,
            used_bytes: 0,
            uses: 0,
            entries: FastMap::default(),
            by_use: BTreeMap::new(),
        }
    }

    /// Returns a cached turn and marks it as used.
    pub fn get(&mut self, id: &TurnId) -> Option<Rc<Turn>> {
        let entry = self.entries.get_mut(id)?;
        self.uses += 1;
        self.by_use.remove(&entry.used_at);
        entry.used_at = self.uses;
        self.by_use.insert(self.uses, id.clone());
        Some(Rc::clone(&entry.turn))
    }

    /// Adds a turn, unless it is cached already. Evicts others if needed; a turn
    /// larger than the whole cache isn't cached.
    pub fn insert(&mut self, turn: Rc<Turn>) {
        if self.entries.contains_key(&turn.id) || cost_bytes(&turn) > self.max_bytes {
            return;
        }
        self.uses += 1;
        self.used_bytes += cost_bytes(&turn);
        self.by_use.insert(self.uses, turn.id.clone());
        let entry = Entry {
            used_at: self.uses,
            turn: Rc::clone(&turn),
        };
        self.entries.insert(turn.id.clone(), entry);
        while self.used_bytes > self.max_bytes {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                return;
            };
            if let Some(evicted) = self.entries.remove(&oldest) {
                self.used_bytes -= cost_bytes(&evicted.turn);
            }
        }
    }

    /// Removes a turn of which another version prevails.
    pub fn remove(&mut self, id: &TurnId) {
        if let Some(removed) = self.entries.remove(id) {
            self.by_use.remove(&removed.used_at);
            self.used_bytes -= cost_bytes(&removed.turn);
        }
    }

    /// Number of cached turns.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Memory of the cached turns.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }
}

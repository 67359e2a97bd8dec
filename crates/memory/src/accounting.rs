//! Counts and contents of all holdings.

use std::collections::BTreeMap;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;

use crate::buffer::{Buffer, Slab};
use crate::{Exhausted, ORDINARY_BYTES};

#[derive(Debug)]
struct Entry {
    /// Bytes that are counted: the capacity of `buffer`, and what is held elsewhere.
    bytes: u64,
    buffer: Buffer,
    /// Time of the first of its bytes.
    since_ms: u64,
    is_withdrawable: bool,
    is_withdrawn: bool,
    waker: Option<Waker>,
}

impl Entry {
    /// Orders holdings by what they cost others: a large one that is there for a short
    /// time may cost less than a smaller one that stays.
    fn cost(&self, now_ms: u64) -> (bool, u128) {
        let age_ms = now_ms.saturating_sub(self.since_ms) + 1;
        let is_large = self.bytes > ORDINARY_BYTES;
        (is_large, u128::from(self.bytes) * u128::from(age_ms))
    }
}

#[derive(Debug)]
pub(crate) struct Accounting {
    max_bytes: u64,
    reserve_bytes: u64,
    max_discards: usize,
    discards: usize,
    held_bytes: u64,
    withdrawn_count: u64,
    next_id: u64,
    entries: BTreeMap<u64, Entry>,
    slab: Slab,
}

impl Accounting {
    pub(crate) fn new(max_bytes: u64, reserve_bytes: u64, max_discards: usize) -> Accounting {
        Accounting {
            max_bytes,
            reserve_bytes,
            max_discards,
            discards: 0,
            held_bytes: 0,
            withdrawn_count: 0,
            next_id: 0,
            entries: BTreeMap::new(),
            slab: Slab::new(max_bytes),
        }
    }

    pub(crate) fn max_large_bytes(&self) -> u64 {
        self.max_bytes - self.reserve_bytes
    }

    pub(crate) fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    pub(crate) fn withdrawn_count(&self) -> u64 {
        self.withdrawn_count
    }

    pub(crate) fn open(&mut self, is_withdrawable: bool, now_ms: u64) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let entry = Entry {
            bytes: 0,
            buffer: Buffer::default(),
            since_ms: now_ms,
            is_withdrawable,
            is_withdrawn: false,
            waker: None,
        };
        self.entries.insert(id, entry);
        id
    }

    pub(crate) fn close(&mut self, id: u64) {
        if let Some(mut entry) = self.entries.remove(&id) {
            self.slab.release(&mut entry.buffer);
            self.held_bytes -= entry.bytes;
        }
    }

    /// Changes the bytes of a holding. If that is too much, withdraws those that cost
    /// most, or refuses if the holding itself does.
    pub(crate) fn set(&mut self, id: u64, bytes: u64, now_ms: u64) -> Result<(), Exhausted> {
        let max_bytes = match bytes > ORDINARY_BYTES {
            true => self.max_large_bytes(),
            false => self.max_bytes,
        };
        let entry = self.entries.get_mut(&id).ok_or(Exhausted)?;
        if entry.is_withdrawn {
            return Err(Exhausted);
        }
        let previous = std::mem::replace(&mut entry.bytes, bytes);
        if previous == 0 {
            entry.since_ms = now_ms;
        }
        self.held_bytes = self.held_bytes - previous + bytes;
        while bytes > previous && self.held_bytes > max_bytes {
            let victim = self.costliest(now_ms).filter(|victim| *victim != id);
            let Some(victim) = victim else {
                if let Some(entry) = self.entries.get_mut(&id) {
                    entry.bytes = previous;
                }
                self.held_bytes = self.held_bytes - bytes + previous;
                return Err(Exhausted);
            };
            self.withdraw(victim);
        }
        Ok(())
    }

    fn costliest(&self, now_ms: u64) -> Option<u64> {
        let entries = self.entries.iter();
        let candidates = entries.filter(|(_, entry)| entry.is_withdrawable && entry.bytes > 0);
        let costliest = candidates.max_by_key(|(_, entry)| entry.cost(now_ms));
        costliest.map(|(id, _)| *id)
    }

    /// Frees the buffer of a holding at once; what is held elsewhere is freed when its
    /// task runs.
    fn withdraw(&mut self, id: u64) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        self.held_bytes -= entry.bytes;
        self.withdrawn_count += 1;
        entry.bytes = 0;
        self.slab.release(&mut entry.buffer);
        entry.is_withdrawn = true;
        entry.is_withdrawable = false;
        if let Some(waker) = entry.waker.take() {
            waker.wake();
        }
    }

    /// Adds bytes to the buffer of a holding. The capacity is counted, so that small chunks
    /// cost no more than large ones.
    pub(crate) fn push(&mut self, id: u64, mut data: &[u8], now_ms: u64) -> Result<(), Exhausted> {
        while !data.is_empty() {
            let entry = self.entries.get(&id).ok_or(Exhausted)?;
            let growth_bytes = entry.buffer.growth_bytes(data.len());
            // Also without growth, as it fails if the bytes were withdrawn.
            let bytes = entry.bytes + growth_bytes as u64;
            self.set(id, bytes, now_ms)?;
            let entry = self.entries.get_mut(&id).ok_or(Exhausted)?;
            let taken = entry.buffer.fill(growth_bytes, data, &mut self.slab);
            let Some(taken) = taken else {
                self.set(id, bytes - growth_bytes as u64, now_ms)?;
                return Err(Exhausted);
            };
            data = &data[taken..];
        }
        Ok(())
    }

    pub(crate) fn buffered_bytes(&self, id: u64) -> usize {
        self.entries.get(&id).map_or(0, |entry| entry.buffer.len())
    }

    /// Takes the buffer of a holding, whose bytes stay counted and can't be withdrawn any
    /// more.
    pub(crate) fn finish(&mut self, id: u64) -> Result<Bytes, Exhausted> {
        let entry = self.entries.get_mut(&id).ok_or(Exhausted)?;
        if entry.is_withdrawn {
            return Err(Exhausted);
        }
        entry.is_withdrawable = false;
        let bytes = Bytes::from(entry.buffer.take_content(&self.slab));
        self.slab.release(&mut entry.buffer);
        self.held_bytes = self.held_bytes - entry.bytes + bytes.len() as u64;
        entry.bytes = bytes.len() as u64;
        Ok(bytes)
    }

    pub(crate) fn poll_withdrawn(&mut self, id: u64, cx: &mut Context<'_>) -> Poll<()> {
        match self.entries.get_mut(&id) {
            Some(entry) if !entry.is_withdrawn => {
                entry.waker = Some(cx.waker().clone());
                Poll::Pending
            }
            _ => Poll::Ready(()),
        }
    }

    pub(crate) fn is_withdrawn(&self, id: u64) -> bool {
        self.entries.get(&id).is_none_or(|entry| entry.is_withdrawn)
    }

    pub(crate) fn begin_discard(&mut self) -> bool {
        let begins = self.discards < self.max_discards;
        self.discards += usize::from(begins);
        begins
    }

    pub(crate) fn end_discard(&mut self) {
        self.discards -= 1;
    }
}

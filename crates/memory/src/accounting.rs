//! Counts and contents of all holdings.

use std::collections::BTreeMap;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;

use crate::buffer::Buffer;
use crate::process::{Demand, ProcessLimit};
use crate::{Claim, Exhausted, ORDINARY_BYTES};

#[derive(Debug)]
struct Entry {
    /// Bytes that are counted: the capacity of `buffer`, and what is held elsewhere.
    bytes: u64,
    /// Bytes that the peer costs besides, such as buffers of its connection; only the limit
    /// of the process applies to them.
    fixed_bytes: u64,
    buffer: Buffer,
    /// Part of `bytes` that is reserved for the buffer.
    reserved_bytes: u64,
    /// Time of the first of its bytes.
    since_ms: u64,
    is_withdrawable: bool,
    is_withdrawn: bool,
    /// Bytes that the owner frees when it learns of the withdrawal.
    freeing_bytes: u64,
    waker: Option<Waker>,
}

impl Entry {
    /// Orders holdings by what they cost others: a large one that is there for a short
    /// time may cost less than a smaller one that stays.
    fn cost(&self, now_ms: u64) -> (bool, u128) {
        let age_ms = now_ms.saturating_sub(self.since_ms) + 1;
        let is_large = self.bytes > ORDINARY_BYTES;
        let bytes = self.bytes + self.fixed_bytes;
        (is_large, u128::from(bytes) * u128::from(age_ms))
    }

    fn is_candidate(&self) -> bool {
        self.is_withdrawable && self.bytes + self.fixed_bytes > 0
    }
}

#[derive(Debug)]
pub(crate) struct Accounting {
    max_bytes: u64,
    reserve_bytes: u64,
    /// `None` if only the holdings are limited.
    process: Option<ProcessLimit>,
    max_discards: usize,
    discards: usize,
    held_bytes: u64,
    /// Bytes that may be held outside of the heap, such as by sockets, or are reserved.
    outside_bytes: u64,
    /// Bytes of withdrawn holdings that their owners are about to free.
    freeing_bytes: u64,
    withdrawn_count: u64,
    next_id: u64,
    entries: BTreeMap<u64, Entry>,
}

impl Accounting {
    pub(crate) fn new(
        max_bytes: u64,
        reserve_bytes: u64,
        max_discards: usize,
        process: Option<ProcessLimit>,
    ) -> Accounting {
        Accounting {
            max_bytes,
            reserve_bytes,
            process,
            max_discards,
            discards: 0,
            held_bytes: 0,
            outside_bytes: 0,
            freeing_bytes: 0,
            withdrawn_count: 0,
            next_id: 0,
            entries: BTreeMap::new(),
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

    pub(crate) fn open(&mut self, claim: Claim, fixed_bytes: u64, now_ms: u64) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let entry = Entry {
            bytes: 0,
            fixed_bytes,
            buffer: Buffer::default(),
            reserved_bytes: 0,
            since_ms: now_ms,
            is_withdrawable: claim == Claim::Withdrawable,
            is_withdrawn: false,
            freeing_bytes: 0,
            waker: None,
        };
        self.entries.insert(id, entry);
        id
    }

    pub(crate) fn close(&mut self, id: u64) {
        if let Some(entry) = self.entries.remove(&id) {
            self.held_bytes -= entry.bytes;
            self.outside_bytes -= entry.reserved_bytes;
            self.freeing_bytes -= entry.freeing_bytes;
        }
    }

    /// Lets the bytes of a holding be withdrawn from now on, or not, unless they were.
    pub(crate) fn set_claim(&mut self, id: u64, claim: Claim, now_ms: u64) {
        if let Some(entry) = self.entries.get_mut(&id).filter(|e| !e.is_withdrawn) {
            entry.is_withdrawable = claim == Claim::Withdrawable;
            entry.since_ms = now_ms;
        }
    }

    pub(crate) fn add_outside(&mut self, bytes: u64) {
        self.outside_bytes += bytes;
    }

    pub(crate) fn remove_outside(&mut self, bytes: u64) {
        self.outside_bytes -= bytes;
    }

    /// Makes room for a holding that takes this many bytes; withdraws those that cost most,
    /// or refuses if the holding itself does.
    fn make_room(
        &mut self,
        id: u64,
        bytes: u64,
        demand: Demand,
        now_ms: u64,
    ) -> Result<(), Exhausted> {
        let max_bytes = match bytes > ORDINARY_BYTES {
            true => self.max_large_bytes(),
            false => self.max_bytes,
        };
        while self.held_bytes > max_bytes || self.exceeds_process(demand) {
            let victim = self.costliest(now_ms).filter(|victim| *victim != id);
            self.withdraw(victim.ok_or(Exhausted)?);
        }
        Ok(())
    }

    /// Whether the process has more than leaves room for this.
    fn exceeds_process(&self, demand: Demand) -> bool {
        self.process.as_ref().is_some_and(|limit| {
            let used_bytes = (limit.heap_bytes)() + self.outside_bytes;
            used_bytes.saturating_sub(self.freeing_bytes) > limit.max_bytes_for(demand)
        })
    }

    /// Makes room for what a holding costs besides its bytes.
    pub(crate) fn claim_room(&mut self, id: u64, now_ms: u64) -> Result<(), Exhausted> {
        let entry = self.entries.get(&id).ok_or(Exhausted)?;
        if entry.is_withdrawn {
            return Err(Exhausted);
        }
        let bytes = entry.bytes;
        self.make_room(id, bytes, Demand::Arriving { bytes }, now_ms)
    }

    /// Changes the bytes of a holding, which is in progress if it can't be withdrawn.
    pub(crate) fn set(&mut self, id: u64, bytes: u64, now_ms: u64) -> Result<(), Exhausted> {
        let is_withdrawable = self.entries.get(&id).is_some_and(|e| e.is_withdrawable);
        let demand = match is_withdrawable {
            true => Demand::Arriving { bytes },
            false => Demand::Running,
        };
        self.set_for(id, bytes, demand, now_ms)
    }

    /// Changes the bytes of a holding. If that is too much, withdraws those that cost
    /// most, or refuses if the holding itself does.
    pub(crate) fn set_for(
        &mut self,
        id: u64,
        bytes: u64,
        demand: Demand,
        now_ms: u64,
    ) -> Result<(), Exhausted> {
        let entry = self.entries.get_mut(&id).ok_or(Exhausted)?;
        if entry.is_withdrawn {
            return Err(Exhausted);
        }
        let previous = std::mem::replace(&mut entry.bytes, bytes);
        if previous == 0 {
            entry.since_ms = now_ms;
        }
        self.held_bytes = self.held_bytes - previous + bytes;
        if bytes <= previous {
            return Ok(());
        }
        self.make_room(id, bytes, demand, now_ms).inspect_err(|_| {
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.bytes = previous;
            }
            self.held_bytes = self.held_bytes - bytes + previous;
        })
    }

    fn costliest(&self, now_ms: u64) -> Option<u64> {
        let entries = self.entries.iter();
        let candidates = entries.filter(|(_, entry)| entry.is_candidate());
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
        let buffer_bytes = entry.buffer.capacity() as u64;
        let elsewhere_bytes = (entry.bytes - entry.reserved_bytes).saturating_sub(buffer_bytes);
        entry.freeing_bytes = entry.fixed_bytes + elsewhere_bytes;
        self.outside_bytes -= std::mem::take(&mut entry.reserved_bytes);
        self.freeing_bytes += entry.freeing_bytes;
        entry.bytes = 0;
        entry.buffer = Buffer::default();
        entry.is_withdrawn = true;
        entry.is_withdrawable = false;
        if let Some(waker) = entry.waker.take() {
            waker.wake();
        }
    }

    /// Reserves bytes for the buffer of a holding that has none yet.
    pub(crate) fn reserve(&mut self, id: u64, bytes: u64, now_ms: u64) -> Result<(), Exhausted> {
        self.outside_bytes += bytes;
        if let Err(exhausted) = self.set(id, bytes, now_ms) {
            self.outside_bytes -= bytes;
            return Err(exhausted);
        }
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.reserved_bytes = bytes;
        }
        Ok(())
    }

    /// Adds bytes to the buffer of a holding. The capacity is counted, so that small chunks
    /// cost no more than large ones.
    pub(crate) fn push(&mut self, id: u64, mut data: &[u8], now_ms: u64) -> Result<(), Exhausted> {
        while !data.is_empty() {
            let entry = self.entries.get_mut(&id).ok_or(Exhausted)?;
            let growth_bytes = entry.buffer.growth_bytes(data.len());
            let reserved_bytes = entry.reserved_bytes.min(growth_bytes as u64);
            entry.reserved_bytes -= reserved_bytes;
            // Also without growth, as it fails if the bytes were withdrawn.
            let bytes = entry.bytes + growth_bytes as u64 - reserved_bytes;
            self.outside_bytes -= reserved_bytes;
            self.set(id, bytes, now_ms)?;
            let entry = self.entries.get_mut(&id).ok_or(Exhausted)?;
            let taken = entry.buffer.fill(growth_bytes, data);
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
        self.outside_bytes -= std::mem::take(&mut entry.reserved_bytes);
        let buffer = std::mem::take(&mut entry.buffer);
        let bytes = Bytes::from(buffer.into_content());
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

    pub(crate) fn has(&self, id: u64) -> bool {
        self.entries.contains_key(&id)
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

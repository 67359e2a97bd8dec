//! Bytes of one peer.

use std::future::{poll_fn, Future};
use std::task::Poll;

use bytes::Bytes;

use crate::process::Demand;
use crate::{Claim, Exhausted, Memory};

/// Bytes that are held on behalf of one peer; released on drop.
#[derive(Debug)]
pub struct Holding {
    memory: Memory,
    id: u64,
}

impl Holding {
    pub(crate) fn new(memory: Memory, id: u64) -> Holding {
        Holding { memory, id }
    }

    /// Adds bytes to the buffer of the holding.
    ///
    /// # Errors
    ///
    /// Fails if the memory is exhausted and no other holding costs more, or if the bytes
    /// were withdrawn.
    pub fn push(&self, data: &[u8], now_ms: u64) -> Result<(), Exhausted> {
        self.memory.lock().push(self.id, data, now_ms)
    }

    /// Reserves bytes for the buffer, which is empty, so that later pushes don't fail up to
    /// this length.
    ///
    /// # Errors
    ///
    /// Like [`Holding::push`].
    pub fn reserve(&self, bytes: u64, now_ms: u64) -> Result<(), Exhausted> {
        self.memory.lock().reserve(self.id, bytes, now_ms)
    }

    /// Length of the buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.memory.lock().buffered_bytes(self.id)
    }

    /// Takes the buffer. Its bytes stay counted until the holding is dropped, and can't be
    /// withdrawn any more.
    ///
    /// # Errors
    ///
    /// Fails if the bytes were withdrawn.
    pub fn finish(&self) -> Result<Bytes, Exhausted> {
        self.memory.lock().finish(self.id)
    }

    /// Changes the number of bytes that are held elsewhere, for a holding without a buffer.
    ///
    /// # Errors
    ///
    /// Like [`Holding::push`].
    pub fn set(&self, bytes: u64, now_ms: u64) -> Result<(), Exhausted> {
        self.memory.lock().set(self.id, bytes, now_ms)
    }

    /// Like [`Holding::set`], for a request in progress, whose bytes can be withdrawn all the
    /// same: it may use what arrivals leave free.
    ///
    /// # Errors
    ///
    /// Like [`Holding::push`].
    pub fn set_in_progress(&self, bytes: u64, now_ms: u64) -> Result<(), Exhausted> {
        let mut accounting = self.memory.lock();
        accounting.set_for(self.id, bytes, Demand::Running, now_ms)
    }

    /// Makes room for what the holding costs besides its bytes.
    ///
    /// # Errors
    ///
    /// Like [`Holding::push`].
    pub fn claim_room(&self, now_ms: u64) -> Result<(), Exhausted> {
        self.memory.lock().claim_room(self.id, now_ms)
    }

    /// Lets the bytes be withdrawn from now on, or not. The age of the holding begins anew.
    pub fn set_claim(&self, claim: Claim, now_ms: u64) {
        self.memory.lock().set_claim(self.id, claim, now_ms);
    }

    /// Whether the bytes were withdrawn.
    pub fn is_withdrawn(&self) -> bool {
        self.memory.lock().is_withdrawn(self.id)
    }

    /// Waits until the bytes are withdrawn. Only the last of several waits is woken.
    pub fn withdrawn(&self) -> impl Future<Output = ()> + '_ {
        poll_fn(|cx| self.memory.lock().poll_withdrawn(self.id, cx))
    }

    /// Handle to the holding for whoever sends its bytes.
    pub fn watch(&self) -> HoldingWatch {
        HoldingWatch {
            memory: self.memory.clone(),
            id: self.id,
        }
    }

    /// These bytes, with which the holding is dropped.
    pub fn bind(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldBytes {
            bytes,
            _holding: self,
        })
    }
}

/// Handle to a holding that something else owns.
#[derive(Clone, Debug)]
pub struct HoldingWatch {
    memory: Memory,
    id: u64,
}

impl HoldingWatch {
    /// Like [`Holding::set_claim`]; does nothing once the holding is dropped.
    pub fn set_claim(&self, claim: Claim, now_ms: u64) {
        self.memory.lock().set_claim(self.id, claim, now_ms);
    }

    /// Waits until the bytes are withdrawn; doesn't end if the holding is dropped before.
    pub fn withdrawn(&self) -> impl Future<Output = ()> + '_ {
        poll_fn(|cx| {
            let mut accounting = self.memory.lock();
            match accounting.has(self.id) {
                true => accounting.poll_withdrawn(self.id, cx),
                false => Poll::Pending,
            }
        })
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.memory.lock().close(self.id);
    }
}

struct HeldBytes {
    bytes: Bytes,
    _holding: Holding,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Permission to discard the bytes of a peer.
#[derive(Debug)]
pub struct DiscardGuard(Memory);

impl DiscardGuard {
    pub(crate) fn new(memory: Memory) -> DiscardGuard {
        DiscardGuard(memory)
    }
}

impl Drop for DiscardGuard {
    fn drop(&mut self) {
        self.0.lock().end_discard();
    }
}

/// Bytes that are counted outside of the heap.
#[derive(Debug)]
pub struct OutsideGuard {
    memory: Memory,
    bytes: u64,
}

impl OutsideGuard {
    pub(crate) fn new(memory: Memory, bytes: u64) -> OutsideGuard {
        OutsideGuard { memory, bytes }
    }
}

impl Drop for OutsideGuard {
    fn drop(&mut self) {
        self.memory.lock().remove_outside(self.bytes);
    }
}

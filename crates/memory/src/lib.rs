//! Accounting of the bytes that a process holds on behalf of its peers, without I/O.
//!
//! Each peer's bytes are counted in a [`Holding`] when they are taken. When the total
//! would exceed its limit, bytes are withdrawn from the largest and slowest holdings
//! that may lose them, instead of refused to whichever peer comes next.

mod accounting;
mod buffer;
mod holding;
mod process;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use thiserror::Error;

use accounting::Accounting;

pub use holding::{DiscardGuard, Holding, HoldingWatch, OutsideGuard};
pub use process::ProcessLimit;

/// Holdings up to this size are ordinary: they may use the reserve, and lose bytes only
/// when there is no larger holding.
pub const ORDINARY_BYTES: u64 = 65_536;

/// Holdings up to this size may use all memory of the process; larger ones leave a reserve.
pub const SMALL_BYTES: u64 = 8_192;

/// Part of the limit that only ordinary holdings may use: its divisor.
const RESERVE_DIVISOR: u64 = 8;

/// There is no memory for more bytes, or those of the holding were withdrawn.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("memory exhausted")]
pub struct Exhausted;

/// Whether the bytes of a holding may be withdrawn for others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claim {
    /// They may, as long as [`Holding::set_claim`] or [`Holding::finish`] isn't called.
    Withdrawable,
    /// They may not.
    Pinned,
}

/// Total of all holdings; clones share it.
#[derive(Clone, Debug)]
pub struct Memory(Arc<Mutex<Accounting>>);

impl Memory {
    /// Accounting with this limit of all bytes, and of the peers whose bytes are
    /// discarded at the same time.
    pub fn new(max_bytes: u64, max_discards: usize) -> Memory {
        Memory::with_limit(max_bytes, max_discards, None)
    }

    /// Like [`Memory::new`], with a limit of all that the process has in memory.
    pub fn of_process(max_bytes: u64, max_discards: usize, process: ProcessLimit) -> Memory {
        Memory::with_limit(max_bytes, max_discards, Some(process))
    }

    fn with_limit(max_bytes: u64, max_discards: usize, process: Option<ProcessLimit>) -> Memory {
        Memory(Arc::new(Mutex::new(Accounting::new(
            max_bytes,
            max_bytes / RESERVE_DIVISOR,
            max_discards,
            process,
        ))))
    }

    /// Most bytes that a single holding can have.
    pub fn max_holding_bytes(&self) -> u64 {
        self.lock().max_large_bytes()
    }

    /// Bytes of all holdings.
    pub fn held_bytes(&self) -> u64 {
        self.lock().held_bytes()
    }

    /// Holdings whose bytes were withdrawn so far.
    pub fn withdrawn_count(&self) -> u64 {
        self.lock().withdrawn_count()
    }

    /// New holding without bytes, which are held from this time on.
    pub fn hold(&self, claim: Claim, now_ms: u64) -> Holding {
        self.hold_beside(claim, 0, now_ms)
    }

    /// Like [`Memory::hold`], for a peer that costs this many bytes of the process besides,
    /// which are freed with the holding.
    pub fn hold_beside(&self, claim: Claim, fixed_bytes: u64, now_ms: u64) -> Holding {
        let id = self.lock().open(claim, fixed_bytes, now_ms);
        Holding::new(self.clone(), id)
    }

    /// Counts bytes that may be held for the process outside of its heap, or that it is about
    /// to allocate, until the result is dropped.
    pub fn count_outside(&self, bytes: u64) -> OutsideGuard {
        self.lock().add_outside(bytes);
        OutsideGuard::new(self.clone(), bytes)
    }

    /// Permission to receive and discard the bytes of a peer, until it is dropped;
    /// `None` if too many are being discarded.
    pub fn begin_discard(&self) -> Option<DiscardGuard> {
        let begun = self.lock().begin_discard();
        begun.then(|| DiscardGuard::new(self.clone()))
    }

    /// A panic while the lock is held leaves counts that are off by one holding at most.
    fn lock(&self) -> MutexGuard<'_, Accounting> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Limit of all memory of a process.

use crate::{ORDINARY_BYTES, SMALL_BYTES};

/// Part of the limit that only responses and other bytes of requests in progress can use:
/// its divisor.
const RUNNING_RESERVE_DIVISOR: u64 = 8;

/// Parts of the rest that holdings of more than [`ORDINARY_BYTES`], and of more than
/// [`SMALL_BYTES`], can't use: their divisors.
const LARGE_RESERVE_DIVISOR: u64 = 8;
const MEDIUM_RESERVE_DIVISOR: u64 = 16;

/// What room is asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Demand {
    /// A request in progress, which may have run.
    Running,
    /// A peer that may be refused, with this many bytes.
    Arriving { bytes: u64 },
}

/// Limit of all that the process has in memory, also what no holding counts: buffers of
/// connections, tasks and tables.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimit {
    /// Maximum of the heap, and of what sockets may hold.
    pub max_bytes: u64,
    /// Returns the bytes that the heap has allocated.
    pub heap_bytes: fn() -> u64,
}

impl ProcessLimit {
    /// Maximum up to which there is room for this: what is in progress goes before what
    /// arrives, and what is small before what is large.
    pub(crate) fn max_bytes_for(&self, demand: Demand) -> u64 {
        let Demand::Arriving { bytes } = demand else {
            return self.max_bytes;
        };
        let reserve_bytes = if bytes > ORDINARY_BYTES {
            self.max_bytes / LARGE_RESERVE_DIVISOR
        } else if bytes > SMALL_BYTES {
            self.max_bytes / MEDIUM_RESERVE_DIVISOR
        } else {
            0
        };
        self.max_bytes - self.max_bytes / RUNNING_RESERVE_DIVISOR - reserve_bytes
    }
}

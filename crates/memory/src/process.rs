//! Limit of all memory of a process.

use crate::{ORDINARY_BYTES, SMALL_BYTES};

/// Parts of the limit that holdings of more than [`ORDINARY_BYTES`], and of more than
/// [`SMALL_BYTES`], can't use: their divisors.
const LARGE_RESERVE_DIVISOR: u64 = 8;
const MEDIUM_RESERVE_DIVISOR: u64 = 16;

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
    /// Maximum for a holding of this size, which leaves a reserve for smaller ones.
    pub(crate) fn max_bytes_beside(&self, bytes: u64) -> u64 {
        let reserve_bytes = if bytes > ORDINARY_BYTES {
            self.max_bytes / LARGE_RESERVE_DIVISOR
        } else if bytes > SMALL_BYTES {
            self.max_bytes / MEDIUM_RESERVE_DIVISOR
        } else {
            0
        };
        self.max_bytes - reserve_bytes
    }
}

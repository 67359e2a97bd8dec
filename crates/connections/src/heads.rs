//! Arrival of heads on a connection, and what the connection holds for its requests.

use std::cell::Cell;
use std::time::Duration;

use lagoon_memory::{Claim, Exhausted, Holding};
use tokio::sync::Notify;
use tokio::time::sleep;

/// Bytes of a head up to which they aren't counted: hyper's smallest buffer.
const MIN_HELD_HEAD_BYTES: usize = 8_192;

/// Ratio of hyper's buffer to the bytes of a head in it, at most: the buffer doubles.
const BUFFER_FACTOR: usize = 2;

/// Bytes that some peers send behind a body, and that belong to no request.
const LINE_END_BYTES: usize = 2;

/// Why a head is refused while it arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadRefusal {
    /// It did not arrive whole in time.
    TimedOut,
    /// There is no memory for it, or it was withdrawn.
    NoMemory,
}

/// Bytes and age of the head that arrives on a connection.
#[derive(Debug)]
pub struct HeadArrival {
    /// Bytes received since the start of the last request.
    received_bytes: Cell<usize>,
    /// Time of the first of them.
    received_ms: Cell<u64>,
    holding: Holding,
    /// Whether the rest of a refused body arrives.
    is_discarding: Cell<bool>,
    /// Requests whose head was read and whose response isn't sent yet.
    open_requests: Cell<usize>,
    refusal: Cell<Option<HeadRefusal>>,
    /// Notified when `refusal` is set while a head arrives.
    refused: Notify,
}

impl HeadArrival {
    /// Connection on which nothing has arrived. The holding stands for the connection and
    /// counts its heads; its bytes can be withdrawn while no request is open.
    pub fn new(holding: Holding) -> HeadArrival {
        HeadArrival {
            received_bytes: Cell::new(0),
            received_ms: Cell::new(0),
            holding,
            is_discarding: Cell::new(false),
            open_requests: Cell::new(0),
            refusal: Cell::new(None),
            refused: Notify::new(),
        }
    }

    /// Makes room in memory for the connection, or for a request whose head was read.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn claim_room(&self, now_ms: u64) -> Result<(), Exhausted> {
        self.holding.claim_room(now_ms)
    }

    /// Records bytes that were read from the connection.
    pub fn record_received(&self, bytes: usize, now_ms: u64) {
        if self.received_bytes.get() == 0 {
            self.received_ms.set(now_ms);
        }
        self.received_bytes.set(self.received_bytes.get() + bytes);
        let received_bytes = self.received_bytes.get();
        if received_bytes > MIN_HELD_HEAD_BYTES && self.is_partial() {
            self.hold(BUFFER_FACTOR * received_bytes, now_ms);
        }
    }

    /// Records that the head of the next request was read. Its bytes stay counted, as the
    /// request refers to them.
    pub fn begin_request(&self, now_ms: u64) {
        self.open_requests.set(self.open_requests.get() + 1);
        self.is_discarding.set(false);
        self.received_bytes.set(0);
        self.holding.set_claim(Claim::Pinned, now_ms);
    }

    /// Records that this number of responses was sent.
    pub fn end_requests(&self, requests: usize, now_ms: u64) {
        self.open_requests.set(self.open_requests.get() - requests);
        self.received_bytes.set(0);
        if self.open_requests.get() == 0 {
            self.hold(0, now_ms);
            self.holding.set_claim(Claim::Withdrawable, now_ms);
        }
    }

    /// Records that what arrives until the next request is the rest of a refused body.
    pub fn begin_discard(&self) {
        self.is_discarding.set(true);
    }

    /// Whether bytes have arrived that belong to no request yet.
    fn is_partial(&self) -> bool {
        let is_begun = self.received_bytes.get() > LINE_END_BYTES;
        is_begun && !self.is_discarding.get() && self.open_requests.get() == 0
    }

    fn hold(&self, bytes: usize, now_ms: u64) {
        if self.holding.set(bytes as u64, now_ms).is_err() {
            self.refusal.set(Some(HeadRefusal::NoMemory));
            self.refused.notify_one();
        }
    }

    /// Bytes received since the start of the last request.
    pub fn received_bytes(&self) -> usize {
        self.received_bytes.get()
    }

    /// Time of the first of them.
    pub fn received_ms(&self) -> u64 {
        self.received_ms.get()
    }

    /// Why the head that arrives is refused, if it is.
    pub fn refusal(&self) -> Option<HeadRefusal> {
        self.refusal.get()
    }

    /// Waits until the head that arrives is refused, for lack of memory or time, or the
    /// connection is withdrawn while it rests. `limit` is asked for again while a head
    /// arrives.
    pub async fn until_refused<L, F>(&self, limit: L, now_ms: F) -> HeadRefusal
    where
        L: Fn() -> Duration,
        F: Fn() -> u64,
    {
        loop {
            let limit_ms = limit().as_millis() as u64;
            let mut wait_ms = limit_ms;
            if self.is_partial() {
                let age_ms = now_ms() - self.received_ms.get();
                if self.refusal.get().is_some() {
                    return self.refuse(HeadRefusal::NoMemory);
                }
                if age_ms >= limit_ms {
                    return self.refuse(HeadRefusal::TimedOut);
                }
                wait_ms = limit_ms - age_ms;
            }
            tokio::select! {
                () = sleep(Duration::from_millis(wait_ms)) => {}
                () = self.refused.notified() => {}
                () = self.holding.withdrawn() => return self.refuse(HeadRefusal::NoMemory),
            }
        }
    }

    fn refuse(&self, refusal: HeadRefusal) -> HeadRefusal {
        self.refusal.set(Some(refusal));
        refusal
    }
}

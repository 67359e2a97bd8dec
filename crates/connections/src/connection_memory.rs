//! What a connection holds: the head that arrives, and responses that aren't sent yet.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use futures::future::OptionFuture;
use lagoon_memory::{Claim, Exhausted, Holding, HoldingWatch};
use tokio::sync::Notify;
use tokio::time::sleep;

/// Bytes of a head, or of a response that isn't sent, up to which they aren't counted: hyper's
/// smallest buffer.
const MIN_HELD_BYTES: usize = 8_192;

/// Ratio of hyper's buffer to the bytes of a head in it, at most: the buffer doubles.
const BUFFER_FACTOR: usize = 2;

/// Bytes that some peers send behind a body, and that belong to no request.
const LINE_END_BYTES: usize = 2;

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// A head did not arrive whole in time.
    TimedOut,
    /// There is no memory for a head, or what the connection holds was withdrawn.
    NoMemory,
}

/// Bytes and age of the head that arrives on a connection, and bytes of responses that the
/// system has not taken yet.
#[derive(Debug)]
pub struct ConnectionMemory {
    /// Bytes received since the start of the last request.
    received_bytes: Cell<usize>,
    /// Time of the first of them.
    received_ms: Cell<u64>,
    /// Bytes of the head that arrives, or of the requests that are open.
    head_bytes: Cell<usize>,
    /// Bytes of responses that were taken from their bodies and aren't sent.
    unsent_bytes: Cell<usize>,
    /// Notified when bytes are sent.
    sent: Notify,
    /// Bytes of a whole response, which are counted elsewhere.
    response: RefCell<Option<HoldingWatch>>,
    holding: Holding,
    /// Whether the rest of a refused body arrives.
    is_discarding: Cell<bool>,
    /// Requests whose head was read and whose response isn't sent yet.
    open_requests: Cell<usize>,
    refusal: Cell<Option<Refusal>>,
    /// Notified when `refusal` or `response` is set.
    changed: Notify,
}

impl ConnectionMemory {
    /// Connection on which nothing has arrived. The holding stands for the connection. It can
    /// be withdrawn while no request is open, or a response waits to be sent.
    pub fn new(holding: Holding) -> ConnectionMemory {
        ConnectionMemory {
            received_bytes: Cell::new(0),
            received_ms: Cell::new(0),
            head_bytes: Cell::new(0),
            unsent_bytes: Cell::new(0),
            sent: Notify::new(),
            response: RefCell::default(),
            holding,
            is_discarding: Cell::new(false),
            open_requests: Cell::new(0),
            refusal: Cell::new(None),
            changed: Notify::new(),
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
        if received_bytes > MIN_HELD_BYTES && self.is_partial() {
            self.head_bytes.set(BUFFER_FACTOR * received_bytes);
            self.hold(now_ms);
        }
    }

    /// Records that the head of the next request was read. Its bytes stay counted, as the
    /// request refers to them.
    pub fn begin_request(&self, now_ms: u64) {
        self.open_requests.set(self.open_requests.get() + 1);
        // Whether there is room for the request is asked for by itself.
        self.refusal.set(None);
        self.is_discarding.set(false);
        self.received_bytes.set(0);
        self.holding.set_claim(Claim::Pinned, now_ms);
    }

    /// Records that this number of responses was sent.
    pub fn end_requests(&self, requests: usize, now_ms: u64) {
        self.open_requests.set(self.open_requests.get() - requests);
        self.received_bytes.set(0);
        if self.open_requests.get() == 0 {
            self.head_bytes.set(0);
            self.hold(now_ms);
            self.holding.set_claim(Claim::Withdrawable, now_ms);
        }
    }

    /// Records that a whole response waits to be sent from now on. Until it is, its bytes can
    /// be withdrawn: a peer that reads slowly pays for the memory itself.
    pub fn record_response(&self, response: HoldingWatch, now_ms: u64) {
        response.set_claim(Claim::Withdrawable, now_ms);
        self.response.replace(Some(response));
        self.changed.notify_one();
    }

    /// Records a part of a response that waits to be sent from now on. While much of it does,
    /// the connection can be withdrawn.
    pub fn record_unsent(&self, bytes: usize, now_ms: u64) {
        self.set_unsent(self.unsent_bytes.get() + bytes, now_ms);
    }

    /// Records bytes that the system has taken, of a response or its head.
    pub fn record_sent(&self, bytes: usize, now_ms: u64) {
        let unsent_bytes = self.unsent_bytes.get();
        if unsent_bytes > 0 {
            self.set_unsent(unsent_bytes.saturating_sub(bytes), now_ms);
            self.sent.notify_waiters();
        }
    }

    fn set_unsent(&self, bytes: usize, now_ms: u64) {
        let previous_bytes = self.unsent_bytes.replace(bytes);
        let is_counted = bytes > MIN_HELD_BYTES;
        if is_counted != (previous_bytes > MIN_HELD_BYTES) && self.open_requests.get() > 0 {
            let claim = match is_counted {
                true => Claim::Withdrawable,
                false => Claim::Pinned,
            };
            self.holding.set_claim(claim, now_ms);
        }
        if is_counted || previous_bytes > MIN_HELD_BYTES {
            self.hold(now_ms);
        }
    }

    /// Records that the system has taken all bytes.
    pub fn record_all_sent(&self, now_ms: u64) {
        self.record_sent(usize::MAX, now_ms);
        self.response.replace(None);
    }

    /// Waits until at most this many bytes wait to be sent.
    pub async fn until_sent(&self, max_bytes: usize) {
        loop {
            let sent = self.sent.notified();
            if self.unsent_bytes.get() <= max_bytes {
                return;
            }
            sent.await;
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

    fn hold(&self, now_ms: u64) {
        let unsent_bytes = match self.unsent_bytes.get() {
            bytes if bytes > MIN_HELD_BYTES => bytes,
            _ => 0,
        };
        let bytes = (self.head_bytes.get() + unsent_bytes) as u64;
        let held = match self.open_requests.get() {
            0 => self.holding.set(bytes, now_ms),
            _ => self.holding.set_in_progress(bytes, now_ms),
        };
        if held.is_err() {
            self.refusal.set(Some(Refusal::NoMemory));
            self.changed.notify_one();
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

    /// Why the connection is closed, if it is.
    pub fn refusal(&self) -> Option<Refusal> {
        self.refusal.get()
    }

    /// Waits until the connection is to be closed, for lack of memory or as a head takes too
    /// long. `limit` is asked for again while a head arrives.
    pub async fn until_refused<L, F>(&self, limit: L, now_ms: F) -> Refusal
    where
        L: Fn() -> Duration,
        F: Fn() -> u64,
    {
        loop {
            let response = self.response.borrow().clone();
            let limit_ms = limit().as_millis() as u64;
            let mut wait_ms = limit_ms;
            if self.refusal.get().is_some() {
                return self.refuse(Refusal::NoMemory);
            }
            if self.is_partial() {
                let age_ms = now_ms() - self.received_ms.get();
                if age_ms >= limit_ms {
                    return self.refuse(Refusal::TimedOut);
                }
                wait_ms = limit_ms - age_ms;
            }
            tokio::select! {
                () = sleep(Duration::from_millis(wait_ms)) => {}
                () = self.changed.notified() => {}
                Some(()) = OptionFuture::from(response.as_ref().map(HoldingWatch::withdrawn)) => {
                    return self.refuse(Refusal::NoMemory);
                }
                () = self.holding.withdrawn() => return self.refuse(Refusal::NoMemory),
            }
        }
    }

    fn refuse(&self, refusal: Refusal) -> Refusal {
        self.refusal.set(Some(refusal));
        refusal
    }
}

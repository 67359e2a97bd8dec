//! Whether a turn that is not found may still exist.
//!
//! A turn is in the store, or, if its VM could not reach the store, on other
//! VMs until one of them has written it. So a turn surely doesn't exist only if
//! all VMs have said so, and the store after them: a VM that wrote the turn to
//! the store in between may have dropped it before it was asked. A VM that
//! started within the retention can't know what an earlier run of it held,
//! unless nothing existed before it started.

use derive_more::Display;

/// What a VM says of turns that it is asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerAnswer {
    /// It has the turn, which is part of the response.
    Found,
    /// It doesn't hold the turn, and held it neither in an earlier run.
    Unknown,
    /// It started recently, or is about to keep the turn.
    Unsure,
    /// No response.
    Unreachable,
}

/// What a read of the store shows.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StoreAnswer {
    /// The turn was read.
    #[display("found")]
    Found,
    /// A consistent read shows that the turn is not in the store.
    #[display("none")]
    None,
    /// The store could not be read.
    #[display("not read")]
    Unread,
}

/// Result of a lookup.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Verdict {
    /// The turn was found.
    #[display("found")]
    Found,
    /// The turn never existed, or its retention is over.
    #[display("never existed")]
    NeverExisted,
    /// The turn may exist.
    #[display("uncertain")]
    Uncertain,
}

/// Evidence on one turn, in the order in which it is gathered: other VMs, then
/// the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lookup {
    is_found: bool,
    is_doubtful: bool,
    store: Option<StoreAnswer>,
}

impl Lookup {
    /// Starts a lookup; `own` is what this VM itself can say.
    pub fn new(own: PeerAnswer) -> Lookup {
        let mut lookup = Lookup::default();
        lookup.record_peer(own);
        lookup
    }

    /// Records the answer of a VM. It takes back an earlier answer of the store.
    pub fn record_peer(&mut self, answer: PeerAnswer) {
        self.store = None;
        match answer {
            PeerAnswer::Found => self.is_found = true,
            PeerAnswer::Unknown => {}
            PeerAnswer::Unsure | PeerAnswer::Unreachable => self.is_doubtful = true,
        }
    }

    /// Records the result of a read of the store that began after the answers
    /// of the VMs.
    pub fn record_store(&mut self, answer: StoreAnswer) {
        self.is_found |= answer == StoreAnswer::Found;
        self.store = Some(answer);
    }

    /// Verdict on the evidence so far.
    pub fn verdict(&self) -> Verdict {
        match (self.is_found, self.store) {
            (true, _) => Verdict::Found,
            (false, Some(StoreAnswer::None)) if !self.is_doubtful => Verdict::NeverExisted,
            _ => Verdict::Uncertain,
        }
    }
}

//! Copies of turns in each failure domain.
//!
//! The calls of a program may come through another failure domain from one to the next.
//! A domain that is cut off reaches neither the store nor the VMs that served the turns
//! before, so each turn that the store has is sent to one VM of each domain, found by a
//! hash of the program's name. The copies are a cache: a lost one costs a read.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use lagoon_turns::{Turn, TurnId};
use tokio::task::spawn_local;

use super::TurnKeeper;

/// Bytes that one VM sends in copies per second at most, so that they take a part of
/// the 14 KB that a VM may use for control. Beyond it, turns are not copied.
const MAX_SHARED_BYTES_PER_S: u64 = 8_000;

/// Bytes that may be sent at once after a time without copies.
const MAX_SHARED_BURST_BYTES: u64 = 64_000;

/// Timeout of a request to the VM of the own domain that has the copies.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(30);

/// Bytes that may be sent now.
#[derive(Debug)]
pub(super) struct ByteBudget {
    available_bytes: Cell<u64>,
    updated_ms: Cell<u64>,
}

impl Default for ByteBudget {
    fn default() -> Self {
        ByteBudget {
            available_bytes: Cell::new(MAX_SHARED_BURST_BYTES),
            updated_ms: Cell::new(0),
        }
    }
}

impl ByteBudget {
    /// Takes bytes; `false`, without effect, if too few are left.
    fn take(&self, bytes: u64, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms.replace(now_ms));
        let added = elapsed_ms * MAX_SHARED_BYTES_PER_S / 1_000;
        let available = (self.available_bytes.get() + added).min(MAX_SHARED_BURST_BYTES);
        let is_enough = bytes <= available;
        let taken = if is_enough { bytes } else { 0 };
        self.available_bytes.set(available - taken);
        is_enough
    }
}

impl TurnKeeper {
    /// Sends a turn that the store has to the holder of the program's turns in each
    /// failure domain. Does nothing in a fleet of one domain.
    pub(super) fn share_turn(&self, turn: &Rc<Turn>, program: &str) {
        let holders = {
            let peers = self.peer_client.peers.borrow();
            if peers.other_domains().is_empty() {
                return;
            }
            peers.domain_holders(program)
        };
        let bytes = (turn.len_bytes() * holders.len()) as u64;
        if !self.shared_bytes.take(bytes, self.clock.now_ms()) {
            self.metrics.record_shared_turn("not sent");
            return;
        }
        let encoded = turn.encode();
        for (_, name, address) in holders {
            self.metrics.record_shared_turn("sent");
            let (peer_client, encoded) = (Rc::clone(&self.peer_client), encoded.clone());
            spawn_local(async move { peer_client.cache_turn(&name, address, encoded).await });
        }
    }

    /// Caches a turn that the store has, for the VMs of the own failure domain.
    pub(crate) fn cache_copy(&self, encoded: &[u8]) {
        let Some(turn) = Turn::decode(encoded) else {
            log::warn!(bytes = encoded.len(); "invalid copy of a turn");
            return;
        };
        self.record_retention(turn.retention_ms);
        self.cache.borrow_mut().insert(Rc::new(turn));
    }

    /// Fetches a turn and those before it from the VM of the own failure domain that has
    /// the copies; returns whether it has the turn.
    pub(super) async fn fetch_shared(&self, program: &str, wanted: &TurnId) -> bool {
        let holder = {
            let peers = self.peer_client.peers.borrow();
            let mut holders = peers.domain_holders(program).into_iter();
            holders.find(|(domain, ..)| domain == peers.own_domain())
        };
        let Some((_, name, address)) = holder else {
            return false;
        };
        let reply = self
            .peer_client
            .fetch_turns(&name, address, wanted, HOLDER_TIMEOUT);
        let reply = reply.await.unwrap_or_default();
        self.add_turns(wanted, &reply.turns)
    }
}

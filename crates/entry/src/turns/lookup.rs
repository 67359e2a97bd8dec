//! Finds the chain of a call: in memory, at the VM that served the program
//! last, in the store, and at all other VMs.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::TurnKeeper;
use crate::message::TurnReply;
use compact_str::CompactString;
use futures::future::join_all;
use futures::stream::{FuturesUnordered, StreamExt};
use lagoon_gateway::{Row, StoreError, StoreReply};
use lagoon_turns::{
    collect_chain, decode_rows, read_range, Chain, ChainError, KeptRow, Lookup, PeerAnswer,
    StoreAnswer, Turn, TurnId, Verdict, TURN_TABLE,
};

/// Timeout of a request to the VM that probably has a chain; after that, a read
/// of the store is as fast.
const HINT_TIMEOUT: Duration = Duration::from_millis(30);

/// Timeout of a request to any other VM.
const PEER_TIMEOUT: Duration = Duration::from_millis(150);

/// Number of VMs that get the copies of a turn first, and that are asked before
/// all others.
const LIKELY_HOLDERS: usize = 3;

/// Maximum number of VMs that are asked at the same time.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// Maximum number of searches at all VMs at the same time, so that calls which
/// name unknown turns can't fill the fleet with messages.
const MAX_SEARCHES: u32 = 16;

/// Maximum size of the turns in one response to another VM.
const MAX_REPLY_BYTES: usize = 800_000;

/// Maximum number of rounds in which the turns of one chain are fetched.
const MAX_ROUNDS: usize = 1_000;

/// Why a call has no chain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LookupFailure {
    /// The turn that the call names never existed.
    NeverExisted,
    /// The turn may exist, or a turn before it can't be found.
    Uncertain,
}

/// Counts a search until it is dropped.
struct SearchGuard<'a>(&'a Cell<u32>);

impl SearchGuard<'_> {
    fn new(searches: &Cell<u32>) -> SearchGuard<'_> {
        searches.set(searches.get() + 1);
        SearchGuard(searches)
    }
}

impl Drop for SearchGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl TurnKeeper {
    /// Collects the chain that ends with `last`, for a call of a program; `hint` is a VM
    /// that probably has it.
    pub(crate) async fn find_chain(
        &self,
        last: &TurnId,
        program: Option<&str>,
        hint: Option<SocketAddr>,
    ) -> Result<Chain, LookupFailure> {
        let started_ms = self.clock.now_ms();
        let mut hint = hint;
        let mut shared = program;
        let mut source = "memory";
        for _ in 0..MAX_ROUNDS {
            let missing = match collect_chain(last, |id| self.find_in_memory(id)) {
                Ok(chain) => {
                    let took_ms = self.clock.now_ms() - started_ms;
                    self.metrics.record_chain(source, took_ms);
                    log::info!(turn = last.as_str(), turns = chain.turns().len(), source, took_ms; "chain found");
                    return Ok(chain);
                }
                Err(ChainError::Missing(missing)) => missing,
                Err(error @ ChainError::Endless(_)) => {
                    log::error!(error = error.to_string(); "chain not found");
                    return Err(LookupFailure::Uncertain);
                }
            };
            if let Some(address) = hint.take() {
                source = "vm";
                if self.fetch_from_hint(address, &missing[0]).await {
                    continue;
                }
            }
            if let Some(program) = shared.take() {
                if self.fetch_shared(program, &missing[0]).await {
                    source = "vm of the domain";
                    continue;
                }
            }
            if self.read_missing(&missing).await {
                source = "store";
                continue;
            }
            source = "all vms";
            match self.ask_all(&missing[0]).await {
                Verdict::Found => {}
                Verdict::NeverExisted if missing[0] == *last => {
                    self.metrics.record_chain("never existed", 0);
                    return Err(LookupFailure::NeverExisted);
                }
                verdict => {
                    log::warn!(turn = last.as_str(), missing = missing[0].as_str(), verdict = verdict.to_string(); "chain not found");
                    self.metrics.record_chain("uncertain", 0);
                    return Err(LookupFailure::Uncertain);
                }
            }
        }
        Err(LookupFailure::Uncertain)
    }

    fn find_in_memory(&self, id: &TurnId) -> Option<Rc<Turn>> {
        let cached = self.cache.borrow_mut().get(id);
        cached.or_else(|| self.unsaved.borrow().get(id))
    }

    /// Adds turns that another VM sent; returns whether `wanted` is among them.
    pub(super) fn add_turns(&self, wanted: &TurnId, encoded: &[Vec<u8>]) -> bool {
        let mut is_found = false;
        for bytes in encoded {
            let Some(turn) = Turn::decode(bytes) else {
                log::warn!(turn = wanted.as_str(); "invalid turn from another VM");
                continue;
            };
            is_found |= turn.id == *wanted;
            self.cache.borrow_mut().insert(Rc::new(turn));
        }
        is_found
    }

    async fn fetch_from_hint(&self, address: SocketAddr, wanted: &TurnId) -> bool {
        let name = {
            let peers = self.peer_client.peers.borrow();
            peers.responsive_at(address).cloned()
        };
        let Some(name) = name else {
            return false;
        };
        let reply = self
            .peer_client
            .fetch_turns(&name, address, wanted, HINT_TIMEOUT);
        let reply = reply.await.unwrap_or_default();
        self.add_turns(wanted, &reply.turns)
    }

    /// Reads missing turns from the store; returns whether the first was read.
    async fn read_missing(&self, missing: &[TurnId]) -> bool {
        if self.budget_client.is_store_out_of_reach() {
            return false;
        }
        let rows = join_all(missing.iter().map(|id| self.read_row(id))).await;
        let is_found = matches!(rows.first(), Some(Ok(Some(_))));
        for kept in rows.into_iter().flatten().flatten() {
            self.cache.borrow_mut().insert(Rc::new(kept.turn));
        }
        is_found
    }

    /// Reads a turn from the store, through another VM if need be; `None` if the
    /// store doesn't have it.
    pub(super) async fn read_row(&self, id: &TurnId) -> Result<Option<KeptRow>, StoreError> {
        let call = read_range(id);
        match self.budget_client.execute_or_relay(&call).await? {
            StoreReply::Rows { rows, has_more, .. } if !has_more => {
                let kept = decode_rows(id, &rows);
                let has_head = |row: &Row| row.key.key == id.as_str() && row.value.is_some();
                if kept.is_none() && rows.iter().any(has_head) {
                    self.metrics.record_invalid_row(TURN_TABLE);
                    log::warn!(turn = id.as_str(); "invalid rows of a turn");
                    return Err(StoreError::NoReply("invalid rows of a turn".into()));
                }
                Ok(kept)
            }
            _ => Err(StoreError::NoReply("not the whole turn".into())),
        }
    }

    /// Asks other VMs for a turn, those first that get the copies, and then reads
    /// the store once more.
    async fn ask_all(&self, wanted: &TurnId) -> Verdict {
        if self.searches.get() >= MAX_SEARCHES {
            return Verdict::Uncertain;
        }
        let _counted = SearchGuard::new(&self.searches);
        let mut lookup = Lookup::new(self.own_answer(wanted));
        let (likely, others) = {
            let peers = self.peer_client.peers.borrow();
            let ranked = peers.copy_candidates(wanted.as_str(), self.clock.now_ms());
            let ranked = ranked.into_iter().map(|(name, peer)| (name, peer.address));
            let likely: Vec<_> = ranked.take(LIKELY_HOLDERS).collect();
            let mut others = peers.all();
            others.retain(|peer| !likely.contains(peer));
            (likely, others)
        };
        let groups =
            std::iter::once(likely.as_slice()).chain(others.chunks(MAX_CONCURRENT_REQUESTS));
        for group in groups {
            let requests = group.iter().map(|(name, address)| {
                self.peer_client
                    .fetch_turns(name, *address, wanted, PEER_TIMEOUT)
            });
            let mut replies: FuturesUnordered<_> = requests.collect();
            while let Some(reply) = replies.next().await {
                lookup.record_peer(match reply {
                    None => PeerAnswer::Unreachable,
                    Some(reply) if self.add_turns(wanted, &reply.turns) => PeerAnswer::Found,
                    Some(reply) if reply.is_sure => PeerAnswer::Unknown,
                    Some(_) => PeerAnswer::Unsure,
                });
                if lookup.verdict() == Verdict::Found {
                    return Verdict::Found;
                }
            }
        }
        lookup.record_store(match self.read_row(wanted).await {
            Ok(Some(kept)) => {
                self.cache.borrow_mut().insert(Rc::new(kept.turn));
                StoreAnswer::Found
            }
            Ok(None) => StoreAnswer::None,
            Err(_) => StoreAnswer::Unread,
        });
        lookup.verdict()
    }

    /// What this VM itself knows of a turn that it doesn't have.
    fn own_answer(&self, id: &TurnId) -> PeerAnswer {
        let is_listed = self.peer_client.is_listing_read();
        if is_listed && self.is_sure_of_absence(id) {
            PeerAnswer::Unknown
        } else {
            PeerAnswer::Unsure
        }
    }

    /// Whether neither this VM nor an earlier run of it can hold the turn.
    fn is_sure_of_absence(&self, id: &TurnId) -> bool {
        let has_run_long = self.clock.now_ms() > self.retention_ms.get();
        let knows_retention = self.retention_ms.get() > 0;
        let remembers_all = self.is_first_start || (has_run_long && knows_retention);
        remembers_all && !self.unsaved.borrow().contains(id)
    }

    /// Responds to another VM that asks for a chain.
    pub(crate) fn turns_from(&self, last: &CompactString) -> TurnReply {
        let Ok(last) = TurnId::parse(last) else {
            return TurnReply::default();
        };
        let mut turns = Vec::new();
        let mut reply_bytes = 0;
        let mut next = Some(last.clone());
        while let Some(turn) = next.and_then(|id| self.find_in_memory(&id)) {
            reply_bytes += turn.len_bytes();
            if reply_bytes > MAX_REPLY_BYTES && !turns.is_empty() {
                break;
            }
            turns.push(turn.encode());
            next = turn.previous().cloned();
        }
        TurnReply {
            is_sure: turns.is_empty() && self.is_sure_of_absence(&last),
            turns,
        }
    }
}

//! Keeps turns, and finds the chain that a call continues.
//!
//! A turn is safe once the store has it, or two other VMs that write it to the
//! store later. Only then is the end of its response sent.

mod deletion;
mod lookup;
mod sharing;
mod writer;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use futures::stream::{FuturesUnordered, StreamExt};
use lagoon_gateway::{RowWrite, StoreReply};
use lagoon_ids::{hash64, FastMap};
use lagoon_turns::{
    CopyPlan, CopyReply, CopyStep, RowExpiry, Turn, TurnCache, TurnId, UnsavedTurns, WriteOutcome,
};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, timeout_at, Instant};

use crate::clock::Clock;
use crate::ledger::BudgetClient;
use crate::metrics::Metrics;
use crate::peers::PeerClient;
use crate::settings::EntrySettings;

pub(crate) use lookup::LookupFailure;

/// Time after which copies of a turn are sent to other VMs if the store has not
/// confirmed it; several times the duration of a write.
const COPY_DELAY: Duration = Duration::from_millis(50);

/// Time without an outage of the store after which a VM writes the copies that
/// it holds for others, and age of a copy from which it does so. By then, the
/// VMs that served the turns have usually written them.
const HELD_DELAY_MS: u64 = 800;

/// Maximum number of turns that a VM hands over at the same time.
const MAX_CONCURRENT_COPIES: usize = 32;

/// Part of the process memory for cached turns, and for turns that the store
/// may not have, as a divisor each.
const MEMORY_DIVISOR: u64 = 10;

/// Keeper of the turns of all programs whose calls come through this VM.
pub(crate) struct TurnKeeper {
    clock: Clock,
    budget_client: Rc<BudgetClient>,
    peer_client: Rc<PeerClient>,
    metrics: Metrics,
    cache: RefCell<TurnCache>,
    unsaved: RefCell<UnsavedTurns>,
    /// Turns that wait for a write of their partition; an entry exists while a
    /// task writes the partition.
    queues: RefCell<FastMap<CompactString, VecDeque<Rc<Turn>>>>,
    waiters: RefCell<FastMap<TurnId, oneshot::Sender<WriteOutcome>>>,
    /// Names of the VMs that hold copies of turns served here.
    holders: RefCell<FastMap<TurnId, Vec<CompactString>>>,
    expiry: RefCell<RowExpiry>,
    /// Start of the time in which the store was available throughout; `None`
    /// while it isn't.
    available_since_ms: Cell<Option<u64>>,
    /// Copies of turns for other failure domains.
    shared_bytes: sharing::ByteBudget,
    /// Searches for a turn at all VMs that are in progress.
    searches: Cell<u32>,
    /// Longest retention of all configurations and turns seen so far.
    retention_ms: Cell<u64>,
    stopping: Cell<bool>,
    /// Whether nothing existed before this VM started.
    is_first_start: bool,
    /// Maximum size of a row's value before its encoding as base64.
    max_row_bytes: usize,
}

/// Tells versions of a turn apart.
fn version_hash(turn: &Turn) -> u64 {
    hash64(&turn.encode())
}

/// Forgets a turn on drop, unless it is known to be safe.
struct PendingGuard<'a> {
    keeper: &'a TurnKeeper,
    turn: Rc<Turn>,
    is_safe: bool,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.keeper.waiters.borrow_mut().remove(&self.turn.id);
        if !self.is_safe {
            self.keeper.unsaved.borrow_mut().remove(&self.turn.id);
            self.keeper.withdraw_copies(&self.turn);
        }
    }
}

impl TurnKeeper {
    pub(crate) fn new(
        settings: &EntrySettings,
        clock: Clock,
        budget_client: Rc<BudgetClient>,
        peer_client: Rc<PeerClient>,
        metrics: Metrics,
    ) -> Rc<TurnKeeper> {
        let memory_bytes = settings.limits.memory_mb * 1_000_000 / MEMORY_DIVISOR;
        let max_bytes = usize::try_from(memory_bytes).unwrap_or(usize::MAX);
        Rc::new(TurnKeeper {
            clock,
            budget_client,
            peer_client,
            metrics,
            cache: RefCell::new(TurnCache::new(max_bytes)),
            unsaved: RefCell::new(UnsavedTurns::new(max_bytes)),
            queues: RefCell::default(),
            waiters: RefCell::default(),
            holders: RefCell::default(),
            expiry: RefCell::default(),
            available_since_ms: Cell::new(Some(0)),
            shared_bytes: sharing::ByteBudget::default(),
            searches: Cell::new(0),
            retention_ms: Cell::new(0),
            stopping: Cell::new(false),
            is_first_start: settings.vm.first_start,
            max_row_bytes: settings.store.row_bytes / 4 * 3,
        })
    }

    /// Makes a turn of a program safe; `false` if that fails until `deadline`, or if
    /// another version of the turn exists.
    pub(crate) async fn keep(
        self: &Rc<Self>,
        turn: Turn,
        program: Option<&str>,
        deadline: Instant,
    ) -> bool {
        let started_ms = self.clock.now_ms();
        self.record_retention(turn.retention_ms);
        let turn = Rc::new(turn);
        if !self.unsaved.borrow_mut().begin(Rc::clone(&turn)) {
            log::warn!(turn = turn.id.as_str(), bytes = turn.len_bytes(); "turn not kept: no room, or the id was used before");
            return false;
        }
        let mut guard = PendingGuard {
            keeper: self,
            turn: Rc::clone(&turn),
            is_safe: false,
        };
        let (sender, written) = oneshot::channel();
        self.waiters.borrow_mut().insert(turn.id.clone(), sender);
        self.queue_write(Rc::clone(&turn));
        let place = timeout_at(deadline, self.wait_until_safe(&turn, written)).await;
        let place = place.unwrap_or("nowhere");
        guard.is_safe = place != "nowhere";
        if guard.is_safe {
            self.cache.borrow_mut().insert(Rc::clone(&turn));
            self.unsaved.borrow_mut().mark_safe(&turn.id);
        }
        if let Some(program) = program.filter(|_| place == "store") {
            self.share_turn(&turn, program);
        }
        let took_ms = self.clock.now_ms() - started_ms;
        self.metrics.record_kept_turn(place, took_ms);
        log::info!(turn = turn.id.as_str(), bytes = turn.len_bytes(), place, took_ms; "turn kept");
        guard.is_safe
    }

    /// Where the turn is safe: `store`, `vms`, or `nowhere` if another version of
    /// it prevails.
    async fn wait_until_safe(
        self: &Rc<Self>,
        turn: &Rc<Turn>,
        mut written: oneshot::Receiver<WriteOutcome>,
    ) -> &'static str {
        let place = |outcome: Result<WriteOutcome, _>| match outcome {
            Ok(WriteOutcome::Stored) => "store",
            _ => "nowhere",
        };
        let delay = if self.budget_client.is_store_unavailable() {
            Duration::ZERO
        } else {
            COPY_DELAY
        };
        if let Ok(outcome) = timeout(delay, &mut written).await {
            return place(outcome);
        }
        tokio::select! {
            outcome = &mut written => place(outcome),
            is_copied = self.copy_to_peers(turn, CopyPlan::new) => {
                if is_copied {
                    return "vms";
                }
                place(written.await)
            }
        }
    }

    /// Sends copies of a turn to other VMs until enough have accepted it.
    async fn copy_to_peers<P>(&self, turn: &Rc<Turn>, make_plan: P) -> bool
    where
        P: FnOnce(Vec<bool>) -> CopyPlan,
    {
        let now_ms = self.clock.now_ms();
        let (candidates, own_domain) = {
            let peers = self.peer_client.peers.borrow();
            let candidates = peers.copy_candidates(turn.id.as_str(), now_ms);
            (candidates, peers.own_domain().clone())
        };
        let is_remote = candidates.iter().map(|(_, peer)| peer.domain != own_domain);
        let mut plan = make_plan(is_remote.collect());
        let encoded = turn.encode();
        let mut in_flight = FuturesUnordered::new();
        loop {
            match plan.next_step() {
                CopyStep::Safe => return true,
                CopyStep::Failed => return false,
                CopyStep::Send(index) => {
                    let (name, peer) = candidates[index].clone();
                    let mut holders = self.holders.borrow_mut();
                    holders
                        .entry(turn.id.clone())
                        .or_default()
                        .push(name.clone());
                    let encoded = encoded.clone();
                    in_flight.push(async move {
                        let copy = self.peer_client.copy_turn(&name, peer.address, encoded);
                        (index, copy.await)
                    });
                }
                CopyStep::Wait => {
                    if let Some((index, reply)) = in_flight.next().await {
                        if reply.is_some_and(|reply| reply != CopyReply::Held) {
                            self.remove_holder(&turn.id, &candidates[index].0);
                        }
                        plan.record_response(index, reply.unwrap_or(CopyReply::Refused));
                    }
                }
            }
        }
    }

    /// Before this VM stops: sends the turns that the store may not have to other
    /// VMs, as those that held copies may stop too.
    pub(crate) async fn hand_over(&self) {
        let turns = self.unsaved.borrow().answered();
        if turns.is_empty() {
            return;
        }
        let copies = turns.iter().map(|turn| async move {
            if !self.copy_to_peers(turn, CopyPlan::for_handover).await {
                log::warn!(turn = turn.id.as_str(); "too few VMs take over a turn that the store may not have");
            }
        });
        let copies = futures::stream::iter(copies).buffer_unordered(MAX_CONCURRENT_COPIES);
        copies.collect::<Vec<()>>().await;
        log::info!(turns = turns.len(); "turns handed over");
    }

    /// Takes a copy of a turn that another VM served, unless it can't be decoded,
    /// there is no room, this VM stops, or another version of it is known here.
    pub(crate) fn hold_copy(&self, encoded: &[u8]) -> CopyReply {
        if self.stopping.get() {
            return CopyReply::Refused;
        }
        let Some(turn) = Turn::decode(encoded) else {
            log::warn!(bytes = encoded.len(); "invalid copy of a turn");
            return CopyReply::Refused;
        };
        self.record_retention(turn.retention_ms);
        let known = self.cache.borrow_mut().get(&turn.id);
        if known.is_some_and(|known| *known != turn) {
            log::warn!(turn = turn.id.as_str(); "another version of the turn is here; copy refused");
            return CopyReply::OtherVersion;
        }
        let now_ms = self.clock.now_ms();
        self.unsaved.borrow_mut().hold(Rc::new(turn), now_ms)
    }

    /// Accepts no more copies, as this VM is about to end.
    pub(crate) fn stop(&self) {
        self.stopping.set(true);
    }

    /// Drops copies of turns that are in the store.
    pub(crate) fn drop_copies(&self, ids: &[CompactString]) {
        for id in ids.iter().filter_map(|id| TurnId::parse(id).ok()) {
            let mut unsaved = self.unsaved.borrow_mut();
            if let Some(turn) = unsaved.get(&id) {
                self.cache.borrow_mut().insert(turn);
            }
            unsaved.remove(&id);
        }
    }

    /// Drops copies that must not be used.
    pub(crate) fn forget_copies(&self, copies: &[(CompactString, u64)]) {
        for (id, hash) in copies {
            let Ok(id) = TurnId::parse(id) else {
                continue;
            };
            let is_version = |turn: &Turn| version_hash(turn) == *hash;
            self.unsaved.borrow_mut().forget(&id, is_version);
            let mut cache = self.cache.borrow_mut();
            if cache.get(&id).is_some_and(|turn| is_version(&turn)) {
                cache.remove(&id);
            }
        }
    }

    /// Tells the VMs that hold copies of a turn that these must not be used.
    fn withdraw_copies(&self, turn: &Turn) {
        let holders = self.holders.borrow_mut().remove(&turn.id);
        let hash = version_hash(turn);
        for name in holders.unwrap_or_default() {
            let (peer_client, id) = (Rc::clone(&self.peer_client), turn.id.clone());
            spawn_local(async move { peer_client.forget_copy(&name, &id, hash).await });
        }
    }

    /// Records that a VM, which was asked for it, holds no copy of a turn.
    fn remove_holder(&self, id: &TurnId, name: &CompactString) {
        if let Some(holders) = self.holders.borrow_mut().get_mut(id) {
            holders.retain(|holder| holder != name);
        }
    }

    /// Tells the VMs that hold copies of a turn that they may drop them.
    fn release_copies(&self, id: &TurnId) {
        let holders = self.holders.borrow_mut().remove(id).unwrap_or_default();
        for name in holders {
            let (peer_client, id) = (Rc::clone(&self.peer_client), id.clone());
            spawn_local(async move { peer_client.release_copies(&name, &id).await });
        }
    }

    /// Records for how long turns are kept; the longest time counts.
    pub(crate) fn record_retention(&self, retention_ms: u64) {
        self.retention_ms
            .set(self.retention_ms.get().max(retention_ms));
    }

    /// Writes copies that are still held for other VMs some time after the store
    /// became available, and deletes expired turns.
    pub(crate) fn maintain(self: &Rc<Self>) {
        let now_ms = self.clock.now_ms();
        if self.budget_client.is_store_unavailable() {
            self.available_since_ms.set(None);
            return;
        }
        let since_ms = self.available_since_ms.get().unwrap_or(now_ms);
        self.available_since_ms.set(Some(since_ms));
        let before_ms = now_ms.saturating_sub(HELD_DELAY_MS);
        if since_ms <= before_ms {
            let due = self.unsaved.borrow_mut().take_due(before_ms, now_ms);
            for turn in due {
                self.queue_write(turn);
            }
        }
    }
}

/// Waits for a random time around the given one, so that VMs don't all retry at
/// the same moment.
async fn sleep_about(duration_ms: u64) {
    use rand::RngExt;
    let random_ms = rand::rng().random_range(duration_ms / 2..=duration_ms * 3 / 2);
    sleep(Duration::from_millis(random_ms)).await;
}

/// Whether a reply shows that a write was applied, with the rows' version.
fn applied_version(reply: &StoreReply) -> Option<u64> {
    match reply {
        StoreReply::Applied { version } => Some(*version),
        _ => None,
    }
}

/// Size of the values of some writes.
fn value_bytes(writes: &[RowWrite]) -> usize {
    let values = writes.iter().filter_map(|write| write.value.as_ref());
    values.map(Vec::len).sum()
}

//! Reserves tokens of programs' budgets: from tokens that this VM or another
//! one holds, by a charge in the store, or from an allowance while the store is
//! unreachable. Tokens that a VM holds are charged in the program's row in the
//! store and not granted to a call.

mod allowance;
mod overdrawn;
mod reservation;
mod reserve;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use lagoon_gateway::{
    Allowances, BudgetRow, BudgetWrite, ChargeDecision, ChargeRequest, Connectivity,
    ProgramBudgets, ProgramKey, Reserves, StoreCall, StoreError, StoreReply, WaiterId,
};
use lagoon_ids::FastMap;
use tokio::sync::{oneshot, Mutex};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at, Instant};

use crate::clock::Clock;
use crate::peers::PeerClient;
use crate::store::StoreClient;

pub(crate) use reservation::TokenReservation;
use reservation::TokenSource;

/// Maximum attempts of one write to the store, which is repeated if its reply
/// is lost.
const WRITE_ATTEMPTS: u32 = 4;

const RETRY_DELAY: Duration = Duration::from_millis(30);

/// Delay after the first attempt to reserve further tokens for a call; it doubles with
/// each further one.
const EXTENSION_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval between connectivity checks while the store is unreachable.
const CONNECTIVITY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Age below which the result of a connectivity check is reused.
const CONNECTIVITY_MAX_AGE_MS: u64 = 200;

/// Budgets and allowances of the programs that come through this VM.
pub(crate) struct BudgetClient {
    clock: Clock,
    store: Rc<StoreClient>,
    peer_client: Rc<PeerClient>,
    budgets: RefCell<ProgramBudgets>,
    allowances: RefCell<Allowances>,
    /// Incarnation of this VM, as the writer of budget rows.
    writer: CompactString,
    /// Reserves of the programs whose home this VM is.
    reserves: RefCell<Reserves>,
    /// Whether the rows of programs with a reserve here are being checked.
    is_checking_reserves: Cell<bool>,
    /// Whether nothing existed before this VM started.
    is_first_start: bool,
    /// Time of the last registration of this VM; `None` before it.
    registered_ms: Cell<Option<u64>>,
    /// Result of the last connectivity check; `Store` before the first.
    connectivity: Cell<Connectivity>,
    /// Time of the last connectivity check; `None` before the first. Locked
    /// during a check, so that concurrent callers share its result.
    checked_ms: Mutex<Option<u64>>,
    /// Rows that this VM wrote to the overdrawn table: program, row version and
    /// time of the write.
    overdrawn_rows: RefCell<Vec<(ProgramKey, u64, u64)>>,
    waiters: RefCell<FastMap<WaiterId, oneshot::Sender<ChargeDecision>>>,
    next_waiter: Cell<u64>,
}

/// Request for the tokens of one model call.
#[derive(Clone, Debug)]
pub(crate) struct TokenRequest {
    pub(crate) program: ProgramKey,
    pub(crate) budget_tokens: u64,
    pub(crate) max_tokens: u64,
    pub(crate) expected_tokens: u64,
    /// Time that the program may pause between calls.
    pub(crate) retention_ms: u64,
    /// Other VM through which the program's first request came, by gossip;
    /// `None` if that was this VM or is not known.
    pub(crate) origin_vm: Option<SocketAddr>,
}

/// Cancels a charge request on drop if the call stopped waiting before the
/// decision.
struct ChargeGuard<'a> {
    budget_client: &'a BudgetClient,
    program: &'a ProgramKey,
    waiter: WaiterId,
}

impl Drop for ChargeGuard<'_> {
    fn drop(&mut self) {
        let sender = self.budget_client.waiters.borrow_mut().remove(&self.waiter);
        if sender.is_some() {
            let mut budgets = self.budget_client.budgets.borrow_mut();
            budgets.cancel_charge(self.program, self.waiter);
        }
    }
}

impl BudgetClient {
    pub(crate) fn new(
        clock: Clock,
        store: Rc<StoreClient>,
        peer_client: Rc<PeerClient>,
        budgets: ProgramBudgets,
        writer: &str,
        is_first_start: bool,
    ) -> Rc<BudgetClient> {
        Rc::new(BudgetClient {
            clock,
            store,
            peer_client,
            budgets: RefCell::new(budgets),
            allowances: RefCell::default(),
            writer: writer.into(),
            reserves: RefCell::default(),
            is_checking_reserves: Cell::new(false),
            is_first_start,
            registered_ms: Cell::new(None),
            connectivity: Cell::new(Connectivity::Store),
            checked_ms: Mutex::default(),
            overdrawn_rows: RefCell::default(),
            waiters: RefCell::default(),
            next_waiter: Cell::new(1),
        })
    }

    /// Reserves tokens for a call, waiting for the store until `deadline` at
    /// most.
    pub(crate) async fn reserve(
        self: &Rc<Self>,
        request: TokenRequest,
        deadline: Instant,
    ) -> Result<TokenReservation, ChargeDecision> {
        if self.connectivity.get().is_store_out_of_reach() {
            return self.reserve_without_store(&request).await;
        }
        if let Some(reservation) = self.take_from_origin_vm(&request).await {
            return Ok(reservation);
        }
        match self.charge_or_take_reserve(&request, deadline).await {
            Err(ChargeDecision::Unavailable) => {
                self.refresh_connectivity().await;
                self.reserve_without_store(&request).await
            }
            Err(refusal @ ChargeDecision::HeldElsewhere { .. }) => {
                let (program, tokens) = (&request.program, request.max_tokens);
                let is_transferred = self.request_held_tokens(program, tokens).await;
                let reservation = || TokenReservation::new(self, program, TokenSource::Row, tokens);
                is_transferred.then(reservation).ok_or(refusal)
            }
            Err(refusal @ ChargeDecision::Exhausted { .. }) => {
                if self.collect_unused_tokens(&request).await {
                    self.charge_with_release(&request, deadline).await
                } else {
                    Err(refusal)
                }
            }
            result => result,
        }
    }

    /// Takes the tokens that a call lacks from another VM at which a call has left them
    /// unused; `false` if none has as many. The row shows them as held there only after
    /// that VM's next write.
    async fn collect_unused_tokens(&self, request: &TokenRequest) -> bool {
        let program = &request.program;
        let (missing_tokens, writers) = {
            let budgets = self.budgets.borrow();
            let missing_tokens = budgets.missing_tokens(program, request.max_tokens);
            (missing_tokens, budgets.other_writers(program))
        };
        let transferred = self
            .peer_client
            .request_unused_tokens(program, missing_tokens, &writers);
        // Without any missing, only a repeated refusal is out of date.
        let is_transferred = missing_tokens == 0 || transferred.await;
        if is_transferred {
            let now_ms = self.clock.now_ms();
            let mut budgets = self.budgets.borrow_mut();
            budgets.transfer_in(program, missing_tokens, now_ms);
        }
        log::info!(program = program.0.as_str(), missing_tokens, writers = writers.len(), is_transferred; "budget short; requested unused tokens");
        is_transferred
    }

    /// Reserves further tokens for a call that was granted fewer than its maximum: the
    /// rest or, if the program has less, `min_tokens`. Retries until `deadline`; the
    /// result is `None` if there are none by then. If nobody waits for it any more, the
    /// tokens go back to their source.
    pub(crate) fn reserve_more(
        self: &Rc<Self>,
        mut request: TokenRequest,
        min_tokens: u64,
        deadline: Instant,
    ) -> oneshot::Receiver<Option<TokenReservation>> {
        let (sender, receiver) = oneshot::channel();
        let budget_client = Rc::clone(self);
        spawn_local(async move {
            let mut delay = EXTENSION_RETRY_DELAY;
            while !sender.is_closed() && Instant::now() < deadline {
                match budget_client.reserve(request.clone(), deadline).await {
                    Ok(reservation) => {
                        // A reservation that can't be delivered is dropped.
                        let _ = sender.send(Some(reservation));
                        return;
                    }
                    Err(ChargeDecision::Exhausted { .. }) if request.max_tokens > min_tokens => {
                        request.max_tokens = min_tokens;
                    }
                    Err(_) => {
                        sleep(delay).await;
                        delay *= 2;
                    }
                }
            }
            let _ = sender.send(None);
        });
        receiver
    }

    fn charge_request(&self, request: &TokenRequest) -> ChargeRequest {
        let waiter = WaiterId(self.next_waiter.get());
        self.next_waiter.set(waiter.0 + 1);
        ChargeRequest {
            waiter,
            budget_tokens: request.budget_tokens,
            tokens: request.max_tokens,
            retention_ms: request.retention_ms,
        }
    }

    async fn charge_in_store(
        self: &Rc<Self>,
        request: &TokenRequest,
        deadline: Instant,
    ) -> Result<TokenReservation, ChargeDecision> {
        let program = &request.program;
        let charge_request = self.charge_request(request);
        let waiter = charge_request.waiter;
        let now_ms = self.clock.now_ms();
        let known = self
            .budgets
            .borrow_mut()
            .request_charge(program, charge_request, now_ms);
        if let Some(decision) = known {
            return self.reservation_result(program, decision);
        }
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(waiter, sender);
        let guard = ChargeGuard {
            budget_client: self,
            program,
            waiter,
        };
        self.start_writes(program);
        let decision = match timeout_at(deadline, receiver).await {
            Ok(Ok(decision)) => decision,
            Ok(Err(_)) | Err(_) => ChargeDecision::Unavailable,
        };
        drop(guard);
        self.reservation_result(program, decision)
    }

    /// Requests the tokens from the VM through which the program began: it
    /// usually holds some, and the request is faster than a charge in the
    /// store. `None` if this VM holds enough itself, or the other VM is not
    /// known or transfers none.
    async fn take_from_origin_vm(
        self: &Rc<Self>,
        request: &TokenRequest,
    ) -> Option<TokenReservation> {
        let (program, tokens) = (&request.program, request.max_tokens);
        let address = request.origin_vm?;
        if self.budgets.borrow().has_held(program, tokens) {
            return None;
        }
        let is_transferred = self
            .peer_client
            .request_surplus_tokens(address, program, tokens)
            .await;
        is_transferred
            .then(|| TokenReservation::new(self, program, TokenSource::Peer { address }, tokens))
    }

    /// Returns unused tokens to the VM that held them.
    fn return_tokens(&self, address: SocketAddr, program: &ProgramKey, tokens: u64) {
        if tokens == 0 {
            return;
        }
        let (peer_client, program) = (Rc::clone(&self.peer_client), program.clone());
        spawn_local(async move { peer_client.return_tokens(address, &program, tokens).await });
    }

    /// Takes back tokens that another VM did not use.
    pub(crate) fn accept_returned_tokens(&self, program: &ProgramKey, tokens: u64) {
        self.budgets.borrow_mut().return_unused(program, tokens);
    }

    /// Transfers held tokens to another VM that can also charge the store;
    /// `false`, without effect, if there are too few.
    pub(crate) fn give_surplus_tokens(&self, program: &ProgramKey, tokens: u64) -> bool {
        let now_ms = self.clock.now_ms();
        let mut budgets = self.budgets.borrow_mut();
        budgets.transfer_out_surplus(program, tokens, now_ms)
    }

    fn reservation_result(
        self: &Rc<Self>,
        program: &ProgramKey,
        decision: ChargeDecision,
    ) -> Result<TokenReservation, ChargeDecision> {
        match decision {
            ChargeDecision::Granted(grant) => Ok(TokenReservation::new(
                self,
                program,
                TokenSource::Row,
                grant.tokens,
            )),
            refusal => Err(refusal),
        }
    }

    /// Executes a store call, which may be relayed for another VM. Fails at
    /// once if the store is unavailable to this VM too.
    pub(crate) async fn execute_store_call(
        &self,
        call: &StoreCall,
    ) -> Result<StoreReply, StoreError> {
        if self.store.is_unavailable() {
            return Err(StoreError::NotSent("store is away here too".into()));
        }
        self.store.call(call).await
    }

    /// Requests held tokens from other VMs; `false` if none transfers them.
    async fn request_held_tokens(&self, program: &ProgramKey, tokens: u64) -> bool {
        let holders = self.budgets.borrow().holders(program);
        self.peer_client
            .request_held_tokens(program, tokens, &holders)
            .await
    }

    /// Takes tokens that this VM holds, for a call at this VM or another one.
    /// If there are too few, returns `false` and soon releases them to the
    /// program's row.
    pub(crate) fn give_held_tokens(&self, program: &ProgramKey, tokens: u64) -> bool {
        let now_ms = self.clock.now_ms();
        let mut budgets = self.budgets.borrow_mut();
        budgets.transfer_out(program, tokens, now_ms)
    }

    pub(crate) fn is_store_unavailable(&self) -> bool {
        self.store.is_unavailable()
    }

    /// Whether neither this VM nor any other one that it reaches can use the store.
    pub(crate) fn is_store_out_of_reach(&self) -> bool {
        self.store.is_unavailable() && self.connectivity.get().is_store_out_of_reach()
    }

    /// Checks connectivity periodically while the store is unreachable.
    pub(crate) async fn monitor_connectivity(self: Rc<Self>) {
        loop {
            sleep(CONNECTIVITY_CHECK_INTERVAL).await;
            if self.store.is_unavailable() || self.connectivity.get() != Connectivity::Store {
                self.refresh_connectivity().await;
            }
        }
    }

    /// Determines what this VM can reach, unless the last result is recent.
    async fn refresh_connectivity(&self) {
        let mut checked_ms = self.checked_ms.lock().await;
        let now_ms = self.clock.now_ms();
        if checked_ms.is_some_and(|last_ms| now_ms < last_ms + CONNECTIVITY_MAX_AGE_MS) {
            return;
        }
        let connectivity = if self.store.read_fails().await {
            self.peer_client.probe_connectivity().await
        } else {
            Connectivity::Store
        };
        if connectivity != self.connectivity.get() {
            log::info!(before = self.connectivity.get().to_string(), now = connectivity.to_string(); "reach changed");
        }
        self.connectivity.set(connectivity);
        *checked_ms = Some(self.clock.now_ms());
    }

    /// Starts to write the charges of a program's queued calls, unless a write
    /// is in flight.
    fn start_writes(self: &Rc<Self>, program: &ProgramKey) {
        let next = self.budgets.borrow_mut().charge_write(program);
        if let Some(first) = next {
            spawn_local(Rc::clone(self).write_queued(first));
        }
    }

    async fn write_queued(self: Rc<Self>, first: BudgetWrite) {
        let mut next = Some(first);
        while let Some(BudgetWrite { program, write }) = next {
            let began_ms = self.clock.now_ms();
            let reply = self
                .write_with_retries(StoreCall::Transact(vec![write]))
                .await;
            if let Ok(StoreReply::Applied { version }) = reply {
                self.record_store_version(version, began_ms);
            }
            self.note_invalid_row(&program, &reply);
            let now_ms = self.clock.now_ms();
            let decisions = self
                .budgets
                .borrow_mut()
                .on_write_reply(&program, &reply, now_ms);
            for (waiter, decision) in decisions {
                self.deliver_decision(&program, waiter, decision);
            }
            next = match reply {
                Ok(_) => self.budgets.borrow_mut().next_write(&program, now_ms),
                // What is due is tried again after a while.
                Err(_) => self.budgets.borrow_mut().charge_write(&program),
            };
        }
    }

    /// Records the store's version in the reply to a write, or to a read, that began
    /// at `began_ms`.
    pub(crate) fn record_store_version(&self, version: u64, began_ms: u64) {
        let mut budgets = self.budgets.borrow_mut();
        budgets.record_store_version(version, began_ms);
    }

    /// Logs and counts a row that can't be read. Its program gets nothing from the row.
    fn note_invalid_row(&self, program: &ProgramKey, reply: &Result<StoreReply, StoreError>) {
        let Ok(StoreReply::Conflict(rows)) = reply else {
            return;
        };
        for row in rows {
            let decoded = row.value.as_deref().map(BudgetRow::decode);
            if let Some(Err(error)) = decoded {
                self.store.record_invalid_row(&row.key.table);
                log::warn!(program = program.0.as_str(), key = row.key.key.as_str(), row_version = row.version, error = error.to_string(); "invalid budget row");
            }
        }
    }

    fn deliver_decision(&self, program: &ProgramKey, waiter: WaiterId, decision: ChargeDecision) {
        let sender = self.waiters.borrow_mut().remove(&waiter);
        let is_undelivered = match sender {
            Some(sender) => sender.send(decision).is_err(),
            None => true,
        };
        if let (true, ChargeDecision::Granted(grant)) = (is_undelivered, decision) {
            let now_ms = self.clock.now_ms();
            let mut budgets = self.budgets.borrow_mut();
            budgets.settle(program, grant, 0, now_ms);
        }
    }

    /// Executes a write directly or through another VM, and repeats it after a
    /// lost reply. A repeated write finds its own sequence number in the row if
    /// an earlier attempt was applied.
    async fn write_with_retries(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
        let mut no_reply = None;
        for _ in 0..WRITE_ATTEMPTS {
            let reply = self.execute_or_relay(&call).await;
            match reply {
                Err(error @ StoreError::NoReply(_)) => {
                    no_reply = Some(error);
                    if self.store.is_unavailable() {
                        // Other VMs have tried this write already, or the next
                        // write is relayed to them.
                        break;
                    }
                    sleep(RETRY_DELAY).await;
                }
                // This error doesn't tell whether an earlier attempt without a
                // reply was applied, so that attempt's error takes precedence.
                Err(error) => return Err(no_reply.unwrap_or(error)),
                Ok(reply) => return Ok(reply),
            }
        }
        Err(no_reply.unwrap_or(StoreError::NoReply("no attempt was made".into())))
    }

    /// Executes a store call, through another VM if the store refuses this one
    /// or can't be reached.
    pub(crate) async fn execute_or_relay(
        &self,
        call: &StoreCall,
    ) -> Result<StoreReply, StoreError> {
        let direct = self.execute_store_call(call).await;
        match direct {
            Err(StoreError::NotSent(_) | StoreError::Refused(_)) => {
                let relayed = self.peer_client.relay_store_call(call).await;
                relayed.unwrap_or(direct)
            }
            direct => direct,
        }
    }

    /// Starts the writes that are due although no call waits for them.
    pub(crate) fn flush_due_writes(self: &Rc<Self>) {
        if self.store.is_unavailable() {
            return;
        }
        let now_ms = self.clock.now_ms();
        let charges = self.allowances.borrow_mut().take_deferred_charges();
        for charge in &charges {
            self.defer_charge(charge);
        }
        let due = self.budgets.borrow().programs_to_write(now_ms);
        for program in due {
            let write = self.budgets.borrow_mut().release_write(&program);
            if let Some(write) = write {
                spawn_local(Rc::clone(self).write_queued(write));
            }
        }
    }

    /// Removes expired allowances and overdrawn listings, and the store
    /// rows of programs that have been idle for long.
    pub(crate) async fn remove_expired(self: &Rc<Self>) {
        let now_ms = self.clock.now_ms();
        self.forget_expired_allowances(now_ms);
        self.start_reserve_checks();
        self.remove_expired_overdrawn().await;
        let writes = self
            .budgets
            .borrow_mut()
            .remove_expired(self.clock.now_ms());
        for write in writes {
            // A row that another VM changed after this one's last write is
            // removed by that VM. A row that remains after an error only takes
            // up space.
            if let Err(error) = self.store.call(&StoreCall::Transact(vec![write])).await {
                log::debug!(error = error.to_string(); "cannot remove the row of an idle program");
                return;
            }
        }
    }
}

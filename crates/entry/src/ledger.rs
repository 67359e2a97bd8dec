//! Charges of programs' budgets: at the store, by another VM, or from what
//! other VMs may still hand out.

mod overdrawn;
mod reservation;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use lagoon_gateway::{
    allowance_coordinator, AllowanceRequest, AllowanceSettlement, Allowances, BudgetWrite,
    ChargeDecision, ChargeRequest, Connectivity, ProgramBudgets, ProgramKey, StoreCall, StoreError,
    StoreReply, WaiterId,
};
use lagoon_ids::FastMap;
use tokio::sync::{oneshot, Mutex};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at, Instant};

use crate::clock::Clock;
use crate::peers::PeerClient;
use crate::store::StoreClient;

pub(crate) use overdrawn::OVERDRAWN_TABLE;
pub(crate) use reservation::TokenReservation;
use reservation::TokenSource;

/// Tries of a write whose reply is lost.
const WRITE_ATTEMPTS: u32 = 4;

/// Pause between them.
const RETRY_DELAY: Duration = Duration::from_millis(30);

/// Time between two looks at what can be reached while the store is away.
const LOOK_PERIOD: Duration = Duration::from_millis(250);

/// Age below which a look is not repeated.
const LOOK_AGE_MS: u64 = 200;

/// Charges of this VM.
pub(crate) struct BudgetClient {
    clock: Clock,
    store: Rc<StoreClient>,
    peer_client: Rc<PeerClient>,
    budgets: RefCell<ProgramBudgets>,
    allowances: RefCell<Allowances>,
    /// What this VM could reach when it looked last.
    connectivity: Cell<Connectivity>,
    /// When that was; locked while it looks.
    looked_ms: Mutex<Option<u64>>,
    /// Programs that this VM listed as overdrawn: version and time.
    overdrawn_rows: RefCell<Vec<(ProgramKey, u64, u64)>>,
    waiting: RefCell<FastMap<WaiterId, oneshot::Sender<ChargeDecision>>>,
    next_waiter: Cell<u64>,
}

/// Tokens that a call asks for.
#[derive(Clone, Debug)]
pub(crate) struct TokenRequest {
    pub(crate) program: ProgramKey,
    pub(crate) budget_tokens: u64,
    pub(crate) tokens: u64,
    pub(crate) expected_tokens: u64,
    pub(crate) retention_ms: u64,
    /// Other VM through which the program began, if one told.
    pub(crate) origin_vm: Option<SocketAddr>,
}

/// Withdraws a call that stops waiting.
struct Waiting<'a> {
    budget_client: &'a BudgetClient,
    program: &'a ProgramKey,
    waiter: WaiterId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let sender = self.budget_client.waiting.borrow_mut().remove(&self.waiter);
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
    ) -> Rc<BudgetClient> {
        Rc::new(BudgetClient {
            clock,
            store,
            peer_client,
            budgets: RefCell::new(budgets),
            allowances: RefCell::default(),
            connectivity: Cell::new(Connectivity::Store),
            looked_ms: Mutex::default(),
            overdrawn_rows: RefCell::default(),
            waiting: RefCell::default(),
            next_waiter: Cell::new(1),
        })
    }

    /// Waits until a call is charged or refused.
    pub(crate) async fn reserve(
        self: &Rc<Self>,
        request: TokenRequest,
        until: Instant,
    ) -> Result<TokenReservation, ChargeDecision> {
        if self.connectivity.get().allows_offline_grants() {
            return self.charge_without_store(&request).await;
        }
        if let Some(reservation) = self.charge_holder(&request).await {
            return Ok(reservation);
        }
        match self.charge_row(&request, until).await {
            Err(ChargeDecision::Unavailable) => {
                self.refresh_connectivity().await;
                self.charge_without_store(&request).await
            }
            Err(refusal @ ChargeDecision::HeldElsewhere { .. }) => {
                let (program, tokens) = (&request.program, request.tokens);
                let is_taken = self.request_held_tokens(program, tokens).await;
                let reservation = || TokenReservation::new(self, program, TokenSource::Row, tokens);
                is_taken.then(reservation).ok_or(refusal)
            }
            decided => decided,
        }
    }

    fn asked(&self, request: &TokenRequest) -> ChargeRequest {
        let waiter = WaiterId(self.next_waiter.get());
        self.next_waiter.set(waiter.0 + 1);
        ChargeRequest {
            waiter,
            budget_tokens: request.budget_tokens,
            tokens: request.tokens,
            retention_ms: request.retention_ms,
        }
    }

    async fn charge_row(
        self: &Rc<Self>,
        request: &TokenRequest,
        until: Instant,
    ) -> Result<TokenReservation, ChargeDecision> {
        let program = &request.program;
        let asked = self.asked(request);
        let waiter = asked.waiter;
        let now_ms = self.clock.now_ms();
        let known = self
            .budgets
            .borrow_mut()
            .request_charge(program, asked, now_ms);
        if let Some(decision) = known {
            return self.decided(program, decision);
        }
        let (sender, decided) = oneshot::channel();
        self.waiting.borrow_mut().insert(waiter, sender);
        let waiting = Waiting {
            budget_client: self,
            program,
            waiter,
        };
        self.write_on(program);
        let decision = match timeout_at(until, decided).await {
            Ok(Ok(decision)) => decision,
            Ok(Err(_)) | Err(_) => ChargeDecision::Unavailable,
        };
        drop(waiting);
        self.decided(program, decision)
    }

    /// Charges a call from what the VM holds through which its program began,
    /// which is nearer than the store.
    async fn charge_holder(self: &Rc<Self>, request: &TokenRequest) -> Option<TokenReservation> {
        let (program, tokens) = (&request.program, request.tokens);
        let address = request.origin_vm?;
        if self.budgets.borrow().has_held(program, tokens) {
            return None;
        }
        let is_taken = self
            .peer_client
            .request_surplus_tokens(address, program, tokens)
            .await;
        is_taken
            .then(|| TokenReservation::new(self, program, TokenSource::Holder { address }, tokens))
    }

    /// Gives tokens back to the VM that held them.
    fn return_tokens(&self, address: SocketAddr, program: &ProgramKey, tokens: u64) {
        if tokens == 0 {
            return;
        }
        let (peer_client, program) = (Rc::clone(&self.peer_client), program.clone());
        spawn_local(async move { peer_client.return_tokens(address, &program, tokens).await });
    }

    /// Takes tokens back that another VM did not use.
    pub(crate) fn accept_returned_tokens(&self, program: &ProgramKey, tokens: u64) {
        self.budgets.borrow_mut().return_unused(program, tokens);
    }

    /// Hands spare tokens over to another VM.
    pub(crate) fn give_surplus_tokens(&self, program: &ProgramKey, tokens: u64) -> bool {
        let now_ms = self.clock.now_ms();
        let mut budgets = self.budgets.borrow_mut();
        budgets.transfer_out_surplus(program, tokens, now_ms)
    }

    fn decided(
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

    /// Charges a call from what neighbours hold for its program, or from its
    /// allowance.
    async fn charge_without_store(
        self: &Rc<Self>,
        request: &TokenRequest,
    ) -> Result<TokenReservation, ChargeDecision> {
        let program = &request.program;
        let tokens = request.tokens;
        // An account opens here, to take in what the call won't use.
        let now_ms = self.clock.now_ms();
        self.budgets.borrow_mut().transfer_in(program, 0, now_ms);
        if self.give_held_tokens(program, tokens) || self.request_held_tokens(program, tokens).await
        {
            return Ok(TokenReservation::new(
                self,
                program,
                TokenSource::Row,
                tokens,
            ));
        }
        let connectivity = self.connectivity.get();
        let chosen = {
            let peers = self.peer_client.peers.borrow();
            let own = peers.own_name().clone();
            allowance_coordinator(program, peers.coordinator_candidates(connectivity))
                .cloned()
                .unwrap_or(own)
        };
        let allowance_request = AllowanceRequest {
            connectivity: connectivity,
            program: program.0.clone(),
            budget_tokens: request.budget_tokens,
            max_tokens: tokens,
            expected_tokens: request.expected_tokens,
        };
        let granted_tokens = match connectivity {
            Connectivity::Store | Connectivity::Indeterminate => 0,
            _ if chosen == *self.peer_client.peers.borrow().own_name() => {
                self.grant_allowance(&allowance_request).await
            }
            _ => {
                self.peer_client
                    .request_allowance(&chosen, allowance_request)
                    .await
            }
        };
        log::info!(program = program.0.as_str(), reach = connectivity.to_string(), steward = chosen.as_str(), granted_tokens; "store out of reach");
        if granted_tokens == 0 {
            return Err(ChargeDecision::Unavailable);
        }
        let source = TokenSource::Allowance {
            coordinator: chosen,
        };
        Ok(TokenReservation::new(self, program, source, granted_tokens))
    }

    /// Carries a store call of another VM out.
    pub(crate) async fn execute_store_call(
        &self,
        call: &StoreCall,
    ) -> Result<StoreReply, StoreError> {
        if self.store.is_unavailable() {
            return Err(StoreError::NotSent("store is away here too".into()));
        }
        self.store.call(call).await
    }

    /// Takes tokens that another VM holds.
    async fn request_held_tokens(&self, program: &ProgramKey, tokens: u64) -> bool {
        let holders = self.budgets.borrow().holders(program);
        self.peer_client
            .request_held_tokens(program, tokens, &holders)
            .await
    }

    /// Hands tokens that are held here over to another VM.
    pub(crate) fn give_held_tokens(&self, program: &ProgramKey, tokens: u64) -> bool {
        let now_ms = self.clock.now_ms();
        let mut budgets = self.budgets.borrow_mut();
        budgets.transfer_out(program, tokens, now_ms)
    }

    /// Hands out tokens of an allowance that this VM is the steward of.
    pub(crate) async fn grant_allowance(&self, allowance_request: &AllowanceRequest) -> u64 {
        if self.connectivity.get() != allowance_request.connectivity {
            self.refresh_connectivity().await;
        }
        if self.connectivity.get() != allowance_request.connectivity {
            return 0;
        }
        let program = ProgramKey(allowance_request.program.clone());
        let is_open = self.allowances.borrow().has_allowance(&program);
        if !is_open
            && !self
                .may_open(&program, allowance_request.connectivity)
                .await
        {
            return 0;
        }
        let budgets = self.budgets.borrow();
        if budgets.lacks_room(&program, allowance_request.max_tokens) {
            return 0;
        }
        self.allowances.borrow_mut().grant(allowance_request)
    }

    /// Whether no other VM hands out for a program.
    async fn may_open(&self, program: &ProgramKey, connectivity: Connectivity) -> bool {
        let own = self.peer_client.peers.borrow().own_name().clone();
        let is_first = self.claim_coordinator(program, &own);
        is_first
            && (connectivity == Connectivity::OwnDomain
                || self.peer_client.confirm_coordinator(program).await)
    }

    /// Notes that a VM hands out for a program; `false` if another one does.
    pub(crate) fn claim_coordinator(&self, program: &ProgramKey, coordinator: &str) -> bool {
        let now_ms = self.clock.now_ms();
        let mut allowances = self.allowances.borrow_mut();
        allowances.claim_coordinator(program, coordinator, now_ms)
    }

    /// Whether the store did not answer last.
    pub(crate) fn is_store_unavailable(&self) -> bool {
        self.store.is_unavailable()
    }

    /// Keeps what this VM can reach up to date while it is without the store.
    pub(crate) async fn monitor_connectivity(self: Rc<Self>) {
        loop {
            sleep(LOOK_PERIOD).await;
            if self.store.is_unavailable() || self.connectivity.get() != Connectivity::Store {
                self.refresh_connectivity().await;
            }
        }
    }

    /// Finds out what this VM can reach, unless that was just done.
    async fn refresh_connectivity(&self) {
        let mut looked_ms = self.looked_ms.lock().await;
        let now_ms = self.clock.now_ms();
        if looked_ms.is_some_and(|at_ms| now_ms < at_ms + LOOK_AGE_MS) {
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
        *looked_ms = Some(self.clock.now_ms());
    }

    /// A call with an allowance of this VM has ended.
    pub(crate) fn settle_allowance(&self, settlement: &AllowanceSettlement) {
        self.allowances.borrow_mut().settle(settlement);
    }

    fn report_settlement(
        self: &Rc<Self>,
        coordinator: CompactString,
        settlement: AllowanceSettlement,
    ) {
        if coordinator == *self.peer_client.peers.borrow().own_name() {
            self.settle_allowance(&settlement);
            return;
        }
        let peer_client = Rc::clone(&self.peer_client);
        spawn_local(async move {
            peer_client
                .report_settlement(&coordinator, settlement)
                .await
        });
    }

    /// Starts to write what the program needs.
    fn write_on(self: &Rc<Self>, program: &ProgramKey) {
        let next = self.budgets.borrow_mut().charge_write(program);
        if let Some(first) = next {
            spawn_local(Rc::clone(self).write_all(first));
        }
    }

    async fn write_all(self: Rc<Self>, first: BudgetWrite) {
        let mut next = Some(first);
        while let Some(BudgetWrite { program, write }) = next {
            let reply = self.write(StoreCall::Transact(vec![write])).await;
            let now_ms = self.clock.now_ms();
            let decisions = self
                .budgets
                .borrow_mut()
                .on_write_reply(&program, &reply, now_ms);
            for (waiter, decision) in decisions {
                self.decide(&program, waiter, decision);
            }
            next = self.budgets.borrow_mut().charge_write(&program);
        }
    }

    fn decide(&self, program: &ProgramKey, waiter: WaiterId, decision: ChargeDecision) {
        let sender = self.waiting.borrow_mut().remove(&waiter);
        let undelivered = match sender {
            Some(sender) => sender.send(decision).is_err(),
            None => true,
        };
        if let (true, ChargeDecision::Granted(grant)) = (undelivered, decision) {
            let now_ms = self.clock.now_ms();
            let mut budgets = self.budgets.borrow_mut();
            budgets.settle(program, grant, 0, now_ms);
        }
    }

    /// Writes, itself or by another VM, with tries after lost replies: the
    /// same write finds its own number if an earlier try was applied.
    async fn write(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
        let mut lost = None;
        for _ in 0..WRITE_ATTEMPTS {
            let reply = self.write_once(&call).await;
            match reply {
                Err(error @ StoreError::NoReply(_)) => {
                    lost = Some(error);
                    if self.store.is_unavailable() {
                        // Others were asked too, or will be with the next write.
                        break;
                    }
                    sleep(RETRY_DELAY).await;
                }
                // Says nothing about an earlier try without a reply.
                Err(error) => return Err(lost.unwrap_or(error)),
                Ok(reply) => return Ok(reply),
            }
        }
        Err(lost.unwrap_or(StoreError::NoReply("no try".into())))
    }

    async fn write_once(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let own = self.execute_store_call(call).await;
        match own {
            Err(StoreError::NotSent(_) | StoreError::Refused(_)) => {
                let carried = self.peer_client.relay_store_call(call).await;
                carried.unwrap_or(own)
            }
            own => own,
        }
    }

    /// Writes what is due without a call that waits for it.
    pub(crate) fn flush_due_writes(self: &Rc<Self>) {
        if self.store.is_unavailable() {
            return;
        }
        let now_ms = self.clock.now_ms();
        for debt in self.allowances.borrow_mut().take_deferred_charges() {
            let program = debt.program.clone();
            log::info!(program = program.0.as_str(), tokens = debt.tokens; "charging what was spent without the store");
            self.budgets.borrow_mut().add_deferred_charge(&debt, now_ms);
            spawn_local(Rc::clone(self).list_overdrawn(program));
        }
        let due = self.budgets.borrow().programs_to_write(now_ms);
        for program in due {
            let write = self.budgets.borrow_mut().release_write(&program);
            if let Some(write) = write {
                spawn_local(Rc::clone(self).write_all(write));
            }
        }
    }

    /// Removes rows of programs that are long silent.
    pub(crate) async fn remove_expired(&self) {
        let now_ms = self.clock.now_ms();
        self.allowances.borrow_mut().remove_expired(now_ms);
        self.remove_expired_overdrawn().await;
        let writes = self
            .budgets
            .borrow_mut()
            .remove_expired(self.clock.now_ms());
        for write in writes {
            // A row that changed meanwhile is another VM's to remove; one
            // that stays costs only its room.
            if let Err(error) = self.store.call(&StoreCall::Transact(vec![write])).await {
                log::debug!(error = error.to_string(); "row of a silent program stays");
                return;
            }
        }
    }
}

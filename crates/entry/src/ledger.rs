//! Charges of programs' budgets: at the store, by another VM, or from what
//! other VMs may still hand out.

mod charged;
mod overdrawn;

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

pub(crate) use charged::Charged;
use charged::Source;
pub(crate) use overdrawn::OVERDRAWN_TABLE;

/// Tries of a write whose reply is lost.
const TRIES: u32 = 4;

/// Pause between them.
const RETRY_PAUSE: Duration = Duration::from_millis(30);

/// Time between two looks at what can be reached while the store is away.
const LOOK_PERIOD: Duration = Duration::from_millis(250);

/// Age below which a look is not repeated.
const LOOK_AGE_MS: u64 = 200;

/// Charges of this VM.
pub(crate) struct Ledger {
    clock: Clock,
    store: Rc<StoreClient>,
    peers: Rc<PeerClient>,
    accounts: RefCell<ProgramBudgets>,
    allowances: RefCell<Allowances>,
    /// What this VM could reach when it looked last.
    reach: Cell<Connectivity>,
    /// When that was; locked while it looks.
    looked_ms: Mutex<Option<u64>>,
    /// Programs that this VM listed as overdrawn: version and time.
    listed: RefCell<Vec<(ProgramKey, u64, u64)>>,
    waiting: RefCell<FastMap<WaiterId, oneshot::Sender<ChargeDecision>>>,
    next_waiter: Cell<u64>,
}

/// Tokens that a call asks for.
#[derive(Clone, Debug)]
pub(crate) struct Charge {
    pub(crate) program: ProgramKey,
    pub(crate) budget_tokens: u64,
    pub(crate) tokens: u64,
    pub(crate) expected_tokens: u64,
    pub(crate) retention_ms: u64,
    /// Other VM through which the program began, if one told.
    pub(crate) first_vm: Option<SocketAddr>,
}

/// Withdraws a call that stops waiting.
struct Waiting<'a> {
    ledger: &'a Ledger,
    program: &'a ProgramKey,
    waiter: WaiterId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let sender = self.ledger.waiting.borrow_mut().remove(&self.waiter);
        if sender.is_some() {
            let mut accounts = self.ledger.accounts.borrow_mut();
            accounts.cancel_charge(self.program, self.waiter);
        }
    }
}

impl Ledger {
    pub(crate) fn new(
        clock: Clock,
        store: Rc<StoreClient>,
        peers: Rc<PeerClient>,
        accounts: ProgramBudgets,
    ) -> Rc<Ledger> {
        Rc::new(Ledger {
            clock,
            store,
            peers,
            accounts: RefCell::new(accounts),
            allowances: RefCell::default(),
            reach: Cell::new(Connectivity::Store),
            looked_ms: Mutex::default(),
            listed: RefCell::default(),
            waiting: RefCell::default(),
            next_waiter: Cell::new(1),
        })
    }

    /// Waits until a call is charged or refused.
    pub(crate) async fn charge(
        self: &Rc<Self>,
        charge: Charge,
        until: Instant,
    ) -> Result<Charged, ChargeDecision> {
        if self.reach.get().allows_offline_grants() {
            return self.charge_without_store(&charge).await;
        }
        if let Some(charged) = self.charge_holder(&charge).await {
            return Ok(charged);
        }
        match self.charge_row(&charge, until).await {
            Err(ChargeDecision::Unavailable) => {
                self.look_around().await;
                self.charge_without_store(&charge).await
            }
            Err(refusal @ ChargeDecision::HeldElsewhere { .. }) => {
                let (program, tokens) = (&charge.program, charge.tokens);
                let is_taken = self.take_held(program, tokens).await;
                let charged = || Charged::new(self, program, Source::Row, tokens);
                is_taken.then(charged).ok_or(refusal)
            }
            decided => decided,
        }
    }

    fn asked(&self, charge: &Charge) -> ChargeRequest {
        let waiter = WaiterId(self.next_waiter.get());
        self.next_waiter.set(waiter.0 + 1);
        ChargeRequest {
            waiter,
            budget_tokens: charge.budget_tokens,
            tokens: charge.tokens,
            retention_ms: charge.retention_ms,
        }
    }

    async fn charge_row(
        self: &Rc<Self>,
        charge: &Charge,
        until: Instant,
    ) -> Result<Charged, ChargeDecision> {
        let program = &charge.program;
        let asked = self.asked(charge);
        let waiter = asked.waiter;
        let now_ms = self.clock.now_ms();
        let known = self
            .accounts
            .borrow_mut()
            .request_charge(program, asked, now_ms);
        if let Some(decision) = known {
            return self.decided(program, decision);
        }
        let (sender, decided) = oneshot::channel();
        self.waiting.borrow_mut().insert(waiter, sender);
        let waiting = Waiting {
            ledger: self,
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
    async fn charge_holder(self: &Rc<Self>, charge: &Charge) -> Option<Charged> {
        let (program, tokens) = (&charge.program, charge.tokens);
        let address = charge.first_vm?;
        if self.accounts.borrow().has_held(program, tokens) {
            return None;
        }
        let is_taken = self.peers.take_spare(address, program, tokens).await;
        is_taken.then(|| Charged::new(self, program, Source::Holder { address }, tokens))
    }

    /// Gives tokens back to the VM that held them.
    fn hand_back(&self, address: SocketAddr, program: &ProgramKey, tokens: u64) {
        if tokens == 0 {
            return;
        }
        let (peers, program) = (Rc::clone(&self.peers), program.clone());
        spawn_local(async move { peers.hand_back(address, &program, tokens).await });
    }

    /// Takes tokens back that another VM did not use.
    pub(crate) fn take_back(&self, program: &ProgramKey, tokens: u64) {
        self.accounts.borrow_mut().return_unused(program, tokens);
    }

    /// Hands spare tokens over to another VM.
    pub(crate) fn hand_spare(&self, program: &ProgramKey, tokens: u64) -> bool {
        let now_ms = self.clock.now_ms();
        let mut accounts = self.accounts.borrow_mut();
        accounts.transfer_out_surplus(program, tokens, now_ms)
    }

    fn decided(
        self: &Rc<Self>,
        program: &ProgramKey,
        decision: ChargeDecision,
    ) -> Result<Charged, ChargeDecision> {
        match decision {
            ChargeDecision::Granted(grant) => {
                Ok(Charged::new(self, program, Source::Row, grant.tokens))
            }
            refusal => Err(refusal),
        }
    }

    /// Charges a call from what neighbours hold for its program, or from its
    /// allowance.
    async fn charge_without_store(
        self: &Rc<Self>,
        charge: &Charge,
    ) -> Result<Charged, ChargeDecision> {
        let program = &charge.program;
        let tokens = charge.tokens;
        // An account opens here, to take in what the call won't use.
        let now_ms = self.clock.now_ms();
        self.accounts.borrow_mut().transfer_in(program, 0, now_ms);
        if self.hand_over(program, tokens) || self.take_held(program, tokens).await {
            return Ok(Charged::new(self, program, Source::Row, tokens));
        }
        let reach = self.reach.get();
        let chosen = {
            let peers = self.peers.peers.borrow();
            let own = peers.own_name().clone();
            allowance_coordinator(program, peers.coordinator_candidates(reach))
                .cloned()
                .unwrap_or(own)
        };
        let ask = AllowanceRequest {
            connectivity: reach,
            program: program.0.clone(),
            budget_tokens: charge.budget_tokens,
            max_tokens: tokens,
            expected_tokens: charge.expected_tokens,
        };
        let granted_tokens = match reach {
            Connectivity::Store | Connectivity::Indeterminate => 0,
            _ if chosen == *self.peers.peers.borrow().own_name() => self.hand_out(&ask).await,
            _ => self.peers.ask_allowance(&chosen, ask).await,
        };
        log::info!(program = program.0.as_str(), reach = reach.to_string(), steward = chosen.as_str(), granted_tokens; "store out of reach");
        if granted_tokens == 0 {
            return Err(ChargeDecision::Unavailable);
        }
        let source = Source::Allowance { steward: chosen };
        Ok(Charged::new(self, program, source, granted_tokens))
    }

    /// Carries a store call of another VM out.
    pub(crate) async fn carry_out(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        if self.store.is_away() {
            return Err(StoreError::NotSent("store is away here too".into()));
        }
        self.store.call(call).await
    }

    /// Takes tokens that another VM holds.
    async fn take_held(&self, program: &ProgramKey, tokens: u64) -> bool {
        let holders = self.accounts.borrow().holders(program);
        self.peers.take_held(program, tokens, &holders).await
    }

    /// Hands tokens that are held here over to another VM.
    pub(crate) fn hand_over(&self, program: &ProgramKey, tokens: u64) -> bool {
        let now_ms = self.clock.now_ms();
        let mut accounts = self.accounts.borrow_mut();
        accounts.transfer_out(program, tokens, now_ms)
    }

    /// Hands out tokens of an allowance that this VM is the steward of.
    pub(crate) async fn hand_out(&self, ask: &AllowanceRequest) -> u64 {
        if self.reach.get() != ask.connectivity {
            self.look_around().await;
        }
        if self.reach.get() != ask.connectivity {
            return 0;
        }
        let program = ProgramKey(ask.program.clone());
        let is_open = self.allowances.borrow().has_allowance(&program);
        if !is_open && !self.may_open(&program, ask.connectivity).await {
            return 0;
        }
        let accounts = self.accounts.borrow();
        if accounts.lacks_room(&program, ask.max_tokens) {
            return 0;
        }
        self.allowances.borrow_mut().grant(ask)
    }

    /// Whether no other VM hands out for a program.
    async fn may_open(&self, program: &ProgramKey, reach: Connectivity) -> bool {
        let own = self.peers.peers.borrow().own_name().clone();
        let is_first = self.note_steward(program, &own);
        is_first && (reach == Connectivity::OwnDomain || self.peers.may_hand_out(program).await)
    }

    /// Notes that a VM hands out for a program; `false` if another one does.
    pub(crate) fn note_steward(&self, program: &ProgramKey, steward: &str) -> bool {
        let now_ms = self.clock.now_ms();
        let mut allowances = self.allowances.borrow_mut();
        allowances.claim_coordinator(program, steward, now_ms)
    }

    /// Whether the store did not answer last.
    pub(crate) fn is_store_away(&self) -> bool {
        self.store.is_away()
    }

    /// Keeps what this VM can reach up to date while it is without the store.
    pub(crate) async fn keep_looking(self: Rc<Self>) {
        loop {
            sleep(LOOK_PERIOD).await;
            if self.store.is_away() || self.reach.get() != Connectivity::Store {
                self.look_around().await;
            }
        }
    }

    /// Finds out what this VM can reach, unless that was just done.
    async fn look_around(&self) {
        let mut looked_ms = self.looked_ms.lock().await;
        let now_ms = self.clock.now_ms();
        if looked_ms.is_some_and(|at_ms| now_ms < at_ms + LOOK_AGE_MS) {
            return;
        }
        let reach = if self.store.is_unreadable().await {
            self.peers.sound_out().await
        } else {
            Connectivity::Store
        };
        if reach != self.reach.get() {
            log::info!(before = self.reach.get().to_string(), now = reach.to_string(); "reach changed");
        }
        self.reach.set(reach);
        *looked_ms = Some(self.clock.now_ms());
    }

    /// A call with an allowance of this VM has ended.
    pub(crate) fn end_allowance(&self, end: &AllowanceSettlement) {
        self.allowances.borrow_mut().settle(end);
    }

    fn tell_steward(self: &Rc<Self>, steward: CompactString, end: AllowanceSettlement) {
        if steward == *self.peers.peers.borrow().own_name() {
            self.end_allowance(&end);
            return;
        }
        let peers = Rc::clone(&self.peers);
        spawn_local(async move { peers.end_allowance(&steward, end).await });
    }

    /// Starts to write what the program needs.
    fn write_on(self: &Rc<Self>, program: &ProgramKey) {
        let next = self.accounts.borrow_mut().charge_write(program);
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
                .accounts
                .borrow_mut()
                .on_write_reply(&program, &reply, now_ms);
            for (waiter, decision) in decisions {
                self.decide(&program, waiter, decision);
            }
            next = self.accounts.borrow_mut().charge_write(&program);
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
            let mut accounts = self.accounts.borrow_mut();
            accounts.settle(program, grant, 0, now_ms);
        }
    }

    /// Writes, itself or by another VM, with tries after lost replies: the
    /// same write finds its own number if an earlier try was applied.
    async fn write(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
        let mut lost = None;
        for _ in 0..TRIES {
            let reply = self.write_once(&call).await;
            match reply {
                Err(error @ StoreError::NoReply(_)) => {
                    lost = Some(error);
                    if self.store.is_away() {
                        // Others were asked too, or will be with the next write.
                        break;
                    }
                    sleep(RETRY_PAUSE).await;
                }
                // Says nothing about an earlier try without a reply.
                Err(error) => return Err(lost.unwrap_or(error)),
                Ok(reply) => return Ok(reply),
            }
        }
        Err(lost.unwrap_or(StoreError::NoReply("no try".into())))
    }

    async fn write_once(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let own = self.carry_out(call).await;
        match own {
            Err(StoreError::NotSent(_) | StoreError::Refused(_)) => {
                let carried = self.peers.carry_out(call).await;
                carried.unwrap_or(own)
            }
            own => own,
        }
    }

    /// Writes what is due without a call that waits for it.
    pub(crate) fn write_due(self: &Rc<Self>) {
        if self.store.is_away() {
            return;
        }
        let now_ms = self.clock.now_ms();
        for debt in self.allowances.borrow_mut().take_deferred_charges() {
            let program = debt.program.clone();
            log::info!(program = program.0.as_str(), tokens = debt.tokens; "charging what was spent without the store");
            self.accounts
                .borrow_mut()
                .add_deferred_charge(&debt, now_ms);
            spawn_local(Rc::clone(self).list_overdrawn(program));
        }
        let due = self.accounts.borrow().programs_to_write(now_ms);
        for program in due {
            let write = self.accounts.borrow_mut().release_write(&program);
            if let Some(write) = write {
                spawn_local(Rc::clone(self).write_all(write));
            }
        }
    }

    /// Removes rows of programs that are long silent.
    pub(crate) async fn sweep(&self) {
        let now_ms = self.clock.now_ms();
        self.allowances.borrow_mut().remove_expired(now_ms);
        self.sweep_overdrawn().await;
        let writes = self
            .accounts
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

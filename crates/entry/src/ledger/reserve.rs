//! Reserves of budgets, which the programs' homes grant without the store.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use futures::FutureExt;
use lagoon_gateway::{
    may_release_unconfirmed, ChargeDecision, HomeState, ProgramKey, ReserveRequest, RowCheck,
    StoreCall, StoreError, StoreReply,
};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use crate::ledger::reservation::{TokenReservation, TokenSource};
use crate::ledger::{BudgetClient, TokenRequest};

/// Time without a reply of the store after which tokens of the reserve are
/// requested: several times that of a charge.
const RESERVE_DELAY: Duration = Duration::from_millis(60);

/// Maximum number of programs whose rows are read in one round of checks.
const MAX_CHECKS: usize = 16;

impl BudgetClient {
    /// Charges a call in the store, or takes tokens of the program's reserve if
    /// the store doesn't reply soon.
    pub(super) async fn charge_or_take_reserve(
        self: &Rc<Self>,
        request: &TokenRequest,
        deadline: Instant,
    ) -> Result<TokenReservation, ChargeDecision> {
        let mut charge = pin!(self.charge_with_release(request, deadline));
        let delay = if self.store.is_failing() {
            Duration::ZERO
        } else {
            RESERVE_DELAY
        };
        tokio::select! {
            biased;
            result = &mut charge => return result,
            () = sleep(delay) => {}
        }
        // One failed call doesn't show that the store can't be used.
        let accepts_fewer = self.store.is_unavailable();
        let Some(from_reserve) = self.take_reserve(request, accepts_fewer).await else {
            return charge.await;
        };
        match charge.as_mut().now_or_never() {
            Some(Ok(charged)) => Ok(charged),
            _ => Ok(from_reserve),
        }
    }

    /// Charges a call in the store; if it fits only with the reserve, has the
    /// program's home release that first.
    pub(super) async fn charge_with_release(
        self: &Rc<Self>,
        request: &TokenRequest,
        deadline: Instant,
    ) -> Result<TokenReservation, ChargeDecision> {
        match self.charge_in_store(request, deadline).await {
            Err(ChargeDecision::ReserveNeeded) => {}
            result => return result,
        }
        let (program, held_tokens) = (&request.program, request.max_tokens);
        let granted_tokens = match self.request_release(request).await {
            Some(granted_tokens) => granted_tokens,
            // The calls of such a program would be refused until the home knows.
            None if may_release_unconfirmed(request.budget_tokens, held_tokens) => 0,
            None => return Err(ChargeDecision::HeldElsewhere { held_tokens }),
        };
        self.budgets
            .borrow_mut()
            .record_release(program, granted_tokens);
        self.charge_in_store(request, deadline).await
    }

    /// Has the program's home release the reserve; returns the tokens granted of it,
    /// or `None` if the home can't be reached or doesn't know.
    async fn request_release(&self, request: &TokenRequest) -> Option<u64> {
        let program = &request.program;
        let home = self.home_of(program)?;
        let reserve_request = request.reserve_request(false);
        let granted_tokens = if self.is_own_name(&home) {
            self.release_reserve(&reserve_request)
        } else {
            let released = self.peer_client.release_reserve(&home, &reserve_request);
            released.await
        };
        log::debug!(program = program.0.as_str(), home = home.as_str(), granted_tokens; "reserve released");
        granted_tokens
    }

    /// Takes tokens of the program's reserve, perhaps fewer than the call's maximum
    /// if it `accepts_fewer`; `None` if its home grants none or can't be reached.
    pub(super) async fn take_reserve(
        self: &Rc<Self>,
        request: &TokenRequest,
        accepts_fewer: bool,
    ) -> Option<TokenReservation> {
        let program = &request.program;
        let home = self.home_of(program)?;
        let reserve_request = request.reserve_request(accepts_fewer);
        let granted_tokens = if self.is_own_name(&home) {
            self.grant_reserve(&reserve_request)
        } else {
            let granted = self.peer_client.take_reserve(&home, &reserve_request);
            granted.await
        };
        log::info!(program = program.0.as_str(), home = home.as_str(), granted_tokens; "requested tokens of the reserve");
        let source = TokenSource::Reserve { home };
        (granted_tokens > 0).then(|| TokenReservation::new(self, program, source, granted_tokens))
    }

    /// Grants a call tokens of a reserve, and returns their number; 0 if this VM
    /// isn't the program's home, or too few are left.
    pub(crate) fn grant_reserve(&self, request: &ReserveRequest) -> u64 {
        if !self.is_home(request) {
            return 0;
        }
        let now_ms = self.clock.now_ms();
        self.reserves.borrow_mut().grant(request, now_ms)
    }

    /// Releases a reserve for the program's row, and returns the tokens granted
    /// of it; `None` if this VM isn't the program's home.
    pub(crate) fn release_reserve(&self, request: &ReserveRequest) -> Option<u64> {
        if !self.is_home(request) {
            return None;
        }
        let now_ms = self.clock.now_ms();
        self.reserves.borrow_mut().release(request, now_ms)
    }

    /// Takes back tokens of a reserve that a call did not use.
    pub(crate) fn accept_returned_reserve(&self, program: &ProgramKey, tokens: u64) {
        self.reserves.borrow_mut().return_unused(program, tokens);
    }

    /// Records that this VM was registered in the list of VMs, perhaps again.
    pub(crate) fn record_registration(&self) {
        self.registered_ms.set(Some(self.clock.now_ms()));
    }

    /// Starts to check which programs have ended whose reserves this VM remembers.
    pub(super) fn start_reserve_checks(self: &Rc<Self>) {
        let now_ms = self.clock.now_ms();
        let mut due = self.reserves.borrow().programs_to_check(now_ms);
        if due.is_empty() || self.is_checking_reserves.get() || self.store.is_failing() {
            return;
        }
        due.truncate(MAX_CHECKS);
        self.is_checking_reserves.set(true);
        let budget_client = Rc::clone(self);
        spawn_local(async move {
            for program in due {
                if let Err(error) = budget_client.check_reserve(&program).await {
                    log::debug!(program = program.0.as_str(), error = error.to_string(); "cannot check whether a program with a reserve has ended");
                    break;
                }
            }
            budget_client.is_checking_reserves.set(false);
        });
    }

    /// Forgets the reserve of a program whose row is gone, and deletes a row that no
    /// VM has written for long.
    async fn check_reserve(&self, program: &ProgramKey) -> Result<(), StoreError> {
        let key = program.row_key();
        let to_key = compact_str::format_compact!("{}\0", key.key);
        let read = StoreCall::ReadRange {
            table: key.table,
            partition: key.partition,
            from_key: key.key,
            to_key,
        };
        let began_ms = self.clock.now_ms();
        let StoreReply::Rows { rows, .. } = self.store.call(&read).await? else {
            return Err(StoreError::NoReply("reply to another call".into()));
        };
        let row = rows.first();
        let check = RowCheck { row, began_ms };
        let deletion = self.reserves.borrow_mut().on_row_read(program, check);
        let Some(deletion) = deletion else {
            return Ok(());
        };
        let deleted = StoreCall::Transact(vec![deletion]);
        if let StoreReply::Applied { .. } = self.store.call(&deleted).await? {
            let row = None;
            let check = RowCheck { row, began_ms };
            self.reserves.borrow_mut().on_row_read(program, check);
        }
        Ok(())
    }

    /// Returns unused tokens of a reserve to the program's home.
    pub(super) fn return_reserve(&self, home: CompactString, program: &ProgramKey, tokens: u64) {
        if tokens == 0 {
            return;
        }
        if self.is_own_name(&home) {
            self.accept_returned_reserve(program, tokens);
            return;
        }
        let (peer_client, program) = (Rc::clone(&self.peer_client), program.clone());
        spawn_local(async move { peer_client.return_reserve(&home, &program, tokens).await });
    }

    fn is_home(&self, request: &ReserveRequest) -> bool {
        let state = HomeState {
            uptime_ms: self.clock.now_ms(),
            is_first_start: self.is_first_start,
            registered_ms: self.registered_ms.get(),
            list_age_ms: self.peer_client.listing_age_ms(),
        };
        let program = ProgramKey(request.program.clone());
        let home = self.home_of(&program);
        state.is_home(request.retention_ms) && home.is_some_and(|home| self.is_own_name(&home))
    }

    fn home_of(&self, program: &ProgramKey) -> Option<CompactString> {
        let now_ms = self.clock.now_ms();
        let mut peers = self.peer_client.peers.borrow_mut();
        peers.home_of(program, now_ms)
    }

    pub(super) fn is_own_name(&self, name: &str) -> bool {
        *self.peer_client.peers.borrow().own_name() == name
    }
}

impl TokenRequest {
    fn reserve_request(&self, accepts_fewer: bool) -> ReserveRequest {
        ReserveRequest {
            program: self.program.0.clone(),
            budget_tokens: self.budget_tokens,
            max_tokens: self.max_tokens,
            expected_tokens: self.expected_tokens,
            accepts_fewer,
            retention_ms: self.retention_ms,
        }
    }
}

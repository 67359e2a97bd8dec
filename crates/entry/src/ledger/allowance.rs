//! Tokens for calls while the store is unreachable: held ones, the program's
//! reserve, and last its allowance, which one VM alone grants.

use std::rc::Rc;

use compact_str::CompactString;
use futures::future::join_all;
use lagoon_gateway::{
    AllowanceRecord, AllowanceRequest, AllowanceSettlement, ChargeDecision, Connectivity,
    DeferredCharge, PassedAllowance, ProgramKey,
};
use lagoon_ids::FastMap;
use tokio::task::spawn_local;

use crate::ledger::reservation::{TokenReservation, TokenSource};
use crate::ledger::{BudgetClient, TokenRequest};

/// Maximum number of allowances or charges in one message. At up to 200 bytes each,
/// they stay well within the maximum size of a message.
const RECORDS_PER_MESSAGE: usize = 500;

impl BudgetClient {
    /// Reserves tokens for a call from those that other VMs hold for its
    /// program, or from the program's allowance.
    pub(super) async fn reserve_without_store(
        self: &Rc<Self>,
        request: &TokenRequest,
    ) -> Result<TokenReservation, ChargeDecision> {
        let program = &request.program;
        let tokens = request.max_tokens;
        // Unused tokens of a call are returned only to an existing entry in
        // `budgets`, so the transfer of 0 tokens creates the program's entry.
        let now_ms = self.clock.now_ms();
        self.budgets.borrow_mut().transfer_in(program, 0, now_ms);
        let from_row = || TokenReservation::new(self, program, TokenSource::Row, tokens);
        if self.give_held_tokens(program, tokens) {
            return Ok(from_row());
        }
        if let Some(reservation) = self.take_from_origin_vm(request).await {
            return Ok(reservation);
        }
        if let Some(reservation) = self.take_reserve(request, true).await {
            return Ok(reservation);
        }
        if self.request_held_tokens(program, tokens).await {
            return Ok(from_row());
        }
        self.take_allowance(request)
            .await
            .ok_or(ChargeDecision::Unavailable)
    }

    /// Takes tokens of the program's allowance; `None` if its holder isn't known, can't be
    /// reached or grants none.
    async fn take_allowance(self: &Rc<Self>, request: &TokenRequest) -> Option<TokenReservation> {
        let program = &request.program;
        let connectivity = self.connectivity.get();
        if connectivity == Connectivity::Store {
            return None;
        }
        let allowance_request = AllowanceRequest {
            connectivity,
            program: program.0.clone(),
            budget_tokens: request.budget_tokens,
            max_tokens: request.max_tokens,
            expected_tokens: request.expected_tokens,
        };
        for holder in self.allowance_holders(request) {
            let granted_tokens = if self.is_own_name(&holder) {
                self.grant_allowance(&allowance_request)
            } else {
                let request = allowance_request.clone();
                self.peer_client.request_allowance(&holder, request).await
            };
            log::info!(program = program.0.as_str(), reach = connectivity.to_string(), holder = holder.as_str(), granted_tokens; "store unreachable; requested an allowance");
            if granted_tokens > 0 {
                let source = TokenSource::Allowance { holder };
                return Some(TokenReservation::new(self, program, source, granted_tokens));
            }
        }
        None
    }

    /// VMs of which one may hold a program's allowance: the one that created its row, as
    /// far as that is known here, and the one to which that passes it on.
    fn allowance_holders(&self, request: &TokenRequest) -> Vec<CompactString> {
        let program = &request.program;
        let now_ms = self.clock.now_ms();
        let peers = self.peer_client.peers.borrow();
        let budgets = self.budgets.borrow();
        let first = match budgets.allowance_holder(program) {
            Some(writer) if *writer == self.writer => Some(peers.own_name()),
            Some(writer) => peers.name_of_writer(writer, now_ms),
            None => request
                .origin_vm
                .and_then(|address| peers.responsive_at(address)),
        };
        let heir = peers.allowance_heir(program, now_ms);
        let mut holders: Vec<CompactString> = first.cloned().into_iter().chain(heir).collect();
        holders.dedup();
        holders
    }

    /// Grants a call tokens of an allowance that this VM holds, and returns their number;
    /// 0 if it holds none, or too few tokens of it are left.
    pub(crate) fn grant_allowance(&self, request: &AllowanceRequest) -> u64 {
        let program = ProgramKey(request.program.clone());
        let now_ms = self.clock.now_ms();
        let budgets = self.budgets.borrow();
        let mut allowances = self.allowances.borrow_mut();
        let row = budgets.allowance_row(&program);
        let granted_tokens = allowances.grant(request, row, now_ms);
        log::info!(
            program = program.0.as_str(),
            granted_tokens,
            used_tokens = allowances.used_tokens(&program),
            is_received = allowances.has_received(&program),
            is_holder = row.is_holder,
            row_version = budgets.row_version(&program),
            overspent_tokens = row.overspent_tokens;
            "allowance requested"
        );
        granted_tokens
    }

    /// Grants no allowance from now on, as this VM is stopping, and passes on those that
    /// it holds.
    pub(crate) fn stop_granting(self: &Rc<Self>) {
        self.peer_client.peers.borrow_mut().set_stopping();
        let rows = self.budgets.borrow().allowance_rows();
        let passed = self.allowances.borrow_mut().stop(rows);
        let budget_client = Rc::clone(self);
        spawn_local(async move { budget_client.pass_on(passed).await });
    }

    /// Passes allowances on to the VMs that take the place of this one. One that isn't
    /// confirmed may have been received; no VM is told of it again.
    async fn pass_on(&self, passed: Vec<PassedAllowance>) {
        let by_heir = self.by_heir(passed, |passed| &passed.program);
        let sent = by_heir.iter().map(|(name, passed)| async move {
            for passed in passed.chunks(RECORDS_PER_MESSAGE) {
                log_used(passed, name, "passing on an allowance");
                let is_confirmed = self.peer_client.pass_allowances(name, passed).await;
                log::info!(peer = name.as_str(), allowances = passed.len(), is_confirmed; "passed on allowances");
            }
        });
        join_all(sent).await;
    }

    /// Holds allowances that another VM passes on; `false` if this VM is stopping, too.
    pub(crate) fn receive_allowances(&self, passed: &[PassedAllowance]) -> bool {
        let now_ms = self.clock.now_ms();
        let mut allowances = self.allowances.borrow_mut();
        let held = passed
            .iter()
            .filter(|passed| allowances.receive(passed, now_ms));
        let held = held.count();
        log::info!(allowances = passed.len(), held; "received allowances");
        log_used(passed, "-", "received an allowance");
        held == passed.len()
    }

    pub(super) fn forget_expired_allowances(&self, now_ms: u64) {
        let budgets = self.budgets.borrow();
        let mut allowances = self.allowances.borrow_mut();
        allowances.remove_expired(now_ms, |program| budgets.has_deferred_charges(program));
    }

    /// Passes on what this VM granted and could not charge, before its end. Calls in
    /// flight are charged their whole grant.
    pub(crate) async fn hand_over_charges(&self) {
        let charges = self.allowances.borrow_mut().take_deferred_charges();
        let records = charges.into_iter().map(|charge| AllowanceRecord {
            program: charge.program.0,
            coordinator: self.writer.clone(),
            age_ms: 0,
            uncharged_tokens: charge.tokens,
            budget_tokens: charge.budget_tokens,
            max_call_tokens: charge.max_call_tokens,
        });
        let by_heir = self.by_heir(records.collect(), |record| &record.program);
        let sent = by_heir.iter().map(|(name, records)| async move {
            for records in records.chunks(RECORDS_PER_MESSAGE) {
                if !self.peer_client.hold_allowances(name, records).await {
                    log::warn!(peer = name.as_str(), charges = records.len(); "cannot hand over charges of allowances");
                }
            }
        });
        join_all(sent).await;
    }

    /// Groups items by the VM that takes the place of this one for their programs.
    fn by_heir<T, F>(&self, items: Vec<T>, program: F) -> FastMap<CompactString, Vec<T>>
    where
        F: Fn(&T) -> &CompactString,
    {
        let now_ms = self.clock.now_ms();
        let peers = self.peer_client.peers.borrow();
        let mut by_heir: FastMap<CompactString, Vec<T>> = FastMap::default();
        for item in items {
            let heir = peers.allowance_heir(&ProgramKey(program(&item).clone()), now_ms);
            if let Some(heir) = heir.filter(|heir| heir != peers.own_name()) {
                by_heir.entry(heir).or_default().push(item);
            }
        }
        by_heir
    }

    /// Charges what another VM granted and could not charge. Who grants, which records of
    /// earlier builds state, doesn't matter.
    pub(crate) fn hold_allowances(self: &Rc<Self>, records: &[AllowanceRecord]) {
        let charges = records.iter().filter_map(AllowanceRecord::deferred_charge);
        charges.for_each(|charge| self.defer_charge(&charge));
    }

    /// Charges what was spent without the store, once it can be written.
    pub(super) fn defer_charge(self: &Rc<Self>, charge: &DeferredCharge) {
        let program = charge.program.clone();
        log::info!(program = program.0.as_str(), tokens = charge.tokens; "charging what was spent without the store");
        let now_ms = self.clock.now_ms();
        self.budgets
            .borrow_mut()
            .add_deferred_charge(charge, now_ms);
        spawn_local(Rc::clone(self).list_overdrawn(program));
    }

    /// Records what a call used of an allowance that this VM granted.
    pub(crate) fn settle_allowance(&self, settlement: &AllowanceSettlement) {
        self.allowances.borrow_mut().settle(settlement);
    }

    pub(super) fn report_settlement(
        self: &Rc<Self>,
        holder: CompactString,
        settlement: AllowanceSettlement,
    ) {
        if self.is_own_name(&holder) {
            self.settle_allowance(&settlement);
            return;
        }
        let peer_client = Rc::clone(&self.peer_client);
        spawn_local(async move { peer_client.report_settlement(&holder, settlement).await });
    }
}

/// Logs the allowances of which some tokens are used.
fn log_used(passed: &[PassedAllowance], heir: &str, what: &str) {
    for passed in passed.iter().filter(|passed| passed.used_tokens > 0) {
        log::info!(program = passed.program.as_str(), used_tokens = passed.used_tokens, heir; "{what}");
    }
}

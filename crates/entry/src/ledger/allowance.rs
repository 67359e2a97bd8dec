//! Tokens for calls while the store is unreachable: held ones, the program's
//! reserve, and last its allowance, which one VM coordinates.

use std::rc::Rc;

use compact_str::CompactString;
use lagoon_gateway::{
    allowance_coordinator, AllowanceRequest, AllowanceSettlement, ChargeDecision, Connectivity,
    ProgramKey,
};
use tokio::task::spawn_local;

use crate::ledger::reservation::{TokenReservation, TokenSource};
use crate::ledger::{BudgetClient, TokenRequest};

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
        let connectivity = self.connectivity.get();
        let coordinator = {
            let peers = self.peer_client.peers.borrow();
            let own = peers.own_name().clone();
            allowance_coordinator(program, peers.coordinator_candidates(connectivity))
                .cloned()
                .unwrap_or(own)
        };
        let allowance_request = AllowanceRequest {
            connectivity,
            program: program.0.clone(),
            budget_tokens: request.budget_tokens,
            max_tokens: tokens,
            expected_tokens: request.expected_tokens,
        };
        let granted_tokens = match connectivity {
            Connectivity::Store | Connectivity::Indeterminate => 0,
            _ if coordinator == *self.peer_client.peers.borrow().own_name() => {
                self.grant_allowance(&allowance_request).await
            }
            _ => {
                self.peer_client
                    .request_allowance(&coordinator, allowance_request)
                    .await
            }
        };
        log::info!(program = program.0.as_str(), reach = connectivity.to_string(), steward = coordinator.as_str(), granted_tokens; "store unreachable; requested an allowance");
        if granted_tokens == 0 {
            return Err(ChargeDecision::Unavailable);
        }
        let source = TokenSource::Allowance { coordinator };
        Ok(TokenReservation::new(self, program, source, granted_tokens))
    }

    /// Grants a call tokens of an allowance that this VM coordinates, and
    /// returns their number. 0 if the connectivity of this VM is not that of
    /// the requesting one, this VM can't become the coordinator, or the budget
    /// or the allowance has too few tokens left.
    pub(crate) async fn grant_allowance(&self, allowance_request: &AllowanceRequest) -> u64 {
        if self.connectivity.get() != allowance_request.connectivity {
            self.refresh_connectivity().await;
        }
        if self.connectivity.get() != allowance_request.connectivity {
            return 0;
        }
        let program = ProgramKey(allowance_request.program.clone());
        let has_allowance = self.allowances.borrow().has_allowance(&program);
        if !has_allowance
            && !self
                .may_grant_allowance(&program, allowance_request.connectivity)
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

    /// Claims this VM as the program's coordinator, which grants its
    /// allowances; `false` if another VM has the role. If all failure domains
    /// are connected, the VM in each domain that records the program's
    /// coordinator must agree.
    async fn may_grant_allowance(&self, program: &ProgramKey, connectivity: Connectivity) -> bool {
        let own = self.peer_client.peers.borrow().own_name().clone();
        let is_claimed = self.claim_coordinator(program, &own);
        is_claimed
            && (connectivity == Connectivity::OwnDomain
                || self.peer_client.confirm_coordinator(program).await)
    }

    /// Records `coordinator` as the VM that grants allowances of a program;
    /// `false` if another one is recorded.
    pub(crate) fn claim_coordinator(&self, program: &ProgramKey, coordinator: &str) -> bool {
        let now_ms = self.clock.now_ms();
        let mut allowances = self.allowances.borrow_mut();
        allowances.claim_coordinator(program, coordinator, now_ms)
    }

    /// Records what a call used of an allowance that this VM granted.
    pub(crate) fn settle_allowance(&self, settlement: &AllowanceSettlement) {
        self.allowances.borrow_mut().settle(settlement);
    }

    pub(super) fn report_settlement(
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
}

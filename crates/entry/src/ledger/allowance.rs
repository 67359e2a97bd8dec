//! Tokens for calls while the store is unreachable: held ones, the program's
//! reserve, and last its allowance, which one VM coordinates.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use futures::future::join_all;
use lagoon_gateway::{
    allowance_coordinator, record_holders, AllowanceRecord, AllowanceRequest, AllowanceSettlement,
    ChargeDecision, Connectivity, DeferredCharge, ProgramKey,
};
use lagoon_ids::{FastMap, FastSet};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::ledger::reservation::{TokenReservation, TokenSource};
use crate::ledger::{BudgetClient, TokenRequest};

/// Maximum number of records of allowances in one message. At up to 200 bytes each,
/// they stay well within the maximum size of a message.
const RECORDS_PER_MESSAGE: usize = 500;

/// Time between two attempts to tell other failure domains of allowances.
const TELL_INTERVAL: Duration = Duration::from_millis(200);

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
        if self
            .peer_client
            .forbids_grants(allowance_request.connectivity)
        {
            log::info!(program = allowance_request.program.as_str(); "no allowance, as another failure domain may have granted one");
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
    /// allowances; `false` unless the other VMs that hold the program's record agree.
    async fn may_grant_allowance(&self, program: &ProgramKey, connectivity: Connectivity) -> bool {
        if !self.claim_own(program) {
            return false;
        }
        let is_confirmed = self
            .peer_client
            .confirm_coordinator(program, connectivity, &self.claimant)
            .await;
        if !is_confirmed {
            let mut allowances = self.allowances.borrow_mut();
            allowances.withdraw_claim(program, &self.claimant);
            return false;
        }
        // Another request of the program may have withdrawn the claim meanwhile.
        self.claim_own(program)
    }

    /// Records this VM as the one that is about to grant; `false` if another one is
    /// recorded.
    fn claim_own(&self, program: &ProgramKey) -> bool {
        let now_ms = self.clock.now_ms();
        let mut allowances = self.allowances.borrow_mut();
        allowances.claim_own(program, &self.claimant, now_ms)
    }

    /// Grants no allowance from now on, as this VM is stopping, and passes on what it
    /// knows of allowances.
    pub(crate) fn stop_granting(self: &Rc<Self>) {
        self.allowances.borrow_mut().stop();
        self.peer_client.peers.borrow_mut().set_stopping();
        let records = self.allowances.borrow().records(self.clock.now_ms());
        let budget_client = Rc::clone(self);
        spawn_local(async move { budget_client.hand_over_records(records).await });
    }

    /// Passes on what this VM knows of allowances, and what it granted and could not
    /// charge, before its end. Calls in flight are charged their whole grant.
    pub(crate) async fn hand_over_allowances(&self) {
        let charges = self.allowances.borrow_mut().take_deferred_charges();
        let mut records = self.allowances.borrow().records(self.clock.now_ms());
        records.extend(charges.into_iter().map(|charge| AllowanceRecord {
            program: charge.program.0,
            coordinator: self.claimant.clone(),
            age_ms: 0,
            uncharged_tokens: charge.tokens,
            budget_tokens: charge.budget_tokens,
            max_call_tokens: charge.max_call_tokens,
        }));
        self.hand_over_records(records).await;
    }

    /// Passes the records of programs that a VM of the own failure domain holds on to
    /// it, as it has started and knows nothing yet. Sends nothing if there are none.
    pub(crate) fn share_records(self: &Rc<Self>, name: CompactString) {
        let mut records = self.allowances.borrow().records(self.clock.now_ms());
        let peers = self.peer_client.peers.borrow();
        records.retain(|record| {
            let program = ProgramKey(record.program.clone());
            peers.is_record_holder(&program, &name)
        });
        drop(peers);
        if records.is_empty() {
            return;
        }
        let budget_client = Rc::clone(self);
        spawn_local(async move {
            let unheld = budget_client.send_records(&name, &records).await;
            log::info!(peer = name.as_str(), records = records.len(), unheld = unheld.len(); "passed records of allowances to a VM that started");
        });
    }

    /// Passes records to the VMs that rank next for their programs. The first one that
    /// confirms also writes the charges.
    async fn hand_over_records(&self, records: Vec<AllowanceRecord>) {
        let now_ms = self.clock.now_ms();
        let successors = |record: &AllowanceRecord| {
            let peers = self.peer_client.peers.borrow();
            peers.record_successors(&ProgramKey(record.program.clone()), now_ms)
        };
        let mut uncharged = Vec::new();
        for rank in 0..2 {
            let mut by_vm: FastMap<CompactString, Vec<AllowanceRecord>> = FastMap::default();
            for record in &records {
                let mut record = record.clone();
                let is_charged_by_first = rank > 0 && !uncharged.contains(&record.program);
                if is_charged_by_first {
                    record.uncharged_tokens = 0;
                }
                if let Some(name) = successors(&record).into_iter().nth(rank) {
                    by_vm.entry(name).or_default().push(record);
                }
            }
            let sent = by_vm.iter().map(|(name, records)| async move {
                let unheld = self.send_records(name, records).await;
                (name, unheld)
            });
            uncharged.clear();
            for (name, unheld) in join_all(sent).await {
                if !unheld.is_empty() {
                    log::warn!(peer = name.as_str(), records = unheld.len(); "cannot hand over records of allowances");
                }
                uncharged.extend(unheld);
            }
        }
    }

    /// Has a VM hold records; returns the programs of those that it didn't confirm.
    async fn send_records(&self, name: &str, records: &[AllowanceRecord]) -> Vec<CompactString> {
        let mut unheld = Vec::new();
        for records in records.chunks(RECORDS_PER_MESSAGE) {
            if !self.peer_client.hold_allowances(name, records).await {
                unheld.extend(records.iter().map(|record| record.program.clone()));
            }
        }
        unheld
    }

    /// Holds records of allowances that another VM passes on, and charges what it
    /// granted and could not charge.
    pub(crate) fn hold_allowances(self: &Rc<Self>, records: &[AllowanceRecord]) {
        let now_ms = self.clock.now_ms();
        let is_cut_off = self.connectivity.get() == Connectivity::OwnDomain;
        for record in records {
            let mut allowances = self.allowances.borrow_mut();
            allowances.hold_record(record, now_ms);
            if is_cut_off {
                allowances.set_untold(&ProgramKey(record.program.clone()));
            }
            drop(allowances);
            if let Some(charge) = record.deferred_charge() {
                self.defer_charge(&charge);
            }
        }
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

    /// Agrees that `coordinator`, an incarnation of another VM, grants allowances of a
    /// program, and holds the record of it; `false` if another one is recorded.
    pub(crate) fn agree_to_claim(&self, program: &ProgramKey, coordinator: &str) -> bool {
        let connectivity = self.connectivity.get();
        if self.peer_client.forbids_grants(connectivity) {
            return false;
        }
        let now_ms = self.clock.now_ms();
        let mut allowances = self.allowances.borrow_mut();
        let is_agreed = allowances.claim_coordinator(program, coordinator, now_ms);
        // This VM may be the last of its domain to notice that it is cut off.
        if is_agreed && connectivity != Connectivity::AllDomains {
            allowances.set_untold(program);
        }
        is_agreed
    }

    /// Tells the other failure domains who granted in this one while it was cut off,
    /// as soon as they are in reach. Sends nothing if there is nothing to tell.
    pub(crate) async fn tell_domains(self: Rc<Self>) {
        let mut round = 0;
        loop {
            sleep(TELL_INTERVAL).await;
            let now_ms = self.clock.now_ms();
            let records = self.allowances.borrow().untold_records(now_ms);
            if records.is_empty() {
                continue;
            }
            let domains = self.peer_client.peers.borrow().other_domains();
            let told = domains
                .values()
                .map(|vms| self.tell_domain(vms, &records, round));
            let told = join_all(told).await;
            for record in &records {
                if told.iter().all(|told| told.contains(&record.program)) {
                    let program = ProgramKey(record.program.clone());
                    self.allowances.borrow_mut().set_told(&program);
                }
            }
            round += 1;
        }
    }

    /// Tells the VMs of a failure domain that hold the records of these programs;
    /// returns the programs of which one of them confirmed the record.
    async fn tell_domain(
        &self,
        vms: &[CompactString],
        records: &[AllowanceRecord],
        round: usize,
    ) -> FastSet<CompactString> {
        let mut told = FastSet::default();
        // One VM in turn shows whether the domain is in reach.
        let probed = &vms[round % vms.len()];
        if !self.peer_client.is_in_reach(probed).await {
            return told;
        }
        let names: Vec<&CompactString> = vms.iter().collect();
        let mut by_vm: FastMap<&CompactString, Vec<AllowanceRecord>> = FastMap::default();
        for record in records {
            for name in record_holders(&ProgramKey(record.program.clone()), &names) {
                by_vm.entry(name).or_default().push(record.clone());
            }
        }
        let sent = by_vm.iter().map(|(name, records)| async move {
            let unheld = self.send_records(name, records).await;
            log::info!(peer = name.as_str(), records = records.len(), unheld = unheld.len(); "told of allowances that were granted while cut off");
            let held = records.iter().map(|record| record.program.clone());
            held.filter(|program| !unheld.contains(program))
                .collect::<Vec<_>>()
        });
        for held in join_all(sent).await {
            told.extend(held);
        }
        told
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

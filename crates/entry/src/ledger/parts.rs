//! Parts of budgets, which the homes in each failure domain grant without the store.

use std::rc::Rc;

use compact_str::CompactString;
use lagoon_gateway::{
    may_release_parts_unconfirmed, ChargeDecision, PartHome, PartRelease, PartsGate, PeerEntry,
    ProgramKey, ReserveRequest, Row, StoreCall, StoreReply, BUDGET_PARTS,
};
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::ledger::reservation::{TokenReservation, TokenSource};
use crate::ledger::{BudgetClient, TokenRequest};
use crate::tables::PEER_TABLE;

impl BudgetClient {
    /// Records which builds are listed; what this VM charges depends on it.
    pub(super) fn update_parts_gate(&self) -> PartsGate {
        let lists_older = self.peer_client.peers.borrow_mut().take_lists_older();
        let mut gate = self.parts_gate.get();
        gate.record(lists_older, self.clock.now_ms());
        self.parts_gate.set(gate);
        let charges_parts = gate.charges_parts(self.peer_client.listing_age_ms());
        self.budgets.borrow_mut().set_charges_parts(charges_parts);
        gate
    }

    /// Finds out whether the list of VMs is current, instead of waiting for the end of the
    /// watch of it, which takes up to 30 s. Once after a first start.
    pub(super) async fn check_list(&self) {
        let began_ms = self.clock.now_ms();
        let mut from_key = CompactString::default();
        loop {
            let call = StoreCall::Read {
                table: PEER_TABLE.into(),
                partition: CompactString::default(),
                from_key: from_key.clone(),
            };
            let Ok(StoreReply::Rows { rows, has_more, .. }) = self.store.call(&call).await else {
                return;
            };
            let is_known = |row: &Row| {
                let peers = self.peer_client.peers.borrow();
                let name = &row.key.key;
                let entry = row
                    .value
                    .as_deref()
                    .map(serde_json::from_slice::<PeerEntry>);
                let is_invalid = !matches!(entry, Some(Ok(_)));
                is_invalid || name == peers.own_name() || peers.address(name).is_some()
            };
            if !rows.iter().all(is_known) {
                return;
            }
            if let Some(last) = rows.last() {
                from_key = compact_str::format_compact!("{}\0", last.key.key);
            }
            if !has_more {
                break;
            }
        }
        self.list_checked_ms.set(Some(began_ms));
    }

    /// Whether calls ask for parts, rather than for the reserve of one home.
    pub(super) fn uses_parts(&self) -> bool {
        let gate = self.update_parts_gate();
        gate.charges_parts(self.peer_client.listing_age_ms())
    }

    /// Whether the row of a program charges the parts of the failure domains.
    pub(super) fn has_parts(&self, program: &ProgramKey) -> bool {
        self.budgets.borrow().released_domains(program).is_some()
    }

    /// Charges a call that doesn't fit into the row without parts: has the homes release
    /// them, one after another, until it fits. A home that can't be reached keeps its part.
    pub(super) async fn charge_with_parts(
        self: &Rc<Self>,
        request: &TokenRequest,
        deadline: Instant,
    ) -> Result<TokenReservation, ChargeDecision> {
        let (program, held_tokens) = (&request.program, request.max_tokens);
        // A domain that isn't known yet may have a part that another one seems to have.
        let homes = match self.home_state().knows_domains() {
            true => self.part_homes(program),
            false => Vec::new(),
        };
        for home in homes {
            let released = self.budgets.borrow().released_domains(program);
            if released.is_none_or(|released| released.contains(&home.domain)) {
                continue;
            }
            let Some(granted_tokens) = self.request_part_release(request, &home).await else {
                continue;
            };
            let release = PartRelease {
                domain: home.domain,
                parts: home.parts,
                granted_tokens,
            };
            self.budgets
                .borrow_mut()
                .record_part_release(program, release);
            match self.charge_in_store(request, deadline).await {
                Err(ChargeDecision::ReserveNeeded) => {}
                result => return result,
            }
        }
        if !may_release_parts_unconfirmed(request.budget_tokens, held_tokens) {
            return Err(ChargeDecision::HeldElsewhere { held_tokens });
        }
        // The calls of such a program would be refused until all homes know.
        let release = PartRelease {
            domain: CompactString::default(),
            parts: BUDGET_PARTS,
            granted_tokens: 0,
        };
        self.budgets
            .borrow_mut()
            .record_part_release(program, release);
        self.charge_in_store(request, deadline).await
    }

    /// Has a home release its domain's parts; returns the tokens granted of them, or
    /// `None` if it can't be reached or doesn't know.
    async fn request_part_release(&self, request: &TokenRequest, home: &PartHome) -> Option<u64> {
        let name = home.home.as_ref()?;
        let part_request = request.reserve_request(false);
        let granted_tokens = if self.is_own_name(name) {
            self.release_part(&part_request)
        } else {
            self.peer_client.release_part(name, &part_request).await
        };
        log::debug!(program = request.program.0.as_str(), home = name.as_str(), granted_tokens; "part of a budget released");
        granted_tokens
    }

    /// Takes tokens of a part, of the own failure domain if it has some left; `None` if no
    /// home grants any. Homes that didn't respond last are not asked, and none after one
    /// that doesn't respond, so that a call waits for one timeout at most.
    pub(super) async fn take_part(
        self: &Rc<Self>,
        request: &TokenRequest,
        accepts_fewer: bool,
    ) -> Option<TokenReservation> {
        let program = &request.program;
        let part_request = request.reserve_request(accepts_fewer);
        for home in self.part_homes(program) {
            let Some(name) = home.home.filter(|_| home.responds) else {
                continue;
            };
            let granted_tokens = if self.is_own_name(&name) {
                Some(self.grant_part(&part_request))
            } else {
                self.peer_client.take_part(&name, &part_request).await
            };
            log::info!(program = program.0.as_str(), home = name.as_str(), granted_tokens; "requested tokens of a part");
            let granted_tokens = granted_tokens?;
            if granted_tokens > 0 {
                let source = TokenSource::Part { home: name };
                return Some(TokenReservation::new(self, program, source, granted_tokens));
            }
        }
        None
    }

    /// Grants a call tokens of the parts of this VM's failure domain, and returns their
    /// number; 0 if this VM isn't their home, or too few are left.
    pub(crate) fn grant_part(&self, request: &ReserveRequest) -> u64 {
        let now_ms = self.clock.now_ms();
        let Some(parts) = self.own_parts(request) else {
            return 0;
        };
        // A domain that isn't known yet may have the others.
        let parts = match self.home_state().knows_domains() {
            true => parts,
            false => 1,
        };
        self.parts
            .borrow_mut()
            .grant_of_parts(request, parts, now_ms)
    }

    /// Releases the parts of this VM's failure domain for the program's row, and returns
    /// the tokens granted of them; `None` if this VM isn't their home.
    pub(crate) fn release_part(&self, request: &ReserveRequest) -> Option<u64> {
        let now_ms = self.clock.now_ms();
        self.own_parts(request)
            .filter(|_| self.home_state().knows_domains())?;
        self.parts.borrow_mut().release(request, now_ms)
    }

    /// Takes back tokens of parts that a call did not use.
    pub(crate) fn accept_returned_part(&self, program: &ProgramKey, tokens: u64) {
        self.parts.borrow_mut().return_unused(program, tokens);
    }

    /// Returns unused tokens of parts to their home.
    pub(super) fn return_part(&self, home: CompactString, program: &ProgramKey, tokens: u64) {
        if tokens == 0 {
            return;
        }
        if self.is_own_name(&home) {
            self.accept_returned_part(program, tokens);
            return;
        }
        let (peer_client, program) = (Rc::clone(&self.peer_client), program.clone());
        spawn_local(async move { peer_client.return_part(&home, &program, tokens).await });
    }

    /// Number of the parts of this VM's failure domain; `None` if it isn't their home.
    fn own_parts(&self, request: &ReserveRequest) -> Option<u64> {
        let may_grant = self
            .update_parts_gate()
            .may_grant_parts(self.clock.now_ms());
        if !may_grant || !self.home_state().is_home(request.retention_ms) {
            return None;
        }
        let program = ProgramKey(request.program.clone());
        let homes = self.part_homes(&program).into_iter();
        let own = homes
            .filter_map(|home| Some((home.home?, home.parts)))
            .find(|(name, _)| self.is_own_name(name));
        own.map(|(_, parts)| parts)
    }

    fn part_homes(&self, program: &ProgramKey) -> Vec<PartHome> {
        let now_ms = self.clock.now_ms();
        let mut peers = self.peer_client.peers.borrow_mut();
        peers.part_homes(program, now_ms)
    }
}

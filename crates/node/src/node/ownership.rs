//! Which incarnation owns a family.
//!
//! An identifier that a VM issued names its incarnation. One that a caller
//! chose is claimed by a row of the table. Either way a sealed incarnation's
//! row names the successor, so that no row has to be rewritten at a takeover.

use std::net::SocketAddr;

use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::{FastMap, FastSet, Incarnation, ProgramId};
use lagoon_journal::{
    family_key, incarnation_key, incarnation_prefix, sealed_prefix, IncarnationRow,
    IncarnationState, FAMILY_ENDED,
};
use lagoon_membership::Heartbeat;
use lagoon_platform::{
    Compare, Op, PlatformError, PlatformReply, PlatformRequest, Txn, TxnReply, VmStatus,
};
use lagoon_program::Record;

use crate::constants::{DISCOVERY_INTERVAL_MS, MAX_CACHED_OWNERS};
use crate::node::arrival::PendingCall;
use crate::node::store::StoreUse;
use crate::node::Node;

/// Longest chain of successors that is followed.
const CHAIN_LIMIT: usize = 64;

/// What is known of owners.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ownership {
    /// Whether the own row is in the table.
    pub(crate) registered: bool,
    /// Dead incarnations whose programs have no owner yet, and since when.
    pub(crate) orphans: FastMap<Incarnation, u64>,
    /// Identifiers issued so far.
    pub(crate) issued: u64,
    /// Incarnations whose programs this one has.
    pub(crate) absorbed: FastSet<Incarnation>,
    /// Owners of families that callers named, as last heard.
    claimed: FastMap<String, Incarnation>,
    /// Successors of sealed incarnations.
    successors: FastMap<Incarnation, Incarnation>,
    /// Addresses of incarnations in other failure domains.
    remote: FastMap<Incarnation, SocketAddr>,
    /// Calls that wait for the row of a family.
    claims: FastMap<String, Vec<PendingCall>>,
    /// Calls that wait for the row of an incarnation.
    lookups: FastMap<Incarnation, Vec<PendingCall>>,
}

impl Ownership {
    /// Records that say whose programs this incarnation has.
    pub(crate) fn absorbed_records(&self) -> impl Iterator<Item = Record> + '_ {
        self.absorbed
            .iter()
            .map(|from| Record::Imported { from: from.clone() })
    }

    pub(crate) fn note_owner(&mut self, family: &str, owner: Incarnation) {
        if self.claimed.len() >= MAX_CACHED_OWNERS {
            self.claimed.clear();
        }
        self.claimed.insert(family.to_owned(), owner);
    }

    pub(crate) fn claimed_owner(&self, family: &str) -> Option<&Incarnation> {
        self.claimed.get(family)
    }

    pub(crate) fn is_sealed(&self, incarnation: &Incarnation) -> bool {
        self.successors.contains_key(incarnation)
    }

    /// End of the known chain of successors.
    pub(crate) fn last_successor<'a>(&'a self, owner: &'a Incarnation) -> &'a Incarnation {
        let mut last = owner;
        for _ in 0..CHAIN_LIMIT {
            match self.successors.get(last) {
                Some(successor) => last = successor,
                None => break,
            }
        }
        last
    }

    pub(crate) fn note_successor(&mut self, sealed: Incarnation, by: Incarnation) {
        self.orphans.remove(&sealed);
        self.successors.insert(sealed, by);
    }
}

/// Where a call goes.
#[derive(Clone, Debug)]
pub(crate) enum Route {
    /// This VM owns the program, or may open it.
    Here,
    /// Another VM does.
    To(SocketAddr),
    /// Row of the incarnation has to be read first.
    Lookup(Incarnation),
    /// Nobody can take it now.
    Refuse(CallError),
}

impl Node {
    /// Route of a program's calls.
    pub(super) fn route(&self, program: &ProgramId) -> Route {
        if self.holds_family(program) {
            return Route::Here;
        }
        if let Some(issuer) = program.issuer() {
            return self.resolve(&issuer);
        }
        if let Some(owner) = self.ownership.claimed.get(program.family()) {
            return self.resolve(owner);
        }
        match self.members.assigned_vm(program.family()) {
            Some(vm) if *vm == self.settings.vm => Route::Here,
            Some(vm) => match self.members.get(vm) {
                Some(member) => Route::To(member.peer_address),
                None => Route::Here,
            },
            None => Route::Refuse(CallError::new(
                ErrorKind::Stopping,
                "no VM takes new programs",
            )),
        }
    }

    pub(super) fn holds_family(&self, program: &ProgramId) -> bool {
        let root = program.family().parse::<ProgramId>().ok();
        root.is_some_and(|root| self.programs.find(&root).is_some())
    }

    /// Whether an incarnation's programs are this one's.
    pub(super) fn owns(&self, owner: &Incarnation) -> bool {
        owner == self.incarnation() || self.ownership.absorbed.contains(owner)
    }

    fn resolve(&self, owner: &Incarnation) -> Route {
        let mut owner = owner;
        for _ in 0..CHAIN_LIMIT {
            if self.owns(owner) && !self.is_handed_over() {
                return Route::Here;
            }
            if self.takeovers.contains_key(owner) {
                return Route::Refuse(being_taken_over());
            }
            if let Some((_, member)) = self.members.find_incarnation(owner) {
                if !member.dead {
                    return Route::To(member.peer_address);
                }
            }
            if let Some(address) = self.ownership.remote.get(owner) {
                return Route::To(*address);
            }
            match self.ownership.successors.get(owner) {
                Some(successor) => owner = successor,
                None => return Route::Lookup(owner.clone()),
            }
        }
        Route::Refuse(being_taken_over())
    }

    /// Writes the own row, then learns of the others.
    pub(super) fn discover(&mut self) {
        self.discovery_due_ms = self.now_ms() + DISCOVERY_INTERVAL_MS;
        if !self.ownership.registered {
            self.register();
            return;
        }
        self.request_secret();
        let domain = &self.settings.domain;
        let txn = Txn {
            success: vec![
                Op::Range {
                    prefix: incarnation_prefix(domain),
                },
                Op::Range {
                    prefix: sealed_prefix(self.incarnation()),
                },
            ],
            ..Txn::default()
        };
        self.ask_store(PlatformRequest::Txn(txn), StoreUse::Discover);
        self.ask_store(PlatformRequest::ListVms, StoreUse::Vms);
    }

    fn register(&mut self) {
        let row = self.journal.row();
        let key = incarnation_key(&row.incarnation);
        let txn = Txn {
            compare: vec![Compare::Absent { key: key.clone() }],
            success: vec![Op::Put {
                key: key.clone(),
                value: row.encode(),
            }],
            failure: vec![Op::Get { key }],
        };
        self.ask_store(PlatformRequest::Txn(txn), StoreUse::Register);
    }

    pub(super) fn on_registered(&mut self, reply: Result<TxnReply, PlatformError>) {
        let Ok(reply) = reply else {
            self.discovery_due_ms = self.now_ms() + crate::constants::STORE_RETRY_DELAY_MS;
            return;
        };
        let own = self.journal.row().encode();
        let found_own = reply.rows().any(|row| row.value == own);
        if !reply.succeeded && !found_own {
            log::error!("own incarnation's row belongs to another daemon");
            self.on_duplicate_incarnation();
            return;
        }
        self.ownership.registered = true;
        self.discovery_due_ms = 0;
    }

    fn on_duplicate_incarnation(&mut self) {
        self.emit(crate::effect::Effect::Exit { fenced: true });
    }

    pub(super) fn on_discovered(&mut self, reply: Result<TxnReply, PlatformError>) {
        let Ok(reply) = reply else {
            return;
        };
        let rows = reply.results.first().cloned().unwrap_or_default();
        for row in rows {
            if let Ok(row) = IncarnationRow::decode(&row.value) {
                self.take_row(row);
            }
        }
        let sealed = reply.results.get(1).cloned().unwrap_or_default();
        let prefix = sealed_prefix(self.incarnation());
        for row in sealed {
            let name = row.key.strip_prefix(&prefix).unwrap_or_default();
            if let Ok(incarnation) = name.parse() {
                self.start_takeover(incarnation);
            }
        }
    }

    /// Takes a row of the own failure domain as a first sign of the VM.
    ///
    /// A VM that the row still calls open and that is never heard counts as
    /// dead after the usual silence.
    fn take_row(&mut self, row: IncarnationRow) {
        match row.state {
            IncarnationState::Sealed { .. } if row.incarnation == *self.incarnation() => {
                self.on_own_row_sealed();
            }
            IncarnationState::Open => {
                if self.members.find_incarnation(&row.incarnation).is_some() {
                    return;
                }
                let heartbeat = Heartbeat {
                    vm: row.vm,
                    domain: row.domain,
                    incarnation: row.incarnation.clone(),
                    started_ms: row.started_ms,
                    peer_address: row.peer_address,
                    leaving: false,
                    sheet_version: 0,
                    loads: Vec::new(),
                };
                let changes = self.members.on_heartbeat(&heartbeat, self.now_ms());
                let superseded = self.members.find_incarnation(&row.incarnation).is_none();
                self.on_membership_changes(changes);
                if superseded && row.incarnation != *self.incarnation() {
                    self.on_dead(row.incarnation);
                }
            }
            IncarnationState::Sealed { by } => {
                self.ownership.note_successor(row.incarnation, by);
            }
        }
    }

    pub(super) fn on_vms(&mut self, reply: Result<PlatformReply, PlatformError>) {
        let Ok(PlatformReply::VmList(vms)) = reply else {
            return;
        };
        self.set_commit_interval(vms.len());
        let leaving = vms.iter().filter(|vm| vm.status == VmStatus::Stopping);
        let mut changes = Vec::new();
        for vm in leaving {
            changes.extend(self.members.on_leaving(&vm.name));
        }
        self.on_membership_changes(changes);
    }

    /// Lets a call wait for the row that names its family's owner.
    pub(super) fn look_up_family(&mut self, pending: PendingCall) {
        let family = pending.request.key.program.family().to_owned();
        let first = !self.ownership.claims.contains_key(&family);
        let queued = self.ownership.claims.entry(family.clone()).or_default();
        queued.push(pending);
        if first {
            let txn = Txn {
                success: vec![Op::Get {
                    key: family_key(&family),
                }],
                ..Txn::default()
            };
            self.ask_store(PlatformRequest::Txn(txn), StoreUse::Family(family));
        }
    }

    pub(super) fn on_family(&mut self, family: &str, reply: Result<TxnReply, PlatformError>) {
        let pending = self.ownership.claims.remove(family).unwrap_or_default();
        let error = match reply {
            Err(error) => Some(CallError::new(
                ErrorKind::OwnerUnreachable,
                error.to_string(),
            )),
            Ok(reply) => self.learn_family(family, reply.value(&family_key(family))),
        };
        for mut call in pending {
            call.owner_looked_up = true;
            match &error {
                Some(error) => self.fail_pending(call, error.clone()),
                None => self.route_call(call),
            }
        }
    }

    /// Learns a family's owner from its row; a refusal says why there is none.
    fn learn_family(&mut self, family: &str, row: Option<&[u8]>) -> Option<CallError> {
        let row = row?;
        if row == FAMILY_ENDED {
            let detail = format!("program {family} has ended");
            return Some(CallError::new(ErrorKind::ProgramEnded, detail));
        }
        let owner = std::str::from_utf8(row)
            .ok()
            .and_then(|text| text.parse().ok());
        if let Some(owner) = owner {
            self.ownership.note_owner(family, owner);
        }
        None
    }

    /// Lets a call wait for the row of an incarnation.
    pub(super) fn look_up(&mut self, incarnation: Incarnation, pending: PendingCall) {
        let first = !self.ownership.lookups.contains_key(&incarnation);
        let queued = self
            .ownership
            .lookups
            .entry(incarnation.clone())
            .or_default();
        queued.push(pending);
        if first {
            let txn = Txn {
                success: vec![Op::Get {
                    key: incarnation_key(&incarnation),
                }],
                ..Txn::default()
            };
            self.ask_store(PlatformRequest::Txn(txn), StoreUse::Lookup(incarnation));
        }
    }

    pub(super) fn on_lookup(
        &mut self,
        incarnation: &Incarnation,
        reply: Result<TxnReply, PlatformError>,
    ) {
        let pending = self
            .ownership
            .lookups
            .remove(incarnation)
            .unwrap_or_default();
        let error = match reply {
            Err(error) => Some(CallError::new(
                ErrorKind::OwnerUnreachable,
                error.to_string(),
            )),
            Ok(reply) => {
                let row = reply
                    .rows()
                    .next()
                    .map(|row| IncarnationRow::decode(&row.value));
                self.learn_row(incarnation, row.and_then(Result::ok))
            }
        };
        for call in pending {
            match &error {
                Some(error) => self.fail_pending(call, error.clone()),
                None => self.route_call(call),
            }
        }
    }

    /// Learns an owner from its row; a refusal says why it can't be reached.
    fn learn_row(
        &mut self,
        incarnation: &Incarnation,
        row: Option<IncarnationRow>,
    ) -> Option<CallError> {
        let Some(row) = row else {
            let detail = format!("{incarnation} never was a VM here");
            return Some(CallError::new(ErrorKind::UnknownProgram, detail));
        };
        match row.state {
            IncarnationState::Sealed { by } => {
                self.ownership.note_successor(incarnation.clone(), by);
                None
            }
            IncarnationState::Open if row.domain != self.settings.domain => {
                self.ownership
                    .remote
                    .insert(incarnation.clone(), row.peer_address);
                None
            }
            IncarnationState::Open => {
                self.take_row(row);
                Some(being_taken_over())
            }
        }
    }

    /// Forgets the address of a remote owner that does not answer.
    pub(super) fn forget_remote(&mut self, address: SocketAddr) {
        self.ownership.remote.retain(|_, known| *known != address);
    }
}

fn being_taken_over() -> CallError {
    CallError::new(
        ErrorKind::OwnerUnreachable,
        "program's owner is gone and its successor is not ready yet",
    )
    .with_retry_after_s(1)
}

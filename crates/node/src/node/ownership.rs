//! Ownership of program families by incarnations.
//!
//! An identifier issued by a VM contains the owner's incarnation. An identifier
//! chosen by a caller is claimed with a family row, which names the owner's
//! incarnation. In both cases the row of a sealed incarnation names its
//! successor, so a takeover rewrites no family rows.

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
use crate::node::store::StorePurpose;
use crate::node::Node;

/// Maximum number of successors followed to find an owner.
const MAX_SUCCESSOR_CHAIN: usize = 64;

/// Registration and takeovers of this incarnation, cached owners of program families,
/// and calls that wait for the lookup of an owner.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ownership {
    /// Whether this incarnation's row is in the table.
    pub(crate) registered: bool,
    /// Dead incarnations that are not taken over yet, with the time in milliseconds at which
    /// this VM learned that they are dead.
    pub(crate) orphans: FastMap<Incarnation, u64>,
    /// Number of program identifiers issued by this incarnation.
    pub(crate) issued: u64,
    /// Incarnations whose programs this one has imported.
    pub(crate) imported: FastSet<Incarnation>,
    /// Last known owners of families whose identifiers callers chose.
    family_owners: FastMap<String, Incarnation>,
    /// Sealed incarnations, each with the incarnation that sealed it.
    successors: FastMap<Incarnation, Incarnation>,
    /// Addresses of incarnations in other failure domains.
    remote_addresses: FastMap<Incarnation, SocketAddr>,
    /// Calls waiting for the row that names their family's owner.
    family_lookups: FastMap<String, Vec<PendingCall>>,
    /// Calls waiting for the row of the incarnation that owned their program.
    incarnation_lookups: FastMap<Incarnation, Vec<PendingCall>>,
}

impl Ownership {
    /// Returns an `Imported` record for each imported incarnation, for a snapshot.
    pub(crate) fn imported_records(&self) -> impl Iterator<Item = Record> + '_ {
        self.imported
            .iter()
            .map(|from| Record::Imported { from: from.clone() })
    }

    pub(crate) fn cache_owner(&mut self, family: &str, owner: Incarnation) {
        if self.family_owners.len() >= MAX_CACHED_OWNERS {
            self.family_owners.clear();
        }
        self.family_owners.insert(family.to_owned(), owner);
    }

    pub(crate) fn cached_owner(&self, family: &str) -> Option<&Incarnation> {
        self.family_owners.get(family)
    }

    pub(crate) fn is_sealed(&self, incarnation: &Incarnation) -> bool {
        self.successors.contains_key(incarnation)
    }

    /// Follows the known successors to the current owner.
    pub(crate) fn final_successor<'a>(&'a self, owner: &'a Incarnation) -> &'a Incarnation {
        let mut last = owner;
        for _ in 0..MAX_SUCCESSOR_CHAIN {
            match self.successors.get(last) {
                Some(successor) => last = successor,
                None => break,
            }
        }
        last
    }

    pub(crate) fn record_successor(&mut self, sealed: Incarnation, by: Incarnation) {
        self.orphans.remove(&sealed);
        self.successors.insert(sealed, by);
    }
}

/// Destination of a call.
#[derive(Clone, Debug)]
pub(crate) enum Route {
    /// This VM owns the program or may open it.
    Local,
    /// Another VM, at this address, owns the program or may open it.
    Peer(SocketAddr),
    /// The row of this incarnation must be read first.
    Lookup(Incarnation),
    /// No VM can accept the call at present.
    Reject(CallError),
}

impl Node {
    /// Returns the destination of a program's calls.
    pub(super) fn route(&self, program: &ProgramId) -> Route {
        if self.has_family(program) {
            return Route::Local;
        }
        if let Some(issuer) = program.issuer() {
            return self.resolve(&issuer);
        }
        if let Some(owner) = self.ownership.family_owners.get(program.family()) {
            return self.resolve(owner);
        }
        match self.members.assigned_vm(program.family()) {
            Some(vm) if *vm == self.settings.vm => Route::Local,
            Some(vm) => match self.members.get(vm) {
                Some(member) => Route::Peer(member.peer_address),
                None => Route::Local,
            },
            None => Route::Reject(CallError::new(
                ErrorKind::Stopping,
                "no VM takes new programs",
            )),
        }
    }

    pub(super) fn has_family(&self, program: &ProgramId) -> bool {
        let root = program.family().parse::<ProgramId>().ok();
        root.is_some_and(|root| self.programs.find(&root).is_some())
    }

    /// Whether the programs of an incarnation belong to this one.
    pub(super) fn owns(&self, owner: &Incarnation) -> bool {
        owner == self.incarnation() || self.ownership.imported.contains(owner)
    }

    /// Returns the destination of calls to programs of `owner`, following its successors.
    fn resolve(&self, owner: &Incarnation) -> Route {
        let mut owner = owner;
        for _ in 0..MAX_SUCCESSOR_CHAIN {
            if self.owns(owner) && !self.is_handed_over() {
                return Route::Local;
            }
            if self.takeovers.contains_key(owner) {
                return Route::Reject(takeover_in_progress());
            }
            if let Some((_, member)) = self.members.find_incarnation(owner) {
                if !member.dead {
                    return Route::Peer(member.peer_address);
                }
            }
            if let Some(address) = self.ownership.remote_addresses.get(owner) {
                return Route::Peer(*address);
            }
            match self.ownership.successors.get(owner) {
                Some(successor) => owner = successor,
                None => return Route::Lookup(owner.clone()),
            }
        }
        Route::Reject(takeover_in_progress())
    }

    /// Registers this incarnation. Once it is registered, reads the incarnation rows, the VM
    /// list and, if still unknown, the shared secret.
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
        self.send_store_request(PlatformRequest::Txn(txn), StorePurpose::ReadIncarnations);
        self.send_store_request(PlatformRequest::ListVms, StorePurpose::ListVms);
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
        self.send_store_request(PlatformRequest::Txn(txn), StorePurpose::Register);
    }

    pub(super) fn on_registered(&mut self, reply: Result<TxnReply, PlatformError>) {
        let Ok(reply) = reply else {
            self.discovery_due_ms = self.now_ms() + crate::constants::STORE_RETRY_DELAY_MS;
            return;
        };
        let own_row = self.journal.row().encode();
        let own_row_stored = reply.rows().any(|row| row.value == own_row);
        if !reply.succeeded && !own_row_stored {
            log::error!("incarnation row was written by another daemon; exiting");
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
                self.apply_incarnation_row(row);
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

    /// Applies an incarnation row of this failure domain.
    ///
    /// An open row of an unknown incarnation counts as its first heartbeat, so it is declared
    /// dead after the usual timeout if no heartbeat follows.
    fn apply_incarnation_row(&mut self, row: IncarnationRow) {
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
                // The row is not applied if a later incarnation of its VM, which may be this VM,
                // is known.
                let superseded = self.members.find_incarnation(&row.incarnation).is_none();
                self.on_membership_changes(changes);
                if superseded && row.incarnation != *self.incarnation() {
                    self.on_incarnation_dead(row.incarnation);
                }
            }
            IncarnationState::Sealed { by } => {
                self.ownership.record_successor(row.incarnation, by);
            }
        }
    }

    pub(super) fn on_vm_list(&mut self, reply: Result<PlatformReply, PlatformError>) {
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

    /// Reads the row that names a family's owner; the call waits for the reply.
    pub(super) fn look_up_family(&mut self, pending: PendingCall) {
        let family = pending.request.key.program.family().to_owned();
        let first = !self.ownership.family_lookups.contains_key(&family);
        let queued = self
            .ownership
            .family_lookups
            .entry(family.clone())
            .or_default();
        queued.push(pending);
        if first {
            let txn = Txn {
                success: vec![Op::Get {
                    key: family_key(&family),
                }],
                ..Txn::default()
            };
            self.send_store_request(PlatformRequest::Txn(txn), StorePurpose::ReadFamily(family));
        }
    }

    pub(super) fn on_family_row(&mut self, family: &str, reply: Result<TxnReply, PlatformError>) {
        let pending = self
            .ownership
            .family_lookups
            .remove(family)
            .unwrap_or_default();
        let error = match reply {
            Err(error) => Some(CallError::new(
                ErrorKind::OwnerUnreachable,
                error.to_string(),
            )),
            Ok(reply) => self.apply_family_row(family, reply.value(&family_key(family))),
        };
        for mut call in pending {
            call.owner_looked_up = true;
            match &error {
                Some(error) => self.fail_pending(call, error.clone()),
                None => self.route_call(call),
            }
        }
    }

    /// Caches a family's owner from its row; returns an error if the family has ended.
    fn apply_family_row(&mut self, family: &str, row: Option<&[u8]>) -> Option<CallError> {
        let row = row?;
        if row == FAMILY_ENDED {
            let detail = format!("program {family} has ended");
            return Some(CallError::new(ErrorKind::ProgramEnded, detail));
        }
        let owner = std::str::from_utf8(row)
            .ok()
            .and_then(|text| text.parse().ok());
        if let Some(owner) = owner {
            self.ownership.cache_owner(family, owner);
        }
        None
    }

    /// Reads the row of an incarnation; the call waits for the reply.
    pub(super) fn look_up_incarnation(&mut self, incarnation: Incarnation, pending: PendingCall) {
        let first = !self
            .ownership
            .incarnation_lookups
            .contains_key(&incarnation);
        let queued = self
            .ownership
            .incarnation_lookups
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
            self.send_store_request(
                PlatformRequest::Txn(txn),
                StorePurpose::ReadOwner(incarnation),
            );
        }
    }

    pub(super) fn on_owner_row(
        &mut self,
        incarnation: &Incarnation,
        reply: Result<TxnReply, PlatformError>,
    ) {
        let pending = self
            .ownership
            .incarnation_lookups
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
                self.apply_owner_row(incarnation, row.and_then(Result::ok))
            }
        };
        for call in pending {
            match &error {
                Some(error) => self.fail_pending(call, error.clone()),
                None => self.route_call(call),
            }
        }
    }

    /// Applies the row of an owner; returns an error if no VM can serve its programs at
    /// present.
    fn apply_owner_row(
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
                self.ownership.record_successor(incarnation.clone(), by);
                None
            }
            IncarnationState::Open if row.domain != self.settings.domain => {
                self.ownership
                    .remote_addresses
                    .insert(incarnation.clone(), row.peer_address);
                None
            }
            IncarnationState::Open => {
                self.apply_incarnation_row(row);
                Some(takeover_in_progress())
            }
        }
    }

    /// Drops the cached address of an unresponsive owner in another failure domain, so that
    /// the owner's row is read again.
    pub(super) fn drop_remote_address(&mut self, address: SocketAddr) {
        self.ownership
            .remote_addresses
            .retain(|_, known| *known != address);
    }
}

fn takeover_in_progress() -> CallError {
    CallError::new(
        ErrorKind::OwnerUnreachable,
        "program's owner is gone and its successor is not ready yet",
    )
    .with_retry_after_s(1)
}

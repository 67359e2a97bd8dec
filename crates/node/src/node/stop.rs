//! Planned stop.
//!
//! Readiness goes first. Calls under way finish, the journal becomes
//! durable, then the own row is sealed in favour of a successor. Calls that
//! arrive from then on are forwarded to it until none is left.

use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::VmName;
use lagoon_journal::{seal_txn, IncarnationRow, IncarnationState};
use lagoon_platform::{PlatformError, PlatformRequest, TxnReply};
use lagoon_program::{Programs, Record, ResourceAmounts};

use crate::constants::STORE_RETRY_DELAY_MS;
use crate::effect::Effect;
use crate::message::PeerMessage;
use crate::node::arrival::PendingCall;
use crate::node::store::StoreUse;
use crate::node::Node;

/// Time during which programs under way may still make calls here.
const ACCEPT_MS: u64 = 3_000;

/// Planned stop under way.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stopping {
    since_ms: u64,
    held: Vec<PendingCall>,
    unreserved: bool,
    asked: bool,
    due_ms: u64,
    successor: Option<VmName>,
    handed_over: bool,
    exited: bool,
}

impl Node {
    pub(super) fn on_stop(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        log::info!("planned stop begins");
        self.members.leave();
        self.stopping = Some(Stopping {
            since_ms: self.now_ms(),
            ..Stopping::default()
        });
        self.update_readiness();
        self.send_heartbeats();
        self.check_stop();
    }

    pub(super) fn is_handed_over(&self) -> bool {
        self.stopping
            .as_ref()
            .is_some_and(|stopping| stopping.handed_over)
    }

    /// Whether a call of a held program has to wait for the handover.
    pub(super) fn hold_for_stop(&mut self, pending: PendingCall) -> Option<PendingCall> {
        let now_ms = self.now_ms();
        match &mut self.stopping {
            Some(stopping) if !stopping.handed_over && now_ms >= stopping.since_ms + ACCEPT_MS => {
                stopping.held.push(pending);
                None
            }
            _ => Some(pending),
        }
    }

    pub(super) fn check_stop(&mut self) {
        let now_ms = self.now_ms();
        let Some(stopping) = &self.stopping else {
            return;
        };
        if stopping.exited {
            return;
        }
        let late = now_ms >= stopping.since_ms + self.settings.stop_wait_ms;
        let quiet = self.calls.is_empty() && self.takeovers.is_empty();
        if stopping.handed_over || late {
            if self.forwards.is_empty() || late {
                self.exit();
            }
            return;
        }
        if !quiet {
            return;
        }
        if !self.ownership.registered {
            self.exit();
            return;
        }
        if self.store_unavailable && self.journal.is_idle() {
            // Nothing is left that only this VM knows; a successor finds
            // the open row and takes over as after a death.
            self.exit();
            return;
        }
        self.unreserve();
        if self.journal.is_idle() {
            self.seal_own();
        }
    }

    /// Gives reserves back, so that the successor charges nothing for them.
    fn unreserve(&mut self) {
        let Some(stopping) = &mut self.stopping else {
            return;
        };
        if std::mem::replace(&mut stopping.unreserved, true) {
            return;
        }
        let records: Vec<Record> = self
            .programs
            .iter()
            .filter(|(_, program)| program.reserve.durable != ResourceAmounts::default())
            .map(|(_, program)| Record::ReserveReleased {
                root: program.id.clone(),
            })
            .collect();
        if records.is_empty() {
            return;
        }
        for record in &records {
            self.programs.apply(record);
        }
        self.append_records(records, None);
    }

    fn seal_own(&mut self) {
        let now_ms = self.now_ms();
        let Some(successor) = self.open_successor() else {
            // Nobody is left in the failure domain; the next VM finds the row.
            self.exit();
            return;
        };
        let Some(stopping) = &mut self.stopping else {
            return;
        };
        if stopping.asked || now_ms < stopping.due_ms {
            return;
        }
        stopping.asked = true;
        stopping.successor = Some(successor.vm.clone());
        let txn = seal_txn(self.journal.row(), &successor);
        self.ask_store(PlatformRequest::Txn(txn), StoreUse::SealOwn);
    }

    /// Row of the VM that the programs fall to, as it is while it is open.
    fn open_successor(&self) -> Option<IncarnationRow> {
        let vm = self.members.assigned_vm(self.incarnation().as_str())?;
        let member = self.members.get(vm)?;
        Some(IncarnationRow {
            incarnation: member.incarnation.clone(),
            vm: vm.clone(),
            domain: self.settings.domain.clone(),
            started_ms: member.started_ms,
            peer_address: member.peer_address,
            state: IncarnationState::Open,
        })
    }

    /// Turns away from a successor whose row is no longer open.
    fn give_up_successor(&mut self) {
        let successor = self
            .stopping
            .as_mut()
            .and_then(|stopping| stopping.successor.take());
        if let Some(vm) = successor {
            let changes = self.members.on_leaving(&vm);
            self.on_membership_changes(changes);
        }
        self.check_stop();
    }

    pub(super) fn on_sealed_own(&mut self, reply: Result<TxnReply, PlatformError>) {
        let again_ms = self.now_ms() + STORE_RETRY_DELAY_MS;
        let Some(stopping) = &mut self.stopping else {
            return;
        };
        stopping.asked = false;
        stopping.due_ms = again_ms;
        let Ok(reply) = reply else {
            return;
        };
        let own = self.journal.row().encode();
        if !reply.succeeded && reply.rows().any(|row| row.value == own) {
            self.give_up_successor();
            return;
        }
        // Sealed now, by an earlier try, or by a VM that held this one for
        // dead: the programs have another owner in each case.
        stopping.handed_over = true;
        let held = std::mem::take(&mut stopping.held);
        let successor = stopping.successor.clone();
        let own = self.incarnation().clone();
        let member = successor.and_then(|vm| self.members.get(&vm)).cloned();
        self.programs = Programs::default();
        if let Some(member) = member {
            log::info!(successor = member.incarnation.as_str(); "programs handed over");
            self.ownership
                .record_successor(own.clone(), member.incarnation.clone());
            self.send(
                member.peer_address,
                PeerMessage::Handover { incarnation: own },
            );
        }
        for pending in held {
            self.route_call(pending);
        }
        self.check_stop();
    }

    /// Own row is sealed: by a planned stop, or by a VM that held this one
    /// for dead while it was paused or cut off.
    pub(super) fn on_own_row_sealed(&mut self) {
        let planned = self
            .stopping
            .as_ref()
            .is_some_and(|stopping| stopping.asked || stopping.handed_over);
        if !planned {
            self.on_fenced();
        }
    }

    fn exit(&mut self) {
        let held = match &mut self.stopping {
            Some(stopping) => {
                stopping.exited = true;
                std::mem::take(&mut stopping.held)
            }
            None => Vec::new(),
        };
        for pending in held {
            let error = CallError::new(ErrorKind::Stopping, "VM stops without a successor");
            self.fail_pending(pending, error);
        }
        self.emit(Effect::Exit { fenced: false });
    }
}

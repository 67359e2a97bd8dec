//! Planned stop: drain and handover to a successor.
//!
//! The VM reports not ready, finishes the calls in flight and commits the
//! journal. It then seals its own incarnation row in favour of a successor and
//! forwards later calls there until none is left.

use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::VmName;
use lagoon_journal::{seal_txn, IncarnationRow, IncarnationState};
use lagoon_platform::{PlatformError, PlatformRequest, TxnReply};
use lagoon_program::{Programs, Record, ResourceAmounts};

use crate::constants::STORE_RETRY_DELAY_MS;
use crate::effect::Effect;
use crate::message::PeerMessage;
use crate::node::arrival::PendingCall;
use crate::node::store::StorePurpose;
use crate::node::Node;

/// Time from the start of a planned stop during which programs may make
/// further calls here; later calls wait for the handover.
const STOP_ACCEPT_MS: u64 = 3_000;

/// Progress of a planned stop, from the request to the exit of the daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlannedStop {
    started_ms: u64,
    /// Calls that arrived after the accept period, to be routed after the handover.
    held_calls: Vec<PendingCall>,
    reserves_released: bool,
    seal_in_flight: bool,
    /// Time from which the seal of this VM's own row may be attempted again.
    seal_due_ms: u64,
    successor: Option<VmName>,
    handed_over: bool,
    exited: bool,
}

impl Node {
    pub(super) fn on_stop(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        log::info!("planned stop started");
        self.members.leave();
        self.stopping = Some(PlannedStop {
            started_ms: self.now_ms(),
            ..PlannedStop::default()
        });
        self.update_readiness();
        self.send_heartbeats();
        self.advance_stop();
    }

    pub(super) fn is_handed_over(&self) -> bool {
        self.stopping
            .as_ref()
            .is_some_and(|stopping| stopping.handed_over)
    }

    /// Holds a call for the handover once the accept period of a stop is over.
    ///
    /// Otherwise returns the call.
    pub(super) fn hold_until_handover(&mut self, pending: PendingCall) -> Option<PendingCall> {
        let now_ms = self.now_ms();
        match &mut self.stopping {
            Some(stopping)
                if !stopping.handed_over && now_ms >= stopping.started_ms + STOP_ACCEPT_MS =>
            {
                stopping.held_calls.push(pending);
                None
            }
            _ => Some(pending),
        }
    }

    pub(super) fn advance_stop(&mut self) {
        let now_ms = self.now_ms();
        let Some(stopping) = &self.stopping else {
            return;
        };
        if stopping.exited {
            return;
        }
        let timed_out = now_ms >= stopping.started_ms + self.settings.stop_wait_ms;
        let drained = self.calls.is_empty() && self.carrying.is_idle() && self.takeovers.is_empty();
        if stopping.handed_over || timed_out {
            if self.forwards.is_empty() || timed_out {
                self.exit();
            }
            return;
        }
        if !drained {
            return;
        }
        if !self.ownership.registered {
            self.exit();
            return;
        }
        if self.store_unavailable && self.journal.is_idle() {
            // All records of this VM are durable, so a successor that finds the
            // open row takes over as after a crash.
            self.exit();
            return;
        }
        self.release_reserves();
        if self.journal.is_idle() {
            self.seal_own_row();
        }
    }

    /// Releases all reservations, since a successor counts the remaining ones as spent.
    fn release_reserves(&mut self) {
        let Some(stopping) = &mut self.stopping else {
            return;
        };
        if std::mem::replace(&mut stopping.reserves_released, true) {
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

    fn seal_own_row(&mut self) {
        let now_ms = self.now_ms();
        let Some(successor) = self.successor_row() else {
            // No other VM is live in the failure domain; the next one to
            // start finds the open row and takes over.
            self.exit();
            return;
        };
        let Some(stopping) = &mut self.stopping else {
            return;
        };
        if stopping.seal_in_flight || now_ms < stopping.seal_due_ms {
            return;
        }
        stopping.seal_in_flight = true;
        stopping.successor = Some(successor.vm.clone());
        let txn = seal_txn(self.journal.row(), &successor);
        self.send_store_request(PlatformRequest::Txn(txn), StorePurpose::SealOwnRow);
    }

    /// Returns the incarnation row of the VM that inherits the programs, as it is stored while
    /// that incarnation is open; `None` if no other VM is live.
    fn successor_row(&self) -> Option<IncarnationRow> {
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

    /// Marks a successor whose row is not open as leaving and chooses another one.
    fn replace_successor(&mut self) {
        let successor = self
            .stopping
            .as_mut()
            .and_then(|stopping| stopping.successor.take());
        if let Some(vm) = successor {
            let changes = self.members.on_leaving(&vm);
            self.on_membership_changes(changes);
        }
        self.advance_stop();
    }

    pub(super) fn on_own_row_seal_reply(&mut self, reply: Result<TxnReply, PlatformError>) {
        let retry_ms = self.now_ms() + STORE_RETRY_DELAY_MS;
        let Some(stopping) = &mut self.stopping else {
            return;
        };
        stopping.seal_in_flight = false;
        stopping.seal_due_ms = retry_ms;
        let Ok(reply) = reply else {
            return;
        };
        let own_row = self.journal.row().encode();
        if !reply.succeeded && reply.rows().any(|row| row.value == own_row) {
            self.replace_successor();
            return;
        }
        // The row was sealed by this request, by an earlier attempt, or by a VM
        // that declared this one dead: in each case the programs have another owner.
        stopping.handed_over = true;
        let held = std::mem::take(&mut stopping.held_calls);
        let successor = stopping.successor.clone();
        let own_incarnation = self.incarnation().clone();
        let member = successor.and_then(|vm| self.members.get(&vm)).cloned();
        self.programs = Programs::default();
        if let Some(member) = member {
            log::info!(successor = member.incarnation.as_str(); "programs handed over to successor");
            self.ownership
                .record_successor(own_incarnation.clone(), member.incarnation.clone());
            self.send(
                member.peer_address,
                PeerMessage::Handover {
                    incarnation: own_incarnation,
                },
            );
        }
        for pending in held {
            self.route_call(pending);
        }
        self.advance_stop();
    }

    /// Handles the discovery that this incarnation's row is sealed: by the planned stop of this
    /// VM, or by another VM that declared this one dead while it was paused or partitioned.
    pub(super) fn on_own_row_sealed(&mut self) {
        let planned = self
            .stopping
            .as_ref()
            .is_some_and(|stopping| stopping.seal_in_flight || stopping.handed_over);
        if !planned {
            self.on_fenced();
        }
    }

    fn exit(&mut self) {
        let held = match &mut self.stopping {
            Some(stopping) => {
                stopping.exited = true;
                std::mem::take(&mut stopping.held_calls)
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

//! The carrier's side: attempts of other VMs that this one sends to their targets.

use std::net::SocketAddr;

use lagoon_ids::{TargetName, VmName};
use lagoon_paths::{Decline, Loss, Way};

use super::{effect_of, log_changes, Carried, REQUEST_MEMORY_MS, START_WINDOW_MS};
use crate::effect::Effect;
use crate::event::{AttemptFailure, AttemptId, TargetEvent};
use crate::message::{CarriedRequest, CarryEvent, PeerMessage};
use crate::node::limits::run_id;
use crate::node::Node;

impl Node {
    /// Handles an attempt of another VM.
    pub(in crate::node) fn on_carry(&mut self, request: CarriedRequest) {
        // A request for an earlier incarnation may have been carried by it.
        if request.carrier != *self.incarnation() {
            return;
        }
        let now_ms = self.now_ms();
        let key = (request.origin.clone(), request.id);
        let is_known = self.carrying.known.contains_key(&key);
        self.carrying.known.insert(key, now_ms + REQUEST_MEMORY_MS);
        if is_known {
            let mut carried = self.carrying.carried.values();
            let is_same = |c: &Carried| c.origin == request.origin && c.id == request.id;
            let key = (request.origin.clone(), request.id);
            let is_offered = self.carrying.offered.contains_key(&key);
            let event = match is_offered || carried.any(is_same) {
                true => CarryEvent::Accepted,
                false => CarryEvent::Ended,
            };
            self.reply_to_carry(&request, 0, event);
            return;
        }
        let address = self.target_address(&request.target);
        let run = run_id(&request.target);
        let way = self.carrying.paths.way(run);
        let decline = match address {
            _ if self.stopping.is_some() => Some(Decline::NoRoom),
            None => Some(Decline::UnknownTarget),
            Some(_) if way != Way::Direct => Some(self.no_path()),
            Some(_) => None,
        };
        if let (Some(address), true) = (address, way != Way::Direct) {
            if self.carrying.paths.take_probe(run, now_ms) {
                self.probe_path(request.target.clone(), address);
            }
        }
        if let Some(decline) = decline {
            self.reply_to_carry(&request, 0, CarryEvent::Declined(decline));
            return;
        }
        self.reply_to_carry(&request, 0, CarryEvent::Accepted);
        let key = (request.origin.clone(), request.id);
        self.carrying.offered.insert(key, (request, now_ms));
    }

    /// Sends an accepted attempt to its target, unless that comes too late.
    pub(in crate::node) fn on_start_carry(&mut self, origin: VmName, id: u64) {
        let now_ms = self.now_ms();
        let Some((request, accepted_ms)) = self.carrying.offered.remove(&(origin, id)) else {
            return;
        };
        let address = self.target_address(&request.target);
        let is_late = now_ms >= accepted_ms + START_WINDOW_MS;
        let (Some(address), false) = (address, is_late) else {
            self.reply_to_carry(&request, 1, CarryEvent::Declined(Decline::NoRoom));
            return;
        };
        let attempt = AttemptId(self.next_id());
        log::info!(
            target = request.target.as_str(),
            origin = request.origin.as_str(),
            attempt = request.attempt.to_string();
            "attempt carried for another VM"
        );
        let run = run_id(&request.target);
        let carried = Carried {
            id: request.id,
            origin: request.origin,
            origin_address: request.origin_address,
            target: request.target.clone(),
            address,
            next_sequence: 1,
        };
        self.carrying.carried.insert(attempt, carried);
        self.carrying.paths.attempt_started(run, 0, now_ms);
        let effect = effect_of(request.work, attempt, request.target, address);
        self.emit(effect);
    }

    /// Why this VM, which has no path to a target, doesn't carry.
    fn no_path(&self) -> Decline {
        match self.carrying.paths.is_cut_off() {
            true => Decline::Isolated,
            false => Decline::NoPath,
        }
    }

    fn reply_to_carry(&mut self, request: &CarriedRequest, sequence: u64, event: CarryEvent) {
        let id = request.id;
        let message = PeerMessage::CarryEvent {
            id,
            sequence,
            event,
        };
        self.send(request.origin_address, message);
    }

    /// Passes on an event of an attempt that this VM carries; `false` if the attempt is
    /// its own.
    pub(in crate::node) fn pass_on_event(
        &mut self,
        attempt: AttemptId,
        event: &TargetEvent,
    ) -> bool {
        let Some(mut carried) = self.carrying.carried.remove(&attempt) else {
            return false;
        };
        let now_ms = self.now_ms();
        let run = run_id(&carried.target);
        let event = match event {
            TargetEvent::Failed {
                failure: AttemptFailure::NotConnected,
                ..
            } => {
                let paths = &mut self.carrying.paths;
                log_changes(paths.record_failed(run, Loss::TimedOut, now_ms));
                match paths.reaches_others(run, now_ms) {
                    true => CarryEvent::TargetDown,
                    false => CarryEvent::Declined(self.no_path()),
                }
            }
            event => {
                self.record_heard(&carried.target, event);
                CarryEvent::Target(event.clone())
            }
        };
        let is_last = event.is_last();
        let message = PeerMessage::CarryEvent {
            id: carried.id,
            sequence: carried.next_sequence,
            event,
        };
        carried.next_sequence += 1;
        self.send(carried.origin_address, message);
        match is_last {
            true => self.carrying.paths.attempt_ended(run),
            false => {
                self.carrying.carried.insert(attempt, carried);
            }
        }
        true
    }

    /// Ends an attempt that this VM carries.
    pub(in crate::node) fn on_cancel_carry(&mut self, origin: &VmName, id: u64) {
        let now_ms = self.now_ms();
        // A request that comes late must not be carried any more.
        let forgotten_ms = now_ms + REQUEST_MEMORY_MS;
        self.carrying
            .known
            .insert((origin.clone(), id), forgotten_ms);
        self.carrying.offered.remove(&(origin.clone(), id));
        let mut carried = self.carrying.carried.iter();
        let found = carried.find(|(_, carried)| carried.id == id && carried.origin == *origin);
        let attempt = found.map(|(attempt, _)| *attempt);
        if let Some(attempt) = attempt {
            self.cancel_carried(attempt);
        }
    }

    pub(super) fn cancel_carried(&mut self, attempt: AttemptId) {
        let Some(carried) = self.carrying.carried.remove(&attempt) else {
            return;
        };
        self.carrying.paths.attempt_ended(run_id(&carried.target));
        self.emit(Effect::Cancel {
            attempt,
            address: carried.address,
            resume_id: None,
        });
    }

    fn target_address(&self, target: &TargetName) -> Option<SocketAddr> {
        let sheet = self.config.sheet.as_ref()?;
        let found = sheet.targets.iter().find(|listed| listed.name == *target);
        found.map(|target| target.address)
    }
}

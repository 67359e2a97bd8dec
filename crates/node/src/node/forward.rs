//! Calls that another VM runs for a caller of this one.

use std::net::SocketAddr;

use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::{Incarnation, ProgramId};

use crate::constants::MAX_FORWARD_HOPS;
use crate::effect::{Effect, StageSpan};
use crate::event::CallRef;
use crate::message::{ForwardedCall, PeerMessage, ResponseFrame};
use crate::node::arrival::PendingCall;
use crate::node::call::Subscriber;
use crate::node::ownership::Route;
use crate::node::Node;
use crate::request::CallRequest;

/// Silence after which the owner is asked again.
const ASK_AGAIN_MS: u64 = 3_000;
/// Questions without an answer after which the owner counts as unreachable.
const ASK_LIMIT: u32 = 4;

/// Call on its way through this VM.
#[derive(Clone, Debug)]
pub(crate) struct Forwarding {
    request: CallRequest,
    owner: SocketAddr,
    hops: u8,
    head: bool,
    offset: u64,
    started_us: u64,
    heard_ms: u64,
    asked: u32,
}

impl Forwarding {
    pub(crate) fn new(
        request: CallRequest,
        owner: SocketAddr,
        hops: u8,
        now_us: u64,
    ) -> Forwarding {
        Forwarding {
            request,
            owner,
            hops,
            head: false,
            offset: 0,
            started_us: now_us,
            heard_ms: now_us / 1_000,
            asked: 0,
        }
    }
}

impl Node {
    pub(super) fn send_forward(&mut self, call_ref: CallRef) {
        let Some(forwarding) = self.forwards.get(&call_ref) else {
            return;
        };
        let mut request = forwarding.request.clone();
        request.trace = request.trace.child("forward");
        let message = PeerMessage::Forward(Box::new(ForwardedCall {
            call_ref,
            origin: self.settings.vm.clone(),
            origin_address: self.settings.peer_address,
            hops: forwarding.hops + 1,
            request,
        }));
        let to = forwarding.owner;
        self.send(to, message);
    }

    pub(super) fn on_piece(&mut self, call_ref: CallRef, frame: ResponseFrame) {
        let now_ms = self.now_ms();
        let Some(forwarding) = self.forwards.get_mut(&call_ref) else {
            if let ResponseFrame::ProgramEnded { .. } | ResponseFrame::Refused { call: None, .. } =
                frame
            {
                self.reply(call_ref, frame);
            }
            return;
        };
        forwarding.heard_ms = now_ms;
        forwarding.asked = 0;
        match frame {
            ResponseFrame::Head { .. } if forwarding.head => {}
            ResponseFrame::Head { .. } => {
                forwarding.head = true;
                self.reply(call_ref, frame);
            }
            ResponseFrame::Data { offset, bytes } => {
                self.on_forwarded_data(call_ref, offset, &bytes)
            }
            ResponseFrame::End { length, .. } if length == forwarding.offset && forwarding.head => {
                self.reply(call_ref, frame);
                self.end_forward(call_ref, "ok");
            }
            ResponseFrame::End { .. } => self.ask_missing(call_ref),
            ResponseFrame::Refused { .. } | ResponseFrame::ProgramEnded { .. } => {
                self.reply(call_ref, frame);
                self.end_forward(call_ref, "refused");
            }
        }
    }

    /// Passes on what is new of some bytes; a gap is asked for.
    fn on_forwarded_data(&mut self, call_ref: CallRef, offset: u64, bytes: &[u8]) {
        let Some(forwarding) = self.forwards.get_mut(&call_ref) else {
            return;
        };
        let expected = forwarding.offset;
        let end = offset + bytes.len() as u64;
        if offset > expected || !forwarding.head {
            self.ask_missing(call_ref);
            return;
        }
        if end <= expected {
            return;
        }
        forwarding.offset = end;
        let fresh = &bytes[(expected - offset) as usize..];
        let frame = ResponseFrame::Data {
            offset: expected,
            bytes: fresh.into(),
        };
        self.reply(call_ref, frame);
    }

    fn ask_missing(&mut self, call_ref: CallRef) {
        let Some(forwarding) = self.forwards.get(&call_ref) else {
            return;
        };
        let message = PeerMessage::RetransmitRequest {
            origin: self.settings.vm.clone(),
            origin_address: self.settings.peer_address,
            call_ref,
            call: forwarding.request.key.clone(),
            offset: forwarding.offset,
        };
        let to = forwarding.owner;
        self.send(to, message);
    }

    fn end_forward(&mut self, call_ref: CallRef, result: &str) {
        let Some(forwarding) = self.forwards.remove(&call_ref) else {
            return;
        };
        let span = StageSpan {
            name: "forward",
            context: forwarding.request.trace.child("forward"),
            parent: forwarding.request.trace,
            start_us: forwarding.started_us,
            end_us: self.now_us,
            attributes: vec![
                ("lagoon.owner.address", forwarding.owner.to_string()),
                ("lagoon.result", result.to_owned()),
            ],
        };
        self.emit(Effect::Span(span));
    }

    pub(super) fn on_redirect(&mut self, call_ref: CallRef, owner: Incarnation) {
        let Some(mut forwarding) = self.forwards.remove(&call_ref) else {
            return;
        };
        let program = forwarding.request.key.program.clone();
        self.ownership.note_owner(program.family(), owner);
        forwarding.hops += 1;
        if forwarding.hops >= MAX_FORWARD_HOPS || forwarding.offset > 0 {
            let error = CallError::new(ErrorKind::OwnerUnreachable, "VMs disagree on the owner");
            self.fail_forward(call_ref, &forwarding, error);
            return;
        }
        self.route_call(PendingCall {
            request: forwarding.request,
            subscriber: Subscriber::Local(call_ref),
            hops: forwarding.hops,
            owner_looked_up: false,
        });
    }

    /// Owner of a family that a caller named, as far as it is known.
    pub(super) fn claimed_owner(&self, program: &ProgramId) -> Option<&Incarnation> {
        self.ownership.claimed_owner(program.family())
    }

    /// Incarnation that a sender should ask instead.
    pub(super) fn owner_hint(&self, program: &ProgramId) -> Option<Incarnation> {
        program
            .issuer()
            .or_else(|| self.claimed_owner(program).cloned())
            .map(|owner| self.ownership.last_successor(&owner).clone())
    }

    /// Asks silent owners again and turns away from dead ones.
    pub(super) fn check_forwards(&mut self) {
        let now_ms = self.now_ms();
        let silent: Vec<CallRef> = self
            .forwards
            .iter()
            .filter(|(_, forwarding)| now_ms >= forwarding.heard_ms + ASK_AGAIN_MS)
            .map(|(call_ref, _)| *call_ref)
            .collect();
        for call_ref in silent {
            self.check_forward(call_ref);
        }
        let dead: Vec<CallRef> = self
            .forwards
            .iter()
            .filter(|(_, forwarding)| self.is_dead_address(forwarding.owner))
            .map(|(call_ref, _)| *call_ref)
            .collect();
        for call_ref in dead {
            self.reroute(call_ref);
        }
    }

    fn is_dead_address(&self, address: SocketAddr) -> bool {
        let mut at = self
            .members
            .peers()
            .filter(|(_, member)| member.peer_address == address)
            .peekable();
        at.peek().is_some() && at.all(|(_, member)| member.dead)
    }

    fn check_forward(&mut self, call_ref: CallRef) {
        let now_ms = self.now_ms();
        let Some(forwarding) = self.forwards.get_mut(&call_ref) else {
            return;
        };
        forwarding.heard_ms = now_ms;
        forwarding.asked += 1;
        if forwarding.asked > ASK_LIMIT {
            let owner = forwarding.owner;
            self.forget_remote(owner);
            self.reroute(call_ref);
        } else if forwarding.head {
            self.ask_missing(call_ref);
        } else {
            self.send_forward(call_ref);
        }
    }

    /// Finds another owner for a call; a started answer can't be moved.
    fn reroute(&mut self, call_ref: CallRef) {
        let Some(forwarding) = self.forwards.get(&call_ref) else {
            return;
        };
        let broken = forwarding.offset > 0;
        let route = self.route(&forwarding.request.key.program);
        let unchanged = matches!(route, Route::To(address) if address == forwarding.owner);
        let Some(mut forwarding) = self.forwards.remove(&call_ref) else {
            return;
        };
        forwarding.hops += 1;
        if broken {
            let error = CallError::new(ErrorKind::AnswerBroken, "owner was lost during the answer");
            self.fail_forward(call_ref, &forwarding, error);
        } else if unchanged || forwarding.hops >= MAX_FORWARD_HOPS {
            let error = CallError::new(ErrorKind::OwnerUnreachable, "owner gives no answer");
            self.fail_forward(call_ref, &forwarding, error);
        } else {
            self.route_call(PendingCall {
                request: forwarding.request,
                subscriber: Subscriber::Local(call_ref),
                hops: forwarding.hops,
                owner_looked_up: false,
            });
        }
    }

    fn fail_forward(&mut self, call_ref: CallRef, forwarding: &Forwarding, error: CallError) {
        let call = Some(forwarding.request.key.clone());
        self.reply(
            call_ref,
            ResponseFrame::Refused {
                call,
                refusal: error,
            },
        );
    }

    pub(super) fn on_caller_gone(&mut self, call_ref: CallRef) {
        match self.forwards.remove(&call_ref) {
            Some(forwarding) => {
                let message = PeerMessage::CallerDisconnected {
                    origin: self.settings.vm.clone(),
                    call_ref,
                    call: forwarding.request.key,
                };
                self.send(forwarding.owner, message);
            }
            None => self.remove_local_subscriber(call_ref),
        }
    }
}

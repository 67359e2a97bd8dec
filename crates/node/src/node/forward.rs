//! Calls of local callers that are forwarded to the owner on another VM.

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

/// Time without a response frame after which the request to the owner is sent again.
const OWNER_RETRY_INTERVAL_MS: u64 = 3_000;
/// Maximum number of consecutive retries without a response frame; then the owner is
/// considered unreachable and the call is routed again.
const MAX_OWNER_RETRIES: u32 = 4;

/// State of a forwarded call at the VM that its caller is connected to.
#[derive(Clone, Debug)]
pub(crate) struct ForwardState {
    request: CallRequest,
    owner: SocketAddr,
    hops: u8,
    head_received: bool,
    /// Number of body bytes relayed to the caller so far.
    next_offset: u64,
    started_us: u64,
    /// Time of the last response frame or retry.
    last_activity_ms: u64,
    /// Retries since the last response frame.
    retries: u32,
}

impl ForwardState {
    pub(crate) fn new(
        request: CallRequest,
        owner: SocketAddr,
        hops: u8,
        now_us: u64,
    ) -> ForwardState {
        ForwardState {
            request,
            owner,
            hops,
            head_received: false,
            next_offset: 0,
            started_us: now_us,
            last_activity_ms: now_us / 1_000,
            retries: 0,
        }
    }
}

impl Node {
    pub(super) fn send_forward(&mut self, call_ref: CallRef) {
        let Some(forward) = self.forwards.get(&call_ref) else {
            return;
        };
        let mut request = forward.request.clone();
        request.trace = request.trace.child("forward");
        let message = PeerMessage::Forward(Box::new(ForwardedCall {
            call_ref,
            origin: self.settings.vm.clone(),
            origin_address: self.settings.peer_address,
            hops: forward.hops + 1,
            request,
        }));
        let to = forward.owner;
        self.send(to, message);
    }

    pub(super) fn on_response_frame(&mut self, call_ref: CallRef, frame: ResponseFrame) {
        let now_ms = self.now_ms();
        let Some(forward) = self.forwards.get_mut(&call_ref) else {
            if let ResponseFrame::ProgramEnded { .. } | ResponseFrame::Failed { call: None, .. } =
                frame
            {
                self.reply(call_ref, frame);
            }
            return;
        };
        forward.last_activity_ms = now_ms;
        forward.retries = 0;
        match frame {
            ResponseFrame::Head { .. } if forward.head_received => {}
            ResponseFrame::Head { .. } => {
                forward.head_received = true;
                self.reply(call_ref, frame);
            }
            ResponseFrame::Data { offset, bytes } => self.on_data(call_ref, offset, &bytes),
            ResponseFrame::End { length, .. }
                if length == forward.next_offset && forward.head_received =>
            {
                self.reply(call_ref, frame);
                self.finish_forward(call_ref, "ok");
            }
            ResponseFrame::End { .. } => self.request_retransmit(call_ref),
            ResponseFrame::Failed { .. } | ResponseFrame::ProgramEnded { .. } => {
                self.reply(call_ref, frame);
                self.finish_forward(call_ref, "refused");
            }
        }
    }

    /// Relays the bytes that are new; requests a retransmission if there is a gap.
    fn on_data(&mut self, call_ref: CallRef, offset: u64, bytes: &[u8]) {
        let Some(forward) = self.forwards.get_mut(&call_ref) else {
            return;
        };
        let expected = forward.next_offset;
        let end = offset + bytes.len() as u64;
        if offset > expected || !forward.head_received {
            self.request_retransmit(call_ref);
            return;
        }
        if end <= expected {
            return;
        }
        forward.next_offset = end;
        let new_bytes = &bytes[(expected - offset) as usize..];
        let frame = ResponseFrame::Data {
            offset: expected,
            bytes: new_bytes.into(),
        };
        self.reply(call_ref, frame);
    }

    fn request_retransmit(&mut self, call_ref: CallRef) {
        let Some(forward) = self.forwards.get(&call_ref) else {
            return;
        };
        let message = PeerMessage::RetransmitRequest {
            origin: self.settings.vm.clone(),
            origin_address: self.settings.peer_address,
            call_ref,
            call: forward.request.key.clone(),
            offset: forward.next_offset,
        };
        let to = forward.owner;
        self.send(to, message);
    }

    fn finish_forward(&mut self, call_ref: CallRef, result: &str) {
        let Some(forward) = self.forwards.remove(&call_ref) else {
            return;
        };
        let span = StageSpan {
            name: "forward",
            context: forward.request.trace.child("forward"),
            parent: forward.request.trace,
            start_us: forward.started_us,
            end_us: self.now_us,
            attributes: vec![
                ("lagoon.owner.address", forward.owner.to_string()),
                ("lagoon.result", result.to_owned()),
            ],
        };
        self.emit(Effect::Span(span));
    }

    pub(super) fn on_redirect(&mut self, call_ref: CallRef, owner: Incarnation) {
        let Some(mut forward) = self.forwards.remove(&call_ref) else {
            return;
        };
        let program = forward.request.key.program.clone();
        self.ownership.cache_owner(program.family(), owner);
        forward.hops += 1;
        if forward.hops >= MAX_FORWARD_HOPS || forward.next_offset > 0 {
            let error = CallError::new(ErrorKind::OwnerUnreachable, "VMs disagree on the owner");
            self.fail_forward(call_ref, &forward, error);
            return;
        }
        self.route_call(PendingCall {
            request: forward.request,
            subscriber: Subscriber::Local(call_ref),
            hops: forward.hops,
            owner_looked_up: false,
        });
    }

    /// Cached owner of a program whose identifier the caller chose; `None` if it is unknown.
    pub(super) fn cached_owner(&self, program: &ProgramId) -> Option<&Incarnation> {
        self.ownership.cached_owner(program.family())
    }

    /// Incarnation to which a VM that forwarded a call is redirected; `None` if no owner is
    /// known.
    pub(super) fn redirect_owner(&self, program: &ProgramId) -> Option<Incarnation> {
        program
            .issuer()
            .or_else(|| self.cached_owner(program).cloned())
            .map(|owner| self.ownership.final_successor(&owner).clone())
    }

    /// Repeats requests to silent owners and reroutes calls forwarded to dead ones.
    pub(super) fn check_forwards(&mut self) {
        let now_ms = self.now_ms();
        let silent: Vec<CallRef> = self
            .forwards
            .iter()
            .filter(|(_, forward)| now_ms >= forward.last_activity_ms + OWNER_RETRY_INTERVAL_MS)
            .map(|(call_ref, _)| *call_ref)
            .collect();
        for call_ref in silent {
            self.retry_forward(call_ref);
        }
        let dead: Vec<CallRef> = self
            .forwards
            .iter()
            .filter(|(_, forward)| self.is_dead_owner(forward.owner))
            .map(|(call_ref, _)| *call_ref)
            .collect();
        for call_ref in dead {
            self.reroute(call_ref);
        }
    }

    fn is_dead_owner(&self, address: SocketAddr) -> bool {
        let mut members_at = self
            .members
            .peers()
            .filter(|(_, member)| member.peer_address == address)
            .peekable();
        members_at.peek().is_some() && members_at.all(|(_, member)| member.dead)
    }

    fn retry_forward(&mut self, call_ref: CallRef) {
        let now_ms = self.now_ms();
        let Some(forward) = self.forwards.get_mut(&call_ref) else {
            return;
        };
        forward.last_activity_ms = now_ms;
        forward.retries += 1;
        if forward.retries > MAX_OWNER_RETRIES {
            let owner = forward.owner;
            self.drop_remote_address(owner);
            self.reroute(call_ref);
        } else if forward.head_received {
            self.request_retransmit(call_ref);
        } else {
            self.send_forward(call_ref);
        }
    }

    /// Routes a forwarded call again.
    ///
    /// Fails it if part of the response body was relayed, if the route is unchanged, or if the
    /// call has been rerouted too often.
    fn reroute(&mut self, call_ref: CallRef) {
        let Some(forward) = self.forwards.get(&call_ref) else {
            return;
        };
        let response_started = forward.next_offset > 0;
        let route = self.route(&forward.request.key.program);
        let unchanged = matches!(route, Route::Peer(address) if address == forward.owner);
        let Some(mut forward) = self.forwards.remove(&call_ref) else {
            return;
        };
        forward.hops += 1;
        if response_started {
            let error = CallError::new(ErrorKind::AnswerBroken, "owner was lost during the answer");
            self.fail_forward(call_ref, &forward, error);
        } else if unchanged || forward.hops >= MAX_FORWARD_HOPS {
            let error = CallError::new(ErrorKind::OwnerUnreachable, "owner gives no answer");
            self.fail_forward(call_ref, &forward, error);
        } else {
            self.route_call(PendingCall {
                request: forward.request,
                subscriber: Subscriber::Local(call_ref),
                hops: forward.hops,
                owner_looked_up: false,
            });
        }
    }

    fn fail_forward(&mut self, call_ref: CallRef, forward: &ForwardState, error: CallError) {
        let call = Some(forward.request.key.clone());
        self.reply(call_ref, ResponseFrame::Failed { call, error });
    }

    pub(super) fn on_caller_disconnected(&mut self, call_ref: CallRef) {
        match self.forwards.remove(&call_ref) {
            Some(forward) => {
                let message = PeerMessage::CallerDisconnected {
                    origin: self.settings.vm.clone(),
                    call_ref,
                    call: forward.request.key,
                };
                self.send(forward.owner, message);
            }
            None => self.remove_local_subscriber(call_ref),
        }
    }
}

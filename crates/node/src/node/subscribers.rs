//! Delivery of response frames to callers on this VM and on other VMs.

use lagoon_ids::{CallKey, VmName};

use crate::effect::Effect;
use crate::event::CallRef;
use crate::message::{PeerMessage, ResponseFrame};
use crate::node::call::{CallSlot, Subscriber};
use crate::node::Node;

impl Node {
    pub(super) fn send_to_all(&mut self, slot: CallSlot, frame: &ResponseFrame) {
        let subscribers = self.calls[slot].subscribers.clone();
        for subscriber in &subscribers {
            self.send_frame(subscriber, frame.clone());
        }
    }

    /// Sends a subscriber the response received so far, from an offset on.
    pub(super) fn resend_from(&mut self, slot: CallSlot, subscriber: &Subscriber, offset: u64) {
        let call = &self.calls[slot];
        let Some((status, content_type)) = call.response.head.clone() else {
            return;
        };
        let head = ResponseFrame::Head {
            call: call.request.key.clone(),
            status,
            content_type,
        };
        let bytes = call.bytes_from(offset);
        self.send_frame(subscriber, head);
        if !bytes.is_empty() {
            self.send_frame(subscriber, ResponseFrame::Data { offset, bytes });
        }
    }

    /// Resends a response at the request of another VM: the part received so far of a call in
    /// flight, or the recorded response of a finished call.
    pub(super) fn on_retransmit_request(
        &mut self,
        subscriber: &Subscriber,
        key: &CallKey,
        offset: u64,
    ) {
        if let Some(slot) = self.calls_by_key.get(key).copied() {
            self.resend_from(slot, subscriber, offset);
            return;
        }
        let program = self
            .programs
            .find(&key.program)
            .and_then(|key| self.programs.get(key));
        if let Some(finished) = program
            .and_then(|program| program.finished_call(key.number))
            .cloned()
        {
            self.send_recorded(subscriber, key, &finished, offset);
        }
    }

    pub(super) fn remove_peer_subscriber(
        &mut self,
        key: &CallKey,
        origin: &VmName,
        disconnected: CallRef,
    ) {
        if let Some(slot) = self.calls_by_key.get(key).copied() {
            self.calls[slot].subscribers.retain(|subscriber| {
                !matches!(subscriber, Subscriber::Peer { vm, call_ref, .. } if vm == origin && *call_ref == disconnected)
            });
        }
    }

    pub(super) fn remove_local_subscriber(&mut self, disconnected: CallRef) {
        for call in self.calls.values_mut() {
            call.subscribers
                .retain(|subscriber| *subscriber != Subscriber::Local(disconnected));
        }
    }

    pub(super) fn send_frame(&mut self, subscriber: &Subscriber, frame: ResponseFrame) {
        match subscriber {
            Subscriber::Local(call_ref) => self.reply(*call_ref, frame),
            Subscriber::Peer {
                address, call_ref, ..
            } => {
                let message = PeerMessage::Response {
                    call_ref: *call_ref,
                    frame,
                };
                self.send(*address, message);
            }
        }
    }

    pub(super) fn reply(&mut self, call_ref: CallRef, frame: ResponseFrame) {
        self.emit(Effect::Reply { call_ref, frame });
    }
}

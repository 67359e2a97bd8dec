//! Callers that wait for an answer, here and at other VMs.

use lagoon_ids::{CallKey, VmName};

use crate::effect::Effect;
use crate::event::CallRef;
use crate::message::{PeerMessage, ResponseFrame};
use crate::node::call::{CallSlot, Listener};
use crate::node::Node;

impl Node {
    pub(super) fn tell_all(&mut self, slot: CallSlot, frame: &ResponseFrame) {
        let listeners = self.calls[slot].listeners.clone();
        for listener in &listeners {
            self.tell(listener, frame.clone());
        }
    }

    /// Gives a listener the answer so far from an offset on.
    pub(super) fn tell_from(&mut self, slot: CallSlot, listener: &Listener, offset: u64) {
        let call = &self.calls[slot];
        let Some((status, content_type)) = call.answer.head.clone() else {
            return;
        };
        let head = ResponseFrame::Head {
            call: call.request.key.clone(),
            status,
            content_type,
        };
        let bytes = call.bytes_from(offset);
        self.tell(listener, head);
        if !bytes.is_empty() {
            self.tell(listener, ResponseFrame::Data { offset, bytes });
        }
    }

    /// Another VM misses bytes of an answer.
    pub(super) fn on_missing(&mut self, listener: &Listener, key: &CallKey, offset: u64) {
        if let Some(slot) = self.calls_by_key.get(key).copied() {
            self.tell_from(slot, listener, offset);
            return;
        }
        let found = self
            .programs
            .find(&key.program)
            .and_then(|key| self.programs.get(key));
        if let Some(finished) = found
            .and_then(|program| program.finished_call(key.number))
            .cloned()
        {
            self.tell_recorded(listener, key, &finished, offset);
        }
    }

    pub(super) fn drop_listener(&mut self, key: &CallKey, origin: &VmName, gone: CallRef) {
        if let Some(slot) = self.calls_by_key.get(key).copied() {
            self.calls[slot].listeners.retain(|listener| {
                !matches!(listener, Listener::Peer { vm, call_ref, .. } if vm == origin && *call_ref == gone)
            });
        }
    }

    pub(super) fn drop_local_listener(&mut self, gone: CallRef) {
        for call in self.calls.values_mut() {
            call.listeners
                .retain(|listener| *listener != Listener::Local(gone));
        }
    }

    /// Gives a piece to a listener.
    pub(super) fn tell(&mut self, listener: &Listener, frame: ResponseFrame) {
        match listener {
            Listener::Local(call_ref) => self.reply(*call_ref, frame),
            Listener::Peer {
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

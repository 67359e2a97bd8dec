//! Ending programs, on request or after inactivity.

use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::{AccountName, ProgramId};
use lagoon_program::Record;

use crate::message::ResponseFrame;
use crate::node::call::{CallSlot, Phase, Subscriber};
use crate::node::Node;

impl Node {
    /// Ends a program and its descendants at the request of their account.
    pub(super) fn end_program(
        &mut self,
        subscriber: &Subscriber,
        account: &AccountName,
        program: &ProgramId,
    ) {
        let known = self
            .programs
            .find(program)
            .and_then(|key| self.programs.get(key));
        let error = match known {
            None => Some(CallError::new(
                ErrorKind::UnknownProgram,
                format!("program {program} is not under way"),
            )),
            Some(known) if known.account != *account => Some(CallError::new(
                ErrorKind::Unauthorized,
                "program belongs to another account",
            )),
            Some(_) => None,
        };
        if let Some(error) = error {
            self.send_frame(subscriber, ResponseFrame::Failed { call: None, error });
            return;
        }
        self.end_with_descendants(program);
        let program = program.clone();
        self.send_frame(subscriber, ResponseFrame::ProgramEnded { program });
    }

    pub(super) fn end_with_descendants(&mut self, program: &ProgramId) {
        let prefix = format!("{program}/");
        let ended: Vec<ProgramId> = self
            .programs
            .family(program.family())
            .filter(|other| other.id == *program || other.id.as_str().starts_with(&prefix))
            .filter(|other| !other.ended)
            .map(|other| other.id.clone())
            .collect();
        for id in ended {
            let record = Record::Ended {
                program: id.clone(),
            };
            self.programs.apply(&record);
            self.record_activity(&id);
            self.append_records(vec![record], None);
            self.abort_calls(&id);
        }
    }

    /// Fails the calls of an ended program that are not assigned to a target, and
    /// cancels its model calls. Service calls that are assigned run to completion.
    pub(super) fn abort_calls(&mut self, program: &ProgramId) {
        let slots: Vec<CallSlot> = self
            .calls
            .iter()
            .filter(|(_, call)| call.request.key.program == *program)
            .filter(|(_, call)| {
                !matches!(
                    call.phase,
                    Phase::Dispatched | Phase::Finishing | Phase::RecordingIntent
                )
            })
            .map(|(slot, _)| slot)
            .collect();
        for slot in slots {
            let error = CallError::new(
                ErrorKind::ProgramEnded,
                format!("program {program} has ended"),
            );
            self.fail_call(slot, error);
        }
        self.cancel_model_calls(program);
    }

    /// Cancels the dispatched model calls of a program at their engines.
    pub(super) fn cancel_model_calls(&mut self, program: &ProgramId) {
        let slots: Vec<CallSlot> = self
            .calls
            .iter()
            .filter(|(_, call)| call.request.key.program == *program)
            .filter(|(_, call)| call.phase == Phase::Dispatched && call.request.kind.is_chat())
            .map(|(slot, _)| slot)
            .collect();
        for slot in slots {
            self.cancel_attempt(slot);
            self.charge_worst_case(slot);
            let detail = format!("program {program} has ended");
            self.fail_call(slot, CallError::new(ErrorKind::ProgramEnded, detail));
        }
    }
}

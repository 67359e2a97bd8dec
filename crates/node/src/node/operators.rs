//! Requests of operators.

use compact_str::CompactString;
use lagoon_ids::{CallKey, ProgramId};
use lagoon_membership::Member;
use lagoon_program::{Outcome, Program, Record};

use crate::effect::Effect;
use crate::event::{OperatorRef, OperatorRequest};
use crate::node::Node;
use crate::status::{
    CallReport, InDoubtCallReport, MemberReport, NodeStatus, OperatorReply, ProgramReport,
    TargetReport,
};

impl Node {
    pub(super) fn on_operator(&mut self, operator_ref: OperatorRef, request: OperatorRequest) {
        let reply = match request {
            OperatorRequest::Status => OperatorReply::Status(Box::new(self.status())),
            OperatorRequest::Programs => OperatorReply::Programs(self.program_reports()),
            OperatorRequest::Program(id) => OperatorReply::Program(self.program_report(&id)),
            OperatorRequest::Sheet => OperatorReply::Sheet {
                row: self.config.row.clone(),
                text: self.config.text.clone(),
            },
            OperatorRequest::InDoubtCalls => OperatorReply::InDoubtCalls(self.in_doubt_reports()),
            OperatorRequest::ResolveInDoubt { call, ran } => OperatorReply::Settled {
                settled: self.resolve_in_doubt(call, ran),
            },
            OperatorRequest::Apply { base, author, text } => {
                self.apply_sheet(operator_ref, base, author, text);
                return;
            }
        };
        self.emit(Effect::Operator {
            operator_ref,
            reply,
        });
    }

    /// Returns the state of the VM for operators.
    pub fn status(&self) -> NodeStatus {
        NodeStatus {
            vm: self.settings.vm.clone(),
            domain: self.settings.domain.clone(),
            incarnation: self.incarnation().clone(),
            ready: self.ready,
            not_ready_reason: self.not_ready_reason(),
            sheet: self.config.row.clone(),
            sheet_age_ms: self.now_ms().saturating_sub(self.config.confirmed_ms),
            programs: self.programs.len(),
            calls: self.calls.len(),
            forwarded: self.forwards.len(),
            carried_by_others: self.carrying.handed_count(),
            carried_for_others: self.carrying.carried_count(),
            lost_paths: self.carrying.lost_path_count(),
            queued: self.queue.len(),
            journal_backlog: self.journal.backlog(),
            journal_batches: self.journal.sequence() - 1,
            last_takeover_ms: self.last_takeover_ms,
            members: self.member_reports(),
            targets: self.target_reports(),
        }
    }

    fn member_reports(&self) -> Vec<MemberReport> {
        let mut reports: Vec<MemberReport> = self
            .members
            .peers()
            .map(|(vm, member)| MemberReport {
                vm: vm.clone(),
                incarnation: member.incarnation.clone(),
                state: CompactString::const_new(member_state(member)),
                silent_ms: self.now_ms().saturating_sub(member.last_heard_ms),
                sheet_version: member.sheet_version,
            })
            .collect();
        reports.sort_by(|a, b| a.vm.cmp(&b.vm));
        reports
    }

    fn target_reports(&self) -> Vec<TargetReport> {
        let Some(sheet) = &self.config.sheet else {
            return Vec::new();
        };
        let domain_targets = sheet
            .targets
            .iter()
            .filter(|target| target.domain == self.settings.domain);
        domain_targets
            .map(|target| {
                let state = self.balancer.state(&target.name);
                let label = if state.draining {
                    "leaving"
                } else if state.ejected_until_ms > self.now_ms() {
                    "ejected"
                } else {
                    "live"
                };
                TargetReport {
                    target: target.name.clone(),
                    serves: CompactString::new(sheet.workload_name(target.serves)),
                    in_flight: state.in_flight,
                    load: state.load(),
                    slots: target.slots,
                    state: CompactString::const_new(label),
                }
            })
            .collect()
    }

    fn program_reports(&self) -> Vec<ProgramReport> {
        let programs = self.programs.iter();
        let mut reports: Vec<ProgramReport> = programs
            .map(|(_, program)| self.build_program_report(program))
            .collect();
        reports.sort_by(|a, b| a.program.cmp(&b.program));
        reports
    }

    fn program_report(&self, id: &str) -> Option<Box<ProgramReport>> {
        let key = self.programs.find(&id.parse::<ProgramId>().ok()?)?;
        Some(Box::new(self.build_program_report(self.programs.get(key)?)))
    }

    fn build_program_report(&self, program: &Program) -> ProgramReport {
        let state = if program.ended {
            "ended"
        } else if program.running().is_some() {
            "running"
        } else {
            "paused"
        };
        ProgramReport {
            program: program.id.clone(),
            account: program.account.clone(),
            market: program.market.clone(),
            state: CompactString::const_new(state),
            budget: program.budget,
            idle_ms: self.now_ms().saturating_sub(program.last_active_ms),
            calls: program
                .finished_calls()
                .map(|(number, finished)| CallReport {
                    number,
                    target: finished.target.clone(),
                    outcome: CompactString::const_new(outcome_label(&finished.outcome)),
                    used_tokens: finished.used.tokens,
                })
                .collect(),
        }
    }

    fn in_doubt_reports(&self) -> Vec<InDoubtCallReport> {
        let mut reports = Vec::new();
        for (_, program) in self.programs.iter() {
            reports.extend(
                program
                    .calls_in_doubt()
                    .map(|(number, target)| InDoubtCallReport {
                        program: program.id.clone(),
                        number,
                        target: target.clone(),
                        account: program.account.clone(),
                    }),
            );
        }
        reports.sort_by(|a, b| (&a.program, a.number).cmp(&(&b.program, b.number)));
        reports
    }

    /// Records an operator's statement whether a call ran; returns whether it was in doubt.
    fn resolve_in_doubt(&mut self, call: CallKey, ran: bool) -> bool {
        let finished_call = self
            .programs
            .find(&call.program)
            .and_then(|key| self.programs.get(key))
            .and_then(|program| program.finished_call(call.number));
        if finished_call.map(|finished| &finished.outcome) != Some(&Outcome::InDoubt) {
            return false;
        }
        let record = Record::Settled { call, ran };
        self.programs.apply(&record);
        self.append_records(vec![record], None);
        true
    }
}

fn member_state(member: &Member) -> &'static str {
    match (member.dead, member.leaving) {
        (true, _) => "dead",
        (false, true) => "leaving",
        (false, false) => "live",
    }
}

fn outcome_label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered(_) => "answered",
        Outcome::InDoubt => "in_doubt",
        Outcome::Settled { ran: true } => "settled_ran",
        Outcome::Settled { ran: false } => "settled_not_run",
    }
}

//! Programs that are over.

use lagoon_ids::ProgramId;
use lagoon_journal::Group;
use lagoon_program::{Program, Record};

use crate::constants::{ENDED_KEPT_MS, SWEEP_MS};
use crate::node::Node;

impl Node {
    /// Ends programs that fell silent and forgets those that ended.
    pub(super) fn sweep(&mut self) {
        self.sweep_due_ms = self.now_ms() + SWEEP_MS;
        for program in self.idle_roots() {
            self.end_with_descendants(&program);
        }
        for program in self.over_roots() {
            self.forget_family(&program);
        }
    }

    fn idle_ms(&self, program: &Program) -> u64 {
        self.now_ms().saturating_sub(program.active_ms)
    }

    fn roots(&self) -> impl Iterator<Item = &Program> {
        self.programs
            .iter()
            .map(|(_, program)| program)
            .filter(|program| program.parent.is_none())
    }

    fn has_calls(&self, root: &Program) -> bool {
        let mut calls = self.calls.values();
        calls.any(|call| call.request.key.program.family() == root.id.as_str())
    }

    /// Families in which nothing has happened for too long.
    fn idle_roots(&self) -> Vec<ProgramId> {
        self.roots()
            .filter(|root| !root.ended && !self.has_calls(root))
            .filter(|root| {
                let single = root.id.issuer().is_some() && root.next_number() <= 2;
                let limit_ms = if single {
                    ENDED_KEPT_MS
                } else {
                    self.settings.idle_limit_ms
                };
                self.family_idle_ms(root) >= limit_ms
            })
            .map(|root| root.id.clone())
            .collect()
    }

    fn family_idle_ms(&self, root: &Program) -> u64 {
        let family = root.id.as_str();
        self.programs
            .iter()
            .filter(|(_, program)| program.id.family() == family)
            .map(|(_, program)| self.idle_ms(program))
            .min()
            .unwrap_or_default()
    }

    /// Ended families that nobody will ask for again.
    fn over_roots(&self) -> Vec<ProgramId> {
        self.roots()
            .filter(|root| root.ended && !self.has_calls(root))
            .filter(|root| root.doubts().next().is_none())
            .filter(|root| self.family_idle_ms(root) >= ENDED_KEPT_MS)
            .map(|root| root.id.clone())
            .collect()
    }

    fn forget_family(&mut self, root: &ProgramId) {
        let mut members: Vec<ProgramId> = self
            .programs
            .iter()
            .map(|(_, program)| program.id.clone())
            .filter(|id| id.family() == root.as_str())
            .collect();
        members.sort();
        let records: Vec<Record> = members
            .into_iter()
            .rev()
            .map(|program| Record::Forgotten { program })
            .collect();
        for record in &records {
            self.programs.apply(record);
        }
        let retire = root.issuer().is_none().then(|| root.family().to_owned());
        self.journal_group(
            Group {
                records,
                retire,
                ..Group::default()
            },
            None,
        );
    }
}

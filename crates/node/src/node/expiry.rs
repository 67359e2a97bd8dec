//! Programs that are over.

use compact_str::CompactString;
use lagoon_ids::{FastSet, ProgramId};
use lagoon_journal::RecordGroup;
use lagoon_program::{Program, Record};

use crate::constants::{ENDED_RETENTION_MS, EXPIRY_INTERVAL_MS};
use crate::node::Node;

impl Node {
    /// Ends programs that fell silent and forgets those that ended.
    pub(super) fn sweep(&mut self) {
        self.sweep_due_ms = self.now_ms() + EXPIRY_INTERVAL_MS;
        let busy = self.busy_families();
        let idle = self.roots_without_calls(&busy, |root| !root.ended && self.is_idle(root));
        for program in idle {
            self.end_with_descendants(&program);
        }
        let over = self.roots_without_calls(&busy, |root| root.ended && self.is_over(root));
        for program in over {
            self.forget_family(&program);
        }
    }

    /// Families with calls under way.
    fn busy_families(&self) -> FastSet<CompactString> {
        let calls = self.calls.values();
        calls
            .map(|call| CompactString::new(call.request.key.program.family()))
            .collect()
    }

    fn roots_without_calls<F>(&self, busy: &FastSet<CompactString>, wanted: F) -> Vec<ProgramId>
    where
        F: Fn(&Program) -> bool,
    {
        self.programs
            .roots()
            .filter(|root| !busy.contains(root.id.as_str()))
            .filter(|root| wanted(root))
            .map(|root| root.id.clone())
            .collect()
    }

    /// Whether nothing has happened in a family for too long.
    fn is_idle(&self, root: &Program) -> bool {
        let single = root.id.issuer().is_some() && root.next_number() <= 2;
        let limit_ms = if single {
            ENDED_RETENTION_MS
        } else {
            self.settings.idle_limit_ms
        };
        self.family_idle_ms(root) >= limit_ms
    }

    /// Whether nobody will ask for an ended family again.
    fn is_over(&self, root: &Program) -> bool {
        let family = self.programs.family(root.id.as_str());
        let doubts = family.flat_map(Program::calls_in_doubt).count();
        doubts == 0 && self.family_idle_ms(root) >= ENDED_RETENTION_MS
    }

    fn family_idle_ms(&self, root: &Program) -> u64 {
        let family = self.programs.family(root.id.as_str());
        let latest_ms = family.map(|program| program.last_active_ms).max();
        self.now_ms().saturating_sub(latest_ms.unwrap_or_default())
    }

    fn forget_family(&mut self, root: &ProgramId) {
        let mut members: Vec<ProgramId> = self
            .programs
            .family(root.as_str())
            .map(|program| program.id.clone())
            .collect();
        members.sort();
        let records: Vec<Record> = members
            .into_iter()
            .rev()
            .map(|program| Record::Removed { program })
            .collect();
        for record in &records {
            self.programs.apply(record);
        }
        let retire = root.issuer().is_none().then(|| root.family().to_owned());
        self.append_group(
            RecordGroup {
                records,
                end_family: retire,
                ..RecordGroup::default()
            },
            None,
        );
    }
}

//! Expiry of idle and ended programs.

use compact_str::CompactString;
use lagoon_ids::{FastSet, ProgramId};
use lagoon_journal::RecordGroup;
use lagoon_program::{Program, Record};

use crate::constants::{ENDED_RETENTION_MS, EXPIRY_INTERVAL_MS};
use crate::node::Node;

impl Node {
    /// Ends idle programs and removes ended ones after their retention time.
    pub(super) fn expire_programs(&mut self) {
        self.expiry_due_ms = self.now_ms() + EXPIRY_INTERVAL_MS;
        let busy = self.busy_families();
        let idle = self.roots_without_calls(&busy, |root| !root.ended && self.is_idle(root));
        for program in idle {
            self.end_with_descendants(&program);
        }
        let removable =
            self.roots_without_calls(&busy, |root| root.ended && self.is_removable(root));
        for program in removable {
            self.remove_family(&program);
        }
    }

    /// Returns the families with calls in flight.
    fn busy_families(&self) -> FastSet<CompactString> {
        let calls = self.calls.values();
        calls
            .map(|call| CompactString::new(call.request.key.program.family()))
            .collect()
    }

    /// Returns the root programs that match `predicate` and whose families have no call in
    /// flight.
    fn roots_without_calls<F>(&self, busy: &FastSet<CompactString>, predicate: F) -> Vec<ProgramId>
    where
        F: Fn(&Program) -> bool,
    {
        self.programs
            .roots()
            .filter(|root| !busy.contains(root.id.as_str()))
            .filter(|root| predicate(root))
            .map(|root| root.id.clone())
            .collect()
    }

    /// Whether a family has been inactive for its idle limit.
    ///
    /// A program with an issued identifier and at most one finished call is
    /// treated as a single request and expires earlier.
    fn is_idle(&self, root: &Program) -> bool {
        let single_request = root.id.issuer().is_some() && root.next_number() <= 2;
        let limit_ms = if single_request {
            ENDED_RETENTION_MS
        } else {
            self.settings.idle_limit_ms
        };
        self.family_idle_ms(root) >= limit_ms
    }

    /// Whether an ended family can be removed: no call is in doubt and the
    /// retention time has passed.
    fn is_removable(&self, root: &Program) -> bool {
        let family = self.programs.family(root.id.as_str());
        let in_doubt = family.flat_map(Program::calls_in_doubt).count();
        in_doubt == 0 && self.family_idle_ms(root) >= ENDED_RETENTION_MS
    }

    /// Returns the time since the last activity of any program of a family.
    fn family_idle_ms(&self, root: &Program) -> u64 {
        let family = self.programs.family(root.id.as_str());
        let latest_ms = family.map(|program| program.last_active_ms).max();
        self.now_ms().saturating_sub(latest_ms.unwrap_or_default())
    }

    fn remove_family(&mut self, root: &ProgramId) {
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
        let end_family = root.issuer().is_none().then(|| root.family().to_owned());
        self.append_group(
            RecordGroup {
                records,
                end_family,
                ..RecordGroup::default()
            },
            None,
        );
    }
}

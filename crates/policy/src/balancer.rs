//! Load balancing over the targets of a failure domain.

use lagoon_ids::{hash64, DomainName, FastMap, TargetName};
use lagoon_sheet::{Sheet, Workload};

/// Limits on ejection and on affinity in a [`Balancer`]'s choice of targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalancerSettings {
    /// Time for which a target is ejected after a failed connection.
    pub ejection_ms: u64,
    /// Share of the candidate targets of a call, in percent; if more of them are
    /// ejected, ejections are ignored.
    pub max_ejection_percent: u32,
    /// Number of calls by which the load of the program's last target may exceed
    /// that of the least loaded one without losing the call to it.
    pub affinity_slack: u32,
}

impl Default for BalancerSettings {
    fn default() -> Self {
        BalancerSettings {
            ejection_ms: 2_000,
            max_ejection_percent: 50,
            affinity_slack: 4,
        }
    }
}

/// Load and health of one target as this VM knows it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetState {
    /// This VM's calls in flight.
    pub in_flight: u32,
    /// This VM's calls in flight at the time of the last load report.
    pub in_flight_at_report: u32,
    /// Calls of all VMs by the last load report.
    pub reported_load: u32,
    /// Time of the last load report; 0 before the first.
    pub reported_ms: u64,
    /// End of the last ejection; 0 if there was none.
    pub ejected_until_ms: u64,
    /// Whether any source reported that the target is about to stop.
    pub draining: bool,
    /// Time until which the target is at its limit; 0 if it never was.
    pub no_room_until_ms: u64,
}

impl TargetState {
    /// Estimated load: the reported calls of other VMs and those of this VM.
    pub fn load(&self) -> u32 {
        let others = self.reported_load.saturating_sub(self.in_flight_at_report);
        others + self.in_flight
    }
}

/// Preferences for one call besides load.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementHint<'a> {
    /// Target that ran the program's last call and may have its prefix cached;
    /// `None` if it isn't known.
    pub last_target: Option<&'a TargetName>,
    /// Target, if any, at which the call just failed; chosen only if no other has
    /// a free slot.
    pub avoid_target: Option<&'a TargetName>,
    /// Random value that breaks ties, so that VMs don't all choose the same target.
    pub salt: u64,
}

/// Targets of one failure domain as one VM sees them.
#[derive(Clone, Debug)]
pub struct Balancer {
    settings: BalancerSettings,
    domain: DomainName,
    states: FastMap<TargetName, TargetState>,
}

impl Balancer {
    /// Balancer without load reports.
    pub fn new(domain: DomainName, settings: BalancerSettings) -> Balancer {
        Balancer {
            settings,
            domain,
            states: FastMap::default(),
        }
    }

    /// State of a target; idle and healthy if nothing is known.
    pub fn state(&self, target: &TargetName) -> TargetState {
        self.states.get(target).copied().unwrap_or_default()
    }

    fn entry(&mut self, target: &TargetName) -> &mut TargetState {
        self.states.entry(target.clone()).or_default()
    }

    /// Removes the states of targets that the sheet doesn't list.
    pub fn on_sheet(&mut self, sheet: &Sheet) {
        self.states
            .retain(|name, _| sheet.targets.iter().any(|target| target.name == *name));
    }

    /// Records a load report: running and waiting calls of all VMs at a target.
    pub fn on_load(&mut self, target: &TargetName, load: u32, now_ms: u64) {
        let state = self.entry(target);
        state.reported_load = load;
        state.reported_ms = now_ms;
        state.in_flight_at_report = state.in_flight;
    }

    /// Records that a target is about to stop.
    pub fn on_draining(&mut self, target: &TargetName) {
        self.entry(target).draining = true;
    }

    /// Records that a target is at its limit until this time.
    pub fn on_no_room(&mut self, target: &TargetName, until_ms: u64) {
        let state = self.entry(target);
        state.no_room_until_ms = state.no_room_until_ms.max(until_ms);
    }

    /// Whether a target may have room within its limit.
    pub fn has_room(&self, target: &TargetName, now_ms: u64) -> bool {
        now_ms >= self.state(target).no_room_until_ms
    }

    /// Counts a call that is sent.
    pub fn on_sent(&mut self, target: &TargetName) {
        self.entry(target).in_flight += 1;
    }

    /// Counts the end of a call.
    pub fn on_done(&mut self, target: &TargetName) {
        let state = self.entry(target);
        state.in_flight = state.in_flight.saturating_sub(1);
        state.in_flight_at_report = state.in_flight_at_report.min(state.in_flight);
    }

    /// Ejects a target after a failed connection.
    pub fn eject(&mut self, target: &TargetName, now_ms: u64) {
        let until_ms = now_ms + self.settings.ejection_ms;
        self.entry(target).ejected_until_ms = until_ms;
    }

    /// Whether the failure domain has a target for calls of `workload`, with free
    /// slots or not; draining ones don't count.
    pub fn has_target(&self, sheet: &Sheet, workload: Workload) -> bool {
        sheet
            .targets_serving(workload)
            .any(|(_, target)| target.domain == self.domain && !self.state(&target.name).draining)
    }

    /// Sum of the slots of all targets in the failure domain for calls of
    /// `workload`, without draining ones.
    pub fn slots(&self, sheet: &Sheet, workload: Workload) -> u32 {
        sheet
            .targets_serving(workload)
            .filter(|(_, target)| target.domain == self.domain)
            .filter(|(_, target)| !self.state(&target.name).draining)
            .map(|(_, target)| target.slots)
            .sum()
    }

    /// Target for a call; `None` if no target has a free slot.
    ///
    /// Prefers the program's last target, which may have its prefix cached, unless
    /// another one has clearly less load.
    pub fn choose<'a>(
        &self,
        sheet: &'a Sheet,
        workload: Workload,
        hint: PlacementHint<'_>,
        now_ms: u64,
    ) -> Option<&'a TargetName> {
        let candidates: Vec<_> = sheet
            .targets_serving(workload)
            .map(|(_, target)| target)
            .filter(|target| target.domain == self.domain)
            .filter(|target| !self.state(&target.name).draining)
            .collect();
        let ejected = |name: &TargetName| self.state(name).ejected_until_ms > now_ms;
        let ejected_count = candidates
            .iter()
            .filter(|target| ejected(&target.name))
            .count();
        let max_ejected = candidates.len() * self.settings.max_ejection_percent as usize / 100;
        // With that many ejected, the cause of the failures is probably not the
        // targets.
        let ignore_ejections = ejected_count > max_ejected;
        let available = candidates.into_iter().filter(|target| {
            let state = self.state(&target.name);
            state.load() < target.slots
                && now_ms >= state.no_room_until_ms
                && (ignore_ejections || !ejected(&target.name))
        });
        available
            .min_by_key(|target| {
                let mut load = self.state(&target.name).load();
                if hint.last_target == Some(&target.name) {
                    load = load.saturating_sub(self.settings.affinity_slack);
                }
                let has_failed = hint.avoid_target == Some(&target.name);
                let tie = hash64(target.name.as_str().as_bytes()) ^ hint.salt;
                let is_other_target = hint.last_target != Some(&target.name);
                (has_failed, load, is_other_target, tie)
            })
            .map(|target| &target.name)
    }
}

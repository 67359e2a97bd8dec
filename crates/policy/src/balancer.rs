//! Choice of a target.

use lagoon_ids::{hash64, DomainName, FastMap, TargetName};
use lagoon_sheet::{Sheet, Workload};

/// Settings of a [`Balancer`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalancerSettings {
    /// Time a target is left alone after a failed connection.
    pub ejection_ms: u64,
    /// Share of a service's targets that may be left alone, in percent.
    pub max_ejection_percent: u32,
    /// Load that a program's last target may have above the best.
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

/// What is known of one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetState {
    /// Own calls under way.
    pub in_flight: u32,
    /// Own calls under way when the last load report was made.
    pub in_flight_at_report: u32,
    /// Calls of all VMs at the last load report.
    pub reported_load: u32,
    /// Time of the last load report.
    pub reported_ms: u64,
    /// End of the time it is left alone.
    pub ejected_until_ms: u64,
    /// Whether any source called it leaving.
    pub draining: bool,
}

impl TargetState {
    /// Calls it is held to run: those of others as reported, and the own.
    pub fn load(&self) -> u32 {
        let others = self.reported_load.saturating_sub(self.in_flight_at_report);
        others + self.in_flight
    }
}

/// What speaks for a target besides its load.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementHint<'a> {
    /// Target that ran the program's last call.
    pub last_target: Option<&'a TargetName>,
    /// Target to avoid, since it just failed.
    pub avoid_target: Option<&'a TargetName>,
    /// Breaks ties, so that VMs don't all choose the same target.
    pub salt: u64,
}

/// Targets of one failure domain, as one VM sees them.
#[derive(Clone, Debug)]
pub struct Balancer {
    settings: BalancerSettings,
    domain: DomainName,
    states: FastMap<TargetName, TargetState>,
}

impl Balancer {
    /// Balancer that knows no loads yet.
    pub fn new(domain: DomainName, settings: BalancerSettings) -> Balancer {
        Balancer {
            settings,
            domain,
            states: FastMap::default(),
        }
    }

    /// State of a target.
    pub fn state(&self, target: &TargetName) -> TargetState {
        self.states.get(target).copied().unwrap_or_default()
    }

    fn entry(&mut self, target: &TargetName) -> &mut TargetState {
        self.states.entry(target.clone()).or_default()
    }

    /// Drops the states of targets that the sheet no longer names.
    pub fn on_sheet(&mut self, sheet: &Sheet) {
        self.states
            .retain(|name, _| sheet.targets.iter().any(|target| target.name == *name));
    }

    /// Takes a load report.
    pub fn on_load(&mut self, target: &TargetName, load: u32, now_ms: u64) {
        let state = self.entry(target);
        state.reported_load = load;
        state.reported_ms = now_ms;
        state.in_flight_at_report = state.in_flight;
    }

    /// Takes the word of any source that a target is leaving.
    pub fn on_draining(&mut self, target: &TargetName) {
        self.entry(target).draining = true;
    }

    /// Counts a call that is sent.
    pub fn on_sent(&mut self, target: &TargetName) {
        self.entry(target).in_flight += 1;
    }

    /// Counts a call that no longer is under way.
    pub fn on_done(&mut self, target: &TargetName) {
        let state = self.entry(target);
        state.in_flight = state.in_flight.saturating_sub(1);
        state.in_flight_at_report = state.in_flight_at_report.min(state.in_flight);
    }

    /// Leaves a target alone for a while.
    pub fn eject(&mut self, target: &TargetName, now_ms: u64) {
        let until_ms = now_ms + self.settings.ejection_ms;
        self.entry(target).ejected_until_ms = until_ms;
    }

    /// Whether some target in the domain could ever take such a call.
    pub fn has_target(&self, sheet: &Sheet, serves: Workload) -> bool {
        sheet
            .targets_serving(serves)
            .any(|(_, target)| target.domain == self.domain && !self.state(&target.name).draining)
    }

    /// Calls that the targets may run at once.
    pub fn slots(&self, sheet: &Sheet, serves: Workload) -> u32 {
        sheet
            .targets_serving(serves)
            .filter(|(_, target)| target.domain == self.domain)
            .filter(|(_, target)| !self.state(&target.name).draining)
            .map(|(_, target)| target.slots)
            .sum()
    }

    /// Target for a call, if one has room.
    ///
    /// Stays with the program's last target, which may have its prefix
    /// cached, unless another has clearly less load.
    pub fn choose<'a>(
        &self,
        sheet: &'a Sheet,
        serves: Workload,
        hint: PlacementHint<'_>,
        now_ms: u64,
    ) -> Option<&'a TargetName> {
        let own: Vec<_> = sheet
            .targets_serving(serves)
            .map(|(_, target)| target)
            .filter(|target| target.domain == self.domain)
            .filter(|target| !self.state(&target.name).draining)
            .collect();
        let ejected = |name: &TargetName| self.state(name).ejected_until_ms > now_ms;
        let count = own.iter().filter(|target| ejected(&target.name)).count();
        let most = own.len() * self.settings.max_ejection_percent as usize / 100;
        // With too many left alone, the trouble is not theirs.
        let spare = count > most;
        let room = own.into_iter().filter(|target| {
            let state = self.state(&target.name);
            state.load() < target.slots && (spare || !ejected(&target.name))
        });
        room.min_by_key(|target| {
            let mut load = self.state(&target.name).load();
            if hint.last_target == Some(&target.name) {
                load = load.saturating_sub(self.settings.affinity_slack);
            }
            let avoided = hint.avoid_target == Some(&target.name);
            let tie = hash64(target.name.as_str().as_bytes()) ^ hint.salt;
            let moved = hint.last_target != Some(&target.name);
            (avoided, load, moved, tie)
        })
        .map(|target| &target.name)
    }
}

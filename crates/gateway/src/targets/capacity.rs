//! Speed and capacity of targets, for services whose targets report how long work takes.

use lagoon_capacity::{Sample, SampleKind, ServiceEstimates, TargetSpeed};

use super::{Target, TargetKey, TargetLoad, Targets};
use crate::gossip::TargetHash;

/// Present estimates of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityEstimate {
    /// Time of a request at low load over that at a median idle target of the service.
    pub slowness: f64,
    /// Concurrent requests up to which times stay within the objective of callers.
    pub capacity: f64,
    /// Age of the newest sample; `None` without one.
    pub age_ms: Option<u64>,
}

impl Targets {
    /// Whether one of the service's targets has reported how long work takes. Until
    /// then, nothing is estimated.
    pub fn has_estimates(&self, service: &str) -> bool {
        self.service_estimates.contains_key(service)
    }

    pub(super) fn record_work(&mut self, key: TargetKey, load: TargetLoad, now_ms: u64) {
        let Some((percent, target)) = load.work_percent.zip(self.arena.get_mut(key)) else {
            return;
        };
        let service = target.entry.service.clone();
        let service = self.service_estimates.entry(service).or_default();
        let settings = &self.capacity_settings;
        target
            .estimates
            .record_figure(settings, service, percent, now_ms);
    }

    /// Records the time of a request, or of an event of its stream.
    pub fn record_sample(
        &mut self,
        key: TargetKey,
        kind: SampleKind,
        took_ms: f64,
        is_success: bool,
        now_ms: u64,
    ) {
        let Some(target) = self.arena.get_mut(key) else {
            return;
        };
        let Some(service) = self.service_estimates.get_mut(&target.entry.service) else {
            return;
        };
        let load = target.load(&self.settings, now_ms);
        let sample = Sample {
            kind,
            took_ms,
            load_share: load / f64::from(target.entry.slots.max(1)),
            is_success,
        };
        let settings = &self.capacity_settings;
        service.record(settings, &mut target.estimates, &sample, now_ms);
    }

    /// Estimates of a target; `None` if its service has none.
    pub fn estimate(&self, target: &Target, now_ms: u64) -> Option<CapacityEstimate> {
        let service = self.service_estimates.get(&target.entry.service)?;
        Some(self.estimate_in(service, target, now_ms))
    }

    /// Targets of services with estimates.
    pub fn estimates(&self, now_ms: u64) -> impl Iterator<Item = (&Target, CapacityEstimate)> {
        let targets = self.arena.values();
        targets.filter_map(move |target| Some((target, self.estimate(target, now_ms)?)))
    }

    pub(crate) fn service_estimates(&self, service: &str) -> Option<&ServiceEstimates> {
        self.service_estimates.get(service)
    }

    pub(crate) fn estimate_in(
        &self,
        service: &ServiceEstimates,
        target: &Target,
        now_ms: u64,
    ) -> CapacityEstimate {
        let settings = &self.capacity_settings;
        let slots = f64::from(target.entry.slots.max(1));
        let slowness = target.estimates.slowness(settings, service, now_ms);
        CapacityEstimate {
            slowness,
            capacity: service.capacity(settings, &target.estimates, slots, now_ms),
            age_ms: target.estimates.age_ms(now_ms),
        }
    }

    /// At most `count` updates on the speed of targets for gossip peers, since the last
    /// call. Those that are left follow with the next call.
    pub fn take_speeds(&mut self, count: usize, now_ms: u64) -> Vec<TargetSpeed> {
        if self.service_estimates.is_empty() {
            return Vec::new();
        }
        let targets = self.arena.values_mut();
        let mut unsent: Vec<&mut Target> = targets
            .filter(|target| target.estimates.has_news())
            .collect();
        // The newest tell most.
        unsent.sort_by_key(|target| target.estimates.age_ms(now_ms));
        let sent = unsent.into_iter().take(count);
        sent.map(|target| {
            let hash = target.id_hash().0;
            target.estimates.take_update(hash, now_ms)
        })
        .collect()
    }

    /// Applies updates of a gossip peer on the speed of targets.
    pub fn apply_speeds(&mut self, speeds: &[TargetSpeed], now_ms: u64) {
        for update in speeds {
            let Some(&key) = self.by_hash.get(&TargetHash(update.target)) else {
                continue;
            };
            let target = &mut self.arena[key];
            let service = target.entry.service.clone();
            let service = match update.figure {
                Some(_) => self.service_estimates.entry(service).or_default(),
                None => match self.service_estimates.get_mut(&service) {
                    Some(service) => service,
                    None => continue,
                },
            };
            let settings = &self.capacity_settings;
            target
                .estimates
                .apply_update(settings, service, update, now_ms);
        }
    }
}

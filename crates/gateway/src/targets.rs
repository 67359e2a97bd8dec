//! Known targets and the estimates of their load and speed.

mod capacity;
mod leaving;
mod lost;
mod target;

use std::net::SocketAddr;

pub use capacity::CapacityEstimate;
use compact_str::CompactString;
use derive_more::Display;
use lagoon_capacity::{CapacitySettings, SampleKind, ServiceEstimates};
use lagoon_ids::{hash64, FastMap};
use lagoon_limits::{Demand, LimitChange, LimitTable, RunId};
use lagoon_streams::{SoftwareId, VersionHistory};
use leaving::LeavingRuns;
use lost::LostAttempts;
use slotmap::{new_key_type, SlotMap};

use crate::gossip::{TargetHash, TargetUpdate};
pub use lost::{LostAttempt, UnfinishedAttempt};
pub use target::Target;

/// Weight of the newest event interval in the mean of its service.
const SERVICE_INTERVAL_WEIGHT: f64 = 0.01;

/// Weight of the newest response in the mean service time of its service.
const SERVICE_TIME_WEIGHT: f64 = 0.02;

new_key_type! {
    /// Key of a target in [`Targets`]; not reused after the target's removal.
    pub struct TargetKey;
}

/// Status that a target publishes in its entry.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum TargetStatus {
    /// Accepts requests.
    #[display("ready")]
    Ready,
    /// Is about to stop and gets no new requests.
    #[display("draining")]
    Draining,
}

/// Entry of a target in the platform's store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetEntry {
    /// Id of the target, which a later run of its process may have too.
    pub id: CompactString,
    /// Name of the service that it serves.
    pub service: CompactString,
    /// IP address and port at which it takes requests.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: CompactString,
    /// Version of its software, without an order. Streams of two versions don't fit
    /// together.
    pub software_version: CompactString,
    /// Requests that it runs concurrently at most.
    pub slots: u32,
    /// Status as the target published it.
    pub status: TargetStatus,
    /// Unix time of its start; a target that starts again may keep its id. `None`
    /// if it publishes none.
    pub started_unix_ms: Option<u64>,
}

/// Load that a target reports in a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that it runs concurrently at most.
    pub slots: u32,
    /// How long work takes there at present, in percent of the usual; `None` if the
    /// target reports no valid figure.
    pub work_percent: Option<u32>,
}

/// Settings of [`Targets`]: ejection, expiry and decay of estimates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetSettings {
    /// Half-life of the weight of a load report.
    pub load_half_life_ms: f64,
    /// First ejection time after consecutive failures; doubles with each further
    /// failure, three times at most.
    pub ejection_ms: u64,
    /// Consecutive failures that eject a target.
    pub ejection_failures: u32,
    /// Time after the end of a store outage for which targets are kept although
    /// their entry is missing.
    pub missing_grace_ms: u64,
    /// Half-life of the weight of a target's event intervals.
    pub event_interval_half_life_ms: f64,
    /// Time after a gossip peer's update for which the in-flight requests in it
    /// count.
    pub gossip_ttl_ms: u64,
    /// Assumed service time of a request, until its service has a sample.
    pub default_service_ms: f64,
}

impl Default for TargetSettings {
    fn default() -> Self {
        TargetSettings {
            // The length of a few model calls; gossip peers report newer loads by then.
            load_half_life_ms: 500.0,
            ejection_ms: 500,
            ejection_failures: 2,
            // Entries that expired in an outage are written again within 2 s.
            missing_grace_ms: 1_900,
            // Three gossip periods, so that a message may get lost.
            gossip_ttl_ms: 350,
            // A target that has become slow is tried again after some seconds.
            event_interval_half_life_ms: 2_000.0,
            // About the length of one model call at an idle engine.
            default_service_ms: 250.0,
        }
    }
}

impl TargetSettings {
    /// Weight of a load report of the time `reported_ms`.
    fn remaining_weight(&self, reported_ms: u64, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(reported_ms) as f64;
        0.5_f64.powf(age_ms / self.load_half_life_ms)
    }
}

/// All known targets, with indexes by id, hash and service.
#[derive(Debug, Default)]
pub struct Targets {
    /// Settings of all targets.
    pub settings: TargetSettings,
    arena: SlotMap<TargetKey, Target>,
    by_id: FastMap<CompactString, TargetKey>,
    by_hash: FastMap<TargetHash, TargetKey>,
    by_service: FastMap<CompactString, Vec<TargetKey>>,
    /// Mean service time of requests by service, without time in a queue.
    service_ms: FastMap<CompactString, f64>,
    /// Mean time between two events of a stream by service.
    service_interval_ms: FastMap<CompactString, f64>,
    /// End of the grace period after a store outage, in which a missing entry may
    /// only have expired.
    missing_grace_until_ms: u64,
    lost: LostAttempts,
    leaving: LeavingRuns,
    /// Limits that targets have stated in responses.
    pub limits: LimitTable,
    versions: VersionHistory,
    /// Settings of the estimates of speed and capacity.
    pub capacity_settings: CapacitySettings,
    /// Estimates of the services whose targets report how long work takes.
    service_estimates: FastMap<CompactString, ServiceEstimates>,
}

impl Targets {
    /// Adds or updates an entry. Another address, service, software version or start
    /// time under a known id makes it a new target.
    pub fn upsert(&mut self, entry: TargetEntry) {
        if let Some(&key) = self.by_id.get(&entry.id) {
            let current = &self.arena[key].entry;
            let is_same = current.address == entry.address
                && current.service == entry.service
                && current.software_version == entry.software_version
                && current.started_unix_ms == entry.started_unix_ms;
            if is_same {
                let target = &mut self.arena[key];
                target.entry = entry;
                target.is_missing = false;
                target.is_entry_invalid = false;
                target.held_entry = None;
                return;
            }
            if current.software_version != entry.software_version {
                let id_hash = self.arena[key].id_hash();
                self.versions.version_changed(u64::from(id_hash.0));
            }
            let has_restarted = current.started_unix_ms != entry.started_unix_ms;
            self.remove_key(key, has_restarted);
        }
        let id = entry.id.clone();
        let service = entry.service.clone();
        let is_leaving = self.leaving.contains(&entry);
        let key = self.arena.insert(Target::new(entry, is_leaving));
        let software = self.arena[key].software;
        self.versions
            .target_added(hash64(service.as_bytes()), software);
        self.by_id.insert(id, key);
        self.by_hash.insert(self.arena[key].id_hash(), key);
        self.by_service.entry(service).or_default().push(key);
    }

    /// Handles an invalid entry under an id. A known target gets no requests until its
    /// next valid entry; what is known of it is kept, as it may come from another writer
    /// than the target.
    pub fn suspend(&mut self, id: &str) {
        self.suspend_for(id, None);
    }

    /// Like [`Targets::upsert`], for an entry whose service the configuration doesn't
    /// name. If the target is known for another service, the entry counts as an invalid
    /// one until [`Targets::release_held`]; returns whether that is so.
    pub fn hold(&mut self, entry: TargetEntry) -> bool {
        let current = self.by_id.get(&entry.id).map(|key| &self.arena[*key].entry);
        let is_moved = current.is_some_and(|current| current.service != entry.service);
        if is_moved {
            let id = entry.id.clone();
            self.suspend_for(&id, Some(entry));
        } else {
            self.upsert(entry);
        }
        is_moved
    }

    fn suspend_for(&mut self, id: &str, entry: Option<TargetEntry>) {
        if let Some(&key) = self.by_id.get(id) {
            let target = &mut self.arena[key];
            target.is_missing = false;
            target.is_entry_invalid = true;
            target.held_entry = entry;
        }
    }

    /// Applies the held entries whose service is named now.
    pub fn release_held<F>(&mut self, is_named: F)
    where
        F: Fn(&str) -> bool,
    {
        let held = self.arena.values_mut().filter_map(|target| {
            let entry = target.held_entry.as_ref();
            let is_due = entry.is_some_and(|entry| is_named(&entry.service));
            is_due.then(|| target.held_entry.take()).flatten()
        });
        for entry in held.collect::<Vec<_>>() {
            self.upsert(entry);
        }
    }

    /// Handles the removal of an entry. Right after an outage of the store the
    /// target is kept for a while, as its entry may only have expired.
    pub fn remove(&mut self, id: &str, now_ms: u64) {
        let Some(&key) = self.by_id.get(id) else {
            return;
        };
        if now_ms < self.missing_grace_until_ms {
            self.arena[key].is_missing = true;
        } else {
            self.remove_expired_key(key, now_ms);
        }
    }

    /// Removes the targets for whose id `is_listed` returns `false`, as by
    /// [`Targets::remove`].
    pub fn retain<F>(&mut self, is_listed: F, now_ms: u64)
    where
        F: Fn(&str) -> bool,
    {
        let removed = self.by_id.keys().filter(|id| !is_listed(id));
        for id in removed.cloned().collect::<Vec<_>>() {
            self.remove(&id, now_ms);
        }
    }

    /// Starts the grace period of missing entries after a store outage.
    pub fn on_store_recovered(&mut self, now_ms: u64) {
        self.missing_grace_until_ms = now_ms + self.settings.missing_grace_ms;
    }

    /// Removes targets whose entry is still missing after the grace period.
    pub fn remove_expired(&mut self, now_ms: u64) {
        if now_ms < self.missing_grace_until_ms {
            return;
        }
        let removed: Vec<TargetKey> = self
            .arena
            .iter()
            .filter(|(_, target)| target.is_missing)
            .map(|(key, _)| key)
            .collect();
        for key in removed {
            self.remove_expired_key(key, now_ms);
        }
    }

    fn remove_expired_key(&mut self, key: TargetKey, now_ms: u64) {
        let target = self.arena.get(key);
        let has_crashed = target.is_some_and(|target| target.has_crashed_if_expired(now_ms));
        self.remove_key(key, has_crashed);
    }

    fn remove_key(&mut self, key: TargetKey, has_crashed: bool) {
        let Some(target) = self.arena.remove(key) else {
            return;
        };
        self.by_id.remove(&target.entry.id);
        self.by_hash.remove(&target.id_hash());
        let service = hash64(target.entry.service.as_bytes());
        self.versions.target_removed(service, target.software);
        if let Some(keys) = self.by_service.get_mut(&target.entry.service) {
            keys.retain(|other| *other != key);
        }
        if has_crashed {
            let run = target.run_hash();
            self.lost
                .target_removed(key, run, target.entry.id, target.unfinished);
        }
    }

    /// Records an attempt that ended without a complete response.
    pub fn record_unfinished(&mut self, key: TargetKey, attempt: UnfinishedAttempt) {
        match self.arena.get_mut(key) {
            Some(target) => target.unfinished.push(attempt),
            None => self.lost.ended_after_removal(key, attempt),
        }
    }

    /// Unfinished attempts whose target has probably crashed, since the last
    /// call: it gave no sign of life after the attempt, and then it started again,
    /// or its entry expired although it had not announced that it would stop.
    pub fn take_lost(&mut self, now_ms: u64) -> Vec<LostAttempt> {
        self.lost.take(now_ms)
    }

    /// The only software version that a service has had for as long as a stream lasts;
    /// `None` if there were several, or that isn't known.
    pub fn sole_version(&mut self, service: &str, now_ms: u64) -> Option<SoftwareId> {
        self.versions.observe(now_ms);
        self.versions.sole_version(hash64(service.as_bytes()))
    }

    /// Software versions that a service has had for as long as a stream lasts.
    pub fn versions(&mut self, service: &str, now_ms: u64) -> Vec<SoftwareId> {
        self.versions.observe(now_ms);
        self.versions.versions(hash64(service.as_bytes()))
    }

    /// Dates the changes of software versions since the last call. To be called at
    /// least each second.
    pub fn observe_versions(&mut self, now_ms: u64) {
        self.versions.observe(now_ms);
    }

    /// Whether the target with this hash may have had another software version than
    /// its entry said when it was read.
    pub fn is_version_doubtful(&self, target: TargetHash) -> bool {
        self.versions.is_doubtful(u64::from(target.0))
    }

    /// Target of a key, unless it was removed.
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.arena.get(key)
    }

    /// Addresses of other targets in the failure domain of a target, at most
    /// `count`: those that gave the latest signs of life come first.
    pub fn domain_neighbors(&self, key: TargetKey, count: usize) -> Vec<SocketAddr> {
        let Some(target) = self.arena.get(key) else {
            return Vec::new();
        };
        let domain = &target.entry.domain;
        let mut neighbors: Vec<&Target> = self
            .arena
            .iter()
            .filter(|(other, target)| *other != key && target.entry.domain == *domain)
            .map(|(_, target)| target)
            .collect();
        neighbors.sort_by_key(|target| std::cmp::Reverse(target.alive_ms));
        let addresses = neighbors.iter().map(|target| target.entry.address);
        addresses.take(count).collect()
    }

    /// Key of the target with this hash, unless it was removed.
    pub fn key_by_hash(&self, hash: TargetHash) -> Option<TargetKey> {
        self.by_hash.get(&hash).copied()
    }

    /// Key and address of the target with this id, if it is this run of it.
    pub fn find_run(&self, id: &str, run: RunId) -> Option<(TargetKey, SocketAddr)> {
        let key = *self.by_id.get(id)?;
        let target = self.arena.get(key).filter(|target| target.run == run)?;
        Some((key, target.entry.address))
    }

    /// Targets of a service, whatever their status; none if the service is unknown.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (TargetKey, &Target)> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter()
            .filter_map(|key| self.arena.get(*key).map(|target| (*key, target)))
    }

    /// Number of known targets.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// Counts a request that is sent to a target.
    pub fn request_started(&mut self, key: TargetKey, now_ms: u64) {
        if let Some(target) = self.arena.get_mut(key) {
            if target.in_flight == 0 {
                target.last_progress_ms = now_ms;
            }
            target.in_flight += 1;
        }
    }

    /// Counts the end of a request at a target, whatever its outcome.
    pub fn request_ended(&mut self, key: TargetKey) {
        if let Some(target) = self.arena.get_mut(key) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }

    /// Records the load that a target reported in a response.
    pub fn record_load(&mut self, key: TargetKey, load: TargetLoad, now_ms: u64) {
        if let Some(target) = self.arena.get_mut(key) {
            target.record_load(load.running + load.waiting, now_ms, now_ms);
        }
        self.record_work(key, load, now_ms);
    }

    /// Updates for gossip peers since the last call.
    pub fn take_updates(&mut self, now_ms: u64) -> Vec<TargetUpdate> {
        let targets = self.arena.values_mut();
        targets
            .filter_map(|target| target.take_update(now_ms))
            .collect()
    }

    /// Applies the updates of a gossip peer. The peer has no requests in flight
    /// at targets that the updates don't name.
    pub fn apply_updates(&mut self, peer: SocketAddr, updates: &[TargetUpdate], now_ms: u64) {
        let by_target: FastMap<TargetHash, &TargetUpdate> = updates
            .iter()
            .map(|update| (update.target, update))
            .collect();
        let expires_ms = now_ms + self.settings.gossip_ttl_ms;
        let mut intervals = Vec::new();
        for (key, target) in &mut self.arena {
            let update = by_target.get(&target.id_hash()).copied();
            target.apply_update(peer, update, expires_ms, now_ms);
            let interval_ms = update.and_then(|update| update.event_interval_ms);
            intervals.extend(interval_ms.map(|interval_ms| (key, f64::from(interval_ms))));
        }
        for (key, interval_ms) in intervals {
            self.learn_event_interval(key, interval_ms, now_ms);
        }
    }

    /// Records the time between two events of one of this VM's streams.
    pub fn record_event_interval(&mut self, key: TargetKey, interval_ms: f64, now_ms: u64) {
        if let Some(target) = self.arena.get_mut(key) {
            target.event_intervals.record_unreported(interval_ms);
        }
        self.learn_event_interval(key, interval_ms, now_ms);
        self.record_sample(key, SampleKind::EventInterval, interval_ms, true, now_ms);
    }

    fn learn_event_interval(&mut self, key: TargetKey, interval_ms: f64, now_ms: u64) {
        let Some(target) = self.arena.get_mut(key) else {
            return;
        };
        target.event_intervals.record(interval_ms, now_ms);
        let service = target.entry.service.clone();
        let mean_ms = self
            .service_interval_ms
            .entry(service)
            .or_insert(interval_ms);
        *mean_ms += (interval_ms - *mean_ms) * SERVICE_INTERVAL_WEIGHT;
    }

    /// Excess of a target's event interval over its service's mean, as a share of
    /// the mean; 0 for a target that isn't slower or has no sample.
    pub fn slowdown(&self, target: &Target, now_ms: u64) -> f64 {
        let intervals = target.event_intervals;
        let mean_ms = self.service_interval_ms.get(&target.entry.service);
        let Some(mean_ms) = mean_ms.filter(|_| intervals.updated_ms > 0) else {
            return 0.0;
        };
        let age_ms = now_ms.saturating_sub(intervals.updated_ms) as f64;
        let weight = 0.5_f64.powf(age_ms / self.settings.event_interval_half_life_ms);
        (intervals.mean_ms / mean_ms.max(1.0) - 1.0).max(0.0) * weight
    }

    /// Records that a target stated that it is about to stop, in the response to a
    /// request that was sent by `entry` at the Unix time `sent_unix_ms`. It gets no
    /// new requests until it starts again, whatever its entry says. Returns whether
    /// that is news.
    pub fn record_leaving(&mut self, entry: &TargetEntry, sent_unix_ms: u64) -> bool {
        let is_news = !self.leaving.contains(entry);
        self.leaving.insert(entry, sent_unix_ms);
        // The entry may have been removed, or written again, since the request was
        // sent.
        let key = self.by_id.get(&entry.id);
        if let Some(target) = key.and_then(|key| self.arena.get_mut(*key)) {
            target.is_leaving = self.leaving.contains(&target.entry);
        }
        is_news
    }

    /// Records the limit that a target states in the response to a request that was
    /// sent at `sent_ms`, or that it states none. Returns what that changes.
    pub fn record_limit(
        &mut self,
        key: TargetKey,
        per_s: Option<f64>,
        sent_ms: u64,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let run = self.arena.get(key)?.run;
        self.limits.record_response(run, per_s, sent_ms, now_ms)
    }

    /// Limit of a target in requests per second, with the time since it was last
    /// stated; `None` without a limit.
    pub fn limit(&self, key: TargetKey, now_ms: u64) -> Option<(f64, u64)> {
        let run = self.arena.get(key)?.run;
        let per_s = self.limits.limit(run)?;
        Some((per_s, self.limits.statement_age_ms(run, now_ms)?))
    }

    /// Whether a target has stated a limit.
    pub fn is_limited(&self, target: &Target) -> bool {
        self.limits.limit(target.run).is_some()
    }

    /// Records that no permit was granted for a target: it has no room for such
    /// requests until then.
    pub fn record_no_room(&mut self, key: TargetKey, demand: Demand, until_ms: u64) {
        if let Some(target) = self.arena.get_mut(key) {
            target.room.record_refused(demand, until_ms);
        }
    }

    /// Whether a target may have room for a request as far as its limit goes.
    pub fn has_room(&self, target: &Target, demand: Demand, now_ms: u64) -> bool {
        now_ms >= target.room.at_ms(demand) || !self.is_limited(target)
    }

    /// Earliest time at which one of the candidates with a limit may have room for a
    /// request; `None` if none has a limit and accepts requests.
    pub fn next_room_ms<F>(&self, service: &str, is_candidate: F, demand: Demand) -> Option<u64>
    where
        F: Fn(TargetKey) -> bool,
    {
        self.of_service(service)
            .filter(|(key, _)| is_candidate(*key))
            .filter(|(_, target)| target.accepts_requests() && self.is_limited(target))
            .map(|(_, target)| target.room.at_ms(demand))
            .min()
    }

    /// Id of the known target with this run; `None` if there is none.
    pub fn id_of_run(&self, run: RunId) -> Option<&CompactString> {
        let mut targets = self.arena.values();
        let found = targets.find(|target| target.run == run);
        found.map(|target| &target.entry.id)
    }

    /// Forgets the limits that were last spoken of long ago and whose targets are no
    /// longer known.
    pub fn remove_expired_limits(&mut self, now_ms: u64) {
        let arena = &self.arena;
        let is_known = |run| arena.values().any(|target| target.run == run);
        self.limits.remove_expired(is_known, now_ms);
    }

    /// Number of known targets that have a limit.
    pub fn limited_count(&self) -> usize {
        let targets = self.arena.values();
        targets.filter(|target| self.is_limited(target)).count()
    }

    /// Number of known targets that have stated that they are about to stop.
    pub fn leaving_count(&self) -> usize {
        let targets = self.arena.values();
        targets.filter(|target| target.is_leaving).count()
    }

    /// Records that bytes of a response arrived.
    pub fn record_progress(&mut self, key: TargetKey, now_ms: u64) {
        if let Some(target) = self.arena.get_mut(key) {
            target.record_progress(now_ms);
        }
    }

    /// Records a complete response to a request that took `elapsed_ms`;
    /// `is_good` unless it reports a server error.
    pub fn record_response(&mut self, key: TargetKey, is_good: bool, elapsed_ms: u64, now_ms: u64) {
        let Some(target) = self.arena.get_mut(key) else {
            return;
        };
        target.consecutive_failures = 0;
        target.record_progress(now_ms);
        target.record_result(is_good);
        // At a load above the target's slots, `elapsed_ms` may include time in
        // its queue.
        let has_free_slot = target.load(&self.settings, now_ms) <= f64::from(target.entry.slots);
        if is_good && has_free_slot {
            let service = target.entry.service.clone();
            let mean_ms = self
                .service_ms
                .entry(service)
                .or_insert(self.settings.default_service_ms);
            *mean_ms += (elapsed_ms as f64 - *mean_ms) * SERVICE_TIME_WEIGHT;
        }
    }

    /// Mean time that a request of a service runs in a slot.
    pub fn service_ms(&self, service: &str) -> f64 {
        let current = self.service_ms.get(service);
        current.copied().unwrap_or(self.settings.default_service_ms)
    }

    /// Records a request that was abandoned without a complete response; this
    /// raises the target's failure rate and doesn't eject it.
    pub fn record_abandoned(&mut self, key: TargetKey) {
        if let Some(target) = self.arena.get_mut(key) {
            target.record_result(false);
        }
    }

    /// Records an attempt without a response; consecutive failures eject the
    /// target.
    pub fn record_failure(&mut self, key: TargetKey, now_ms: u64) {
        let settings = self.settings;
        if let Some(target) = self.arena.get_mut(key) {
            target.record_result(false);
            target.consecutive_failures += 1;
            if target.consecutive_failures >= settings.ejection_failures {
                let doublings = (target.consecutive_failures - settings.ejection_failures).min(3);
                target.ejected_until_ms = now_ms + (settings.ejection_ms << doublings);
            }
        }
    }

    /// Ejects a target that can't be reached.
    pub fn record_unreachable(&mut self, key: TargetKey, now_ms: u64) {
        let ejection_ms = self.settings.ejection_ms;
        if let Some(target) = self.arena.get_mut(key) {
            target.consecutive_failures += 1;
            target.ejected_until_ms = now_ms + ejection_ms;
        }
    }
}

//! Targets that are known, and what is believed of their load.

mod target;

use std::net::SocketAddr;

use compact_str::CompactString;
use derive_more::Display;
use lagoon_ids::FastMap;
use slotmap::{new_key_type, SlotMap};

use crate::gossip::{TargetHash, TargetUpdate};
pub use target::Target;

/// Weight of the newest gap between events in the pace of a service.
const NEWEST_USUAL_GAP: f64 = 0.01;

/// Weight of the newest answer in the time that requests of a service take.
const NEWEST_RUN: f64 = 0.02;

new_key_type! {
    /// Key of a target.
    pub struct TargetKey;
}

/// What a target says of itself.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum TargetStatus {
    /// Takes requests.
    #[display("ready")]
    Ready,
    /// Leaves soon.
    #[display("draining")]
    Draining,
}

/// Entry of a target in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetEntry {
    /// Identity of this incarnation.
    pub id: CompactString,
    /// Service.
    pub service: CompactString,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: CompactString,
    /// Requests that it runs at once.
    pub slots: u32,
    /// State.
    pub status: TargetStatus,
}

/// Load that a target tells with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run at once at most.
    pub slots: u32,
}

/// How beliefs about targets age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetSettings {
    /// Time after which half of a reported load is taken as gone.
    pub load_half_life_ms: f64,
    /// First pause after failures in a row.
    pub ejection_ms: u64,
    /// Failures in a row before a pause.
    pub ejection_failures: u32,
    /// How long a missing entry is kept after the store came back.
    pub missing_grace_ms: u64,
    /// Time after which half of what is known of a pace is taken as gone.
    pub event_interval_half_life_ms: f64,
    /// How long a neighbour's word on its own requests counts.
    pub gossip_ttl_ms: u64,
    /// Time that a request takes in a place, until its service is known.
    pub default_service_ms: f64,
}

impl Default for TargetSettings {
    fn default() -> Self {
        TargetSettings {
            // Some model calls' length: neighbours tell new reports until then.
            load_half_life_ms: 500.0,
            ejection_ms: 500,
            ejection_failures: 2,
            // Entries that lapsed in an outage are back within 2 s.
            missing_grace_ms: 1_900,
            // Three periods of load news, so that one may get lost.
            gossip_ttl_ms: 350,
            // A target that has turned slow is tried again after some seconds.
            event_interval_half_life_ms: 2_000.0,
            // About the length of one model call at an idle engine.
            default_service_ms: 250.0,
        }
    }
}

impl TargetSettings {
    /// Share of a load reported at `at_ms` that still counts.
    fn left(&self, at_ms: u64, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(at_ms) as f64;
        0.5_f64.powf(age_ms / self.load_half_life_ms)
    }
}

/// All targets that are known.
#[derive(Debug, Default)]
pub struct Targets {
    /// Settings.
    pub settings: TargetSettings,
    arena: SlotMap<TargetKey, Target>,
    by_id: FastMap<CompactString, TargetKey>,
    by_tag: FastMap<TargetHash, TargetKey>,
    by_service: FastMap<CompactString, Vec<TargetKey>>,
    /// Time that requests of a service take in a place.
    service_ms: FastMap<CompactString, f64>,
    /// Gap between the events of a service's streams.
    usual_gap_ms: FastMap<CompactString, f64>,
    /// Until when entries that vanish may be lapsed ones.
    lapse_until_ms: u64,
}

impl Targets {
    /// Takes an entry as the platform's list has it.
    pub fn upsert(&mut self, entry: TargetEntry) {
        if let Some(&key) = self.by_id.get(&entry.id) {
            let known = &self.arena[key].entry;
            if known.address == entry.address && known.service == entry.service {
                let target = &mut self.arena[key];
                target.entry = entry;
                target.missing = false;
                return;
            }
            self.remove_key(key);
        }
        let id = entry.id.clone();
        let service = entry.service.clone();
        let key = self.arena.insert(Target::new(entry));
        self.by_id.insert(id, key);
        self.by_tag.insert(self.arena[key].id_hash(), key);
        self.by_service.entry(service).or_default().push(key);
    }

    /// Takes note that an entry is gone from the list. Right after an outage
    /// of the store the target stays for a while, as its entry may only have
    /// lapsed.
    pub fn remove(&mut self, id: &str, now_ms: u64) {
        let Some(&key) = self.by_id.get(id) else {
            return;
        };
        if now_ms < self.lapse_until_ms {
            self.arena[key].missing = true;
        } else {
            self.remove_key(key);
        }
    }

    /// Takes the whole list; what is not in it is gone.
    pub fn replace(&mut self, entries: Vec<TargetEntry>, now_ms: u64) {
        let gone: Vec<CompactString> = self
            .by_id
            .keys()
            .filter(|id| !entries.iter().any(|entry| entry.id == **id))
            .cloned()
            .collect();
        for id in gone {
            self.remove(&id, now_ms);
        }
        for entry in entries {
            self.upsert(entry);
        }
    }

    /// The store answers again after an outage.
    pub fn on_store_recovered(&mut self, now_ms: u64) {
        self.lapse_until_ms = now_ms + self.settings.missing_grace_ms;
    }

    /// Forgets entries that did not come back after an outage.
    pub fn remove_expired(&mut self, now_ms: u64) {
        if now_ms < self.lapse_until_ms {
            return;
        }
        let gone: Vec<TargetKey> = self
            .arena
            .iter()
            .filter(|(_, target)| target.missing)
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            self.remove_key(key);
        }
    }

    fn remove_key(&mut self, key: TargetKey) {
        let Some(target) = self.arena.remove(key) else {
            return;
        };
        self.by_id.remove(&target.entry.id);
        self.by_tag.remove(&target.id_hash());
        if let Some(keys) = self.by_service.get_mut(&target.entry.service) {
            keys.retain(|other| *other != key);
        }
    }

    /// Target of a key, unless it is gone.
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.arena.get(key)
    }

    /// Target of a tag, unless it is gone.
    pub fn key_by_hash(&self, tag: TargetHash) -> Option<TargetKey> {
        self.by_tag.get(&tag).copied()
    }

    /// Targets of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (TargetKey, &Target)> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter()
            .filter_map(|key| self.arena.get(*key).map(|target| (*key, target)))
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// A request goes there.
    pub fn request_started(&mut self, key: TargetKey, now_ms: u64) {
        if let Some(target) = self.arena.get_mut(key) {
            if target.in_flight == 0 {
                target.progress_ms = now_ms;
            }
            target.in_flight += 1;
        }
    }

    /// A request there has ended.
    pub fn request_ended(&mut self, key: TargetKey) {
        if let Some(target) = self.arena.get_mut(key) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }

    /// Takes the load that an answer told.
    pub fn record_load(&mut self, key: TargetKey, load: TargetLoad, now_ms: u64) {
        if let Some(target) = self.arena.get_mut(key) {
            target.report(load.running + load.waiting, now_ms, now_ms);
        }
    }

    /// What neighbours should know of the loads of targets.
    pub fn take_updates(&mut self, now_ms: u64) -> Vec<TargetUpdate> {
        let targets = self.arena.values_mut();
        targets.filter_map(|target| target.news(now_ms)).collect()
    }

    /// Takes what a neighbour tells; targets that it doesn't name have none of
    /// its requests.
    pub fn apply_updates(&mut self, neighbour: SocketAddr, news: &[TargetUpdate], now_ms: u64) {
        let told: FastMap<TargetHash, &TargetUpdate> =
            news.iter().map(|told| (told.target, told)).collect();
        let until_ms = now_ms + self.settings.gossip_ttl_ms;
        let mut gaps = Vec::new();
        for (key, target) in &mut self.arena {
            let told = told.get(&target.id_hash()).copied();
            target.take_news(neighbour, told, until_ms, now_ms);
            let gap_ms = told.and_then(|told| told.event_interval_ms);
            gaps.extend(gap_ms.map(|gap_ms| (key, f64::from(gap_ms))));
        }
        for (key, gap_ms) in gaps {
            self.learn_gap(key, gap_ms, now_ms);
        }
    }

    /// Takes note of the time between two events of a stream.
    pub fn record_event_interval(&mut self, key: TargetKey, gap_ms: f64, now_ms: u64) {
        if let Some(target) = self.arena.get_mut(key) {
            target.pace.tell(gap_ms);
        }
        self.learn_gap(key, gap_ms, now_ms);
    }

    fn learn_gap(&mut self, key: TargetKey, gap_ms: f64, now_ms: u64) {
        let Some(target) = self.arena.get_mut(key) else {
            return;
        };
        target.pace.learn(gap_ms, now_ms);
        let service = target.entry.service.clone();
        let usual_ms = self.usual_gap_ms.entry(service).or_insert(gap_ms);
        *usual_ms += (gap_ms - *usual_ms) * NEWEST_USUAL_GAP;
    }

    /// How much longer than usual a target takes for its work, as a share: 0
    /// for one that is as fast as others or of which nothing is known.
    pub fn slowdown(&self, target: &Target, now_ms: u64) -> f64 {
        let pace = target.pace;
        let usual_ms = self.usual_gap_ms.get(&target.entry.service);
        let Some(usual_ms) = usual_ms.filter(|_| pace.learned_ms > 0) else {
            return 0.0;
        };
        let age_ms = now_ms.saturating_sub(pace.learned_ms) as f64;
        let left = 0.5_f64.powf(age_ms / self.settings.event_interval_half_life_ms);
        (pace.gap_ms / usual_ms.max(1.0) - 1.0).max(0.0) * left
    }

    /// Bytes of an answer came.
    pub fn record_progress(&mut self, key: TargetKey, now_ms: u64) {
        if let Some(target) = self.arena.get_mut(key) {
            target.progress_ms = now_ms;
        }
    }

    /// Takes note of a whole answer to a request that was there for `took_ms`;
    /// `is_good` unless the target says that it failed.
    pub fn record_response(&mut self, key: TargetKey, is_good: bool, took_ms: u64, now_ms: u64) {
        let Some(target) = self.arena.get_mut(key) else {
            return;
        };
        target.failures = 0;
        target.progress_ms = now_ms;
        target.learn(is_good);
        // With all places taken, requests wait for one before they run.
        let has_places = target.load(&self.settings, now_ms) <= f64::from(target.entry.slots);
        if is_good && has_places {
            let service = target.entry.service.clone();
            let run_ms = self
                .service_ms
                .entry(service)
                .or_insert(self.settings.default_service_ms);
            *run_ms += (took_ms as f64 - *run_ms) * NEWEST_RUN;
        }
    }

    /// Time that a request of a service takes in a place.
    pub fn service_ms(&self, service: &str) -> f64 {
        let known = self.service_ms.get(service);
        known.copied().unwrap_or(self.settings.default_service_ms)
    }

    /// Takes note of a request that was given up without an answer.
    pub fn record_abandoned(&mut self, key: TargetKey) {
        if let Some(target) = self.arena.get_mut(key) {
            target.learn(false);
        }
    }

    /// Takes note of a try without an answer; failures in a row pause it.
    pub fn record_failure(&mut self, key: TargetKey, now_ms: u64) {
        let settings = self.settings;
        if let Some(target) = self.arena.get_mut(key) {
            target.learn(false);
            target.failures += 1;
            if target.failures >= settings.ejection_failures {
                let doublings = (target.failures - settings.ejection_failures).min(3);
                target.paused_until_ms = now_ms + (settings.ejection_ms << doublings);
            }
        }
    }

    /// Pauses a target that can't be reached.
    pub fn record_unreachable(&mut self, key: TargetKey, now_ms: u64) {
        let pause_ms = self.settings.ejection_ms;
        if let Some(target) = self.arena.get_mut(key) {
            target.failures += 1;
            target.paused_until_ms = now_ms + pause_ms;
        }
    }
}

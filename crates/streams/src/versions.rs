//! Software versions that a VM has read of each service.

use lagoon_ids::{FastMap, FastSet};

use crate::origin::{SoftwareId, STREAM_LIFE_MS};

/// Time for which a target whose version changed under its id is in doubt: as long as
/// records that may name it are kept.
const DOUBT_MS: u64 = 60_000;

/// Versions by service, and targets whose version changed. Changes count from the
/// next [`VersionHistory::observe`], as the list of targets is applied without times.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Versions of a service, by the hash of its name, with the last time at which a
    /// target had each.
    versions: FastMap<u64, FastMap<SoftwareId, u64>>,
    /// Versions that targets have now, by service and with their number.
    current: FastMap<(u64, SoftwareId), u32>,
    /// Versions that the last target has given up since the last observation.
    gone: FastSet<(u64, SoftwareId)>,
    /// Targets whose version changed since the last observation.
    changed: Vec<u64>,
    doubtful_until_ms: FastMap<u64, u64>,
    first_observed_ms: Option<u64>,
}

impl VersionHistory {
    /// A target of a service, by the hash of its name, is listed.
    pub fn target_added(&mut self, service: u64, software: SoftwareId) {
        *self.current.entry((service, software)).or_default() += 1;
    }

    /// A target is listed no more.
    pub fn target_removed(&mut self, service: u64, software: SoftwareId) {
        let Some(count) = self.current.get_mut(&(service, software)) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.current.remove(&(service, software));
            self.gone.insert((service, software));
        }
    }

    /// The target with this hash has another version than before.
    pub fn version_changed(&mut self, target: u64) {
        self.changed.push(target);
    }

    /// Dates the changes since the last call.
    pub fn observe(&mut self, now_ms: u64) {
        self.first_observed_ms.get_or_insert(now_ms);
        let seen = self.current.keys().copied().chain(self.gone.drain());
        for (service, software) in seen {
            let versions = self.versions.entry(service).or_default();
            versions.insert(software, now_ms);
        }
        for versions in self.versions.values_mut() {
            versions.retain(|_, seen_ms| now_ms < *seen_ms + STREAM_LIFE_MS);
        }
        self.doubtful_until_ms
            .retain(|_, until_ms| now_ms < *until_ms);
        for target in self.changed.drain(..) {
            self.doubtful_until_ms.insert(target, now_ms + DOUBT_MS);
        }
    }

    /// Versions of the service for as long as a stream lasts, as of the last
    /// observation.
    pub fn versions(&self, service: u64) -> Vec<SoftwareId> {
        let versions = self.versions.get(&service);
        versions.map_or_else(Vec::new, |versions| versions.keys().copied().collect())
    }

    /// The only version that the service has had for as long as a stream lasts, as of
    /// the last observation; `None` if there were several or that isn't known.
    pub fn sole_version(&self, service: u64) -> Option<SoftwareId> {
        let versions = self.versions.get(&service)?;
        let observed_ms = versions.values().max()?;
        let since_ms = self.first_observed_ms?;
        let is_long = *observed_ms >= since_ms + STREAM_LIFE_MS;
        let mut versions = versions.keys();
        let sole = versions.next().filter(|_| versions.next().is_none());
        sole.copied().filter(|_| is_long)
    }

    /// Whether the version of a target may have been another one than was read.
    pub fn is_doubtful(&self, target: u64) -> bool {
        self.doubtful_until_ms.contains_key(&target) || self.changed.contains(&target)
    }
}

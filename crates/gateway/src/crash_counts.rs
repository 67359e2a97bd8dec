//! Crash counts of requests that were running at targets when these crashed.
//!
//! A request that crashes its target is sent again, through any VM. So crashes
//! are counted in the store by a fingerprint of the request's content, and a
//! request with three crashes is quarantined for a while. Other requests that
//! were running at the same target are counted too, but rarely reach three.

use lagoon_ids::{hash64, FastMap};

use crate::request_metadata::RequestMetadata;

/// Crashes after which a request is quarantined.
const QUARANTINE_CRASHES: u32 = 3;

/// Time without a further crash after which a request's count expires and its
/// quarantine ends.
const CRASH_TTL_MS: u64 = 60_000;

/// Body length in bytes from which the body alone distinguishes requests; a
/// shorter one is combined with the program and the affinity key.
const MIN_DISTINCT_BYTES: usize = 64;

/// Fingerprint of a request's content; short bodies are distinguished by the
/// program and the affinity key.
pub fn fingerprint(path: &str, body: &[u8], metadata: &RequestMetadata) -> u64 {
    let mut content = Vec::with_capacity(path.len() + body.len() + 64);
    content.extend_from_slice(path.as_bytes());
    content.push(0);
    content.extend_from_slice(body);
    if body.len() < MIN_DISTINCT_BYTES {
        let names = [&metadata.program, &metadata.affinity];
        for name in names.into_iter().flatten() {
            content.push(0);
            content.extend_from_slice(name.as_bytes());
        }
    }
    hash64(&content)
}

#[derive(Clone, Copy, Debug)]
struct CrashCount {
    crashes: u32,
    version: u64,
    updated_ms: u64,
}

/// Crash counts by fingerprint, of this VM and from the store.
#[derive(Debug, Default)]
pub struct CrashCounts {
    counts: FastMap<u64, CrashCount>,
}

impl CrashCounts {
    /// Whether requests with this fingerprint are refused.
    pub fn is_quarantined(&self, fingerprint: u64, now_ms: u64) -> bool {
        let count = self.counts.get(&fingerprint);
        count.is_some_and(|count| {
            count.crashes >= QUARANTINE_CRASHES && now_ms < count.updated_ms + CRASH_TTL_MS
        })
    }

    /// Number of quarantined fingerprints.
    pub fn quarantined_count(&self, now_ms: u64) -> usize {
        let fingerprints = self.counts.keys();
        fingerprints
            .filter(|fingerprint| self.is_quarantined(**fingerprint, now_ms))
            .count()
    }

    /// Count that includes one more crash, and the version of the row that it is
    /// to replace; version 0 if there is no row.
    pub fn next_count(&self, fingerprint: u64) -> (u32, u64) {
        let count = self.counts.get(&fingerprint);
        count.map_or((1, 0), |count| (count.crashes + 1, count.version))
    }

    /// Applies the count in a row of version `version`, unless a newer version of
    /// the row is known.
    pub fn set_count(&mut self, fingerprint: u64, crashes: u32, version: u64, now_ms: u64) {
        let count = self.counts.entry(fingerprint).or_insert(CrashCount {
            crashes: 0,
            version: 0,
            updated_ms: now_ms,
        });
        if version >= count.version {
            count.updated_ms = now_ms;
            count.version = version;
            count.crashes = crashes;
        }
    }

    /// Removes the count of a row that was deleted.
    pub fn remove(&mut self, fingerprint: u64) {
        self.counts.remove(&fingerprint);
    }

    /// Fingerprints whose rows should be deleted, with the rows' versions.
    pub fn expired(&self, now_ms: u64) -> Vec<(u64, u64)> {
        let counts = self.counts.iter();
        counts
            .filter(|(_, count)| now_ms >= count.updated_ms + CRASH_TTL_MS)
            .map(|(fingerprint, count)| (*fingerprint, count.version))
            .collect()
    }
}

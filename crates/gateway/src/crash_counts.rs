//! Requests that were running at targets when these crashed.
//!
//! A request that crashes whatever runs it comes again, through any VM. So
//! crashes are counted by a fingerprint of the content, in the store, and a
//! request that was there at the third is refused for a while. A neighbour of
//! such a request is rarely there three times.

use lagoon_ids::{hash64, FastMap};

use crate::request_metadata::RequestMetadata;

/// Crashes after which a request is refused.
const QUARANTINE_CRASHES: u32 = 3;

/// Time for which a crash counts.
const CRASH_TTL_MS: u64 = 60_000;

/// Shortest body that tells requests apart by itself, in bytes.
const MIN_DISTINCT_BYTES: usize = 64;

/// Fingerprint of a request's content.
pub fn fingerprint(path: &str, body: &[u8], facts: &RequestMetadata) -> u64 {
    let mut content = Vec::with_capacity(path.len() + body.len() + 64);
    content.extend_from_slice(path.as_bytes());
    content.push(0);
    content.extend_from_slice(body);
    if body.len() < MIN_DISTINCT_BYTES {
        let names = [&facts.program, &facts.affinity];
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

/// What is known of suspects, from own crashes and the store.
#[derive(Debug, Default)]
pub struct CrashCounts {
    counts: FastMap<u64, CrashCount>,
}

impl CrashCounts {
    /// Whether a request is refused.
    pub fn is_quarantined(&self, fingerprint: u64, now_ms: u64) -> bool {
        let suspect = self.counts.get(&fingerprint);
        suspect.is_some_and(|suspect| {
            suspect.crashes >= QUARANTINE_CRASHES && now_ms < suspect.updated_ms + CRASH_TTL_MS
        })
    }

    /// Crashes with one more, and the version of the row that says so far.
    pub fn next_count(&self, fingerprint: u64) -> (u32, u64) {
        let suspect = self.counts.get(&fingerprint);
        suspect.map_or((1, 0), |suspect| (suspect.crashes + 1, suspect.version))
    }

    /// Takes the count of a row of version `version`.
    pub fn set_count(&mut self, fingerprint: u64, crashes: u32, version: u64, now_ms: u64) {
        let suspect = self.counts.entry(fingerprint).or_insert(CrashCount {
            crashes: 0,
            version: 0,
            updated_ms: now_ms,
        });
        if version >= suspect.version {
            suspect.updated_ms = now_ms;
            suspect.version = version;
            suspect.crashes = crashes;
        }
    }

    /// Forgets a suspect whose row is gone.
    pub fn remove(&mut self, fingerprint: u64) {
        self.counts.remove(&fingerprint);
    }

    /// Suspects whose rows should be removed, with their versions.
    pub fn expired(&self, now_ms: u64) -> Vec<(u64, u64)> {
        let suspects = self.counts.iter();
        suspects
            .filter(|(_, suspect)| now_ms >= suspect.updated_ms + CRASH_TTL_MS)
            .map(|(fingerprint, suspect)| (*fingerprint, suspect.version))
            .collect()
    }
}

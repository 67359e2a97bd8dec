//! Crashes of targets, by the request that was running at them.
//!
//! A request that crashes its target is sent again, through any VM, so all VMs
//! need to know what one of them saw, whether or not the store is available.
//! Each crash is a record that never changes, and the log is a set of records:
//! they may arrive late, repeatedly and in any order, from the store and from
//! other VMs, and all VMs come to the same result. A request with three crashes
//! is quarantined for a while. Other requests that were running at the same
//! target are recorded too, until one with their content completes.

use std::cmp::Reverse;

use compact_str::{format_compact, CompactString};
use lagoon_ids::{hash64, FastMap};
use serde::{Deserialize, Serialize};

use crate::gossip::TargetHash;
use crate::request_metadata::RequestMetadata;

/// Crashes after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 3;

/// Time after which a crash is forgotten. The software of a target that crashes
/// under a request is rarely replaced sooner.
const CRASH_TTL_MS: u64 = 600_000;

/// Time for which VMs repeat a crash to each other.
const REPEAT_MS: u64 = 60_000;

/// A target doesn't restart in less time than this, so an attempt that ended
/// earlier after a crash of its target saw the same crash.
const MIN_RESTART_MS: u64 = 200;

/// Body length in bytes from which the body alone distinguishes requests; a
/// shorter one is combined with the affinity key.
const MIN_DISTINCT_BYTES: usize = 64;

/// Hexadecimal digits of the parts of a row key.
const FINGERPRINT_DIGITS: usize = 16;
const TARGET_DIGITS: usize = 8;

/// Fingerprint of a request's content: path with query, body and, for short
/// bodies, the affinity key. The program is no part of it, as a request that
/// crashes targets may come again in another program.
pub fn fingerprint(path_and_query: &str, body: &[u8], metadata: &RequestMetadata) -> u64 {
    let mut content = Vec::with_capacity(path_and_query.len() + body.len() + 64);
    content.extend_from_slice(path_and_query.as_bytes());
    content.push(0);
    content.extend_from_slice(body);
    if let Some(affinity) = &metadata.affinity {
        if body.len() < MIN_DISTINCT_BYTES {
            content.push(0);
            content.extend_from_slice(affinity.as_bytes());
        }
    }
    hash64(&content)
}

/// One crash of a target while it ran a request. VMs that saw the same crash have
/// the same record.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashRecord {
    /// Fingerprint of the request's content.
    pub fingerprint: u64,
    /// Run of the target's process that crashed.
    pub target: TargetHash,
    /// Earlier crashes that the target itself doesn't distinguish from this one,
    /// as it restarted without another id or start time.
    pub earlier: u8,
}

impl CrashRecord {
    /// Key of the record's row in the store.
    pub fn row_key(self) -> CompactString {
        let TargetHash(target) = self.target;
        format_compact!("{:016x}{target:08x}{:02x}", self.fingerprint, self.earlier)
    }

    fn new(fingerprint: u64, (target, earlier): (TargetHash, u8)) -> CrashRecord {
        CrashRecord {
            fingerprint,
            target,
            earlier,
        }
    }

    /// Key among the crashes of the same fingerprint.
    fn crash_key(self) -> (TargetHash, u8) {
        (self.target, self.earlier)
    }

    /// Record with this row key; `None` if the key is invalid.
    pub fn from_row_key(key: &str) -> Option<CrashRecord> {
        let (fingerprint, remaining) = key.split_at_checked(FINGERPRINT_DIGITS)?;
        let (target, earlier) = remaining.split_at_checked(TARGET_DIGITS)?;
        let record = CrashRecord {
            fingerprint: u64::from_str_radix(fingerprint, 16).ok()?,
            target: TargetHash(u32::from_str_radix(target, 16).ok()?),
            earlier: u8::from_str_radix(earlier, 16).ok()?,
        };
        // Another spelling of a number would name another row.
        (record.row_key() == key).then_some(record)
    }
}

/// Crash record in a message to another VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashUpdate {
    /// The record.
    pub record: CrashRecord,
    /// Time from the crash to the message.
    pub age_ms: u64,
}

/// Whether a record is in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Storage {
    /// The VM that saw the crash stores the record.
    ByOtherVm,
    /// This VM saw the crash and has yet to store the record.
    Pending,
    /// The record has a row of this version.
    Row(u64),
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    /// Time of the crash; of the read, if it is known from the store only.
    crashed_ms: u64,
    storage: Storage,
}

impl Crash {
    fn is_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.crashed_ms + CRASH_TTL_MS
    }

    /// Version of the record's row, if it has one.
    fn row_version(&self) -> Option<u64> {
        match self.storage {
            Storage::Row(version) => Some(version),
            Storage::ByOtherVm | Storage::Pending => None,
        }
    }

    fn update(&self, record: CrashRecord, now_ms: u64) -> CrashUpdate {
        CrashUpdate {
            record,
            age_ms: now_ms.saturating_sub(self.crashed_ms),
        }
    }
}

/// Crashes that this VM saw, or learned of from the store or another VM.
#[derive(Debug, Default)]
pub struct CrashLog {
    crashes: FastMap<u64, FastMap<(TargetHash, u8), Crash>>,
    /// Records of this VM since the last [`CrashLog::take_new`].
    new: Vec<CrashRecord>,
}

impl CrashLog {
    /// Whether requests with this fingerprint are refused.
    pub fn is_quarantined(&self, fingerprint: u64, now_ms: u64) -> bool {
        self.crash_count(fingerprint, now_ms) >= QUARANTINE_CRASHES
    }

    /// Number of quarantined fingerprints.
    pub fn quarantined_count(&self, now_ms: u64) -> usize {
        let fingerprints = self.crashes.keys();
        fingerprints
            .filter(|fingerprint| self.is_quarantined(**fingerprint, now_ms))
            .count()
    }

    /// Known crashes of targets that were running a request with this
    /// fingerprint.
    pub fn crash_count(&self, fingerprint: u64, now_ms: u64) -> usize {
        let Some(crashes) = self.crashes.get(&fingerprint) else {
            return 0;
        };
        let valid = crashes.values().filter(|crash| !crash.is_expired(now_ms));
        valid.count()
    }

    /// Records a crash that interrupted an attempt at `ended_ms`, to be stored and
    /// sent to other VMs; `None` if the crash is known.
    pub fn record_interrupted(
        &mut self,
        fingerprint: u64,
        target: TargetHash,
        ended_ms: u64,
        now_ms: u64,
    ) -> Option<CrashRecord> {
        let known = self.crashes_of(fingerprint, target);
        let is_same = |crash: &Crash| ended_ms < crash.crashed_ms + MIN_RESTART_MS;
        if known.iter().any(is_same) {
            return None;
        }
        let record = CrashRecord {
            fingerprint,
            target,
            earlier: u8::try_from(known.len()).ok()?,
        };
        Some(self.insert_own(record, now_ms))
    }

    /// Records the crash of a target that is gone, to be stored and sent to other
    /// VMs; `None` if a crash of the target is known.
    pub fn record_gone(
        &mut self,
        fingerprint: u64,
        target: TargetHash,
        now_ms: u64,
    ) -> Option<CrashRecord> {
        if !self.crashes_of(fingerprint, target).is_empty() {
            return None;
        }
        let record = CrashRecord {
            fingerprint,
            target,
            earlier: 0,
        };
        Some(self.insert_own(record, now_ms))
    }

    /// Known crashes of one target while it ran a request.
    fn crashes_of(&self, fingerprint: u64, target: TargetHash) -> Vec<Crash> {
        let Some(crashes) = self.crashes.get(&fingerprint) else {
            return Vec::new();
        };
        let of_target = crashes.iter().filter(|((other, _), _)| *other == target);
        of_target.map(|(_, crash)| *crash).collect()
    }

    fn insert_own(&mut self, record: CrashRecord, now_ms: u64) -> CrashRecord {
        self.insert(record, now_ms, Storage::Pending);
        self.new.push(record);
        record
    }

    /// Adds the records that another VM sent.
    pub fn apply_updates(&mut self, updates: &[CrashUpdate], now_ms: u64) {
        for update in updates {
            if update.age_ms < CRASH_TTL_MS {
                let crashed_ms = now_ms.saturating_sub(update.age_ms);
                self.insert(update.record, crashed_ms, Storage::ByOtherVm);
            }
        }
    }

    /// Adds a record that has a row of this version in the store.
    pub fn set_stored(&mut self, record: CrashRecord, version: u64, now_ms: u64) {
        self.insert(record, now_ms, Storage::Row(version));
    }

    /// Adds a record. Of a known one, the earliest time and the row are kept.
    fn insert(&mut self, record: CrashRecord, crashed_ms: u64, storage: Storage) {
        let crashes = self.crashes.entry(record.fingerprint).or_default();
        let crash = crashes.entry(record.crash_key()).or_insert(Crash {
            crashed_ms,
            storage,
        });
        crash.crashed_ms = crash.crashed_ms.min(crashed_ms);
        if matches!(storage, Storage::Row(_)) {
            crash.storage = storage;
        }
    }

    /// Removes a record whose row was deleted.
    pub fn remove(&mut self, record: CrashRecord) {
        if let Some(crashes) = self.crashes.get_mut(&record.fingerprint) {
            crashes.remove(&record.crash_key());
            if crashes.is_empty() {
                self.crashes.remove(&record.fingerprint);
            }
        }
    }

    /// Removes all crashes of a request, as it completed at a target. Returns the
    /// records that have a row, and its version.
    pub fn remove_completed(&mut self, fingerprint: u64) -> Vec<(CrashRecord, u64)> {
        let crashes = self.crashes.remove(&fingerprint).unwrap_or_default();
        let rows = crashes.into_iter().filter_map(|(crash_key, crash)| {
            let record = CrashRecord::new(fingerprint, crash_key);
            Some((record, crash.row_version()?))
        });
        rows.collect()
    }

    /// Records that this VM has yet to store, at most `max`.
    pub fn pending(&self, max: usize) -> Vec<CrashRecord> {
        let pending = self
            .records()
            .filter(|(_, crash)| crash.storage == Storage::Pending);
        pending.map(|(record, _)| record).take(max).collect()
    }

    /// Updates on the crashes that this VM saw since the last call.
    pub fn take_new(&mut self, now_ms: u64) -> Vec<CrashUpdate> {
        let new = std::mem::take(&mut self.new);
        let updates = new.into_iter().filter_map(|record| {
            let crashes = self.crashes.get(&record.fingerprint)?;
            let crash = crashes.get(&record.crash_key())?;
            Some(crash.update(record, now_ms))
        });
        updates.collect()
    }

    /// Updates on the crashes of the last minute, whichever VM saw them, at most
    /// `max`: those of requests with the most crashes first, then the latest.
    pub fn to_repeat(&self, max: usize, now_ms: u64) -> Vec<CrashUpdate> {
        let updates = self.records();
        let updates = updates.map(|(record, crash)| crash.update(record, now_ms));
        let mut updates: Vec<CrashUpdate> =
            updates.filter(|update| update.age_ms < REPEAT_MS).collect();
        updates.sort_unstable_by_key(|update| {
            let crashes = self.crash_count(update.record.fingerprint, now_ms);
            (Reverse(crashes), update.age_ms, update.record)
        });
        updates.truncate(max);
        updates
    }

    /// Removes expired records; returns those with a row, and its version.
    pub fn remove_expired(&mut self, now_ms: u64) -> Vec<(CrashRecord, u64)> {
        let expired = self.records().filter(|(_, crash)| crash.is_expired(now_ms));
        let expired: Vec<(CrashRecord, Crash)> =
            expired.map(|(record, crash)| (record, *crash)).collect();
        for (record, _) in &expired {
            self.remove(*record);
        }
        let rows = expired.into_iter();
        rows.filter_map(|(record, crash)| Some((record, crash.row_version()?)))
            .collect()
    }

    fn records(&self) -> impl Iterator<Item = (CrashRecord, &Crash)> {
        self.crashes.iter().flat_map(|(&fingerprint, crashes)| {
            let crashes = crashes.iter();
            crashes.map(move |(&key, crash)| (CrashRecord::new(fingerprint, key), crash))
        })
    }
}

//! Evidence of how recent the configuration in force is.
//!
//! A read or watch of the configuration that began at time E and was answered proves
//! that the version it shows was the newest at E: whatever the store acknowledged before
//! E is in it. All times are of one clock of the VM, in milliseconds, which must also
//! count the time for which the VM is suspended. Times of different VMs are never
//! compared: what one VM tells another is the age of its evidence, which the receiver
//! counts back from the time at which it asked.

use crate::authentication::Recency;

/// Time by which evidence expires before the time in which a revocation must take effect,
/// for clocks that run at different rates and the resolution of ages.
const MARGIN_MS: u64 = 500;

/// Maximum age of the evidence for a final refusal. Keys are added far more often than a
/// watch takes this long.
const MAX_FINAL_AGE_MS: u64 = 2_500;

/// Age of the evidence from which other VMs are asked; own watches keep it younger while
/// the store answers.
const ASK_AGE_MS: u64 = 2_000;

/// Maximum duration of an own watch.
const WATCH_MS: u64 = 800;

/// Time between two rounds of questions to other VMs.
const ASK_INTERVAL_MS: u64 = 400;

/// The longest age that a VM states; larger ones are of no use.
const MAX_STATED_AGE_MS: u64 = 1_000_000_000;

/// Times that follow from the time in which a revocation must take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreshnessSettings {
    /// Time in which a revocation must take effect.
    pub revocation_ms: u64,
}

impl FreshnessSettings {
    /// Age from which evidence is too old to serve a request with a key.
    pub fn max_age_ms(&self) -> u64 {
        self.revocation_ms.saturating_sub(MARGIN_MS)
    }

    /// Maximum age of the evidence for a final refusal; at most half of the time in which
    /// a revocation must take effect.
    pub fn max_final_age_ms(&self) -> u64 {
        MAX_FINAL_AGE_MS.min(self.revocation_ms / 2)
    }

    /// Age of the evidence from which other VMs are asked.
    pub fn ask_age_ms(&self) -> u64 {
        ASK_AGE_MS.min(self.revocation_ms * 2 / 5)
    }

    /// Maximum duration of an own watch.
    pub fn watch_ms(&self) -> u64 {
        WATCH_MS.min(self.revocation_ms / 6)
    }
}

/// Evidence as one VM states it to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StatedEvidence {
    /// Age of the evidence.
    pub age_ms: u64,
    /// Version of the configuration's row that is in force at the VM.
    pub version: u64,
}

/// What a VM knows of how recent its configuration is.
#[derive(Clone, Debug)]
pub struct Freshness {
    settings: FreshnessSettings,
    /// Version of the configuration's row that is in force; `None` before the first.
    in_force: Option<u64>,
    /// Latest time at which the row in force, or an earlier one, is known to have been
    /// the newest.
    evidence_ms: Option<u64>,
    /// Time of the last round of questions.
    asked_ms: Option<u64>,
}

impl Freshness {
    /// State of a VM without a configuration.
    pub fn new(settings: FreshnessSettings) -> Freshness {
        Freshness {
            settings,
            in_force: None,
            evidence_ms: None,
            asked_ms: None,
        }
    }

    /// Times by which the evidence is judged.
    pub fn settings(&self) -> &FreshnessSettings {
        &self.settings
    }

    /// Version of the configuration's row that is in force; `None` before the first.
    pub fn version(&self) -> Option<u64> {
        self.in_force
    }

    /// Records that the configuration of the row with this version is in force.
    pub fn put_in_force(&mut self, version: u64) {
        self.in_force = self.in_force.max(Some(version));
    }

    /// Records that the row with version `newest` was the newest at `began_ms`. It is no
    /// evidence if that version isn't in force here, nor a later one; returns whether it
    /// is.
    pub fn record(&mut self, began_ms: u64, newest: u64) -> bool {
        if self.in_force.is_none_or(|version| version < newest) {
            return false;
        }
        self.evidence_ms = self.evidence_ms.max(Some(began_ms));
        true
    }

    /// Records the evidence of another VM, which was asked at `asked_ms`; returns whether
    /// it is evidence here. The time that question and reply took makes it older.
    pub fn record_stated(&mut self, asked_ms: u64, stated: StatedEvidence) -> bool {
        let Some(began_ms) = asked_ms.checked_sub(stated.age_ms) else {
            return false;
        };
        self.record(began_ms, stated.version)
    }

    /// Age of the evidence; `None` if there is none.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.evidence_ms?))
    }

    /// Evidence for another VM, as of now; `None` if there is none.
    pub fn state(&self, now_ms: u64) -> Option<StatedEvidence> {
        // Each VM that relays it reads two times that are rounded down.
        let age_ms = self.age_ms(now_ms)? + 1;
        Some(StatedEvidence {
            age_ms: age_ms.min(MAX_STATED_AGE_MS),
            version: self.in_force?,
        })
    }

    /// How recent the configuration in force is.
    pub fn recency(&self, now_ms: u64) -> Recency {
        match self.age_ms(now_ms) {
            Some(age_ms) if age_ms >= self.settings.max_age_ms() => Recency::Stale,
            Some(age_ms) if age_ms > self.settings.max_final_age_ms() => Recency::Aging,
            Some(_) => Recency::Recent,
            None => Recency::Stale,
        }
    }

    /// Whether other VMs are to be asked now; counts as a round of questions if so.
    pub fn take_question(&mut self, now_ms: u64) -> bool {
        let age_ms = self.age_ms(now_ms);
        let is_old = age_ms.is_none_or(|age_ms| age_ms > self.settings.ask_age_ms());
        let asked_ms = self.asked_ms;
        let is_due = asked_ms.is_none_or(|asked| now_ms >= asked + ASK_INTERVAL_MS);
        if is_old && is_due {
            self.asked_ms = Some(now_ms);
        }
        is_old && is_due
    }
}

//! Evidence of how recent the configuration in force is, by the clock of this VM.

use std::cell::{Cell, RefCell};
use std::fmt;

use lagoon_accounts::{Freshness, FreshnessSettings, Recency, StatedEvidence};
use serde::{Deserialize, Serialize};

use crate::clock::boot_now_ms;
use crate::settings::AccountSettings;

/// Response to [`PeerMessage::ReadFreshness`](crate::message::PeerMessage::ReadFreshness).
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct FreshnessReply {
    /// Age of the evidence that the configuration in force was the newest.
    pub age_ms: u64,
    /// Version of the configuration's row that is in force.
    pub version: u64,
    /// Value of that row, if it is newer than the version that the sender knows.
    pub value: Option<Vec<u8>>,
}

impl fmt::Debug for FreshnessReply {
    /// Leaves out the row, which has the accounts' keys.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value_bytes = self.value.as_ref().map(Vec::len);
        formatter
            .debug_struct("FreshnessReply")
            .field("age_ms", &self.age_ms)
            .field("version", &self.version)
            .field("value_bytes", &value_bytes)
            .finish()
    }
}

/// Evidence of how recent the configuration in force is.
pub(crate) struct ConfigEvidence {
    /// Whether requests are refused for lack of evidence.
    is_strict: bool,
    freshness: RefCell<Freshness>,
    /// Value of the row in force, for other VMs; empty before the first.
    value: RefCell<Vec<u8>>,
    /// Newest version of the configuration's row that can't be put in force; 0 if there
    /// is none.
    refused: Cell<u64>,
}

impl ConfigEvidence {
    pub(crate) fn new(settings: &AccountSettings) -> ConfigEvidence {
        let revocation_ms = settings.revocation_ms;
        ConfigEvidence {
            is_strict: settings.strict_revocation,
            freshness: RefCell::new(Freshness::new(FreshnessSettings { revocation_ms })),
            value: RefCell::default(),
            refused: Cell::new(0),
        }
    }

    pub(crate) fn is_strict(&self) -> bool {
        self.is_strict
    }

    /// Maximum duration of a watch of the configuration; `None` without strict
    /// revocation.
    pub(crate) fn max_watch_ms(&self) -> Option<u64> {
        let watch_ms = self.freshness.borrow().settings().watch_ms();
        self.is_strict.then_some(watch_ms)
    }

    /// Version of the configuration's row that is in force; 0 before the first.
    pub(crate) fn version(&self) -> u64 {
        self.freshness.borrow().version().unwrap_or_default()
    }

    /// Records that the configuration in this row is in force.
    pub(crate) fn put_in_force(&self, version: u64, value: &[u8]) {
        self.freshness.borrow_mut().put_in_force(version);
        if self.is_strict {
            *self.value.borrow_mut() = value.to_vec();
        }
    }

    /// Records that the row with this version can't be put in force.
    pub(crate) fn refuse(&self, version: u64) {
        self.refused.set(self.refused.get().max(version));
    }

    /// Version of the newest row that was tried; other VMs needn't send it again.
    pub(crate) fn known_version(&self) -> u64 {
        self.version().max(self.refused.get())
    }

    /// Records that the row with version `newest` was the newest when a call of the store
    /// began.
    pub(crate) fn record(&self, began_ms: Option<u64>, newest: u64) {
        if let Some(began_ms) = began_ms {
            self.freshness.borrow_mut().record(began_ms, newest);
        }
    }

    /// Records the evidence of another VM that was asked at `asked_ms`; returns whether
    /// it is evidence here.
    pub(crate) fn record_stated(&self, asked_ms: u64, stated: StatedEvidence) -> bool {
        let mut freshness = self.freshness.borrow_mut();
        freshness.record_stated(asked_ms, stated)
    }

    /// Whether other VMs are to be asked now.
    pub(crate) fn take_question(&self) -> bool {
        let now_ms = boot_now_ms();
        now_ms.is_some_and(|now_ms| self.freshness.borrow_mut().take_question(now_ms))
    }

    /// Age of the evidence; `None` if there is none.
    pub(crate) fn age_ms(&self) -> Option<u64> {
        self.freshness.borrow().age_ms(boot_now_ms()?)
    }

    /// Evidence for another VM.
    pub(crate) fn reply(&self, known_version: u64) -> Option<FreshnessReply> {
        // Without strict revocation, the row isn't kept.
        let stated = self.freshness.borrow().state(boot_now_ms()?)?;
        let is_newer = self.is_strict && stated.version > known_version;
        Some(FreshnessReply {
            age_ms: stated.age_ms,
            version: stated.version,
            value: is_newer.then(|| self.value.borrow().clone()),
        })
    }

    /// How recent the configuration in force is, as of now.
    pub(crate) fn recency(&self) -> Recency {
        if !self.is_strict {
            return Recency::Recent;
        }
        let freshness = self.freshness.borrow();
        boot_now_ms().map_or(Recency::Stale, |now_ms| freshness.recency(now_ms))
    }
}

//! Sentinels: the VMs that check in short intervals that their watches of the
//! store are alive, and vouch for those of the VMs around them.
//!
//! A watch may get lost without a sign, and an unchanged table gives none either.
//! Short watches bound the time until that is noticed, but their cost grows with
//! the fleet. So only some VMs make them, and tell the VMs of their failure
//! domain the newest versions that they have read. A VM makes long watches while
//! it hears from a sentinel, and renews one that has missed a version. If it hears
//! from none, it makes short watches itself and becomes a sentinel once they get
//! replies. Of two sentinels that hear each other, the one with the higher address
//! steps down.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

const TABLE_COUNT: usize = 4;

/// Table whose changes must be in force soon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SentinelTable {
    /// The configuration.
    Config,
    /// The entries of targets.
    Targets,
    /// The programs that have overspent their budgets.
    Overdrawn,
    /// The VMs, of which one grants the permits of a target.
    Peers,
}

impl SentinelTable {
    /// All tables.
    pub const ALL: [SentinelTable; TABLE_COUNT] = [
        SentinelTable::Config,
        SentinelTable::Targets,
        SentinelTable::Overdrawn,
        SentinelTable::Peers,
    ];
}

/// Message of a sentinel: the version of the newest change that it has read, by
/// table in the order of [`SentinelTable::ALL`]; `None` for a table for which it is
/// no sentinel.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableVersions(pub [Option<u64>; TABLE_COUNT]);

/// Intervals and timeouts of [`Sentinel`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentinelSettings {
    /// Time after a sentinel's message for which long watches are allowed.
    pub vouch_ttl_ms: u64,
    /// Interval of a sentinel's messages while nothing changes.
    pub vouch_interval_ms: u64,
    /// Maximum age of the last reply to a sentinel's watch; over twice the duration
    /// of a short watch.
    pub max_reply_age_ms: u64,
    /// Time in which a watch is expected to bring a change that a sentinel has read.
    pub missed_grace_ms: u64,
}

impl Default for SentinelSettings {
    fn default() -> Self {
        SentinelSettings {
            vouch_ttl_ms: 2_500,
            vouch_interval_ms: 1_000,
            max_reply_age_ms: 2_000,
            missed_grace_ms: 300,
        }
    }
}

/// Change that a sentinel has read and this VM hasn't.
#[derive(Clone, Copy, Debug)]
struct MissedChange {
    version: u64,
    heard_ms: u64,
    /// Whether the watch was renewed for it.
    is_renewed: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct TableState {
    /// Version of the store at the last reply; changes up to it are known.
    read_version: u64,
    /// Version of the newest change that was read.
    newest_change: u64,
    /// Time of the last reply; `None` before the first.
    replied_ms: Option<u64>,
    missed: Option<MissedChange>,
    /// Address and expiry of the last message of a sentinel with a lower address.
    voucher: Option<(SocketAddr, u64)>,
    /// Version that a sentinel stated and the store doesn't have; 0 if there is none.
    unfounded: u64,
    /// Whether the watch in flight is a long one.
    is_long: bool,
}

impl TableState {
    fn is_vouched(&self, now_ms: u64) -> bool {
        let voucher = self.voucher;
        voucher.is_some_and(|(_, expires_ms)| now_ms < expires_ms)
    }
}

/// What a VM knows of its own watches and of the sentinels around it.
#[derive(Clone, Debug)]
pub struct Sentinel {
    settings: SentinelSettings,
    own_address: SocketAddr,
    tables: [TableState; TABLE_COUNT],
    /// Last own message and its time; `None` before the first.
    sent: Option<(TableVersions, u64)>,
}

impl Sentinel {
    /// State of a VM that has read nothing and heard from no other.
    pub fn new(settings: SentinelSettings, own_address: SocketAddr) -> Sentinel {
        Sentinel {
            settings,
            own_address,
            tables: Default::default(),
            sent: None,
        }
    }

    /// Whether another VM vouches for long watches of a table.
    pub fn is_vouched(&self, table: SentinelTable, now_ms: u64) -> bool {
        self.tables[table as usize].is_vouched(now_ms)
    }

    /// Whether a table was read not long ago, or another VM vouches for the watch in
    /// flight.
    pub fn is_current(&self, table: SentinelTable, now_ms: u64) -> bool {
        let state = &self.tables[table as usize];
        let oldest_ms = now_ms.saturating_sub(self.settings.max_reply_age_ms);
        let is_young = state.replied_ms.is_some_and(|replied| replied >= oldest_ms);
        state.missed.is_none()
            && state.replied_ms.is_some()
            && (is_young || state.is_vouched(now_ms))
    }

    /// Records that a watch begins; returns whether it may be a long one.
    pub fn watch_started(&mut self, table: SentinelTable, now_ms: u64) -> bool {
        let state = &mut self.tables[table as usize];
        state.is_long = state.is_vouched(now_ms) && state.missed.is_none();
        state.is_long
    }

    /// Records a reply to a read or a watch: the store's version, and that of the
    /// newest change in the reply, if there is one.
    pub fn on_reply(
        &mut self,
        table: SentinelTable,
        version: u64,
        newest_change: Option<u64>,
        now_ms: u64,
    ) {
        let state = &mut self.tables[table as usize];
        state.read_version = state.read_version.max(version);
        state.newest_change = state.newest_change.max(newest_change.unwrap_or_default());
        state.replied_ms = Some(now_ms);
        let Some(missed) = state.missed else {
            return;
        };
        if missed.version <= state.read_version {
            state.missed = None;
        } else if missed.is_renewed {
            state.unfounded = missed.version;
            state.missed = None;
        }
    }

    /// Handles a message of another VM of the failure domain.
    pub fn on_message(&mut self, from: SocketAddr, versions: TableVersions, now_ms: u64) {
        for (state, version) in self.tables.iter_mut().zip(versions.0) {
            let Some(version) = version else {
                continue;
            };
            if from < self.own_address {
                state.voucher = Some((from, now_ms + self.settings.vouch_ttl_ms));
            }
            let is_known = version <= state.read_version || version == state.unfounded;
            if !is_known && state.missed.is_none() {
                state.missed = Some(MissedChange {
                    version,
                    heard_ms: now_ms,
                    is_renewed: false,
                });
            }
        }
    }

    /// Tables whose watch in flight must be renewed: it has missed a change, or is
    /// a long one for which no VM vouches any more.
    pub fn take_renewals(&mut self, now_ms: u64) -> Vec<SentinelTable> {
        let grace_ms = self.settings.missed_grace_ms;
        let is_due = |table: &SentinelTable| {
            let state = &mut self.tables[*table as usize];
            let is_unvouched = state.is_long && !state.is_vouched(now_ms);
            let missed = state
                .missed
                .as_mut()
                .filter(|missed| !missed.is_renewed && now_ms >= missed.heard_ms + grace_ms);
            let has_missed = missed.is_some();
            if let Some(missed) = missed {
                missed.is_renewed = true;
            }
            let is_due = has_missed || is_unvouched;
            state.is_long &= !is_due;
            is_due
        };
        SentinelTable::ALL.into_iter().filter(is_due).collect()
    }

    /// Message to the other VMs of the failure domain, if this VM is a sentinel and
    /// one is due: after a change, and regularly.
    pub fn take_message(&mut self, now_ms: u64) -> Option<TableVersions> {
        let oldest_ms = now_ms.saturating_sub(self.settings.max_reply_age_ms);
        let versions = TableVersions(self.tables.map(|state| {
            let has_reply = state.replied_ms.is_some_and(|replied| replied >= oldest_ms);
            let is_sentinel = has_reply && !state.is_vouched(now_ms);
            is_sentinel.then_some(state.newest_change)
        }));
        if versions == TableVersions::default() {
            return None;
        }
        let is_due = self.sent.is_none_or(|(sent, sent_ms)| {
            sent != versions || now_ms >= sent_ms + self.settings.vouch_interval_ms
        });
        if !is_due {
            return None;
        }
        self.sent = Some((versions, now_ms));
        Some(versions)
    }
}

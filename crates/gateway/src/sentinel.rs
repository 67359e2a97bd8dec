//! Sentinels: the VMs that check in short intervals that their watches of the
//! store are alive, and vouch for those of the VMs around them.
//!
//! A watch may get lost without a sign, and an unchanged table gives none either.
//! Short watches bound the time until that is noticed, but their cost grows with
//! the fleet. So only some VMs make them, and tell the VMs of their failure
//! domain the newest versions that they have read, and how old the evidence is that
//! these are the newest. A VM makes long watches while a sentinel's evidence is
//! young, whenever the message came, and renews one that has missed a version. If
//! there is no young evidence, it makes short watches itself and becomes a sentinel
//! once they get replies. Of two sentinels that hear each other, the one with the
//! higher address steps down.
//!
//! All times are of one clock of the VM, which must also count the time for which the
//! VM is suspended. VMs exchange ages, so their clocks are never compared. A message
//! that a suspended VM reads late makes its evidence look younger, until it expires.

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

/// Version of the newest change that a sentinel has read, by table in the order of
/// [`SentinelTable::ALL`]; `None` for a table for which it is no sentinel.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableVersions(pub [Option<u64>; TABLE_COUNT]);

/// Age in milliseconds of the evidence that these versions are the newest, in the order
/// of [`TableVersions`]; `None` if it isn't stated.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvidenceAges(pub [Option<u64>; TABLE_COUNT]);

/// Message of a sentinel to the other VMs of its failure domain.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SentinelMessage {
    /// Versions that it has read.
    pub versions: TableVersions,
    /// How old its evidence for them is. Earlier builds don't state it.
    pub ages: EvidenceAges,
}

/// Intervals and ages of [`Sentinel`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentinelSettings {
    /// Interval of a sentinel's messages while nothing changes. They are sent at its
    /// multiples, so that short watches can end before them.
    pub vouch_interval_ms: u64,
    /// Time before a message at which short watches end, so that it states young
    /// evidence; longer than a reply of a slow store takes.
    pub watch_lead_ms: u64,
    /// Minimum duration of a short watch, and that of one without young evidence.
    pub min_watch_ms: u64,
    /// Maximum duration of a short watch; longer than the interval of messages.
    pub max_watch_ms: u64,
    /// Age from which evidence vouches for no watch; over `vouch_interval_ms` +
    /// `watch_lead_ms`. With the time of a renewed watch, it bounds the time in which a
    /// change is in force at a VM whose watch got lost.
    pub max_age_ms: u64,
    /// Age up to which what was read counts as current; covers the time in which another
    /// VM takes the place of a sentinel that ended.
    pub current_age_ms: u64,
    /// Time in which a watch is expected to bring a change that a sentinel has read.
    pub missed_grace_ms: u64,
}

impl Default for SentinelSettings {
    fn default() -> Self {
        SentinelSettings {
            vouch_interval_ms: 1_000,
            watch_lead_ms: 350,
            min_watch_ms: 300,
            max_watch_ms: 1_100,
            max_age_ms: 1_700,
            current_age_ms: 2_500,
            missed_grace_ms: 300,
        }
    }
}

impl SentinelSettings {
    /// Duration of a short watch that begins now: until shortly before a message.
    fn short_watch_ms(&self, now_ms: u64) -> u64 {
        let interval_ms = self.vouch_interval_ms;
        let left_ms = interval_ms - (now_ms + self.watch_lead_ms) % interval_ms;
        let until_next_ms = match left_ms < self.min_watch_ms {
            true => left_ms + interval_ms,
            false => left_ms,
        };
        until_next_ms.min(self.max_watch_ms)
    }
}

/// Time at which a table's versions are known to have been the newest.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
struct Evidence(Option<u64>);

impl Evidence {
    fn is_younger_than(self, age_ms: u64, now_ms: u64) -> bool {
        self.0.is_some_and(|at_ms| now_ms < at_ms + age_ms)
    }
}

/// Duration of a watch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchDuration {
    /// Any, as another VM vouches for the watch.
    Long,
    /// This VM has to find out itself, in milliseconds, whether the watch is alive.
    ShortMs(u64),
}

/// Change that a sentinel has read and this VM hasn't.
#[derive(Clone, Copy, Debug)]
struct MissedChange {
    version: u64,
    heard_ms: u64,
    /// Whether the watch was renewed for it.
    is_renewed: bool,
}

/// Message with the youngest evidence of a sentinel with a lower address.
#[derive(Clone, Copy, Debug)]
struct Voucher {
    from: SocketAddr,
    evidence: Evidence,
}

#[derive(Clone, Copy, Debug, Default)]
struct TableState {
    /// Version of the store at the last reply; changes up to it are known.
    read_version: u64,
    /// Version of the newest change that was read.
    newest_change: u64,
    /// Evidence by the VM's own calls.
    own: Evidence,
    /// Evidence by its own calls and by sentinels that knew no newer version.
    known: Evidence,
    missed: Option<MissedChange>,
    voucher: Option<Voucher>,
    /// Version that a sentinel stated and the store doesn't have; 0 if there is none.
    unfounded: u64,
    /// Whether the watch in flight is a long one.
    is_long: bool,
}

impl TableState {
    fn is_vouched(&self, max_age_ms: u64, now_ms: u64) -> bool {
        let voucher = self.voucher;
        voucher.is_some_and(|voucher| voucher.evidence.is_younger_than(max_age_ms, now_ms))
    }
}

/// Evidence of a watch or read with this reply: an empty reply to a watch of `wait_ms`
/// that began at `began_ms` is from the end of the wait, any other may be from its begin.
pub fn evidence_ms(began_ms: u64, wait_ms: u64, is_empty: bool, now_ms: u64) -> u64 {
    match is_empty {
        true => now_ms.min(began_ms + wait_ms),
        false => began_ms,
    }
}

/// What a VM knows of its own watches and of the sentinels around it.
#[derive(Clone, Debug)]
pub struct Sentinel {
    settings: SentinelSettings,
    own_address: SocketAddr,
    tables: [TableState; TABLE_COUNT],
    /// Versions of the last own message and its time; `None` before the first.
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
        let max_age_ms = self.settings.max_age_ms;
        self.tables[table as usize].is_vouched(max_age_ms, now_ms)
    }

    /// Whether what was read of a table is known to have been the newest not long ago.
    pub fn is_current(&self, table: SentinelTable, now_ms: u64) -> bool {
        let state = &self.tables[table as usize];
        let current_age_ms = self.settings.current_age_ms;
        state.missed.is_none() && state.known.is_younger_than(current_age_ms, now_ms)
    }

    /// Age of the evidence that the versions read are the newest; `None` if there is
    /// none.
    pub fn evidence_age_ms(&self, table: SentinelTable, now_ms: u64) -> Option<u64> {
        let at_ms = self.tables[table as usize].known.0?;
        Some(now_ms.saturating_sub(at_ms))
    }

    /// Sentinel with a lower address that stated the youngest evidence, also if that has
    /// expired; `None` if there was none.
    pub fn voucher(&self, table: SentinelTable) -> Option<SocketAddr> {
        let voucher = self.tables[table as usize].voucher?;
        Some(voucher.from)
    }

    /// Records that a watch begins; returns how long it may take.
    pub fn watch_started(&mut self, table: SentinelTable, now_ms: u64) -> WatchDuration {
        let max_age_ms = self.settings.max_age_ms;
        let state = &mut self.tables[table as usize];
        let is_young = state.known.is_younger_than(max_age_ms, now_ms);
        state.is_long = is_young && state.is_vouched(max_age_ms, now_ms) && state.missed.is_none();
        match (state.is_long, is_young) {
            (true, _) => WatchDuration::Long,
            (false, true) => WatchDuration::ShortMs(self.settings.short_watch_ms(now_ms)),
            (false, false) => WatchDuration::ShortMs(self.settings.min_watch_ms),
        }
    }

    /// Records a reply to a read or a watch: the store's version, that of the newest
    /// change in the reply, if there is one, and the time since which there was no newer
    /// one, see [`evidence_ms`].
    pub fn on_reply(
        &mut self,
        table: SentinelTable,
        version: u64,
        newest_change: Option<u64>,
        evidence_ms: u64,
    ) {
        let state = &mut self.tables[table as usize];
        state.read_version = state.read_version.max(version);
        state.newest_change = state.newest_change.max(newest_change.unwrap_or_default());
        state.own = state.own.max(Evidence(Some(evidence_ms)));
        state.known = state.known.max(state.own);
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
    pub fn on_message(&mut self, from: SocketAddr, message: &SentinelMessage, now_ms: u64) {
        let stated = message.versions.0.iter().zip(message.ages.0);
        for (state, (version, age_ms)) in self.tables.iter_mut().zip(stated) {
            let Some(version) = *version else {
                continue;
            };
            let evidence = Evidence(age_ms.and_then(|age_ms| now_ms.checked_sub(age_ms)));
            let is_younger = state.voucher.is_none_or(|known| evidence >= known.evidence);
            if from < self.own_address && is_younger {
                state.voucher = Some(Voucher { from, evidence });
            }
            let is_known = version <= state.read_version || version == state.unfounded;
            if is_known {
                state.known = state.known.max(evidence);
            } else if state.missed.is_none() {
                state.missed = Some(MissedChange {
                    version,
                    heard_ms: now_ms,
                    is_renewed: false,
                });
            }
        }
    }

    /// Tables whose watch in flight must be renewed: it has missed a change, or is
    /// a long one for which there is no young evidence any more.
    pub fn take_renewals(&mut self, now_ms: u64) -> Vec<SentinelTable> {
        let settings = self.settings;
        let is_due = |table: &SentinelTable| {
            let max_age_ms = settings.max_age_ms;
            let state = &mut self.tables[*table as usize];
            let is_unvouched = state.is_long && !state.known.is_younger_than(max_age_ms, now_ms);
            let missed = state.missed.as_mut().filter(|missed| {
                !missed.is_renewed && now_ms >= missed.heard_ms + settings.missed_grace_ms
            });
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
    pub fn take_message(&mut self, now_ms: u64) -> Option<SentinelMessage> {
        let mut message = SentinelMessage::default();
        for table in SentinelTable::ALL {
            let max_age_ms = self.settings.max_age_ms;
            let state = &self.tables[table as usize];
            let has_evidence = state.own.is_younger_than(max_age_ms, now_ms);
            if has_evidence && !state.is_vouched(max_age_ms, now_ms) {
                message.versions.0[table as usize] = Some(state.newest_change);
                // Sender and receiver round their times down.
                let age_ms = state.own.0.map(|at_ms| now_ms.saturating_sub(at_ms) + 1);
                message.ages.0[table as usize] = age_ms;
            }
        }
        if message.versions == TableVersions::default() {
            return None;
        }
        let interval_ms = self.settings.vouch_interval_ms;
        let is_due = self.sent.is_none_or(|(sent, sent_ms)| {
            sent != message.versions || now_ms / interval_ms > sent_ms / interval_ms
        });
        if !is_due {
            return None;
        }
        self.sent = Some((message.versions, now_ms));
        Some(message)
    }
}

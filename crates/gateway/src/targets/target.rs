//! State of one target as a VM estimates it.

use std::net::SocketAddr;

use lagoon_capacity::TargetEstimates;
use lagoon_ids::hash64;
use lagoon_limits::{Demand, RunId};
use lagoon_streams::SoftwareId;

use super::lost::{UnfinishedAttempts, MIN_SILENCE_MS};
use super::{TargetEntry, TargetSettings, TargetStatus};
use crate::gossip::{LoadReport, TargetHash, TargetUpdate};

/// Weight of the newest request in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;

/// Weight of the newest sample in the mean event interval.
const INTERVAL_WEIGHT: f64 = 0.15;

/// A gossip peer's load report counts as new only if it is later than the known
/// one by more than this. A peer may send back a report that it got from this VM,
/// with a time that differs slightly, as it is computed from the report's age.
const SAME_REPORT_MS: u64 = 5;

/// In-flight requests that a gossip peer has at a target, as it reported.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PeerLoad {
    peer: SocketAddr,
    in_flight: u32,
    expires_ms: u64,
}

/// Time between two events of a target's streams, as a moving average.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EventIntervals {
    pub(super) mean_ms: f64,
    /// Time of the last sample; 0 before the first.
    pub(super) updated_ms: u64,
    /// Sum of this VM's samples since the last gossip update.
    unreported_sum_ms: f64,
    unreported_count: u32,
}

impl EventIntervals {
    pub(super) fn record(&mut self, interval_ms: f64, now_ms: u64) {
        if self.updated_ms == 0 {
            self.mean_ms = interval_ms;
        }
        self.mean_ms += (interval_ms - self.mean_ms) * INTERVAL_WEIGHT;
        self.updated_ms = now_ms;
    }

    /// Adds a sample of this VM for the next gossip update.
    pub(super) fn record_unreported(&mut self, interval_ms: f64) {
        self.unreported_sum_ms += interval_ms;
        self.unreported_count += 1;
    }

    /// Returns the mean of this VM's samples since the last gossip update and
    /// resets it; `None` without a sample.
    fn take_unreported(&mut self) -> Option<u32> {
        let (sum_ms, count) = (self.unreported_sum_ms, self.unreported_count);
        (self.unreported_sum_ms, self.unreported_count) = (0.0, 0);
        (count > 0).then(|| (sum_ms / f64::from(count)).round() as u32)
    }
}

/// Times from which a target at its limit may have room again, as far as this VM was
/// refused permits.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Room {
    running_ms: u64,
    new_program_ms: u64,
}

impl Room {
    pub(super) fn at_ms(&self, demand: Demand) -> u64 {
        match demand {
            Demand::Running => self.running_ms,
            Demand::NewProgram { .. } => self.new_program_ms,
        }
    }

    /// Records a refused permit. What has no room for a running program has none for
    /// a new one.
    pub(super) fn record_refused(&mut self, demand: Demand, until_ms: u64) {
        if demand == Demand::Running {
            self.running_ms = self.running_ms.max(until_ms);
        }
        self.new_program_ms = self.new_program_ms.max(until_ms);
    }
}

/// Target with the estimates of its load, speed and failures.
#[derive(Clone, Debug)]
pub struct Target {
    /// Entry of the target as last read from the store.
    pub entry: TargetEntry,
    /// Hash of the target's id, by which targets are ranked for a program.
    pub hash: u64,
    /// Run of the target's process.
    pub run: RunId,
    /// Version of its software.
    pub software: SoftwareId,
    /// Requests that this VM has in flight at the target.
    pub in_flight: u32,
    /// Requests of the load report that neither this VM nor its gossip peers
    /// had in flight.
    unattributed_requests: f64,
    /// Requests that run or wait by the newest load report, and its time; `None`
    /// before the first report.
    load_report: Option<(u32, u64)>,
    peer_loads: Vec<PeerLoad>,
    /// In-flight requests, and time of the load report, at the last gossip
    /// update.
    last_update: (u32, Option<u64>),
    pub(super) event_intervals: EventIntervals,
    pub(super) consecutive_failures: u32,
    /// Moving average over recent requests, 0 to 1.
    failure_rate: f64,
    /// Last time at which the target made progress on requests.
    pub(super) last_progress_ms: u64,
    pub(super) ejected_until_ms: u64,
    /// Whether the store has no entry of the target, perhaps only because it
    /// expired in an outage.
    pub(super) is_missing: bool,
    /// Whether the store has no valid entry of the target in place of the last one.
    pub(super) is_entry_invalid: bool,
    /// Entry in place of the last one, with another service that the configuration
    /// doesn't name.
    pub(super) held_entry: Option<TargetEntry>,
    /// Whether the target has stated in a response that it is about to stop.
    pub(super) is_leaving: bool,
    /// Time of the last sign of life that this VM or a gossip peer got; `None`
    /// before the first.
    pub(super) alive_ms: Option<u64>,
    pub(super) unfinished: UnfinishedAttempts,
    pub(super) room: Room,
    pub(super) estimates: TargetEstimates,
}

impl Target {
    pub(super) fn new(entry: TargetEntry, is_leaving: bool) -> Target {
        let hash = hash64(entry.id.as_bytes());
        let started_unix_ms = entry.started_unix_ms.unwrap_or_default();
        Target {
            hash,
            software: SoftwareId::new(&entry.service, &entry.software_version),
            run: RunId(hash64(&(hash ^ started_unix_ms).to_le_bytes())),
            entry,
            in_flight: 0,
            unattributed_requests: 0.0,
            load_report: None,
            peer_loads: Vec::new(),
            last_update: (0, None),
            event_intervals: EventIntervals::default(),
            consecutive_failures: 0,
            failure_rate: 0.0,
            last_progress_ms: 0,
            ejected_until_ms: 0,
            is_missing: false,
            is_entry_invalid: false,
            held_entry: None,
            is_leaving,
            alive_ms: None,
            unfinished: UnfinishedAttempts::default(),
            room: Room::default(),
            estimates: TargetEstimates::default(),
        }
    }

    pub(super) fn record_progress(&mut self, now_ms: u64) {
        self.last_progress_ms = self.last_progress_ms.max(now_ms);
        self.alive_ms = self.alive_ms.max(Some(now_ms));
        self.unfinished.record_alive(now_ms);
    }

    /// Whether the target takes new requests: its entry is valid, and it has announced
    /// neither there nor in a response that it is about to stop.
    pub fn accepts_requests(&self) -> bool {
        !self.is_entry_invalid && !self.has_announced_stop()
    }

    fn has_announced_stop(&self) -> bool {
        self.entry.status != TargetStatus::Ready || self.is_leaving
    }

    /// Whether the target has stated in a response that it is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Whether a target that has not announced its stop has been silent for so long
    /// that it has crashed if its entry expires now.
    pub(super) fn has_crashed_if_expired(&self, now_ms: u64) -> bool {
        let is_silent = |alive_ms| now_ms >= alive_ms + MIN_SILENCE_MS;
        !self.has_announced_stop() && self.alive_ms.is_none_or(is_silent)
    }

    pub(super) fn record_result(&mut self, is_good: bool) {
        let failed = f64::from(u8::from(!is_good));
        self.failure_rate += (failed - self.failure_rate) * FAILURE_WEIGHT;
    }

    /// Estimated requests at the target at `now_ms`: those of this VM, those that
    /// gossip peers reported, and the others of the load report, which count less
    /// the older the report is.
    pub fn load(&self, settings: &TargetSettings, now_ms: u64) -> f64 {
        let known = self.known_requests(now_ms);
        let Some((_, reported_ms)) = self.load_report else {
            return known;
        };
        known + self.unattributed_requests * settings.remaining_weight(reported_ms, now_ms)
    }

    /// Hash that identifies the target in messages between VMs.
    pub fn id_hash(&self) -> TargetHash {
        TargetHash(self.hash as u32)
    }

    /// Hash that identifies this run of the target's process: as
    /// [`Target::id_hash`], but with the time of its start.
    pub fn run_hash(&self) -> TargetHash {
        TargetHash(self.run.0 as u32)
    }

    /// Estimated requests at a target of another failure domain, whose VMs don't
    /// gossip with this one. It is a weighted mean of the load report and
    /// `mean_load`, the mean load of the targets in this VM's domain; the older
    /// the report, the smaller its weight. It is at least the number of requests
    /// known to be in flight. A target without a report counts as idle, so that
    /// it is tried.
    pub fn remote_load(&self, settings: &TargetSettings, mean_load: f64, now_ms: u64) -> f64 {
        let known = self.known_requests(now_ms);
        let Some((requests, reported_ms)) = self.load_report else {
            return known;
        };
        let weight = settings.remaining_weight(reported_ms, now_ms);
        let estimate = f64::from(requests) * weight + mean_load * (1.0 - weight);
        estimate.max(known)
    }

    /// Requests in flight of this VM and its gossip peers.
    fn known_requests(&self, now_ms: u64) -> f64 {
        let valid = self
            .peer_loads
            .iter()
            .filter(|load| now_ms < load.expires_ms);
        f64::from(self.in_flight + valid.map(|load| load.in_flight).sum::<u32>())
    }

    /// Age of the load report; `None` without one.
    pub fn load_age_ms(&self, now_ms: u64) -> Option<u64> {
        let (_, reported_ms) = self.load_report?;
        Some(now_ms.saturating_sub(reported_ms))
    }

    pub(super) fn record_load(&mut self, requests: u32, reported_ms: u64, now_ms: u64) {
        self.unattributed_requests = (f64::from(requests) - self.known_requests(now_ms)).max(0.0);
        self.load_report = Some((requests, reported_ms));
        // The target works, though perhaps not on this VM's requests.
        self.record_progress(reported_ms);
    }

    /// Applies a gossip peer's update; `None` if the peer sent none for this
    /// target and so has no requests in flight at it.
    pub(super) fn apply_update(
        &mut self,
        peer: SocketAddr,
        update: Option<&TargetUpdate>,
        expires_ms: u64,
        now_ms: u64,
    ) {
        self.peer_loads.retain(|load| load.peer != peer);
        let Some(update) = update else {
            return;
        };
        if update.in_flight > 0 {
            self.peer_loads.push(PeerLoad {
                peer,
                in_flight: update.in_flight,
                expires_ms,
            });
        }
        if let Some(LoadReport { requests, age_ms }) = update.load_report {
            let reported_ms = now_ms.saturating_sub(age_ms);
            let current = self.load_report;
            if current.is_none_or(|(_, current_ms)| reported_ms > current_ms + SAME_REPORT_MS) {
                self.record_load(requests, reported_ms, now_ms);
            }
        }
    }

    /// Update for gossip peers; `None` if there is no new load report or event
    /// and no request is in flight or was at the last update.
    pub(super) fn take_update(&mut self, now_ms: u64) -> Option<TargetUpdate> {
        let report = self
            .load_report
            .filter(|(_, reported_ms)| self.last_update.1 != Some(*reported_ms))
            .map(|(requests, reported_ms)| LoadReport {
                requests,
                age_ms: now_ms.saturating_sub(reported_ms),
            });
        let interval_ms = self.event_intervals.take_unreported();
        let has_changed = self.in_flight > 0
            || self.last_update.0 > 0
            || report.is_some()
            || interval_ms.is_some();
        self.last_update = (
            self.in_flight,
            self.load_report.map(|(_, reported_ms)| reported_ms),
        );
        has_changed.then_some(TargetUpdate {
            target: self.id_hash(),
            in_flight: self.in_flight,
            load_report: report,
            event_interval_ms: interval_ms,
        })
    }

    /// Share of recent requests that failed, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Time since the target last made progress; 0 if this VM has no request in
    /// flight at it.
    pub fn stalled_ms(&self, now_ms: u64) -> u64 {
        match self.in_flight {
            0 => 0,
            _ => now_ms.saturating_sub(self.last_progress_ms),
        }
    }

    /// Whether the target is ejected after failures.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }
}

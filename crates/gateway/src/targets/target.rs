//! What a VM believes of one target.

use std::net::SocketAddr;

use lagoon_ids::hash64;

use super::{TargetEntry, TargetSettings};
use crate::gossip::{LoadReport, TargetHash, TargetUpdate};

/// Weight of the newest request in the share that failed.
const NEWEST: f64 = 0.15;

/// Weight of the newest gap between events in a target's pace.
const NEWEST_GAP: f64 = 0.15;

/// Difference within which two reports of a load are the same one, as it
/// comes back from a neighbour that was told of it.
const SAME_REPORT_MS: u64 = 5;

/// Requests of a neighbour at a target, as it told.
#[derive(Clone, Copy, Debug, PartialEq)]
struct NeighbourLoad {
    neighbour: SocketAddr,
    in_flight: u32,
    until_ms: u64,
}

/// Gaps between the events of a target's streams.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    pub(super) gap_ms: f64,
    pub(super) learned_ms: u64,
    /// Gaps that neighbours were not told of.
    untold_ms: f64,
    untold: u32,
}

impl Pace {
    pub(super) fn learn(&mut self, gap_ms: f64, now_ms: u64) {
        if self.learned_ms == 0 {
            self.gap_ms = gap_ms;
        }
        self.gap_ms += (gap_ms - self.gap_ms) * NEWEST_GAP;
        self.learned_ms = now_ms;
    }

    /// Takes note of a gap that neighbours should know.
    pub(super) fn tell(&mut self, gap_ms: f64) {
        self.untold_ms += gap_ms;
        self.untold += 1;
    }

    /// Mean of the gaps that neighbours were not told of.
    fn take_untold(&mut self) -> Option<u32> {
        let (sum_ms, count) = (self.untold_ms, self.untold);
        (self.untold_ms, self.untold) = (0.0, 0);
        (count > 0).then(|| (sum_ms / f64::from(count)).round() as u32)
    }
}

/// Target with what is believed of it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Entry.
    pub entry: TargetEntry,
    /// Hash of the identity.
    pub hash: u64,
    /// Own requests there.
    pub in_flight: u32,
    /// Requests that are neither own ones nor a neighbour's, when reported.
    others: f64,
    reported: Option<(u32, u64)>,
    neighbours: Vec<NeighbourLoad>,
    /// Own requests and time of the report that were told last.
    told: (u32, Option<u64>),
    pub(super) pace: Pace,
    pub(super) failures: u32,
    /// Share of late requests that failed.
    failure_rate: f64,
    /// When it last showed that it works on own requests.
    pub(super) progress_ms: u64,
    pub(super) paused_until_ms: u64,
    pub(super) missing: bool,
}

impl Target {
    pub(super) fn new(entry: TargetEntry) -> Target {
        Target {
            hash: hash64(entry.id.as_bytes()),
            entry,
            in_flight: 0,
            others: 0.0,
            reported: None,
            neighbours: Vec::new(),
            told: (0, None),
            pace: Pace::default(),
            failures: 0,
            failure_rate: 0.0,
            progress_ms: 0,
            paused_until_ms: 0,
            missing: false,
        }
    }

    pub(super) fn learn(&mut self, is_good: bool) {
        let failed = f64::from(u8::from(!is_good));
        self.failure_rate += (failed - self.failure_rate) * NEWEST;
    }

    /// Expected requests there at `now_ms`: own ones, those of neighbours as
    /// they told, and those of others as last reported, less what has ended
    /// since.
    pub fn load(&self, settings: &TargetSettings, now_ms: u64) -> f64 {
        let known = self.known(now_ms);
        let Some((_, reported_ms)) = self.reported else {
            return known;
        };
        known + self.others * settings.left(reported_ms, now_ms)
    }

    /// Short name among VMs.
    pub fn id_hash(&self) -> TargetHash {
        TargetHash(self.hash as u32)
    }

    /// Expected requests at a target of another failure domain, whose VMs tell
    /// nothing of theirs: what it told itself counts less with its age, and
    /// `usual`, the load of targets nearby, in its place. One that never told
    /// anything is worth a try.
    pub fn remote_load(&self, settings: &TargetSettings, usual: f64, now_ms: u64) -> f64 {
        let known = self.known(now_ms);
        let Some((requests, reported_ms)) = self.reported else {
            return known;
        };
        let left = settings.left(reported_ms, now_ms);
        let believed = f64::from(requests) * left + usual * (1.0 - left);
        believed.max(known)
    }

    /// Own requests there and those of neighbours.
    fn known(&self, now_ms: u64) -> f64 {
        let fresh = self.neighbours.iter().filter(|load| now_ms < load.until_ms);
        f64::from(self.in_flight + fresh.map(|load| load.in_flight).sum::<u32>())
    }

    /// Age of the reported load.
    pub fn load_age_ms(&self, now_ms: u64) -> Option<u64> {
        let (_, reported_ms) = self.reported?;
        Some(now_ms.saturating_sub(reported_ms))
    }

    pub(super) fn report(&mut self, requests: u32, at_ms: u64, now_ms: u64) {
        self.others = (f64::from(requests) - self.known(now_ms)).max(0.0);
        self.reported = Some((requests, at_ms));
        // It works, though maybe not yet on what this VM waits for.
        self.progress_ms = self.progress_ms.max(at_ms);
    }

    /// Takes what a neighbour tells; without a word it has no requests here.
    pub(super) fn take_news(
        &mut self,
        neighbour: SocketAddr,
        told: Option<&TargetUpdate>,
        until_ms: u64,
        now_ms: u64,
    ) {
        self.neighbours.retain(|load| load.neighbour != neighbour);
        let Some(told) = told else {
            return;
        };
        if told.in_flight > 0 {
            self.neighbours.push(NeighbourLoad {
                neighbour,
                in_flight: told.in_flight,
                until_ms,
            });
        }
        if let Some(LoadReport { requests, age_ms }) = told.load_report {
            let at_ms = now_ms.saturating_sub(age_ms);
            let known = self.reported;
            if known.is_none_or(|(_, known_ms)| at_ms > known_ms + SAME_REPORT_MS) {
                self.report(requests, at_ms, now_ms);
            }
        }
    }

    /// What neighbours should know, if there is anything new.
    pub(super) fn news(&mut self, now_ms: u64) -> Option<TargetUpdate> {
        let reported = self
            .reported
            .filter(|(_, at_ms)| self.told.1 != Some(*at_ms))
            .map(|(requests, at_ms)| LoadReport {
                requests,
                age_ms: now_ms.saturating_sub(at_ms),
            });
        let gap_ms = self.pace.take_untold();
        let is_news =
            self.in_flight > 0 || self.told.0 > 0 || reported.is_some() || gap_ms.is_some();
        self.told = (self.in_flight, self.reported.map(|(_, at_ms)| at_ms));
        is_news.then_some(TargetUpdate {
            target: self.id_hash(),
            in_flight: self.in_flight,
            load_report: reported,
            event_interval_ms: gap_ms,
        })
    }

    /// Share of late requests that failed.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Time for which it has shown nothing of the requests that it has.
    pub fn stalled_ms(&self, now_ms: u64) -> u64 {
        match self.in_flight {
            0 => 0,
            _ => now_ms.saturating_sub(self.progress_ms),
        }
    }

    /// Whether it pauses after failures.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms
    }
}

//! What a VM believes of its paths to targets, by its own connections and by what
//! other VMs reach.

use std::hash::Hash;

use derive_more::Display;
use lagoon_ids::FastMap;

/// Times by which [`Paths`] judges, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PathSettings {
    /// Silence of all targets, while one of them has an attempt of this VM, after
    /// which that path is checked. An attempt that has been silent for as long is
    /// ended when the loss of its path is confirmed.
    pub vm_silence_ms: u64,
    /// The same for one target while others respond.
    pub target_silence_ms: u64,
    /// Minimum time between two checks of one path.
    pub check_interval_ms: u64,
    /// Time after which a lost path is tried again; doubles with each failure.
    pub probe_ms: u64,
    /// Maximum of that time.
    pub max_probe_ms: u64,
    /// A path that is lost again within this time goes on with the longer time
    /// between two tries.
    pub relapse_ms: u64,
    /// Time after the loss of a path that worked for which kept connections to other
    /// targets aren't used before these have given a sign of life.
    pub doubt_ms: u64,
    /// Time since the last sign of another target for which a failed connection speaks
    /// against the target and not against this VM.
    pub sound_ms: u64,
    /// Lost paths since the last sign of any target by which a VM is isolated, if one
    /// loss is confirmed.
    pub isolation_paths: usize,
}

impl Default for PathSettings {
    fn default() -> Self {
        PathSettings {
            vm_silence_ms: 200,
            target_silence_ms: 600,
            check_interval_ms: 1_000,
            probe_ms: 500,
            max_probe_ms: 4_000,
            relapse_ms: 10_000,
            doubt_ms: 1_000,
            sound_ms: 1_000,
            isolation_paths: 2,
        }
    }
}

/// How a connection to a target failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Loss {
    /// Refused or reset: packets arrive, so that kept connections may work.
    #[display("refused")]
    Refused,
    /// Not established in time.
    #[display("timed out")]
    TimedOut,
}

/// How an attempt gets to a target.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Way {
    /// From this VM.
    #[display("direct")]
    Direct,
    /// From this VM if a connection is kept, otherwise through another VM.
    #[display("kept connection")]
    Kept,
    /// Through another VM.
    #[display("carried")]
    Carried,
}

/// Change of what is believed, for logs and metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathChange<K> {
    /// No connection to the target can be opened.
    Lost {
        /// The target.
        target: K,
        /// How the last connection failed.
        loss: Loss,
        /// Time since the target's last sign of life on this path; `None` if there
        /// was none.
        silent_ms: Option<u64>,
    },
    /// Another VM reaches the target, so the path is lost and not the target.
    Confirmed {
        /// The target.
        target: K,
        /// Time since the loss.
        lost_ms: u64,
    },
    /// A VM that reaches other targets doesn't reach this one either.
    TargetDown {
        /// The target.
        target: K,
    },
    /// The path works again.
    Found {
        /// The target.
        target: K,
        /// Time since the loss.
        lost_ms: u64,
    },
    /// All paths count as lost.
    Isolated {
        /// Paths that were lost since the last sign of any target.
        paths: usize,
    },
    /// Paths no longer count as lost together: a target gave a sign of life, or those
    /// by which the VM counted as isolated are down or gone.
    Rejoined {
        /// Time for which the VM was isolated.
        isolated_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Lost {
    since_ms: u64,
    loss: Loss,
    /// Whether connections that were open at the loss may still work.
    keeps_open: bool,
    is_confirmed: bool,
    probe_at_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Path {
    /// Failure domain of the target, as a hash.
    domain: u64,
    /// Time at which the target was found to be down; `None` after a sign of life.
    down_ms: Option<u64>,
    /// Last sign of life that arrived on this path.
    heard_ms: Option<u64>,
    /// Attempts in flight on this path.
    in_flight: u32,
    /// Start of the oldest attempt in flight that began when there was no other.
    busy_since_ms: u64,
    checked_ms: Option<u64>,
    /// Last time at which an open connection broke.
    broken_ms: Option<u64>,
    lost: Option<Lost>,
    /// Time between two tries of the path while it is lost; 0 before the first loss.
    probe_ms: u64,
    found_ms: u64,
}

impl Path {
    /// Time since the last sign of life, at most since an attempt is in flight; 0
    /// without one.
    fn silent_ms(&self, now_ms: u64) -> u64 {
        if self.in_flight == 0 {
            return 0;
        }
        let since_ms = self.heard_ms.unwrap_or(0).max(self.busy_since_ms);
        now_ms.saturating_sub(since_ms)
    }
}

/// Paths of a VM by target.
#[derive(Clone, Debug)]
pub struct Paths<K> {
    settings: PathSettings,
    paths: FastMap<K, Path>,
    /// Last sign of life of any target.
    heard_ms: u64,
    /// Paths lost since then.
    lost_since_heard: Vec<K>,
    isolated_since_ms: Option<u64>,
    /// Last time at which a path that had worked was lost.
    doubted_ms: Option<u64>,
    /// Next time at which a VM that hears of no target tries one.
    vm_probe_at_ms: u64,
}

impl<K> Paths<K>
where
    K: Copy + Eq + Hash,
{
    /// Starts with all paths open.
    pub fn new(settings: PathSettings) -> Paths<K> {
        Paths {
            settings,
            paths: FastMap::default(),
            heard_ms: 0,
            lost_since_heard: Vec::new(),
            isolated_since_ms: None,
            doubted_ms: None,
            vm_probe_at_ms: 0,
        }
    }

    fn path(&mut self, target: K) -> &mut Path {
        self.paths.entry(target).or_default()
    }

    /// How an attempt gets to this target.
    pub fn way(&self, target: K) -> Way {
        let lost = self.paths.get(&target).and_then(|path| path.lost);
        let keeps_open = match lost {
            Some(lost) => lost.keeps_open,
            None if self.is_isolated() => self.keeps_open(),
            None => return Way::Direct,
        };
        match keeps_open {
            true => Way::Kept,
            false => Way::Carried,
        }
    }

    /// Whether a kept connection to this target may be used: none is after a path was
    /// lost, until the target has given a sign of life.
    pub fn trusts_kept(&self, target: K, now_ms: u64) -> bool {
        let doubted_ms = self.doubted_ms;
        let in_doubt = doubted_ms.filter(|since_ms| now_ms < since_ms + self.settings.doubt_ms);
        let heard_ms = self.paths.get(&target).and_then(|path| path.heard_ms);
        in_doubt.is_none_or(|since_ms| heard_ms.is_some_and(|heard_ms| heard_ms > since_ms))
    }

    /// Records that an open connection to the target broke.
    pub fn record_broken(&mut self, target: K, now_ms: u64) {
        let path = self.path(target);
        path.broken_ms = Some(now_ms);
        if let Some(lost) = &mut path.lost {
            lost.keeps_open = false;
        }
    }

    /// Whether all paths count as lost.
    pub fn is_isolated(&self) -> bool {
        self.isolated_since_ms.is_some()
    }

    /// Whether several paths were lost since the last sign of any target, be it that no
    /// other VM reaches one either.
    pub fn is_cut_off(&self) -> bool {
        self.lost_since_heard.len() >= self.settings.isolation_paths
    }

    /// Whether the path to this target is lost, or all are.
    pub fn is_lost(&self, target: K) -> bool {
        self.way(target) != Way::Direct
    }

    /// Whether another target than this one gave a sign of life lately.
    pub fn reaches_others(&self, target: K, now_ms: u64) -> bool {
        let others = self.paths.iter().filter(|(other, _)| **other != target);
        let mut heard = others.filter_map(|(_, path)| path.heard_ms);
        heard.any(|heard_ms| now_ms < heard_ms + self.settings.sound_ms)
    }

    /// Targets whose path is lost.
    pub fn lost_targets(&self) -> impl Iterator<Item = K> + '_ {
        let lost = self.paths.iter().filter(|(_, path)| path.lost.is_some());
        lost.map(|(target, _)| *target)
    }

    /// Whether open connections may work on all paths that were lost since the last sign
    /// of any target.
    fn keeps_open(&self) -> bool {
        let lost = self.lost_since_heard.iter();
        let mut lost = lost.filter_map(|target| self.paths.get(target)?.lost);
        lost.all(|lost| lost.keeps_open)
    }

    /// Counts an attempt that is sent on the path to a target, whose failure domain has
    /// the hash `domain`.
    pub fn attempt_started(&mut self, target: K, domain: u64, now_ms: u64) {
        let path = self.path(target);
        path.domain = domain;
        if path.in_flight == 0 {
            path.busy_since_ms = now_ms;
        }
        path.in_flight += 1;
    }

    /// Counts the end of an attempt that was sent on the path.
    pub fn attempt_ended(&mut self, target: K) {
        let path = self.path(target);
        path.in_flight = path.in_flight.saturating_sub(1);
    }

    /// Records that bytes of the target arrived on the path.
    pub fn record_bytes(&mut self, target: K, now_ms: u64) -> Vec<PathChange<K>> {
        let path = self.path(target);
        path.heard_ms = Some(now_ms);
        path.down_ms = None;
        // Kept connections say nothing of a target that refuses new ones.
        let was_refused = path.lost.is_some_and(|lost| lost.loss == Loss::Refused);
        let mut changes = Vec::new();
        if !was_refused {
            changes.extend(self.find(target, now_ms));
        }
        changes.extend(self.rejoin(now_ms));
        changes
    }

    /// Records that a connection to the target was established.
    pub fn record_connected(&mut self, target: K, now_ms: u64) -> Vec<PathChange<K>> {
        let path = self.path(target);
        path.heard_ms = Some(now_ms);
        path.down_ms = None;
        let mut changes: Vec<_> = self.find(target, now_ms).into_iter().collect();
        let was_cut_off = self.is_cut_off();
        let rejoined = self.rejoin(now_ms);
        if was_cut_off {
            let lost = self
                .paths
                .values_mut()
                .filter_map(|path| path.lost.as_mut());
            lost.for_each(|lost| lost.probe_at_ms = now_ms);
        }
        changes.extend(rejoined);
        changes
    }

    fn find(&mut self, target: K, now_ms: u64) -> Option<PathChange<K>> {
        let path = self.path(target);
        let lost = path.lost.take()?;
        path.found_ms = now_ms;
        Some(PathChange::Found {
            target,
            lost_ms: now_ms - lost.since_ms,
        })
    }

    fn rejoin(&mut self, now_ms: u64) -> Option<PathChange<K>> {
        self.heard_ms = now_ms;
        self.lost_since_heard.clear();
        let since_ms = self.isolated_since_ms.take()?;
        Some(PathChange::Rejoined {
            isolated_ms: now_ms - since_ms,
        })
    }

    /// Records that no connection to the target could be opened.
    pub fn record_failed(&mut self, target: K, loss: Loss, now_ms: u64) -> Vec<PathChange<K>> {
        let settings = self.settings;
        if !self.lost_since_heard.contains(&target) {
            self.lost_since_heard.push(target);
            if self.lost_since_heard.len() == settings.isolation_paths {
                self.vm_probe_at_ms = now_ms + settings.probe_ms;
            }
        }
        let path = self.path(target);
        let silent_ms = path.heard_ms.map(|heard_ms| now_ms - heard_ms);
        let has_broken = path
            .broken_ms
            .is_some_and(|broken_ms| now_ms < broken_ms + settings.doubt_ms);
        let keeps_open = loss == Loss::Refused && !has_broken;
        if let Some(lost) = &mut path.lost {
            path.probe_ms = (path.probe_ms * 2).min(settings.max_probe_ms);
            lost.loss = loss;
            lost.keeps_open &= keeps_open;
            lost.probe_at_ms = now_ms + path.probe_ms;
            return self.isolate(now_ms).into_iter().collect();
        }
        let is_relapse = path.probe_ms > 0 && now_ms < path.found_ms + settings.relapse_ms;
        path.probe_ms = match is_relapse {
            true => (path.probe_ms * 2).min(settings.max_probe_ms),
            false => settings.probe_ms,
        };
        path.lost = Some(Lost {
            since_ms: now_ms,
            loss,
            keeps_open,
            is_confirmed: false,
            probe_at_ms: now_ms + path.probe_ms,
        });
        if silent_ms.is_some() {
            self.doubted_ms = Some(now_ms);
        }
        let lost = PathChange::Lost {
            target,
            loss,
            silent_ms,
        };
        [lost].into_iter().chain(self.isolate(now_ms)).collect()
    }

    /// Records that another VM reaches the target while this one doesn't.
    pub fn record_reached_elsewhere(&mut self, target: K, now_ms: u64) -> Vec<PathChange<K>> {
        let lost = self.path(target).lost.as_mut();
        let Some(lost) = lost.filter(|lost| !lost.is_confirmed) else {
            return Vec::new();
        };
        lost.is_confirmed = true;
        let confirmed = PathChange::Confirmed {
            target,
            lost_ms: now_ms - lost.since_ms,
        };
        [confirmed]
            .into_iter()
            .chain(self.isolate(now_ms))
            .collect()
    }

    /// Records that a VM which reaches other targets doesn't reach this one either:
    /// the target is down, whatever its path.
    pub fn record_target_down(&mut self, target: K, now_ms: u64) -> Vec<PathChange<K>> {
        self.lost_since_heard.retain(|lost| *lost != target);
        let path = self.path(target);
        if path.lost.take().is_none() {
            return Vec::new();
        }
        path.down_ms = Some(now_ms);
        path.probe_ms = 0;
        if self.lost_since_heard.is_empty() {
            self.doubted_ms = None;
        }
        let down = PathChange::TargetDown { target };
        [down].into_iter().chain(self.reconsider(now_ms)).collect()
    }

    /// Whether what was lost since the last sign of any target isolates the VM.
    fn is_isolating(&self) -> bool {
        let is_confirmed = |target: &K| {
            let lost = self.paths.get(target).and_then(|path| path.lost);
            lost.is_some_and(|lost| lost.is_confirmed)
        };
        self.is_cut_off() && self.lost_since_heard.iter().any(is_confirmed)
    }

    fn isolate(&mut self, now_ms: u64) -> Option<PathChange<K>> {
        if self.is_isolated() || !self.is_isolating() {
            return None;
        }
        self.isolated_since_ms = Some(now_ms);
        Some(PathChange::Isolated {
            paths: self.lost_since_heard.len(),
        })
    }

    /// Ends the isolation if the paths that it rests on are lost no more: it would have
    /// none left by which to find its end.
    fn reconsider(&mut self, now_ms: u64) -> Option<PathChange<K>> {
        if self.is_isolating() {
            return None;
        }
        let since_ms = self.isolated_since_ms.take()?;
        Some(PathChange::Rejoined {
            isolated_ms: now_ms - since_ms,
        })
    }

    /// Whether an attempt on this path that has heard nothing since `silent_since_ms`
    /// gets no response any more.
    pub fn is_hopeless(&self, target: K, silent_since_ms: u64, now_ms: u64) -> bool {
        if now_ms < silent_since_ms + self.settings.vm_silence_ms {
            return false;
        }
        let lost = self.paths.get(&target).and_then(|path| path.lost);
        match lost {
            Some(lost) => !lost.keeps_open && (lost.is_confirmed || self.is_isolated()),
            None if self.is_isolated() => !self.keeps_open(),
            None => self.is_domain_down(target),
        }
    }

    /// Whether the target and another one of its failure domain are down, none there has
    /// given a sign of life since, and one elsewhere has: a domain that is cut off, rather
    /// than targets that are silent for a while. Where none responds, there is nowhere to
    /// go on either.
    fn is_domain_down(&self, target: K) -> bool {
        let Some(path) = self.paths.get(&target) else {
            return false;
        };
        let of_domain = || self.paths.values().filter(|p| p.domain == path.domain);
        let down = of_domain().filter_map(|path| path.down_ms);
        let heard_ms = of_domain().filter_map(|path| path.heard_ms).max();
        let since_ms = down.clone().min();
        path.down_ms.is_some()
            && down.count() >= self.settings.isolation_paths
            && heard_ms < since_ms
            && Some(self.heard_ms) > since_ms
    }

    /// Whether the path is lost or its target down, so that attempts on it may be
    /// hopeless.
    pub fn is_in_question(&self, target: K) -> bool {
        let path = self.paths.get(&target);
        self.is_lost(target) || path.is_some_and(|path| path.down_ms.is_some())
    }

    /// Targets that have been silent for so long that their paths are to be checked
    /// now.
    pub fn take_due_checks(&mut self, now_ms: u64) -> Vec<K> {
        let settings = self.settings;
        let is_vm_silent = now_ms >= self.heard_ms + settings.vm_silence_ms;
        let paths = self.paths.values();
        // Others of a domain in which a target can't be reached are suspects.
        let suspects: Vec<u64> = paths
            .filter(|path| path.lost.is_some() || path.down_ms.is_some())
            .map(|path| path.domain)
            .collect();
        let is_due = |path: &Path| {
            let silence_ms = match is_vm_silent || suspects.contains(&path.domain) {
                true => settings.vm_silence_ms,
                false => settings.target_silence_ms,
            };
            let checked_ms = path.checked_ms;
            path.lost.is_none()
                && path.silent_ms(now_ms) >= silence_ms
                && checked_ms.is_none_or(|ms| now_ms >= ms + settings.check_interval_ms)
        };
        let due = self.paths.iter_mut().filter(|(_, path)| is_due(path));
        due.map(|(target, path)| {
            path.checked_ms = Some(now_ms);
            *target
        })
        .collect()
    }

    /// Whether the lost path to this target is to be tried now. The next try is due
    /// only later, whatever comes of this one.
    pub fn take_probe(&mut self, target: K, now_ms: u64) -> bool {
        let path = self.path(target);
        let probe_ms = path.probe_ms;
        let due = path.lost.as_mut().filter(|lost| now_ms >= lost.probe_at_ms);
        let is_due = due.is_some();
        if let Some(lost) = due {
            lost.probe_at_ms = now_ms + probe_ms;
        }
        is_due
    }

    /// Target to which a VM that hears of none opens a connection now, to find out
    /// whether it still reaches none; `random` chooses among the lost paths. However
    /// many are lost, one is tried at a time.
    pub fn take_vm_probe(&mut self, random: u64, now_ms: u64) -> Option<K> {
        if !self.is_cut_off() || now_ms < self.vm_probe_at_ms {
            return None;
        }
        let lost: Vec<K> = self.lost_targets().collect();
        let index = random.checked_rem(lost.len() as u64)?;
        self.vm_probe_at_ms = now_ms + self.settings.probe_ms;
        lost.get(index as usize).copied()
    }

    /// Forgets the targets for which `is_known` returns `false`.
    pub fn retain<F>(&mut self, is_known: F, now_ms: u64) -> Option<PathChange<K>>
    where
        F: Fn(K) -> bool,
    {
        self.paths.retain(|target, _| is_known(*target));
        self.lost_since_heard.retain(|target| is_known(*target));
        self.reconsider(now_ms)
    }
}

//! What targets state of their limits, in the order of their responses.
//!
//! A response was generated at some time between the sending of its request and its
//! receipt. So a response without a limit ends one only if its request was sent
//! after the last statement was received, and a statement brings an ended limit back
//! only if its request was sent after that of the response that ended it.

use derive_more::Display;
use lagoon_ids::FastMap;
use serde::{Deserialize, Serialize};

/// Share by which a limit must change to be news for other VMs.
const NEWS_CHANGE: f64 = 0.1;

/// An update counts as later than a known statement only if it is so by more than
/// this: the time that a message takes is added to the age in it.
const SAME_STATEMENT_MS: u64 = 20;

/// Time after the last statement for which a run is remembered although no target
/// with it is known: its entry may have expired and be written again.
const MEMORY_MS: u64 = 600_000;

/// Run of a target's process: a hash of the target's id and the time of its start.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RunId(pub u64);

/// What a response or an update changed.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum LimitChange {
    /// The run has a limit, in requests per second, and had none.
    #[display("started")]
    Started(f64),
    /// The limit has another value.
    #[display("changed")]
    Changed(f64),
    /// The run has no limit any more.
    #[display("ended")]
    Ended,
}

/// What one VM knows of a run's limit, for other VMs.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitUpdate {
    /// Run whose limit it is.
    pub run: RunId,
    /// Requests per second; `None` if the limit has ended.
    pub per_s: Option<f64>,
    /// Time since the request was sent whose response said so.
    pub sent_age_ms: u64,
    /// Time since the last statement was received; equal to `sent_age_ms` if the
    /// limit has ended.
    pub received_age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    per_s: f64,
    sent_ms: u64,
    received_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct LimitState {
    stated: Option<Statement>,
    /// Time at which the request was sent whose response ended the last limit.
    ended_sent_ms: Option<u64>,
}

impl LimitState {
    fn record_stated(&mut self, new: Statement) -> Option<LimitChange> {
        let is_old = |ended_sent_ms| new.sent_ms < ended_sent_ms;
        if self.ended_sent_ms.is_some_and(is_old) {
            return None;
        }
        let Some(known) = &mut self.stated else {
            self.stated = Some(new);
            return Some(LimitChange::Started(new.per_s));
        };
        known.received_ms = known.received_ms.max(new.received_ms);
        if new.sent_ms < known.sent_ms {
            return None;
        }
        known.sent_ms = new.sent_ms;
        let has_changed = known.per_s != new.per_s;
        known.per_s = new.per_s;
        has_changed.then_some(LimitChange::Changed(new.per_s))
    }

    fn record_unstated(&mut self, sent_ms: u64) -> Option<LimitChange> {
        self.stated.filter(|known| sent_ms > known.received_ms)?;
        self.stated = None;
        self.ended_sent_ms = Some(sent_ms);
        Some(LimitChange::Ended)
    }

    fn last_ms(&self) -> u64 {
        let stated_ms = self.stated.map(|stated| stated.received_ms);
        stated_ms.max(self.ended_sent_ms).unwrap_or_default()
    }
}

/// Limits of targets' runs as a VM knows them.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    runs: FastMap<RunId, LimitState>,
    /// Runs of whose limit this VM has news for others.
    news: Vec<RunId>,
}

impl LimitTable {
    /// Records a response of a run to a request that was sent at `sent_ms`, with the
    /// limit that it states, if any. Returns what that changes.
    pub fn record_response(
        &mut self,
        run: RunId,
        per_s: Option<f64>,
        sent_ms: u64,
        received_ms: u64,
    ) -> Option<LimitChange> {
        let before = self.limit(run);
        let change = match per_s {
            Some(per_s) => self.runs.entry(run).or_default().record_stated(Statement {
                per_s,
                sent_ms,
                received_ms,
            }),
            None => self.runs.get_mut(&run)?.record_unstated(sent_ms),
        };
        let is_news = match (change, before) {
            (Some(LimitChange::Changed(now)), Some(before)) => {
                (now - before).abs() > before * NEWS_CHANGE
            }
            (change, _) => change.is_some(),
        };
        if is_news && !self.news.contains(&run) {
            self.news.push(run);
        }
        change
    }

    /// Records what another VM knows of a run. Returns what that changes.
    pub fn apply_update(&mut self, update: &LimitUpdate, now_ms: u64) -> Option<LimitChange> {
        let sent_ms = now_ms.saturating_sub(update.sent_age_ms);
        let received_ms = now_ms.saturating_sub(update.received_age_ms);
        let state = self.runs.entry(update.run).or_default();
        match update.per_s {
            Some(per_s) => {
                let is_known = |known: &Statement| {
                    received_ms <= known.received_ms + SAME_STATEMENT_MS
                        && sent_ms <= known.sent_ms + SAME_STATEMENT_MS
                };
                if state.stated.as_ref().is_some_and(is_known) {
                    return None;
                }
                state.record_stated(Statement {
                    per_s,
                    sent_ms,
                    received_ms,
                })
            }
            None => state.record_unstated(sent_ms),
        }
    }

    /// Requests per second that a run takes from all VMs together; `None` if it has
    /// stated no limit.
    pub fn limit(&self, run: RunId) -> Option<f64> {
        let stated = self.runs.get(&run)?.stated;
        stated.map(|stated| stated.per_s)
    }

    /// Time since the last statement of a run's limit was received; `None` if it has
    /// no limit.
    pub fn statement_age_ms(&self, run: RunId, now_ms: u64) -> Option<u64> {
        let stated = self.runs.get(&run)?.stated?;
        Some(now_ms.saturating_sub(stated.received_ms))
    }

    /// What this VM knows of a run, for another VM; `None` if the run never had a
    /// limit.
    pub fn update(&self, run: RunId, now_ms: u64) -> Option<LimitUpdate> {
        let state = self.runs.get(&run)?;
        if let Some(stated) = state.stated {
            return Some(LimitUpdate {
                run,
                per_s: Some(stated.per_s),
                sent_age_ms: now_ms.saturating_sub(stated.sent_ms),
                received_age_ms: now_ms.saturating_sub(stated.received_ms),
            });
        }
        let ended_age_ms = now_ms.saturating_sub(state.ended_sent_ms?);
        Some(LimitUpdate {
            run,
            per_s: None,
            sent_age_ms: ended_age_ms,
            received_age_ms: ended_age_ms,
        })
    }

    /// Updates that this VM's responses brought since the last call, for all VMs.
    pub fn take_news(&mut self, now_ms: u64) -> Vec<LimitUpdate> {
        let news = std::mem::take(&mut self.news);
        news.into_iter()
            .filter_map(|run| self.update(run, now_ms))
            .collect()
    }

    /// Updates of all runs that have a limit, at most `max`, those with the newest
    /// statements first.
    pub fn to_repeat(&self, max: usize, now_ms: u64) -> Vec<LimitUpdate> {
        let limited = self.runs.iter().filter(|(_, state)| state.stated.is_some());
        let mut updates: Vec<LimitUpdate> = limited
            .filter_map(|(run, _)| self.update(*run, now_ms))
            .collect();
        updates.sort_by_key(|update| update.received_age_ms);
        updates.truncate(max);
        updates
    }

    /// Removes the runs that were last spoken of long ago and for which `is_known`
    /// is `false`.
    pub fn remove_expired<F>(&mut self, is_known: F, now_ms: u64)
    where
        F: Fn(RunId) -> bool,
    {
        self.runs
            .retain(|run, state| is_known(*run) || now_ms < state.last_ms() + MEMORY_MS);
    }
}

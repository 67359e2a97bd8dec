//! One program and the order of its calls.

use std::collections::BTreeMap;

use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::{AccountName, MarketName, ProgramId, TargetName};

use crate::programs::ProgramKey;
use crate::{Budget, FinishedCall, Outcome, ProgramSnapshot, Reserve, ResourceAmounts};

/// Same request in a row that counts as a loop.
const LOOP_LIMIT: usize = 8;

/// Intent of a call that must not be repeated.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Intent {
    pub(crate) content_hash: u128,
    pub(crate) target: TargetName,
    pub(crate) worst: ResourceAmounts,
}

/// What to do with a call that arrives.
#[derive(Debug, PartialEq)]
pub enum CallDecision<'a> {
    /// It is the next one; run it.
    Run,
    /// It is under way; add the caller to those who get the answer.
    Attach,
    /// It is finished; give the recorded result.
    Replay(&'a FinishedCall),
    /// An earlier call is missing or under way.
    Wait,
    /// It can't run.
    Reject(CallError),
}

/// One program.
#[derive(Clone, Debug)]
pub struct Program {
    /// Identifier.
    pub id: ProgramId,
    /// Account that pays.
    pub account: AccountName,
    /// Market whose rules hold.
    pub market: MarketName,
    /// Program that spawned this one.
    pub parent: Option<ProgramKey>,
    /// Budget.
    pub budget: Budget,
    /// Durable reserve, used in the first program of a family.
    pub reserve: Reserve,
    /// Whether it has ended.
    pub ended: bool,
    /// End of its window, if the caller gave one.
    pub deadline_ms: Option<u64>,
    /// Time of its last call's arrival or end.
    pub last_active_ms: u64,
    /// Number from which calls are recorded; earlier ones were continued.
    pub(crate) recorded_from: u32,
    pub(crate) finished: BTreeMap<u32, FinishedCall>,
    pub(crate) intents: BTreeMap<u32, Intent>,
    running: Option<(u32, u128)>,
}

impl Program {
    pub(crate) fn new(
        id: ProgramId,
        account: AccountName,
        market: MarketName,
        parent: Option<ProgramKey>,
        limit: ResourceAmounts,
    ) -> Program {
        Program {
            id,
            account,
            market,
            parent,
            budget: Budget::new(limit),
            reserve: Reserve::default(),
            ended: false,
            deadline_ms: None,
            last_active_ms: 0,
            recorded_from: 1,
            finished: BTreeMap::new(),
            intents: BTreeMap::new(),
            running: None,
        }
    }

    /// Number of the next call to run.
    pub fn next_number(&self) -> u32 {
        let after_last = self
            .finished
            .last_key_value()
            .map_or(1, |(last, _)| last + 1);
        after_last.max(self.recorded_from)
    }

    /// Number of the call under way.
    pub fn running(&self) -> Option<u32> {
        self.running.map(|(number, _)| number)
    }

    /// Finished calls in order.
    pub fn finished_calls(&self) -> impl Iterator<Item = (u32, &FinishedCall)> {
        self.finished.iter().map(|(number, call)| (*number, call))
    }

    /// Result of one finished call.
    pub fn finished_call(&self, number: u32) -> Option<&FinishedCall> {
        self.finished.get(&number)
    }

    /// Decides what to do with a call that arrives.
    pub fn decide_call(&self, number: u32, content_hash: u128) -> CallDecision<'_> {
        if let Some(finished) = self.finished.get(&number) {
            return if finished.content_hash == content_hash {
                CallDecision::Replay(finished)
            } else {
                CallDecision::Reject(self.conflict(number))
            };
        }
        if number < self.recorded_from {
            let detail = format!("answer to call {number} of {} was not durable", self.id);
            return CallDecision::Reject(CallError::new(ErrorKind::AnswerLost, detail));
        }
        if let Some((running, running_hash)) = self.running {
            return match (running == number, running_hash == content_hash) {
                (true, true) => CallDecision::Attach,
                (true, false) => CallDecision::Reject(self.conflict(number)),
                (false, _) => CallDecision::Wait,
            };
        }
        if self.ended {
            let detail = format!("program {} has ended", self.id);
            return CallDecision::Reject(CallError::new(ErrorKind::ProgramEnded, detail));
        }
        if number != self.next_number() {
            return CallDecision::Wait;
        }
        if self.loops(content_hash) {
            let detail = format!("same request {LOOP_LIMIT} times in a row");
            return CallDecision::Reject(CallError::new(ErrorKind::LoopStopped, detail));
        }
        CallDecision::Run
    }

    /// Refusal of a number that stands for another request.
    fn conflict(&self, number: u32) -> CallError {
        let detail = format!("call {number} of {} was another request", self.id);
        CallError::new(ErrorKind::CallConflict, detail)
    }

    fn loops(&self, content_hash: u128) -> bool {
        let latest = self.finished.values().rev().take(LOOP_LIMIT);
        let same = latest.filter(|call| call.content_hash == content_hash);
        same.count() == LOOP_LIMIT
    }

    /// Notes that a call is under way.
    pub fn set_running(&mut self, number: u32, content_hash: u128) {
        self.running = Some((number, content_hash));
    }

    /// Notes that the call under way no longer is.
    pub fn clear_running(&mut self) {
        self.running = None;
    }

    /// Calls in doubt, with the target each went to.
    pub fn calls_in_doubt(&self) -> impl Iterator<Item = (u32, &TargetName)> {
        self.finished
            .iter()
            .filter(|(_, call)| call.outcome == Outcome::InDoubt)
            .map(|(number, call)| (*number, &call.target))
    }

    /// Whole state, for a snapshot.
    pub fn snapshot(&self) -> ProgramSnapshot {
        let intents = self.intents.iter().map(|(number, intent)| {
            (
                *number,
                intent.content_hash,
                intent.target.clone(),
                intent.worst,
            )
        });
        ProgramSnapshot {
            program: self.id.clone(),
            account: self.account.clone(),
            market: self.market.clone(),
            budget: Budget {
                in_flight: ResourceAmounts::default(),
                ..self.budget
            },
            reserve: self.reserve,
            finished: self.finished.clone().into_iter().collect(),
            intents: intents.collect(),
            recorded_from: self.recorded_from,
            ended: self.ended,
        }
    }
}

//! State of a program and the order of its calls.

use std::collections::BTreeMap;

use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::{AccountName, MarketName, ProgramId, TargetName};

use crate::programs::ProgramKey;
use crate::{Budget, FinishedCall, Outcome, ProgramSnapshot, Reserve, ResourceAmounts};

/// Number of identical requests in a row after which another one is rejected.
const LOOP_LIMIT: usize = 8;

/// Non-idempotent call that may have been sent and has no outcome yet.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Intent {
    pub(crate) content_hash: u128,
    pub(crate) target: TargetName,
    pub(crate) worst_case: ResourceAmounts,
}

/// What to do with a call, by its number and content.
#[derive(Debug, PartialEq)]
pub enum CallDecision<'a> {
    /// Call is the next one of its program; run it.
    Run,
    /// Call is already running; deliver the response to this caller as well.
    Attach,
    /// Call has finished; return the recorded result.
    Replay(&'a FinishedCall),
    /// An earlier call has not arrived yet or is still running.
    Wait,
    /// Call cannot run, for the reason that the error gives.
    Reject(CallError),
}

/// Chain of dependent calls, with its budget and recorded results.
#[derive(Clone, Debug)]
pub struct Program {
    /// Identifier of the program, with those of its ancestors.
    pub id: ProgramId,
    /// Account that the program is charged to.
    pub account: AccountName,
    /// Market whose budget limits, models and services apply.
    pub market: MarketName,
    /// Parent program; `None` for a root program.
    pub parent: Option<ProgramKey>,
    /// Budget of the program and its descendants.
    pub budget: Budget,
    /// Reserve of the family; 0 in all programs but the root.
    pub reserve: Reserve,
    /// Whether the program has ended and accepts no new calls.
    pub ended: bool,
    /// Deadline of the program, in milliseconds since the Unix epoch; `None` if no
    /// request has set a window. Snapshots don't contain it.
    pub deadline_ms: Option<u64>,
    /// Time from which idle and retention limits are measured, in milliseconds since
    /// the Unix epoch; updated when a call starts or ends, for example.
    pub last_active_ms: u64,
    /// Calls below this number that `finished` lacks have no durable result.
    /// The number is 1 until a continuation token raises it.
    pub(crate) recorded_from: u32,
    pub(crate) finished: BTreeMap<u32, FinishedCall>,
    pub(crate) intents: BTreeMap<u32, Intent>,
    /// Number and content hash of the running call; `None` if no call is running.
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

    /// Number of the running call, or of the next call to run if none is running; from 1.
    pub fn next_number(&self) -> u32 {
        let after_last_finished = self
            .finished
            .last_key_value()
            .map_or(1, |(last, _)| last + 1);
        after_last_finished.max(self.recorded_from)
    }

    /// Number of the running call; `None` if no call is running.
    pub fn running(&self) -> Option<u32> {
        self.running.map(|(number, _)| number)
    }

    /// Results of finished calls, in the order of their numbers.
    pub fn finished_calls(&self) -> impl Iterator<Item = (u32, &FinishedCall)> {
        self.finished.iter().map(|(number, call)| (*number, call))
    }

    /// Result of a finished call; `None` if the call has not finished or its result is lost.
    pub fn finished_call(&self, number: u32) -> Option<&FinishedCall> {
        self.finished.get(&number)
    }

    /// Decides what to do with a call, by its number and the hash of its request.
    pub fn decide_call(&self, number: u32, content_hash: u128) -> CallDecision<'_> {
        if let Some(finished) = self.finished.get(&number) {
            return if finished.content_hash == content_hash {
                CallDecision::Replay(finished)
            } else {
                CallDecision::Reject(self.call_conflict(number))
            };
        }
        if number < self.recorded_from {
            let detail = format!("answer to call {number} of {} was not durable", self.id);
            return CallDecision::Reject(CallError::new(ErrorKind::AnswerLost, detail));
        }
        if let Some((running, running_hash)) = self.running {
            return match (running == number, running_hash == content_hash) {
                (true, true) => CallDecision::Attach,
                (true, false) => CallDecision::Reject(self.call_conflict(number)),
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
        if self.is_looping(content_hash) {
            let detail = format!("same request {LOOP_LIMIT} times in a row");
            return CallDecision::Reject(CallError::new(ErrorKind::LoopStopped, detail));
        }
        CallDecision::Run
    }

    /// Error for a call number that was used for a different request.
    fn call_conflict(&self, number: u32) -> CallError {
        let detail = format!("call {number} of {} was another request", self.id);
        CallError::new(ErrorKind::CallConflict, detail)
    }

    /// Whether the last [`LOOP_LIMIT`] calls were all the same request.
    fn is_looping(&self, content_hash: u128) -> bool {
        let latest = self.finished.values().rev().take(LOOP_LIMIT);
        let identical = latest.filter(|call| call.content_hash == content_hash);
        identical.count() == LOOP_LIMIT
    }

    /// Marks a call as running.
    pub fn set_running(&mut self, number: u32, content_hash: u128) {
        self.running = Some((number, content_hash));
    }

    /// Marks the program as having no running call.
    pub fn clear_running(&mut self) {
        self.running = None;
    }

    /// Numbers of the calls in doubt, each with the target that the call was sent to.
    pub fn calls_in_doubt(&self) -> impl Iterator<Item = (u32, &TargetName)> {
        self.finished
            .iter()
            .filter(|(_, call)| call.outcome == Outcome::InDoubt)
            .map(|(number, call)| (*number, &call.target))
    }

    /// Copy of the durable state of the program.
    ///
    /// Usage of calls in flight is left out: a new owner charges the reserve
    /// for them, see [`Programs::take_over`](crate::Programs::take_over).
    pub fn snapshot(&self) -> ProgramSnapshot {
        let intents = self.intents.iter().map(|(number, intent)| {
            (
                *number,
                intent.content_hash,
                intent.target.clone(),
                intent.worst_case,
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

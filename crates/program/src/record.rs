//! Journal records.

use lagoon_ids::{AccountName, CallKey, Incarnation, MarketName, ProgramId, TargetName};
use serde::{Deserialize, Serialize};

use crate::{Budget, FinishedCall, Reserve, ResourceAmounts};

/// Durable change of the state of programs.
///
/// Stored in postcard, so variants and fields keep their order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// Program was opened.
    Opened {
        /// Identifier of the program, with those of its ancestors.
        program: ProgramId,
        /// Account that the program is charged to.
        account: AccountName,
        /// Market whose budget limits, models and services apply.
        market: MarketName,
        /// Limit of the budget; the budgets of all ancestors apply too.
        limit: ResourceAmounts,
    },
    /// Part of the budget of a family (a root program and its descendants) was reserved
    /// for calls.
    Reserved {
        /// Root program of the family.
        root: ProgramId,
        /// Amounts added to the reserve.
        amounts: ResourceAmounts,
    },
    /// Unspent reserve of a family was released, so that a successor does not charge it.
    ReserveReleased {
        /// Root program of the family.
        root: ProgramId,
    },
    /// Non-idempotent call is about to be sent; it is sent once this record is durable.
    Intent {
        /// Program and number of the call.
        call: CallKey,
        /// Hash of the request, to detect a different request with the same number.
        content_hash: u128,
        /// Target that the call is sent to.
        target: TargetName,
        /// Worst-case usage of the call.
        worst_case: ResourceAmounts,
    },
    /// Call with an earlier `Intent` was certainly not executed.
    IntentCancelled {
        /// Program and number of the call.
        call: CallKey,
    },
    /// Call finished, with a response or in doubt.
    Finished {
        /// Program and number of the call.
        call: CallKey,
        /// Result of the call; its usage is charged with the first `Finished` record only.
        finished: FinishedCall,
    },
    /// Usage was charged without a result: of an aborted attempt, or the reserve at a takeover.
    Charged {
        /// Call of the attempt; at a takeover, the next call of the root program.
        call: CallKey,
        /// Usage charged to the program and its ancestors.
        used: ResourceAmounts,
    },
    /// Caller resumed a program with a continuation token that covers calls
    /// without durable records.
    Continued {
        /// Program that the token was issued for.
        program: ProgramId,
        /// Number of the first call that the token does not cover.
        next_number: u32,
        /// Usage charged to the program when the token was issued.
        spent: ResourceAmounts,
        /// Usage charged to the root program when the token was issued.
        family_spent: ResourceAmounts,
    },
    /// Operator resolved a call in doubt.
    Settled {
        /// Program and number of the call.
        call: CallKey,
        /// Whether the target executed it.
        ran: bool,
    },
    /// Program ended and accepts no new calls.
    Ended {
        /// Program that ended; its descendants have records of their own.
        program: ProgramId,
    },
    /// Program was discarded together with its results.
    Removed {
        /// Discarded program; its descendants have records of their own.
        program: ProgramId,
    },
    /// All programs of a sealed incarnation were imported into this journal.
    Imported {
        /// Incarnation that owned the programs.
        from: Incarnation,
    },
    /// Complete state of a program, in a snapshot of the journal or at an import.
    Snapshot(Box<ProgramSnapshot>),
}

/// Complete durable state of a program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProgramSnapshot {
    /// Identifier of the program, with those of its ancestors.
    pub program: ProgramId,
    /// Account that the program is charged to.
    pub account: AccountName,
    /// Market whose budget limits, models and services apply.
    pub market: MarketName,
    /// Budget; its `in_flight` is 0, since a successor charges the reserve instead.
    pub budget: Budget,
    /// Reserve of the family; 0 in all programs but the root.
    pub reserve: Reserve,
    /// Results of finished calls, by call number.
    pub finished: Vec<(u32, FinishedCall)>,
    /// Intents without an outcome: call number, content hash, target and worst-case usage.
    pub intents: Vec<(u32, u128, TargetName, ResourceAmounts)>,
    /// Calls below this number that `finished` lacks have no durable result.
    /// The number is 1 until a continuation token raises it.
    pub recorded_from: u32,
    /// Whether the program has ended and accepts no new calls.
    pub ended: bool,
}

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
        /// Identifier of the program.
        program: ProgramId,
        /// Account that the program is charged to.
        account: AccountName,
        /// Market whose limits and weights apply.
        market: MarketName,
        /// Limit of the budget; the budgets of all ancestors apply too.
        limit: ResourceAmounts,
    },
    /// Part of a family's budget was reserved for calls.
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
    /// Non-idempotent call is about to be sent.
    Intent {
        /// Identifier of the call.
        call: CallKey,
        /// Hash of the request, to detect a different request with the same number.
        content_hash: u128,
        /// Target that the call is sent to.
        target: TargetName,
        /// Worst-case usage of the call.
        worst_case: ResourceAmounts,
    },
    /// Call of an intent was certainly not executed.
    IntentCancelled {
        /// Identifier of the call.
        call: CallKey,
    },
    /// Call finished, with a response or in doubt.
    Finished {
        /// Identifier of the call.
        call: CallKey,
        /// Result of the call.
        finished: FinishedCall,
    },
    /// Usage was charged without a result, for an aborted attempt or at a takeover.
    Charged {
        /// Identifier of the call.
        call: CallKey,
        /// Charged usage.
        used: ResourceAmounts,
    },
    /// Caller resumed a program with a continuation token, past calls without durable records.
    Continued {
        /// Identifier of the program.
        program: ProgramId,
        /// Number of the next call to run.
        next_number: u32,
        /// Usage of the program up to that call.
        spent: ResourceAmounts,
        /// Usage of the whole family up to that call.
        family_spent: ResourceAmounts,
    },
    /// Operator resolved a call in doubt.
    Settled {
        /// Identifier of the call.
        call: CallKey,
        /// Whether the target executed it.
        ran: bool,
    },
    /// Program ended and accepts no new calls.
    Ended {
        /// Identifier of the program.
        program: ProgramId,
    },
    /// Program was removed from memory.
    Removed {
        /// Identifier of the program.
        program: ProgramId,
    },
    /// All programs of a sealed incarnation were imported.
    Imported {
        /// Sealed incarnation.
        from: Incarnation,
    },
    /// Complete state of a program, in a snapshot or after an import.
    Snapshot(Box<ProgramSnapshot>),
}

/// Complete durable state of a program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProgramSnapshot {
    /// Identifier of the program.
    pub program: ProgramId,
    /// Account that the program is charged to.
    pub account: AccountName,
    /// Market whose limits and weights apply.
    pub market: MarketName,
    /// Budget, without calls in flight.
    pub budget: Budget,
    /// Reserve of the family; used in the root program only.
    pub reserve: Reserve,
    /// Results of finished calls, by call number.
    pub finished: Vec<(u32, FinishedCall)>,
    /// Intents without an outcome: call number, content hash, target and worst-case usage.
    pub intents: Vec<(u32, u128, TargetName, ResourceAmounts)>,
    /// Calls below this number and not in `finished` have no durable result.
    pub recorded_from: u32,
    /// Whether the program has ended.
    pub ended: bool,
}

//! Records of the journal.

use lagoon_ids::{AccountName, CallKey, Incarnation, MarketName, ProgramId, TargetName};
use serde::{Deserialize, Serialize};

use crate::{Budget, FinishedCall, Reserve, ResourceAmounts};

/// Change that outlives the VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// Program began.
    Opened {
        /// Program.
        program: ProgramId,
        /// Account that pays.
        account: AccountName,
        /// Market whose rules hold.
        market: MarketName,
        /// Budget, within its parent's.
        limit: ResourceAmounts,
    },
    /// Part of a family's budget may be spent from now on.
    Reserved {
        /// First program of the family.
        root: ProgramId,
        /// Amount added to the reserve.
        amounts: ResourceAmounts,
    },
    /// Nothing of a family's reserve is spent any more.
    ReserveReleased {
        /// First program of the family.
        root: ProgramId,
    },
    /// Call that must not be repeated is about to be sent.
    Intent {
        /// Call.
        call: CallKey,
        /// Hash of the request.
        content_hash: u128,
        /// Target it goes to.
        target: TargetName,
        /// Worst case of what it uses.
        worst_case: ResourceAmounts,
    },
    /// Call that was about to be sent surely did not run.
    IntentCancelled {
        /// Call.
        call: CallKey,
    },
    /// Call finished.
    Finished {
        /// Call.
        call: CallKey,
        /// Result.
        finished: FinishedCall,
    },
    /// Call used budget without an answer that counts.
    Charged {
        /// Call.
        call: CallKey,
        /// What it used.
        used: ResourceAmounts,
    },
    /// Caller continued a program past calls whose records were lost.
    Continued {
        /// Program.
        program: ProgramId,
        /// Number of the next call.
        next_number: u32,
        /// Spent by the program when the last of them finished.
        spent: ResourceAmounts,
        /// Spent by its family.
        family_spent: ResourceAmounts,
    },
    /// Operator settled a call in doubt.
    Settled {
        /// Call.
        call: CallKey,
        /// Whether it ran.
        ran: bool,
    },
    /// Program ended.
    Ended {
        /// Program.
        program: ProgramId,
    },
    /// Program is dropped from memory.
    Removed {
        /// Program.
        program: ProgramId,
    },
    /// All programs of another incarnation have been taken over.
    Imported {
        /// Incarnation that was sealed.
        from: Incarnation,
    },
    /// Whole state of a program, in a snapshot.
    Snapshot(Box<ProgramSnapshot>),
}

/// Whole state of a program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProgramSnapshot {
    /// Program.
    pub program: ProgramId,
    /// Account that pays.
    pub account: AccountName,
    /// Market whose rules hold.
    pub market: MarketName,
    /// Budget.
    pub budget: Budget,
    /// Durable reserve of the family, in its first program.
    pub reserve: Reserve,
    /// Finished calls with their numbers.
    pub finished: Vec<(u32, FinishedCall)>,
    /// Calls whose intent is durable, without an outcome.
    pub intents: Vec<(u32, u128, TargetName, ResourceAmounts)>,
    /// Number from which calls are recorded.
    pub recorded_from: u32,
    /// Whether the program has ended.
    pub ended: bool,
}

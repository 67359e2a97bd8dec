//! What operators are told.

use compact_str::CompactString;
use lagoon_ids::{AccountName, DomainName, Incarnation, MarketName, ProgramId, TargetName, VmName};
use lagoon_program::Budget;
use lagoon_sheet::SheetError;
use serde::{Deserialize, Serialize};

/// Row of the table that names the sheet in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SheetRow {
    /// Version.
    pub version: u64,
    /// Version that it was prepared from.
    pub base: u64,
    /// Who applied it.
    pub author: CompactString,
    /// Time of the request, since the Unix epoch.
    pub applied_ms: u64,
    /// Object with its text.
    pub object: String,
}

/// Another VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberReport {
    /// VM.
    pub vm: VmName,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// `live`, `leaving` or `dead`.
    pub state: CompactString,
    /// Time since it was last heard.
    pub silent_ms: u64,
    /// Version of the sheet it has in force.
    pub sheet_version: u64,
}

/// Target as this VM sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetReport {
    /// Target.
    pub target: TargetName,
    /// Model or service.
    pub serves: CompactString,
    /// Own calls under way.
    pub in_flight: u32,
    /// Load it is held to have.
    pub load: u32,
    /// Calls it may run at once.
    pub slots: u32,
    /// `live`, `ejected` or `leaving`.
    pub state: CompactString,
}

/// State of a VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeStatus {
    /// VM.
    pub vm: VmName,
    /// Failure domain.
    pub domain: DomainName,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Whether it takes new calls.
    pub ready: bool,
    /// Why it does not.
    pub not_ready_reason: Option<String>,
    /// Sheet in force.
    pub sheet: Option<SheetRow>,
    /// Time since the sheet's version was last confirmed.
    pub sheet_age_ms: u64,
    /// Programs held.
    pub programs: usize,
    /// Calls under way.
    pub calls: usize,
    /// Calls of other owners on their way through this VM.
    pub forwarded: usize,
    /// Calls waiting for a target.
    pub queued: usize,
    /// Groups of records that are not durable yet.
    pub journal_backlog: usize,
    /// Batches written.
    pub journal_batches: u64,
    /// Time that the last takeover took.
    pub last_takeover_ms: Option<u64>,
    /// Other VMs of the failure domain.
    pub members: Vec<MemberReport>,
    /// Targets of the failure domain.
    pub targets: Vec<TargetReport>,
}

/// Finished call of a program.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallReport {
    /// Number.
    pub number: u32,
    /// Target that ran it.
    pub target: TargetName,
    /// `answered`, `in_doubt`, `settled_ran` or `settled_not_run`.
    pub outcome: CompactString,
    /// Tokens used.
    pub used_tokens: u64,
}

/// Program.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProgramReport {
    /// Program.
    pub program: ProgramId,
    /// Account that pays.
    pub account: AccountName,
    /// Market.
    pub market: MarketName,
    /// `running`, `paused` or `ended`.
    pub state: CompactString,
    /// Budget.
    pub budget: Budget,
    /// Time since its last call.
    pub idle_ms: u64,
    /// Finished calls.
    pub calls: Vec<CallReport>,
}

/// Call in doubt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InDoubtCallReport {
    /// Program.
    pub program: ProgramId,
    /// Number of the call.
    pub number: u32,
    /// Target it was sent to.
    pub target: TargetName,
    /// Account that pays.
    pub account: AccountName,
}

/// Result of a new sheet.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ApplyReply {
    /// Sheet is accepted.
    Accepted {
        /// Its row.
        row: SheetRow,
    },
    /// Sheet has faults; nothing of it is taken.
    Faulty {
        /// All faults.
        faults: Vec<SheetError>,
    },
    /// Another sheet came first.
    Conflict {
        /// Sheet in force.
        current: Option<SheetRow>,
    },
    /// Store gave no answer; apply it again.
    Unknown {
        /// What was seen.
        detail: String,
    },
}

/// Answer to an operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum OperatorReply {
    /// State of the VM.
    Status(Box<NodeStatus>),
    /// Programs.
    Programs(Vec<ProgramReport>),
    /// One program.
    Program(Option<Box<ProgramReport>>),
    /// Sheet in force with its text.
    Sheet {
        /// Row.
        row: Option<SheetRow>,
        /// Text.
        text: String,
    },
    /// Result of a new sheet.
    Apply(ApplyReply),
    /// Calls in doubt.
    #[serde(rename = "Doubts")]
    InDoubtCalls(Vec<InDoubtCallReport>),
    /// Whether a call in doubt was settled.
    Settled {
        /// Whether there was such a call.
        settled: bool,
    },
}

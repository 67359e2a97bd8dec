//! Replies to operators.

use compact_str::CompactString;
use lagoon_ids::{AccountName, DomainName, Incarnation, MarketName, ProgramId, TargetName, VmName};
use lagoon_program::Budget;
use lagoon_sheet::SheetError;
use serde::{Deserialize, Serialize};

/// Row of the table that names the active sheet.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SheetRow {
    /// Version, from 1; increases by one with each new sheet.
    pub version: u64,
    /// Version that the sheet was derived from; 0 for the first sheet.
    pub base: u64,
    /// Person or tool that applied the sheet.
    pub author: CompactString,
    /// Time of the request, in milliseconds since the Unix epoch.
    pub applied_ms: u64,
    /// Key of the object with the sheet's text.
    pub object: String,
}

/// State of another VM, as the reporting VM sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberReport {
    /// Name of the VM that the entry is about.
    pub vm: VmName,
    /// Latest known incarnation.
    pub incarnation: Incarnation,
    /// `live`, `leaving` or `dead`.
    pub state: CompactString,
    /// Time since the VM's last heartbeat.
    pub silent_ms: u64,
    /// Version of the VM's active sheet; 0 if it has none.
    pub sheet_version: u64,
}

/// State of a target as this VM sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetReport {
    /// Name of the target, from the sheet.
    pub target: TargetName,
    /// Model or service that the target runs.
    pub serves: CompactString,
    /// Calls of this VM in flight at the target.
    pub in_flight: u32,
    /// Estimated number of calls of all VMs at the target.
    pub load: u32,
    /// Maximum number of concurrent calls at the target, from the sheet.
    pub slots: u32,
    /// `live`, `ejected` (receives no calls for a time, after a failed connection) or `leaving`
    /// (reported that it is about to stop).
    pub state: CompactString,
}

/// State of a VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the reporting VM.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Incarnation under which the VM owns programs.
    pub incarnation: Incarnation,
    /// Whether the VM accepts new calls.
    pub ready: bool,
    /// Why the VM does not accept new calls; `None` if it does.
    pub not_ready_reason: Option<String>,
    /// Row of the active sheet; `None` before one is read.
    pub sheet: Option<SheetRow>,
    /// Time since a store read last confirmed the version of the active sheet; since the Unix
    /// epoch if no sheet was read.
    pub sheet_age_ms: u64,
    /// Programs owned by the VM.
    pub programs: usize,
    /// Calls in flight at the VM as their owner.
    pub calls: usize,
    /// Calls of local callers that are forwarded to other owners.
    pub forwarded: usize,
    /// Attempts of the VM's calls that other VMs carry, as it can't reach their targets.
    #[serde(default)]
    pub carried_by_others: usize,
    /// Attempts that the VM carries for others.
    #[serde(default)]
    pub carried_for_others: usize,
    /// Targets of the failure domain that the VM can't reach, though another VM may.
    #[serde(default)]
    pub lost_paths: usize,
    /// Calls queued for a target.
    pub queued: usize,
    /// Record groups that are not durable yet.
    pub journal_backlog: usize,
    /// Journal batches written by this incarnation.
    pub journal_batches: u64,
    /// Duration of the last takeover by this VM; `None` if there was none.
    pub last_takeover_ms: Option<u64>,
    /// Other VMs of the failure domain.
    pub members: Vec<MemberReport>,
    /// Targets of the failure domain.
    pub targets: Vec<TargetReport>,
}

/// Finished call of a program.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallReport {
    /// Number of the call in its program.
    pub number: u32,
    /// Target that the call was sent to.
    pub target: TargetName,
    /// `answered`, `in_doubt`, or, if an operator resolved a call in doubt, `settled_ran` or
    /// `settled_not_run`.
    pub outcome: CompactString,
    /// Tokens charged for the call.
    pub used_tokens: u64,
}

/// State of a program, as reported by the VM that owns it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProgramReport {
    /// Identifier of the program.
    pub program: ProgramId,
    /// Client account that is charged.
    pub account: AccountName,
    /// Market that sets the limits and the available models of the program.
    pub market: MarketName,
    /// `running` (a call is in flight), `paused` (open, without a running call) or `ended`.
    pub state: CompactString,
    /// Budget limit and usage.
    pub budget: Budget,
    /// Time since the program's last activity.
    pub idle_ms: u64,
    /// Finished calls, ordered by number.
    pub calls: Vec<CallReport>,
}

/// Call in doubt: it was sent and its outcome is unknown.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InDoubtCallReport {
    /// Program of the call.
    pub program: ProgramId,
    /// Number of the call in its program.
    pub number: u32,
    /// Target that the call was sent to.
    pub target: TargetName,
    /// Client account that is charged.
    pub account: AccountName,
}

/// Result of applying a sheet.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ApplyReply {
    /// The sheet is active.
    Accepted {
        /// Row of the new sheet, with the version that it got.
        row: SheetRow,
    },
    /// The sheet is invalid; nothing was changed.
    Faulty {
        /// All validation errors of the sheet, not just the first one.
        faults: Vec<SheetError>,
    },
    /// The base version is not the active one.
    Conflict {
        /// Row of the active sheet; `None` if there is none yet.
        current: Option<SheetRow>,
    },
    /// The store did not reply; the request can be repeated.
    Unknown {
        /// Error that was observed.
        detail: String,
    },
}

/// Reply to an [`OperatorRequest`](crate::OperatorRequest).
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum OperatorReply {
    /// State of the VM.
    Status(Box<NodeStatus>),
    /// Programs owned by the VM, ordered by identifier.
    Programs(Vec<ProgramReport>),
    /// One program; `None` if the VM does not own it.
    Program(Option<Box<ProgramReport>>),
    /// Active sheet.
    Sheet {
        /// Row of the sheet; `None` before one is read.
        row: Option<SheetRow>,
        /// Text of the sheet; empty before one is read.
        text: String,
    },
    /// Result of applying a sheet.
    Apply(ApplyReply),
    /// Calls in doubt, ordered by program and number.
    #[serde(rename = "Doubts")]
    InDoubtCalls(Vec<InDoubtCallReport>),
    /// Result of resolving a call in doubt.
    Settled {
        /// Whether the call was in doubt; if not, nothing was changed.
        settled: bool,
    },
}

//! Commands of the command line.

use std::path::PathBuf;

use lagoon_ids::ProgramId;

/// Command and its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Shows the state of a VM.
    Status,
    /// Lists the programs of a VM.
    Programs,
    /// Shows a program of a VM with its calls.
    Program(ProgramId),
    /// Lists the calls in doubt, whose outcome is unknown.
    InDoubtCalls,
    /// Records whether a call in doubt ran, as the operator found out.
    ResolveInDoubt {
        /// Program of the call.
        program: ProgramId,
        /// Number of the call in its program, from 1.
        call: u32,
        /// Whether the operator found that the call ran.
        ran: bool,
    },
    /// Validates a sheet file, without a VM.
    SheetCheck(PathBuf),
    /// Shows the sheet that is active on the VM.
    SheetShow,
    /// Applies a sheet as the next version.
    SheetApply {
        /// Sheet file.
        file: PathBuf,
        /// Version that the sheet was prepared from; the current one if `None`.
        base: Option<u64>,
        /// Author to record for the new version.
        author: String,
    },
    /// Shows traces as trees of spans.
    Trace {
        /// Trace files with lines of OTLP JSON.
        files: Vec<PathBuf>,
        /// Shows only traces whose printed tree contains this text; all if `None`.
        filter: Option<String>,
    },
    /// Shows the timeline of a request, program or session from log lines.
    Explain {
        /// Identifier of the request, program or session.
        id: String,
        /// Log files; standard input if there are none.
        files: Vec<PathBuf>,
    },
}

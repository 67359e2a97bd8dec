//! Commands.

use std::path::PathBuf;

use lagoon_ids::ProgramId;

/// What an operator asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// State of a VM.
    Status,
    /// Programs of a VM.
    Programs,
    /// One program of a VM.
    Program(ProgramId),
    /// Calls in doubt.
    InDoubtCalls,
    /// Result of a call in doubt.
    ResolveInDoubt {
        /// Program.
        program: ProgramId,
        /// Number of the call.
        call: u32,
        /// Whether it ran.
        ran: bool,
    },
    /// Check of a sheet, without a VM.
    SheetCheck(PathBuf),
    /// Sheet in force.
    SheetShow,
    /// New sheet.
    SheetApply {
        /// File.
        file: PathBuf,
        /// Version that it was prepared from; the one in force without it.
        base: Option<u64>,
        /// Who applies it.
        author: String,
    },
    /// Spans of a file, as trees.
    Trace {
        /// Files of OTLP JSON.
        files: Vec<PathBuf>,
        /// Text that a span of the tree must hold.
        filter: Option<String>,
    },
    /// Story of a request or program from log lines.
    Explain {
        /// Identity.
        id: String,
        /// Files of log lines; standard input without one.
        files: Vec<PathBuf>,
    },
}

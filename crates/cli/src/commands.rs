//! Execution of commands.

mod programs;
mod sheet;
mod status;

use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use serde::Serialize;
use thiserror::Error;

use crate::canvas::{parse_spans, render_traces, timeline};
use crate::collection::{parse_log, ClientError, OperatorClient};
use crate::options::{Command, Options};

/// Failure of a command, which determines the exit code of the process.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The request to the VM failed.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// A file can't be read.
    #[error("{file}: {source}")]
    File {
        /// Path, or `standard input`.
        file: String,
        /// Error of opening or reading the file.
        source: std::io::Error,
    },
    /// The sheet is invalid; holds the text to print, with a table of all errors.
    #[error("{0}")]
    InvalidSheet(String),
    /// The sheet was not prepared from the current version.
    #[error("{0}")]
    SheetConflict(String),
    /// The VM rejected the request, its outcome is unknown, or nothing was found.
    #[error("{0}")]
    Failed(String),
}

impl CommandError {
    /// Exit code of the process, as the help text lists it.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::File { .. } | CommandError::Failed(_) => 1,
            CommandError::InvalidSheet(_) => 2,
            CommandError::SheetConflict(_) => 3,
            CommandError::Client(_) => 4,
        }
    }
}

/// Executes a command; returns the text to print.
///
/// # Errors
///
/// Fails if a file can't be read, the sheet is invalid, or the VM rejects the
/// request or is unreachable.
pub fn run(options: &Options) -> Result<String, CommandError> {
    let client = OperatorClient::new(options.operators);
    let json = options.json;
    match &options.command {
        Command::Status => status::show(&client, json),
        Command::Programs => programs::list(&client, json),
        Command::Program(id) => programs::show(&client, id, json),
        Command::InDoubtCalls => programs::list_in_doubt(&client, json),
        Command::ResolveInDoubt { program, call, ran } => {
            programs::resolve_in_doubt(&client, program, *call, *ran)
        }
        Command::SheetCheck(file) => sheet::check(file),
        Command::SheetShow => sheet::show(&client, json),
        Command::SheetApply { file, base, author } => sheet::apply(&client, file, *base, author),
        Command::Trace { files, filter } => trace(files, filter.as_deref()),
        Command::Explain { id, files } => explain(id, files),
    }
}

fn read_file(file: &Path) -> Result<String, CommandError> {
    fs::read_to_string(file).map_err(|source| CommandError::File {
        file: file.display().to_string(),
        source,
    })
}

fn trace(files: &[PathBuf], filter: Option<&str>) -> Result<String, CommandError> {
    let mut spans = Vec::new();
    for file in files {
        spans.extend(parse_spans(&read_file(file)?));
    }
    Ok(render_traces(&spans, filter))
}

fn explain(id: &str, files: &[PathBuf]) -> Result<String, CommandError> {
    let mut text = String::new();
    for file in files {
        text.push_str(&read_file(file)?);
    }
    if files.is_empty() {
        let read = io::stdin().read_to_string(&mut text);
        read.map_err(|source| CommandError::File {
            file: "standard input".to_owned(),
            source,
        })?;
    }
    let timeline = timeline(id, &parse_log(&text));
    timeline.ok_or_else(|| CommandError::Failed(format!("no log line names {id}")))
}

fn to_json<T>(value: &T) -> String
where
    T: Serialize,
{
    // Serializing a report, which is plain data, can't fail.
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    format!("{text}\n")
}

//! Commands carried out.

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

/// Reason why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// VM gave no answer.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// File can't be read.
    #[error("{file}: {source}")]
    File {
        /// Path.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
    /// Sheet has faults.
    #[error("{0}")]
    InvalidSheet(String),
    /// Another sheet came first.
    #[error("{0}")]
    SheetConflict(String),
    /// VM refused.
    #[error("{0}")]
    Failed(String),
}

impl CommandError {
    /// Exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::File { .. } | CommandError::Failed(_) => 1,
            CommandError::InvalidSheet(_) => 2,
            CommandError::SheetConflict(_) => 3,
            CommandError::Client(_) => 4,
        }
    }
}

/// Carries a command out; returns what to print.
///
/// # Errors
///
/// Fails when a file can't be read, or the VM refuses or can't be reached.
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

/// Text of a value as JSON.
fn to_json<T>(value: &T) -> String
where
    T: Serialize,
{
    // Reports are plain data, which always can be written.
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    format!("{text}\n")
}

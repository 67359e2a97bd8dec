//! Parsing of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use getopts::{Matches, Options as Flags};
use thiserror::Error;

use crate::options::Command;

const DEFAULT_OPERATORS: &str = "127.0.0.1:7201";
const BRIEF: &str = "\
Usage: lagoon [FLAGS] COMMAND

Commands:
    status                              state of a VM
    programs                            programs that the VM holds
    program ID                          one program with its calls
    doubts                              calls with unknown outcome
    doubts settle PROGRAM CALL ran|not-run
    sheet check FILE                    all errors of a sheet
    sheet show                          current sheet
    sheet apply FILE                    applies a sheet
    trace FILE...                       traces of files, as trees of spans
    explain ID [FILE...]                timeline of a request, program or session
                                        from log files or standard input

Exit codes: 0 done, 1 failed, 2 invalid command line or sheet,
3 rejected as another sheet was applied first, 4 no valid response of the VM.";

/// Command and global options of a valid command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Address of a VM's operators' API.
    pub operators: SocketAddr,
    /// Whether to print JSON; ignored by commands that print only text.
    pub json: bool,
    /// Command to execute.
    pub command: Command,
}

/// Parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ParsedArgs {
    /// Executes a command.
    Run(Box<Options>),
    /// Prints the help or version text.
    Print(String),
}

/// Error of [`parse_args`].
#[derive(Clone, Debug, Error, Eq, PartialEq)]
#[error("{0}; see lagoon --help")]
pub struct UsageError(String);

fn flags() -> Flags {
    let mut flags = Flags::new();
    flags.optopt(
        "o",
        "operators",
        "operators' address of a VM (127.0.0.1:7201)",
        "IP:PORT",
    );
    flags.optflag("j", "json", "prints JSON");
    flags.optopt(
        "b",
        "base",
        "sheet apply: version that the sheet was prepared from",
        "N",
    );
    flags.optopt("a", "author", "sheet apply: who applies it", "NAME");
    flags.optopt(
        "f",
        "filter",
        "trace: only trees that contain this text",
        "TEXT",
    );
    flags.optflag("h", "help", "shows this text");
    flags.optflag("V", "version", "shows the version");
    flags
}

/// Text of `--help`.
pub fn usage() -> String {
    flags().usage(BRIEF)
}

/// Parses the command line, without the name of the executable.
///
/// # Errors
///
/// Fails on the first invalid argument.
pub fn parse_args<S>(args: &[S]) -> Result<ParsedArgs, UsageError>
where
    S: AsRef<std::ffi::OsStr>,
{
    let matches = flags()
        .parse(args)
        .map_err(|error| UsageError(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(ParsedArgs::Print(usage()));
    }
    if matches.opt_present("version") {
        return Ok(ParsedArgs::Print(format!(
            "lagoon {}\n",
            env!("CARGO_PKG_VERSION")
        )));
    }
    let operators = matches
        .opt_str("operators")
        .unwrap_or_else(|| DEFAULT_OPERATORS.to_owned());
    Ok(ParsedArgs::Run(Box::new(Options {
        operators: parse("--operators", &operators)?,
        json: matches.opt_present("json"),
        command: command(&matches)?,
    })))
}

fn parse<T>(name: &str, text: &str) -> Result<T, UsageError>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    text.parse()
        .map_err(|error| UsageError(format!("{name} {text:?}: {error}")))
}

fn command(matches: &Matches) -> Result<Command, UsageError> {
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["status"] => Ok(Command::Status),
        ["programs"] => Ok(Command::Programs),
        ["program", id] => Ok(Command::Program(parse("program", id)?)),
        ["doubts"] => Ok(Command::InDoubtCalls),
        ["doubts", "settle", program, call, outcome] => Ok(Command::ResolveInDoubt {
            program: parse("program", program)?,
            call: parse("call", call)?,
            ran: parse_outcome(outcome)?,
        }),
        ["sheet", "check", file] => Ok(Command::SheetCheck(PathBuf::from(file))),
        ["sheet", "show"] => Ok(Command::SheetShow),
        ["sheet", "apply", file] => sheet_apply(matches, file),
        ["trace", files @ ..] if !files.is_empty() => Ok(Command::Trace {
            files: files.iter().map(PathBuf::from).collect(),
            filter: matches.opt_str("filter"),
        }),
        ["explain", id, files @ ..] => Ok(Command::Explain {
            id: (*id).to_owned(),
            files: files.iter().map(PathBuf::from).collect(),
        }),
        [] => Err(UsageError("no command".to_owned())),
        other => Err(UsageError(format!("unknown command `{}`", other.join(" ")))),
    }
}

fn parse_outcome(word: &str) -> Result<bool, UsageError> {
    match word {
        "ran" => Ok(true),
        "not-run" => Ok(false),
        other => Err(UsageError(format!("{other:?} is neither ran nor not-run"))),
    }
}

fn sheet_apply(matches: &Matches, file: &str) -> Result<Command, UsageError> {
    let base = match matches.opt_str("base") {
        Some(text) => Some(parse("--base", &text)?),
        None => None,
    };
    let author = matches
        .opt_str("author")
        .ok_or_else(|| UsageError("sheet apply needs --author".to_owned()))?;
    Ok(Command::SheetApply {
        file: PathBuf::from(file),
        base,
        author,
    })
}

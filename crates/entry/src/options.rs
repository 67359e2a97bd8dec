//! Command line of the daemon.

use std::ffi::OsStr;
use std::path::PathBuf;

use getopts::Options;
use thiserror::Error;

/// Action selected by the command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Run with this settings file.
    Run(PathBuf),
    /// Validate this settings file and exit.
    Check(PathBuf),
    /// Print this text, help or version, and exit.
    Show(String),
}

/// Invalid command line.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
#[error("{0}; see lagoon-entry --help")]
pub struct UsageError(String);

/// Parses the command line; `args` excludes the program's name.
///
/// # Errors
///
/// Fails on unknown flags, unexpected arguments, and if no action is selected.
pub fn parse_args<S>(args: &[S]) -> Result<Command, UsageError>
where
    S: AsRef<OsStr>,
{
    let mut options = Options::new();
    options.optopt("s", "settings", "runs with these settings", "FILE");
    options.optopt("", "check-settings", "checks settings and ends", "FILE");
    options.optflag("h", "help", "shows this text");
    options.optflag("V", "version", "shows the version");
    let matches = options
        .parse(args)
        .map_err(|error| UsageError(error.to_string()))?;
    if matches.opt_present("help") {
        let brief = "Usage: lagoon-entry --settings FILE\n\nExit codes: 0 stopped as planned, 1 failed,\n2 bad command line or settings.";
        return Ok(Command::Show(options.usage(brief)));
    }
    if matches.opt_present("version") {
        let version = env!("CARGO_PKG_VERSION");
        return Ok(Command::Show(format!("lagoon-entry {version}\n")));
    }
    if let Some(extra) = matches.free.first() {
        return Err(UsageError(format!("unexpected argument {extra}")));
    }
    if let Some(file) = matches.opt_str("check-settings") {
        return Ok(Command::Check(file.into()));
    }
    match matches.opt_str("settings") {
        Some(file) => Ok(Command::Run(file.into())),
        None => Err(UsageError("--settings is missing".to_owned())),
    }
}

//! Parsing of the command line.

use std::path::PathBuf;

use getopts::Options;
use thiserror::Error;

/// Parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Runs the daemon with a settings file.
    Run(PathBuf),
    /// Validates a settings file and exits.
    CheckSettings(PathBuf),
    /// Prints the help or version text and exits.
    Print(String),
}

/// Error of [`parse_args`].
#[derive(Clone, Debug, Error, Eq, PartialEq)]
#[error("{0}; see lagoond --help")]
pub struct UsageError(String);

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "runs with these settings", "FILE");
    options.optopt(
        "",
        "check-settings",
        "checks these settings and ends",
        "FILE",
    );
    options.optflag("h", "help", "shows this text");
    options.optflag("V", "version", "shows the version");
    options
}

/// Parses the command line, without the name of the executable.
///
/// # Errors
///
/// Fails on an unknown flag, an extra argument, or if there is nothing to do.
pub fn parse_args<S>(args: &[S]) -> Result<Command, UsageError>
where
    S: AsRef<std::ffi::OsStr>,
{
    let options = options();
    let matches = options
        .parse(args)
        .map_err(|error| UsageError(error.to_string()))?;
    if matches.opt_present("help") {
        let brief = "Usage: lagoond --settings FILE\n\nExit codes: 0 stopped as planned, 1 failed,\n2 bad command line or settings, 3 sealed by a successor.";
        return Ok(Command::Print(options.usage(brief)));
    }
    if matches.opt_present("version") {
        return Ok(Command::Print(format!(
            "lagoond {}\n",
            env!("CARGO_PKG_VERSION")
        )));
    }
    if let Some(extra) = matches.free.first() {
        return Err(UsageError(format!("unexpected argument {extra}")));
    }
    if let Some(file) = matches.opt_str("check-settings") {
        return Ok(Command::CheckSettings(file.into()));
    }
    match matches.opt_str("settings") {
        Some(file) => Ok(Command::Run(file.into())),
        None => Err(UsageError("--settings is missing".to_owned())),
    }
}

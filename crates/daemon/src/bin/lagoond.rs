//! The entry VM's daemon.

use std::path::Path;
use std::process::ExitCode;

use lagoon_daemon::options::{parse_args, Command};
use lagoon_daemon::{run, RunError};
use lagoon_settings::{load, Settings};
use lagoon_telemetry::init_logs;

const EXIT_FAILURE: u8 = 1;
const EXIT_BAD_INPUT: u8 = 2;
const EXIT_FENCED: u8 = 3;

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args_os().skip(1).collect();
    match parse_args(&arguments) {
        Ok(Command::Run(file)) => with_settings(&file, start),
        Ok(Command::CheckSettings(file)) => with_settings(&file, |_| {
            println!("{}: settings are valid", file.display());
            ExitCode::SUCCESS
        }),
        Ok(Command::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => fail(EXIT_BAD_INPUT, &error),
    }
}

fn with_settings<F>(file: &Path, f: F) -> ExitCode
where
    F: FnOnce(&Settings) -> ExitCode,
{
    match load(file) {
        Ok(settings) => f(&settings),
        Err(error) => fail(EXIT_BAD_INPUT, &error),
    }
}

fn start(settings: &Settings) -> ExitCode {
    if let Err(error) = init_logs(&settings.log, settings.vm.name.as_str()) {
        return fail(EXIT_BAD_INPUT, &error);
    }
    let result = run(settings);
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ RunError::Fenced) => fail(EXIT_FENCED, &error),
        Err(error) => fail(EXIT_FAILURE, &error),
    }
}

fn fail(code: u8, error: &dyn std::error::Error) -> ExitCode {
    eprintln!("lagoond: {error}");
    ExitCode::from(code)
}

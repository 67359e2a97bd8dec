//! Command line tool for operators.

use std::process::ExitCode;

use lagoon_cli::commands::run;
use lagoon_cli::options::{parse_args, ParsedArgs};

const EXIT_BAD_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args_os().skip(1).collect();
    match parse_args(&arguments) {
        Ok(ParsedArgs::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(ParsedArgs::Run(options)) => match run(&options) {
            Ok(text) => {
                print!("{text}");
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("lagoon: {error}");
                ExitCode::from(error.exit_code())
            }
        },
        Err(error) => {
            eprintln!("lagoon: {error}");
            ExitCode::from(EXIT_BAD_USAGE)
        }
    }
}

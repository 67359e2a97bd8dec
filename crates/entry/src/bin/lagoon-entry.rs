//! The entry VM's forwarding daemon.

use std::path::Path;
use std::process::ExitCode;

use cap::Cap;
use lagoon_entry::{load, parse_args, run_within_memory, Command, EntrySettings};
use lagoon_telemetry::init_logs;
use tikv_jemallocator::Jemalloc;

/// Heap that counts what is allocated, and returns what is freed to the system.
#[global_allocator]
static HEAP: Cap<Jemalloc> = Cap::new(Jemalloc, usize::MAX);

const EXIT_FAILED: u8 = 1;
const EXIT_BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args_os().skip(1).collect();
    match parse_args(&arguments) {
        Ok(Command::Run(file)) => with_settings(&file, |settings| start(settings, &file)),
        Ok(Command::Check(file)) => with_settings(&file, |_| {
            println!("{}: settings are valid", file.display());
            ExitCode::SUCCESS
        }),
        Ok(Command::Show(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => fail(EXIT_BAD_INPUT, &error),
    }
}

fn with_settings<F>(file: &Path, action: F) -> ExitCode
where
    F: FnOnce(&EntrySettings) -> ExitCode,
{
    match load(file) {
        Ok(settings) => action(&settings),
        Err(error) => fail(EXIT_BAD_INPUT, &error),
    }
}

fn start(settings: &EntrySettings, file: &Path) -> ExitCode {
    if let Err(error) = init_logs(&settings.log, settings.vm.name.as_str()) {
        return fail(EXIT_BAD_INPUT, &error);
    }
    let result = run_within_memory(settings, file, || HEAP.allocated() as u64);
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(EXIT_FAILED, &error),
    }
}

fn fail(code: u8, error: &dyn std::error::Error) -> ExitCode {
    eprintln!("lagoon-entry: {error}");
    ExitCode::from(code)
}

//! Runs a simulated platform, engine, service or caller, by subcommand.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;

use getopts::{Matches, Options};
use lagoon_standin::caller::{run_load, run_program, LoadSettings};
use lagoon_standin::engine::EngineSettings;
use lagoon_standin::service::ServiceSettings;
use lagoon_standin::{engine, platform, service};

const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lagoon-standin: {error}");
            ExitCode::from(USAGE_EXIT_CODE)
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "listen", "address to listen on", "IP:PORT");
    options.optopt(
        "",
        "write-ms",
        "platform: duration of a transaction (2)",
        "MS",
    );
    options.optopt("", "step-us", "engine: decode time of a step (5000)", "US");
    options.optopt(
        "",
        "sequence-us",
        "engine: step time added by each further sequence (100)",
        "US",
    );
    options.optopt(
        "",
        "prefill",
        "engine: prompt tokens prefilled per millisecond (20)",
        "N",
    );
    options.optopt(
        "",
        "cache-blocks",
        "engine: capacity of the prefix cache in blocks (4096)",
        "N",
    );
    options.optopt(
        "",
        "load-lag-ms",
        "engine: interval between load reports (500)",
        "MS",
    );
    options.optopt("", "work-ms", "service: service time of a call (20)", "MS");
    options.optflag(
        "",
        "deduplicates",
        "service: a known idempotency key returns the recorded response",
    );
    options.optmulti(
        "",
        "to",
        "caller, load: address of a VM or engine; may be repeated",
        "IP:PORT",
    );
    options.optopt("", "key", "load: API key (grower-desk-key)", "KEY");
    options.optopt("", "model", "load: model (contract-agent)", "NAME");
    options.optopt("", "callers", "load: concurrent callers (10)", "N");
    options.optopt("", "calls", "load: calls per caller (10)", "N");
    options.optopt("", "turns", "load: calls per program (5)", "N");
    options.optopt("", "tokens", "load: output tokens per call (32)", "N");
    options.optopt(
        "",
        "prompt-chars",
        "load: prompt length in characters (400)",
        "N",
    );
    options.optflag("h", "help", "show this text");
    options
}

fn run(arguments: &[String]) -> Result<(), String> {
    let options = options();
    let matches = options
        .parse(arguments)
        .map_err(|error| error.to_string())?;
    if matches.opt_present("help") {
        println!(
            "{}",
            options.usage("Usage: lagoon-standin platform|engine|service|caller|load [FLAGS]")
        );
        return Ok(());
    }
    match matches.free.first().map(String::as_str) {
        Some("caller") => match target_addresses(&matches)?.as_slice() {
            [first, second] => run_program(*first, *second),
            _ => Err("caller needs exactly two --to addresses".to_owned()),
        },
        Some("load") => generate_load(&matches),
        Some(subcommand) => serve(subcommand, &matches),
        None => Err("missing subcommand: platform, engine, service, caller or load".to_owned()),
    }
}

fn target_addresses(matches: &Matches) -> Result<Vec<SocketAddr>, String> {
    let texts = matches.opt_strs("to");
    let parsed: Result<Vec<SocketAddr>, _> = texts.iter().map(|text| text.parse()).collect();
    parsed.map_err(|error| format!("--to: {error}"))
}

fn generate_load(matches: &Matches) -> Result<(), String> {
    let addresses = target_addresses(matches)?;
    if addresses.is_empty() {
        return Err("load needs at least one --to address".to_owned());
    }
    run_load(&LoadSettings {
        addresses,
        api_key: option_or(matches, "key", "grower-desk-key".to_owned())?,
        model: option_or(matches, "model", "contract-agent".to_owned())?,
        callers: option_or(matches, "callers", 10)?,
        calls_per_caller: option_or(matches, "calls", 10)?,
        calls_per_program: option_or::<usize>(matches, "turns", 5)?.max(1),
        response_tokens: option_or(matches, "tokens", 32)?,
        prompt_chars: option_or(matches, "prompt-chars", 400)?,
    })
}

fn serve(subcommand: &str, matches: &Matches) -> Result<(), String> {
    let address: SocketAddr = matches
        .opt_str("listen")
        .ok_or("--listen is missing")?
        .parse()
        .map_err(|error| format!("--listen: {error}"))?;
    match subcommand {
        "platform" => platform::run(address, option_or(matches, "write-ms", 2)?),
        "engine" => engine::run(EngineSettings {
            address,
            step_us: option_or(matches, "step-us", 5_000)?,
            extra_sequence_us: option_or(matches, "sequence-us", 100)?,
            prefill_tokens_per_ms: option_or(matches, "prefill", 20)?,
            cache_blocks: option_or(matches, "cache-blocks", 4_096)?,
            load_report_interval_ms: option_or(matches, "load-lag-ms", 500)?,
        }),
        "service" => service::run(ServiceSettings {
            address,
            deduplicates: matches.opt_present("deduplicates"),
            service_time_ms: option_or(matches, "work-ms", 20)?,
        }),
        other => Err(format!("unknown subcommand {other}")),
    }
}

fn option_or<T>(matches: &Matches, name: &str, default: T) -> Result<T, String>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text.parse().map_err(|error| format!("--{name}: {error}")),
    }
}

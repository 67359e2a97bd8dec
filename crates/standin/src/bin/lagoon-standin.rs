//! Stand-ins by sub-command.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;

use getopts::{Matches, Options};
use lagoon_standin::caller::{run_load, run_program, LoadSettings};
use lagoon_standin::engine::EngineSettings;
use lagoon_standin::service::ServiceSettings;
use lagoon_standin::{engine, platform, service};

const USAGE_CODE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lagoon-standin: {error}");
            ExitCode::from(USAGE_CODE)
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "listen", "address to listen on", "IP:PORT");
    options.optopt("", "write-ms", "platform: time of a transaction (2)", "MS");
    options.optopt("", "step-us", "engine: time of a step (5000)", "US");
    options.optopt(
        "",
        "sequence-us",
        "engine: time each further sequence adds (100)",
        "US",
    );
    options.optopt(
        "",
        "prefill",
        "engine: prompt tokens a millisecond (20)",
        "N",
    );
    options.optopt(
        "",
        "cache-blocks",
        "engine: blocks of the prefix cache (4096)",
        "N",
    );
    options.optopt(
        "",
        "load-lag-ms",
        "engine: age of the reported load (500)",
        "MS",
    );
    options.optopt("", "work-ms", "service: time of a call (20)", "MS");
    options.optflag(
        "",
        "deduplicates",
        "service: a known key does not run again",
    );
    options.optmulti(
        "",
        "to",
        "caller, load: address of a VM or engine",
        "IP:PORT",
    );
    options.optopt("", "key", "load: API key (grower-desk-key)", "KEY");
    options.optopt("", "model", "load: model (contract-agent)", "NAME");
    options.optopt("", "callers", "load: callers at once (10)", "N");
    options.optopt("", "calls", "load: calls of each caller (10)", "N");
    options.optopt("", "turns", "load: calls of one program (5)", "N");
    options.optopt("", "tokens", "load: tokens of each answer (32)", "N");
    options.optopt(
        "",
        "prompt-chars",
        "load: characters of each prompt (400)",
        "N",
    );
    options.optflag("h", "help", "shows this text");
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
        Some("caller") => match addresses(&matches)?.as_slice() {
            [first, second] => run_program(*first, *second),
            _ => Err("caller needs --to twice".to_owned()),
        },
        Some("load") => load(&matches),
        Some(kind) => serve(kind, &matches),
        None => Err("name one of platform, engine, service, caller, load".to_owned()),
    }
}

fn addresses(matches: &Matches) -> Result<Vec<SocketAddr>, String> {
    let texts = matches.opt_strs("to");
    let parsed: Result<Vec<SocketAddr>, _> = texts.iter().map(|text| text.parse()).collect();
    parsed.map_err(|error| format!("--to: {error}"))
}

fn load(matches: &Matches) -> Result<(), String> {
    let addresses = addresses(matches)?;
    if addresses.is_empty() {
        return Err("load needs --to".to_owned());
    }
    run_load(&LoadSettings {
        addresses,
        api_key: value(matches, "key", "grower-desk-key".to_owned())?,
        model: value(matches, "model", "contract-agent".to_owned())?,
        callers: value(matches, "callers", 10)?,
        calls: value(matches, "calls", 10)?,
        turns: value::<usize>(matches, "turns", 5)?.max(1),
        tokens: value(matches, "tokens", 32)?,
        prompt_chars: value(matches, "prompt-chars", 400)?,
    })
}

fn serve(kind: &str, matches: &Matches) -> Result<(), String> {
    let address: SocketAddr = matches
        .opt_str("listen")
        .ok_or("--listen is missing")?
        .parse()
        .map_err(|error| format!("--listen: {error}"))?;
    match kind {
        "platform" => platform::run(address, value(matches, "write-ms", 2)?),
        "engine" => engine::run(EngineSettings {
            address,
            step_us: value(matches, "step-us", 5_000)?,
            sequence_us: value(matches, "sequence-us", 100)?,
            prefill_tokens_per_ms: value(matches, "prefill", 20)?,
            cache_blocks: value(matches, "cache-blocks", 4_096)?,
            load_lag_ms: value(matches, "load-lag-ms", 500)?,
        }),
        "service" => service::run(ServiceSettings {
            address,
            deduplicates: matches.opt_present("deduplicates"),
            work_ms: value(matches, "work-ms", 20)?,
        }),
        other => Err(format!("unknown stand-in {other}")),
    }
}

fn value<T>(matches: &Matches, name: &str, default: T) -> Result<T, String>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text.parse().map_err(|error| format!("--{name}: {error}")),
    }
}

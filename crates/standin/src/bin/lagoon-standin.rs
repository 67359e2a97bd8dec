//! Stand-ins by sub-command.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;

use getopts::{Matches, Options};
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
            options.usage("Usage: lagoon-standin platform|engine|service --listen IP:PORT")
        );
        return Ok(());
    }
    let address: SocketAddr = matches
        .opt_str("listen")
        .ok_or("--listen is missing")?
        .parse()
        .map_err(|error| format!("--listen: {error}"))?;
    match matches.free.first().map(String::as_str) {
        Some("platform") => platform::run(address, value(&matches, "write-ms", 2)?),
        Some("engine") => engine::run(EngineSettings {
            address,
            step_us: value(&matches, "step-us", 5_000)?,
            sequence_us: value(&matches, "sequence-us", 100)?,
            prefill_tokens_per_ms: value(&matches, "prefill", 20)?,
            cache_blocks: value(&matches, "cache-blocks", 4_096)?,
            load_lag_ms: value(&matches, "load-lag-ms", 500)?,
        }),
        Some("service") => service::run(ServiceSettings {
            address,
            deduplicates: matches.opt_present("deduplicates"),
            work_ms: value(&matches, "work-ms", 20)?,
        }),
        _ => Err("name one of platform, engine, service".to_owned()),
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

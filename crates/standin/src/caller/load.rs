//! Load generator: concurrent callers, each of which runs programs call by call.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::caller::Client;

const STACK_BYTES: usize = 256 * 1024;
const MAX_LATENCY_US: u64 = 120_000_000;

/// Settings of a load run.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// VMs or engines; each caller's calls go to them round-robin.
    pub addresses: Vec<SocketAddr>,
    /// API key that all callers use.
    pub api_key: String,
    /// Model that all calls request.
    pub model: String,
    /// Concurrent callers, one thread each.
    pub callers: usize,
    /// Calls that each caller makes, over all its programs.
    pub calls_per_caller: usize,
    /// Calls in one program; must be at least 1.
    pub calls_per_program: usize,
    /// Requested output tokens of each call.
    pub response_tokens: u64,
    /// Minimum length of each prompt in characters.
    pub prompt_chars: usize,
}

struct LoadResults {
    time_to_first_us: Histogram<u64>,
    event_interval_us: Histogram<u64>,
    call_duration_us: Histogram<u64>,
    completed: u64,
    rejected: u64,
    interrupted: u64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).unwrap_or_else(|_| unreachable!("bounds are valid"))
}

/// Runs a load and prints the results as one line of `key=value` pairs.
///
/// # Errors
///
/// Fails if a thread can't be started or a caller panics.
pub fn run_load(settings: &LoadSettings) -> Result<(), String> {
    let results = Arc::new(Mutex::new(LoadResults {
        time_to_first_us: histogram(),
        event_interval_us: histogram(),
        call_duration_us: histogram(),
        completed: 0,
        rejected: 0,
        interrupted: 0,
    }));
    let started = Instant::now();
    let threads: Result<Vec<_>, _> = (0..settings.callers)
        .map(|caller| {
            let settings = settings.clone();
            let results = Arc::clone(&results);
            thread::Builder::new()
                .stack_size(STACK_BYTES)
                .spawn(move || run_caller(&settings, caller, &results))
        })
        .collect();
    for handle in threads.map_err(|error| error.to_string())? {
        handle.join().map_err(|_| "caller panicked")?;
    }
    print_results(
        &results.lock().unwrap_or_else(PoisonError::into_inner),
        started.elapsed(),
    );
    Ok(())
}

fn run_caller(settings: &LoadSettings, caller: usize, results: &Mutex<LoadResults>) {
    let clients: Vec<Client> = settings
        .addresses
        .iter()
        .map(|address| Client::new(*address, &settings.api_key))
        .collect();
    let mut program = String::new();
    for call in 0..settings.calls_per_caller {
        let turn = call % settings.calls_per_program;
        let number = (turn + 1).to_string();
        let mut headers = vec![("Lagoon-Call", number.as_str())];
        if turn > 0 {
            headers.push(("Lagoon-Program", program.as_str()));
        }
        let prompt = prompt(settings.prompt_chars, caller, call);
        let client = &clients[(caller + call) % clients.len()];
        let started = Instant::now();
        let reply = client.chat(
            &settings.model,
            &prompt,
            settings.response_tokens,
            &headers,
            |_| {},
        );
        let elapsed = started.elapsed();
        let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
        match reply {
            Ok(reply) if reply.complete => {
                results.completed += 1;
                record(&mut results.call_duration_us, elapsed);
                record_event_times(&mut results, &reply.event_times);
                program = reply.program;
            }
            Ok(reply) if reply.status != 200 => results.rejected += 1,
            _ => results.interrupted += 1,
        }
    }
}

fn prompt(chars: usize, caller: usize, call: usize) -> String {
    let mut text = format!("caller {caller} call {call} ");
    while text.len() < chars {
        text.push_str("grove line chiller slot ");
    }
    text
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}

fn record_event_times(results: &mut LoadResults, times: &[Duration]) {
    if let Some(first) = times.first() {
        record(&mut results.time_to_first_us, *first);
    }
    for pair in times.windows(2) {
        record(&mut results.event_interval_us, pair[1] - pair[0]);
    }
}

fn print_results(results: &LoadResults, elapsed: Duration) {
    let ms = |histogram: &Histogram<u64>, quantile: f64| {
        histogram.value_at_quantile(quantile) as f64 / 1e3
    };
    println!(
        "answered={} refused={} broken={} calls_per_s={:.1} first_p50_ms={:.2} first_p95_ms={:.2} \
         gap_p50_ms={:.2} gap_p95_ms={:.2} call_p50_ms={:.2} call_p95_ms={:.2}",
        results.completed,
        results.rejected,
        results.interrupted,
        results.completed as f64 / elapsed.as_secs_f64(),
        ms(&results.time_to_first_us, 0.5),
        ms(&results.time_to_first_us, 0.95),
        ms(&results.event_interval_us, 0.5),
        ms(&results.event_interval_us, 0.95),
        ms(&results.call_duration_us, 0.5),
        ms(&results.call_duration_us, 0.95),
    );
}

//! A load: callers that run programs one call after the other.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::caller::Client;

const STACK_BYTES: usize = 256 * 1024;
const LONGEST_US: u64 = 120_000_000;

/// Settings of a load.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Entry VMs or an engine; a caller's calls go to them in turn.
    pub addresses: Vec<SocketAddr>,
    /// API key.
    pub api_key: String,
    /// Model.
    pub model: String,
    /// Callers at once.
    pub callers: usize,
    /// Calls of each caller.
    pub calls: usize,
    /// Calls of one program.
    pub turns: usize,
    /// Tokens of each answer.
    pub tokens: u64,
    /// Characters of each prompt.
    pub prompt_chars: usize,
}

struct Figures {
    first_us: Histogram<u64>,
    gap_us: Histogram<u64>,
    call_us: Histogram<u64>,
    answered: u64,
    refused: u64,
    broken: u64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST_US, 3).unwrap_or_else(|_| unreachable!("bounds are valid"))
}

/// Runs a load and prints its figures, a line of `key=value`.
///
/// # Errors
///
/// Fails when no thread can be started.
pub fn run_load(settings: &LoadSettings) -> Result<(), String> {
    let figures = Arc::new(Mutex::new(Figures {
        first_us: histogram(),
        gap_us: histogram(),
        call_us: histogram(),
        answered: 0,
        refused: 0,
        broken: 0,
    }));
    let started = Instant::now();
    let threads: Result<Vec<_>, _> = (0..settings.callers)
        .map(|caller| {
            let settings = settings.clone();
            let figures = Arc::clone(&figures);
            thread::Builder::new()
                .stack_size(STACK_BYTES)
                .spawn(move || run_caller(&settings, caller, &figures))
        })
        .collect();
    for handle in threads.map_err(|error| error.to_string())? {
        handle.join().map_err(|_| "caller panicked")?;
    }
    print(
        &figures.lock().unwrap_or_else(PoisonError::into_inner),
        started.elapsed(),
    );
    Ok(())
}

fn run_caller(settings: &LoadSettings, caller: usize, figures: &Mutex<Figures>) {
    let clients: Vec<Client> = settings
        .addresses
        .iter()
        .map(|address| Client::new(*address, &settings.api_key))
        .collect();
    let mut program = String::new();
    for call in 0..settings.calls {
        let turn = call % settings.turns;
        let number = (turn + 1).to_string();
        let mut headers = vec![("Lagoon-Call", number.as_str())];
        if turn > 0 {
            headers.push(("Lagoon-Program", program.as_str()));
        }
        let prompt = prompt(settings.prompt_chars, caller, call);
        let client = &clients[(caller + call) % clients.len()];
        let started = Instant::now();
        let reply = client.chat(&settings.model, &prompt, settings.tokens, &headers, |_| {});
        let took = started.elapsed();
        let mut figures = figures.lock().unwrap_or_else(PoisonError::into_inner);
        match reply {
            Ok(reply) if reply.whole => {
                figures.answered += 1;
                note(&mut figures.call_us, took);
                note_times(&mut figures, &reply.event_times);
                program = reply.program;
            }
            Ok(reply) if reply.status != 200 => figures.refused += 1,
            _ => figures.broken += 1,
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

fn note(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}

fn note_times(figures: &mut Figures, times: &[Duration]) {
    if let Some(first) = times.first() {
        note(&mut figures.first_us, *first);
    }
    for pair in times.windows(2) {
        note(&mut figures.gap_us, pair[1] - pair[0]);
    }
}

fn print(figures: &Figures, took: Duration) {
    let ms = |histogram: &Histogram<u64>, quantile: f64| {
        histogram.value_at_quantile(quantile) as f64 / 1e3
    };
    println!(
        "answered={} refused={} broken={} calls_per_s={:.1} first_p50_ms={:.2} first_p95_ms={:.2} \
         gap_p50_ms={:.2} gap_p95_ms={:.2} call_p50_ms={:.2} call_p95_ms={:.2}",
        figures.answered,
        figures.refused,
        figures.broken,
        figures.answered as f64 / took.as_secs_f64(),
        ms(&figures.first_us, 0.5),
        ms(&figures.first_us, 0.95),
        ms(&figures.gap_us, 0.5),
        ms(&figures.gap_us, 0.95),
        ms(&figures.call_us, 0.5),
        ms(&figures.call_us, 0.95),
    );
}

//! Continuous batching: each step gives every admitted sequence one token.

use std::collections::HashMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::cache::{CacheEvent, PrefixCache};
use super::{EngineSettings, Load};

/// Time a finished stream can still be resumed.
const KEPT: Duration = Duration::from_secs(30);
const WORDS: [&str; 8] = [
    "bark ", "grove ", "slot ", "chiller ", "line ", "restore ", "quote ", "plan ",
];

#[derive(Default)]
struct StreamState {
    tokens: Vec<&'static str>,
    done: bool,
    cancelled: bool,
}

/// Tokens of one request.
pub(super) struct Stream {
    state: Mutex<StreamState>,
    changed: Condvar,
    prompt_tokens: u64,
    cached_tokens: u64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Stream {
    /// Waits for tokens after a place; also tells whether these are the last.
    pub(super) fn wait_after(&self, place: usize) -> (Vec<&'static str>, bool) {
        let mut state = lock(&self.state);
        while state.tokens.len() <= place && !state.done {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        let tokens = state.tokens.get(place..).unwrap_or_default().to_vec();
        (tokens, state.done)
    }

    pub(super) fn wait_all(&self) -> String {
        let mut text = String::new();
        let mut place = 0;
        loop {
            let (tokens, done) = self.wait_after(place);
            place += tokens.len();
            text.extend(tokens);
            if done {
                return text;
            }
        }
    }

    pub(super) fn is_cancelled(&self) -> bool {
        lock(&self.state).cancelled
    }

    pub(super) fn usage(&self) -> serde_json::Value {
        let tokens = lock(&self.state).tokens.len() as u64;
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": self.prompt_tokens + tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        })
    }

    fn push(&self, word: &'static str, last: bool) {
        let mut state = lock(&self.state);
        state.tokens.push(word);
        state.done = last;
        self.changed.notify_all();
    }

    fn cancel(&self) {
        let mut state = lock(&self.state);
        state.cancelled = !state.done;
        state.done = true;
        self.changed.notify_all();
    }
}

struct Sequence {
    id: String,
    stream: Arc<Stream>,
    prefill_tokens: u64,
    left: u64,
    seed: u64,
}

struct State {
    sequences: Vec<Sequence>,
    streams: HashMap<String, (Arc<Stream>, Instant)>,
    cache: PrefixCache,
    admitted: u64,
    load: Load,
    reported: Load,
}

/// Sequences under way.
pub(super) struct Batch {
    settings: EngineSettings,
    state: Mutex<State>,
    work: Condvar,
}

impl Batch {
    pub(super) fn new(settings: EngineSettings) -> Batch {
        Batch {
            settings,
            state: Mutex::new(State {
                sequences: Vec::new(),
                streams: HashMap::new(),
                cache: PrefixCache::new(settings.cache_blocks),
                admitted: 0,
                load: Load::default(),
                reported: Load::default(),
            }),
            work: Condvar::new(),
        }
    }

    /// Admits a request at once and names its stream.
    pub(super) fn admit(&self, prompt: &str, tokens: u64) -> String {
        let mut state = lock(&self.state);
        let prompt_tokens = (prompt.len() as u64).div_ceil(4);
        let cached_tokens = state.cache.use_prompt(prompt).min(prompt_tokens);
        state.admitted += 1;
        let id = format!("chat-{}-{}", self.settings.address.port(), state.admitted);
        let stream = Arc::new(Stream {
            state: Mutex::default(),
            changed: Condvar::new(),
            prompt_tokens,
            cached_tokens,
        });
        let prefill_tokens = prompt_tokens - cached_tokens;
        state.load.cached_tokens += cached_tokens;
        state.load.prefilled_tokens += prefill_tokens;
        state
            .streams
            .insert(id.clone(), (Arc::clone(&stream), Instant::now()));
        state.sequences.push(Sequence {
            id: id.clone(),
            stream,
            prefill_tokens,
            left: tokens.max(1),
            seed: prompt_tokens,
        });
        self.work.notify_all();
        id
    }

    pub(super) fn stream(&self, id: &str) -> Option<Arc<Stream>> {
        let state = lock(&self.state);
        state.streams.get(id).map(|(stream, _)| Arc::clone(stream))
    }

    pub(super) fn cancel(&self, id: &str) -> bool {
        let mut state = lock(&self.state);
        state.sequences.retain(|sequence| sequence.id != id);
        match state.streams.get(id) {
            Some((stream, _)) => {
                stream.cancel();
                true
            }
            None => false,
        }
    }

    pub(super) fn set_leaving(&self, leaving: bool) {
        lock(&self.state).load.leaving = leaving;
    }

    pub(super) fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        lock(&self.state).cache.events(after)
    }

    pub(super) fn reported(&self) -> Load {
        lock(&self.state).reported
    }

    /// Makes the load of now the one that is reported from now on.
    pub(super) fn report_load(&self) {
        let mut state = lock(&self.state);
        state.load.running = state.sequences.len() as u32;
        state.reported = state.load;
        state
            .streams
            .retain(|_, (stream, since)| !lock(&stream.state).done || since.elapsed() < KEPT);
    }

    /// Steps for as long as the process runs.
    pub(super) fn run(&self) {
        loop {
            let mut state = lock(&self.state);
            while state.sequences.is_empty() {
                state = self
                    .work
                    .wait(state)
                    .unwrap_or_else(PoisonError::into_inner);
            }
            let step = self.step_time(&mut state);
            drop(state);
            thread::sleep(step);
            self.step();
        }
    }

    fn step_time(&self, state: &mut State) -> Duration {
        let count = state.sequences.len() as u64;
        let prefill: u64 = state
            .sequences
            .iter_mut()
            .map(|sequence| std::mem::take(&mut sequence.prefill_tokens))
            .sum();
        let prefill_us = prefill * 1_000 / self.settings.prefill_tokens_per_ms;
        let decode_us = self.settings.step_us + (count - 1) * self.settings.sequence_us;
        Duration::from_micros(prefill_us + decode_us)
    }

    fn step(&self) {
        let mut state = lock(&self.state);
        for sequence in &mut state.sequences {
            if sequence.prefill_tokens > 0 {
                continue;
            }
            sequence.left -= 1;
            let word = WORDS[((sequence.seed + sequence.left) % WORDS.len() as u64) as usize];
            sequence.stream.push(word, sequence.left == 0);
        }
        state.sequences.retain(|sequence| sequence.left > 0);
    }
}

//! Continuous batching: each step generates one token for every admitted sequence.

use std::collections::HashMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::cache::{CacheEvent, PrefixCache};
use super::{EngineSettings, Load};

/// Time since its admission after which a finished stream is removed; until then
/// it can be resumed.
const STREAM_TTL: Duration = Duration::from_secs(30);
const WORDS: [&str; 8] = [
    "bark ", "grove ", "slot ", "chiller ", "line ", "restore ", "quote ", "plan ",
];

#[derive(Default)]
struct StreamState {
    tokens: Vec<&'static str>,
    done: bool,
    cancelled: bool,
}

/// Output of one request.
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
    /// Waits for tokens from `offset` on; the flag is true if no more will follow.
    pub(super) fn wait_after(&self, offset: usize) -> (Vec<&'static str>, bool) {
        let mut state = lock(&self.state);
        while state.tokens.len() <= offset && !state.done {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        let tokens = state.tokens.get(offset..).unwrap_or_default().to_vec();
        (tokens, state.done)
    }

    pub(super) fn wait_all(&self) -> String {
        let mut text = String::new();
        let mut offset = 0;
        loop {
            let (tokens, done) = self.wait_after(offset);
            offset += tokens.len();
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

    fn push(&self, token: &'static str, is_last: bool) {
        let mut state = lock(&self.state);
        state.tokens.push(token);
        state.done = is_last;
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
    /// Prompt tokens that the next step has to prefill.
    prefill_tokens: u64,
    remaining_tokens: u64,
    seed: u64,
}

struct BatchState {
    sequences: Vec<Sequence>,
    streams: HashMap<String, (Arc<Stream>, Instant)>,
    cache: PrefixCache,
    admitted: u64,
    load: Load,
    reported_load: Load,
}

/// The running batch and the streams that can be read or resumed.
pub(super) struct Batch {
    settings: EngineSettings,
    state: Mutex<BatchState>,
    work_available: Condvar,
}

impl Batch {
    pub(super) fn new(settings: EngineSettings) -> Batch {
        Batch {
            settings,
            state: Mutex::new(BatchState {
                sequences: Vec::new(),
                streams: HashMap::new(),
                cache: PrefixCache::new(settings.cache_blocks),
                admitted: 0,
                load: Load::default(),
                reported_load: Load::default(),
            }),
            work_available: Condvar::new(),
        }
    }

    /// Admits a request without queueing and returns its stream id.
    pub(super) fn admit(&self, prompt: &str, tokens: u64) -> String {
        let mut state = lock(&self.state);
        let prompt_tokens = (prompt.len() as u64).div_ceil(4);
        let cached_tokens = state.cache.store_prompt(prompt).min(prompt_tokens);
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
            remaining_tokens: tokens.max(1),
            seed: prompt_tokens,
        });
        self.work_available.notify_all();
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

    pub(super) fn set_draining(&self, draining: bool) {
        lock(&self.state).load.draining = draining;
    }

    pub(super) fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        lock(&self.state).cache.events(after)
    }

    pub(super) fn reported_load(&self) -> Load {
        lock(&self.state).reported_load
    }

    /// Publishes a snapshot of the load and removes expired streams.
    pub(super) fn publish_load(&self) {
        let mut state = lock(&self.state);
        state.load.running = state.sequences.len() as u32;
        state.reported_load = state.load;
        state
            .streams
            .retain(|_, (stream, since)| !lock(&stream.state).done || since.elapsed() < STREAM_TTL);
    }

    /// Runs steps until the process ends.
    pub(super) fn run(&self) {
        loop {
            let mut state = lock(&self.state);
            while state.sequences.is_empty() {
                state = self
                    .work_available
                    .wait(state)
                    .unwrap_or_else(PoisonError::into_inner);
            }
            let step_time = self.step_time(&mut state);
            drop(state);
            thread::sleep(step_time);
            self.run_step();
        }
    }

    /// Duration of the next step; marks all prompts as prefilled.
    fn step_time(&self, state: &mut BatchState) -> Duration {
        let count = state.sequences.len() as u64;
        let prefill: u64 = state
            .sequences
            .iter_mut()
            .map(|sequence| std::mem::take(&mut sequence.prefill_tokens))
            .sum();
        let prefill_us = prefill * 1_000 / self.settings.prefill_tokens_per_ms;
        let decode_us = self.settings.step_us + (count - 1) * self.settings.extra_sequence_us;
        Duration::from_micros(prefill_us + decode_us)
    }

    fn run_step(&self) {
        let mut state = lock(&self.state);
        for sequence in &mut state.sequences {
            if sequence.prefill_tokens > 0 {
                // Admitted during this step; prefilled in the next one.
                continue;
            }
            sequence.remaining_tokens -= 1;
            let token =
                WORDS[((sequence.seed + sequence.remaining_tokens) % WORDS.len() as u64) as usize];
            sequence.stream.push(token, sequence.remaining_tokens == 0);
        }
        state
            .sequences
            .retain(|sequence| sequence.remaining_tokens > 0);
    }
}

//! Simulated engine that interleaves prefill with decoding and caches the most
//! recently used prompts.

use lagoon_gateway::TargetKey;

const PREFILL_TOKENS_PER_MS: f64 = 102.0;
const DECODE_MS: f64 = 210.0;
const CACHE_TOKENS: u64 = 42_000;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) program: usize,
    pub(crate) turn: u32,
    pub(crate) started_ms: u64,
    pub(crate) sent_ms: u64,
    pub(crate) tokens: u64,
    pub(crate) vm: usize,
    pub(crate) key: TargetKey,
}

#[derive(Debug)]
struct Running {
    job: Job,
    prefill_ms: f64,
    decode_ms: f64,
}

/// Engine that runs up to `slots` calls in its batch; further calls wait in its
/// queue.
#[derive(Debug)]
pub(crate) struct Engine {
    slots: usize,
    batch: Vec<Running>,
    queue: Vec<Job>,
    /// Cached prompts by program with their tokens, most recently used last.
    cached: Vec<(usize, u64)>,
    pub(crate) prefill_tokens: u64,
}

impl Engine {
    pub(crate) fn new(slots: usize) -> Engine {
        Engine {
            slots,
            batch: Vec::new(),
            queue: Vec::new(),
            cached: Vec::new(),
            prefill_tokens: 0,
        }
    }

    pub(crate) fn running(&self) -> usize {
        self.batch.len()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.queue.len()
    }

    pub(crate) fn send(&mut self, job: Job) {
        self.queue.push(job);
    }

    /// Advances by `step_ms` and returns the calls that ended.
    pub(crate) fn step(&mut self, step_ms: u64) -> Vec<Job> {
        while self.batch.len() < self.slots && !self.queue.is_empty() {
            let job = self.queue.remove(0);
            let prefill_tokens = self.prefill(job);
            self.prefill_tokens += prefill_tokens;
            self.batch.push(Running {
                job,
                prefill_ms: prefill_tokens as f64 / PREFILL_TOKENS_PER_MS,
                decode_ms: DECODE_MS,
            });
        }
        let mut remaining_ms = step_ms as f64;
        for running in &mut self.batch {
            let prefill_ms = running.prefill_ms.min(remaining_ms);
            running.prefill_ms -= prefill_ms;
            remaining_ms -= prefill_ms;
        }
        for running in self
            .batch
            .iter_mut()
            .filter(|running| running.prefill_ms <= 0.0)
        {
            running.decode_ms -= remaining_ms;
        }
        let ended = |running: &Running| running.decode_ms <= 0.0;
        let jobs = self.batch.iter().filter(|running| ended(running));
        let jobs = jobs.map(|running| running.job).collect();
        self.batch.retain(|running| !ended(running));
        jobs
    }

    /// Returns the prompt tokens that aren't cached. Caches the whole prompt and
    /// evicts the least recently used prompts.
    fn prefill(&mut self, job: Job) -> u64 {
        let position = self
            .cached
            .iter()
            .position(|(program, _)| *program == job.program);
        let cached_tokens = position.map_or(0, |index| self.cached.remove(index).1);
        self.cached.push((job.program, job.tokens));
        let mut total: u64 = self.cached.iter().map(|(_, tokens)| tokens).sum();
        while total > CACHE_TOKENS {
            total -= self.cached.remove(0).1;
        }
        job.tokens - cached_tokens
    }
}

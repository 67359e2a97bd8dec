//! Engine that reads prompts between the tokens of its batch, and keeps the
//! prompts that were used last.

use lagoon_gateway::TargetKey;

const TOKENS_PER_MS: f64 = 102.0;
const DECODE_MS: f64 = 210.0;
const MEMORY_TOKENS: u64 = 42_000;

/// Model call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) program: usize,
    pub(crate) turn: u32,
    pub(crate) began_ms: u64,
    pub(crate) sent_ms: u64,
    pub(crate) tokens: u64,
    pub(crate) vm: usize,
    pub(crate) key: TargetKey,
}

#[derive(Debug)]
struct Running {
    job: Job,
    read_ms: f64,
    decode_ms: f64,
}

/// Engine with its batch, its queue and its memory.
#[derive(Debug)]
pub(crate) struct Engine {
    slots: usize,
    batch: Vec<Running>,
    queue: Vec<Job>,
    /// Prompts that are kept, used last at the end.
    kept: Vec<(usize, u64)>,
    pub(crate) read_tokens: u64,
}

impl Engine {
    pub(crate) fn new(slots: usize) -> Engine {
        Engine {
            slots,
            batch: Vec::new(),
            queue: Vec::new(),
            kept: Vec::new(),
            read_tokens: 0,
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

    /// Works for some time; calls that ended are returned.
    pub(crate) fn step(&mut self, step_ms: u64) -> Vec<Job> {
        while self.batch.len() < self.slots && !self.queue.is_empty() {
            let job = self.queue.remove(0);
            let read_tokens = self.read(job);
            self.read_tokens += read_tokens;
            self.batch.push(Running {
                job,
                read_ms: read_tokens as f64 / TOKENS_PER_MS,
                decode_ms: DECODE_MS,
            });
        }
        let mut left_ms = step_ms as f64;
        for running in &mut self.batch {
            let read_ms = running.read_ms.min(left_ms);
            running.read_ms -= read_ms;
            left_ms -= read_ms;
        }
        for running in self
            .batch
            .iter_mut()
            .filter(|running| running.read_ms <= 0.0)
        {
            running.decode_ms -= left_ms;
        }
        let ended = |running: &Running| running.decode_ms <= 0.0;
        let jobs = self.batch.iter().filter(|running| ended(running));
        let jobs = jobs.map(|running| running.job).collect();
        self.batch.retain(|running| !ended(running));
        jobs
    }

    /// Tokens of the prompt that are not kept; it is kept from now on.
    fn read(&mut self, job: Job) -> u64 {
        let known = self.kept.iter().position(|(line, _)| *line == job.program);
        let known_tokens = known.map_or(0, |index| self.kept.remove(index).1);
        self.kept.push((job.program, job.tokens));
        let mut held: u64 = self.kept.iter().map(|(_, tokens)| tokens).sum();
        while held > MEMORY_TOKENS {
            held -= self.kept.remove(0).1;
        }
        job.tokens - known_tokens
    }
}

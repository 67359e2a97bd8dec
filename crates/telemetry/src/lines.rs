//! Rate limit and background writer of log lines; neither blocks the thread
//! that logs.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{Level, Log, Metadata, Record};

/// Maximum number of lines queued while the reader of the log is slow; further
/// ones are dropped.
const QUEUE_CAPACITY: usize = 4_096;

/// Maximum number of queued lines that are added to the first one and written
/// together with it.
const MAX_BATCHED_LINES: usize = 64;

/// Number of times that a flush checks whether the queue is empty before it gives
/// up, so that a blocked reader delays the exit of the process by 0.2 s at most.
const FLUSH_POLLS: u32 = 100;

const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the start of the process, because of the rate limit or
/// because the reader of the log was slow.
pub fn dropped_log_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Limit on the lines logged in one second. Warnings and errors count towards it,
/// but always pass.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    lines_per_s: u64,
    current_second: AtomicU64,
    lines_in_second: AtomicU64,
}

impl RateLimiter {
    pub(crate) fn new(lines_per_s: u64) -> RateLimiter {
        RateLimiter {
            lines_per_s,
            current_second: AtomicU64::new(0),
            lines_in_second: AtomicU64::new(0),
        }
    }

    pub(crate) fn admits(&self, level: Level) -> bool {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        self.admits_at(level, now.map_or(0, |since| since.as_secs()))
    }

    fn admits_at(&self, level: Level, second: u64) -> bool {
        if self.current_second.swap(second, Ordering::Relaxed) != second {
            self.lines_in_second.store(0, Ordering::Relaxed);
        }
        let lines = self.lines_in_second.fetch_add(1, Ordering::Relaxed);
        let is_admitted = level <= Level::Warn || lines < self.lines_per_s;
        if !is_admitted {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        is_admitted
    }
}

/// Logger that writes lines from a bounded queue in a background thread and
/// drops lines when the queue is full.
pub(crate) struct LineWriter {
    sender: SyncSender<String>,
    queued: Arc<AtomicU64>,
}

impl LineWriter {
    pub(crate) fn start<W>(out: W) -> Result<LineWriter, std::io::Error>
    where
        W: Write + Send + 'static,
    {
        let (sender, lines) = sync_channel(QUEUE_CAPACITY);
        let queued = Arc::new(AtomicU64::new(0));
        let writer_queued = Arc::clone(&queued);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(out, &lines, &writer_queued))?;
        Ok(LineWriter { sender, queued })
    }
}

fn write_lines<W>(mut out: W, lines: &Receiver<String>, queued: &AtomicU64)
where
    W: Write,
{
    while let Ok(first) = lines.recv() {
        let mut text = first;
        let mut count = 1;
        for line in lines.try_iter().take(MAX_BATCHED_LINES) {
            text.push_str(&line);
            count += 1;
        }
        // An error is ignored: a failing log has no other place to report it.
        let _ = out.write_all(text.as_bytes());
        let _ = out.flush();
        queued.fetch_sub(count, Ordering::Relaxed);
    }
}

impl Log for LineWriter {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = format!("{}\n", record.args());
        self.queued.fetch_add(1, Ordering::Relaxed);
        if let Err(TrySendError::Full(_)) = self.sender.try_send(line) {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all queued lines are written, for 0.2 s at most.
    fn flush(&self) {
        for _ in 0..FLUSH_POLLS {
            if self.queued.load(Ordering::Relaxed) == 0 {
                return;
            }
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

#[cfg(test)]
#[path = "../tests/lines/mod.rs"]
mod tests;

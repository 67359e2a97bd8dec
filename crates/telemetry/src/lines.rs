//! Log lines on their way out: bounded a second, and never waited for.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{Level, Log, Metadata, Record};

/// Lines that wait for a slow reader of the log.
const WAITING_LINES: usize = 4_096;

/// Lines written at once.
const LINES_AT_ONCE: usize = 64;

/// Looks at whether all lines are written before the end of the process.
const FLUSH_LOOKS: u32 = 100;

/// Pause between them.
const FLUSH_PAUSE: Duration = Duration::from_millis(2);

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the start: beyond the bound, or as the reader of the
/// log was slow.
pub fn dropped_log_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Bound on the lines of one second. Warnings and errors always pass.
#[derive(Debug)]
pub(crate) struct Volume {
    limit: u64,
    second: AtomicU64,
    lines: AtomicU64,
}

impl Volume {
    pub(crate) fn new(lines_per_s: u64) -> Volume {
        Volume {
            limit: lines_per_s,
            second: AtomicU64::new(0),
            lines: AtomicU64::new(0),
        }
    }

    pub(crate) fn admits(&self, level: Level) -> bool {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        self.admits_at(level, now.map_or(0, |since| since.as_secs()))
    }

    fn admits_at(&self, level: Level, second: u64) -> bool {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        let lines = self.lines.fetch_add(1, Ordering::Relaxed);
        let is_admitted = level <= Level::Warn || lines < self.limit;
        if !is_admitted {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        is_admitted
    }
}

/// Writer of lines in a thread of its own.
pub(crate) struct LineWriter {
    sender: SyncSender<String>,
    waiting: Arc<AtomicU64>,
}

impl LineWriter {
    pub(crate) fn start<W>(out: W) -> Result<LineWriter, std::io::Error>
    where
        W: Write + Send + 'static,
    {
        let (sender, lines) = sync_channel(WAITING_LINES);
        let waiting = Arc::new(AtomicU64::new(0));
        let unwritten = Arc::clone(&waiting);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(out, &lines, &unwritten))?;
        Ok(LineWriter { sender, waiting })
    }
}

fn write_lines<W>(mut out: W, lines: &Receiver<String>, waiting: &AtomicU64)
where
    W: Write,
{
    while let Ok(first) = lines.recv() {
        let mut text = first;
        let mut count = 1;
        for line in lines.try_iter().take(LINES_AT_ONCE) {
            text.push_str(&line);
            count += 1;
        }
        // Where the log can't be written there is nowhere to say so.
        let _ = out.write_all(text.as_bytes());
        let _ = out.flush();
        waiting.fetch_sub(count, Ordering::Relaxed);
    }
}

impl Log for LineWriter {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = format!("{}\n", record.args());
        self.waiting.fetch_add(1, Ordering::Relaxed);
        if let Err(TrySendError::Full(_)) = self.sender.try_send(line) {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits, but not for long, until all lines are written.
    fn flush(&self) {
        for _ in 0..FLUSH_LOOKS {
            if self.waiting.load(Ordering::Relaxed) == 0 {
                return;
            }
            thread::sleep(FLUSH_PAUSE);
        }
    }
}

#[cfg(test)]
#[path = "../tests/lines/mod.rs"]
mod tests;

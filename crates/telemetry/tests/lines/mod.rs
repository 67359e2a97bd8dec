//! Rate limit of log lines, and logging while the reader of the log is blocked.

use std::sync::mpsc::channel;

use super::*;

#[test]
fn limiter_starts_anew_each_second() {
    let limiter = RateLimiter::new(2);
    let admitted = |second| {
        (0..4)
            .filter(|_| limiter.admits_at(Level::Info, second))
            .count()
    };
    assert_eq!(admitted(1), 2);
    assert_eq!(admitted(2), 2);
}

#[test]
fn limiter_admits_warnings_beyond_the_limit() {
    let limiter = RateLimiter::new(0);
    let before = dropped_log_lines();
    assert!(limiter.admits_at(Level::Warn, 1));
    assert!(!limiter.admits_at(Level::Info, 1));
    assert!(dropped_log_lines() > before);
}

/// Output whose writes block until the sender is dropped.
struct BlockedOutput(std::sync::mpsc::Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn log_does_not_wait_for_a_blocked_reader() {
    let (release, blocked) = channel();
    let writer = LineWriter::start(BlockedOutput(blocked)).expect("thread starts");
    let before = dropped_log_lines();
    for _ in 0..3 * QUEUE_CAPACITY {
        let record = Record::builder().args(format_args!("line")).build();
        writer.log(&record);
    }
    assert!(dropped_log_lines() > before);
    drop(release);
}

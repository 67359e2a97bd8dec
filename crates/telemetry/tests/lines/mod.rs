//! Bounded log lines.

use std::sync::mpsc::channel;

use super::*;

#[test]
fn admits_within_the_bound_of_each_second() {
    let volume = Volume::new(2);
    let admitted = |second| {
        (0..4)
            .filter(|_| volume.admits_at(Level::Info, second))
            .count()
    };
    assert_eq!(admitted(1), 2);
    assert_eq!(admitted(2), 2);
}

#[test]
fn admits_warnings_beyond_the_bound() {
    let volume = Volume::new(0);
    let before = dropped_log_lines();
    assert!(volume.admits_at(Level::Warn, 1));
    assert!(!volume.admits_at(Level::Info, 1));
    assert!(dropped_log_lines() > before);
}

/// Reader that takes nothing until it is told.
struct Stuck(std::sync::mpsc::Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn log_never_waits_for_a_stuck_reader() {
    let (release, stuck) = channel();
    let writer = LineWriter::start(Stuck(stuck)).expect("thread starts");
    let before = dropped_log_lines();
    for _ in 0..3 * WAITING_LINES {
        let record = Record::builder().args(format_args!("line")).build();
        writer.log(&record);
    }
    assert!(dropped_log_lines() > before);
    drop(release);
}

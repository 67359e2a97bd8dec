//! Restarts of tasks that panic.

use std::cell::Cell;
use std::rc::Rc;

use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

use super::{spawn_lasting, RESTART_DELAY};
use crate::panics;

// Guards against a VM that goes on for hours without its configuration watch.
#[test]
fn spawn_lasting_starts_again_after_panics() {
    panics::install_hook();
    let runtime = Builder::new_current_thread().enable_time().build();
    let starts = Rc::new(Cell::new(0));
    let counted = Rc::clone(&starts);
    let before = panics::count();
    LocalSet::new().block_on(&runtime.expect("starts"), async move {
        let begun = Instant::now();
        spawn_lasting("test", move || {
            counted.set(counted.get() + 1);
            assert!(counted.get() != 1, "test of a panic at the start");
            let number = counted.get();
            async move {
                tokio::task::yield_now().await;
                assert!(number != 2, "test of a panic in the task");
            }
        });
        while starts.get() < 3 {
            sleep(RESTART_DELAY / 10).await;
        }
        assert!(begun.elapsed() >= 2 * RESTART_DELAY);
        sleep(2 * RESTART_DELAY).await;
        assert_eq!(
            starts.get(),
            3,
            "a task that has ended is not started again"
        );
    });
    assert!(panics::count() >= before + 2);
}

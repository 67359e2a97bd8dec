//! Tasks that run as long as the daemon.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures::FutureExt;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Time from the panic of a task until it is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs the task that `start` returns, and starts it again after a panic. One-off tasks
/// need no such care: the hook logs and counts their panics too.
pub(crate) fn spawn_lasting<F, R>(name: &'static str, mut start: F)
where
    F: FnMut() -> R + 'static,
    R: Future<Output = ()> + 'static,
{
    spawn_local(async move {
        // `start` is a part of what may panic.
        while AssertUnwindSafe(async { start().await })
            .catch_unwind()
            .await
            .is_err()
        {
            log::error!(task = name, restart_ms = RESTART_DELAY.as_millis() as u64; "task panicked; it starts again");
            sleep(RESTART_DELAY).await;
        }
    });
}

#[cfg(test)]
#[path = "../tests/tasks/mod.rs"]
mod tests;

//! Timer of callers' connections that rest, by the configuration in force.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer};
use lagoon_gateway::Limits;
use tokio::time::{sleep_until, Sleep as TokioSleep};

/// Time for a request that a caller sent within the idle limit to arrive.
const IDLE_GRACE_MS: u64 = 1_000;

/// Maximum of the limit, whatever the configuration says.
const MAX_IDLE: Duration = Duration::from_secs(86_400);

/// Time that a connection may rest, or take for a header section. hyper's timer needs it
/// to be shared between threads.
#[derive(Clone, Debug, Default)]
pub(crate) struct IdleLimit(Arc<AtomicU64>);

impl IdleLimit {
    pub(crate) fn new(limits: &Limits) -> IdleLimit {
        let limit = IdleLimit::default();
        limit.set(limits);
        limit
    }

    /// hyper's header timeout includes the rest before a header section, so the longer of
    /// the two limits applies to both.
    pub(crate) fn set(&self, limits: &Limits) {
        let idle_ms = limits.idle_timeout_ms.saturating_add(IDLE_GRACE_MS);
        let idle_ms = limits.header_timeout_ms.max(idle_ms);
        self.0.store(idle_ms, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed)).min(MAX_IDLE)
    }
}

/// Timer whose waits last as long as the limit in force at their end allows, if that is
/// longer than the one at their start: callers go by the newest limit.
#[derive(Clone, Debug)]
pub(crate) struct IdleTimer {
    pub(crate) limit: IdleLimit,
}

impl Timer for IdleTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(IdleSleep {
            limit: self.limit.clone(),
            started: Instant::now(),
            sleep: Box::pin(sleep_until(deadline.into())),
        })
    }
}

struct IdleSleep {
    limit: IdleLimit,
    started: Instant,
    sleep: Pin<Box<TokioSleep>>,
}

impl Sleep for IdleSleep {}

impl Future for IdleSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            let deadline = self.started + self.limit.get();
            if Instant::now() >= deadline {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(deadline.into());
        }
    }
}

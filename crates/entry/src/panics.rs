//! Panics: a log line and a count for each, and a response to the request whose
//! handling panicked.

use std::any::Any;
use std::future::Future;
use std::panic::{self, AssertUnwindSafe, PanicHookInfo};
use std::sync::atomic::{AtomicU64, Ordering};

use futures::FutureExt;
use hyper::{Response, StatusCode};

use crate::body::ResponseBody;
use crate::response;

/// `Retry-After` of a request whose handling panicked before any target got it.
const PANIC_RETRY_AFTER_MS: u64 = 200;

static PANICS: AtomicU64 = AtomicU64::new(0);

/// Panics since the start of the process.
pub(crate) fn count() -> u64 {
    PANICS.load(Ordering::Relaxed)
}

/// Sets the hook that logs and counts each panic of any thread.
pub(crate) fn install_hook() {
    panic::set_hook(Box::new(record));
}

fn record(info: &PanicHookInfo<'_>) {
    PANICS.fetch_add(1, Ordering::Relaxed);
    let location = info.location().map(ToString::to_string);
    let thread = std::thread::current();
    log::error!(
        detail = message(info.payload()),
        location = location.as_deref().unwrap_or("-"),
        thread = thread.name().unwrap_or("-");
        "panic"
    );
    // A second panic while the first unwinds aborts the process.
    log::logger().flush();
}

fn message(payload: &(dyn Any + Send)) -> &str {
    match (
        payload.downcast_ref::<&str>(),
        payload.downcast_ref::<String>(),
    ) {
        (Some(text), _) => text,
        (None, Some(text)) => text,
        (None, None) => "-",
    }
}

/// Response of `handling`; if it panics, 503 with `Retry-After` if no target may have
/// got a part of the request by then, and 502 otherwise.
pub(crate) async fn respond_anyway<F, P>(handling: F, is_passed_on: P) -> Response<ResponseBody>
where
    F: Future<Output = Response<ResponseBody>>,
    P: FnOnce() -> bool,
{
    match AssertUnwindSafe(handling).catch_unwind().await {
        Ok(response) => response,
        Err(_) if is_passed_on() => response::plain_text(StatusCode::BAD_GATEWAY, "internal error"),
        Err(_) => response::retryable_unavailable("internal error", PANIC_RETRY_AFTER_MS),
    }
}

/// Result of `poll`, or `None` if it panics.
pub(crate) fn catch<T, F>(poll: F) -> Option<T>
where
    F: FnOnce() -> T,
{
    panic::catch_unwind(AssertUnwindSafe(poll)).ok()
}

#[cfg(test)]
#[path = "../tests/panics/mod.rs"]
mod tests;

//! Reading of bodies.

use std::rc::Rc;

use bytes::Bytes;
use http::HeaderMap;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::{Response, StatusCode};
use lagoon_connections::{discard, BodyLimits, ReadError};
use lagoon_gateway::Limits;
use lagoon_memory::Holding;
use tokio::task::spawn_local;

use crate::body::ResponseBody;
use crate::forward::OVERLOADED_RETRY_AFTER_MS;
use crate::response;
use crate::state::DaemonState;
use crate::unanswered::{Cause, RequestGuard};

/// Bytes of a header besides its name and value.
const HEADER_BYTES: usize = ": \r\n".len();

/// Reads a request body. Refuses a body over the configured limit with 413, one that can't
/// be read with 400, one that is late with 408, and with 503 one that can't be held or costs
/// others too much.
pub(super) async fn read_body(
    state: &Rc<DaemonState>,
    mut body: Incoming,
    limits: &Limits,
    caller: &RequestGuard,
) -> Result<(Bytes, Holding), Box<Response<ResponseBody>>> {
    let declared = body.size_hint().lower();
    if declared > limits.max_body_bytes {
        return Err(Box::new(refuse_unread(state, body, caller, too_long())));
    }
    if !state.memory.can_hold(declared) {
        let response = memory_exhausted(state, "request body");
        return Err(Box::new(refuse_unread(state, body, caller, response)));
    }
    caller.set_cause(Cause::BodyNotRead);
    let holding = state.memory.hold();
    let body_limits = BodyLimits {
        max_bytes: usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX),
        progress: state.idle_limit.get(),
        whole: state.memory.body_timeout,
    };
    let response = match state.memory.read(&holding, &mut body, body_limits).await {
        Ok(bytes) => {
            caller.clear_cause();
            return Ok((bytes, holding));
        }
        Err(ReadError::Broken(error)) => {
            log::debug!(error; "cannot read a request body");
            let response = response::plain_text(StatusCode::BAD_REQUEST, "body not read");
            return Err(Box::new(response));
        }
        Err(ReadError::TimedOut) => {
            caller.clear_cause();
            return Err(Box::new(too_late(state)));
        }
        Err(ReadError::TooLong) => too_long(),
        Err(ReadError::NoMemory) => memory_exhausted(state, "request body"),
    };
    caller.clear_cause();
    drop(holding);
    Err(Box::new(refuse_unread(state, body, caller, response)))
}

/// Size of a header section, as received but for white space.
pub(super) fn header_bytes(headers: &HeaderMap) -> u64 {
    let sizes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES);
    sizes.sum::<usize>() as u64
}

/// Refuses a request while its body arrives. What arrives is discarded: a connection
/// that is closed with unread bytes is reset, and the caller may lose the response. That
/// happens where too many bodies are being discarded.
pub(super) fn refuse_unread(
    state: &DaemonState,
    body: Incoming,
    caller: &RequestGuard,
    response: Response<ResponseBody>,
) -> Response<ResponseBody> {
    if body.is_end_stream() {
        return response;
    }
    let Some(guard) = state.memory.begin_discard() else {
        return response;
    };
    caller.begin_discard();
    spawn_local(async move {
        let bytes = discard(body).await;
        log::debug!(bytes; "body of a refused request");
        drop(guard);
    });
    response
}

fn too_long() -> Response<ResponseBody> {
    response::plain_text(StatusCode::PAYLOAD_TOO_LARGE, "body too long")
}

/// A late body is not discarded: the connection is closed after the response.
fn too_late(state: &DaemonState) -> Response<ResponseBody> {
    state.memory.record_late("request body");
    let status = StatusCode::REQUEST_TIMEOUT;
    state.metrics.record_response(status.as_u16(), 0);
    let mut response = response::plain_text(status, "body took too long");
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Refuses a request for lack of memory for `what`.
pub(super) fn memory_exhausted(state: &DaemonState, what: &'static str) -> Response<ResponseBody> {
    state.memory.record_exhausted(what);
    state.metrics.record_response(503, 0);
    response::retryable_unavailable("too many bytes are held", OVERLOADED_RETRY_AFTER_MS)
}

//! Reading of bodies.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::{Response, StatusCode};
use lagoon_gateway::Limits;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::body::ResponseBody;
use crate::forward::OVERLOADED_RETRY_AFTER_MS;
use crate::response;
use crate::state::{BodyMemory, DaemonState};
use crate::unanswered::{Cause, RequestGuard};

/// Maximum number of bytes, and time, of a refused body that are discarded so that the
/// caller gets the response.
const MAX_DISCARDED_BYTES: usize = 16_777_216;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes of a header besides its name and value.
const HEADER_BYTES: usize = ": \r\n".len();

/// Reads a request body and reserves memory for it. Refuses a body over the
/// configured limit with 413, one that can't be read with 400, and any with 503
/// if too little memory is left.
pub(super) async fn read_body(
    state: &Rc<DaemonState>,
    body: Incoming,
    limits: &Limits,
    caller: &RequestGuard,
) -> Result<(Bytes, BodyMemory), Box<Response<ResponseBody>>> {
    if body.size_hint().lower() > limits.max_body_bytes {
        return Err(Box::new(refuse_unread(body, too_long())));
    }
    // A body without a declared length reserves nothing here; its actual length
    // is reserved after it was read.
    let Some(declared) = state.reserve_body_memory(body.size_hint().lower()) else {
        return Err(Box::new(refuse_unread(body, memory_exhausted(state))));
    };
    caller.set_cause(Cause::BodyNotRead);
    let mut body = body;
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => {
                log::debug!(error = error.to_string(); "cannot read a request body");
                let response = response::plain_text(StatusCode::BAD_REQUEST, "body not read");
                return Err(Box::new(response));
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (bytes.len() + data.len()) as u64 > limits.max_body_bytes {
            caller.clear_cause();
            return Err(Box::new(refuse_unread(body, too_long())));
        }
        bytes.extend_from_slice(&data);
    }
    let body = bytes.freeze();
    caller.clear_cause();
    drop(declared);
    match state.reserve_body_memory(body.len() as u64) {
        Some(body_memory) => Ok((body, body_memory)),
        None => Err(Box::new(memory_exhausted(state))),
    }
}

/// Size of a header section, as received but for white space.
pub(super) fn header_bytes(headers: &HeaderMap) -> u64 {
    let sizes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES);
    sizes.sum::<usize>() as u64
}

/// Refuses a request while its body arrives. What arrives is discarded: a connection
/// that is closed with unread bytes is reset, and the caller may lose the response.
pub(super) fn refuse_unread(
    body: Incoming,
    response: Response<ResponseBody>,
) -> Response<ResponseBody> {
    if !body.is_end_stream() {
        spawn_local(async move {
            let discarded = timeout(DISCARD_TIMEOUT, discard(body)).await;
            log::debug!(bytes = discarded.unwrap_or_default(); "body of a refused request");
        });
    }
    response
}

/// Reads a body, up to [`MAX_DISCARDED_BYTES`]; returns how much was read.
async fn discard(mut body: Incoming) -> usize {
    let mut bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        bytes += frame.data_ref().map_or(0, Bytes::len);
        if bytes > MAX_DISCARDED_BYTES {
            break;
        }
    }
    bytes
}

fn too_long() -> Response<ResponseBody> {
    response::plain_text(StatusCode::PAYLOAD_TOO_LARGE, "body too long")
}

/// Why a body could not be read whole.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The connection broke off.
    Broken(String),
    /// It is longer than allowed.
    TooLong,
    /// The memory for bodies is exhausted.
    NoMemory,
}

/// Reads a body within the memory for bodies.
pub(crate) async fn read_buffered(
    state: &Rc<DaemonState>,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<(Bytes, BodyMemory), ReadError> {
    let memory = state.reserve_body_memory(0);
    let mut memory = memory.ok_or(ReadError::NoMemory)?;
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ReadError::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > max_bytes {
            return Err(ReadError::TooLong);
        }
        if !memory.grow(data.len() as u64) {
            return Err(ReadError::NoMemory);
        }
        bytes.extend_from_slice(&data);
    }
    Ok((bytes.freeze(), memory))
}

fn memory_exhausted(state: &DaemonState) -> Response<ResponseBody> {
    log::warn!("refused: the memory for request bodies is exhausted");
    state.metrics.record_response(503, 0);
    response::retryable_unavailable("too many bytes are held", OVERLOADED_RETRY_AFTER_MS)
}

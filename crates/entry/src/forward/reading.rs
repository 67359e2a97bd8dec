//! Reading of bodies.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::{Response, StatusCode};
use lagoon_gateway::Limits;

use crate::body::ResponseBody;
use crate::forward::OVERLOADED_RETRY_AFTER_MS;
use crate::response;
use crate::state::{BodyMemory, DaemonState};
use crate::unanswered::{Cause, RequestGuard};

/// Reads a request body and reserves memory for it. Refuses a body over the
/// configured limit with 413, one that can't be read with 400, and any with 503
/// if too little memory is left.
pub(super) async fn read_body(
    state: &Rc<DaemonState>,
    body: Incoming,
    limits: &Limits,
    caller: &RequestGuard,
) -> Result<(Bytes, BodyMemory), Box<Response<ResponseBody>>> {
    let limit = usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX);
    if body.size_hint().lower() > limits.max_body_bytes {
        let response = response::plain_text(StatusCode::PAYLOAD_TOO_LARGE, "body too long");
        return Err(Box::new(response));
    }
    // A body without a declared length reserves nothing here; its actual length
    // is reserved after it was read.
    let Some(declared) = state.reserve_body_memory(body.size_hint().lower()) else {
        return Err(memory_exhausted(state));
    };
    caller.set_cause(Cause::BodyNotRead);
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            log::debug!(error = error.to_string(); "cannot read a request body");
            let is_too_long = error.is::<http_body_util::LengthLimitError>();
            if is_too_long {
                caller.clear_cause();
            }
            let status = if is_too_long {
                StatusCode::PAYLOAD_TOO_LARGE
            } else {
                StatusCode::BAD_REQUEST
            };
            return Err(Box::new(response::plain_text(status, "body not read")));
        }
    };
    caller.clear_cause();
    drop(declared);
    match state.reserve_body_memory(body.len() as u64) {
        Some(body_memory) => Ok((body, body_memory)),
        None => Err(memory_exhausted(state)),
    }
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

fn memory_exhausted(state: &DaemonState) -> Box<Response<ResponseBody>> {
    log::warn!("refused: the memory for request bodies is exhausted");
    state.metrics.record_response(503, 0);
    Box::new(response::retryable_unavailable(
        "too many bytes are held",
        OVERLOADED_RETRY_AFTER_MS,
    ))
}

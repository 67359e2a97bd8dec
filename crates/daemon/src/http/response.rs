//! HTTP responses, buffered or streamed.

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::CallKey;
use lagoon_node::{ResponseFrame, ResponseSummary};
use serde::Serialize;
use serde_json::json;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::http::body::ResponseBody;
use crate::http::events::EventStream;

const JSON: &str = "application/json";
const EVENT_STREAM: &str = "text/event-stream";

pub(crate) type ApiResponse = Response<ResponseBody>;

pub(super) fn respond_json<T>(status: u16, value: &T) -> ApiResponse
where
    T: Serialize,
{
    // Serializing a report, which is plain data, can't fail.
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    respond(
        status,
        &[("Content-Type", JSON)],
        ResponseBody::whole([bytes.into()]),
    )
}

/// Response with these headers; those that aren't valid are left out.
pub(super) fn respond(status: u16, headers: &[(&str, &str)], body: ResponseBody) -> ApiResponse {
    let mut response = Response::new(body);
    // A status that isn't valid comes from no target: its response counts as none.
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    for (name, value) in headers {
        if let (Ok(name), Ok(value)) = (
            HeaderName::from_bytes(name.as_bytes()),
            HeaderValue::from_str(value),
        ) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// JSON body of an error response; `program` and `call` are null without a call.
pub(super) fn error_json(call: Option<&CallKey>, error: &CallError) -> serde_json::Value {
    json!({"error": {
        "type": error.kind,
        "code": error.kind,
        "message": error.detail,
        "ran": error.ran,
        "retry_after_s": error.retry_after_s,
        "program": call.map(|call| call.program.as_str()),
        "call": call.map(|call| call.number),
    }})
}

/// Responds with an error; `call` is `None` if the request failed before its call
/// was identified.
pub(super) fn respond_error(call: Option<&CallKey>, error: &CallError) -> ApiResponse {
    let kind = error.kind.to_string();
    let ran = error.ran.to_string();
    let mut headers = vec![
        ("Content-Type", JSON.to_owned()),
        ("Lagoon-Error", kind),
        ("Lagoon-Ran", ran),
    ];
    if let Some(call) = call {
        headers.extend(call_headers(call));
    }
    if let Some(seconds) = error.retry_after_s {
        headers.push(("Retry-After", seconds.to_string()));
    }
    let bytes = serde_json::to_vec(&error_json(call, error)).unwrap_or_default();
    let body = ResponseBody::whole([bytes.into()]);
    respond(error.status(), &borrowed(&headers), body)
}

fn borrowed<'a>(headers: &'a [(&'static str, String)]) -> Vec<(&'a str, &'a str)> {
    let headers = headers.iter();
    headers
        .map(|(name, value)| (*name, value.as_str()))
        .collect()
}

fn call_headers(call: &CallKey) -> [(&'static str, String); 2] {
    [
        ("Lagoon-Program", call.program.to_string()),
        ("Lagoon-Call", call.number.to_string()),
    ]
}

fn summary_headers(summary: &ResponseSummary) -> Vec<(&'static str, String)> {
    let mut headers = call_headers(&summary.call).to_vec();
    headers.extend([
        ("Lagoon-Target", summary.target.to_string()),
        ("Lagoon-Owner", summary.owner.to_string()),
        ("Lagoon-Durable", summary.durable.to_string()),
        ("Lagoon-Replayed", summary.replayed.to_string()),
        ("Lagoon-Left-Tokens", summary.remaining_tokens.to_string()),
        (
            "Lagoon-Left-Money-Micros",
            summary.remaining_money_micros.to_string(),
        ),
        ("Lagoon-Left-Turns", summary.remaining_turns.to_string()),
    ]);
    if let Some(token) = &summary.continuation {
        headers.push(("Lagoon-Continue", token.to_string()));
    }
    headers
}

/// Response that is sent as one body when it is complete.
#[derive(Default)]
struct BufferedResponse {
    call: Option<CallKey>,
    status: u16,
    content_type: String,
    parts: Vec<Bytes>,
}

/// Waits for the response of a call; one that is not an event stream is buffered until it is
/// complete.
pub(super) async fn response_of(mut frames: UnboundedReceiver<ResponseFrame>) -> ApiResponse {
    let mut buffered = BufferedResponse {
        status: 200,
        ..BufferedResponse::default()
    };
    while let Some(frame) = frames.recv().await {
        match frame {
            ResponseFrame::Head {
                call,
                status,
                content_type,
            } => {
                if content_type.starts_with(EVENT_STREAM) {
                    return stream(call, frames);
                }
                buffered.call = Some(call);
                buffered.status = status;
                buffered.content_type = content_type.to_string();
                buffered.parts.clear();
            }
            ResponseFrame::Data { bytes, .. } => buffered.parts.push(Bytes::from_owner(bytes)),
            ResponseFrame::End { summary, .. } => return send_buffered(buffered, &summary),
            ResponseFrame::Failed { call, error } => return respond_error(call.as_ref(), &error),
            ResponseFrame::ProgramEnded { program } => {
                return respond_json(200, &json!({"program": program, "ended": true}));
            }
        }
    }
    let error = CallError::new(ErrorKind::OwnerUnreachable, "VM stopped before the answer");
    respond_error(buffered.call.as_ref(), &error)
}

fn send_buffered(buffered: BufferedResponse, summary: &ResponseSummary) -> ApiResponse {
    let mut headers = vec![("Content-Type", buffered.content_type)];
    headers.extend(summary_headers(summary));
    let body = ResponseBody::whole(buffered.parts);
    respond(buffered.status, &borrowed(&headers), body)
}

/// Streams a response; each frame is sent as it arrives.
fn stream(call: CallKey, frames: UnboundedReceiver<ResponseFrame>) -> ApiResponse {
    let mut headers = vec![
        ("Content-Type", EVENT_STREAM.to_owned()),
        ("Cache-Control", "no-cache".to_owned()),
    ];
    headers.extend(call_headers(&call));
    let body = ResponseBody::events(EventStream::new(call, frames));
    respond(200, &borrowed(&headers), body)
}

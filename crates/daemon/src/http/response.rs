//! HTTP responses, buffered or streamed.

use std::io::Write;
use std::sync::mpsc::Receiver;

use chunked_transfer::Encoder;
use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::CallKey;
use lagoon_node::{ResponseFrame, ResponseSummary};
use serde::Serialize;
use serde_json::json;
use tiny_http::{Header, Request, Response};

const JSON: &str = "application/json";
const EVENT_STREAM: &str = "text/event-stream";

/// Whether a caller received its response.
///
/// The variant names in lower case are values of a span attribute.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum DeliveryOutcome {
    /// A stream was sent to its end, or a buffered response was handed to the HTTP
    /// server, which doesn't report whether it arrived.
    Whole,
    /// A write to a stream failed, so the caller has disconnected.
    CallerGone,
}

pub(super) fn respond_json<T>(request: Request, status: u16, value: &T)
where
    T: Serialize,
{
    // Serializing a report, which is plain data, can't fail.
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    respond(request, status, &[("Content-Type", JSON)], bytes);
}

pub(super) fn respond(request: Request, status: u16, headers: &[(&str, &str)], bytes: Vec<u8>) {
    let mut response = Response::from_data(bytes).with_status_code(status);
    for (name, value) in headers {
        if let Ok(header) = Header::from_bytes(*name, *value) {
            response.add_header(header);
        }
    }
    // Fails if the client has disconnected, and then needs no response.
    let _ = request.respond(response);
}

/// JSON body of an error response; `program` and `call` are null without a call.
fn error_json(call: Option<&CallKey>, error: &CallError) -> serde_json::Value {
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
pub(super) fn respond_error(request: Request, call: Option<&CallKey>, error: &CallError) {
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
    let headers: Vec<(&str, &str)> = headers
        .iter()
        .map(|(name, value)| (*name, value.as_str()))
        .collect();
    let bytes = serde_json::to_vec(&error_json(call, error)).unwrap_or_default();
    respond(request, error.status(), &headers, bytes);
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
struct BufferedResponse {
    request: Request,
    call: Option<CallKey>,
    status: u16,
    content_type: String,
    body: Vec<u8>,
}

/// Sends a response to its caller; one that is not an event stream is buffered until it is
/// complete.
pub(super) fn send_frames(request: Request, frames: &Receiver<ResponseFrame>) -> DeliveryOutcome {
    let mut buffered = BufferedResponse {
        request,
        call: None,
        status: 200,
        content_type: String::new(),
        body: Vec::new(),
    };
    for frame in frames {
        match frame {
            ResponseFrame::Head {
                call,
                status,
                content_type,
            } => {
                if content_type.starts_with(EVENT_STREAM) {
                    return stream(buffered.request, &call, frames);
                }
                buffered.call = Some(call);
                buffered.status = status;
                buffered.content_type = content_type.to_string();
                buffered.body.clear();
            }
            ResponseFrame::Data { bytes, .. } => buffered.body.extend_from_slice(&bytes),
            ResponseFrame::End { summary, .. } => {
                send_buffered(buffered, &summary);
                return DeliveryOutcome::Whole;
            }
            ResponseFrame::Failed { call, error } => {
                respond_error(buffered.request, call.as_ref(), &error);
                return DeliveryOutcome::Whole;
            }
            ResponseFrame::ProgramEnded { program } => {
                let ended = json!({"program": program, "ended": true});
                respond_json(buffered.request, 200, &ended);
                return DeliveryOutcome::Whole;
            }
        }
    }
    let error = CallError::new(ErrorKind::OwnerUnreachable, "VM stopped before the answer");
    respond_error(buffered.request, buffered.call.as_ref(), &error);
    DeliveryOutcome::Whole
}

fn send_buffered(buffered: BufferedResponse, summary: &ResponseSummary) {
    let mut headers = vec![("Content-Type", buffered.content_type)];
    headers.extend(summary_headers(summary));
    let headers: Vec<(&str, &str)> = headers
        .iter()
        .map(|(name, value)| (*name, value.as_str()))
        .collect();
    respond(buffered.request, buffered.status, &headers, buffered.body);
}

/// Writer that flushes after each write, and so also sends the last chunk, which
/// the encoder writes without a flush when it is dropped.
struct FlushingWriter(Box<dyn Write + Send>);

impl Write for FlushingWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.write_all(bytes)?;
        self.0.flush()?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.0.flush()
    }
}

/// Streams a response, flushing each frame as it arrives.
fn stream(request: Request, call: &CallKey, frames: &Receiver<ResponseFrame>) -> DeliveryOutcome {
    match try_stream(request, call, frames) {
        Ok(()) => DeliveryOutcome::Whole,
        Err(_) => DeliveryOutcome::CallerGone,
    }
}

fn try_stream(
    request: Request,
    call: &CallKey,
    frames: &Receiver<ResponseFrame>,
) -> std::io::Result<()> {
    let mut writer = request.into_writer();
    write!(writer, "HTTP/1.1 200 OK\r\n")?;
    write!(
        writer,
        "Content-Type: {EVENT_STREAM}\r\nCache-Control: no-cache\r\n"
    )?;
    for (name, value) in call_headers(call) {
        write!(writer, "{name}: {value}\r\n")?;
    }
    write!(writer, "Transfer-Encoding: chunked\r\n\r\n")?;
    writer.flush()?;
    let mut encoder = Encoder::with_flush_after_write(FlushingWriter(writer));
    let mut sent_bytes = 0;
    for frame in frames {
        match frame {
            ResponseFrame::Head { .. } | ResponseFrame::ProgramEnded { .. } => {}
            ResponseFrame::Data { offset, bytes } if offset == sent_bytes => {
                encoder.write_all(&bytes)?;
                sent_bytes += bytes.len() as u64;
            }
            ResponseFrame::End { length, summary } if length == sent_bytes => {
                let summary = serde_json::to_string(&summary_json(&summary)).unwrap_or_default();
                return encoder
                    .write_all(format!(": lagoon {summary}\n\ndata: [DONE]\n\n").as_bytes());
            }
            ResponseFrame::Failed { error, .. } => {
                return end_with_error(&mut encoder, call, &error)
            }
            ResponseFrame::Data { .. } | ResponseFrame::End { .. } => {
                let error = CallError::new(ErrorKind::AnswerBroken, "pieces do not join");
                return end_with_error(&mut encoder, call, &error);
            }
        }
    }
    let error = CallError::new(ErrorKind::AnswerBroken, "VM stopped during the answer");
    end_with_error(&mut encoder, call, &error)
}

/// JSON of the `: lagoon` comment that precedes the `[DONE]` event of a stream.
fn summary_json(summary: &ResponseSummary) -> serde_json::Value {
    json!({
        "program": summary.call.program,
        "call": summary.call.number,
        "target": summary.target,
        "owner": summary.owner,
        "durable": summary.durable,
        "continue": summary.continuation,
        "replayed": summary.replayed,
        "used_tokens": summary.used_tokens,
        "left_tokens": summary.remaining_tokens,
        "left_money_micros": summary.remaining_money_micros,
        "left_turns": summary.remaining_turns,
    })
}

fn end_with_error<W>(writer: &mut W, call: &CallKey, error: &CallError) -> std::io::Result<()>
where
    W: Write,
{
    let error = error_json(Some(call), error);
    writer.write_all(format!("data: {error}\n\n").as_bytes())
}

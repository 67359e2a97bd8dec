//! One try at a target.

use std::io::Read;
use std::net::SocketAddr;

use compact_str::CompactString;
use eventsource_stream::EventStream;
use futures::executor::block_on_stream;
use futures::stream;
use lagoon_node::{AttemptFailure, AttemptId, Dispatch, Event, StreamResume, TargetEvent};
use lagoon_telemetry::{inject, TRACEPARENT};
use ureq::http::Response;
use ureq::{Agent, Body};

use crate::constants::{MAX_ERROR_DETAIL_BYTES, MAX_RESPONSE_BYTES, TARGET_BUFFER_BYTES};
use crate::input::InputSender;

const EVENT_STREAM: &str = "text/event-stream";
const DONE: &str = "[DONE]";
const NOT_RUN: &str = "not_run";

/// Where a try's news go.
struct Report<'a> {
    attempt: AttemptId,
    input_sender: &'a InputSender,
}

impl Report<'_> {
    fn tell(&self, event: TargetEvent) {
        let attempt = self.attempt;
        // Without a receiver the process is about to end.
        let _ = self
            .input_sender
            .send(Event::Target { attempt, event }.into());
    }

    fn failed<S>(&self, failure: AttemptFailure, detail: S)
    where
        S: Into<String>,
    {
        let detail = detail.into();
        self.tell(TargetEvent::Failed { failure, detail });
    }
}

/// Sends a request and reports its answer.
pub(super) fn dispatch(agent: &Agent, dispatch: &Dispatch, input_sender: &InputSender) {
    let report = Report {
        attempt: dispatch.attempt,
        input_sender,
    };
    let result = agent
        .post(format!("http://{}{}", dispatch.address, dispatch.path))
        .header("Content-Type", dispatch.content_type.as_str())
        .header("Idempotency-Key", dispatch.call.to_string())
        .header(TRACEPARENT, inject(&dispatch.trace))
        .send(&dispatch.body[..]);
    let chat = dispatch.path.ends_with("/chat/completions");
    match result {
        Ok(response) => read_answer(response, &report, chat, dispatch.stream),
        Err(error) => report.failed(failure_of(&error), error.to_string()),
    }
}

/// Takes a stream up again after its last event.
pub(super) fn resume(agent: &Agent, resume: &StreamResume, input_sender: &InputSender) {
    let report = Report {
        attempt: resume.attempt,
        input_sender,
    };
    let path = format!("/v1/chat/completions/{}/events", resume.resume_id);
    let result = agent
        .get(format!("http://{}{path}", resume.address))
        .header("Accept", EVENT_STREAM)
        .header("Last-Event-ID", resume.last_event_id.to_string())
        .call();
    match result {
        Ok(response) if response.status() == 200 => read_events(response, &report),
        Ok(response) => report.failed(
            AttemptFailure::Interrupted,
            format!("status {}", response.status()),
        ),
        Err(error) => report.failed(AttemptFailure::Interrupted, error.to_string()),
    }
}

/// Tells an engine that nobody waits for a stream any more.
pub(super) fn cancel(agent: &Agent, address: SocketAddr, resume_id: &str) {
    let url = format!("http://{address}/v1/chat/completions/{resume_id}");
    if let Err(error) = agent.delete(url).call() {
        log::warn!(error = error.to_string(); "stream was not cancelled");
    }
}

/// Whether the target may have seen a request that failed.
fn failure_of(error: &ureq::Error) -> AttemptFailure {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            AttemptFailure::NotConnected
        }
        ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            AttemptFailure::NotConnected
        }
        _ => AttemptFailure::Interrupted,
    }
}

fn read_answer(mut response: Response<Body>, report: &Report<'_>, chat: bool, stream: bool) {
    let status = response.status().as_u16();
    let says_not_run = header(&response, "Lagoon-Ran").is_some_and(|ran| ran == NOT_RUN);
    let busy = chat && matches!(status, 429 | 503);
    match status {
        _ if says_not_run || busy => {
            report.failed(AttemptFailure::NotRun, format!("status {status}"));
        }
        400..=499 if chat => report.failed(AttemptFailure::Rejected, detail(&mut response)),
        500..=599 => report.failed(AttemptFailure::Interrupted, format!("status {status}")),
        _ if stream && is_event_stream(&response) => {
            report.tell(head(&response));
            read_events(response, report);
        }
        _ => read_whole(response, report),
    }
}

fn header(response: &Response<Body>, name: &str) -> Option<CompactString> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(CompactString::new)
}

fn is_event_stream(response: &Response<Body>) -> bool {
    header(response, "Content-Type").is_some_and(|value| value.starts_with(EVENT_STREAM))
}

fn head(response: &Response<Body>) -> TargetEvent {
    TargetEvent::Head {
        status: response.status().as_u16(),
        content_type: header(response, "Content-Type")
            .unwrap_or(CompactString::const_new("application/octet-stream")),
        resume_id: header(response, "X-Request-Id"),
    }
}

fn detail(response: &mut Response<Body>) -> String {
    let status = response.status();
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_ERROR_DETAIL_BYTES);
    body.read_to_string()
        .unwrap_or_else(|_| format!("status {status}"))
}

fn read_whole(mut response: Response<Body>, report: &Report<'_>) {
    let head = head(&response);
    let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
    match body.read_to_vec() {
        Ok(bytes) => {
            report.tell(head);
            report.tell(TargetEvent::Body {
                bytes: bytes.into(),
            });
        }
        Err(error) => report.failed(AttemptFailure::Interrupted, error.to_string()),
    }
}

/// Reports events until the target says that they are all.
fn read_events(response: Response<Body>, report: &Report<'_>) {
    let mut reader = response.into_body().into_reader();
    let mut buffer = vec![0; TARGET_BUFFER_BYTES];
    let parts = std::iter::from_fn(move || match reader.read(&mut buffer) {
        Ok(0) => None,
        Ok(length) => Some(Ok(buffer[..length].to_vec())),
        Err(error) => Some(Err(error)),
    });
    for event in block_on_stream(EventStream::new(stream::iter(parts))) {
        match event {
            Ok(event) if event.data == DONE => {
                report.tell(TargetEvent::Done);
                return;
            }
            Ok(event) => report.tell(TargetEvent::Chunk {
                sequence: event.id.parse().ok(),
                data: event.data,
            }),
            Err(error) => {
                report.failed(AttemptFailure::Interrupted, error.to_string());
                return;
            }
        }
    }
    report.failed(
        AttemptFailure::Interrupted,
        "stream ended before its end was said",
    );
}

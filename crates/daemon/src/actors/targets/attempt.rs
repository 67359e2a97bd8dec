//! One attempt at a target.

use std::cell::Cell;
use std::io::Read;
use std::net::SocketAddr;

use compact_str::CompactString;
use eventsource_stream::EventStream;
use futures::executor::block_on_stream;
use futures::stream;
use lagoon_ids::TargetName;
use lagoon_node::{AttemptFailure, AttemptId, Dispatch, Event, StreamResume, TargetEvent};
use lagoon_telemetry::{inject, TRACEPARENT};
use ureq::http::Response;
use ureq::{Agent, Body};

use crate::constants::{
    MAX_ERROR_DETAIL_BYTES, MAX_EVENT_BYTES, MAX_RESPONSE_BYTES, TARGET_BUFFER_BYTES,
};
use crate::input::{Input, InputSender};

const EVENT_STREAM: &str = "text/event-stream";
const END_OF_STREAM: &str = "[DONE]";
const NOT_RUN: &str = "not_run";
const REQUEST_TIMEOUT: u16 = 408;
const TOO_MANY_REQUESTS: u16 = 429;
/// Requests per second that the target takes from all VMs together.
const LIMIT_HEADER: &str = "Lagoon-Limit";

/// Reports the events of an attempt to the node.
struct AttemptReporter<'a> {
    attempt: AttemptId,
    input_sender: &'a InputSender,
}

impl AttemptReporter<'_> {
    fn report(&self, event: TargetEvent) {
        let attempt = self.attempt;
        // Fails only if the process is about to exit.
        let _ = self
            .input_sender
            .send(Event::Target { attempt, event }.into());
    }

    fn fail<S>(&self, failure: AttemptFailure, detail: S)
    where
        S: Into<String>,
    {
        let detail = detail.into();
        self.report(TargetEvent::Failed { failure, detail });
    }

    /// Reports that an attempt has no response. Counts and logs the target if its bytes
    /// are none.
    fn fail_without_response(
        &self,
        target: &TargetName,
        failure: AttemptFailure,
        error: &ureq::Error,
    ) {
        if matches!(error, ureq::Error::Protocol(_)) {
            log::warn!(target = target.as_str(), error = error.to_string(); "bytes of a target are no response");
            // Fails only if the process is about to exit.
            let _ = self
                .input_sender
                .send(Input::InvalidResponse(target.clone()));
        }
        self.fail(failure, error.to_string());
    }
}

/// Sends a request and reports its response.
pub(super) fn dispatch(agent: &Agent, dispatch: &Dispatch, input_sender: &InputSender) {
    let reporter = AttemptReporter {
        attempt: dispatch.attempt,
        input_sender,
    };
    let result = agent
        .post(format!("http://{}{}", dispatch.address, dispatch.path))
        .header("Content-Type", dispatch.content_type.as_str())
        .header("Idempotency-Key", dispatch.call.to_string())
        .header(TRACEPARENT, inject(&dispatch.trace))
        .send(&dispatch.body[..]);
    let is_chat = dispatch.path.ends_with("/chat/completions");
    match result {
        Ok(response) => {
            reporter.report(limit(&response));
            read_response(response, &reporter, is_chat, dispatch.stream);
        }
        Err(error) => {
            reporter.fail_without_response(&dispatch.target, classify_error(&error), &error);
        }
    }
}

/// Resumes a stream after the last event that was received.
pub(super) fn resume(agent: &Agent, resume: &StreamResume, input_sender: &InputSender) {
    let reporter = AttemptReporter {
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
        Ok(response) => {
            reporter.report(limit(&response));
            match response.status().as_u16() {
                200 => read_events(response, &reporter),
                status => reporter.fail(AttemptFailure::Interrupted, format!("status {status}")),
            }
        }
        Err(error) => {
            reporter.fail_without_response(&resume.target, AttemptFailure::Interrupted, &error);
        }
    }
}

/// Cancels a stream that no caller waits for any more.
pub(super) fn cancel(agent: &Agent, address: SocketAddr, resume_id: &str) {
    let url = format!("http://{address}/v1/chat/completions/{resume_id}");
    if let Err(error) = agent.delete(url).call() {
        log::warn!(error = error.to_string(); "failed to cancel a stream");
    }
}

/// Classifies an error by whether the target may have received the request.
fn classify_error(error: &ureq::Error) -> AttemptFailure {
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

fn read_response(
    mut response: Response<Body>,
    reporter: &AttemptReporter<'_>,
    is_chat: bool,
    is_streamed: bool,
) {
    let status = response.status().as_u16();
    let has_not_run_header = header(&response, "Lagoon-Ran").is_some_and(|ran| ran == NOT_RUN);
    match status {
        _ if has_not_run_header => {
            reporter.fail(AttemptFailure::NotRun, format!("status {status}"));
        }
        // The engine doesn't state that it ran nothing.
        REQUEST_TIMEOUT | TOO_MANY_REQUESTS if is_chat => {
            reporter.fail(AttemptFailure::Interrupted, format!("status {status}"));
        }
        400..=499 if is_chat => reporter.fail(AttemptFailure::Rejected, error_text(&mut response)),
        500..=599 => reporter.fail(AttemptFailure::Interrupted, format!("status {status}")),
        _ if is_streamed && is_event_stream(&response) => {
            reporter.report(head(&response));
            read_events(response, reporter);
        }
        _ => read_body(response, reporter),
    }
}

fn header(response: &Response<Body>, name: &str) -> Option<CompactString> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(CompactString::new)
}

/// What a response states of the target's limit; an invalid value counts as none.
fn limit(response: &Response<Body>) -> TargetEvent {
    let per_s = header(response, LIMIT_HEADER).and_then(|text| text.trim().parse().ok());
    TargetEvent::Limit {
        per_s: per_s.filter(|per_s: &f64| per_s.is_finite() && *per_s >= 0.0),
    }
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

fn error_text(response: &mut Response<Body>) -> String {
    let status = response.status();
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_ERROR_DETAIL_BYTES);
    body.read_to_string()
        .unwrap_or_else(|_| format!("status {status}"))
}

fn read_body(mut response: Response<Body>, reporter: &AttemptReporter<'_>) {
    let head = head(&response);
    let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
    match body.read_to_vec() {
        Ok(bytes) => {
            reporter.report(head);
            reporter.report(TargetEvent::Body {
                bytes: bytes.into(),
            });
        }
        Err(error) => reporter.fail(AttemptFailure::Interrupted, error.to_string()),
    }
}

/// Reports events up to the one that marks the end of the stream.
fn read_events(response: Response<Body>, reporter: &AttemptReporter<'_>) {
    let mut reader = response.into_body().into_reader();
    let mut buffer = vec![0; TARGET_BUFFER_BYTES];
    let bytes_since_event = Cell::new(0);
    // The parser buffers an event until it ends, and reads it again with each chunk.
    let chunks = std::iter::from_fn(|| match reader.read(&mut buffer) {
        Ok(0) => None,
        Ok(_) if bytes_since_event.get() > MAX_EVENT_BYTES => {
            Some(Err(std::io::Error::other("event is longer than the limit")))
        }
        Ok(length) => {
            bytes_since_event.set(bytes_since_event.get() + length);
            Some(Ok(buffer[..length].to_vec()))
        }
        Err(error) => Some(Err(error)),
    });
    for event in block_on_stream(EventStream::new(stream::iter(chunks))) {
        bytes_since_event.set(0);
        match event {
            Ok(event) if event.data == END_OF_STREAM => {
                reporter.report(TargetEvent::Done);
                return;
            }
            Ok(event) => reporter.report(TargetEvent::Chunk {
                sequence: event.id.parse().ok(),
                data: event.data,
            }),
            Err(error) => {
                reporter.fail(AttemptFailure::Interrupted, error.to_string());
                return;
            }
        }
    }
    reporter.fail(
        AttemptFailure::Interrupted,
        "stream ended before its end was said",
    );
}

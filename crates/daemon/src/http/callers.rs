//! HTTP API of callers.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::sync::Arc;

use compact_str::CompactString;
use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::TraceContext;
use lagoon_memory::Holding;
use lagoon_node::{CallKind, CallRef, CallerRequest, Event};
use lagoon_telemetry::{extract, new_root, FinishedSpan, SpanKind, Tracer, TRACEPARENT};
use tiny_http::{Method, Request};
use xxhash_rust::xxh3::Xxh3;

use crate::clock::Clock;
use crate::http::chat::parse_chat_request;
use crate::http::response::{respond, respond_error, respond_json, send_frames, DeliveryOutcome};
use crate::http::server::{header, BodyMemory};
use crate::input::{Input, InputSender};

const CHAT_PATH: &str = "/v1/chat/completions";
const SERVICE_PATH: &str = "/v1/call/";
const PROGRAM_PATH: &str = "/v1/programs/";

/// Request handler of the callers' API.
pub(crate) struct CallerApi {
    pub(crate) input_sender: InputSender,
    pub(crate) clock: Clock,
    pub(crate) tracer: Arc<Tracer>,
    pub(crate) ready: Arc<AtomicBool>,
    pub(crate) body_memory: BodyMemory,
    pub(crate) sample_percent: u64,
    pub(crate) next_ref: AtomicU64,
}

/// Caller's request after HTTP parsing; the node still has to authorize it.
struct ParsedRequest {
    request: CallerRequest,
    parent: TraceContext,
    /// Counts the body until the call has ended.
    body_memory: Holding,
}

impl CallerApi {
    pub(crate) fn handle(&self, request: Request) {
        let path = request
            .url()
            .split('?')
            .next()
            .unwrap_or_default()
            .to_owned();
        match (request.method(), path.as_str()) {
            (Method::Get, "/healthz") => {
                respond(
                    request,
                    200,
                    &[("Content-Type", "text/plain")],
                    b"ok\n".to_vec(),
                );
            }
            (Method::Get, "/readyz") => self.respond_readiness(request),
            (Method::Post, CHAT_PATH) => self.call(request, None),
            (Method::Post, path) if path.starts_with(SERVICE_PATH) => {
                let service = CompactString::new(&path[SERVICE_PATH.len()..]);
                self.call(request, Some(service));
            }
            (Method::Delete, path) if path.starts_with(PROGRAM_PATH) => {
                let program = path[PROGRAM_PATH.len()..].to_owned();
                self.end_program(request, program);
            }
            _ => respond_json(
                request,
                404,
                &serde_json::json!({"error": {"type": "not_found", "message": "no such route"}}),
            ),
        }
    }

    fn respond_readiness(&self, request: Request) {
        let ready = self.ready.load(Ordering::SeqCst);
        let (status, text) = if ready {
            (200, "ready\n")
        } else {
            (503, "not ready\n")
        };
        respond(
            request,
            status,
            &[("Content-Type", "text/plain")],
            text.as_bytes().to_vec(),
        );
    }

    fn new_ref(&self) -> CallRef {
        CallRef(self.next_ref.fetch_add(1, Ordering::SeqCst))
    }

    fn call(&self, mut request: Request, service: Option<CompactString>) {
        let start_us = self.clock.now_us();
        let parsed = match self.parse_request(&mut request, service) {
            Ok(parsed) => parsed,
            Err(error) => return respond_error(request, None, &error),
        };
        let context = parsed.request.trace;
        let (parent, body_memory) = (parsed.parent, parsed.body_memory);
        let call_ref = self.new_ref();
        let (frames, receiver) = channel();
        let input = Input::Call {
            call_ref,
            request: Box::new(parsed.request),
            frames,
        };
        let path = request.url().to_owned();
        // If the actor thread has ended, the channel of frames closes at once.
        let _ = self.input_sender.send(input);
        let outcome = send_frames(request, &receiver);
        drop(body_memory);
        if outcome == DeliveryOutcome::CallerGone {
            let _ = self
                .input_sender
                .send(Event::CallerDisconnected { call_ref }.into());
        }
        self.tracer.record(FinishedSpan {
            name: "accept",
            kind: SpanKind::Server,
            context,
            parent,
            start_us,
            end_us: self.clock.now_us(),
            attributes: vec![
                ("url.path", path),
                ("lagoon.sent", format!("{outcome:?}").to_lowercase()),
            ],
        });
    }

    fn parse_request(
        &self,
        request: &mut Request,
        service: Option<CompactString>,
    ) -> Result<ParsedRequest, CallError> {
        let (body, body_memory) = self.body_memory.read_body(request)?;
        let mut hasher = Xxh3::new();
        hasher.update(request.url().as_bytes());
        hasher.update(&[0]);
        hasher.update(&body);
        let content_hash = hasher.digest128();
        let (kind, body) = match service {
            Some(service) => (CallKind::Service { service }, Arc::from(body.as_ref())),
            None => {
                let (kind, body) = parse_chat_request(&body)?;
                (kind, Arc::from(body.as_ref()))
            }
        };
        let parent = header(request, TRACEPARENT)
            .and_then(extract)
            .unwrap_or_else(|| new_root(self.sample_percent));
        let span_label = format!("accept {}", self.next_ref.load(Ordering::SeqCst));
        let caller_request = CallerRequest {
            api_key: api_key(request),
            program: header(request, "Lagoon-Program").map(CompactString::new),
            number: parse_header(request, "Lagoon-Call")?,
            parent: header(request, "Lagoon-Parent").map(CompactString::new),
            window_ms: parse_header(request, "Lagoon-Window-Ms")?,
            budget_tokens: parse_header(request, "Lagoon-Budget-Tokens")?,
            continuation: header(request, "Lagoon-Continue").map(CompactString::new),
            kind,
            content_type: header(request, "Content-Type").map_or(
                CompactString::const_new("application/json"),
                CompactString::new,
            ),
            body,
            content_hash,
            trace: parent.child(&span_label),
        };
        Ok(ParsedRequest {
            request: caller_request,
            parent,
            body_memory,
        })
    }

    fn end_program(&self, request: Request, program: String) {
        let call_ref = self.new_ref();
        let (frames, receiver) = channel();
        let input = Input::EndProgram {
            call_ref,
            api_key: api_key(&request).to_string(),
            program,
            frames,
        };
        let _ = self.input_sender.send(input);
        send_frames(request, &receiver);
    }
}

fn api_key(request: &Request) -> CompactString {
    let value = header(request, "Authorization").unwrap_or_default();
    CompactString::new(value.strip_prefix("Bearer ").unwrap_or(value))
}

/// Returns `None` if the header is absent; an invalid value is a bad request.
fn parse_header<T>(request: &Request, name: &str) -> Result<Option<T>, CallError>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(text) = header(request, name) else {
        return Ok(None);
    };
    text.parse()
        .map(Some)
        .map_err(|error| CallError::new(ErrorKind::BadRequest, format!("{name}: {error}")))
}

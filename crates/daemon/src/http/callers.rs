//! HTTP API of callers.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

use compact_str::CompactString;
use hyper::Method;
use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::TraceContext;
use lagoon_memory::Holding;
use lagoon_node::{CallKind, CallRef, CallerRequest};
use lagoon_telemetry::{extract, new_root, Tracer, TRACEPARENT};
use tokio::sync::mpsc::unbounded_channel;
use xxhash_rust::xxh3::Xxh3;

use crate::clock::Clock;
use crate::http::body::ResponseBody;
use crate::http::chat::parse_chat_request;
use crate::http::delivery::Delivery;
use crate::http::response::{respond, respond_json, response_of, ApiResponse};
use crate::http::server::ApiRequest;
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
    pub(crate) async fn handle(&self, request: ApiRequest) -> ApiResponse {
        let path = request.uri.path().to_owned();
        match (&request.method, path.as_str()) {
            (&Method::GET, "/healthz") => respond_text(200, "ok\n"),
            (&Method::GET, "/readyz") => self.respond_readiness(),
            (&Method::POST, CHAT_PATH) => self.call(request, None).await,
            (&Method::POST, path) if path.starts_with(SERVICE_PATH) => {
                let service = CompactString::new(&path[SERVICE_PATH.len()..]);
                self.call(request, Some(service)).await
            }
            (&Method::DELETE, path) if path.starts_with(PROGRAM_PATH) => {
                let program = path[PROGRAM_PATH.len()..].to_owned();
                self.end_program(&request, program).await
            }
            _ => respond_json(
                404,
                &serde_json::json!({"error": {"type": "not_found", "message": "no such route"}}),
            ),
        }
    }

    fn respond_readiness(&self) -> ApiResponse {
        match self.ready.load(Ordering::SeqCst) {
            true => respond_text(200, "ready\n"),
            false => respond_text(503, "not ready\n"),
        }
    }

    fn new_ref(&self) -> CallRef {
        CallRef(self.next_ref.fetch_add(1, Ordering::SeqCst))
    }

    async fn call(&self, mut request: ApiRequest, service: Option<CompactString>) -> ApiResponse {
        let start_us = self.clock.now_us();
        let parsed = match self.parse_request(&mut request, service).await {
            Ok(parsed) => parsed,
            Err(error) => return request.refuse(&error),
        };
        let call_ref = self.new_ref();
        let mut delivery = Delivery {
            input_sender: self.input_sender.clone(),
            tracer: Arc::clone(&self.tracer),
            clock: self.clock,
            call_ref,
            context: parsed.request.trace,
            parent: parsed.parent,
            start_us,
            path: request.uri.to_string(),
            _body_memory: parsed.body_memory,
            is_whole: false,
        };
        drop(request);
        let (frames, receiver) = unbounded_channel();
        let input = Input::Call {
            call_ref,
            request: Box::new(parsed.request),
            frames,
        };
        // If the actor thread has ended, the channel of frames closes at once.
        let _ = self.input_sender.send(input);
        let response = response_of(receiver).await;
        if !response.body().is_stream() {
            delivery.set_whole();
        }
        response.map(|body| body.delivering(delivery))
    }

    async fn parse_request(
        &self,
        request: &mut ApiRequest,
        service: Option<CompactString>,
    ) -> Result<ParsedRequest, CallError> {
        let (body, body_memory) = request.read_body().await?;
        let mut hasher = Xxh3::new();
        hasher.update(request.uri.to_string().as_bytes());
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
        let parent = request
            .header(TRACEPARENT)
            .and_then(extract)
            .unwrap_or_else(|| new_root(self.sample_percent));
        let span_label = format!("accept {}", self.next_ref.load(Ordering::SeqCst));
        let caller_request = CallerRequest {
            api_key: api_key(request),
            program: request.header("Lagoon-Program").map(CompactString::new),
            number: parse_header(request, "Lagoon-Call")?,
            parent: request.header("Lagoon-Parent").map(CompactString::new),
            window_ms: parse_header(request, "Lagoon-Window-Ms")?,
            budget_tokens: parse_header(request, "Lagoon-Budget-Tokens")?,
            continuation: request.header("Lagoon-Continue").map(CompactString::new),
            kind,
            content_type: request.header("Content-Type").map_or(
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

    async fn end_program(&self, request: &ApiRequest, program: String) -> ApiResponse {
        let call_ref = self.new_ref();
        let (frames, receiver) = unbounded_channel();
        let input = Input::EndProgram {
            call_ref,
            api_key: api_key(request).to_string(),
            program,
            frames,
        };
        let _ = self.input_sender.send(input);
        response_of(receiver).await
    }
}

fn respond_text(status: u16, text: &'static str) -> ApiResponse {
    let body = ResponseBody::whole([text.into()]);
    respond(status, &[("Content-Type", "text/plain")], body)
}

fn api_key(request: &ApiRequest) -> CompactString {
    let value = request.header("Authorization").unwrap_or_default();
    CompactString::new(value.strip_prefix("Bearer ").unwrap_or(value))
}

/// Returns `None` if the header is absent; an invalid value is a bad request.
fn parse_header<T>(request: &ApiRequest, name: &str) -> Result<Option<T>, CallError>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(text) = request.header(name) else {
        return Ok(None);
    };
    text.parse()
        .map(Some)
        .map_err(|error| CallError::new(ErrorKind::BadRequest, format!("{name}: {error}")))
}

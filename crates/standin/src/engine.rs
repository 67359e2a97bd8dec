//! Simulated model engine: continuous batching, a prefix cache of limited size,
//! streams that can be resumed and cancelled, delayed load reports, and cache
//! events of which some are missing.
//!
//! Control: `POST /control` with `{"leaving": true}`, which sets the draining
//! flag of the load report, or `{"break_after": n}`, which breaks the next
//! stream after `n` events.

mod batch;
mod cache;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use tiny_http::{Method, Request};

use crate::http::{header_value, read_body, respond, respond_json, serve, ChunkedResponse};
use batch::{Batch, Stream};

/// Address, simulated speed and cache size of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Decode time of a step with one sequence.
    pub step_us: u64,
    /// Decode time that each further sequence adds to a step.
    pub extra_sequence_us: u64,
    /// Prompt tokens prefilled in a millisecond; must be at least 1.
    pub prefill_tokens_per_ms: u64,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Interval between load snapshots, and so the maximum age of the reported load.
    pub load_report_interval_ms: u64,
}

/// Load report, as `GET /load` returns it.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Load {
    running: u32,
    waiting: u32,
    #[serde(rename = "leaving")]
    draining: bool,
    cached_tokens: u64,
    prefilled_tokens: u64,
}

#[derive(Debug, Default, Deserialize)]
struct Control {
    #[serde(default)]
    #[serde(rename = "leaving")]
    draining: Option<bool>,
    #[serde(default)]
    break_after: Option<i64>,
}

#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
    max_completion_tokens: Option<u64>,
    messages: Vec<serde_json::Value>,
}

fn default_tokens() -> u64 {
    64
}

struct Engine {
    batch: Arc<Batch>,
    /// Number of token events after which the next stream breaks; negative if it is
    /// not to break.
    break_after: AtomicI64,
}

/// Serves an engine until the process ends.
///
/// # Errors
///
/// Fails if it can't listen on the address.
pub fn run(settings: EngineSettings) -> Result<(), String> {
    let batch = Arc::new(Batch::new(settings));
    let stepper = Arc::clone(&batch);
    thread::spawn(move || stepper.run());
    let reporter = Arc::clone(&batch);
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(settings.load_report_interval_ms));
        reporter.publish_load();
    });
    let engine = Engine {
        batch,
        break_after: AtomicI64::new(-1),
    };
    serve(settings.address, move |request| engine.handle(request))
}

impl Engine {
    fn handle(&self, mut request: Request) {
        let bytes = read_body(&mut request);
        let path = request.url().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::Post, "/v1/chat/completions") => self.chat(request, &bytes),
            (Method::Get, "/load") => respond_json(request, 200, &self.batch.reported_load()),
            (Method::Get, path) if path.starts_with("/cache_events") => {
                let after = path.split_once("after=").and_then(|(_, n)| n.parse().ok());
                let events = self.batch.cache_events(after.unwrap_or(0));
                respond_json(request, 200, &events);
            }
            (Method::Get, path) if path.ends_with("/events") => self.resume(request, path),
            (Method::Delete, path) => {
                let id = path.rsplit('/').next().unwrap_or_default();
                let is_known = self.batch.cancel(id);
                respond(
                    request,
                    if is_known { 200 } else { 404 },
                    "text/plain",
                    Vec::new(),
                );
            }
            (Method::Post, "/control") => self.control(request, &bytes),
            _ => respond(request, 404, "text/plain", Vec::new()),
        }
    }

    fn control(&self, request: Request, bytes: &[u8]) {
        let control: Control = serde_json::from_slice(bytes).unwrap_or_default();
        if let Some(draining) = control.draining {
            self.batch.set_draining(draining);
        }
        if let Some(events) = control.break_after {
            self.break_after.store(events, Ordering::SeqCst);
        }
        respond(request, 204, "text/plain", Vec::new());
    }

    fn chat(&self, request: Request, bytes: &[u8]) {
        let chat: ChatRequest = match serde_json::from_slice(bytes) {
            Ok(chat) => chat,
            Err(error) => {
                let error = json!({"error": {"message": error.to_string()}});
                return respond_json(request, 400, &error);
            }
        };
        let tokens = chat.max_completion_tokens.unwrap_or(chat.max_tokens);
        let prompt: String = chat.messages.iter().map(ToString::to_string).collect();
        let id = self.batch.admit(&prompt, tokens);
        let Some(stream) = self.batch.stream(&id) else {
            return respond(request, 500, "text/plain", Vec::new());
        };
        if chat.stream {
            self.send_events(request, &id, &chat.model, &stream, 0);
        } else {
            let text = stream.wait_all();
            respond_json(request, 200, &completion(&id, &chat.model, &stream, &text));
        }
    }

    fn resume(&self, request: Request, path: &str) {
        let id = path.rsplit('/').nth(1).unwrap_or_default().to_owned();
        let last_event_id =
            header_value(&request, "Last-Event-ID").and_then(|text| text.parse().ok());
        match self.batch.stream(&id) {
            Some(stream) => self.send_events(request, &id, "", &stream, last_event_id.unwrap_or(0)),
            None => respond(request, 404, "text/plain", Vec::new()),
        }
    }

    fn send_events(
        &self,
        request: Request,
        id: &str,
        model: &str,
        stream: &Stream,
        last_event_id: u64,
    ) {
        let headers = [("Content-Type", "text/event-stream"), ("X-Request-Id", id)];
        let Ok(mut response) = ChunkedResponse::begin(request, &headers) else {
            return;
        };
        let break_after = self.break_after.swap(-1, Ordering::SeqCst);
        let mut sent = 0;
        let mut event_id = last_event_id as usize;
        loop {
            let (tokens, done) = stream.wait_after(event_id);
            for token in tokens {
                event_id += 1;
                if sent == break_after {
                    response.abort();
                    return;
                }
                let chunk = json!({
                    "id": id, "object": "chat.completion.chunk", "model": model,
                    "choices": [{"index": 0, "delta": {"content": token}, "finish_reason": null}],
                });
                if response
                    .send(format!("id: {event_id}\ndata: {chunk}\n\n").as_bytes())
                    .is_err()
                {
                    return;
                }
                sent += 1;
            }
            if done {
                break;
            }
        }
        if stream.is_cancelled() {
            response.abort();
            return;
        }
        let _ = self
            .send_final_events(&mut response, id, model, stream, event_id)
            .and_then(|()| response.end());
    }

    fn send_final_events(
        &self,
        response: &mut ChunkedResponse,
        id: &str,
        model: &str,
        stream: &Stream,
        event_id: usize,
    ) -> std::io::Result<()> {
        let stop = json!({
            "id": id, "object": "chat.completion.chunk", "model": model,
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        });
        response.send(format!("id: {}\ndata: {stop}\n\n", event_id + 1).as_bytes())?;
        let usage = json!({
            "id": id, "object": "chat.completion.chunk", "model": model,
            "choices": [], "usage": stream.usage(),
        });
        response.send(format!("id: {}\ndata: {usage}\n\n", event_id + 2).as_bytes())?;
        response.send(b"data: [DONE]\n\n")
    }
}

fn completion(id: &str, model: &str, stream: &Stream, text: &str) -> serde_json::Value {
    json!({
        "id": id, "object": "chat.completion", "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "stop",
        }],
        "usage": stream.usage(),
    })
}

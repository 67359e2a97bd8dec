//! A model engine: continuous batching, prefix cache in limited memory,
//! streams that can be resumed and cancelled, late load and cache events.
//!
//! Control: `POST /control` with `{"leaving": true}` or `{"break_after": n}`,
//! which breaks the next connection after `n` events.

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

use crate::http::{answer, answer_json, body, header, serve, ChunkedAnswer};
use batch::{Batch, Stream};

/// Settings of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSettings {
    /// Address.
    pub address: SocketAddr,
    /// Time of one step with one sequence.
    pub step_us: u64,
    /// Time that each further sequence adds to a step.
    pub sequence_us: u64,
    /// Prompt tokens prefilled in a millisecond.
    pub prefill_tokens_per_ms: u64,
    /// Blocks of the prefix cache.
    pub cache_blocks: usize,
    /// Age of the load that is reported.
    pub load_lag_ms: u64,
}

/// Load, as reported.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Load {
    running: u32,
    waiting: u32,
    leaving: bool,
    cached_tokens: u64,
    prefilled_tokens: u64,
}

#[derive(Debug, Default, Deserialize)]
struct Control {
    #[serde(default)]
    leaving: Option<bool>,
    #[serde(default)]
    break_after: Option<i64>,
}

#[derive(Debug, Deserialize)]
struct Chat {
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
    break_after: AtomicI64,
}

/// Serves an engine until the process ends.
///
/// # Errors
///
/// Fails when the address can't be listened on.
pub fn run(settings: EngineSettings) -> Result<(), String> {
    let batch = Arc::new(Batch::new(settings));
    let stepper = Arc::clone(&batch);
    thread::spawn(move || stepper.run());
    let reporter = Arc::clone(&batch);
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(settings.load_lag_ms));
        reporter.report_load();
    });
    let engine = Engine {
        batch,
        break_after: AtomicI64::new(-1),
    };
    serve(settings.address, move |request| engine.handle(request))
}

impl Engine {
    fn handle(&self, mut request: Request) {
        let bytes = body(&mut request);
        let path = request.url().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::Post, "/v1/chat/completions") => self.chat(request, &bytes),
            (Method::Get, "/load") => answer_json(request, 200, &self.batch.reported()),
            (Method::Get, path) if path.starts_with("/cache_events") => {
                let after = path.split_once("after=").and_then(|(_, n)| n.parse().ok());
                let events = self.batch.cache_events(after.unwrap_or(0));
                answer_json(request, 200, &events);
            }
            (Method::Get, path) if path.ends_with("/events") => self.resume(request, path),
            (Method::Delete, path) => {
                let id = path.rsplit('/').next().unwrap_or_default();
                let known = self.batch.cancel(id);
                answer(
                    request,
                    if known { 200 } else { 404 },
                    "text/plain",
                    Vec::new(),
                );
            }
            (Method::Post, "/control") => self.control(request, &bytes),
            _ => answer(request, 404, "text/plain", Vec::new()),
        }
    }

    fn control(&self, request: Request, bytes: &[u8]) {
        let control: Control = serde_json::from_slice(bytes).unwrap_or_default();
        if let Some(leaving) = control.leaving {
            self.batch.set_leaving(leaving);
        }
        if let Some(events) = control.break_after {
            self.break_after.store(events, Ordering::SeqCst);
        }
        answer(request, 204, "text/plain", Vec::new());
    }

    fn chat(&self, request: Request, bytes: &[u8]) {
        let chat: Chat = match serde_json::from_slice(bytes) {
            Ok(chat) => chat,
            Err(error) => {
                let error = json!({"error": {"message": error.to_string()}});
                return answer_json(request, 400, &error);
            }
        };
        let tokens = chat.max_completion_tokens.unwrap_or(chat.max_tokens);
        let prompt: String = chat.messages.iter().map(ToString::to_string).collect();
        let id = self.batch.admit(&prompt, tokens);
        let Some(stream) = self.batch.stream(&id) else {
            return answer(request, 500, "text/plain", Vec::new());
        };
        if chat.stream {
            self.send_events(request, &id, &chat.model, &stream, 0);
        } else {
            let text = stream.wait_all();
            answer_json(request, 200, &whole(&id, &chat.model, &stream, &text));
        }
    }

    fn resume(&self, request: Request, path: &str) {
        let id = path.rsplit('/').nth(1).unwrap_or_default().to_owned();
        let last = header(&request, "Last-Event-ID").and_then(|text| text.parse().ok());
        match self.batch.stream(&id) {
            Some(stream) => self.send_events(request, &id, "", &stream, last.unwrap_or(0)),
            None => answer(request, 404, "text/plain", Vec::new()),
        }
    }

    fn send_events(&self, request: Request, id: &str, model: &str, stream: &Stream, last: u64) {
        let headers = [("Content-Type", "text/event-stream"), ("X-Request-Id", id)];
        let Ok(mut out) = ChunkedAnswer::begin(request, &headers) else {
            return;
        };
        let break_after = self.break_after.swap(-1, Ordering::SeqCst);
        let mut sent = 0;
        let mut next = last as usize;
        loop {
            let (tokens, done) = stream.wait_after(next);
            for token in tokens {
                next += 1;
                if sent == break_after {
                    out.break_off();
                    return;
                }
                let event = json!({
                    "id": id, "object": "chat.completion.chunk", "model": model,
                    "choices": [{"index": 0, "delta": {"content": token}, "finish_reason": null}],
                });
                if out
                    .send(format!("id: {next}\ndata: {event}\n\n").as_bytes())
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
            out.break_off();
            return;
        }
        let _ = self
            .send_end(&mut out, id, model, stream, next)
            .and_then(|()| out.end());
    }

    fn send_end(
        &self,
        out: &mut ChunkedAnswer,
        id: &str,
        model: &str,
        stream: &Stream,
        next: usize,
    ) -> std::io::Result<()> {
        let stop = json!({
            "id": id, "object": "chat.completion.chunk", "model": model,
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        });
        out.send(format!("id: {}\ndata: {stop}\n\n", next + 1).as_bytes())?;
        let usage = json!({
            "id": id, "object": "chat.completion.chunk", "model": model,
            "choices": [], "usage": stream.usage(),
        });
        out.send(format!("id: {}\ndata: {usage}\n\n", next + 2).as_bytes())?;
        out.send(b"data: [DONE]\n\n")
    }
}

fn whole(id: &str, model: &str, stream: &Stream, text: &str) -> serde_json::Value {
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

//! Simulated plain service that records each execution of a call.
//!
//! `GET /runs` lists the executions with their idempotency keys. Control: `POST
//! /control` with `{"fail": "not_run" | "lose_reply" | "none", "delay_ms": n,
//! "limit_per_s": n}`; a limit is only stated in responses, not enforced.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use tiny_http::{Header, Method, Request, Response};

use crate::http::{header_value, read_body, respond, respond_json, serve, write_invalid_framing};

/// How calls fail: `NotRun` rejects them without execution, `LoseReply` executes
/// them and breaks the connection.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
enum FailureMode {
    #[default]
    None,
    NotRun,
    LoseReply,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct Control {
    fail: FailureMode,
    #[serde(default)]
    delay_ms: u64,
    /// Requests per second that responses state to take; `None` states none.
    #[serde(default)]
    limit_per_s: Option<f64>,
}

/// Address and behaviour of a simulated service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Whether a call with a known idempotency key gets the recorded response
    /// instead of a second execution.
    pub deduplicates: bool,
    /// Service time of a call, to which the `delay_ms` of `/control` is added.
    pub service_time_ms: u64,
}

#[derive(Clone, Debug, Serialize)]
struct Execution {
    key: String,
    body: String,
}

#[derive(Default)]
struct State {
    control: Control,
    executions: Vec<Execution>,
    responses: BTreeMap<String, serde_json::Value>,
}

struct Service {
    settings: ServiceSettings,
    state: Mutex<State>,
}

/// Serves a service until the process ends.
///
/// # Errors
///
/// Fails if it can't listen on the address.
pub fn run(settings: ServiceSettings) -> Result<(), String> {
    let service = Service {
        settings,
        state: Mutex::new(State::default()),
    };
    serve(settings.address, move |request| service.handle(request))
}

impl Service {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, mut request: Request) {
        let bytes = read_body(&mut request);
        let path = request.url().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::Get, "/load") => {
                let load = json!({"running": 0, "waiting": 0, "leaving": false});
                respond_json(request, 200, &load);
            }
            (Method::Get, "/runs") => respond_json(request, 200, &self.state().executions),
            (Method::Post, "/control") => {
                self.state().control = serde_json::from_slice(&bytes).unwrap_or_default();
                respond(request, 204, "text/plain", Vec::new());
            }
            (Method::Post, path) if path.starts_with("/v1/call/") => self.call(request, &bytes),
            _ => respond(request, 404, "text/plain", Vec::new()),
        }
    }

    fn call(&self, request: Request, bytes: &[u8]) {
        let control = self.state().control;
        if control.fail == FailureMode::NotRun {
            let mut response = Response::from_data(b"busy".to_vec()).with_status_code(503);
            if let Ok(header) = Header::from_bytes("Lagoon-Ran", "not_run") {
                response.add_header(header);
            }
            let _ = request.respond(response);
            return;
        }
        thread::sleep(Duration::from_millis(
            self.settings.service_time_ms + control.delay_ms,
        ));
        let key = header_value(&request, "Idempotency-Key").unwrap_or_default();
        let reply = self.execute(key, bytes);
        if control.fail == FailureMode::LoseReply {
            write_invalid_framing(&mut request.into_writer());
            return;
        }
        let mut response = Response::from_data(reply.to_string().into_bytes());
        let stated = control
            .limit_per_s
            .map(|per_s| ("Lagoon-Limit", per_s.to_string()));
        let content_type = ("Content-Type", "application/json".to_owned());
        for (name, value) in [content_type].into_iter().chain(stated) {
            if let Ok(header) = Header::from_bytes(name, value) {
                response.add_header(header);
            }
        }
        // Fails only if the caller has left.
        let _ = request.respond(response);
    }

    fn execute(&self, key: String, bytes: &[u8]) -> serde_json::Value {
        let mut state = self.state();
        if let Some(recorded) = state
            .responses
            .get(&key)
            .filter(|_| self.settings.deduplicates)
        {
            return recorded.clone();
        }
        let body = String::from_utf8_lossy(bytes).into_owned();
        state.executions.push(Execution {
            key: key.clone(),
            body,
        });
        let number = state.executions.len();
        let reply = json!({"confirmed": true, "number": number, "key": key});
        state.responses.insert(key, reply.clone());
        reply
    }
}

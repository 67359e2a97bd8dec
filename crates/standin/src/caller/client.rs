//! Calls over HTTP, streamed or whole.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eventsource_stream::EventStream;
use futures::executor::block_on_stream;
use futures::stream;
use serde_json::{json, Value};
use ureq::http::Response;
use ureq::{Agent, Body};

const TIMEOUT: Duration = Duration::from_secs(60);
const BUFFER_BYTES: usize = 8 * 1024;

/// Answer to one call.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Program, as the answer names it.
    pub program: String,
    /// Text of the answer.
    pub text: String,
    /// Summary from the end of a stream or from the headers.
    pub summary: String,
    /// Whether the answer was said to be whole.
    pub whole: bool,
    /// Times of the events since the request.
    pub event_times: Vec<Duration>,
}

/// Client of one entry VM or engine.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
    address: SocketAddr,
    api_key: String,
}

impl Client {
    /// Client of an address.
    pub fn new(address: SocketAddr, api_key: &str) -> Client {
        let config = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .max_idle_connections(0)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .http_status_as_error(false)
            .build();
        Client {
            agent: config.into(),
            address,
            api_key: api_key.to_owned(),
        }
    }

    fn post(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<Response<Body>, String> {
        let mut request = self
            .agent
            .post(format!("http://{}{path}", self.address))
            .header("Authorization", format!("Bearer {}", self.api_key));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        request.send_json(body).map_err(|error| error.to_string())
    }

    /// Calls a plain service.
    ///
    /// # Errors
    ///
    /// Fails when there is no whole answer.
    pub fn call_service(
        &self,
        service: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<Reply, String> {
        let mut response = self.post(&format!("/v1/call/{service}"), headers, body)?;
        let mut reply = begin(&response);
        reply.text = response
            .body_mut()
            .read_to_string()
            .map_err(|error| error.to_string())?;
        reply.whole = true;
        Ok(reply)
    }

    /// Streams a chat completion; `seen` gets each piece of text.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer.
    pub fn chat<F>(
        &self,
        model: &str,
        prompt: &str,
        tokens: u64,
        headers: &[(&str, &str)],
        mut seen: F,
    ) -> Result<Reply, String>
    where
        F: FnMut(&str),
    {
        let body = json!({
            "model": model, "stream": true, "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        });
        let started = Instant::now();
        let mut response = self.post("/v1/chat/completions", headers, &body)?;
        let mut reply = begin(&response);
        if reply.status != 200 {
            reply.text = response
                .body_mut()
                .read_to_string()
                .map_err(|error| error.to_string())?;
            return Ok(reply);
        }
        let mut tail = String::new();
        let parts = parts(response, &mut tail);
        for event in block_on_stream(EventStream::new(stream::iter(parts))) {
            let event = event.map_err(|error| error.to_string())?;
            if event.data == "[DONE]" {
                reply.whole = true;
                break;
            }
            let value: Value = serde_json::from_str(&event.data).unwrap_or_default();
            if let Some(error) = value.get("error") {
                reply.summary = error.to_string();
            }
            if let Some(text) = value["choices"][0]["delta"]["content"].as_str() {
                reply.event_times.push(started.elapsed());
                reply.text.push_str(text);
                seen(text);
            }
        }
        if let Some(comment) = tail.rfind(": lagoon ") {
            let line = tail[comment + 9..].lines().next();
            reply.summary = line.unwrap_or_default().to_owned();
        }
        Ok(reply)
    }
}

fn begin(response: &Response<Body>) -> Reply {
    let header = |name: &str| {
        let value = response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    Reply {
        status: response.status().as_u16(),
        program: header("Lagoon-Program"),
        summary: format!(
            "target={} owner={} left_tokens={} left_money_micros={} left_turns={}",
            header("Lagoon-Target"),
            header("Lagoon-Owner"),
            header("Lagoon-Left-Tokens"),
            header("Lagoon-Left-Money-Micros"),
            header("Lagoon-Left-Turns"),
        ),
        ..Reply::default()
    }
}

/// Parts of a body as they come; the latest bytes are kept in `tail`.
fn parts(
    response: Response<Body>,
    tail: &mut String,
) -> impl Iterator<Item = std::io::Result<Vec<u8>>> + '_ {
    let mut reader = response.into_body().into_reader();
    let mut buffer = vec![0; BUFFER_BYTES];
    std::iter::from_fn(
        move || match std::io::Read::read(&mut reader, &mut buffer) {
            Ok(0) => None,
            Ok(length) => {
                tail.push_str(&String::from_utf8_lossy(&buffer[..length]));
                let cut = tail.len().saturating_sub(2 * BUFFER_BYTES);
                let cut = (cut..=tail.len()).find(|at| tail.is_char_boundary(*at));
                tail.drain(..cut.unwrap_or(0));
                Some(Ok(buffer[..length].to_vec()))
            }
            Err(error) => Some(Err(error)),
        },
    )
}

//! HTTP client for streamed chat completions and for service calls.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eventsource_stream::EventStream;
use futures::executor::block_on_stream;
use futures::stream;
use serde_json::{json, Value};
use ureq::http::Response;
use ureq::{Agent, Body};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
const BUFFER_BYTES: usize = 8 * 1024;

/// Response to one call.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// HTTP status of the response.
    pub status: u16,
    /// Program id from the `Lagoon-Program` response header; empty if it is absent.
    pub program: String,
    /// Body of the response, or the concatenated text deltas of a stream.
    pub text: String,
    /// The `: lagoon` comment at the end of a stream, else its error event, else
    /// a line made of the response headers.
    pub summary: String,
    /// Whether the response is complete: the body of a service call was read to
    /// its end, or a stream ended with `[DONE]`.
    pub complete: bool,
    /// Time of each text event, since the request was sent.
    pub event_times: Vec<Duration>,
}

/// Client of one VM or engine.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
    address: SocketAddr,
    api_key: String,
}

impl Client {
    /// Creates a client that opens a connection for each request.
    pub fn new(address: SocketAddr, api_key: &str) -> Client {
        let config = Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
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
    /// Fails if the request fails or the response body can't be read to its end.
    pub fn call_service(
        &self,
        service: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<Reply, String> {
        let mut response = self.post(&format!("/v1/call/{service}"), headers, body)?;
        let mut reply = reply_from_headers(&response);
        reply.text = response
            .body_mut()
            .read_to_string()
            .map_err(|error| error.to_string())?;
        reply.complete = true;
        Ok(reply)
    }

    /// Streams a chat completion; `on_text` is called with each text delta.
    ///
    /// # Errors
    ///
    /// Fails if the request fails or its stream can't be decoded.
    pub fn chat<F>(
        &self,
        model: &str,
        prompt: &str,
        tokens: u64,
        headers: &[(&str, &str)],
        mut on_text: F,
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
        let mut reply = reply_from_headers(&response);
        if reply.status != 200 {
            reply.text = response
                .body_mut()
                .read_to_string()
                .map_err(|error| error.to_string())?;
            return Ok(reply);
        }
        // The event-stream parser drops comments; the summary is read from the tail.
        let mut tail = String::new();
        let body_chunks = body_chunks(response, &mut tail);
        for event in block_on_stream(EventStream::new(stream::iter(body_chunks))) {
            let event = event.map_err(|error| error.to_string())?;
            if event.data == "[DONE]" {
                reply.complete = true;
                break;
            }
            let value: Value = serde_json::from_str(&event.data).unwrap_or_default();
            if let Some(error) = value.get("error") {
                reply.summary = error.to_string();
            }
            if let Some(text) = value["choices"][0]["delta"]["content"].as_str() {
                reply.event_times.push(started.elapsed());
                reply.text.push_str(text);
                on_text(text);
            }
        }
        if let Some(comment) = tail.rfind(": lagoon ") {
            let line = tail[comment + 9..].lines().next();
            reply.summary = line.unwrap_or_default().to_owned();
        }
        Ok(reply)
    }
}

fn reply_from_headers(response: &Response<Body>) -> Reply {
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
            "target={} owner={} durable={} left_tokens={} left_money_micros={} left_turns={}",
            header("Lagoon-Target"),
            header("Lagoon-Owner"),
            header("Lagoon-Durable"),
            header("Lagoon-Left-Tokens"),
            header("Lagoon-Left-Money-Micros"),
            header("Lagoon-Left-Turns"),
        ),
        ..Reply::default()
    }
}

/// Chunks of the body as they arrive; `tail` keeps the last 16 KiB of the text.
fn body_chunks(
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
                let start = tail.len().saturating_sub(2 * BUFFER_BYTES);
                let start = (start..=tail.len()).find(|index| tail.is_char_boundary(*index));
                tail.drain(..start.unwrap_or(0));
                Some(Ok(buffer[..length].to_vec()))
            }
            Err(error) => Some(Err(error)),
        },
    )
}

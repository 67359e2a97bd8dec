//! Serving requests, one thread each.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use serde::Serialize;
use tiny_http::{Header, Request, Response, Server};

/// Stack of a thread that serves one request.
const STACK_BYTES: usize = 128 * 1024;

/// Serves requests until the process ends.
///
/// # Errors
///
/// Fails when the address can't be listened on.
pub fn serve<F>(address: SocketAddr, handle: F) -> Result<(), String>
where
    F: Fn(Request) + Send + Sync + 'static,
{
    let server = Server::http(address).map_err(|error| error.to_string())?;
    let handle = Arc::new(handle);
    for request in server.incoming_requests() {
        let handle = Arc::clone(&handle);
        let spawned = thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(move || handle(request));
        if let Err(error) = spawned {
            log::error!("no thread: {error}");
        }
    }
    Ok(())
}

/// Body of a request.
pub fn body(request: &mut Request) -> Vec<u8> {
    let mut bytes = Vec::new();
    if let Err(error) = request.as_reader().read_to_end(&mut bytes) {
        log::warn!("request broke: {error}");
    }
    bytes
}

/// Value of a header.
pub fn header(request: &Request, name: &str) -> Option<String> {
    request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|header| header.value.as_str().to_owned())
}

/// Answers with JSON.
pub fn answer_json<T>(request: Request, status: u16, value: &T)
where
    T: Serialize,
{
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    answer(request, status, "application/json", bytes);
}

/// Answers with bytes.
pub fn answer(request: Request, status: u16, content_type: &str, bytes: Vec<u8>) {
    let mut response = Response::from_data(bytes).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", content_type) {
        response.add_header(header);
    }
    // A caller that went away needs no answer.
    let _ = request.respond(response);
}

/// Answer whose chunks are sent as they come.
///
/// Unlike a library's encoder it does not end by itself when it is dropped,
/// so that a stand-in can break it off.
pub struct ChunkedAnswer {
    writer: Box<dyn Write + Send>,
}

impl ChunkedAnswer {
    /// Sends the head.
    ///
    /// # Errors
    ///
    /// Fails when the caller went away.
    pub fn begin(request: Request, headers: &[(&str, &str)]) -> std::io::Result<ChunkedAnswer> {
        let mut writer = request.into_writer();
        write!(writer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n")?;
        for (name, value) in headers {
            write!(writer, "{name}: {value}\r\n")?;
        }
        write!(writer, "\r\n")?;
        writer.flush()?;
        Ok(ChunkedAnswer { writer })
    }

    /// Sends a chunk.
    ///
    /// # Errors
    ///
    /// Fails when the caller went away.
    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        write!(self.writer, "{:x}\r\n", bytes.len())?;
        self.writer.write_all(bytes)?;
        self.writer.write_all(b"\r\n")?;
        self.writer.flush()
    }

    /// Ends the answer.
    ///
    /// # Errors
    ///
    /// Fails when the caller went away.
    pub fn end(mut self) -> std::io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }

    /// Breaks the answer off, so that its reader can't take it for whole.
    pub fn break_off(mut self) {
        break_connection(&mut self.writer);
    }
}

/// Sends what no reader takes for an answer or a chunk.
pub fn break_connection(writer: &mut dyn Write) {
    // A reader that went away needs no breaking.
    let _ = writer.write_all(b"!\r\n");
    let _ = writer.flush();
}

//! HTTP server with a thread per request.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde::Serialize;
use tiny_http::{Header, Request, Response, Server};

/// Stack size of a thread that serves one request.
const STACK_BYTES: usize = 128 * 1024;

/// Interval of the connections that make the server's pool of threads look at its
/// queue.
const POOL_WAKE_INTERVAL: Duration = Duration::from_millis(50);

/// Serves requests until the process ends.
///
/// # Errors
///
/// Fails if it can't listen on the address.
pub fn serve<F>(address: SocketAddr, handle: F) -> Result<(), String>
where
    F: Fn(Request) + Send + Sync + 'static,
{
    let server = Server::http(address).map_err(|error| error.to_string())?;
    let handle = Arc::new(handle);
    // Of connections that arrive together, the pool leaves some in its queue until a
    // thread is done with another connection. One that closes at once is such a one.
    thread::spawn(move || loop {
        thread::sleep(POOL_WAKE_INTERVAL);
        let _ = TcpStream::connect(address);
    });
    for request in server.incoming_requests() {
        let handle = Arc::clone(&handle);
        let spawned = thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(move || handle(request));
        if let Err(error) = spawned {
            log::error!("failed to start a request thread: {error}");
        }
    }
    Ok(())
}

/// Reads the body of a request, as far as it arrives.
pub fn read_body(request: &mut Request) -> Vec<u8> {
    let mut bytes = Vec::new();
    if let Err(error) = request.as_reader().read_to_end(&mut bytes) {
        log::warn!("failed to read a request body: {error}");
    }
    bytes
}

/// Value of a request header, whose name is matched without regard to case.
pub fn header_value(request: &Request, name: &str) -> Option<String> {
    request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|header| header.value.as_str().to_owned())
}

/// Sends a JSON response.
pub fn respond_json<T>(request: Request, status: u16, value: &T)
where
    T: Serialize,
{
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    respond(request, status, "application/json", bytes);
}

/// Sends a response with the given body.
pub fn respond(request: Request, status: u16, content_type: &str, bytes: Vec<u8>) {
    let mut response = Response::from_data(bytes).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", content_type) {
        response.add_header(header);
    }
    // Fails only if the client has closed the connection.
    let _ = request.respond(response);
}

/// Response in chunked transfer coding, whose chunks are sent as they are produced.
///
/// Unlike the encoder of an HTTP library it does not write the last chunk when it
/// is dropped, so that a simulated target can truncate a response.
pub struct ChunkedResponse {
    writer: Box<dyn Write + Send>,
}

impl ChunkedResponse {
    /// Sends the status line and the headers.
    ///
    /// # Errors
    ///
    /// Fails if the client has closed the connection.
    pub fn begin(request: Request, headers: &[(&str, &str)]) -> std::io::Result<ChunkedResponse> {
        let mut writer = request.into_writer();
        write!(writer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n")?;
        for (name, value) in headers {
            write!(writer, "{name}: {value}\r\n")?;
        }
        write!(writer, "\r\n")?;
        writer.flush()?;
        Ok(ChunkedResponse { writer })
    }

    /// Sends a chunk.
    ///
    /// # Errors
    ///
    /// Fails if the client has closed the connection.
    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        write!(self.writer, "{:x}\r\n", bytes.len())?;
        self.writer.write_all(bytes)?;
        self.writer.write_all(b"\r\n")?;
        self.writer.flush()
    }

    /// Sends the empty chunk that marks the end of the response.
    ///
    /// # Errors
    ///
    /// Fails if the client has closed the connection.
    pub fn end(mut self) -> std::io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }

    /// Aborts the response in a way that no client takes for its regular end.
    pub fn abort(mut self) {
        write_invalid_framing(&mut self.writer);
    }
}

/// Writes bytes that are neither a response head nor a chunk header, so that the
/// client reports a protocol error.
pub fn write_invalid_framing(writer: &mut dyn Write) {
    // Fails only if the client has closed the connection.
    let _ = writer.write_all(b"!\r\n");
    let _ = writer.flush();
}

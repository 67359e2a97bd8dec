//! HTTP server with a thread for each request.

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

use lagoon_errors::{CallError, ErrorKind};
use tiny_http::{Request, Server};

use crate::constants::{
    CONNECT_TIMEOUT, MAX_CONCURRENT_REQUESTS, MAX_HEADER_BYTES, POOL_WAKE_INTERVAL,
    WORKER_STACK_BYTES,
};
use crate::http::response::respond_error;

/// Number of requests that are being served.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveRequests(Arc<AtomicUsize>);

impl ActiveRequests {
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }

    fn track(&self) -> ActiveRequestGuard {
        self.0.fetch_add(1, Ordering::SeqCst);
        ActiveRequestGuard(Arc::clone(&self.0))
    }
}

struct ActiveRequestGuard(Arc<AtomicUsize>);

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Serves requests to an address in background threads.
///
/// # Errors
///
/// Fails if the server can't listen on the address.
pub(crate) fn serve<F>(name: &str, address: SocketAddr, handle: F) -> Result<ActiveRequests, String>
where
    F: Fn(Request) + Send + Sync + 'static,
{
    let server = Server::http(address).map_err(|error| format!("{address}: {error}"))?;
    let active = ActiveRequests::default();
    let active_requests = active.clone();
    let handle = Arc::new(handle);
    thread::Builder::new()
        .name(name.to_owned())
        .stack_size(WORKER_STACK_BYTES)
        .spawn(move || {
            for request in server.incoming_requests() {
                spawn_handler(request, &active_requests, &handle);
            }
        })
        .map_err(|error| error.to_string())?;
    thread::Builder::new()
        .name(format!("{name} pool"))
        .stack_size(WORKER_STACK_BYTES)
        .spawn(move || wake_pool(address))
        .map_err(|error| error.to_string())?;
    Ok(active)
}

/// Opens and closes a connection to the own server at intervals.
///
/// The server's pool counts a thread as idle from the time it is notified until it
/// runs. A connection that arrives meanwhile is queued for it, and then waits until a
/// thread is done with another connection, which callers may keep for hours. The thread
/// of a connection that closes at once takes the next one from the queue.
fn wake_pool(address: SocketAddr) {
    loop {
        thread::sleep(POOL_WAKE_INTERVAL);
        // Fails while the process is out of descriptors; the next one comes soon.
        let _ = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
    }
}

fn spawn_handler<F>(request: Request, active: &ActiveRequests, handle: &Arc<F>)
where
    F: Fn(Request) + Send + Sync + 'static,
{
    if active.count() >= MAX_CONCURRENT_REQUESTS {
        let detail = format!("{MAX_CONCURRENT_REQUESTS} requests are served already");
        respond_error(
            request,
            None,
            &CallError::new(ErrorKind::Overloaded, detail),
        );
        return;
    }
    if let Err(error) = check_headers(&request) {
        respond_error(request, None, &error);
        return;
    }
    let guard = active.track();
    let handle = Arc::clone(handle);
    let spawned = thread::Builder::new()
        .stack_size(WORKER_STACK_BYTES)
        .spawn(move || {
            handle(request);
            drop(guard);
        });
    if let Err(error) = spawned {
        // The request was dropped with the closure, which closes its connection.
        log::error!(error = error.to_string(); "failed to start a thread for a request");
    }
}

/// Rejects headers that are too large, and a length of the body that is not a
/// number.
fn check_headers(request: &Request) -> Result<(), CallError> {
    let sizes = request
        .headers()
        .iter()
        .map(|header| header.field.as_str().as_str().len() + header.value.as_str().len());
    if sizes.sum::<usize>() > MAX_HEADER_BYTES {
        let detail = format!("headers have more than {MAX_HEADER_BYTES} bytes");
        return Err(CallError::new(ErrorKind::HeadersTooLarge, detail));
    }
    match header(request, "Content-Length").map(str::parse::<u64>) {
        Some(Err(error)) => {
            let detail = format!("Content-Length: {error}");
            Err(CallError::new(ErrorKind::BadRequest, detail))
        }
        _ => Ok(()),
    }
}

/// Reads the body of a request, which may have up to `limit_bytes`.
pub(super) fn read_body(request: &mut Request, limit_bytes: u64) -> Result<Vec<u8>, CallError> {
    let too_large = || {
        let detail = format!("body has more than {limit_bytes} bytes");
        CallError::new(ErrorKind::RequestTooLarge, detail)
    };
    if request.body_length().unwrap_or_default() as u64 > limit_bytes {
        return Err(too_large());
    }
    let mut bytes = Vec::new();
    let read = request
        .as_reader()
        .take(limit_bytes + 1)
        .read_to_end(&mut bytes);
    match read {
        Err(error) => Err(CallError::new(ErrorKind::BadRequest, error.to_string())),
        Ok(length) if length as u64 > limit_bytes => Err(too_large()),
        Ok(_) => Ok(bytes),
    }
}

/// Value of the first header with this name, ignoring case.
pub(super) fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|header| header.value.as_str())
}

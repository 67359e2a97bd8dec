//! HTTP server with a thread for each request.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

use bytes::Bytes;
use lagoon_errors::{CallError, ErrorKind};
use lagoon_memory::{Claim, Exhausted, Holding, Memory};
use tiny_http::{Request, Server};

use crate::clock::Clock;
use crate::constants::{
    CONNECT_TIMEOUT, MAX_CONCURRENT_REQUESTS, MAX_HEADER_BYTES, MAX_HELD_BYTES, MIN_LARGEST_BODIES,
    POOL_WAKE_INTERVAL, READ_BYTES, WORKER_STACK_BYTES,
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

/// Memory for the bodies of requests, and their largest size.
#[derive(Clone, Debug)]
pub(crate) struct BodyMemory {
    memory: Memory,
    limit_bytes: u64,
    clock: Clock,
}

impl BodyMemory {
    /// Memory for bodies that have up to `limit_bytes` each.
    pub(crate) fn new(limit_bytes: u64, clock: Clock) -> BodyMemory {
        let held_bytes = MAX_HELD_BYTES.max(MIN_LARGEST_BODIES * limit_bytes);
        BodyMemory {
            memory: Memory::new(held_bytes, 0),
            limit_bytes,
            clock,
        }
    }

    /// Reads the body of a request. Its bytes are counted until the holding is dropped.
    pub(super) fn read_body(&self, request: &mut Request) -> Result<(Bytes, Holding), CallError> {
        let too_large = || {
            let detail = format!("body has more than {} bytes", self.limit_bytes);
            CallError::new(ErrorKind::RequestTooLarge, detail)
        };
        if request.body_length().unwrap_or_default() as u64 > self.limit_bytes {
            return Err(too_large());
        }
        let exhausted = |_: Exhausted| {
            let detail = "too many bytes are held for callers";
            CallError::new(ErrorKind::Overloaded, detail)
        };
        let max_bytes = usize::try_from(self.limit_bytes).unwrap_or(usize::MAX);
        let holding = self.memory.hold(Claim::Withdrawable, self.clock.now_ms());
        let mut part = [0; READ_BYTES];
        loop {
            let read = match request.as_reader().read(&mut part) {
                Ok(0) => break,
                Ok(read) => read,
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
                Err(error) => {
                    return Err(CallError::new(ErrorKind::BadRequest, error.to_string()));
                }
            };
            let refused = if read > max_bytes - holding.buffered_bytes() {
                Err(too_large())
            } else {
                let pushed = holding.push(&part[..read], self.clock.now_ms());
                pushed.map_err(exhausted)
            };
            if let Err(error) = refused {
                drop(holding);
                discard(request, &mut part);
                return Err(error);
            }
        }
        let bytes = holding.finish().map_err(exhausted)?;
        Ok((bytes, holding))
    }
}

/// Reads a refused body to its end, without keeping it: tiny_http would read what is left
/// of it as a head, which it holds whole.
fn discard(request: &mut Request, part: &mut [u8]) {
    while request.as_reader().read(part).is_ok_and(|read| read > 0) {}
}

/// Value of the first header with this name, ignoring case.
pub(super) fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|header| header.value.as_str())
}

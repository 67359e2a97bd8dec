//! HTTP server on a thread of its own.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use lagoon_connections::{discard, listen, read_body, set_socket_options, BodyLimits, ReadError};
use lagoon_errors::{CallError, ErrorKind};
use lagoon_memory::{Claim, Holding, Memory};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::constants::{
    ACCEPT_RETRY_DELAY, MAX_DISCARDS, MAX_HEADERS, MAX_HEADER_BYTES, MAX_HEAD_BYTES,
    MAX_HELD_BYTES, MIN_LARGEST_BODIES,
};
use crate::http::bounds::{Bound, BoundCounts, Bounds, ConnectionLimits};
use crate::http::connection::{ClientIo, Connection};
use crate::http::response::{respond_error, ApiResponse};

/// Number of requests that are being served.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveRequests(Arc<AtomicUsize>);

impl ActiveRequests {
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }

    pub(super) fn track(&self) -> ActiveRequestGuard {
        self.0.fetch_add(1, Ordering::SeqCst);
        ActiveRequestGuard(Arc::clone(&self.0))
    }
}

/// Counts a request as being served.
pub(super) struct ActiveRequestGuard(Arc<AtomicUsize>);

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Memory for the bytes of clients, and the largest size of a request body.
#[derive(Clone, Debug)]
pub(crate) struct ClientMemory {
    memory: Memory,
    limit_bytes: u64,
}

impl ClientMemory {
    /// Memory for bodies that have up to `limit_bytes` each.
    pub(crate) fn new(limit_bytes: u64) -> ClientMemory {
        let held_bytes = MAX_HELD_BYTES.max(MIN_LARGEST_BODIES * limit_bytes);
        ClientMemory {
            memory: Memory::new(held_bytes, MAX_DISCARDS),
            limit_bytes,
        }
    }

    /// Bytes that are held for clients.
    pub(crate) fn held_bytes(&self) -> u64 {
        self.memory.held_bytes()
    }
}

/// Server of one listener.
pub(crate) struct Server {
    pub(crate) name: &'static str,
    pub(crate) limits: ConnectionLimits,
    pub(crate) memory: ClientMemory,
    pub(crate) clock: Clock,
    pub(crate) counts: Arc<BoundCounts>,
}

impl Server {
    /// Serves requests to an address in a background thread.
    ///
    /// # Errors
    ///
    /// Fails if the server can't listen on the address.
    pub(crate) fn start<F, R>(
        self,
        address: SocketAddr,
        handle: F,
    ) -> Result<ActiveRequests, String>
    where
        F: Fn(ApiRequest) -> R + Send + 'static,
        R: Future<Output = ApiResponse> + 'static,
    {
        let listener = listen(address).map_err(|error| format!("{address}: {error}"))?;
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|error| error.to_string())?;
        let active = ActiveRequests::default();
        let active_requests = active.clone();
        let name = self.name.to_owned();
        let serve = move || {
            let accepting = async {
                match TcpListener::from_std(listener) {
                    Ok(listener) => self.accept(listener, active_requests, handle).await,
                    Err(error) => log::error!(error = error.to_string(); "cannot listen"),
                }
            };
            LocalSet::new().block_on(&runtime, accepting);
        };
        thread::Builder::new()
            .name(name)
            .spawn(serve)
            .map_err(|error| error.to_string())?;
        Ok(active)
    }

    /// Accepts connections until the process ends.
    async fn accept<F, R>(self, listener: TcpListener, active: ActiveRequests, handle: F)
    where
        F: Fn(ApiRequest) -> R + 'static,
        R: Future<Output = ApiResponse> + 'static,
    {
        let limit_bytes = self.memory.limit_bytes;
        let bounds = Bounds::new(
            self.name,
            self.limits,
            self.memory.memory,
            self.clock,
            self.counts,
        );
        let handle = Rc::new(handle);
        loop {
            let (stream, from) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!(error = error.to_string(); "cannot accept a connection");
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            // Closed before a request is read, so the caller may go to another VM.
            let Some(open) = bounds.admit() else {
                bounds.record(Bound::Connections);
                continue;
            };
            let Some(of_address) = bounds.addresses.admit(from.ip()) else {
                bounds.record(Bound::ConnectionsOfAddress);
                continue;
            };
            let connection = Connection::new(&bounds, &active);
            let handle = Rc::clone(&handle);
            spawn_local(async move {
                serve_connection(&connection, stream, limit_bytes, &*handle).await;
                drop((open, of_address));
            });
        }
    }
}

async fn serve_connection<F, R>(
    connection: &Rc<Connection>,
    stream: TcpStream,
    limit_bytes: u64,
    handle: &F,
) where
    F: Fn(ApiRequest) -> R,
    R: Future<Output = ApiResponse>,
{
    let limits = connection.bounds.limits;
    if let Err(error) = set_socket_options(&stream, limits.idle_timeout) {
        log::debug!(error = error.to_string(); "cannot set TCP options");
    }
    let service = service_fn(|request| {
        let guard = connection.begin_request();
        let request = ApiRequest::new(request, limit_bytes, connection);
        async move {
            let response = match check_headers(&request.headers) {
                Ok(()) => handle(request).await,
                Err(error) => request.refuse(&error),
            };
            Ok::<_, Infallible>(response.map(|body| body.answering(guard)))
        }
    });
    let serving = http1::Builder::new()
        // A caller that has closed its side after its request still gets the response.
        .half_close(true)
        // As clients know the names from earlier versions.
        .title_case_headers(true)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES)
        // Includes the rest before a head; a head that has begun has `head_timeout`.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(ClientIo::new(stream, connection)), service);
    let ended = tokio::select! {
        ended = serving => ended,
        () = connection.until_refused() => Ok(()),
    };
    if let Err(error) = ended {
        log::debug!(error = error.to_string(); "connection of a client failed");
    }
}

/// Rejects headers that are too large, or not text.
fn check_headers(headers: &HeaderMap) -> Result<(), CallError> {
    let sizes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    if sizes.sum::<usize>() > MAX_HEADER_BYTES {
        let detail = format!("headers have more than {MAX_HEADER_BYTES} bytes");
        return Err(CallError::new(ErrorKind::HeadersTooLarge, detail));
    }
    for (name, value) in headers {
        if let Err(error) = value.to_str() {
            let detail = format!("{name}: {error}");
            return Err(CallError::new(ErrorKind::BadRequest, detail));
        }
    }
    Ok(())
}

/// Request whose body may not have arrived yet.
pub(crate) struct ApiRequest {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    /// `None` once it was read or refused.
    body: Option<Incoming>,
    limit_bytes: u64,
    connection: Rc<Connection>,
}

impl ApiRequest {
    fn new(
        request: Request<Incoming>,
        limit_bytes: u64,
        connection: &Rc<Connection>,
    ) -> ApiRequest {
        let (head, body) = request.into_parts();
        ApiRequest {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body: Some(body),
            limit_bytes,
            connection: Rc::clone(connection),
        }
    }

    /// Value of the first header with this name, ignoring case.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Reads the body. Its bytes are counted until the holding is dropped.
    pub(super) async fn read_body(&mut self) -> Result<(Bytes, Holding), CallError> {
        let too_large = || {
            let detail = format!("body has more than {} bytes", self.limit_bytes);
            CallError::new(ErrorKind::RequestTooLarge, detail)
        };
        let bounds = &self.connection.bounds;
        let clock = bounds.clock;
        let holding = bounds.memory.hold(Claim::Withdrawable, clock.now_ms());
        let Some(body) = &mut self.body else {
            return Ok((Bytes::new(), holding));
        };
        if body.size_hint().lower() > self.limit_bytes {
            return Err(too_large());
        }
        let limits = BodyLimits {
            max_bytes: usize::try_from(self.limit_bytes).unwrap_or(usize::MAX),
            progress: bounds.limits.idle_timeout,
            whole: bounds.limits.body_timeout,
        };
        let error = match read_body(&holding, body, limits, || clock.now_ms()).await {
            Ok(bytes) => {
                self.body = None;
                return Ok((bytes, holding));
            }
            Err(ReadError::Broken(error)) => {
                self.body = None;
                CallError::new(ErrorKind::BadRequest, error)
            }
            Err(ReadError::TooLong) => too_large(),
            Err(ReadError::NoMemory) => {
                bounds.record(Bound::BodyMemory);
                let detail = "too many bytes are held for callers";
                CallError::new(ErrorKind::Overloaded, detail)
            }
            Err(ReadError::TimedOut) => {
                bounds.record(Bound::BodyTime);
                CallError::new(ErrorKind::RequestTimeout, "body took too long")
            }
        };
        Err(error)
    }

    /// Responds with an error. What is left of the body is discarded, so that the client gets
    /// the response, if few others are: beyond that, and for a late body, the connection is
    /// closed.
    pub(super) fn refuse(mut self, error: &CallError) -> ApiResponse {
        let mut response = respond_error(None, error);
        let body = self.body.take().filter(|body| !body.is_end_stream());
        let Some(body) = body else {
            return response;
        };
        let is_late = error.kind == ErrorKind::RequestTimeout;
        let guard = (!is_late).then(|| self.connection.bounds.memory.begin_discard());
        let Some(guard) = guard.flatten() else {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
            return response;
        };
        self.connection.held.begin_discard();
        spawn_local(async move {
            let bytes = discard(body).await;
            log::debug!(bytes; "body of a refused request");
            drop(guard);
        });
        response
    }
}

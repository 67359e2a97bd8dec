//! HTTP servers for callers, the load balancer, other VMs and metrics scrapers.

use std::convert::Infallible;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1::{self, Parts};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use lagoon_connections::{set_socket_options, AddressGuard};
use lagoon_memory::HoldingWatch;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::body::ResponseBody;
use crate::caller_io::CallerIo;
use crate::carry::{handle_carried, CARRY_PATH};
use crate::forward::HEADER_SLACK_BYTES;
use crate::idle::IdleTimer;
use crate::message::MESSAGE_PATH;
use crate::message_handler::handle_message;
use crate::panics;
use crate::response;
use crate::state::DaemonState;
use crate::unanswered::{CallerConnection, Cause, Client, RequestGuard};

/// Smallest buffer for the header section and the start of the body that follows it.
/// Header sections are held to the limit in force when they arrive.
const MIN_BUFFER_BYTES: u64 = 131_072;

const METRICS_PATH: &str = "/metrics";

/// Time from the stop until a listener closes.
const ACCEPT_LINGER: Duration = Duration::from_millis(50);

/// Time that a connection has for its first request, or for the rest of a head that
/// arrives, when the daemon stops.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(200);

/// Interval at which a connection is looked at while the daemon stops, until it rests.
const STOP_RECHECK: Duration = Duration::from_millis(20);

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::from_std(lagoon_connections::listen(address)?)
}

/// Accepts connections until shortly after `stop` becomes true; open ones are
/// then closed between two requests. `handle` gets the address of the client, its
/// request and the handle to it.
pub(crate) async fn serve<F, R>(
    state: Rc<DaemonState>,
    listener: Rc<TcpListener>,
    mut stop: watch::Receiver<bool>,
    client: Client,
    handle: F,
) where
    F: Fn(IpAddr, Request<Incoming>, RequestGuard) -> R + Clone + 'static,
    R: Future<Output = Response<ResponseBody>> + 'static,
{
    let stopped = stop.clone();
    // Set by the stop: time at which the listener closes. Closing it resets the
    // connections that callers have opened, so these are accepted first.
    let mut closes_at = None;
    loop {
        // Biased, so that what waits to be accepted goes before the close.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop), if closes_at.is_none() => {
                closes_at = Some(Instant::now() + ACCEPT_LINGER);
                continue;
            }
            () = sleep_until(closes_at.unwrap_or_else(Instant::now)), if closes_at.is_some() => return,
        };
        match accepted {
            Ok(_) if state.connections.get() >= state.max_connections => {
                // Closed before a request is read, so the caller may go to
                // another VM.
                state.record_closed_unread(client, Cause::TooManyConnections);
            }
            Ok((stream, from)) => {
                let by_address = match client {
                    Client::Caller => state.memory.admit(from.ip()).map(Some),
                    Client::Other => Some(None),
                };
                let Some(by_address) = by_address else {
                    state.record_closed_unread(client, Cause::TooManyOfAddress);
                    continue;
                };
                let connection = CallerConnection::new(&state, client);
                if client == Client::Caller && !connection.claim_room() {
                    state.record_closed_unread(client, Cause::NoMemory);
                    continue;
                }
                let guard = ConnectionGuard::new(&state, by_address);
                let handle = handle.clone();
                let handle = move |request, open| handle(from.ip(), request, open);
                let connection =
                    serve_connection(guard, connection, stream, stopped.clone(), handle);
                tokio::task::spawn_local(connection);
            }
            Err(error) => {
                log::warn!(error = error.to_string(); "cannot accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard {
    state: Rc<DaemonState>,
    _by_address: Option<AddressGuard>,
}

impl ConnectionGuard {
    fn new(state: &Rc<DaemonState>, by_address: Option<AddressGuard>) -> ConnectionGuard {
        state.connections.set(state.connections.get() + 1);
        state.metrics.set_connections(state.connections.get());
        ConnectionGuard {
            state: Rc::clone(state),
            _by_address: by_address,
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let state = &self.state;
        state.connections.set(state.connections.get() - 1);
        state.metrics.set_connections(state.connections.get());
    }
}

async fn serve_connection<F, R>(
    guard: ConnectionGuard,
    caller: Rc<CallerConnection>,
    stream: TcpStream,
    mut stop: watch::Receiver<bool>,
    handle: F,
) where
    F: Fn(Request<Incoming>, RequestGuard) -> R + 'static,
    R: Future<Output = Response<ResponseBody>> + 'static,
{
    if let Err(error) = set_socket_options(&stream, caller.unacknowledged_timeout()) {
        log::debug!(error = error.to_string(); "cannot set TCP options");
    }
    let service = service_fn(|request| {
        let open = caller.begin_request();
        let handle = &handle;
        async move {
            // On the heap only while a request is open: connections rest most of the time.
            let handling = Box::pin(handle(request, open.clone()));
            let mut response = panics::respond_anyway(handling, || open.record_panic()).await;
            if open.announces_close() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            if let Some(body) = response.extensions_mut().remove::<HoldingWatch>() {
                open.record_response(body);
            }
            Ok::<_, Infallible>(response.map(|body| body.answering(open)))
        }
    });
    let header_bytes = guard.state.limits().max_header_bytes;
    let buffer_bytes = header_bytes
        .saturating_add(HEADER_SLACK_BYTES)
        .max(MIN_BUFFER_BYTES);
    let limit = guard.state.idle_limit.clone();
    let mut served = http1::Builder::new()
        .header_read_timeout(limit.get())
        .timer(IdleTimer { limit })
        .max_buf_size(usize::try_from(buffer_bytes).unwrap_or(usize::MAX))
        .serve_connection(TokioIo::new(CallerIo::new(stream, &caller)), service);
    let mut connection = Pin::new(&mut served);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = caller.until_refused() => Ok(()),
        _ = stop.wait_for(|stop| *stop) => {
            // The first request of a new connection may be on its way, as may the next
            // one behind a response. A graceful shutdown would throw them away.
            let mut wait = match caller.has_request() {
                true => Duration::ZERO,
                false => FIRST_REQUEST_WAIT,
            };
            loop {
                match timeout(wait, connection.as_mut()).await {
                    Ok(ended) => break ended,
                    Err(_) if caller.is_idle(FIRST_REQUEST_WAIT) => {
                        caller.record_stop();
                        connection.as_mut().graceful_shutdown();
                        break connection.await;
                    }
                    Err(_) => wait = STOP_RECHECK,
                }
            }
        }
    };
    let Parts { io, read_buf, .. } = served.into_parts();
    // The buffer may be much larger than what is left in it.
    let unread = read_buf.to_vec();
    drop(read_buf);
    caller.end(&ended, io.into_inner(), unread).await;
    if let Err(error) = ended {
        log::debug!(error = error.to_string(); "incoming connection failed");
    }
}

/// Handles readiness checks of the load balancer.
pub(crate) fn readiness(state: &DaemonState, path: &str) -> Response<ResponseBody> {
    if path != lagoon_adapter::READY_PATH {
        return response::plain_text(StatusCode::NOT_FOUND, "no such path");
    }
    if state.is_ready() {
        response::plain_text(StatusCode::OK, "ready")
    } else {
        response::plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

/// Handles messages and attempts of other VMs, and scrapes of the metrics. `from` is
/// the address of the sender.
pub(crate) async fn handle_internal(
    state: Rc<DaemonState>,
    from: IpAddr,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    match request.uri().path() {
        MESSAGE_PATH => handle_message(&state, request).await,
        METRICS_PATH => serve_metrics(&state),
        path if path.starts_with(CARRY_PATH) => handle_carried(state, from, request).await,
        _ => response::plain_text(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn serve_metrics(state: &DaemonState) -> Response<ResponseBody> {
    state.memory.update_metrics();
    state.metrics.set_sessions(state.affinity.borrow().len());
    state
        .metrics
        .set_config_evidence_age(state.evidence.age_ms());
    state
        .metrics
        .set_quarantined(state.crash_tracker.quarantined_count());
    let targets = state.targets.borrow();
    state.metrics.set_estimates(&targets, state.now_ms());
    match state.metrics.encode() {
        Ok(text) => Response::new(ResponseBody::full(text)),
        Err(error) => response::plain_text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

//! Listening for callers, the balancer and readers of metrics.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::body::ResponseBody;
use crate::connection::set_socket_options;
use crate::peers::{handle_message, MESSAGE_PATH};
use crate::response;
use crate::state::DaemonState;

/// New connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Room for the start of a body behind the longest header section, and the
/// least that the HTTP library takes.
const BODY_START_BYTES: u64 = 4_096;
const LEAST_BUFFER_BYTES: u64 = 8_192;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Pause after a connection that can't be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Opens a listening socket.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts connections until `stop` says so; those that are open then close
/// between two requests.
pub(crate) async fn serve<F, R>(
    state: Rc<DaemonState>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    handle: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Response<ResponseBody>> + 'static,
{
    let stopped = stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        match accepted {
            Ok(_) if state.connections.get() >= state.max_connections => {
                // Closed unread, so the caller may go elsewhere.
                log::warn!(connections = state.connections.get(); "connection refused, too many are open");
            }
            Ok((stream, _)) => {
                let state = Rc::clone(&state);
                let connection = Open::new(&state);
                let connection =
                    serve_connection(connection, stream, stopped.clone(), handle.clone());
                tokio::task::spawn_local(connection);
            }
            Err(error) => {
                log::warn!(error = error.to_string(); "connection not accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Counts open connections.
struct Open(Rc<DaemonState>);

impl Open {
    fn new(state: &Rc<DaemonState>) -> Open {
        state.connections.set(state.connections.get() + 1);
        state.metrics.set_connections(state.connections.get());
        Open(Rc::clone(state))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
        self.0.metrics.set_connections(self.0.connections.get());
    }
}

async fn serve_connection<F, R>(
    open: Open,
    stream: TcpStream,
    mut stop: watch::Receiver<bool>,
    handle: F,
) where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<ResponseBody>> + 'static,
{
    if let Err(error) = set_socket_options(&stream) {
        log::debug!(error = error.to_string(); "socket option refused");
    }
    let service = service_fn(|request| {
        let answer = handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let limits = open.0.limits();
    let buffer_bytes = (limits.max_header_bytes + BODY_START_BYTES).max(LEAST_BUFFER_BYTES);
    // The library counts idle time before a header section to its reading.
    let wait = Duration::from_millis(limits.header_timeout_ms.max(limits.idle_timeout_ms));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(wait)
        .max_buf_size(usize::try_from(buffer_bytes).unwrap_or(usize::MAX))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = stop.wait_for(|stop| *stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(error = error.to_string(); "caller's connection ended");
    }
}

/// Answers the balancer's question.
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

/// Answers other VMs and readers of metrics.
pub(crate) async fn handle_internal(
    state: Rc<DaemonState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    match request.uri().path() {
        MESSAGE_PATH => handle_message(Rc::clone(&state.budget_client), request).await,
        METRICS_PATH => metrics(&state),
        _ => response::plain_text(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn metrics(state: &DaemonState) -> Response<ResponseBody> {
    state.metrics.set_sessions(state.affinity.borrow().len());
    match state.metrics.encode() {
        Ok(text) => Response::new(ResponseBody::full(text)),
        Err(error) => response::plain_text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

//! Simulated store and targets for entry VMs, and fault-injecting proxies to them,
//! all on loopback.
//!
//! Each server runs on its own thread. Tests inject faults at run time.

mod proxy;
mod store;
mod target;

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::sync::Notify;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::sleep;

pub use proxy::{FaultProxy, ProxyFault};
pub use store::{Store, StoreFault, StoreView};
pub use target::{Crash, Execution, ExecutionState, Target, TargetFault};

/// Error of a handler or a response body that makes the server close the
/// connection without a response, or in the middle of one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ConnectionAborted;

impl std::fmt::Display for ConnectionAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("cut")
    }
}

impl std::error::Error for ConnectionAborted {}

type HttpResponse = Response<UnsyncBoxBody<Bytes, ConnectionAborted>>;

fn full_response(status: StatusCode, body: Vec<u8>) -> HttpResponse {
    let body = Full::new(Bytes::from(body)).map_err(|never: Infallible| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Time for which a crashed server accepts no connections.
const CRASH_DOWNTIME: Duration = Duration::from_millis(250);

/// Ports of servers: below the ephemeral ones, so that no outgoing connection takes the
/// port of a server whose listener is closed for a time.
const PORTS: std::ops::Range<u16> = 10_000..20_000;

/// Listens on a free port of [`PORTS`]. Processes begin at different ports.
async fn bind_free_port() -> TcpListener {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    const PORTS_PER_PROCESS: usize = 97;
    let first = std::process::id() as usize * PORTS_PER_PROCESS;
    for _ in PORTS {
        let number = first + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + (number % PORTS.len()) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)).await {
            return listener;
        }
    }
    panic!("no port is free");
}

/// Runs a server on its own thread until the process ends, with a listener on a
/// free loopback port.
fn start_server<F, R>(server: F) -> SocketAddr
where
    F: FnOnce(TcpListener) -> R + Send + 'static,
    R: Future<Output = ()>,
{
    let (address_sender, address_receiver) = channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("runtime starts");
        LocalSet::new().block_on(&runtime, async move {
            let listener = bind_free_port().await;
            // Fails only if the caller of `start_server` is gone.
            let _ = address_sender.send(listener.local_addr().expect("socket has an address"));
            server(listener).await;
        });
    });
    address_receiver.recv().expect("server starts")
}

/// Serves HTTP on a free loopback port until the process ends; each `crash`
/// notification closes all connections, and the listening socket for
/// [`CRASH_DOWNTIME`].
fn serve<F, R>(crash: Arc<Notify>, handle: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Result<HttpResponse, ConnectionAborted>> + 'static,
{
    start_server(move |mut listener| async move {
        let address = listener.local_addr().expect("socket has an address");
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = crash.notified() => {
                    connections.abort_all();
                    drop(listener);
                    sleep(CRASH_DOWNTIME).await;
                    listener = TcpListener::bind(address).await.expect("port is free");
                    continue;
                }
            };
            let Ok((stream, _)) = accepted else {
                return;
            };
            while connections.try_join_next().is_some() {}
            connections.spawn_local(serve_connection(stream, handle.clone()));
        }
    })
}

async fn serve_connection<F, R>(stream: TcpStream, handle: F)
where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Result<HttpResponse, ConnectionAborted>>,
{
    let connection =
        http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(handle));
    // Errors are expected: injected faults end connections.
    let _ = connection.await;
}

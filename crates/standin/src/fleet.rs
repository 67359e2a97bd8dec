//! The users' platform on loopback: its store, and targets that run requests.
//!
//! Each server has a thread of its own; faults are switches that a test sets
//! while it runs.

mod link;
mod store;
mod target;

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
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
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

pub use link::{Link, LinkFault};
pub use store::{Store, StoreFault};
pub use target::{Run, RunEnd, Target, TargetFault};

/// Connection ends here, without an answer or in the middle of one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("cut")
    }
}

impl std::error::Error for Cut {}

type Answer = Response<UnsyncBoxBody<Bytes, Cut>>;

fn whole(status: StatusCode, body: Vec<u8>) -> Answer {
    let body = Full::new(Bytes::from(body)).map_err(|never: Infallible| match never {});
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = status;
    answer
}

/// Time for which a server that crashed takes no connections.
const DOWN_TIME: Duration = Duration::from_millis(250);

/// Gives a listener on a free port of loopback to a server, which has a thread
/// of its own until the process ends.
fn start<F, R>(server: F) -> SocketAddr
where
    F: FnOnce(TcpListener) -> R + Send + 'static,
    R: Future<Output = ()>,
{
    let (sender, bound) = channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("runtime starts");
        LocalSet::new().block_on(&runtime, async move {
            let address = SocketAddr::from(([127, 0, 0, 1], 0));
            let listener = TcpListener::bind(address).await.expect("port is free");
            // The test that asked may be gone.
            let _ = sender.send(listener.local_addr().expect("socket has an address"));
            server(listener).await;
        });
    });
    bound.recv().expect("server starts")
}

/// Serves on a free port of loopback until the process ends; each `crash`
/// closes the listening socket for a while.
fn serve<F, R>(crash: Arc<Notify>, handle: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Result<Answer, Cut>> + 'static,
{
    start(move |mut listener| async move {
        let address = listener.local_addr().expect("socket has an address");
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = crash.notified() => {
                    drop(listener);
                    sleep(DOWN_TIME).await;
                    listener = TcpListener::bind(address).await.expect("port is free");
                    continue;
                }
            };
            let Ok((stream, _)) = accepted else {
                return;
            };
            spawn_local(serve_connection(stream, handle.clone()));
        }
    })
}

async fn serve_connection<F, R>(stream: TcpStream, handle: F)
where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Result<Answer, Cut>>,
{
    let connection =
        http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(handle));
    // Cut connections are what these servers are for.
    let _ = connection.await;
}

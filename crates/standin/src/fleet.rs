//! The users' platform on loopback: its store, and targets that run requests.
//!
//! Each server has a thread of its own; faults are switches that a test sets
//! while it runs.

mod store;
mod target;

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::thread;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::task::{spawn_local, LocalSet};

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

/// Serves on loopback until the process ends.
fn serve<F, R>(port: u16, handle: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Result<Answer, Cut>> + 'static,
{
    let (sender, bound) = channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("runtime starts");
        LocalSet::new().block_on(&runtime, async move {
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            let listener = TcpListener::bind(address).await.expect("port is free");
            let bound = listener.local_addr().expect("socket has an address");
            // The test that asked may be gone.
            let _ = sender.send(bound);
            while let Ok((stream, _)) = listener.accept().await {
                let handle = handle.clone();
                spawn_local(async move {
                    let connection = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service_fn(handle));
                    // Cut connections are what these servers are for.
                    let _ = connection.await;
                });
            }
        });
    });
    bound.recv().expect("server starts")
}

//! Help between entry VMs: one that can't reach the store has its writes
//! carried out by another.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Method, Request, Response, StatusCode};
use lagoon_gateway::{PeerEnd, Peers, StoreCall, StoreError, StoreReply};
use lagoon_ids::FastMap;
use rand::RngExt;
use tokio::time::timeout;

use crate::body::ReplyBody;
use crate::clock::Clock;
use crate::connection::Connection;
use crate::reply;
use crate::store::StoreClient;

/// Path of a store call that another VM carries out.
pub(crate) const STORE_PATH: &str = "/v1/store";

/// VMs asked for one call.
const ASKED: usize = 3;

/// Longest wait for one VM.
const PEER_WAIT: Duration = Duration::from_millis(400);

/// Largest message.
const MESSAGE_BYTES: usize = 1_200_000;

/// Kept connections to one VM.
const KEPT: usize = 2;

/// What a VM answers.
type Carried = Result<StoreReply, StoreError>;

/// Way to the other VMs.
pub(crate) struct PeerClient {
    clock: Clock,
    pub(crate) peers: RefCell<Peers>,
    idle: RefCell<FastMap<SocketAddr, Vec<Connection>>>,
}

impl PeerClient {
    pub(crate) fn new(clock: Clock, peers: Peers) -> PeerClient {
        PeerClient {
            clock,
            peers: RefCell::new(peers),
            idle: RefCell::default(),
        }
    }

    /// Has another VM carry a call out; `None` if none can.
    pub(crate) async fn carry_out(&self, call: &StoreCall) -> Option<Carried> {
        let message = match postcard::to_allocvec(call) {
            Ok(message) => Bytes::from(message),
            Err(error) => {
                log::error!(error = error.to_string(); "store call not encoded");
                return None;
            }
        };
        let random = rand::rng().random();
        let now_ms = self.clock.now_ms();
        let candidates = self.peers.borrow().candidates(ASKED, random, now_ms);
        let mut lost = None;
        for (name, address) in candidates {
            let carried = timeout(PEER_WAIT, self.ask(address, message.clone())).await;
            let (end, carried) = match carried {
                Ok(Ok(Ok(reply))) => (PeerEnd::Answered, Some(Ok(reply))),
                Ok(Ok(Err(error))) => (PeerEnd::Unable, Some(Err(error))),
                // The other VM may still carry it out.
                Err(_) => {
                    let error = StoreError::NoReply("no answer of a VM in time".into());
                    (PeerEnd::Unreachable, Some(Err(error)))
                }
                Ok(Err(())) => (PeerEnd::Unreachable, None),
            };
            self.peers
                .borrow_mut()
                .note(&name, end, self.clock.now_ms());
            log::debug!(peer = name.as_str(), end = format!("{end:?}"); "store call carried out by another VM");
            match carried {
                Some(Ok(reply)) => return Some(Ok(reply)),
                Some(Err(error @ StoreError::NoReply(_))) => lost = Some(Err(error)),
                Some(Err(_)) | None => {}
            }
        }
        lost
    }

    async fn ask(&self, address: SocketAddr, message: Bytes) -> Result<Carried, ()> {
        let kept = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop);
        let mut connection = match kept.filter(Connection::is_ready) {
            Some(connection) => connection,
            None => Connection::open(address).await.map_err(drop)?,
        };
        let request = Request::builder()
            .method(Method::POST)
            .uri(STORE_PATH)
            .header(HOST, address.to_string())
            .body(Full::new(message))
            .map_err(drop)?;
        let lost = |_| StoreError::NoReply("answer of a VM lost".into());
        let response = match connection.send(request).await {
            Ok(response) => response,
            Err(crate::connection::ExchangeError::NotSent(_)) => return Err(()),
            Err(error) => return Ok(Err(StoreError::NoReply(error.to_string().into()))),
        };
        let body = Limited::new(response.into_body(), MESSAGE_BYTES);
        let body = match body.collect().await.map_err(lost) {
            Ok(body) => body.to_bytes(),
            Err(error) => return Ok(Err(error)),
        };
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        if kept.len() < KEPT {
            kept.push(connection);
        }
        Ok(postcard::from_bytes(&body).unwrap_or_else(|error| {
            Err(StoreError::NoReply(error.to_string().into()))
        }))
    }
}

/// Carries a call of another VM out.
pub(crate) async fn serve_store_call(
    store: Rc<StoreClient>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let body = Limited::new(request.into_body(), MESSAGE_BYTES);
    let Ok(body) = body.collect().await else {
        return reply::text(StatusCode::BAD_REQUEST, "message not read");
    };
    let call: StoreCall = match postcard::from_bytes(&body.to_bytes()) {
        Ok(call) => call,
        Err(error) => return reply::text(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let carried: Carried = if store.is_away() {
        Err(StoreError::NotSent("store is away here too".into()))
    } else {
        store.call(&call).await
    };
    match postcard::to_allocvec(&carried) {
        Ok(message) => Response::new(ReplyBody::whole(message)),
        Err(error) => reply::text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

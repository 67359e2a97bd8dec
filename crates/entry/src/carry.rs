//! Carries attempts of other VMs to targets that these can't reach.
//!
//! The VM that holds the caller's connection (origin) decides everything; the carrier
//! sends one attempt to the target that the origin names, and passes the response on.

pub(crate) mod origin;
mod wire;

use std::net::IpAddr;
use std::rc::Rc;

use futures::stream;
use http::request::Parts;
use http::{HeaderMap, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lagoon_adapter::{decode_response_headers, shorten_deadline, ResponseMetadata};
use lagoon_connections::{BodyLimits, ReadError};
use lagoon_gateway::{TargetEntry, TargetKey};
use lagoon_memory::Holding;
use lagoon_paths::{Decline, Way};

use crate::body::{RequestBody, ResponseBody, TruncatedBody};
use crate::clock::unix_now_ms;
use crate::exchange::{send_direct, DirectExchange, NoExchange, SendOptions};
use crate::forward::forwarded_head;
use crate::response;
use crate::state::DaemonState;

pub use wire::{decode_attempt, write_attempt, CarriedAttempt, CarryEnd};

use wire::target_uri;
pub(crate) use wire::CARRY_PATH;

/// Maximum number of attempts that a VM carries at a time.
const MAX_CARRIED: usize = 256;

/// Counts an attempt as carried until it is dropped.
struct CarriedGuard(Rc<DaemonState>);

impl CarriedGuard {
    /// `None` if this VM carries as many as it can, or is about to stop.
    fn new(state: &Rc<DaemonState>) -> Option<CarriedGuard> {
        let carried = state.carried.get();
        if carried >= MAX_CARRIED || state.stopping.get() {
            return None;
        }
        state.carried.set(carried + 1);
        Some(CarriedGuard(Rc::clone(state)))
    }
}

impl Drop for CarriedGuard {
    fn drop(&mut self) {
        self.0.carried.set(self.0.carried.get() - 1);
    }
}

/// Sends the attempt of another VM to its target, and returns the response. `from` is
/// the address of the VM.
pub(crate) async fn handle_carried(
    state: Rc<DaemonState>,
    from: IpAddr,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    if !state.peer_client.peers.borrow().is_known_ip(from) {
        log::warn!(from = from.to_string(); "attempt to carry comes from no listed VM; refused");
        return response::plain_text(StatusCode::FORBIDDEN, "not a VM");
    }
    let arrived_ms = state.now_ms();
    let (parts, body) = request.into_parts();
    let Some((attempt, uri)) = decode_attempt(&parts.headers).zip(target_uri(&parts.uri)) else {
        return response::plain_text(StatusCode::BAD_REQUEST, "not an attempt");
    };
    let ended = carry(&state, &attempt, uri, parts, body, arrived_ms).await;
    let end = ended.as_ref().err().copied().unwrap_or(CarryEnd::Answered);
    state.metrics.record_carried_for_others(&end.to_string());
    log::info!(
        request = attempt.request_id.as_str(),
        target_id = attempt.target_id.as_str(),
        from = from.to_string(),
        waited_ms = state.now_ms() - arrived_ms;
        "attempt for another VM: {end}"
    );
    ended.unwrap_or_else(CarryEnd::response)
}

/// The response of the target, or why there is none.
async fn carry(
    state: &Rc<DaemonState>,
    attempt: &CarriedAttempt,
    uri: Uri,
    parts: Parts,
    mut body: Incoming,
    arrived_ms: u64,
) -> Result<Response<ResponseBody>, CarryEnd> {
    let no_room = CarryEnd::Declined(Decline::NoRoom);
    let guard = CarriedGuard::new(state).ok_or(no_room)?;
    let sent_unix_ms = unix_now_ms();
    let (key, entry) = find_target(state, attempt)?;
    let address = entry.address;
    let (way, _) = state.way_to(key, address);
    if way == Way::Carried {
        return Err(no_path(state));
    }
    let body_memory = state.memory.hold();
    let limits = BodyLimits::of_size(usize::MAX);
    let body = match state.memory.read(&body_memory, &mut body, limits).await {
        Ok(body) => body,
        Err(ReadError::NoMemory) => {
            state.memory.record_exhausted("carried body");
            return Err(no_room);
        }
        // The origin has left.
        Err(ReadError::Broken(_) | ReadError::TooLong | ReadError::TimedOut) => {
            return Err(CarryEnd::NotSent)
        }
    };
    let options = SendOptions {
        key,
        address,
        may_open: way == Way::Direct,
        is_repeatable: attempt.is_repeatable,
    };
    let build = || {
        // The target may have been drained while the connection was opened.
        find_target(state, attempt).ok()?;
        let spent_ms = state.now_ms() - arrived_ms;
        let mut request = Request::new(RequestBody::new([body.clone()]));
        *request.method_mut() = parts.method.clone();
        *request.uri_mut() = uri.clone();
        *request.headers_mut() = target_headers(&parts.headers, spent_ms);
        Some(request)
    };
    let exchange = match send_direct(state, options, build).await {
        Ok(exchange) => exchange,
        Err(NoExchange::NoPath { .. })
            if state.paths.borrow().reaches_others(key, state.now_ms()) =>
        {
            return Err(CarryEnd::TargetDown)
        }
        Err(NoExchange::NoPath { .. } | NoExchange::NoKeptConnection) => {
            return Err(no_path(state))
        }
        Err(NoExchange::Withdrawn) => return Err(CarryEnd::TargetLeaving),
        Err(NoExchange::NotSent(_)) => return Err(CarryEnd::NotSent),
        Err(NoExchange::Interrupted(_) | NoExchange::PathLost) => return Err(CarryEnd::Broken),
    };
    let metadata = decode_response_headers(exchange.response.headers());
    if metadata.is_leaving {
        state.record_leaving(&attempt.request_id, key, &entry, sent_unix_ms);
    }
    Ok(pass_on(exchange, &metadata, guard, body_memory))
}

fn find_target(
    state: &DaemonState,
    attempt: &CarriedAttempt,
) -> Result<(TargetKey, TargetEntry), CarryEnd> {
    let targets = state.targets.borrow();
    let found = targets.find_run(&attempt.target_id, attempt.run);
    let target = found.and_then(|(key, _)| Some((key, targets.get(key)?)));
    match target {
        Some((_, target)) if !target.accepts_requests() => Err(CarryEnd::TargetLeaving),
        Some((key, target)) => Ok((key, target.entry.clone())),
        None => Err(CarryEnd::Declined(Decline::UnknownTarget)),
    }
}

/// Why this VM, which has no path to the target, doesn't carry.
fn no_path(state: &DaemonState) -> CarryEnd {
    CarryEnd::Declined(match state.paths.borrow().is_cut_off() {
        true => Decline::Isolated,
        false => Decline::NoPath,
    })
}

/// Headers of the attempt as the target gets them.
fn target_headers(received: &HeaderMap, spent_ms: u64) -> HeaderMap {
    let mut headers = received.clone();
    wire::remove_attempt(&mut headers);
    shorten_deadline(&mut headers, spent_ms);
    headers
}

/// Response of a target that is passed on to the origin.
struct Passage {
    exchange: DirectExchange,
    keep_alive_s: Option<u64>,
    closes_connection: bool,
    _guard: CarriedGuard,
    _body_memory: Holding,
}

/// Passes a response on, always in chunks: the last one tells the origin that the
/// target ended its response in order, also one without a length.
fn pass_on(
    mut exchange: DirectExchange,
    metadata: &ResponseMetadata,
    guard: CarriedGuard,
    body_memory: Holding,
) -> Response<ResponseBody> {
    let head = std::mem::take(exchange.response.headers_mut());
    let mut response = Response::new(());
    *response.status_mut() = exchange.response.status();
    *response.headers_mut() = head;
    let mut response = forwarded_head(response);
    CarryEnd::Answered.write(response.headers_mut());
    let passage = Passage {
        exchange,
        keep_alive_s: metadata.keep_alive_s,
        closes_connection: metadata.closes_connection || metadata.is_leaving,
        _guard: guard,
        _body_memory: body_memory,
    };
    let chunks = stream::unfold(Some(passage), |passage| async {
        let mut passage = passage?;
        loop {
            match passage.exchange.response.body_mut().frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    passage.exchange.guard.record_bytes();
                    return Some((Ok(data), Some(passage)));
                }
                Some(Err(error)) => {
                    log::info!(error = error.to_string(); "carried response broke off");
                    passage.exchange.guard.record_broken();
                    return Some((Err(TruncatedBody), None));
                }
                None => {
                    passage.release();
                    return None;
                }
            }
        }
    });
    response.map(|()| ResponseBody::stream(chunks))
}

impl Passage {
    fn release(self) {
        if !self.closes_connection {
            self.exchange.pooled.release(self.keep_alive_s);
        }
    }
}

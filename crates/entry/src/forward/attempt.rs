//! One try of a request at one target.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lagoon_adapter::{
    decode_response_headers, is_end_to_end, target_request_headers, AttemptHeaders,
    ResponseMetadata,
};
use lagoon_gateway::{AttemptFailure, RouteKind, TargetEntry, TargetKey};

use crate::connection::ExchangeError;
use crate::forward::Call;
use crate::pool::Lease;
use crate::shared::Shared;

/// Longest answer that is read as a whole before it is passed on.
const WHOLE_BYTES: usize = 8_000_000;

/// Time at a target after which a request that its caller or its time gave
/// up counts against the target.
const GIVEN_UP_MS: u64 = 800;

/// Connections that were closed while idle before a new one is opened.
const STALE_CONNECTIONS: u32 = 2;
/// Counts a request at its target.
pub(crate) struct Placed {
    shared: Rc<Shared>,
    key: TargetKey,
    began_ms: u64,
    /// When the last event of its stream came.
    event_ms: Option<u64>,
    /// Whether the target's last word on it is known.
    is_ended: bool,
}

impl Placed {
    fn new(shared: &Rc<Shared>, key: TargetKey) -> Placed {
        let began_ms = shared.now_ms();
        shared.targets.borrow_mut().request_started(key, began_ms);
        Placed {
            shared: Rc::clone(shared),
            key,
            began_ms,
            event_ms: None,
            is_ended: false,
        }
    }

    pub(crate) fn progressed(&self) {
        let now_ms = self.shared.now_ms();
        self.shared
            .targets
            .borrow_mut()
            .record_progress(self.key, now_ms);
    }

    /// Events of its stream came.
    pub(crate) fn brought(&mut self, events: u64) {
        if events == 0 {
            return;
        }
        let now_ms = self.shared.now_ms();
        if let Some(before_ms) = self.event_ms.replace(now_ms) {
            let gap_ms = (now_ms - before_ms) as f64 / events as f64;
            let mut targets = self.shared.targets.borrow_mut();
            targets.record_event_interval(self.key, gap_ms, now_ms);
        }
    }

    /// The whole answer came.
    pub(crate) fn answered(&mut self, status: StatusCode) {
        let now_ms = self.shared.now_ms();
        let is_good = !status.is_server_error();
        let mut targets = self.shared.targets.borrow_mut();
        let took_ms = now_ms - self.began_ms;
        targets.record_response(self.key, is_good, took_ms, now_ms);
        self.is_ended = true;
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        let now_ms = self.shared.now_ms();
        let mut targets = self.shared.targets.borrow_mut();
        targets.request_ended(self.key);
        if !self.is_ended && now_ms >= self.began_ms + GIVEN_UP_MS {
            targets.record_abandoned(self.key);
        }
    }
}

/// Answer of a target.
pub(crate) enum Answer {
    /// Known as a whole.
    Whole(Response<Bytes>),
    /// Events follow.
    Stream(Box<OpenStream>),
}

/// Stream whose head is here.
pub(crate) struct OpenStream {
    pub(crate) head: Response<()>,
    pub(crate) body: Incoming,
    pub(crate) lease: Lease,
    pub(crate) placed: Placed,
    pub(crate) keep_alive_s: Option<u64>,
    pub(crate) is_last: bool,
    pub(crate) target: TargetKey,
}

/// Try that has no answer.
pub(crate) struct Failed {
    pub(crate) failure: AttemptFailure,
    pub(crate) detail: String,
    /// Whether the target can't be reached.
    pub(crate) is_unreachable: bool,
}

impl Failed {
    pub(crate) fn broken<D>(detail: D) -> Failed
    where
        D: ToString,
    {
        Failed {
            failure: AttemptFailure::Interrupted,
            detail: detail.to_string(),
            is_unreachable: false,
        }
    }
}

impl Call {
    /// Sends the request to one target.
    pub(crate) async fn try_target(
        &mut self,
        key: TargetKey,
        entry: &TargetEntry,
        last_event_id: Option<u64>,
    ) -> Result<Answer, Failed> {
        let mut placed = Placed::new(&self.shared, key);
        let mut stale = 0;
        let (lease, response) = loop {
            let pool = &self.shared.pool;
            let mut lease = pool
                .lease(key, entry.address)
                .await
                .map_err(|error| Failed {
                    failure: AttemptFailure::NotSent,
                    detail: error.to_string(),
                    is_unreachable: true,
                })?;
            let request = self.request(entry, last_event_id);
            self.may_run = true;
            match lease.connection.send(request).await {
                Ok(response) => break (lease, response),
                Err(ExchangeError::NotSent(_)) if lease.is_reused && stale < STALE_CONNECTIONS => {
                    stale += 1;
                }
                Err(ExchangeError::NotSent(detail)) => {
                    return Err(Failed {
                        failure: AttemptFailure::NotSent,
                        detail,
                        is_unreachable: false,
                    });
                }
                Err(ExchangeError::Broken(detail)) => return Err(Failed::broken(detail)),
            }
        };
        let (head, body) = response.into_parts();
        let facts = decode_response_headers(&head.headers);
        self.check(key, head.status, &facts)?;
        let head = Response::from_parts(head, ());
        let is_stream = self.route.kind == RouteKind::Streaming && head.status().is_success();
        if is_stream {
            return Ok(Answer::Stream(Box::new(OpenStream {
                head,
                body,
                lease,
                placed,
                keep_alive_s: facts.keep_alive_s,
                is_last: facts.closes_connection,
                target: key,
            })));
        }
        let body = Limited::new(body, WHOLE_BYTES)
            .collect()
            .await
            .map_err(Failed::broken)?
            .to_bytes();
        placed.answered(head.status());
        if !facts.closes_connection {
            lease.keep(facts.keep_alive_s);
        }
        Ok(Answer::Whole(passed_on(head).map(|()| body)))
    }

    /// Judges the head of an answer.
    fn check(
        &self,
        key: TargetKey,
        status: StatusCode,
        facts: &ResponseMetadata,
    ) -> Result<(), Failed> {
        let mut targets = self.shared.targets.borrow_mut();
        if let Some(load) = facts.load {
            targets.record_load(key, load, self.shared.now_ms());
        }
        let own = facts.request_id.as_ref();
        if own.is_some_and(|id| *id != self.facts.request_id) {
            return Err(Failed::broken("answer to another request"));
        }
        let not_run = |failure| Failed {
            failure,
            detail: format!("status {}", status.as_u16()),
            is_unreachable: false,
        };
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Err(not_run(AttemptFailure::OtherInstance));
        }
        if facts.is_not_executed && status != StatusCode::BAD_REQUEST {
            return Err(not_run(AttemptFailure::NotExecuted));
        }
        if status.is_success() && !facts.has_target_stamp {
            return Err(Failed::broken("answer without signature"));
        }
        if status.is_informational() {
            return Err(Failed::broken("informational answer"));
        }
        Ok(())
    }

    fn request(&self, entry: &TargetEntry, last_event_id: Option<u64>) -> Request<Full<Bytes>> {
        let left_ms = self.until_ms.saturating_sub(self.shared.now_ms());
        let has_body = !self.body.is_empty() || self.parts.method != http::Method::GET;
        let sending = AttemptHeaders {
            target_id: &entry.id,
            deadline_ms: left_ms.max(1),
            last_event_id,
            body_bytes: has_body.then_some(self.body.len()),
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        *request.headers_mut() = target_request_headers(&self.parts.headers, &sending);
        request
    }
}

/// Head of a target's answer as the caller gets it.
pub(crate) fn passed_on(mut head: Response<()>) -> Response<()> {
    *head.version_mut() = http::Version::HTTP_11;
    head.extensions_mut().clear();
    let headers = std::mem::take(head.headers_mut());
    let kept = headers
        .iter()
        .filter(|(name, _)| is_end_to_end(name, &[]) && *name != http::header::CONTENT_LENGTH);
    for (name, value) in kept {
        head.headers_mut().append(name.clone(), value.clone());
    }
    head
}

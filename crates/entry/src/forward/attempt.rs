//! One attempt to run a request at one target.

use std::rc::Rc;

use bytes::Bytes;
use compact_str::CompactString;
use hyper::body::{Body, Incoming};
use hyper::{Request, Response, StatusCode};
use lagoon_adapter::{
    decode_response_headers, is_end_to_end, promises_not_executed, target_request_headers,
    AttemptHeaders, ResponseMetadata,
};
use lagoon_connections::{BodyLimits, ReadError};
use lagoon_gateway::{
    AttemptFailure, RouteKind, SampleKind, TargetEntry, TargetKey, UnfinishedAttempt,
};
use lagoon_ids::hash64;
use lagoon_memory::HoldingWatch;
use lagoon_streams::SoftwareId;

use crate::body::RequestBody;
use crate::clock::unix_now_ms;
use crate::exchange::NoExchange;
use crate::forward::sending::ResponseConnection;
use crate::forward::ForwardedRequest;
use crate::state::DaemonState;

/// Maximum size of a response that isn't a stream, which is buffered before it
/// is forwarded. A larger one counts as interrupted.
const MAX_BUFFERED_BYTES: usize = 8_000_000;

/// An attempt that is abandoned, by the caller or at the deadline, counts
/// against its target if it has lasted this long.
const ABANDONED_MIN_MS: u64 = 800;

/// Counts a request as in flight at its target until it is dropped.
pub(crate) struct InFlightGuard {
    state: Rc<DaemonState>,
    key: TargetKey,
    started_ms: u64,
    /// Time of the last event of the response stream; `None` before the first.
    last_event_ms: Option<u64>,
    /// Whether the response was received completely.
    is_complete: bool,
    /// Whether the target may be executing the request.
    pub(super) may_run: bool,
    request_id: CompactString,
    fingerprint: u64,
    /// Kind and size of a request whose response is no stream.
    sample_kind: Option<SampleKind>,
}

impl InFlightGuard {
    fn new(request: &ForwardedRequest, key: TargetKey) -> InFlightGuard {
        let state = &request.state;
        let started_ms = state.now_ms();
        state.targets.borrow_mut().request_started(key, started_ms);
        InFlightGuard {
            may_run: false,
            request_id: request.metadata.request_id.clone(),
            fingerprint: request.fingerprint,
            sample_kind: request.sample_kind(),
            state: Rc::clone(state),
            key,
            started_ms,
            last_event_ms: None,
            is_complete: false,
        }
    }

    /// Target of the attempt.
    pub(super) fn target(&self) -> TargetKey {
        self.key
    }

    pub(crate) fn record_progress(&self) {
        let now_ms = self.state.now_ms();
        self.state
            .targets
            .borrow_mut()
            .record_progress(self.key, now_ms);
    }

    /// Records that events of the stream arrived, with their mean interval
    /// since the previous arrival, if there was one.
    pub(crate) fn record_events(&mut self, events: u64) {
        if events == 0 {
            return;
        }
        let now_ms = self.state.now_ms();
        if let Some(previous_ms) = self.last_event_ms.replace(now_ms) {
            let interval_ms = (now_ms - previous_ms) as f64 / events as f64;
            let mut targets = self.state.targets.borrow_mut();
            targets.record_event_interval(self.key, interval_ms, now_ms);
        }
    }

    /// Records that the response was received completely, and whether it shows that the
    /// target failed.
    pub(crate) fn record_response(&mut self, status: StatusCode, is_failure: bool) {
        let now_ms = self.state.now_ms();
        let mut targets = self.state.targets.borrow_mut();
        let took_ms = now_ms - self.started_ms;
        targets.record_response(self.key, !is_failure, took_ms, now_ms);
        if let Some(kind) = self.sample_kind {
            let took_ms = took_ms as f64;
            targets.record_sample(self.key, kind, took_ms, status.is_success(), now_ms);
        }
        self.is_complete = true;
        self.state.crash_tracker.record_completed(self.fingerprint);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let now_ms = self.state.now_ms();
        // A path that is lost from here says nothing of the target.
        let is_path_lost = self.state.paths.borrow().is_lost(self.key);
        let mut targets = self.state.targets.borrow_mut();
        targets.request_ended(self.key);
        if self.may_run && !self.is_complete && !is_path_lost {
            let attempt = UnfinishedAttempt {
                request_id: self.request_id.clone(),
                fingerprint: self.fingerprint,
                ended_ms: now_ms,
            };
            targets.record_unfinished(self.key, attempt);
        }
        let is_late = now_ms >= self.started_ms + ABANDONED_MIN_MS;
        if !self.is_complete && is_late && !is_path_lost {
            targets.record_abandoned(self.key);
        }
    }
}

pub(crate) enum TargetResponse {
    /// Response whose body was received completely.
    Full(Response<Bytes>),
    /// Event stream, whose body is still to be read.
    Stream(Box<ResponseStream>),
}

/// Event stream of a target, after its head was received.
pub(crate) struct ResponseStream {
    pub(crate) head: Response<()>,
    pub(crate) body: Incoming,
    pub(crate) connection: ResponseConnection,
    pub(crate) in_flight: InFlightGuard,
    /// Seconds after which the target closes the connection if it is idle;
    /// `None` if the target announces no time.
    pub(crate) keep_alive_s: Option<u64>,
    pub(crate) closes_connection: bool,
    pub(crate) target: TargetKey,
    pub(crate) target_id: CompactString,
    /// Version of the target's software by its entry, as read before the attempt.
    pub(crate) software_version: CompactString,
    pub(crate) software: SoftwareId,
}

/// Attempt without a usable response.
pub(crate) struct FailedAttempt {
    pub(crate) failure: AttemptFailure,
    pub(crate) detail: String,
    /// Whether no connection to the target could be opened.
    pub(crate) is_unreachable: bool,
    /// Whether the path was lost, which says nothing of the target.
    pub(crate) is_path_lost: bool,
    /// Whether there is no path, and no VM that carries the attempt.
    pub(crate) has_no_carrier: bool,
    /// Whether another VM knows that the target takes no more requests.
    pub(crate) is_target_leaving: bool,
}

impl FailedAttempt {
    pub(crate) fn interrupted<D>(detail: D) -> FailedAttempt
    where
        D: ToString,
    {
        FailedAttempt {
            failure: AttemptFailure::Interrupted,
            ..FailedAttempt::not_sent(detail)
        }
    }

    pub(crate) fn not_sent<D>(detail: D) -> FailedAttempt
    where
        D: ToString,
    {
        FailedAttempt {
            failure: AttemptFailure::NotSent,
            detail: detail.to_string(),
            is_unreachable: false,
            is_path_lost: false,
            has_no_carrier: false,
            is_target_leaving: false,
        }
    }

    /// Attempt that may have run, whose response has the status of a refusal.
    fn failed(status: StatusCode) -> FailedAttempt {
        let status = status.as_u16();
        FailedAttempt {
            failure: AttemptFailure::Failed,
            ..FailedAttempt::not_sent(format!(
                "status {status} without a statement that the request was not executed"
            ))
        }
    }

    pub(super) fn unreachable<D>(detail: D) -> FailedAttempt
    where
        D: ToString,
    {
        FailedAttempt {
            is_unreachable: true,
            ..FailedAttempt::not_sent(detail)
        }
    }
}

impl From<NoExchange> for FailedAttempt {
    fn from(no_exchange: NoExchange) -> FailedAttempt {
        match no_exchange {
            NoExchange::NoPath { error, .. } => FailedAttempt::unreachable(error),
            NoExchange::NoKeptConnection => FailedAttempt::unreachable("no kept connection"),
            NoExchange::Withdrawn => {
                FailedAttempt::not_sent("permit expired, or target takes no more requests")
            }
            NoExchange::NotSent(detail) => FailedAttempt::not_sent(detail),
            NoExchange::Interrupted(detail) => FailedAttempt::interrupted(detail),
            NoExchange::PathLost => FailedAttempt {
                is_path_lost: true,
                ..FailedAttempt::interrupted("path to the target is lost")
            },
        }
    }
}

impl ForwardedRequest {
    /// Kind of the time to the response, by route and size; `None` for a stream, whose
    /// events are measured.
    fn sample_kind(&self) -> Option<SampleKind> {
        let is_stream = self.route.kind == RouteKind::Streaming;
        (!is_stream).then(|| SampleKind::Response {
            kind: hash64(self.route.name.as_bytes()) as u32,
            bytes: self.body.len() as u64,
        })
    }

    /// Sends the request to one target. Returns a complete response, or a
    /// stream once its head was received. With `last_event_id`, the target
    /// resumes the stream after that event.
    pub(crate) async fn attempt(
        &mut self,
        key: TargetKey,
        entry: &TargetEntry,
        last_event_id: Option<u64>,
    ) -> Result<TargetResponse, FailedAttempt> {
        let sent_unix_ms = unix_now_ms();
        self.target_address = Some(entry.address);
        let permit = self.permit.take();
        let mut in_flight = InFlightGuard::new(self, key);
        let sending = self.send(key, entry, last_event_id, permit, &mut in_flight);
        let (response, connection) = sending.await?;
        let (head, body) = response.into_parts();
        let metadata = decode_response_headers(&head.headers);
        let checked = self.check_head(key, head.status, &metadata);
        if metadata.is_leaving && is_own_response(&checked) {
            let request_id = &self.metadata.request_id;
            self.state
                .record_leaving(request_id, key, entry, sent_unix_ms);
        }
        if is_own_response(&checked) {
            self.record_limit(key, metadata.limit_per_s, in_flight.started_ms);
        }
        if let Err(failed) = checked {
            in_flight.may_run = !failed.failure.is_not_executed();
            return Err(failed);
        }
        let head = Response::from_parts(head, ());
        let is_stream = self.route.kind == RouteKind::Streaming && head.status().is_success();
        if is_stream {
            return Ok(TargetResponse::Stream(Box::new(ResponseStream {
                head,
                body,
                connection,
                in_flight,
                keep_alive_s: metadata.keep_alive_s,
                closes_connection: metadata.closes_connection || metadata.is_leaving,
                target: key,
                target_id: entry.id.clone(),
                software_version: entry.software_version.clone(),
                software: SoftwareId::new(&entry.service, &entry.software_version),
            })));
        }
        let (body, watch) = self.read_response_body(body, &connection).await?;
        let status = head.status();
        // A refusal that the target states has been rejected above.
        let is_unstated_refusal = promises_not_executed(status, self.metadata.model_call.is_some());
        in_flight.record_response(status, status.is_server_error() || is_unstated_refusal);
        connection.release(
            metadata.keep_alive_s,
            metadata.closes_connection || metadata.is_leaving,
        );
        if is_unstated_refusal {
            return Err(FailedAttempt::failed(status));
        }
        let mut response = forwarded_head(head).map(|()| body);
        response.extensions_mut().insert(watch);
        Ok(TargetResponse::Full(response))
    }

    /// Reads the body of a response that isn't a stream, within the memory for
    /// bodies. The handle is for the connection on which it is sent.
    async fn read_response_body(
        &self,
        mut body: Incoming,
        connection: &ResponseConnection,
    ) -> Result<(Bytes, HoldingWatch), FailedAttempt> {
        let memory = &self.state.memory;
        let holding = memory.hold_pinned();
        let limits = BodyLimits::of_size(MAX_BUFFERED_BYTES);
        let declared_bytes = body.size_hint().lower();
        let reading = async {
            // A response that has begun isn't given up for the others; the target waits.
            if declared_bytes <= MAX_BUFFERED_BYTES as u64 && memory.can_hold(declared_bytes) {
                memory.wait_for_room(&holding, declared_bytes).await;
            }
            memory.read(&holding, &mut body, limits).await
        };
        let read = tokio::select! {
            biased;
            read = reading => read,
            hopeless = connection.until_hopeless(), if self.route.is_repeatable() => {
                return Err(hopeless.into());
            }
        };
        match read {
            // The caller may read slowly: the bytes are counted until they are sent.
            Ok(bytes) => {
                let watch = holding.watch();
                Ok((holding.bind(bytes), watch))
            }
            Err(ReadError::Broken(detail)) => {
                connection.record_broken();
                Err(FailedAttempt::interrupted(detail))
            }
            Err(ReadError::TooLong) => Err(FailedAttempt::interrupted("response too long")),
            Err(ReadError::TimedOut) => Err(FailedAttempt::interrupted("response took too long")),
            Err(ReadError::NoMemory) => {
                memory.record_exhausted("response");
                Err(FailedAttempt::interrupted("no memory for the response"))
            }
        }
    }

    /// Rejects a response that belongs to another request, comes from another
    /// instance, lacks the target's stamp, or says that the request was not
    /// executed. Records the load that the response reports, even if it is
    /// rejected.
    fn check_head(
        &self,
        key: TargetKey,
        status: StatusCode,
        metadata: &ResponseMetadata,
    ) -> Result<(), FailedAttempt> {
        let mut targets = self.state.targets.borrow_mut();
        if let Some(load) = metadata.load {
            targets.record_load(key, load, self.state.now_ms());
        }
        let response_id = metadata.request_id.as_ref();
        if response_id.is_some_and(|id| *id != self.metadata.request_id) {
            return Err(FailedAttempt::interrupted("response to another request"));
        }
        let not_executed = |failure| FailedAttempt {
            failure,
            ..FailedAttempt::not_sent(format!("status {}", status.as_u16()))
        };
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Err(not_executed(AttemptFailure::OtherInstance));
        }
        if metadata.is_not_executed && status != StatusCode::BAD_REQUEST {
            return Err(not_executed(AttemptFailure::NotExecuted));
        }
        if status.is_success() && !metadata.has_target_stamp {
            return Err(FailedAttempt::interrupted(
                "response without the target's stamp",
            ));
        }
        if status.is_informational() {
            return Err(FailedAttempt::interrupted("informational status"));
        }
        Ok(())
    }

    /// Records the limit that the target states, or that it states none.
    fn record_limit(&self, key: TargetKey, per_s: Option<f64>, sent_ms: u64) {
        let now_ms = self.state.now_ms();
        let mut targets = self.state.targets.borrow_mut();
        let Some(change) = targets.record_limit(key, per_s, sent_ms, now_ms) else {
            return;
        };
        self.state
            .metrics
            .set_limited_targets(targets.limited_count());
        log::info!(
            request = self.metadata.request_id.as_str(),
            target_id = self.target_id.as_str(),
            change = change.to_string(),
            limit_per_s = per_s.unwrap_or(-1.0),
            sent_before_ms = now_ms - sent_ms;
            "limit of a target"
        );
    }

    pub(super) fn build_request(
        &self,
        entry: &TargetEntry,
        last_event_id: Option<u64>,
    ) -> Request<RequestBody> {
        let left_ms = self.deadline_ms.saturating_sub(self.state.now_ms());
        let chain_bytes: usize = self.chain.iter().map(Bytes::len).sum();
        let body_bytes = chain_bytes + self.body.len();
        let has_body = body_bytes > 0 || self.parts.method != http::Method::GET;
        let headers = AttemptHeaders {
            target_id: &entry.id,
            deadline_ms: left_ms.max(1),
            last_event_id,
            body_bytes: has_body.then_some(body_bytes),
            account: self.identity.headers(),
        };
        let mut request = Request::new(RequestBody::new(
            self.chain.iter().chain([&self.body]).cloned(),
        ));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        *request.headers_mut() = target_request_headers(&self.parts.headers, &headers);
        request
    }
}

/// Whether a checked response is that of the target to this request.
fn is_own_response(checked: &Result<(), FailedAttempt>) -> bool {
    match checked {
        Ok(()) => true,
        Err(failed) => failed.failure == AttemptFailure::NotExecuted,
    }
}

/// Head of a target's response as it is forwarded to the caller: without
/// hop-by-hop headers and `Content-Length`.
pub(crate) fn forwarded_head(mut head: Response<()>) -> Response<()> {
    *head.version_mut() = http::Version::HTTP_11;
    head.extensions_mut().clear();
    let headers = std::mem::take(head.headers_mut());
    let forwarded = headers
        .iter()
        .filter(|(name, _)| is_end_to_end(name, &[]) && *name != http::header::CONTENT_LENGTH);
    for (name, value) in forwarded {
        head.headers_mut().append(name.clone(), value.clone());
    }
    head
}

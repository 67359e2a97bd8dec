//! Relays event streams to callers, and resumes them after an interruption.

use std::time::Duration;

use bytes::Bytes;
use futures::future::OptionFuture;
use futures::stream;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use lagoon_gateway::{EventReader, RetryDecision, TargetHash, TargetKey};
use lagoon_memory::{Exhausted, Holding};
use lagoon_turns::TurnOutput;
use tokio::sync::oneshot;
use tokio::time::{timeout_at, Instant};

use crate::body::{ResponseBody, TruncatedBody};
use crate::forward::{
    forwarded_head, FailedAttempt, ForwardedRequest, ResponseStream, TargetResponse,
};
use crate::ledger::TokenReservation;
use crate::unanswered::Cause;

/// Events for which tokens must be left; with fewer, further ones are reserved.
const EVENTS_AHEAD: u64 = 2;

/// Maximum time that an event waits until tokens for it are reserved. Callers give a
/// stream up after a pause of about two seconds.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(1_000);

/// Bytes that may wait for the caller to read before no more are taken from the target.
const MAX_UNSENT_BYTES: usize = 32_768;

/// Stream that is being relayed to a caller. Dropping it before the end of the
/// stream closes the connection to the target, which then stops the execution.
pub(crate) struct Relay {
    request: ForwardedRequest,
    /// `None` after the end of the stream, and while it is being resumed.
    stream: Option<ResponseStream>,
    reader: EventReader,
    /// Target that made the first event; `None` before it.
    begun_at: Option<TargetHash>,
    /// Data of the relayed events, if the route keeps turns.
    output: Option<TurnOutput>,
    /// Bytes of the output, and of an event that has not arrived whole.
    held: Holding,
    /// Reservation of further tokens in progress, for a call that was granted fewer
    /// than its maximum.
    extension: Option<oneshot::Receiver<Option<TokenReservation>>>,
    status: StatusCode,
    /// How the relay ends, for the log line that is written on drop; an error until
    /// the stream has ended.
    outcome: Result<(), Cause>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        let why = match self.outcome {
            Ok(()) => "streamed".to_owned(),
            Err(Cause::CallerLeft) => self.request.caller.lost_cause().to_string(),
            Err(cause) => cause.to_string(),
        };
        self.request.record_response(self.status, &why);
    }
}

impl Relay {
    /// Returns the response whose body relays the stream.
    pub(crate) fn start(
        request: ForwardedRequest,
        mut stream: ResponseStream,
    ) -> Response<ResponseBody> {
        let status = stream.head.status();
        request.record_serving_target(stream.target);
        let head = forwarded_head(std::mem::take(&mut stream.head));
        let relay = Relay {
            reader: EventReader::resume_after(request.metadata.last_event_id),
            begun_at: None,
            output: request.route.keeps_turns.then(TurnOutput::default),
            held: request.state.memory.hold(),
            request,
            stream: Some(stream),
            extension: None,
            status,
            outcome: Err(Cause::CallerLeft),
        };
        let chunks = stream::unfold(Some(relay), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Some(Ok(chunk)) => Some((Ok(chunk), Some(relay))),
                Some(Err(error)) => Some((Err(error), None)),
                None => None,
            }
        });
        head.map(|()| ResponseBody::stream(chunks))
    }

    /// Next bytes for the caller; `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, TruncatedBody>> {
        self.next_chunk().await.transpose()
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, TruncatedBody> {
        loop {
            if self.reader.is_oversized() {
                self.interrupted("event without end").await?;
            }
            self.wait_for_caller().await?;
            let deadline = self.request.deadline();
            let Some(stream) = self.stream.as_mut() else {
                return Ok(None);
            };
            let is_resumable = self.request.route.is_repeatable();
            let is_extended = self.extension.is_some();
            let frame = tokio::select! {
                biased;
                () = self.held.withdrawn() => return Err(self.memory_exhausted()),
                frame = timeout_at(deadline, stream.body.frame()) => frame,
                extension = OptionFuture::from(self.extension.as_mut()), if is_extended => {
                    self.extend(extension.and_then(Result::ok).flatten());
                    continue;
                }
                hopeless = stream.connection.until_hopeless(), if is_resumable => {
                    self.resume_or_fail(hopeless.into()).await?;
                    continue;
                }
            };
            let Ok(frame) = frame else {
                return Err(self.cut_off(Cause::OutOfTime));
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    stream.connection.record_bytes();
                    stream.in_flight.record_progress();
                    let events = self.reader.push(&data);
                    stream.in_flight.record_events(events.count);
                    if !self.use_tokens(events.count).await {
                        return Err(self.cut_off(Cause::TokensUsedUp));
                    }
                    if events.count > 0 && self.reader.event_count() == events.count {
                        self.record_begin();
                    }
                    if let Some(output) = &mut self.output {
                        output.push_events(&events.bytes);
                    }
                    if self.hold_bytes().is_err() {
                        return Err(self.memory_exhausted());
                    }
                    if !events.bytes.is_empty() {
                        return Ok(Some(events.bytes.into()));
                    }
                }
                None if self.reader.is_at_event_boundary() => {
                    self.complete();
                    return self.keep_turn().await.map(|()| None);
                }
                None => self.interrupted("stream ended within an event").await?,
                Some(Err(error)) => {
                    stream.connection.record_broken();
                    self.interrupted(&error.to_string()).await?;
                }
            }
        }
    }

    /// Waits until the caller has read enough of what was sent.
    async fn wait_for_caller(&mut self) -> Result<(), TruncatedBody> {
        let sent = self.request.caller.until_sent(MAX_UNSENT_BYTES);
        tokio::select! {
            biased;
            () = self.held.withdrawn() => Err(self.memory_exhausted()),
            sent = timeout_at(self.request.deadline(), sent) => {
                sent.map_err(|_| self.cut_off(Cause::OutOfTime))
            }
        }
    }

    /// Counts what is kept of the stream.
    fn hold_bytes(&self) -> Result<(), Exhausted> {
        let output_bytes = self.output.as_ref().map_or(0, TurnOutput::capacity_bytes);
        let bytes = output_bytes + self.reader.partial_bytes();
        let memory = &self.request.state.memory;
        memory.set_in_progress(&self.held, bytes)
    }

    fn memory_exhausted(&mut self) -> TruncatedBody {
        self.request.state.memory.record_exhausted("stream");
        self.output = None;
        self.cut_off(Cause::NoMemory)
    }

    /// Records why the response ends here.
    fn cut_off(&mut self, cause: Cause) -> TruncatedBody {
        self.outcome = Err(cause);
        self.request.caller.set_cause(cause);
        TruncatedBody
    }

    /// Records that the first event is about to be relayed, and the version it has.
    fn record_begin(&mut self) {
        let Some(stream) = &self.stream else {
            return;
        };
        self.begun_at = Some(TargetHash::of_id(&stream.target_id));
        self.request.bind_version(stream);
        let metadata = &self.request.metadata;
        let event = match metadata.last_event_id {
            Some(_) => "taken up",
            None => "begun",
        };
        self.request.state.metrics.record_stream(event);
        log::info!(
            request = metadata.request_id.as_str(),
            target_id = stream.target_id.as_str(),
            software_version = stream.software_version.as_str(),
            stream = metadata.resumed_stream.as_deref().unwrap_or("-"),
            last_event_id = metadata.last_event_id.map_or(-1, |id| id as i64);
            "stream {event}"
        );
    }

    /// Resumes the stream after an interruption by the target; fails if that is
    /// impossible.
    async fn interrupted(&mut self, detail: &str) -> Result<(), TruncatedBody> {
        self.resume_or_fail(FailedAttempt::interrupted(detail))
            .await
    }

    /// Resumes the stream after an interruption; fails if that is impossible.
    async fn resume_or_fail(&mut self, failed: FailedAttempt) -> Result<(), TruncatedBody> {
        let Some(stream) = self.stream.take() else {
            return Err(TruncatedBody);
        };
        let target = stream.target;
        let software_version = stream.software_version.clone();
        // The target must see the connection closed before it gets the next
        // attempt.
        drop(stream);
        let is_resumed = self.resume(target, failed).await;
        let event = if is_resumed { "resumed" } else { "not resumed" };
        self.request.state.metrics.record_stream(event);
        log::info!(
            request = self.request.metadata.request_id.as_str(),
            software_version = software_version.as_str(),
            events = self.reader.event_count(),
            next_target_id = self.stream.as_ref().map_or("-", |stream| stream.target_id.as_str()),
            next_software_version = self.stream.as_ref().map_or("-", |stream| stream.software_version.as_str());
            "interrupted stream {event}"
        );
        if is_resumed {
            return Ok(());
        }
        Err(self.cut_off(Cause::StreamBroke))
    }

    /// Uses tokens for events that are about to be relayed, and reserves further ones
    /// when few are left; `false` if none are to be had.
    async fn use_tokens(&mut self, events: u64) -> bool {
        let tokens = events * self.request.tokens_per_event;
        let wait_until = self.request.deadline().min(Instant::now() + MAX_TOKEN_WAIT);
        while self.lacks_tokens(tokens) {
            self.start_extension(tokens);
            let extension = OptionFuture::from(self.extension.as_mut());
            match timeout_at(wait_until, extension).await {
                Ok(Some(Ok(extension @ Some(_)))) => self.extend(extension),
                Ok(_) | Err(_) => return false,
            }
        }
        if let Some(reservation) = &mut self.request.reservation {
            reservation.use_tokens(tokens);
        }
        let ahead_tokens = EVENTS_AHEAD * self.request.tokens_per_event;
        if self.lacks_tokens(ahead_tokens) {
            self.start_extension(ahead_tokens);
        }
        true
    }

    fn lacks_tokens(&self, tokens: u64) -> bool {
        let reservation = self.request.reservation.as_ref();
        reservation.is_some_and(|reservation| reservation.left_tokens() < tokens)
    }

    /// Starts to reserve the tokens by which the call's reservation falls short of its
    /// maximum, or at least `min_tokens`, unless that is in progress.
    fn start_extension(&mut self, min_tokens: u64) {
        if self.extension.is_some() {
            return;
        }
        let Some(missing) = self.request.missing_tokens() else {
            return;
        };
        let deadline = self.request.deadline().min(Instant::now() + MAX_TOKEN_WAIT);
        let budget_client = &self.request.state.budget_client;
        self.extension = Some(budget_client.reserve_more(missing, min_tokens, deadline));
    }

    fn extend(&mut self, extension: Option<TokenReservation>) {
        self.extension = None;
        let Some(extension) = extension else {
            return;
        };
        log::info!(
            request = self.request.metadata.request_id.as_str(),
            tokens = extension.granted_tokens();
            "reserved further tokens for the stream"
        );
        if let Some(reservation) = &mut self.request.reservation {
            reservation.extend(extension);
        }
    }

    /// Completes the relay after the target ended its stream at an event
    /// boundary.
    fn complete(&mut self) {
        let Some(mut stream) = self.stream.take() else {
            return;
        };
        stream.in_flight.record_response(self.status, false);
        let closes_connection = stream.closes_connection;
        stream
            .connection
            .release(stream.keep_alive_s, closes_connection);
        self.outcome = Ok(());
    }

    /// Makes the turn safe before the caller sees the end of its response.
    async fn keep_turn(&mut self) -> Result<(), TruncatedBody> {
        let Some(output) = self.output.take() else {
            return Ok(());
        };
        if self.request.keep_turn(output).await {
            return Ok(());
        }
        Err(self.cut_off(Cause::TurnNotKept))
    }

    /// Whether the target that made the first event may have run another version than
    /// was recorded.
    fn is_version_doubtful(&self) -> bool {
        let targets = self.request.state.targets.borrow();
        self.begun_at
            .is_some_and(|target| targets.is_version_doubtful(target))
    }

    /// Requests the stream again, from the event after the last relayed one;
    /// `false` if no target resumes it.
    async fn resume(&mut self, target: TargetKey, mut failed: FailedAttempt) -> bool {
        self.reader.discard_partial();
        if self.is_version_doubtful() {
            return false;
        }
        let mut key = target;
        loop {
            let next = self.request.record_failure(key, &failed).await;
            if self.request.is_quarantined() {
                return false;
            }
            let chosen = match next {
                RetryDecision::SameTarget(target) => {
                    self.request.wait_before_repeat().await;
                    self.request.claim_target(Some(target)).await
                }
                RetryDecision::AnotherTarget => self.request.claim_target(None).await,
                RetryDecision::Refuse | RetryDecision::UnknownOutcome => None,
            };
            let Some((chosen, entry)) = chosen else {
                return false;
            };
            key = chosen;
            if !self.request.wait_for_quota_token().await {
                return false;
            }
            let deadline = self.request.deadline();
            let last_id = self.reader.last_id();
            let result = timeout_at(deadline, self.request.attempt(key, &entry, last_id)).await;
            match result {
                Ok(Ok(TargetResponse::Stream(stream))) => {
                    self.request.record_serving_target(stream.target);
                    self.stream = Some(*stream);
                    return true;
                }
                Ok(Ok(TargetResponse::Full(_))) | Err(_) => return false,
                Ok(Err(next_failed)) => failed = next_failed,
            }
        }
    }
}

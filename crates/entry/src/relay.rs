//! Streams on their way to a caller, resumed where they break.

use bytes::Bytes;
use futures::stream;
use futures::StreamExt;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use lagoon_gateway::{EventReader, RetryDecision, TargetKey};
use tokio::time::{sleep, timeout_at};

use crate::body::{ResponseBody, TruncatedBody};
use crate::forward::{
    forwarded_head, FailedAttempt, ForwardedRequest, ResponseStream, TargetResponse, RESUME_DELAY,
};

/// One stream; it stops the target's work when it is dropped.
pub(crate) struct Relay {
    request: ForwardedRequest,
    stream: Option<ResponseStream>,
    reader: EventReader,
    status: StatusCode,
    end: &'static str,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.request.record_response(self.status, self.end);
    }
}

impl Relay {
    /// TargetResponse whose body passes the stream on.
    pub(crate) fn start(
        request: ForwardedRequest,
        mut open: ResponseStream,
    ) -> Response<ResponseBody> {
        let status = open.head.status();
        request.record_serving_target(open.target);
        let head = forwarded_head(std::mem::take(&mut open.head));
        let relay = Relay {
            reader: EventReader::resume_after(request.metadata.last_event_id),
            request,
            stream: Some(open),
            status,
            end: "caller left",
        };
        let chunks = stream::unfold(Some(relay), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Some(Ok(chunk)) => Some((Ok(chunk), Some(relay))),
                Some(Err(error)) => Some((Err(error), None)),
                None => None,
            }
        });
        head.map(|()| ResponseBody::Stream(chunks.boxed_local()))
    }

    /// Next bytes for the caller; `None` after the last ones.
    async fn next(&mut self) -> Option<Result<Bytes, TruncatedBody>> {
        self.next_chunk().await.transpose()
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, TruncatedBody> {
        loop {
            let deadline = self.request.deadline();
            let Some(stream) = self.stream.as_mut() else {
                return Ok(None);
            };
            let frame = match timeout_at(deadline, stream.body.frame()).await {
                Ok(frame) => frame,
                Err(_) => {
                    self.end = "out of time in the stream";
                    return Err(TruncatedBody);
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    stream.in_flight.record_progress();
                    let step = self.reader.push(&data);
                    stream.in_flight.record_events(step.count);
                    if !self.count(step.count) {
                        self.end = "charge used up in the stream";
                        return Err(TruncatedBody);
                    }
                    if !step.bytes.is_empty() {
                        return Ok(Some(step.bytes.into()));
                    }
                }
                None if self.reader.is_at_event_boundary() => {
                    self.completed();
                    return Ok(None);
                }
                None => self.broken("ended within an event").await?,
                Some(Err(error)) => self.broken(&error.to_string()).await?,
            }
        }
    }

    /// Goes on after a break, or says that the answer broke off.
    async fn broken(&mut self, detail: &str) -> Result<(), TruncatedBody> {
        let Some(stream) = self.stream.take() else {
            return Err(TruncatedBody);
        };
        let target = stream.target;
        // The target must see its connection closed before it is asked again.
        drop(stream);
        if self.resume(target, detail.to_owned()).await {
            return Ok(());
        }
        self.end = "stream broke off";
        Err(TruncatedBody)
    }

    /// Counts events that are about to be passed on; `false` if the charge
    /// doesn't hold them.
    fn count(&mut self, events: u64) -> bool {
        let tokens = events * self.request.tokens_per_event;
        let charged = self.request.reservation.as_mut();
        charged.is_none_or(|charged| charged.use_tokens(tokens))
    }

    /// The target ended its stream after a whole event.
    fn completed(&mut self) {
        let Some(mut stream) = self.stream.take() else {
            return;
        };
        stream.in_flight.record_response(self.status);
        if !stream.closes_connection {
            stream.pooled.release(stream.keep_alive_s);
        }
        self.end = "streamed";
    }

    /// Goes on after the last event that was passed on.
    async fn resume(&mut self, target: TargetKey, detail: String) -> bool {
        self.reader.discard_partial();
        let mut key = target;
        let mut failed = FailedAttempt::interrupted(detail);
        loop {
            let next = self.request.record_failure(key, &failed);
            let chosen = match next {
                RetryDecision::SameTarget => {
                    sleep(RESUME_DELAY).await;
                    self.request.target_entry(key).map(|entry| (key, entry))
                }
                RetryDecision::AnotherTarget => self.request.choose_target(),
                RetryDecision::Refuse | RetryDecision::UnknownOutcome => None,
            };
            let Some((chosen, entry)) = chosen else {
                return false;
            };
            key = chosen;
            let deadline = self.request.deadline();
            let last_id = self.reader.last_id();
            let answer = timeout_at(deadline, self.request.attempt(key, &entry, last_id)).await;
            match answer {
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

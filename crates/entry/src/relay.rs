//! Streams on their way to a caller, resumed where they break.

use bytes::Bytes;
use futures::stream;
use futures::StreamExt;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use lagoon_gateway::{EventReader, RetryDecision, TargetKey};
use tokio::time::{sleep, timeout_at};

use crate::body::{BrokenOff, ReplyBody};
use crate::forward::{passed_on, Answer, Call, Failed, OpenStream, RESUME_PAUSE};

/// One stream; it stops the target's work when it is dropped.
pub(crate) struct Relay {
    call: Call,
    stream: Option<OpenStream>,
    reader: EventReader,
    status: StatusCode,
    end: &'static str,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.call.finished(self.status, self.end);
    }
}

impl Relay {
    /// Answer whose body passes the stream on.
    pub(crate) fn start(call: Call, mut open: OpenStream) -> Response<ReplyBody> {
        let status = open.head.status();
        call.served_by(open.target);
        let head = passed_on(std::mem::take(&mut open.head));
        let relay = Relay {
            reader: EventReader::resume_after(call.facts.last_event_id),
            call,
            stream: Some(open),
            status,
            end: "caller left",
        };
        let pieces = stream::unfold(Some(relay), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Some(Ok(piece)) => Some((Ok(piece), Some(relay))),
                Some(Err(error)) => Some((Err(error), None)),
                None => None,
            }
        });
        head.map(|()| ReplyBody::Pieces(pieces.boxed_local()))
    }

    /// Next bytes for the caller; `None` after the last ones.
    async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        self.next_piece().await.transpose()
    }

    async fn next_piece(&mut self) -> Result<Option<Bytes>, BrokenOff> {
        loop {
            let until = self.call.until();
            let Some(stream) = self.stream.as_mut() else {
                return Ok(None);
            };
            let frame = match timeout_at(until, stream.body.frame()).await {
                Ok(frame) => frame,
                Err(_) => {
                    self.end = "out of time in the stream";
                    return Err(BrokenOff);
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    stream.placed.progressed();
                    let step = self.reader.push(&data);
                    stream.placed.brought(step.count);
                    if !self.count(step.count) {
                        self.end = "charge used up in the stream";
                        return Err(BrokenOff);
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
    async fn broken(&mut self, detail: &str) -> Result<(), BrokenOff> {
        let Some(stream) = self.stream.take() else {
            return Err(BrokenOff);
        };
        let target = stream.target;
        // The target must see its connection closed before it is asked again.
        drop(stream);
        if self.resume(target, detail.to_owned()).await {
            return Ok(());
        }
        self.end = "stream broke off";
        Err(BrokenOff)
    }

    /// Counts events that are about to be passed on; `false` if the charge
    /// doesn't hold them.
    fn count(&mut self, events: u64) -> bool {
        let tokens = events * self.call.tokens_per_event;
        let charged = self.call.charged.as_mut();
        charged.is_none_or(|charged| charged.use_tokens(tokens))
    }

    /// The target ended its stream after a whole event.
    fn completed(&mut self) {
        let Some(mut stream) = self.stream.take() else {
            return;
        };
        stream.placed.answered(self.status);
        if !stream.is_last {
            stream.lease.keep(stream.keep_alive_s);
        }
        self.end = "streamed";
    }

    /// Goes on after the last event that was passed on.
    async fn resume(&mut self, target: TargetKey, detail: String) -> bool {
        self.reader.discard_partial();
        let mut key = target;
        let mut failed = Failed::broken(detail);
        loop {
            let next = self.call.after(key, &failed);
            let chosen = match next {
                RetryDecision::SameTarget => {
                    sleep(RESUME_PAUSE).await;
                    self.call.entry(key).map(|entry| (key, entry))
                }
                RetryDecision::AnotherTarget => self.call.choose(),
                RetryDecision::Refuse | RetryDecision::UnknownOutcome => None,
            };
            let Some((chosen, entry)) = chosen else {
                return false;
            };
            key = chosen;
            let until = self.call.until();
            let last_id = self.reader.last_id();
            let answer = timeout_at(until, self.call.try_target(key, &entry, last_id)).await;
            match answer {
                Ok(Ok(Answer::Stream(stream))) => {
                    self.call.served_by(stream.target);
                    self.stream = Some(*stream);
                    return true;
                }
                Ok(Ok(Answer::Whole(_))) | Err(_) => return false,
                Ok(Err(next_failed)) => failed = next_failed,
            }
        }
    }
}

//! Streamed responses.

use std::task::{ready, Context, Poll};

use bytes::Bytes;
use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::CallKey;
use lagoon_node::{ResponseFrame, ResponseSummary};
use serde_json::json;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::http::response::error_json;

/// Events of a streamed response, each a part of the body as it arrives.
pub(super) struct EventStream {
    call: CallKey,
    frames: UnboundedReceiver<ResponseFrame>,
    sent_bytes: u64,
    has_ended: bool,
}

impl EventStream {
    pub(super) fn new(call: CallKey, frames: UnboundedReceiver<ResponseFrame>) -> EventStream {
        EventStream {
            call,
            frames,
            sent_bytes: 0,
            has_ended: false,
        }
    }

    /// Whether the last part was taken.
    pub(super) fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Next part; `None` after the last one.
    pub(super) fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        while !self.has_ended {
            let frame = ready!(self.frames.poll_recv(cx));
            if let Some(part) = self.part(frame) {
                return Poll::Ready(Some(part));
            }
        }
        Poll::Ready(None)
    }

    fn part(&mut self, frame: Option<ResponseFrame>) -> Option<Bytes> {
        match frame {
            Some(ResponseFrame::Head { .. } | ResponseFrame::ProgramEnded { .. }) => None,
            Some(ResponseFrame::Data { offset, bytes }) if offset == self.sent_bytes => {
                self.sent_bytes += bytes.len() as u64;
                (!bytes.is_empty()).then(|| Bytes::from_owner(bytes))
            }
            Some(ResponseFrame::End { length, summary }) if length == self.sent_bytes => {
                self.has_ended = true;
                let summary = summary_json(&summary);
                let end = format!(": lagoon {summary}\n\ndata: [DONE]\n\n");
                Some(Bytes::from(end))
            }
            Some(ResponseFrame::Failed { error, .. }) => Some(self.end_with_error(&error)),
            Some(ResponseFrame::Data { .. } | ResponseFrame::End { .. }) => {
                let error = CallError::new(ErrorKind::AnswerBroken, "pieces do not join");
                Some(self.end_with_error(&error))
            }
            None => {
                let detail = "VM stopped during the answer";
                let error = CallError::new(ErrorKind::AnswerBroken, detail);
                Some(self.end_with_error(&error))
            }
        }
    }

    fn end_with_error(&mut self, error: &CallError) -> Bytes {
        self.has_ended = true;
        let error = error_json(Some(&self.call), error);
        Bytes::from(format!("data: {error}\n\n"))
    }
}

/// JSON of the `: lagoon` comment that precedes the `[DONE]` event of a stream.
fn summary_json(summary: &ResponseSummary) -> serde_json::Value {
    json!({
        "program": summary.call.program,
        "call": summary.call.number,
        "target": summary.target,
        "owner": summary.owner,
        "durable": summary.durable,
        "continue": summary.continuation,
        "replayed": summary.replayed,
        "used_tokens": summary.used_tokens,
        "left_tokens": summary.remaining_tokens,
        "left_money_micros": summary.remaining_money_micros,
        "left_turns": summary.remaining_turns,
    })
}

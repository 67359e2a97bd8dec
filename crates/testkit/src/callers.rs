//! Requests of simulated callers, and their outcomes.

use compact_str::CompactString;
use lagoon_errors::{CallError, ErrorKind, ExecutionStatus};
use lagoon_ids::TraceContext;
use lagoon_node::{CallKind, CallerRequest, ResponseFrame, ResponseSummary};
use xxhash_rust::xxh3::xxh3_128;

/// Id of a caller's request, unique in its simulation.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// What a simulated caller requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// Streamed chat completion.
    Chat {
        /// Tokens that the target generates, which is also the call's output limit.
        tokens: u64,
    },
    /// Call of the plain service with this name.
    Service(CompactString),
}

/// Request with the headers that a caller sets; `None` leaves a header out.
#[derive(Clone, Debug)]
pub struct Request {
    /// `Lagoon-Program`: program id.
    pub program: Option<CompactString>,
    /// `Lagoon-Call`: call number, counted from 1.
    pub number: Option<u32>,
    /// `Lagoon-Parent`: id of the parent program.
    pub parent: Option<CompactString>,
    /// `Lagoon-Budget-Tokens`: token budget of the program.
    pub budget_tokens: Option<u64>,
    /// `Lagoon-Continue`: continuation token of an earlier response.
    pub continuation: Option<CompactString>,
    /// Chat completion or service call.
    pub kind: RequestKind,
    /// Text in the body that distinguishes this call from others.
    pub tag: String,
}

impl Request {
    /// Request body; targets repeat it in their responses.
    fn body(&self) -> String {
        match &self.kind {
            RequestKind::Chat { tokens } => format!("{} tokens={tokens}", self.tag),
            RequestKind::Service(_) => self.tag.clone(),
        }
    }

    /// Body of the complete response that a target gives to this request.
    pub fn expected_response(&self) -> String {
        let body = self.body();
        match &self.kind {
            RequestKind::Service(_) => format!("done {body}"),
            RequestKind::Chat { tokens } => (1..=*tokens)
                .map(|sequence| {
                    let content = format!("{body}#{sequence} ");
                    let data = serde_json::json!({"choices": [{"delta": {"content": content}}]});
                    format!("data: {data}\n\n")
                })
                .collect(),
        }
    }

    pub(crate) fn to_caller_request(&self) -> CallerRequest {
        let body = self.body();
        let kind = match &self.kind {
            RequestKind::Chat { tokens } => CallKind::Chat {
                model: "contract-agent".into(),
                stream: true,
                include_usage: false,
                max_output_tokens: *tokens,
            },
            RequestKind::Service(service) => CallKind::Service {
                service: service.clone(),
            },
        };
        let hash_input = format!("{kind:?} {body}");
        CallerRequest {
            api_key: "grower-desk-key".into(),
            program: self.program.clone(),
            number: self.number,
            parent: self.parent.clone(),
            window_ms: None,
            budget_tokens: self.budget_tokens,
            continuation: self.continuation.clone(),
            kind,
            content_type: "application/json".into(),
            body: body.into_bytes().into(),
            content_hash: xxh3_128(hash_input.as_bytes()),
            trace: TraceContext::default(),
        }
    }
}

/// What the caller of a request has received so far.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Program id from the response; `None` before its head arrives.
    pub program: Option<CompactString>,
    /// Response body received so far.
    pub bytes: Vec<u8>,
    /// Trailer of a complete response; `None` until it arrives.
    pub summary: Option<ResponseSummary>,
    /// Error response, if the call was rejected or failed.
    pub error: Option<CallError>,
    /// Whether the VM, or the program, ended before the response was complete.
    pub connection_lost: bool,
    /// Frames that had an unexpected offset or a wrong total length.
    pub offset_errors: u32,
}

impl Outcome {
    /// Whether no further frame is expected.
    pub fn is_finished(&self) -> bool {
        self.summary.is_some() || self.error.is_some() || self.connection_lost
    }

    /// Whether the whole response arrived, including the trailer.
    pub fn is_complete(&self) -> bool {
        self.summary.is_some()
    }

    /// Kind of the error response; `None` if the call has not failed.
    pub fn error_kind(&self) -> Option<ErrorKind> {
        self.error.as_ref().map(|error| error.kind)
    }

    /// Whether the error response says that the call did not run.
    pub fn reports_not_run(&self) -> bool {
        let ran = self.error.as_ref().map(|error| error.ran);
        ran == Some(ExecutionStatus::NotRun)
    }

    pub(crate) fn apply_frame(&mut self, frame: ResponseFrame) {
        match frame {
            ResponseFrame::Head { call, .. } => {
                self.program = Some(CompactString::new(call.program.as_str()));
            }
            ResponseFrame::Data { offset, bytes } => {
                if offset == self.bytes.len() as u64 {
                    self.bytes.extend_from_slice(&bytes);
                } else {
                    self.offset_errors += 1;
                }
            }
            ResponseFrame::End { length, summary } => {
                if length != self.bytes.len() as u64 {
                    self.offset_errors += 1;
                }
                self.summary = Some(summary);
            }
            ResponseFrame::Failed { error, .. } => self.error = Some(error),
            ResponseFrame::ProgramEnded { program } => {
                self.program = Some(CompactString::new(program.as_str()));
                self.connection_lost = true;
            }
        }
    }

    /// One-line description; expected outputs of scenario tests contain it.
    pub fn describe(&self) -> String {
        match (&self.summary, &self.error) {
            (Some(summary), _) => format!(
                "whole, {} bytes from {} by {}, durable {}, replayed {}",
                self.bytes.len(),
                summary.target,
                summary.owner,
                summary.durable,
                summary.replayed
            ),
            (None, Some(error)) => {
                let after = error
                    .retry_after_s
                    .map_or_else(String::new, |after_s| format!(", again after {after_s} s"));
                format!("{} {}{after}", error.kind, error.ran)
            }
            (None, None) if self.connection_lost => "lost".to_owned(),
            (None, None) => format!("under way, {} bytes", self.bytes.len()),
        }
    }
}

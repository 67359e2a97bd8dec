//! Callers' requests and what became of them.

use compact_str::CompactString;
use lagoon_errors::{CallError, ErrorKind, ExecutionStatus};
use lagoon_ids::TraceContext;
use lagoon_node::{CallKind, CallerRequest, ResponseFrame, ResponseSummary};
use xxhash_rust::xxh3::xxh3_128;

/// Request of a caller.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// What a call asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Work {
    /// Stream of tokens.
    Chat {
        /// Tokens.
        tokens: u64,
    },
    /// Call of a plain service.
    Service(CompactString),
}

/// Request as a caller words it.
#[derive(Clone, Debug)]
pub struct Request {
    /// `Lagoon-Program`.
    pub program: Option<CompactString>,
    /// `Lagoon-Call`.
    pub number: Option<u32>,
    /// `Lagoon-Parent`.
    pub parent: Option<CompactString>,
    /// `Lagoon-Budget-Tokens`.
    pub budget_tokens: Option<u64>,
    /// `Lagoon-Continue`.
    pub continuation: Option<CompactString>,
    /// What it asks for.
    pub work: Work,
    /// What tells it from other calls.
    pub tag: String,
}

impl Request {
    /// Body, which targets repeat in their answers.
    fn body(&self) -> String {
        match &self.work {
            Work::Chat { tokens } => format!("{} tokens={tokens}", self.tag),
            Work::Service(_) => self.tag.clone(),
        }
    }

    /// Bytes of the whole answer.
    pub fn whole_answer(&self) -> String {
        let body = self.body();
        match &self.work {
            Work::Service(_) => format!("done {body}"),
            Work::Chat { tokens } => (1..=*tokens)
                .map(|sequence| {
                    let content = format!("{body}#{sequence} ");
                    let data = serde_json::json!({"choices": [{"delta": {"content": content}}]});
                    format!("data: {data}\n\n")
                })
                .collect(),
        }
    }

    pub(crate) fn incoming(&self) -> CallerRequest {
        let body = self.body();
        let kind = match &self.work {
            Work::Chat { tokens } => CallKind::Chat {
                model: "contract-agent".into(),
                stream: true,
                include_usage: false,
                max_output_tokens: *tokens,
            },
            Work::Service(service) => CallKind::Service {
                service: service.clone(),
            },
        };
        let hashed = format!("{kind:?} {body}");
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
            content_hash: xxh3_128(hashed.as_bytes()),
            trace: TraceContext::default(),
        }
    }
}

/// What became of a request.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Program, as the answer names it.
    pub program: Option<CompactString>,
    /// Bytes so far.
    pub bytes: Vec<u8>,
    /// Summary of a whole answer.
    pub summary: Option<ResponseSummary>,
    /// Refusal.
    pub refusal: Option<CallError>,
    /// Whether its VM ended before the answer did.
    pub lost: bool,
    /// Bytes that did not join.
    pub gaps: u32,
}

impl Outcome {
    /// Whether nothing more comes.
    pub fn is_over(&self) -> bool {
        self.summary.is_some() || self.refusal.is_some() || self.lost
    }

    /// Whether the whole answer came.
    pub fn is_whole(&self) -> bool {
        self.summary.is_some()
    }

    /// Kind of the refusal.
    pub fn kind(&self) -> Option<ErrorKind> {
        self.refusal.as_ref().map(|refusal| refusal.kind)
    }

    /// Whether the refusal says that it did not run.
    pub fn says_not_run(&self) -> bool {
        let ran = self.refusal.as_ref().map(|refusal| refusal.ran);
        ran == Some(ExecutionStatus::NotRun)
    }

    pub(crate) fn take(&mut self, piece: ResponseFrame) {
        match piece {
            ResponseFrame::Head { call, .. } => {
                self.program = Some(CompactString::new(call.program.as_str()));
            }
            ResponseFrame::Data { offset, bytes } => {
                if offset == self.bytes.len() as u64 {
                    self.bytes.extend_from_slice(&bytes);
                } else {
                    self.gaps += 1;
                }
            }
            ResponseFrame::End { length, summary } => {
                if length != self.bytes.len() as u64 {
                    self.gaps += 1;
                }
                self.summary = Some(summary);
            }
            ResponseFrame::Refused { refusal, .. } => self.refusal = Some(refusal),
            ResponseFrame::ProgramEnded { program } => {
                self.program = Some(CompactString::new(program.as_str()));
                self.lost = true;
            }
        }
    }

    /// One line for scenarios.
    pub fn describe(&self) -> String {
        match (&self.summary, &self.refusal) {
            (Some(summary), _) => format!(
                "whole, {} bytes from {} by {}, durable {}, replayed {}",
                self.bytes.len(),
                summary.target,
                summary.owner,
                summary.durable,
                summary.replayed
            ),
            (None, Some(refusal)) => {
                let after = refusal
                    .retry_after_s
                    .map_or_else(String::new, |after_s| format!(", again after {after_s} s"));
                format!("{} {}{after}", refusal.kind, refusal.ran)
            }
            (None, None) if self.lost => "lost".to_owned(),
            (None, None) => format!("under way, {} bytes", self.bytes.len()),
        }
    }
}

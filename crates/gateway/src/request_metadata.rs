//! Metadata of a request, as its headers give it.

use compact_str::CompactString;

/// Marks a request as a model call of a program.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelCall {
    /// Tokens that all calls of the program may generate together.
    pub budget_tokens: u64,
}

/// Metadata that routing, placement and budgets need.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestMetadata {
    /// Id of the caller's request, which a target's response must match; empty if
    /// the caller gives none.
    pub request_id: CompactString,
    /// Name of the program, if the request belongs to one.
    pub program: Option<CompactString>,
    /// Name of the session within the program: a chain of calls that extend the
    /// same prompt. `None` if the caller gives none.
    pub session: Option<CompactString>,
    /// Affinity key that the caller gives, if any; a target may have its data
    /// cached.
    pub affinity: Option<CompactString>,
    /// Time until the caller's timeout; `None` if the caller gives none.
    pub deadline_ms: Option<u64>,
    /// Time until the program should finish; `None` if the caller gives none.
    pub finish_ms: Option<u64>,
    /// Set on model calls that belong to a program with a budget.
    pub model_call: Option<ModelCall>,
    /// Tokens of the prompt; 0 if the caller doesn't state them.
    pub prompt_tokens: u64,
    /// Output tokens that the response may have at most; 0 if the caller doesn't
    /// state them.
    pub max_output_tokens: u64,
    /// Output tokens that the caller expects, if it states them; often far off.
    pub expected_tokens: Option<u64>,
    /// Id and tokens of each part of the prompt, in order; empty if the caller
    /// gives none.
    pub prompt_parts: Vec<(u64, u64)>,
    /// Id of the kept turn that the call continues; `None` at the start of a
    /// chain. Not validated.
    pub previous_turn: Option<CompactString>,
    /// Id of the last event that the caller has of an interrupted stream; `None`
    /// for a stream from its start.
    pub last_event_id: Option<u64>,
    /// Id of the request that brought the first event of the interrupted stream, as
    /// the caller states it. Not validated.
    pub resumed_stream: Option<CompactString>,
}

impl RequestMetadata {
    /// Key of session affinity: session, program, affinity, interrupted stream or
    /// request id, the first that is given. All requests for one stream have the same.
    pub fn affinity_key(&self) -> &str {
        let stream = &self.resumed_stream;
        [&self.session, &self.program, &self.affinity, stream]
            .into_iter()
            .flatten()
            .next()
            .unwrap_or(&self.request_id)
    }
}

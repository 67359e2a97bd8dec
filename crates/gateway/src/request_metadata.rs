//! What decisions know of a request.

use compact_str::CompactString;

/// Model call of a program.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelCall {
    /// Tokens that all calls of the program may generate.
    pub budget_tokens: u64,
}

/// What a request says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestMetadata {
    /// Identity of this try of the caller.
    pub request_id: CompactString,
    /// Program.
    pub program: Option<CompactString>,
    /// Line of calls within the program.
    pub session: Option<CompactString>,
    /// Subject that a target may know already.
    pub affinity: Option<CompactString>,
    /// Time that the caller waits.
    pub deadline_ms: Option<u64>,
    /// Time left until the program should end.
    pub finish_ms: Option<u64>,
    /// Budget, on model calls that belong to a program.
    pub model_call: Option<ModelCall>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens that the answer may have.
    pub max_output_tokens: u64,
    /// Tokens that the caller expects of the answer; often far off.
    pub expected_tokens: Option<u64>,
    /// Parts of the prompt in order, each with its tokens.
    pub prompt_parts: Vec<(u64, u64)>,
    /// Last event that the caller has.
    pub last_event_id: Option<u64>,
}

impl RequestMetadata {
    /// What keeps requests that profit from the same target together.
    pub fn affinity_key(&self) -> &str {
        [&self.session, &self.program, &self.affinity]
            .into_iter()
            .flatten()
            .next()
            .unwrap_or(&self.request_id)
    }
}

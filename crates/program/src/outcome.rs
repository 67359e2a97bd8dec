//! Outcomes of calls.

use std::sync::Arc;

use compact_str::CompactString;
use lagoon_ids::TargetName;
use serde::{Deserialize, Serialize};

use crate::ResourceAmounts;

/// Whole body of an answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: CompactString,
    /// Bytes as the caller got them.
    pub bytes: Arc<[u8]>,
}

/// What became of a call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// Target gave a whole answer.
    Answered(RecordedResponse),
    /// Call was sent and nobody saw what became of it.
    InDoubt,
    /// Operator found out whether the call ran.
    Settled {
        /// Whether it ran.
        ran: bool,
    },
}

/// Finished call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct FinishedCall {
    /// Hash of the request.
    pub content_hash: u128,
    /// Target that ran it.
    pub target: TargetName,
    /// What it used.
    pub used: ResourceAmounts,
    /// What became of it.
    pub outcome: Outcome,
}

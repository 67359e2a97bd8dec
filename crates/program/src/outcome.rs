//! Results of calls.

use std::sync::Arc;

use compact_str::CompactString;
use lagoon_ids::TargetName;
use serde::{Deserialize, Serialize};

use crate::ResourceAmounts;

/// Complete response of a target, kept to be returned if the caller repeats the call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status code that the target returned.
    pub status: u16,
    /// Value of the `Content-Type` header; `application/octet-stream` if the target sent none.
    pub content_type: CompactString,
    /// Body, as sent to the caller.
    pub bytes: Arc<[u8]>,
}

/// How a call ended, as far as that is known.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// Target returned a complete response.
    Answered(RecordedResponse),
    /// Call was sent to a target, but whether the target executed it is unknown.
    InDoubt,
    /// Operator determined whether the target executed a call in doubt.
    Settled {
        /// Whether the target executed the call.
        ran: bool,
    },
}

/// Recorded result of a call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct FinishedCall {
    /// Hash of the request; a repeated call must have the same hash.
    pub content_hash: u128,
    /// Target that the call was sent to.
    pub target: TargetName,
    /// Usage charged for the call; the worst case if the usage is unknown.
    pub used: ResourceAmounts,
    /// Response of the target, or what is known without one.
    pub outcome: Outcome,
}

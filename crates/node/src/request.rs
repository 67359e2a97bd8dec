//! Call in the form in which its owner receives it.

use std::sync::Arc;

use compact_str::CompactString;
use lagoon_ids::{AccountName, CallKey, MarketName, TraceContext};
use serde::{Deserialize, Serialize};

/// Kind of a call, with the parameters that were read from its request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum CallKind {
    /// Chat completion of a model.
    Chat {
        /// Value of `model` in the request body.
        model: CompactString,
        /// Whether the response is a stream of server-sent events.
        stream: bool,
        /// Whether the caller requested the usage event of a stream.
        include_usage: bool,
        /// Maximum number of output tokens, over all choices.
        max_output_tokens: u64,
    },
    /// Call of a plain service.
    Service {
        /// Name of the service, from the URL path.
        service: CompactString,
    },
}

impl CallKind {
    /// Whether this is a chat completion.
    pub fn is_chat(&self) -> bool {
        matches!(self, CallKind::Chat { .. })
    }

    /// Whether the response is a stream of server-sent events.
    pub fn is_stream(&self) -> bool {
        matches!(self, CallKind::Chat { stream: true, .. })
    }
}

/// Validated call, as it is sent to the owner.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CallRequest {
    /// Program and number of the call.
    pub key: CallKey,
    /// Whether the caller gave no call number, so that the owner assigns the next free one.
    pub auto_numbered: bool,
    /// Whether the caller gave a program identifier; if not, this is the first call of a new
    /// program.
    pub has_program_id: bool,
    /// Whether the caller's VM issued the identifier of a new root program for this call.
    pub newly_issued: bool,
    /// Client account that is charged.
    pub account: AccountName,
    /// Market of the account, which sets limits and available models.
    pub market: MarketName,
    /// Time that the caller gives the whole program from this call on; `None` if this call sets
    /// no deadline.
    pub window_ms: Option<u64>,
    /// Token limit that the caller sets for a new program; the market's applies if it is lower
    /// or this is `None`.
    pub budget_tokens: Option<u64>,
    /// Continuation token of a previous response, if the caller sent one.
    pub continuation: Option<CompactString>,
    /// Requested model or service.
    pub kind: CallKind,
    /// Header `Content-Type` to send to the target with the body.
    pub content_type: CompactString,
    /// Body to send to the target.
    pub body: Arc<[u8]>,
    /// Hash of the URL and the original body, which detects a changed request with the same number.
    pub content_hash: u128,
    /// Trace context that becomes the parent of the call's spans.
    pub trace: TraceContext,
}

//! A call as its owner sees it.

use std::sync::Arc;

use compact_str::CompactString;
use lagoon_ids::{AccountName, CallKey, MarketName, TraceContext};
use serde::{Deserialize, Serialize};

/// What a call asks for.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum CallKind {
    /// Chat completion of a model.
    Chat {
        /// Model.
        model: CompactString,
        /// Whether the answer comes as server-sent events.
        stream: bool,
        /// Whether the caller asked for the usage event itself.
        include_usage: bool,
        /// Most tokens of the answer.
        max_output_tokens: u64,
    },
    /// Call of a plain service.
    Service {
        /// Service.
        service: CompactString,
    },
}

impl CallKind {
    /// Whether a model answers it.
    pub fn is_chat(&self) -> bool {
        matches!(self, CallKind::Chat { .. })
    }

    /// Whether its answer comes as server-sent events.
    pub fn is_stream(&self) -> bool {
        matches!(self, CallKind::Chat { stream: true, .. })
    }
}

/// Checked call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CallRequest {
    /// Call.
    pub key: CallKey,
    /// Whether the caller gave no number, so that the next one is meant.
    pub auto_numbered: bool,
    /// Whether a program was named; otherwise it has just this call.
    pub has_program_id: bool,
    /// Whether this VM issued the identifier just now.
    pub newly_issued: bool,
    /// Account that pays.
    pub account: AccountName,
    /// Market whose rules hold.
    pub market: MarketName,
    /// Time left for the whole program.
    pub window_ms: Option<u64>,
    /// Token budget that the caller wants for the program.
    pub budget_tokens: Option<u64>,
    /// Proof of calls that may not be recorded.
    pub continuation: Option<CompactString>,
    /// What it asks for.
    pub kind: CallKind,
    /// Content type of the body.
    pub content_type: CompactString,
    /// Body for the target.
    pub body: Arc<[u8]>,
    /// Hash of what it asks for and of the body.
    pub content_hash: u128,
    /// Span that the call's hops hang under.
    pub trace: TraceContext,
}

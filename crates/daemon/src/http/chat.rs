//! Parsing of chat-completion requests.

use std::borrow::Cow;

use compact_str::CompactString;
use lagoon_errors::{CallError, ErrorKind};
use lagoon_node::CallKind;
use serde::Deserialize;
use serde_json::{json, Value};

use crate::constants::DEFAULT_OUTPUT_TOKENS;

/// Request fields that the scheduler reads.
#[derive(Deserialize)]
struct ChatRequest {
    model: CompactString,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    n: Option<u64>,
    stream_options: Option<StreamOptions>,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// Parses a request; returns the kind of the call and the body for the target.
///
/// Adds an output token limit if the request has none, so that the worst-case
/// usage is known before the call. Asks for usage figures at the end of a stream,
/// so that the actual usage is known after it.
pub(super) fn parse_chat_request(body: &[u8]) -> Result<(CallKind, Cow<'_, [u8]>), CallError> {
    let invalid =
        |error: serde_json::Error| CallError::new(ErrorKind::BadRequest, error.to_string());
    let chat: ChatRequest = serde_json::from_slice(body).map_err(invalid)?;
    let limit = chat.max_completion_tokens.or(chat.max_tokens);
    let include_usage = chat
        .stream_options
        .is_some_and(|options| options.include_usage);
    let tokens_per_choice = limit.unwrap_or(DEFAULT_OUTPUT_TOKENS);
    let kind = CallKind::Chat {
        model: chat.model,
        stream: chat.stream,
        include_usage,
        max_output_tokens: tokens_per_choice.saturating_mul(chat.n.unwrap_or(1)),
    };
    let is_complete = limit.is_some() && (include_usage || !chat.stream);
    if is_complete {
        return Ok((kind, Cow::Borrowed(body)));
    }
    let mut value: Value = serde_json::from_slice(body).map_err(invalid)?;
    if limit.is_none() {
        value["max_tokens"] = json!(DEFAULT_OUTPUT_TOKENS);
    }
    if chat.stream {
        value["stream_options"]["include_usage"] = json!(true);
    }
    let bytes = serde_json::to_vec(&value).map_err(invalid)?;
    Ok((kind, Cow::Owned(bytes)))
}

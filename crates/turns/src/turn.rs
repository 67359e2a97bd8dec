//! Record of one kept turn.

use bytes::Bytes;
use compact_str::{format_compact, CompactString};
use derive_more::{AsRef, Display};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Maximum length of a turn's id.
const MAX_ID_BYTES: usize = 128;

/// Separates an account's hash from the id that the caller gave.
const ACCOUNT_SEPARATOR: char = '@';

/// Length of an account's hash in an id.
const ACCOUNT_DIGITS: usize = 16;

/// Number of ancestors that a record names, so that a reader can read them in
/// parallel; the rest of a longer chain is named by the oldest of these.
const MAX_LISTED_ANCESTORS: usize = 16;

/// Id of a kept turn: the request id of the call that made it.
#[derive(
    AsRef, Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct TurnId(CompactString);

/// Text that can't be the id of a turn.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("a turn's id has 1 to {MAX_ID_BYTES} visible ASCII characters")]
pub struct TurnIdError;

impl TurnId {
    /// Validates an id that a caller gives.
    ///
    /// # Errors
    ///
    /// Fails if the text is empty, too long, or has other characters than
    /// visible ASCII.
    pub fn parse(text: &str) -> Result<TurnId, TurnIdError> {
        let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        let is_valid = !text.is_empty() && text.len() <= MAX_ID_BYTES && is_visible;
        is_valid.then(|| TurnId(text.into())).ok_or(TurnIdError)
    }

    /// Id under which the turn of an account is kept, by the hash of its name, so that
    /// no other account can name it. An id that would get too long is replaced by its
    /// digest.
    pub fn of_account(&self, account: u64) -> TurnId {
        let qualified = format_compact!("{account:016x}{ACCOUNT_SEPARATOR}{self}");
        if qualified.len() <= MAX_ID_BYTES {
            return TurnId(qualified);
        }
        let digest: String = Sha256::digest(self.0.as_bytes())
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        TurnId(format_compact!(
            "{account:016x}{ACCOUNT_SEPARATOR}{ACCOUNT_SEPARATOR}{digest}"
        ))
    }

    /// Whether the id may be that of an account's turn.
    pub fn is_of_account(&self) -> bool {
        let Some((account, _)) = self.0.split_once(ACCOUNT_SEPARATOR) else {
            return false;
        };
        account.len() == ACCOUNT_DIGITS && account.bytes().all(|byte| byte.is_ascii_hexdigit())
    }

    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Maximum retention and time of a turn; sums and small multiples of them can't
/// overflow.
const MAX_RETENTION_MS: u64 = 1_000_000_000_000;
const MAX_UNIX_MS: u64 = 1_000_000_000_000_000;

/// Input and output of one call that was answered completely.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Turn {
    /// Id of the turn.
    pub id: TurnId,
    /// Ids of the turns before it, the nearest first; empty for the first turn
    /// of a chain. A long chain is listed in part.
    pub ancestors: Vec<TurnId>,
    /// Host of the call, in lower case.
    pub host: CompactString,
    /// Time for which the turn is kept after its end, or after the end of a
    /// turn that continues it.
    pub retention_ms: u64,
    /// End of the response, in milliseconds since the Unix epoch, by the clock
    /// of the VM that served it.
    pub ended_unix_ms: u64,
    /// Body of the call, without the chain before it.
    pub input: Bytes,
    /// Data of each event of the response, each followed by a line feed.
    pub output: Bytes,
}

/// Encoded form of a [`Turn`].
#[derive(Deserialize, Serialize)]
struct TurnRecord<'a> {
    id: CompactString,
    ancestors: Vec<CompactString>,
    host: CompactString,
    retention_ms: u64,
    ended_unix_ms: u64,
    input: &'a [u8],
    output: &'a [u8],
}

impl Turn {
    /// Turn that this one continues; `None` at the start of a chain.
    pub fn previous(&self) -> Option<&TurnId> {
        self.ancestors.first()
    }

    /// Ancestors of a turn that continues this one.
    pub fn ancestors_of_next(&self) -> Vec<TurnId> {
        let nearest = std::iter::once(&self.id).chain(&self.ancestors);
        nearest.take(MAX_LISTED_ANCESTORS).cloned().collect()
    }

    /// Size of the content.
    pub fn len_bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }

    /// Encodes the turn for the store and for other VMs.
    pub fn encode(&self) -> Vec<u8> {
        let record = TurnRecord {
            id: self.id.0.clone(),
            ancestors: self.ancestors.iter().map(|id| id.0.clone()).collect(),
            host: self.host.clone(),
            retention_ms: self.retention_ms,
            ended_unix_ms: self.ended_unix_ms,
            input: &self.input,
            output: &self.output,
        };
        // A struct of numbers, strings and bytes always serializes.
        postcard::to_allocvec(&record).unwrap_or_default()
    }

    /// Decodes a turn; `None` if the bytes are not a valid record, or a time in it is out
    /// of range.
    pub fn decode(bytes: &[u8]) -> Option<Turn> {
        let record: TurnRecord<'_> = postcard::from_bytes(bytes).ok()?;
        if record.retention_ms > MAX_RETENTION_MS || record.ended_unix_ms > MAX_UNIX_MS {
            return None;
        }
        let ancestors = record.ancestors.iter().map(|id| TurnId::parse(id).ok());
        Some(Turn {
            id: TurnId::parse(&record.id).ok()?,
            ancestors: ancestors.collect::<Option<_>>()?,
            host: record.host,
            retention_ms: record.retention_ms,
            ended_unix_ms: record.ended_unix_ms,
            input: Bytes::copy_from_slice(record.input),
            output: Bytes::copy_from_slice(record.output),
        })
    }
}

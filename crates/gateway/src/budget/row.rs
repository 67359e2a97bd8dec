//! Budget row of a program in the store.

use compact_str::CompactString;
use derive_more::{AsRef, Display, From};
use lagoon_ids::hash64;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};

use crate::store::RowKey;

const TABLE: &str = "budgets";

/// Partitions of the table. The store runs the transactions of a partition one
/// after another, so programs of one partition wait for each other when the
/// store is slow.
const PARTITIONS: u64 = 1_024;

/// Maximum length of a program's name that is used as the row's key; a longer
/// name is replaced by its hash.
const MAX_KEY_BYTES: usize = 64;

/// Writers kept in a row; the one with the oldest write is dropped first.
pub(super) const MAX_WRITERS: usize = 16;

/// Maximum number of tokens in a row; sums of them over all writers can't overflow.
const MAX_ROW_TOKENS: u64 = 1_000_000_000_000_000;

/// Name of a program as its caller gives it.
#[derive(AsRef, Clone, Debug, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd)]
pub struct ProgramKey(pub CompactString);

impl ProgramKey {
    /// Key of the program's row in the store.
    pub fn row_key(&self) -> RowKey {
        let hash = hash64(self.0.as_bytes());
        let key = if self.0.len() <= MAX_KEY_BYTES {
            self.0.clone()
        } else {
            compact_str::format_compact!("{hash:016x}")
        };
        RowKey {
            table: CompactString::const_new(TABLE),
            partition: compact_str::format_compact!("p{}", hash % PARTITIONS),
            key,
        }
    }
}

/// Last write of one writer, as kept in the row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriterMark {
    /// Incarnation of the VM that wrote.
    pub writer: CompactString,
    /// Sequence number of the writer's last write, by which it recognizes that write.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Tokens that the writer held after that write, without those granted to its
    /// calls in flight.
    #[serde(deserialize_with = "row_tokens")]
    pub held_tokens: u64,
}

/// Budget row of a program, stored as JSON.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BudgetRow {
    /// Tokens that are spent, held, or charged for calls in flight.
    #[serde(deserialize_with = "row_tokens")]
    pub charged_tokens: u64,
    /// Whether the reserve was released, so that the whole budget may be charged.
    #[serde(default)]
    pub is_whole: bool,
    /// Last write of each writer, newest last.
    #[serde(rename = "marks")]
    pub writers: Vec<WriterMark>,
    /// Longest time that the program may pause between calls, by all writers; 0 if
    /// none stated it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub retention_ms: u64,
    /// Incarnation of the VM that alone grants the program's allowance: the one that
    /// created the row. `None` if an earlier build created it or wrote it since, so that
    /// no VM does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowance_holder: Option<CompactString>,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

fn row_tokens<'de, D>(deserializer: D) -> Result<u64, D::Error>
where
    D: Deserializer<'de>,
{
    let tokens = u64::deserialize(deserializer)?;
    if tokens > MAX_ROW_TOKENS {
        return Err(D::Error::custom(format_args!(
            "{tokens} tokens are too many"
        )));
    }
    Ok(tokens)
}

impl BudgetRow {
    /// Decodes a row's value.
    ///
    /// # Errors
    ///
    /// Fails if a field is missing, of another type or out of range.
    pub fn decode(value: &[u8]) -> Result<BudgetRow, serde_json::Error> {
        serde_json::from_slice(value)
    }

    /// Sequence number of a writer's last write; 0 if the row doesn't list the
    /// writer.
    pub(super) fn last_sequence_of(&self, writer: &str) -> u64 {
        let found = self.writers.iter().find(|mark| mark.writer == writer);
        found.map_or(0, |mark| mark.sequence)
    }

    pub(super) fn set_mark(&mut self, mark: WriterMark) {
        self.writers.retain(|other| other.writer != mark.writer);
        self.writers.push(mark);
        let excess = self.writers.len().saturating_sub(MAX_WRITERS);
        self.writers.drain(..excess);
    }

    pub(super) fn held_by_others(&self, writer: &str) -> u64 {
        let others = self.writers.iter().filter(|mark| mark.writer != writer);
        others.map(|mark| mark.held_tokens).sum()
    }
}

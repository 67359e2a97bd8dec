//! Row of a program in the store.

use compact_str::CompactString;
use derive_more::{AsRef, Display, From};
use lagoon_ids::hash64;
use serde::{Deserialize, Serialize};

use crate::store::RowKey;

/// Table of the rows.
const TABLE: &str = "budgets";

/// Parts of the table. Each carries its own transactions, one after another,
/// so that a slow store makes programs of one part wait for each other.
const PARTS: u64 = 1_024;

/// Longest name that is a key as it is, in bytes.
const KEY_BYTES: usize = 64;

/// Writers whose marks a row keeps.
pub(super) const WRITERS: usize = 16;

/// Program as callers name it.
#[derive(AsRef, Clone, Debug, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd)]
pub struct ProgramKey(pub CompactString);

impl ProgramKey {
    pub(super) fn row_key(&self) -> RowKey {
        let hash = hash64(self.0.as_bytes());
        let key = if self.0.len() <= KEY_BYTES {
            self.0.clone()
        } else {
            compact_str::format_compact!("{hash:016x}")
        };
        RowKey {
            table: CompactString::const_new(TABLE),
            partition: compact_str::format_compact!("p{}", hash % PARTS),
            key,
        }
    }
}

/// What one writer left in a row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriterMark {
    /// Writer.
    pub writer: CompactString,
    /// Number of its last write.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Tokens that it held then beyond its calls under way.
    pub held_tokens: u64,
}

/// Row as it is stored, as JSON.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BudgetRow {
    /// Tokens that are spent, held, or charged for calls under way.
    pub charged_tokens: u64,
    /// Marks, newest last.
    #[serde(rename = "marks")]
    pub writers: Vec<WriterMark>,
}

impl BudgetRow {
    pub(super) fn last_of(&self, writer: &str) -> u64 {
        let found = self.writers.iter().find(|mark| mark.writer == writer);
        found.map_or(0, |mark| mark.sequence)
    }

    pub(super) fn mark(&mut self, mark: WriterMark) {
        self.writers.retain(|other| other.writer != mark.writer);
        self.writers.push(mark);
        let excess = self.writers.len().saturating_sub(WRITERS);
        self.writers.drain(..excess);
    }

    pub(super) fn held_by_others(&self, writer: &str) -> u64 {
        let others = self.writers.iter().filter(|mark| mark.writer != writer);
        others.map(|mark| mark.held_tokens).sum()
    }
}

//! Kept turns: calls whose input and output the gateway keeps, so that a later
//! call sends only what is new and names the turn that it continues.
//!
//! The turns that lead to a call form its chain. Turns are immutable and are
//! identified by the request id of the call that made them. This crate holds
//! their records, the cache and the rules for who may say that a turn doesn't
//! exist; it has no clock, socket or store client.

mod cache;
mod chain;
mod copies;
mod expiry;
mod lookup;
mod output;
mod row;
mod turn;
mod unsaved;

pub use cache::TurnCache;
pub use chain::{collect_chain, Chain, ChainError};
pub use copies::{CopyPlan, CopyReply, CopyStep};
pub use expiry::{RowExpiry, StoredRow};
pub use lookup::{Lookup, PeerAnswer, StoreAnswer, Verdict};
pub use output::TurnOutput;
pub use row::{
    decode_rows, expired_rows, merge_rows, partition_name, partition_of, read_range, row_writes,
    KeptRow, WriteOutcome, PARTITIONS, TURN_TABLE,
};
pub use turn::{Turn, TurnId, TurnIdError};
pub use unsaved::UnsavedTurns;

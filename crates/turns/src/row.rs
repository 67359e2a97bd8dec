//! Rows of turns in the store.
//!
//! A turn is one row, or a head row and further ones if it is larger than a row
//! may be; all of them are in one partition and the head is written last, so
//! that a turn with a head is complete. A row is created once and never changes,
//! but for the time at which it may be deleted.

use compact_str::CompactString;
use lagoon_gateway::{Row, RowKey, RowWrite, StoreCall};
use lagoon_ids::hash64;
use serde::{Deserialize, Serialize};

use crate::expiry::MAX_ROWS_PER_DELETE;
use crate::turn::{Turn, TurnId};

/// Store table of kept turns.
pub const TURN_TABLE: &str = "turns";

/// Partitions of the table. The store runs the transactions of a partition one
/// after another; turns of one partition that end together share a transaction.
pub const PARTITIONS: u64 = 256;

/// Sorts before every character of an id; separates it from a part's number.
const PART_SEPARATOR: char = '\u{1}';

/// Sorts after the parts of a turn and before other ids.
const AFTER_PARTS: char = '\u{2}';

/// Room in a row for what precedes the turn's bytes.
const HEAD_BYTES: usize = 32;

/// Head row of a turn.
#[derive(Deserialize, Serialize)]
struct HeadRow<'a> {
    /// Time after which the row may be deleted.
    expires_unix_ms: u64,
    /// Number of further rows.
    further_rows: u32,
    /// First bytes of the encoded turn.
    bytes: &'a [u8],
}

/// Turn as read from the store.
#[derive(Clone, Debug)]
pub struct KeptRow {
    /// The turn.
    pub turn: Turn,
    /// Keys and versions of its rows, the head first.
    pub rows: Vec<(RowKey, u64)>,
    /// Time after which the rows may be deleted.
    pub expires_unix_ms: u64,
    /// Value of the head row.
    head_value: Vec<u8>,
}

/// Outcome of the conditional write of a turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The store has the turn, by this write or an earlier one.
    Stored,
    /// The store has another version of the turn, which prevails.
    Superseded,
    /// The store doesn't have the turn.
    NotStored,
}

/// Name of a partition by its number, which is less than [`PARTITIONS`].
pub fn partition_name(number: u64) -> CompactString {
    compact_str::format_compact!("t{number}")
}

/// Name of the partition that holds the rows of a turn.
pub fn partition_of(id: &TurnId) -> CompactString {
    partition_name(hash64(id.as_str().as_bytes()) % PARTITIONS)
}

fn row_key(id: &TurnId, part: usize) -> RowKey {
    let key = match part {
        0 => CompactString::new(id.as_str()),
        part => compact_str::format_compact!("{id}{PART_SEPARATOR}{part:05}"),
    };
    RowKey {
        table: CompactString::const_new(TURN_TABLE),
        partition: partition_of(id),
        key,
    }
}

/// Writes that create the rows of a turn, the head last; `max_row_bytes` is the
/// size limit of a row's value.
pub fn row_writes(turn: &Turn, expires_unix_ms: u64, max_row_bytes: usize) -> Vec<RowWrite> {
    let encoded = turn.encode();
    let part_bytes = max_row_bytes.saturating_sub(HEAD_BYTES).max(1);
    let parts: Vec<&[u8]> = encoded.chunks(part_bytes).collect();
    let create = |part: usize, value: Vec<u8>| RowWrite {
        key: row_key(&turn.id, part),
        expected_version: 0,
        value: Some(value),
    };
    let further = parts.iter().enumerate().skip(1);
    let mut writes: Vec<_> = further
        .map(|(part, bytes)| create(part, bytes.to_vec()))
        .collect();
    let head = HeadRow {
        expires_unix_ms,
        further_rows: writes.len() as u32,
        bytes: parts.first().copied().unwrap_or_default(),
    };
    // A struct of numbers and bytes always serializes.
    writes.push(create(0, postcard::to_allocvec(&head).unwrap_or_default()));
    writes
}

/// Call that reads the rows of one turn.
pub fn read_range(id: &TurnId) -> StoreCall {
    let key = row_key(id, 0);
    StoreCall::ReadRange {
        to_key: compact_str::format_compact!("{id}{AFTER_PARTS}"),
        table: key.table,
        partition: key.partition,
        from_key: key.key,
    }
}

/// Decodes a turn from its rows; `None` if the head or another row is missing or
/// invalid.
pub fn decode_rows(id: &TurnId, rows: &[Row]) -> Option<KeptRow> {
    let find = |part: usize| {
        let key = row_key(id, part);
        let row = rows.iter().find(|row| row.key == key)?;
        Some((row.value.as_deref()?, row.version))
    };
    let (value, version) = find(0)?;
    let head: HeadRow<'_> = postcard::from_bytes(value).ok()?;
    let mut encoded = head.bytes.to_vec();
    let mut keys = vec![(row_key(id, 0), version)];
    for part in 1..=head.further_rows as usize {
        let (bytes, version) = find(part)?;
        encoded.extend_from_slice(bytes);
        keys.push((row_key(id, part), version));
    }
    Some(KeptRow {
        turn: Turn::decode(&encoded).filter(|turn| turn.id == *id)?,
        rows: keys,
        expires_unix_ms: head.expires_unix_ms,
        head_value: value.to_vec(),
    })
}

/// Deletions of the rows of turns that expired before a time, for one
/// transaction. `rows` are of one partition; parts without a head are left out,
/// as their turn may be about to be written.
pub fn expired_rows(rows: &[Row], before_unix_ms: u64) -> Vec<RowWrite> {
    let mut deletions = Vec::new();
    for head in rows
        .iter()
        .filter(|row| !row.key.key.contains(PART_SEPARATOR))
    {
        let decoded = head
            .value
            .as_deref()
            .map(postcard::from_bytes::<HeadRow<'_>>);
        let Some(Ok(decoded)) = decoded else {
            continue;
        };
        if decoded.expires_unix_ms >= before_unix_ms {
            continue;
        }
        let prefix = compact_str::format_compact!("{}{PART_SEPARATOR}", head.key.key);
        let parts = rows
            .iter()
            .filter(|row| row.key.key.starts_with(prefix.as_str()));
        let own: Vec<RowWrite> = std::iter::once(head)
            .chain(parts)
            .map(|row| RowWrite {
                key: row.key.clone(),
                expected_version: row.version,
                value: None,
            })
            .collect();
        if deletions.len() + own.len() > MAX_ROWS_PER_DELETE {
            break;
        }
        deletions.extend(own);
    }
    deletions
}

/// Compares the writes of a turn with the rows that the store has instead.
pub fn merge_rows(writes: &[RowWrite], found: &[Row]) -> WriteOutcome {
    let mut is_complete = true;
    for write in writes {
        match found.iter().find(|row| row.key == write.key) {
            None => is_complete = false,
            Some(row) if !has_same_content(write, row) => return WriteOutcome::Superseded,
            Some(_) => {}
        }
    }
    if is_complete {
        WriteOutcome::Stored
    } else {
        WriteOutcome::NotStored
    }
}

/// Whether a row has the content of a write, whatever its expiry.
fn has_same_content(write: &RowWrite, row: &Row) -> bool {
    let (Some(written), Some(found)) = (&write.value, &row.value) else {
        return false;
    };
    if write.key.key.contains(PART_SEPARATOR) {
        return written == found;
    }
    let written = postcard::from_bytes::<HeadRow<'_>>(written);
    let found = postcard::from_bytes::<HeadRow<'_>>(found);
    match (written, found) {
        (Ok(written), Ok(found)) => {
            (written.further_rows, written.bytes) == (found.further_rows, found.bytes)
        }
        _ => false,
    }
}

impl KeptRow {
    /// Write that postpones the deletion of the rows; `None` if they last as long
    /// already.
    pub fn extend_write(&self, expires_unix_ms: u64) -> Option<RowWrite> {
        let (key, version) = self.rows.first()?;
        let head: HeadRow<'_> = postcard::from_bytes(&self.head_value).ok()?;
        let extended = HeadRow {
            expires_unix_ms,
            ..head
        };
        (expires_unix_ms > self.expires_unix_ms).then(|| RowWrite {
            key: key.clone(),
            expected_version: *version,
            // A struct of numbers and bytes always serializes.
            value: Some(postcard::to_allocvec(&extended).unwrap_or_default()),
        })
    }
}

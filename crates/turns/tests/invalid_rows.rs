//! Rows of turns that no VM writes.

use bytes::Bytes;
use lagoon_gateway::{Row, RowWrite};
use lagoon_turns::{decode_rows, row_writes, Turn, TurnId};
use proptest::prelude::*;

fn turn(retention_ms: u64, ended_unix_ms: u64) -> Turn {
    Turn {
        id: TurnId::parse("a1").expect("is an id"),
        ancestors: Vec::new(),
        host: "a.example".into(),
        retention_ms,
        ended_unix_ms,
        input: Bytes::from_static(b"in"),
        output: Bytes::from_static(b"out\n"),
    }
}

fn rows(writes: Vec<RowWrite>) -> Vec<Row> {
    let row = |write: RowWrite| Row {
        key: write.key,
        value: write.value,
        version: 1,
    };
    writes.into_iter().map(row).collect()
}

// Guards against times that overflow when they are added, so that a turn is deleted too
// soon or never.
#[test]
fn decode_rejects_times_out_of_range() {
    assert!(Turn::decode(&turn(600_000, 1_790_000_000_000).encode()).is_some());
    assert_eq!(Turn::decode(&turn(u64::MAX, 1).encode()), None);
    assert_eq!(Turn::decode(&turn(1, u64::MAX).encode()), None);
}

proptest! {
    // Guards against a row that ends a VM, or stands for another turn.
    #[test]
    fn decode_rows_of_any_value(value: Vec<u8>, at in 0..40_usize, byte: u8) {
        let turn = turn(1, 1);
        let mut rows = rows(row_writes(&turn, 7, 1_000));
        if let Some(written) = rows[0].value.as_mut() {
            let at = at % written.len();
            written[at] = byte;
        }
        if let Some(kept) = decode_rows(&turn.id, &rows) {
            prop_assert_eq!(kept.turn.id, turn.id.clone());
        }
        rows[0].value = Some(value);
        let _ = decode_rows(&turn.id, &rows);
    }
}

//! Records of turns: output from events, ids, rows, chains, cache and expiry.

use std::rc::Rc;

use bytes::Bytes;
use lagoon_gateway::{Row, RowWrite};
use lagoon_turns::{
    collect_chain, decode_rows, expired_rows, merge_rows, partition_of, row_writes, ChainError,
    RowExpiry, StoredRow, Turn, TurnCache, TurnId, TurnOutput, WriteOutcome,
};
use proptest::prelude::*;
use yare::parameterized;

fn id(text: &str) -> TurnId {
    TurnId::parse(text).expect("valid id")
}

fn turn(name: &str, ancestors: &[&str], input: &[u8], output: &[u8]) -> Turn {
    Turn {
        id: id(name),
        ancestors: ancestors.iter().map(|name| id(name)).collect(),
        host: "a.example".into(),
        retention_ms: 60_000,
        ended_unix_ms: 1_000_000,
        input: Bytes::copy_from_slice(input),
        output: Bytes::copy_from_slice(output),
    }
}

fn rows_of(writes: &[RowWrite], version: u64) -> Vec<Row> {
    let rows = writes.iter().map(|write| Row {
        key: write.key.clone(),
        value: write.value.clone(),
        version,
    });
    rows.collect()
}

// Guards against history that differs from what the caller got: ids, comments
// and other fields of events, or line endings, in the next turn's prompt.
#[parameterized(
    one = { &["id: 1\ndata: piece\n\n"], "piece\n" },
    two = { &["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"], "a\nb\n" },
    two_pushes = { &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"], "a\nb\n" },
    several_lines = { &["data: a\ndata: b\n\n"], "a\nb\n" },
    no_space = { &["data:a\n\n"], "a\n" },
    one_space_only = { &["data:  a\n\n"], " a\n" },
    empty_data = { &["data\n\n"], "\n" },
    carriage_returns = { &["id: 1\r\ndata: a\r\n\r\n"], "a\n" },
    other_fields = { &["weights: 3\nevent: x\n: note\ndata: a\ndatum: b\n\n"], "a\n" },
    no_data = { &["id: 1\n\n"], "" },
)]
fn turn_output_is_the_data_of_events(pushes: &[&str], expected: &str) {
    let mut output = TurnOutput::default();
    for events in pushes {
        output.push_events(events.as_bytes());
    }
    assert_eq!(output.into_bytes(), expected.as_bytes());
}

#[parameterized(
    hexadecimal = { "9c41d07be2a35f68", true },
    punctuation = { "a/b:c%20", true },
    empty = { "", false },
    space = { "a b", false },
    control = { "a\u{1}00001", false },
    umlaut = { "ä", false },
)]
fn turn_id_is_visible_ascii(text: &str, is_valid: bool) {
    assert_eq!(TurnId::parse(text).is_ok(), is_valid);
}

#[test]
fn turn_id_has_a_maximum_length() {
    assert!(TurnId::parse(&"a".repeat(128)).is_ok());
    assert!(TurnId::parse(&"a".repeat(129)).is_err());
}

// Guards against a turn of which a row is missing being taken for a shorter one.
// Guards against a turn that another account, or a caller without one, can name.
#[parameterized(
    short = { "t1" },
    like_another_account = { "00000000000000ab@t1" },
    longest_as_given = { &"a".repeat(111) },
    shortest_by_digest = { &"a".repeat(112) },
    longest = { &"a".repeat(128) },
)]
fn turn_ids_of_accounts_differ(text: &str) {
    let own = id(text);
    let (first, second) = (own.of_account(0xab), own.of_account(0xac));
    assert_ne!(first, second);
    assert_ne!(first, own);
    assert!(first.is_of_account() && second.is_of_account());
    assert_eq!(first, own.of_account(0xab));
    assert!(TurnId::parse(first.as_str()).is_ok(), "{first}");
    assert_ne!(first, id(&text[1..]).of_account(0xab));
}

// Guards against ordinary ids that are taken for those of accounts' turns.
#[parameterized(
    plain = { "t1" },
    address = { "someone@example" },
    digits = { "00000000000000ab" },
    too_short = { "0000000000000ab@t1" },
    no_hash = { "00000000000000ag@t1" },
)]
fn turn_id_is_not_of_account(text: &str) {
    assert!(!id(text).is_of_account());
}

#[test]
fn decode_rows_without_any_of_them_is_none() {
    let turn = turn("t2", &["t1"], &[7; 9_000], b"out\n");
    let writes = row_writes(&turn, 5, 4_096);
    assert_eq!(writes.len(), 3);
    let rows = rows_of(&writes, 9);
    let kept = decode_rows(&turn.id, &rows).expect("complete");
    assert_eq!((&kept.turn, kept.expires_unix_ms), (&turn, 5));
    for missing in 0..rows.len() {
        let mut rows = rows.clone();
        rows.remove(missing);
        assert!(decode_rows(&turn.id, &rows).is_none(), "row {missing}");
    }
}

// Guards against two versions of one turn: what another VM stored prevails, and
// the own version counts as stored only if it is the same.
#[test]
fn merge_rows_accepts_only_the_same_version() {
    let own = turn("t1", &[], b"in", b"own\n");
    let writes = row_writes(&own, 5, 4_096);
    let same = rows_of(&row_writes(&own, 77, 4_096), 3);
    assert_eq!(merge_rows(&writes, &same), WriteOutcome::Stored);
    let other = turn("t1", &[], b"in", b"other\n");
    let other = rows_of(&row_writes(&other, 5, 4_096), 3);
    assert_eq!(merge_rows(&writes, &other), WriteOutcome::Superseded);
    assert_eq!(merge_rows(&writes, &[]), WriteOutcome::NotStored);
}

#[test]
fn extend_write_changes_the_expiry_only() {
    let turn = turn("t1", &[], b"in", b"out\n");
    let rows = rows_of(&row_writes(&turn, 100, 4_096), 3);
    let kept = decode_rows(&turn.id, &rows).expect("complete");
    assert!(kept.extend_write(100).is_none());
    let write = kept.extend_write(200).expect("postponed");
    assert_eq!(write.expected_version, 3);
    let extended = decode_rows(&turn.id, &rows_of(&[write], 4)).expect("complete");
    assert_eq!((extended.turn, extended.expires_unix_ms), (turn, 200));
}

#[test]
fn collect_chain_joins_inputs_and_outputs_oldest_first() {
    let turns = [
        turn("t1", &[], b"in 1;", b"out 1\n"),
        turn("t2", &["t1"], b"", b"out 2\n"),
        turn("t3", &["t2", "t1"], b"in 3;", b""),
    ]
    .map(Rc::new);
    let get = |id: &TurnId| turns.iter().find(|turn| turn.id == *id).cloned();
    let chain = collect_chain(&id("t3"), get).expect("complete");
    let bytes: Vec<u8> = chain.chunks().concat();
    assert_eq!(bytes, b"in 1;out 1\nout 2\nin 3;");
    let next = turns[2].ancestors_of_next();
    assert_eq!(next, [id("t3"), id("t2"), id("t1")]);
}

#[test]
fn collect_chain_names_all_missing_ancestors() {
    let last = Rc::new(turn("t4", &["t3", "t2", "t1"], b"in", b"out"));
    let second = Rc::new(turn("t2", &["t1"], b"in", b"out"));
    let get = |id: &TurnId| {
        let known = [&last, &second];
        known.into_iter().find(|turn| turn.id == *id).cloned()
    };
    let missing = collect_chain(&id("t4"), get).expect_err("incomplete");
    assert_eq!(missing, ChainError::Missing(vec![id("t3"), id("t1")]));
}

// Guards against an endless loop on records that name each other.
#[test]
fn collect_chain_in_a_circle_ends() {
    let circle = [turn("t1", &["t2"], b"", b""), turn("t2", &["t1"], b"", b"")].map(Rc::new);
    let get = |id: &TurnId| circle.iter().find(|turn| turn.id == *id).cloned();
    let error = collect_chain(&id("t1"), get).expect_err("no start");
    assert_eq!(error, ChainError::Endless(id("t1")));
}

// Guards against rows of a continued chain being deleted: the version that
// another VM wrote to postpone it isn't the one that the deletion expects.
#[test]
fn take_expired_groups_rows_by_partition() {
    let mut expiry = RowExpiry::default();
    let mut expected = 0;
    for number in 0..300 {
        let turn = turn(&format!("t{number}"), &[], b"in", b"out");
        let head = row_writes(&turn, 0, 4_096).pop().expect("head");
        let row = StoredRow {
            key: head.key,
            version: number,
        };
        let is_old = number % 3 == 0;
        expected += usize::from(is_old);
        assert!(expiry.add(vec![row], if is_old { 50 } else { 500 }));
    }
    let deletions = expiry.take_expired(100);
    let rows: usize = deletions.iter().map(Vec::len).sum();
    assert_eq!(rows, expected);
    for deletion in &deletions {
        let first = &deletion[0].key.partition;
        assert!(deletion.iter().all(|write| write.key.partition == *first));
        assert!(deletion.iter().all(|write| write.value.is_none()));
    }
    assert!(expiry.take_expired(100).is_empty());
}

// Guards against rows that VMs leave in the store for good when they end, and
// against deletion of turns that are kept.
#[test]
fn expired_rows_are_those_of_expired_turns() {
    let old = turn("t1", &[], &[7; 9_000], b"out");
    let newer = turn("t1-longer-id", &[], &[7; 9_000], b"out");
    let mut rows = rows_of(&row_writes(&old, 100, 4_096), 3);
    rows.extend(rows_of(&row_writes(&newer, 200, 4_096), 4));
    assert!(expired_rows(&rows, 100).is_empty());
    let deletions = expired_rows(&rows, 101);
    assert_eq!(deletions.len(), row_writes(&old, 100, 4_096).len());
    assert!(deletions.iter().all(|write| write.expected_version == 3));
    assert_eq!(expired_rows(&rows, 201).len(), rows.len());
}

#[test]
fn needs_extension_after_one_retention() {
    assert!(!RowExpiry::needs_extension(1_000, 60_000, 61_000));
    assert!(RowExpiry::needs_extension(1_000, 60_000, 61_001));
    // The row of a turn that is not old enough outlasts one that continues it.
    assert!(RowExpiry::expires_unix_ms(1_000, 60_000) >= 61_000 + 60_000);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    // Guards against content that a row limit, a split or the codec changes.
    #[test]
    fn row_writes_decode_to_the_same_turn(
        input in prop::collection::vec(any::<u8>(), 0..20_000),
        output in prop::collection::vec(any::<u8>(), 0..2_000),
        ancestors in prop::collection::vec("[0-9a-f]{16}", 0..20),
        max_row_bytes in 4_096..20_000_usize,
    ) {
        let names: Vec<&str> = ancestors.iter().map(String::as_str).collect();
        let turn = turn("t", &names, &input, &output);
        let writes = row_writes(&turn, 8, max_row_bytes);
        let sizes = writes.iter().map(|write| write.value.as_ref().map_or(0, Vec::len));
        let largest = sizes.max().unwrap_or_default();
        prop_assert!(largest <= max_row_bytes);
        let kept = decode_rows(&turn.id, &rows_of(&writes, 1)).expect("complete");
        prop_assert_eq!(kept.turn, turn);
    }

    // Guards against a crash on bytes from the store or another VM.
    #[test]
    fn decode_of_any_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = Turn::decode(&bytes);
        let mut writes = row_writes(&turn("t", &[], b"", b""), 0, 4_096);
        writes[0].value = Some(bytes);
        let _ = decode_rows(&id("t"), &rows_of(&writes, 1));
    }

    // Guards against memory that grows with the number of turns.
    #[test]
    fn turn_cache_stays_within_its_size(sizes in prop::collection::vec(0..3_000_usize, 1..200)) {
        let mut cache = TurnCache::new(20_000);
        for (number, size) in sizes.iter().enumerate() {
            let name = format!("t{}", number % 50);
            cache.insert(Rc::new(turn(&name, &[], &vec![0; *size], b"")));
            let recent = id(&format!("t{}", number.saturating_sub(3) % 50));
            if let Some(found) = cache.get(&recent) {
                prop_assert_eq!(&found.id, &recent);
            }
            prop_assert!(cache.used_bytes() <= 20_000);
        }
        prop_assert!(!cache.is_empty());
    }
}

#[test]
fn partition_of_a_turn_is_that_of_its_rows() {
    let turn = turn("t1", &[], b"in", &[b'x'; 20_000]);
    let writes = row_writes(&turn, 0, 4_096);
    assert!(writes.len() > 1);
    let partition = partition_of(&turn.id);
    assert!(writes.iter().all(|write| write.key.partition == partition));
}

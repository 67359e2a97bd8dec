//! Rows that VMs write, with values that none of them writes.

use lagoon_gateway::{BudgetRow, CrashRecord};
use proptest::prelude::*;
use yare::parameterized;

// Guards against a budget that is free again, as the sum of a row's tokens overflows.
#[parameterized(
    charged_huge = { r#"{"charged_tokens":18446744073709551615,"marks":[]}"# },
    charged_negative = { r#"{"charged_tokens":-1,"marks":[]}"# },
    charged_fraction = { r#"{"charged_tokens":0.5,"marks":[]}"# },
    charged_missing = { r#"{"marks":[]}"# },
    writers_missing = { r#"{"charged_tokens":1}"# },
    held_huge = { r#"{"charged_tokens":1,"marks":[{"writer":"a","number":1,"held_tokens":9223372036854775808}]}"# },
    held_missing = { r#"{"charged_tokens":1,"marks":[{"writer":"a","number":1}]}"# },
    whole_text = { r#"{"charged_tokens":1,"is_whole":"yes","marks":[]}"# },
    empty = { "" },
)]
fn budget_row_rejects(value: &str) {
    assert!(BudgetRow::decode(value.as_bytes()).is_err());
}

// Guards against a row that is read as a crash and can't be deleted, as its key is
// another spelling of the crash's.
#[parameterized(
    sign = { "+000000000000001000000020" },
    capitals = { "000000000000000A0000000200" },
    short = { "00000000000000010000000200".split_at(25).0 },
    not_ascii = { "00000000000000\u{e9}10000000200" },
    empty = { "" },
)]
fn crash_record_rejects_row_key(key: &str) {
    assert_eq!(CrashRecord::from_row_key(key), None);
}

proptest! {
    // Guards against bytes or a key that end a VM.
    #[test]
    fn decoders_of_any_bytes(bytes: Vec<u8>, key in ".{0,40}") {
        prop_assert!(BudgetRow::decode(&bytes).is_err());
        if let Some(record) = CrashRecord::from_row_key(&key) {
            prop_assert_eq!(record.row_key(), key);
        }
    }
}

//! The table, its order and the page that shows it.

use lagoon_errors::{error_spec, CallError, ErrorKind, ExecutionStatus, RetryAdvice, ERROR_SPECS};

#[test]
fn row_every_kind_finds_itself() {
    for entry in ERROR_SPECS {
        assert_eq!(error_spec(entry.kind), entry);
    }
    assert_eq!(
        ERROR_SPECS.last().map(|entry| entry.kind),
        Some(ErrorKind::Internal)
    );
}

#[test]
fn table_page_shows_each_row() {
    let page = include_str!("../../../docs/ERRORS.md");
    let expected: Vec<String> = ERROR_SPECS
        .iter()
        .map(|entry| {
            let after = match entry.retry {
                RetryAdvice::No => "-".to_owned(),
                RetryAdvice::After => format!("{} s", entry.retry_after_s),
            };
            format!(
                "| `{}` | {} | `{}` | {} | {} |",
                entry.kind, entry.status, entry.ran, entry.retry, after
            )
        })
        .collect();
    let shown: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .map(|line| {
            let end = line.match_indices(" |").nth(4).expect("five columns").0;
            &line[..end + 2]
        })
        .collect();
    assert_eq!(shown, expected);
}

#[yare::parameterized(
    conflict = { ErrorKind::CallConflict, 409, ExecutionStatus::NotRun, None },
    doubt = { ErrorKind::InDoubt, 502, ExecutionStatus::Unknown, None },
    overload = { ErrorKind::Overloaded, 503, ExecutionStatus::NotRun, Some(2) },
)]
fn refusal_takes_table_answer(
    kind: ErrorKind,
    status: u16,
    ran: ExecutionStatus,
    retry_after_s: Option<u32>,
) {
    let refusal = CallError::new(kind, "detail");
    assert_eq!(refusal.status(), status);
    assert_eq!(refusal.ran, ran);
    assert_eq!(refusal.retry_after_s, retry_after_s);
}

//! Order of the error specs, and their agreement with docs/ERRORS.md.

use lagoon_errors::{error_spec, CallError, ErrorKind, ExecutionStatus, RetryAdvice, ERROR_SPECS};

#[test]
fn error_spec_has_the_kind_it_was_looked_up_by() {
    for spec in ERROR_SPECS {
        assert_eq!(error_spec(spec.kind), spec);
    }
    assert_eq!(
        ERROR_SPECS.last().map(|spec| spec.kind),
        Some(ErrorKind::RequestTimeout)
    );
}

#[test]
fn errors_page_lists_each_spec() {
    let page = include_str!("../../../docs/ERRORS.md");
    let expected: Vec<String> = ERROR_SPECS
        .iter()
        .map(|spec| {
            let after = match spec.retry {
                RetryAdvice::No => "-".to_owned(),
                RetryAdvice::After => format!("{} s", spec.retry_after_s),
            };
            format!(
                "| `{}` | {} | `{}` | {} | {} |",
                spec.kind, spec.status, spec.ran, spec.retry, after
            )
        })
        .collect();
    let listed: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .map(|line| {
            let end = line.match_indices(" |").nth(4).expect("five columns").0;
            &line[..end + 2]
        })
        .collect();
    assert_eq!(listed, expected);
}

#[yare::parameterized(
    conflict = { ErrorKind::CallConflict, 409, ExecutionStatus::NotRun, None },
    doubt = { ErrorKind::InDoubt, 502, ExecutionStatus::Unknown, None },
    overload = { ErrorKind::Overloaded, 503, ExecutionStatus::NotRun, Some(2) },
)]
fn call_error_takes_the_defaults_of_its_kind(
    kind: ErrorKind,
    status: u16,
    ran: ExecutionStatus,
    retry_after_s: Option<u32>,
) {
    let error = CallError::new(kind, "detail");
    assert_eq!(error.status(), status);
    assert_eq!(error.ran, ran);
    assert_eq!(error.retry_after_s, retry_after_s);
}

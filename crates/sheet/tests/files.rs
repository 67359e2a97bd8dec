//! Parsing of valid and invalid sheets.

use lagoon_sheet::{parse, RetrySafety, SheetError, Workload};

const KUMABARK: &str = include_str!("../../../samples/kumabark.csv");
const SERASI: &str = include_str!("../../../samples/serasi.csv");
const TRIAL: &str = include_str!("../../../samples/trial.csv");
const MANY_ERRORS: &str = include_str!("invalid/many.csv");

#[yare::parameterized(
    kumabark = { KUMABARK, 1, 2, 18 },
    serasi = { SERASI, 1, 3, 16 },
    trial = { TRIAL, 2, 2, 6 },
)]
fn parse_accepts_sample(text: &str, markets: usize, accounts: usize, targets: usize) {
    let sheet = parse(text).expect("valid");
    assert_eq!(sheet.markets.len(), markets);
    assert_eq!(sheet.accounts.len(), accounts);
    assert_eq!(sheet.targets.len(), targets);
}

#[test]
fn lookups_find_rows_of_sample() {
    let sheet = parse(KUMABARK).expect("valid");
    let account = sheet.account("grower-desk-key").expect("account");
    let service = sheet.service("booking", account.market).expect("service");
    assert_eq!(
        sheet.services[service.index()].retry_safety,
        RetrySafety::AtMostOnce
    );
    assert_eq!(sheet.targets_serving(Workload::Service(service)).count(), 4);
    assert!(sheet.account("other-key").is_none());
    assert!(sheet.model("planner", account.market).is_none());
}

#[test]
fn parse_reports_every_error() {
    let errors = parse(MANY_ERRORS).expect_err("invalid");
    let found: Vec<(u64, &str)> = errors
        .iter()
        .map(|error| (error.row, error.column.as_str()))
        .collect();
    let expected = [
        (2, "budget_tokens"),
        (3, "name"),
        (4, "key_sha256"),
        (5, "market"),
        (7, "repeat"),
        (8, "address"),
        (8, "slots"),
        (9, "serves"),
        (10, "kind"),
        (11, "-"),
        (12, "weight_latency"),
        (12, "name"),
    ];
    assert_eq!(found, expected);
    assert!(errors
        .iter()
        .all(|error: &SheetError| !error.allowed.is_empty()));
}

#[test]
fn parse_rejects_other_header() {
    let errors = parse("a,b\n1,2\n").expect_err("invalid");
    assert_eq!(errors.len(), 1);
    assert_eq!(errors[0].row, 1);
}

//! Parsing of valid and invalid command lines.

use lagoon_cli::options::{parse_args, Command, ParsedArgs};

fn command(line: &str) -> Command {
    let words: Vec<&str> = line.split_whitespace().collect();
    match parse_args(&words).expect("valid") {
        ParsedArgs::Run(options) => options.command,
        ParsedArgs::Print(text) => panic!("{text}"),
    }
}

#[test]
fn parse_args_sheet_apply_takes_its_flags() {
    let expected = Command::SheetApply {
        file: "a.csv".into(),
        base: Some(3),
        author: "mika".to_owned(),
    };
    assert_eq!(
        command("sheet apply a.csv --base 3 --author mika"),
        expected
    );
}

#[test]
fn parse_args_settle_parses_outcome() {
    let expected = Command::ResolveInDoubt {
        program: "p/s".parse().expect("program"),
        call: 2,
        ran: false,
    };
    assert_eq!(command("doubts settle p/s 2 not-run"), expected);
}

#[yare::parameterized(
    none = { "", "no command" },
    unknown = { "frobnicate", "unknown command" },
    no_author = { "sheet apply a.csv", "--author" },
    bad_base = { "sheet apply a.csv --author m --base x", "--base" },
    bad_outcome = { "doubts settle p 1 maybe", "neither" },
    bad_address = { "--operators host status", "--operators" },
    bad_flag = { "--loud status", "loud" },
)]
fn parse_args_error_names_invalid_argument(line: &str, expected: &str) {
    let words: Vec<&str> = line.split_whitespace().collect();
    let error = parse_args(&words).expect_err("invalid").to_string();
    assert!(error.contains(expected), "{error}");
    assert!(error.contains("--help"), "{error}");
}

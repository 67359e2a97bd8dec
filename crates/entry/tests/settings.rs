//! Settings files and command line.

use std::path::Path;

use lagoon_entry::{load, parse, parse_args, Command};
use yare::parameterized;

const SAMPLE: &str = include_str!("../../../samples/entry.toml");

#[test]
fn load_sample() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples/entry.toml");
    let settings = load(&path).expect("sample is valid");
    assert_eq!(settings.vm.domain, "kyushu-a");
    assert_eq!(settings.limits, Default::default());
    assert_eq!(settings.log, Default::default());
}

#[parameterized(
    no_store = { "[store]\naddress = \"127.0.0.1:7310\"\n# Maximum size of a row's value, as base64.\nrow_bytes = 65536", "", "store" },
    row_too_small = { "row_bytes = 65536", "row_bytes = 4095", "store.row_bytes" },
    first_start_no_flag = { "first_start = false", "first_start = 0", "vm.first_start" },
    unknown_key = { "[limits]", "[limits]\ncolour = 1", "limits.colour" },
    host_name = { "127.0.0.1:7310", "localhost:7310", "store.address" },
    too_small = { "settle_ms = 1000", "settle_ms = 1", "limits.settle_ms" },
    wrong_type = { "memory_mb = 120", "memory_mb = \"much\"", "limits.memory_mb" },
    no_name = { "name = \"vm-1\"", "name = \"\"", "vm.name" },
)]
fn parse_fault_names_file_and_key(from: &str, to: &str, key: &str) {
    let text = SAMPLE.replacen(from, to, 1);
    assert_ne!(text, SAMPLE);
    let error = parse("entry.toml", &text)
        .expect_err("is faulty")
        .to_string();
    assert!(
        error.contains("entry.toml") && error.contains(key),
        "{error}"
    );
}

#[test]
fn load_missing_file_is_named() {
    let error = load(Path::new("/no/such/file")).expect_err("is missing");
    assert!(error.to_string().contains("/no/such/file"));
}

#[parameterized(
    run = { &["--settings", "a.toml"], Some(Command::Run("a.toml".into())) },
    check = { &["--check-settings", "a.toml"], Some(Command::Check("a.toml".into())) },
    nothing = { &[], None },
    unknown = { &["--loud"], None },
    extra = { &["--settings", "a.toml", "b"], None },
)]
fn parse_args_line(args: &[&str], expected: Option<Command>) {
    assert_eq!(parse_args(args).ok(), expected);
}

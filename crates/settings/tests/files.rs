//! Parsing of valid and invalid settings files.

use std::path::{Path, PathBuf};

use lagoon_settings::{load, SettingsError};

fn crate_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

#[yare::parameterized(
    smallest = { "tests/valid/smallest.toml" },
    sample = { "../../samples/lagoond.toml" },
)]
fn load_accepts_valid_file(name: &str) {
    let settings = load(&crate_path(name)).expect("valid");
    assert_eq!(settings.vm.name.as_str(), "vm1");
}

#[yare::parameterized(
    unknown_key = { "unknown_key", "callers", "gap_wait_ms" },
    wrong_type = { "wrong_type", "callers.gap_wait_ms", "expected u64" },
    out_of_range = { "out_of_range", "callers.gap_wait_ms", "allowed is 10 to 60000" },
    bad_level = { "bad_level", "log.level", "allowed are off, error" },
    short_suspect = { "short_suspect", "members.suspect_ms", "at least three times" },
    missing_address = { "missing_address", "platform.address", "missing field" },
    same_address = { "same_address", "listen.operators", "an address of its own" },
    bad_name = { "bad_name", "vm.name", "allowed are letters" },
    host_name = { "host_name", "listen.callers", "invalid socket address" },
)]
fn load_error_names_file_key_and_allowed_values(name: &str, expected_key: &str, allowed: &str) {
    let path = crate_path(&format!("tests/invalid/{name}.toml"));
    let error = load(&path).expect_err("invalid");
    let text = error.to_string();
    assert!(text.contains(&format!("{name}.toml")), "{text}");
    match error {
        SettingsError::Key { key, detail, .. } => {
            assert!(key.starts_with(expected_key), "{key}: {detail}");
            assert!(detail.contains(allowed), "{detail}");
        }
        other => panic!("{other}"),
    }
}

#[test]
fn load_reports_syntax_error() {
    let error = load(&crate_path("tests/invalid/no_toml.toml")).expect_err("invalid");
    assert!(matches!(error, SettingsError::Syntax { .. }));
}

//! Command line and settings file of the daemon binary.

use std::path::Path;
use std::process::{Command, Output};

fn daemon(args: &[&str]) -> Output {
    let workspace_root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    Command::new(env!("CARGO_BIN_EXE_lagoond"))
        .current_dir(workspace_root)
        .args(args)
        .output()
        .expect("daemon")
}

#[yare::parameterized(
    sample = { &["--check-settings", "samples/lagoond.toml"], 0, "settings are valid" },
    help = { &["--help"], 0, "--check-settings FILE" },
    version = { &["--version"], 0, "lagoond 0." },
)]
fn run_prints_to_stdout(args: &[&str], code: i32, expected: &str) {
    let output = daemon(args);
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(code));
    assert!(text.contains(expected), "{text}");
}

#[yare::parameterized(
    no_flag = { &[], "--settings is missing" },
    unknown_flag = { &["--loud"], "loud" },
    no_file = { &["--settings", "nowhere.toml"], "nowhere.toml" },
    unknown_key = { &["--settings", "crates/settings/tests/invalid/unknown_key.toml"], "gap_wait_mss" },
    out_of_range = { &["--check-settings", "crates/settings/tests/invalid/out_of_range.toml"], "callers.gap_wait_ms" },
)]
fn run_bad_input_exits_with_two(args: &[&str], expected: &str) {
    let output = daemon(args);
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(text.contains(expected), "{text}");
}

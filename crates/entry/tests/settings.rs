//! Settings files and command line.

use std::path::Path;

use lagoon_entry::{load, parse, parse_args, AccountSettings, Command};
use yare::parameterized;

const SAMPLE: &str = include_str!("../../../samples/entry.toml");

#[test]
fn load_sample() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples/entry.toml");
    let settings = load(&path).expect("sample is valid");
    assert_eq!(settings.vm.domain, "kyushu-a");
    assert_eq!(settings.limits, Default::default());
    assert_eq!(settings.log, Default::default());
    assert_eq!(settings.accounts, Default::default());
}

// Guards against a deployment without the bounds that gets strict revocation.
#[test]
fn parse_without_accounts_is_not_strict() {
    let start = SAMPLE.find("# Client accounts").expect("a section");
    let end = SAMPLE.find("[log]").expect("a section");
    let text = [&SAMPLE[..start], &SAMPLE[end..]].concat();
    let settings = parse("entry.toml", &text).expect("is valid");
    assert!(!settings.accounts.strict_revocation);
    assert_eq!(settings.accounts, Default::default());
}

/// Text of the template as the platform renders it with these bounds; all other
/// placeholders get the values of a VM.
fn render(bounds: &[(&str, &str)]) -> String {
    let mut text = include_str!("../../../deploy/entry.toml").to_owned();
    for name in [
        "platform.row_bytes",
        "bounds.strict_revoke",
        "bounds.revoke_ms",
        "bounds.quota_window_s",
        "bounds.quota_over",
        "bounds.quota_slack",
    ] {
        let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
        let (before, rest) = text.split_once(&open).expect("a section");
        let (section, after) = rest.split_once(&close).expect("its end");
        let value = bounds.iter().find(|(bound, _)| *bound == name);
        let section = value.map_or(String::new(), |(_, value)| {
            section
                .replace("{{.}}", value)
                .replace(&format!("{{{{{name}}}}}"), value)
        });
        text = [before, &section, after].concat();
    }
    for (name, value) in [
        ("node_name", "vm-1"),
        ("zone", "kyushu-a"),
        ("bootstrap", "false"),
        ("listen.front", "127.0.0.1:7300"),
        ("listen.ready", "127.0.0.1:7301"),
        ("ip", "127.0.0.1"),
        ("internal_ports.0", "7302"),
        ("platform.address", "127.0.0.1:7310"),
        ("bounds.grace_s", "8"),
        ("bounds.settle_ms", "1000"),
        ("limits.memory_mb", "120"),
        ("limits.max_fds", "1024"),
    ] {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

// Guards against a template that writes keys which a deployment has no bounds for, or in
// a form that the daemon doesn't start with.
#[test]
fn template_writes_accounts_only_with_their_bounds() {
    let text = render(&[]);
    assert!(!text.contains("accounts"), "{text}");
    let settings = parse("entry.toml", &text).expect("is valid");
    assert_eq!(settings.accounts, Default::default());
    let text = render(&[
        ("bounds.strict_revoke", "true"),
        ("bounds.revoke_ms", "4000"),
        ("bounds.quota_window_s", "4"),
        ("bounds.quota_over", "0.2"),
        ("bounds.quota_slack", "7"),
    ]);
    let accounts = parse("entry.toml", &text).expect("is valid").accounts;
    let expected = AccountSettings {
        strict_revocation: true,
        revocation_ms: 4_000,
        quota_window_s: 4.0,
        quota_excess: 0.2,
        quota_slack: 7.0,
    };
    assert_eq!(accounts, expected);
}

#[parameterized(
    no_store = { "[store]\naddress = \"127.0.0.1:7310\"\n# Maximum size of a row's value, as base64.\nrow_bytes = 65536", "", "store" },
    row_too_small = { "row_bytes = 65536", "row_bytes = 4095", "store.row_bytes" },
    first_start_no_flag = { "first_start = false", "first_start = 0", "vm.first_start" },
    unknown_key = { "[limits]", "[limits]\ncolour = 1", "limits.colour" },
    host_name = { "127.0.0.1:7310", "localhost:7310", "store.address" },
    too_small = { "settle_ms = 1000", "settle_ms = 1", "limits.settle_ms" },
    wrong_type = { "memory_mb = 120", "memory_mb = \"much\"", "limits.memory_mb" },
    strict_no_flag = { "strict_revocation = false", "strict_revocation = 1", "accounts.strict_revocation" },
    revocation_too_soon = { "revocation_ms = 5000", "revocation_ms = 999", "accounts.revocation_ms" },
    no_window = { "quota_window_s = 5.0", "quota_window_s = 0", "accounts.quota_window_s" },
    excess_negative = { "quota_excess = 0.1", "quota_excess = -0.1", "accounts.quota_excess" },
    slack_not_a_number = { "quota_slack = 20.0", "quota_slack = nan", "accounts.quota_slack" },
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

//! Settings file of the entry daemon.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use compact_str::CompactString;
use lagoon_settings::LogSettings;
use serde::Deserialize;
use thiserror::Error;

/// Contents of the settings file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name and failure domain of this VM.
    pub vm: EntryVm,
    /// Addresses for callers, the load balancer and other VMs.
    pub listen: EntryListen,
    /// The platform's store.
    pub store: EntryStore,
    /// Limits set by the deployment and the machine.
    #[serde(default)]
    pub limits: EntryLimits,
    /// Revocation of client accounts' keys, and their quotas.
    #[serde(default)]
    pub accounts: AccountSettings,
    /// Level, destination and maximum rate of log lines.
    #[serde(default)]
    pub log: LogSettings,
}

/// Name and failure domain of this VM; both go into its row in the store.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EntryVm {
    /// Name, under which other VMs find this one; not empty.
    pub name: CompactString,
    /// Name of the VM's failure domain; the same at all VMs in it.
    pub domain: CompactString,
    /// Whether the whole fleet starts for the first time, so that no state of an
    /// earlier run exists.
    #[serde(default)]
    pub first_start: bool,
}

/// Addresses to listen on, each an IP address and a port.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EntryListen {
    /// HTTP requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks of the load balancer.
    pub ready: SocketAddr,
    /// Messages (TCP) and gossip (UDP) of other entry VMs, and metrics at
    /// `/metrics`.
    pub peers: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EntryStore {
    /// IP address and port at which the store takes HTTP requests.
    pub address: SocketAddr,
    /// Maximum size of a row's value in bytes, as base64; at least 4,096.
    #[serde(default = "default_row_bytes")]
    pub row_bytes: usize,
}

fn default_row_bytes() -> usize {
    65_536
}

/// Limits set by the deployment and the machine.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct EntryLimits {
    /// Seconds between the stop signal and the kill; at least 1.
    pub stop_wait_s: f64,
    /// Milliseconds within which the tokens that a call used must be known at
    /// the store; at least 100.
    pub settle_ms: u64,
    /// Memory of the process in megabytes, all of which it stays within; a quarter of it
    /// may be bytes that are held for callers and targets. At least 16.
    pub memory_mb: u64,
    /// Milliseconds in which the whole body of a caller's request must arrive; at least
    /// 1,000.
    pub body_timeout_ms: u64,
    /// Open connections of one caller's address; 0 for seven eighths of all.
    pub connections_per_address: u64,
    /// File descriptors of the process, four of which each incoming connection
    /// may need; at least 256.
    pub descriptors: u64,
}

impl Default for EntryLimits {
    fn default() -> Self {
        EntryLimits {
            stop_wait_s: 8.0,
            settle_ms: 1_000,
            memory_mb: 120,
            body_timeout_ms: 60_000,
            connections_per_address: 0,
            descriptors: 1_024,
        }
    }
}

/// Revocation of client accounts' keys, and their quotas.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct AccountSettings {
    /// Whether requests with a key are refused unless the configuration is known to be
    /// so recent that the key wasn't revoked `revocation_ms` ago.
    pub strict_revocation: bool,
    /// Milliseconds after which a key that was removed serves no request; at least
    /// 1,000.
    pub revocation_ms: u64,
    /// Seconds of the window in which an account's requests are counted; above 0.
    pub quota_window_s: f64,
    /// Part of a quota by which it may be exceeded; at least 0.
    pub quota_excess: f64,
    /// Requests in a window by which a quota may be exceeded besides; at least 0.
    pub quota_slack: f64,
}

impl Default for AccountSettings {
    fn default() -> Self {
        AccountSettings {
            strict_revocation: false,
            revocation_ms: 5_000,
            quota_window_s: 5.0,
            quota_excess: 0.1,
            quota_slack: 20.0,
        }
    }
}

/// Unreadable or invalid settings file.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// File can't be read.
    #[error("{file}: can't be read: {source}")]
    Read {
        /// File, as passed to [`load`].
        file: String,
        /// Error of the failed read.
        source: std::io::Error,
    },
    /// Key is unknown or missing, or has an invalid value.
    #[error("{file}: key `{key}`: {detail}")]
    Key {
        /// File, as passed to [`load`] or [`parse`].
        file: String,
        /// Path of the key, such as `limits.settle_ms`; `.` if the file is not
        /// valid TOML.
        key: String,
        /// What is wrong, such as a type mismatch, or the values that are
        /// allowed.
        detail: String,
    },
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Fails on the first invalid key; the error names file and key.
pub fn load(path: &Path) -> Result<EntrySettings, SettingsError> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => parse(&file, &text),
        Err(source) => Err(SettingsError::Read { file, source }),
    }
}

/// Validates the text of a settings file; `file` names it in errors.
///
/// # Errors
///
/// Fails on the first invalid key; the error names file and key.
pub fn parse(file: &str, text: &str) -> Result<EntrySettings, SettingsError> {
    let key_error = |key: String, detail: String| SettingsError::Key {
        file: file.to_owned(),
        key,
        detail,
    };
    let deserializer = toml::Deserializer::parse(text)
        .map_err(|error| key_error(".".to_owned(), error.message().to_owned()))?;
    let settings: EntrySettings = serde_path_to_error::deserialize(deserializer)
        .map_err(|error| key_error(error.path().to_string(), error.inner().message().to_owned()))?;
    let limits = &settings.limits;
    let accounts = &settings.accounts;
    let is_amount = |number: f64| number.is_finite() && number >= 0.0;
    let checks = [
        (
            "limits.stop_wait_s",
            limits.stop_wait_s >= 1.0,
            "at least 1",
        ),
        ("limits.settle_ms", limits.settle_ms >= 100, "at least 100"),
        ("limits.memory_mb", limits.memory_mb >= 16, "at least 16"),
        (
            "limits.body_timeout_ms",
            limits.body_timeout_ms >= 1_000,
            "at least 1000",
        ),
        (
            "limits.descriptors",
            limits.descriptors >= 256,
            "at least 256",
        ),
        (
            "store.row_bytes",
            settings.store.row_bytes >= 4_096,
            "at least 4096",
        ),
        (
            "accounts.revocation_ms",
            accounts.revocation_ms >= 1_000,
            "at least 1000",
        ),
        (
            "accounts.quota_window_s",
            is_amount(accounts.quota_window_s) && accounts.quota_window_s > 0.0,
            "above 0",
        ),
        (
            "accounts.quota_excess",
            is_amount(accounts.quota_excess),
            "at least 0",
        ),
        (
            "accounts.quota_slack",
            is_amount(accounts.quota_slack),
            "at least 0",
        ),
        ("vm.name", !settings.vm.name.is_empty(), "a non-empty name"),
    ];
    for (key, is_valid, allowed) in checks {
        if !is_valid {
            return Err(key_error(key.to_owned(), format!("must be {allowed}")));
        }
    }
    Ok(settings)
}

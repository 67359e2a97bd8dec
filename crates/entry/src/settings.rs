//! Settings file of the entry daemon.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use compact_str::CompactString;
use lagoon_settings::LogSettings;
use serde::Deserialize;
use thiserror::Error;

/// Whole settings file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Identity of the VM.
    pub vm: EntryVm,
    /// Addresses to listen on.
    pub listen: EntryListen,
    /// Platform's store.
    pub store: EntryStore,
    /// Bounds of the deployment and the machine.
    #[serde(default)]
    pub limits: EntryLimits,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Identity of the VM.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EntryVm {
    /// Name.
    pub name: CompactString,
    /// Failure domain.
    pub domain: CompactString,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EntryListen {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Readiness, for the balancer.
    pub ready: SocketAddr,
    /// Other entry VMs, by TCP and by UDP, and metrics as text at `/metrics`.
    pub peers: SocketAddr,
}

/// Platform's store.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EntryStore {
    /// Address.
    pub address: SocketAddr,
}

/// Bounds of the deployment and the machine.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct EntryLimits {
    /// Time between the order to stop and the kill.
    pub stop_wait_s: f64,
    /// Time within which what a call spent must be known.
    pub settle_ms: u64,
    /// Memory of the process.
    pub memory_mb: u64,
    /// File descriptors of the process.
    pub descriptors: u64,
}

impl Default for EntryLimits {
    fn default() -> Self {
        EntryLimits {
            stop_wait_s: 8.0,
            settle_ms: 1_000,
            memory_mb: 120,
            descriptors: 1_024,
        }
    }
}

/// Fault of a settings file.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// File can't be read.
    #[error("{file}: can't be read: {source}")]
    Read {
        /// Path of the file.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
    /// Key is unknown, missing or has a wrong value.
    #[error("{file}: key `{key}`: {detail}")]
    Key {
        /// Path of the file.
        file: String,
        /// Key with its sections.
        key: String,
        /// What is wrong.
        detail: String,
    },
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Fails on the first fault, with file and key.
pub fn load(path: &Path) -> Result<EntrySettings, SettingsError> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => parse(&file, &text),
        Err(source) => Err(SettingsError::Read { file, source }),
    }
}

/// Checks the text of a settings file; `file` names it in errors.
///
/// # Errors
///
/// Fails on the first fault, with file and key.
pub fn parse(file: &str, text: &str) -> Result<EntrySettings, SettingsError> {
    let fault = |key: String, detail: String| SettingsError::Key {
        file: file.to_owned(),
        key,
        detail,
    };
    let deserializer = toml::Deserializer::parse(text)
        .map_err(|error| fault(".".to_owned(), error.message().to_owned()))?;
    let settings: EntrySettings = serde_path_to_error::deserialize(deserializer)
        .map_err(|error| fault(error.path().to_string(), error.inner().message().to_owned()))?;
    let limits = &settings.limits;
    let checks = [
        (
            "limits.stop_wait_s",
            limits.stop_wait_s >= 1.0,
            "at least 1",
        ),
        ("limits.settle_ms", limits.settle_ms >= 100, "at least 100"),
        ("limits.memory_mb", limits.memory_mb >= 16, "at least 16"),
        (
            "limits.descriptors",
            limits.descriptors >= 256,
            "at least 256",
        ),
        ("vm.name", !settings.vm.name.is_empty(), "not empty"),
    ];
    for (key, is_valid, allowed) in checks {
        if !is_valid {
            return Err(fault(key.to_owned(), format!("allowed is {allowed}")));
        }
    }
    Ok(settings)
}

//! Parsing and validation of a settings file.

use std::fs;
use std::ops::RangeInclusive;
use std::path::Path;

use thiserror::Error;

use crate::ranges;
use crate::Settings;

const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// Why a settings file can't be used; the text names the file.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: failed to read: {source}")]
    Read {
        /// Path of the settings file, as given to [`load`].
        file: String,
        /// I/O error.
        source: std::io::Error,
    },
    /// The file isn't valid TOML.
    #[error("{file}: invalid TOML: {detail}")]
    Syntax {
        /// Path of the settings file, as given to [`load`].
        file: String,
        /// Parser error with its line.
        detail: String,
    },
    /// A key is unknown or missing, or has an invalid value.
    #[error("{file}: key `{key}`: {detail}")]
    Key {
        /// Path of the settings file, as given to [`load`].
        file: String,
        /// Dotted path of the key.
        key: String,
        /// Invalid value and allowed values.
        detail: String,
    },
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Fails with the first error found in the file.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let file = path.display().to_string();
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(source) => return Err(SettingsError::Read { file, source }),
    };
    parse(&file, &text)
}

/// Parses and validates the text of a settings file; errors name `file`.
///
/// # Errors
///
/// Fails with the first error found in the text.
pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let syntax = |error: toml::de::Error| SettingsError::Syntax {
        file: file.to_owned(),
        detail: error.to_string(),
    };
    // Deserialization below reports syntax errors too; a separate pass keeps
    // them apart from errors in keys.
    toml::from_str::<toml::Table>(text).map_err(syntax)?;
    let deserializer = toml::Deserializer::parse(text).map_err(syntax)?;
    let settings: Settings = serde_path_to_error::deserialize(deserializer)
        .map_err(|error| key_error(file, error.path().to_string(), error.inner().message()))?;
    validate(&settings).map_err(|(key, detail)| SettingsError::Key {
        file: file.to_owned(),
        key,
        detail,
    })?;
    Ok(settings)
}

fn key_error(file: &str, path: String, message: &str) -> SettingsError {
    // serde names an unknown or missing field in its message, not in the path.
    let missing_field = message
        .strip_prefix("missing field `")
        .and_then(|rest| rest.split('`').next());
    let key = match missing_field {
        Some(field) if path == "." => field.to_owned(),
        Some(field) => format!("{path}.{field}"),
        None => path,
    };
    SettingsError::Key {
        file: file.to_owned(),
        key,
        detail: message.to_owned(),
    }
}

/// Dotted path of a key, and a description of its invalid value and the allowed ones.
type KeyError = (String, String);

fn validate(settings: &Settings) -> Result<(), KeyError> {
    validate_numbers(settings)?;
    validate_addresses(settings)?;
    validate_log_levels(settings)
}

fn validate_numbers(settings: &Settings) -> Result<(), KeyError> {
    let numbers: [(&str, u64, RangeInclusive<u64>); 21] = [
        (
            "platform.timeout_ms",
            settings.platform.timeout_ms,
            ranges::PLATFORM_TIMEOUT_MS,
        ),
        (
            "platform.tries",
            settings.platform.tries,
            ranges::PLATFORM_TRIES,
        ),
        (
            "platform.workers",
            settings.platform.workers,
            ranges::PLATFORM_WORKERS,
        ),
        (
            "members.heartbeat_ms",
            settings.members.heartbeat_ms,
            ranges::HEARTBEAT_MS,
        ),
        (
            "members.suspect_ms",
            settings.members.suspect_ms,
            ranges::SUSPECT_MS,
        ),
        (
            "members.sheet_poll_ms",
            settings.members.sheet_poll_ms,
            ranges::SHEET_POLL_MS,
        ),
        (
            "members.stop_wait_ms",
            settings.members.stop_wait_ms,
            ranges::STOP_WAIT_MS,
        ),
        (
            "callers.body_limit_bytes",
            settings.callers.body_limit_bytes,
            ranges::BODY_LIMIT_BYTES,
        ),
        (
            "callers.gap_wait_ms",
            settings.callers.gap_wait_ms,
            ranges::GAP_WAIT_MS,
        ),
        (
            "callers.queue_limit",
            settings.callers.queue_limit,
            ranges::QUEUE_LIMIT,
        ),
        (
            "callers.idle_limit_ms",
            settings.callers.idle_limit_ms,
            ranges::IDLE_LIMIT_MS,
        ),
        (
            "callers.commit_wait_ms",
            settings.callers.commit_wait_ms,
            ranges::COMMIT_WAIT_MS,
        ),
        (
            "callers.max_connections",
            settings.callers.max_connections,
            ranges::MAX_CONNECTIONS,
        ),
        (
            "callers.connections_per_address",
            settings.callers.connections_per_address,
            ranges::CONNECTIONS_PER_ADDRESS,
        ),
        (
            "callers.head_timeout_ms",
            settings.callers.head_timeout_ms,
            ranges::HEAD_TIMEOUT_MS,
        ),
        (
            "callers.connection_idle_ms",
            settings.callers.connection_idle_ms,
            ranges::CONNECTION_IDLE_MS,
        ),
        (
            "callers.body_timeout_ms",
            settings.callers.body_timeout_ms,
            ranges::BODY_TIMEOUT_MS,
        ),
        (
            "targets.stream_silence_ms",
            settings.targets.stream_silence_ms,
            ranges::STREAM_SILENCE_MS,
        ),
        (
            "targets.answer_wait_ms",
            settings.targets.answer_wait_ms,
            ranges::ANSWER_WAIT_MS,
        ),
        (
            "targets.load_poll_ms",
            settings.targets.load_poll_ms,
            ranges::LOAD_POLL_MS,
        ),
        (
            "traces.sample_percent",
            settings.traces.sample_percent,
            ranges::SAMPLE_PERCENT,
        ),
    ];
    for (key, value, range) in numbers {
        validate_range(key, value, range)?;
    }
    let min_ms = 3 * settings.members.heartbeat_ms;
    if settings.members.suspect_ms < min_ms {
        let detail = format!(
            "{} is too short; allowed is at least three times members.heartbeat_ms, {min_ms}",
            settings.members.suspect_ms
        );
        return Err(("members.suspect_ms".to_owned(), detail));
    }
    Ok(())
}

fn validate_range(key: &str, value: u64, range: RangeInclusive<u64>) -> Result<(), KeyError> {
    if range.contains(&value) {
        return Ok(());
    }
    let detail = format!(
        "{value} is out of range; allowed is {} to {}",
        range.start(),
        range.end()
    );
    Err((key.to_owned(), detail))
}

fn validate_addresses(settings: &Settings) -> Result<(), KeyError> {
    let listen = &settings.listen;
    let addresses = [
        ("listen.callers", listen.callers),
        ("listen.operators", listen.operators),
        ("listen.peers", listen.peers),
    ];
    for (position, (key, address)) in addresses.iter().enumerate() {
        if address.port() == 0 {
            let detail = "port 0 is not allowed; allowed is 1 to 65535".to_owned();
            return Err(((*key).to_owned(), detail));
        }
        let duplicate = addresses[..position]
            .iter()
            .find(|(_, other)| other == address);
        if let Some((other, _)) = duplicate {
            let detail =
                format!("{address} is already used by {other}; allowed is an address of its own");
            return Err(((*key).to_owned(), detail));
        }
    }
    Ok(())
}

fn validate_log_levels(settings: &Settings) -> Result<(), KeyError> {
    validate_log_level("log.level", &settings.log.level)?;
    for (module, level) in &settings.log.modules {
        validate_log_level(&format!("log.modules.{module}"), level)?;
    }
    Ok(())
}

fn validate_log_level(key: &str, level: &str) -> Result<(), KeyError> {
    if LOG_LEVELS.contains(&level) {
        return Ok(());
    }
    let detail = format!(
        "`{level}` is not a log level; allowed are {}",
        LOG_LEVELS.join(", ")
    );
    Err((key.to_owned(), detail))
}

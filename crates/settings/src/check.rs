//! Reading and checking a settings file.

use std::fs;
use std::ops::RangeInclusive;
use std::path::Path;

use thiserror::Error;

use crate::constants as limits;
use crate::Settings;

const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

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
    /// File is no TOML.
    #[error("{file}: not TOML: {detail}")]
    Syntax {
        /// Path of the file.
        file: String,
        /// Cause, with its line.
        detail: String,
    },
    /// Key is unknown, missing or has a wrong value.
    #[error("{file}: key `{key}`: {detail}")]
    Key {
        /// Path of the file.
        file: String,
        /// Key with its sections.
        key: String,
        /// What is wrong and what is allowed.
        detail: String,
    },
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Fails on the first fault, with file and key.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let file = path.display().to_string();
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(source) => return Err(SettingsError::Read { file, source }),
    };
    parse(&file, &text)
}

/// Checks the text of a settings file; `file` names it in errors.
///
/// # Errors
///
/// Fails on the first fault, with file and key.
pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let syntax = |error: toml::de::Error| SettingsError::Syntax {
        file: file.to_owned(),
        detail: error.to_string(),
    };
    // Syntax first, so that a fault of a key is never taken for one.
    toml::from_str::<toml::Table>(text).map_err(syntax)?;
    let deserializer = toml::Deserializer::parse(text).map_err(syntax)?;
    let settings: Settings = serde_path_to_error::deserialize(deserializer)
        .map_err(|error| key_error(file, error.path().to_string(), error.inner().message()))?;
    check(&settings).map_err(|(key, detail)| SettingsError::Key {
        file: file.to_owned(),
        key,
        detail,
    })?;
    Ok(settings)
}

fn key_error(file: &str, path: String, message: &str) -> SettingsError {
    // serde names an unknown or missing field in its message, not in the path.
    let named = message
        .strip_prefix("missing field `")
        .and_then(|rest| rest.split('`').next());
    let key = match named {
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

type KeyFault = (String, String);

fn check(settings: &Settings) -> Result<(), KeyFault> {
    check_numbers(settings)?;
    check_addresses(settings)?;
    check_levels(settings)
}

fn check_numbers(settings: &Settings) -> Result<(), KeyFault> {
    let numbers: [(&str, u64, RangeInclusive<u64>); 16] = [
        (
            "platform.timeout_ms",
            settings.platform.timeout_ms,
            limits::PLATFORM_TIMEOUT_MS,
        ),
        (
            "platform.tries",
            settings.platform.tries,
            limits::PLATFORM_TRIES,
        ),
        (
            "platform.workers",
            settings.platform.workers,
            limits::PLATFORM_WORKERS,
        ),
        (
            "members.heartbeat_ms",
            settings.members.heartbeat_ms,
            limits::HEARTBEAT_MS,
        ),
        (
            "members.suspect_ms",
            settings.members.suspect_ms,
            limits::SUSPECT_MS,
        ),
        (
            "members.sheet_poll_ms",
            settings.members.sheet_poll_ms,
            limits::SHEET_POLL_MS,
        ),
        (
            "members.stop_wait_ms",
            settings.members.stop_wait_ms,
            limits::STOP_WAIT_MS,
        ),
        (
            "callers.body_limit_bytes",
            settings.callers.body_limit_bytes,
            limits::BODY_LIMIT_BYTES,
        ),
        (
            "callers.gap_wait_ms",
            settings.callers.gap_wait_ms,
            limits::GAP_WAIT_MS,
        ),
        (
            "callers.queue_limit",
            settings.callers.queue_limit,
            limits::QUEUE_LIMIT,
        ),
        (
            "callers.idle_limit_ms",
            settings.callers.idle_limit_ms,
            limits::IDLE_LIMIT_MS,
        ),
        (
            "callers.commit_wait_ms",
            settings.callers.commit_wait_ms,
            limits::COMMIT_WAIT_MS,
        ),
        (
            "targets.stream_silence_ms",
            settings.targets.stream_silence_ms,
            limits::STREAM_SILENCE_MS,
        ),
        (
            "targets.answer_wait_ms",
            settings.targets.answer_wait_ms,
            limits::ANSWER_WAIT_MS,
        ),
        (
            "targets.load_poll_ms",
            settings.targets.load_poll_ms,
            limits::LOAD_POLL_MS,
        ),
        (
            "traces.sample_percent",
            settings.traces.sample_percent,
            limits::SAMPLE_PERCENT,
        ),
    ];
    for (key, value, range) in numbers {
        check_range(key, value, range)?;
    }
    let shortest_ms = 3 * settings.members.heartbeat_ms;
    if settings.members.suspect_ms < shortest_ms {
        let detail = format!(
            "{} is too short; allowed is at least three times members.heartbeat_ms, {shortest_ms}",
            settings.members.suspect_ms
        );
        return Err(("members.suspect_ms".to_owned(), detail));
    }
    Ok(())
}

fn check_range(key: &str, value: u64, range: RangeInclusive<u64>) -> Result<(), KeyFault> {
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

fn check_addresses(settings: &Settings) -> Result<(), KeyFault> {
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
        let twin = addresses[..position]
            .iter()
            .find(|(_, other)| other == address);
        if let Some((other, _)) = twin {
            let detail = format!("{address} is taken by {other}; allowed is an address of its own");
            return Err(((*key).to_owned(), detail));
        }
    }
    Ok(())
}

fn check_levels(settings: &Settings) -> Result<(), KeyFault> {
    check_level("log.level", &settings.log.level)?;
    for (module, level) in &settings.log.modules {
        check_level(&format!("log.modules.{module}"), level)?;
    }
    Ok(())
}

fn check_level(key: &str, level: &str) -> Result<(), KeyFault> {
    if LOG_LEVELS.contains(&level) {
        return Ok(());
    }
    let detail = format!(
        "`{level}` is no level; allowed are {}",
        LOG_LEVELS.join(", ")
    );
    Err((key.to_owned(), detail))
}

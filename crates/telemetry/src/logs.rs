//! Logs, one record a line with `key=value` fields.

use std::fmt::{self, Arguments, Write as _};
use std::io::Write;
use std::time::SystemTime;

use lagoon_settings::LogSettings;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Log, Record};
use thiserror::Error;

use crate::lines::{LineWriter, Volume};

/// Reason why logs can't begin.
#[derive(Debug, Error)]
pub enum LogError {
    /// File can't be opened, or the writing thread can't start.
    #[error("log: {0}")]
    File(#[from] std::io::Error),
    /// Logs have begun before.
    #[error("logs have begun before")]
    AlreadyInitialized(#[from] log::SetLoggerError),
}

/// Begins to log for a VM.
///
/// # Errors
///
/// Fails when the file can't be opened or logs have begun before.
pub fn init_logs(settings: &LogSettings, vm: &str) -> Result<(), LogError> {
    let vm = vm.to_owned();
    let mut dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            out.finish(format_args!("{}", line(&vm, message, record)))
        })
        .level(level(&settings.level));
    let volume = Volume::new(settings.lines_per_s);
    dispatch = dispatch.filter(move |metadata| volume.admits(metadata.level()));
    for (module, module_level) in &settings.modules {
        dispatch = dispatch.level_for(module.clone(), level(module_level));
    }
    let dispatch = match &settings.file {
        Some(file) => dispatch.chain(fern::log_file(file)?),
        None if settings.stdout => dispatch.chain(writer(std::io::stdout())?),
        None => dispatch.chain(writer(std::io::stderr())?),
    };
    dispatch.apply()?;
    Ok(())
}

fn writer<W>(out: W) -> Result<Box<dyn Log>, std::io::Error>
where
    W: Write + Send + 'static,
{
    Ok(Box::new(LineWriter::start(out)?))
}

fn level(text: &str) -> LevelFilter {
    text.parse().unwrap_or(LevelFilter::Info)
}

fn line(vm: &str, message: &Arguments<'_>, record: &Record<'_>) -> String {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let time_ms = now.map_or(0, |since| since.as_millis());
    let mut line = format!(
        "time_ms={time_ms} level={} module={} vm={vm} message={:?}",
        record.level().as_str().to_lowercase(),
        record.target(),
        message.to_string(),
    );
    // Writing into a string does not fail.
    let _ = record.key_values().visit(&mut Fields(&mut line));
    line
}

struct Fields<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let text = value.to_string();
        let plain = !text.is_empty() && text.chars().all(|c| c.is_ascii_graphic() && c != '"');
        let written: fmt::Result = if plain {
            write!(self.0, " {key}={text}")
        } else {
            write!(self.0, " {key}={text:?}")
        };
        written.map_err(log::kv::Error::from)
    }
}

//! Logger setup; each record is one line of `key=value` fields.

use std::fmt::{self, Arguments, Write as _};
use std::io::Write;
use std::time::SystemTime;

use lagoon_settings::LogSettings;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Log, Record};
use thiserror::Error;

use crate::lines::{LineWriter, RateLimiter};

/// Error of [`init_logs`].
#[derive(Debug, Error)]
pub enum LogError {
    /// The log file can't be opened or the writer thread can't be started.
    #[error("failed to open the log: {0}")]
    File(#[from] std::io::Error),
    /// The process has a logger already.
    #[error("logger is already initialized")]
    AlreadyInitialized(#[from] log::SetLoggerError),
}

/// Sets the logger of the process; every line names `vm`.
///
/// # Errors
///
/// Fails if the log file can't be opened, the writer thread can't be started
/// or the process has a logger already.
pub fn init_logs(settings: &LogSettings, vm: &str) -> Result<(), LogError> {
    let vm = vm.to_owned();
    let mut dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            out.finish(format_args!("{}", format_line(&vm, message, record)))
        })
        .level(parse_level(&settings.level));
    let limiter = RateLimiter::new(settings.lines_per_s);
    dispatch = dispatch.filter(move |metadata| limiter.admits(metadata.level()));
    for (module, module_level) in &settings.modules {
        dispatch = dispatch.level_for(module.clone(), parse_level(module_level));
    }
    let dispatch = match &settings.file {
        Some(file) => dispatch.chain(fern::log_file(file)?),
        None if settings.stdout => dispatch.chain(start_writer(std::io::stdout())?),
        None => dispatch.chain(start_writer(std::io::stderr())?),
    };
    dispatch.apply()?;
    Ok(())
}

fn start_writer<W>(out: W) -> Result<Box<dyn Log>, std::io::Error>
where
    W: Write + Send + 'static,
{
    Ok(Box::new(LineWriter::start(out)?))
}

fn parse_level(text: &str) -> LevelFilter {
    text.parse().unwrap_or(LevelFilter::Info)
}

fn format_line(vm: &str, message: &Arguments<'_>, record: &Record<'_>) -> String {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let time_ms = now.map_or(0, |since| since.as_millis());
    let mut line = format!(
        "time_ms={time_ms} level={} module={} vm={vm} message={:?}",
        record.level().as_str().to_lowercase(),
        record.target(),
        message.to_string(),
    );
    // Writing to a string never fails.
    let _ = record.key_values().visit(&mut FieldWriter(&mut line));
    line
}

/// Appends fields to a line; empty values and those with spaces, quotes or
/// characters outside printable ASCII are quoted and escaped.
struct FieldWriter<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for FieldWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let text = value.to_string();
        let is_plain = !text.is_empty() && text.chars().all(|c| c.is_ascii_graphic() && c != '"');
        let written: fmt::Result = if is_plain {
            write!(self.0, " {key}={text}")
        } else {
            write!(self.0, " {key}={text:?}")
        };
        written.map_err(log::kv::Error::from)
    }
}

//! Settings file of the daemon.
//!
//! The whole file is read and every key is validated. The first error is
//! reported with the file, the key and the allowed values.

mod model;
mod ranges;
mod validate;

pub use model::{
    CallerSettings, ListenSettings, LogSettings, MemberSettings, MetricSettings, PeerSettings,
    PlatformSettings, Settings, TargetSettings, TraceSettings, VmSettings,
};
pub use validate::{load, parse, SettingsError};

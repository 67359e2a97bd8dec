//! Settings of the daemon.
//!
//! A file is read whole, each key is checked, and the first fault is named
//! with its file, its key and what is allowed there.

mod check;
mod constants;
mod model;

pub use check::{load, parse, SettingsError};
pub use model::{
    CallerSettings, ListenSettings, LogSettings, MemberSettings, MetricSettings, PeerSettings,
    PlatformSettings, Settings, TargetSettings, TraceSettings, VmSettings,
};

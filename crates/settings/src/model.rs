//! Sections and keys of the settings file.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use lagoon_ids::{DomainName, VmName};
use serde::Deserialize;

/// Whole settings file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity of the VM.
    pub vm: VmSettings,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Platform's service.
    pub platform: PlatformSettings,
    /// Other VMs of the failure domain.
    #[serde(default)]
    pub peers: PeerSettings,
    /// Heartbeats and the sheet.
    #[serde(default)]
    pub members: MemberSettings,
    /// Callers' programs.
    #[serde(default)]
    pub callers: CallerSettings,
    /// Targets.
    #[serde(default)]
    pub targets: TargetSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricSettings,
    /// Traces.
    #[serde(default)]
    pub traces: TraceSettings,
}

/// Identity of the VM.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct VmSettings {
    /// Name in the platform's VM list.
    pub name: VmName,
    /// Failure domain.
    pub domain: DomainName,
}

/// Addresses to listen on, each an IP number and a port.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Operators' HTTP.
    pub operators: SocketAddr,
    /// Messages between VMs.
    pub peers: SocketAddr,
}

/// Platform's service.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the table, the objects and the VM list.
    pub address: SocketAddr,
    /// Longest wait for one request.
    #[serde(default = "defaults::platform_timeout_ms")]
    pub timeout_ms: u64,
    /// Tries of one request.
    #[serde(default = "defaults::platform_tries")]
    pub tries: u64,
    /// Requests under way at once.
    #[serde(default = "defaults::platform_workers")]
    pub workers: u64,
}

mod defaults {
    pub(super) fn platform_timeout_ms() -> u64 {
        1_000
    }

    pub(super) fn platform_tries() -> u64 {
        3
    }

    pub(super) fn platform_workers() -> u64 {
        2
    }
}

/// Other VMs of the failure domain.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// Peer addresses to greet when the platform can't name any.
    pub seeds: Vec<SocketAddr>,
}

/// Heartbeats and the sheet.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct MemberSettings {
    /// Time between heartbeats.
    pub heartbeat_ms: u64,
    /// Silence after which a VM counts as dead.
    pub suspect_ms: u64,
    /// Time between looks at the sheet's version.
    pub sheet_poll_ms: u64,
    /// Longest wait for programs under way at a planned stop.
    pub stop_wait_ms: u64,
}

impl Default for MemberSettings {
    fn default() -> Self {
        MemberSettings {
            heartbeat_ms: 500,
            suspect_ms: 2_500,
            sheet_poll_ms: 3_000,
            stop_wait_ms: 600_000,
        }
    }
}

/// Callers' programs.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct CallerSettings {
    /// Longest request body.
    pub body_limit_bytes: u64,
    /// Longest wait for a missing call number.
    pub gap_wait_ms: u64,
    /// Calls waiting for a target before new ones are refused.
    pub queue_limit: u64,
    /// Silence after which a program counts as gone.
    pub idle_limit_ms: u64,
    /// Longest wait for a durable end of an answer.
    pub commit_wait_ms: u64,
}

impl Default for CallerSettings {
    fn default() -> Self {
        CallerSettings {
            body_limit_bytes: 8_000_000,
            gap_wait_ms: 2_000,
            queue_limit: 2_000,
            idle_limit_ms: 900_000,
            commit_wait_ms: 1_000,
        }
    }
}

/// Targets.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct TargetSettings {
    /// Silence after which a stream counts as broken.
    pub stream_silence_ms: u64,
    /// Longest wait for an answer that comes as a whole.
    pub answer_wait_ms: u64,
    /// Time between load reports of one target.
    pub load_poll_ms: u64,
}

impl Default for TargetSettings {
    fn default() -> Self {
        TargetSettings {
            stream_silence_ms: 10_000,
            answer_wait_ms: 120_000,
            load_poll_ms: 1_000,
        }
    }
}

/// Logs.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Level of modules that `modules` doesn't name.
    pub level: CompactString,
    /// Level by module.
    pub modules: BTreeMap<String, CompactString>,
    /// File to append to; a standard stream without one.
    pub file: Option<String>,
    /// Whether that stream is standard output in place of standard error.
    pub stdout: bool,
    /// Lines a second beyond which those below a warning are dropped.
    pub lines_per_s: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings {
            level: CompactString::const_new("info"),
            modules: BTreeMap::new(),
            file: None,
            stdout: false,
            lines_per_s: 1_000,
        }
    }
}

/// Metrics.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct MetricSettings {
    /// StatsD address; no metrics without one.
    pub statsd: Option<SocketAddr>,
}

/// Traces.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct TraceSettings {
    /// File for spans, one OTLP JSON object a line.
    pub file: Option<String>,
    /// OTLP/HTTP collector.
    pub collector: Option<SocketAddr>,
    /// Share of traces recorded where the caller didn't decide.
    pub sample_percent: u64,
}

impl Default for TraceSettings {
    fn default() -> Self {
        TraceSettings {
            file: None,
            collector: None,
            sample_percent: 100,
        }
    }
}

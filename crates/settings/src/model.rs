//! Sections and keys of the settings file.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use lagoon_ids::{DomainName, VmName};
use serde::Deserialize;

/// Contents of a settings file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name and failure domain of this VM.
    pub vm: VmSettings,
    /// Addresses for callers, operators and other VMs.
    pub listen: ListenSettings,
    /// Address of the platform, and timeout and attempts of requests to it.
    pub platform: PlatformSettings,
    /// Discovery of other VMs of the failure domain.
    #[serde(default)]
    pub peers: PeerSettings,
    /// Failure detection, sheet updates and shutdown.
    #[serde(default)]
    pub members: MemberSettings,
    /// Limits on requests and programs of callers.
    #[serde(default)]
    pub callers: CallerSettings,
    /// Timeouts and load polling of targets.
    #[serde(default)]
    pub targets: TargetSettings,
    /// Level, destination and maximum rate of log lines.
    #[serde(default)]
    pub log: LogSettings,
    /// Destination of metrics.
    #[serde(default)]
    pub metrics: MetricSettings,
    /// Destinations and sampling of trace spans.
    #[serde(default)]
    pub traces: TraceSettings,
}

/// Name and failure domain of this VM.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct VmSettings {
    /// Name in the platform's VM list.
    pub name: VmName,
    /// Failure domain that the VM runs in.
    pub domain: DomainName,
}

/// Addresses to listen on, each an IP address and a port.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// HTTP API of callers.
    pub callers: SocketAddr,
    /// HTTP API of operators.
    pub operators: SocketAddr,
    /// Messages between VMs.
    pub peers: SocketAddr,
}

/// Address of the platform, and timeout and attempts of requests to it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address that serves the table, the object store and the VM list.
    pub address: SocketAddr,
    /// Timeout of one attempt, in milliseconds.
    #[serde(default = "defaults::platform_timeout_ms")]
    pub timeout_ms: u64,
    /// Attempts of one request, the first included.
    #[serde(default = "defaults::platform_tries")]
    pub tries: u64,
    /// Number of worker threads, and so the maximum number of platform requests in flight.
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

/// Discovery of other VMs of the failure domain.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// Peer addresses to send heartbeats to while all known VMs are dead or none is known.
    pub seeds: Vec<SocketAddr>,
}

/// Failure detection, sheet updates and shutdown.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct MemberSettings {
    /// Interval of heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time without a heartbeat after which a VM is declared dead, in
    /// milliseconds; at least three heartbeat intervals.
    pub suspect_ms: u64,
    /// Interval of polling the version of the sheet, in milliseconds.
    pub sheet_poll_ms: u64,
    /// Time after which a graceful shutdown stops waiting for calls in flight and
    /// for the handover, in milliseconds.
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

/// Limits on requests and programs of callers.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct CallerSettings {
    /// Maximum size of a request body, in bytes.
    pub body_limit_bytes: u64,
    /// Maximum time that a call waits for a missing earlier call number of its
    /// program before it fails, in milliseconds.
    pub gap_wait_ms: u64,
    /// Maximum number of calls on the VM that wait for a target; further calls are refused.
    pub queue_limit: u64,
    /// Time without calls after which a root program and its descendants are
    /// ended, in milliseconds.
    pub idle_limit_ms: u64,
    /// Timeout for making a reservation, a record of a call or the end of a
    /// response durable, in milliseconds.
    pub commit_wait_ms: u64,
    /// Maximum number of connections; further ones are closed at once.
    pub max_connections: u64,
    /// Maximum number of connections of one address; 0 stands for seven eighths of
    /// `max_connections`.
    pub connections_per_address: u64,
    /// Time in which the head of a request arrives after its first bytes, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time that a connection may rest between two requests, a body between two parts, or a
    /// caller without taking what is sent to it, in milliseconds.
    pub connection_idle_ms: u64,
    /// Time in which a whole body arrives, in milliseconds.
    pub body_timeout_ms: u64,
}

impl Default for CallerSettings {
    fn default() -> Self {
        CallerSettings {
            body_limit_bytes: 8_000_000,
            gap_wait_ms: 2_000,
            queue_limit: 2_000,
            idle_limit_ms: 900_000,
            commit_wait_ms: 1_000,
            max_connections: 512,
            connections_per_address: 0,
            head_timeout_ms: 4_000,
            connection_idle_ms: 16_000,
            body_timeout_ms: 60_000,
        }
    }
}

/// Timeouts and load polling of targets.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct TargetSettings {
    /// Time without an event after which a streamed response counts as
    /// interrupted, in milliseconds.
    pub stream_silence_ms: u64,
    /// Timeout of a response that is not streamed, in milliseconds.
    pub answer_wait_ms: u64,
    /// Interval of polling the load of one target, in milliseconds.
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

/// Level, destination and maximum rate of log lines.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Level of modules that `modules` doesn't list: `off`, `error`, `warn`,
    /// `info`, `debug` or `trace`.
    pub level: CompactString,
    /// Levels of single modules, by module path, in place of `level`.
    pub modules: BTreeMap<String, CompactString>,
    /// File to append to; `None` logs to standard error or output.
    pub file: Option<String>,
    /// Whether to log to standard output instead of standard error.
    pub stdout: bool,
    /// Number of lines in one second after which further lines below `warn` are
    /// dropped for the rest of that second.
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

/// Destination of metrics.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct MetricSettings {
    /// Address of a StatsD server; `None` discards metrics.
    pub statsd: Option<SocketAddr>,
}

/// Destinations and sampling of trace spans.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct TraceSettings {
    /// File to append spans to, one OTLP JSON object per line; `None` writes no file.
    pub file: Option<String>,
    /// Address of an OTLP/HTTP collector; `None` sends no spans.
    pub collector: Option<SocketAddr>,
    /// Percentage of traces sampled if the caller sends no trace context, 0 to 100.
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

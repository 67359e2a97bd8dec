//! Counters and histograms, served as text.

use std::rc::Rc;

use lagoon_telemetry::dropped_log_lines;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Bounds of latency histograms in seconds.
const BUCKETS_S: [f64; 12] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0,
];

struct Families {
    registry: Registry,
    answers: IntCounterVec,
    failures: IntCounterVec,
    store_calls: IntCounterVec,
    news: IntCounterVec,
    news_bytes: IntCounterVec,
    first_byte_s: Histogram,
    charge_s: Histogram,
    config_version: IntGauge,
    targets: IntGauge,
    vms: IntGauge,
    lines: IntGauge,
    connections: IntGauge,
    dropped_log_lines: IntGauge,
}

/// Metrics of the daemon.
#[derive(Clone)]
pub(crate) struct Metrics(Rc<Families>);

impl Metrics {
    pub(crate) fn new() -> Result<Metrics, prometheus::Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(BUCKETS_S.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        Ok(Metrics(Rc::new(Families {
            answers: counters("lagoon_answers_total", "Answers by status", &["status"])?,
            failures: counters("lagoon_failed_tries_total", "Failed tries", &["failure"])?,
            store_calls: counters("lagoon_store_calls_total", "Store calls", &["call", "end"])?,
            news: counters("lagoon_news_total", "News of other VMs", &["end"])?,
            news_bytes: counters("lagoon_news_bytes_total", "Their bytes", &["end"])?,
            first_byte_s: histogram("lagoon_first_byte_seconds", "Arrival to answer's head")?,
            charge_s: histogram("lagoon_charge_seconds", "Wait for a budget's charge")?,
            config_version: gauge("lagoon_config_version", "Configuration in force")?,
            targets: gauge("lagoon_targets", "Targets known")?,
            vms: gauge("lagoon_other_vms", "Other entry VMs known")?,
            lines: gauge("lagoon_lines", "Lines of calls whose target is known")?,
            connections: gauge("lagoon_connections", "Connections that are open here")?,
            dropped_log_lines: gauge(
                "lagoon_dropped_log_lines",
                "Log lines dropped since the start",
            )?,
            registry,
        })))
    }

    pub(crate) fn answer(&self, status: u16, first_byte_ms: u64) {
        self.0
            .answers
            .with_label_values(&[status.to_string().as_str()])
            .inc();
        self.0.first_byte_s.observe(first_byte_ms as f64 / 1e3);
    }

    pub(crate) fn failed_try(&self, failure: &str) {
        self.0.failures.with_label_values(&[failure]).inc();
    }

    pub(crate) fn store_call(&self, call: &str, end: &str) {
        self.0.store_calls.with_label_values(&[call, end]).inc();
    }

    pub(crate) fn news(&self, end: &str, bytes: usize) {
        self.0.news.with_label_values(&[end]).inc();
        let counter = self.0.news_bytes.with_label_values(&[end]);
        counter.inc_by(bytes as u64);
    }

    pub(crate) fn charge(&self, wait_ms: u64) {
        self.0.charge_s.observe(wait_ms as f64 / 1e3);
    }

    pub(crate) fn config_version(&self, version: u64) {
        self.0.config_version.set(version as i64);
    }

    pub(crate) fn targets(&self, count: usize) {
        self.0.targets.set(count as i64);
    }

    pub(crate) fn vms(&self, count: usize) {
        self.0.vms.set(count as i64);
    }

    pub(crate) fn lines(&self, count: usize) {
        self.0.lines.set(count as i64);
    }

    pub(crate) fn connections(&self, count: usize) {
        self.0.connections.set(count as i64);
    }

    /// Text exposition.
    pub(crate) fn text(&self) -> Result<Vec<u8>, prometheus::Error> {
        self.0.dropped_log_lines.set(dropped_log_lines() as i64);
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.0.registry.gather(), &mut text)?;
        Ok(text)
    }
}

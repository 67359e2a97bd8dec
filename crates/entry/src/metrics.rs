//! Prometheus metrics.

use std::rc::Rc;

use lagoon_gateway::Targets;
use lagoon_telemetry::dropped_log_lines;
use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    Opts, Registry, TextEncoder,
};

use crate::panics;

const LATENCY_BUCKETS_S: [f64; 12] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0,
];

struct MetricFamilies {
    registry: Registry,
    responses: IntCounterVec,
    failed_attempts: IntCounterVec,
    invalid_responses: IntCounterVec,
    target_crashes: IntCounterVec,
    store_calls: IntCounterVec,
    invalid_rows: IntCounterVec,
    key_refusals: IntCounterVec,
    permits: IntCounterVec,
    quota_requests: IntCounterVec,
    quota_tokens: IntCounterVec,
    paths: IntCounterVec,
    carried: IntCounterVec,
    carried_for_others: IntCounterVec,
    streams: IntCounterVec,
    unanswered: IntCounterVec,
    refused_bytes: IntCounterVec,
    panics: IntCounter,
    stream_lookups: IntCounterVec,
    gossip_messages: IntCounterVec,
    gossip_bytes: IntCounterVec,
    first_byte_s: Histogram,
    charge_s: Histogram,
    permit_s: Histogram,
    kept_turn_s: HistogramVec,
    shared_turns: IntCounterVec,
    chain_s: HistogramVec,
    config_version: IntGauge,
    config_evidence_age_ms: IntGauge,
    targets: IntGauge,
    leaving_targets: IntGauge,
    limited_targets: IntGauge,
    other_vms: IntGauge,
    sessions: IntGauge,
    quarantined: IntGauge,
    held_bytes: IntGauge,
    heap_bytes: IntGauge,
    connections: IntGauge,
    dropped_log_lines: IntGauge,
    target_capacity: GaugeVec,
    target_slowness: GaugeVec,
    target_estimate_age_s: GaugeVec,
}

/// Handle to the daemon's metrics; clones share them.
#[derive(Clone)]
pub(crate) struct Metrics(Rc<MetricFamilies>);

impl Metrics {
    pub(crate) fn new() -> Result<Metrics, prometheus::Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        let histograms = |name: &str, help: &str, labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
            let histograms = HistogramVec::new(options, labels)?;
            registry.register(Box::new(histograms.clone()))?;
            Ok::<_, prometheus::Error>(histograms)
        };
        let target_gauges = |name: &str, help: &str| {
            let gauges = GaugeVec::new(Opts::new(name, help), &["target"])?;
            registry.register(Box::new(gauges.clone()))?;
            Ok::<_, prometheus::Error>(gauges)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        Ok(Metrics(Rc::new(MetricFamilies {
            responses: counters("lagoon_answers_total", "Answers by status", &["status"])?,
            failed_attempts: counters("lagoon_failed_tries_total", "Failed tries", &["failure"])?,
            invalid_responses: counters(
                "lagoon_invalid_responses_total",
                "Attempts whose target sent bytes that are no response",
                &["target_id"],
            )?,
            target_crashes: counters(
                "lagoon_target_crashes_total",
                "Interrupted attempts, by what became of the target and of its crash count",
                &["event"],
            )?,
            store_calls: counters("lagoon_store_calls_total", "Store calls", &["call", "end"])?,
            invalid_rows: counters(
                "lagoon_invalid_rows_total",
                "Rows of the store, or parts of its configuration, that are not used",
                &["table"],
            )?,
            key_refusals: counters(
                "lagoon_key_refusals_total",
                "Requests that were refused for the key that they carry, by reason",
                &["reason"],
            )?,
            permits: counters(
                "lagoon_permits_total",
                "Requests for permits to targets with limits",
                &["decision"],
            )?,
            quota_requests: counters(
                "lagoon_quota_requests_total",
                "Requests for tokens of accounts' quotas",
                &["decision"],
            )?,
            quota_tokens: counters(
                "lagoon_quota_tokens_total",
                "Tokens of accounts' quotas, and refusals for lack of them",
                &["outcome"],
            )?,
            paths: counters(
                "lagoon_paths_total",
                "Changes of what is believed of the paths to targets",
                &["event"],
            )?,
            carried: counters(
                "lagoon_carried_total",
                "Attempts handed to other VMs, by what became of them",
                &["end"],
            )?,
            carried_for_others: counters(
                "lagoon_carried_for_others_total",
                "Attempts of other VMs, by what became of them",
                &["end"],
            )?,
            streams: counters(
                "lagoon_streams_total",
                "Event streams by what became of them",
                &["event"],
            )?,
            unanswered: counters(
                "lagoon_unanswered_total",
                "Callers' requests without a whole response",
                &["cause"],
            )?,
            refused_bytes: counters(
                "lagoon_refused_bytes_total",
                "Heads, bodies and responses cut short for lack of memory or time",
                &["what"],
            )?,
            panics: {
                let panics = IntCounter::new("lagoon_panics_total", "Panics since the start")?;
                registry.register(Box::new(panics.clone()))?;
                panics
            },
            stream_lookups: counters(
                "lagoon_stream_lookups_total",
                "Lookups of the version of a stream that is taken up",
                &["outcome"],
            )?,
            permit_s: histogram("lagoon_permit_seconds", "Wait for a permit or its refusal")?,
            gossip_messages: counters("lagoon_news_total", "News of other VMs", &["end"])?,
            gossip_bytes: counters("lagoon_news_bytes_total", "Their bytes", &["end"])?,
            first_byte_s: histogram("lagoon_first_byte_seconds", "Arrival to answer's head")?,
            charge_s: histogram("lagoon_charge_seconds", "Wait for a budget's charge")?,
            kept_turn_s: histograms(
                "lagoon_kept_turn_seconds",
                "Time from a turn's last event until it is safe, by place",
                &["place"],
            )?,
            shared_turns: counters(
                "lagoon_shared_turns_total",
                "Copies of turns for failure domains, by outcome",
                &["outcome"],
            )?,
            chain_s: histograms(
                "lagoon_chain_seconds",
                "Time to find the chain of a call, by source",
                &["source"],
            )?,
            config_evidence_age_ms: gauge(
                "lagoon_config_evidence_age_ms",
                "Age of the evidence that the configuration in force is the newest, or -1",
            )?,
            config_version: gauge("lagoon_config_version", "Configuration in force")?,
            targets: gauge("lagoon_targets", "Targets known")?,
            leaving_targets: gauge(
                "lagoon_leaving_targets",
                "Known targets that have stated in a response that they are about to stop",
            )?,
            limited_targets: gauge(
                "lagoon_limited_targets",
                "Known targets that state how many requests per second they take",
            )?,
            other_vms: gauge("lagoon_other_vms", "Other entry VMs known")?,
            sessions: gauge("lagoon_lines", "Lines of calls whose target is known")?,
            quarantined: gauge(
                "lagoon_quarantined_requests",
                "Requests refused because targets crashed while they ran",
            )?,
            held_bytes: gauge("lagoon_held_bytes", "Bytes held for callers and targets")?,
            heap_bytes: gauge("lagoon_heap_bytes", "Bytes that the heap has allocated")?,
            connections: gauge("lagoon_connections", "Connections that are open here")?,
            dropped_log_lines: gauge(
                "lagoon_dropped_log_lines",
                "Log lines dropped since the start",
            )?,
            target_capacity: target_gauges(
                "lagoon_target_capacity",
                "Requests that a target runs within the objective of callers",
            )?,
            target_slowness: target_gauges(
                "lagoon_target_slowness",
                "Present time of a request at a target over that at a median idle one",
            )?,
            target_estimate_age_s: target_gauges(
                "lagoon_target_estimate_age_seconds",
                "Age of the newest sample of a target",
            )?,
            registry,
        })))
    }

    pub(crate) fn record_response(&self, status: u16, first_byte_ms: u64) {
        self.0
            .responses
            .with_label_values(&[status.to_string().as_str()])
            .inc();
        self.0.first_byte_s.observe(first_byte_ms as f64 / 1e3);
    }

    pub(crate) fn record_failed_attempt(&self, failure: &str) {
        self.0.failed_attempts.with_label_values(&[failure]).inc();
    }

    pub(crate) fn record_invalid_response(&self, target_id: &str) {
        let counter = self.0.invalid_responses.with_label_values(&[target_id]);
        counter.inc();
    }

    pub(crate) fn record_target_crash(&self, event: &str) {
        self.0.target_crashes.with_label_values(&[event]).inc();
    }

    pub(crate) fn record_store_call(&self, call: &str, end: &str) {
        self.0.store_calls.with_label_values(&[call, end]).inc();
    }

    pub(crate) fn record_invalid_row(&self, table: &str) {
        self.0.invalid_rows.with_label_values(&[table]).inc();
    }

    pub(crate) fn record_gossip(&self, end: &str, bytes: usize) {
        self.0.gossip_messages.with_label_values(&[end]).inc();
        let counter = self.0.gossip_bytes.with_label_values(&[end]);
        counter.inc_by(bytes as u64);
    }

    pub(crate) fn record_charge_wait(&self, wait_ms: u64) {
        self.0.charge_s.observe(wait_ms as f64 / 1e3);
    }

    pub(crate) fn record_permit(&self, decision: &str) {
        self.0.permits.with_label_values(&[decision]).inc();
    }

    pub(crate) fn record_quota_request(&self, decision: &str) {
        let counter = self.0.quota_requests.with_label_values(&[decision]);
        counter.inc();
    }

    pub(crate) fn record_quota_tokens(&self, outcome: &str, tokens: u64) {
        if tokens > 0 {
            let counter = self.0.quota_tokens.with_label_values(&[outcome]);
            counter.inc_by(tokens);
        }
    }

    pub(crate) fn record_path(&self, event: &str) {
        self.0.paths.with_label_values(&[event]).inc();
    }

    /// Sets the age of the evidence that the configuration is the newest; `None` if there
    /// is none.
    pub(crate) fn set_config_evidence_age(&self, age_ms: Option<u64>) {
        let age_ms = age_ms.map_or(-1, |age_ms| i64::try_from(age_ms).unwrap_or(i64::MAX));
        self.0.config_evidence_age_ms.set(age_ms);
    }

    /// Counts a request that was refused for its key.
    pub(crate) fn record_key_refusal(&self, reason: &str) {
        self.0.key_refusals.with_label_values(&[reason]).inc();
    }

    pub(crate) fn record_carried(&self, end: &str) {
        self.0.carried.with_label_values(&[end]).inc();
    }

    pub(crate) fn record_carried_for_others(&self, end: &str) {
        self.0.carried_for_others.with_label_values(&[end]).inc();
    }

    pub(crate) fn record_stream(&self, event: &str) {
        self.0.streams.with_label_values(&[event]).inc();
    }

    pub(crate) fn record_refused_bytes(&self, what: &str) {
        self.0.refused_bytes.with_label_values(&[what]).inc();
    }

    pub(crate) fn set_held_bytes(&self, bytes: u64) {
        self.0.held_bytes.set(bytes as i64);
    }

    pub(crate) fn set_heap_bytes(&self, bytes: u64) {
        self.0.heap_bytes.set(bytes as i64);
    }

    pub(crate) fn record_unanswered(&self, cause: &str) {
        self.0.unanswered.with_label_values(&[cause]).inc();
    }

    pub(crate) fn record_stream_lookup(&self, outcome: &str) {
        self.0.stream_lookups.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn record_permit_wait(&self, wait_ms: u64) {
        self.0.permit_s.observe(wait_ms as f64 / 1e3);
    }

    pub(crate) fn record_kept_turn(&self, place: &str, took_ms: u64) {
        let histogram = self.0.kept_turn_s.with_label_values(&[place]);
        histogram.observe(took_ms as f64 / 1e3);
    }

    pub(crate) fn record_shared_turn(&self, outcome: &str) {
        self.0.shared_turns.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn record_chain(&self, source: &str, took_ms: u64) {
        let histogram = self.0.chain_s.with_label_values(&[source]);
        histogram.observe(took_ms as f64 / 1e3);
    }

    pub(crate) fn set_config_version(&self, version: u64) {
        self.0.config_version.set(version as i64);
    }

    pub(crate) fn set_targets(&self, count: usize) {
        self.0.targets.set(count as i64);
    }

    pub(crate) fn set_leaving_targets(&self, count: usize) {
        self.0.leaving_targets.set(count as i64);
    }

    pub(crate) fn set_limited_targets(&self, count: usize) {
        self.0.limited_targets.set(count as i64);
    }

    pub(crate) fn set_other_vms(&self, count: usize) {
        self.0.other_vms.set(count as i64);
    }

    pub(crate) fn set_sessions(&self, count: usize) {
        self.0.sessions.set(count as i64);
    }

    pub(crate) fn set_quarantined(&self, count: usize) {
        self.0.quarantined.set(count as i64);
    }

    pub(crate) fn set_connections(&self, count: usize) {
        self.0.connections.set(count as i64);
    }

    /// Replaces the estimates of all targets.
    pub(crate) fn set_estimates(&self, targets: &Targets, now_ms: u64) {
        let metrics = &self.0;
        let families = [
            &metrics.target_capacity,
            &metrics.target_slowness,
            &metrics.target_estimate_age_s,
        ];
        // Targets that were removed are no longer exported.
        families.iter().for_each(|family| family.reset());
        for (target, estimate) in targets.estimates(now_ms) {
            let age_s = estimate.age_ms.map_or(-1.0, |age_ms| age_ms as f64 / 1e3);
            let values = [estimate.capacity, estimate.slowness, age_s];
            for (family, value) in families.iter().zip(values) {
                family
                    .with_label_values(&[target.entry.id.as_str()])
                    .set(value);
            }
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, prometheus::Error> {
        self.0.dropped_log_lines.set(dropped_log_lines() as i64);
        let panics = &self.0.panics;
        panics.inc_by(panics::count() - panics.get());
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.0.registry.gather(), &mut text)?;
        Ok(text)
    }
}

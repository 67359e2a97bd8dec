//! Recording of finished spans for export in the background.

use std::borrow::Cow;
use std::time::{Duration, SystemTime};

use lagoon_ids::TraceContext;
use lagoon_settings::TraceSettings;
use opentelemetry::trace::{SpanId, SpanKind as OtelSpanKind, Status};
use opentelemetry::{InstrumentationScope, KeyValue};
use opentelemetry_sdk::trace::{
    BatchConfigBuilder, BatchSpanProcessor, SpanData, SpanEvents, SpanLinks, SpanProcessor,
};
use opentelemetry_sdk::Resource;
use thiserror::Error;

use crate::exporter::OtlpExporter;
use crate::propagation::span_context;

const EXPORT_DELAY: Duration = Duration::from_millis(500);

/// Error of [`Tracer::new`].
#[derive(Debug, Error)]
pub enum TraceError {
    /// The span file can't be opened.
    #[error("traces.file: {0}")]
    File(#[from] std::io::Error),
}

/// OpenTelemetry kind of a span.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SpanKind {
    /// Handling of a received request.
    Server,
    /// Request sent to another service.
    Client,
    /// Work inside the process.
    Internal,
}

/// Span that has ended, as [`Tracer::record`] takes it.
#[derive(Clone, Debug)]
pub struct FinishedSpan {
    /// Operation that the span covers.
    pub name: &'static str,
    /// Whether the operation serves a request, sends one, or is internal.
    pub kind: SpanKind,
    /// Trace and span ID, and whether the trace is sampled.
    pub context: TraceContext,
    /// Parent span; its `span_id` is 0 for a root span.
    pub parent: TraceContext,
    /// Start time, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// End time, in microseconds since the Unix epoch.
    pub end_us: u64,
    /// Attribute names and values.
    pub attributes: Vec<(&'static str, String)>,
}

/// Span recorder shared by threads.
#[derive(Debug)]
pub struct Tracer {
    processors: Vec<BatchSpanProcessor>,
}

impl Tracer {
    /// Creates a recorder for the file and the collector of the settings;
    /// spans are discarded if there is neither.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be opened.
    pub fn new(settings: &TraceSettings, vm: &str, domain: &str) -> Result<Tracer, TraceError> {
        let resource = Resource::builder_empty()
            .with_service_name("lagoond")
            .with_attribute(KeyValue::new("host.name", vm.to_owned()))
            .with_attribute(KeyValue::new("cloud.availability_zone", domain.to_owned()))
            .build();
        let mut exporters = Vec::new();
        if let Some(path) = &settings.file {
            exporters.push(OtlpExporter::to_file(path)?);
        }
        if let Some(address) = settings.collector {
            exporters.push(OtlpExporter::to_collector(address));
        }
        let processors = exporters
            .into_iter()
            .map(|exporter| {
                let mut processor = BatchSpanProcessor::builder(exporter)
                    .with_batch_config(
                        BatchConfigBuilder::default()
                            .with_scheduled_delay(EXPORT_DELAY)
                            .build(),
                    )
                    .build();
                processor.set_resource(&resource);
                processor
            })
            .collect();
        Ok(Tracer { processors })
    }

    /// Queues a sampled span for export; drops it if the queue is full.
    pub fn record(&self, span: FinishedSpan) {
        if !span.context.sampled || self.processors.is_empty() {
            return;
        }
        let data = span_data(span);
        for processor in &self.processors {
            processor.on_end(data.clone());
        }
    }

    /// Exports queued spans and waits for the result; a failure is logged.
    pub fn flush(&self) {
        for processor in &self.processors {
            if let Err(error) = processor.force_flush() {
                log::warn!(error = error.to_string(); "failed to export spans");
            }
        }
    }
}

fn span_data(span: FinishedSpan) -> SpanData {
    let attributes = span
        .attributes
        .into_iter()
        .map(|(key, value)| KeyValue::new(key, value))
        .collect();
    SpanData {
        span_context: span_context(&span.context),
        parent_span_id: SpanId::from_bytes(span.parent.span_id.to_be_bytes()),
        parent_span_is_remote: false,
        span_kind: match span.kind {
            SpanKind::Server => OtelSpanKind::Server,
            SpanKind::Client => OtelSpanKind::Client,
            SpanKind::Internal => OtelSpanKind::Internal,
        },
        name: Cow::Borrowed(span.name),
        start_time: system_time(span.start_us),
        end_time: system_time(span.end_us),
        attributes,
        dropped_attributes_count: 0,
        events: SpanEvents::default(),
        links: SpanLinks::default(),
        status: Status::Unset,
        instrumentation_scope: InstrumentationScope::builder("lagoonscale").build(),
    }
}

fn system_time(since_epoch_us: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_micros(since_epoch_us)
}

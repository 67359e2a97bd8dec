//! Recording of finished spans.

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

/// Reason why traces can't begin.
#[derive(Debug, Error)]
pub enum TraceError {
    /// File can't be opened.
    #[error("traces.file: {0}")]
    File(#[from] std::io::Error),
}

/// Side of a hop that a span shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SpanKind {
    /// Request was taken.
    Server,
    /// Request was sent.
    Client,
    /// Neither.
    Internal,
}

/// Span that has ended.
#[derive(Clone, Debug)]
pub struct FinishedSpan {
    /// Name of the hop.
    pub name: &'static str,
    /// Side.
    pub kind: SpanKind,
    /// Identity.
    pub context: TraceContext,
    /// Span it hangs under; its `span_id` is 0 for none.
    pub parent: TraceContext,
    /// Start, since the Unix epoch.
    pub start_us: u64,
    /// End, since the Unix epoch.
    pub end_us: u64,
    /// What is known of the hop.
    pub attributes: Vec<(&'static str, String)>,
}

/// Recorder of spans, shared by threads.
#[derive(Debug)]
pub struct Tracer {
    processors: Vec<BatchSpanProcessor>,
}

impl Tracer {
    /// Recorder for a file, a collector, both or nobody.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be opened.
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

    /// Records a span; dropped when the queue is full.
    pub fn record(&self, span: FinishedSpan) {
        if !span.context.sampled || self.processors.is_empty() {
            return;
        }
        let data = span_data(span);
        for processor in &self.processors {
            processor.on_end(data.clone());
        }
    }

    /// Exports what is queued.
    pub fn flush(&self) {
        for processor in &self.processors {
            if let Err(error) = processor.force_flush() {
                log::warn!(error = error.to_string(); "spans were not exported");
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
        start_time: time(span.start_us),
        end_time: time(span.end_us),
        attributes,
        dropped_attributes_count: 0,
        events: SpanEvents::default(),
        links: SpanLinks::default(),
        status: Status::Unset,
        instrumentation_scope: InstrumentationScope::builder("lagoonscale").build(),
    }
}

fn time(since_epoch_us: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_micros(since_epoch_us)
}

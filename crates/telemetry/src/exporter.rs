//! Export of spans as OTLP JSON, to a file or to a collector.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use opentelemetry_proto::tonic::trace::v1::TracesData;
use opentelemetry_proto::transform::common::tonic::ResourceAttributesWithSchema;
use opentelemetry_proto::transform::trace::tonic::group_spans_by_resource_and_scope;
use opentelemetry_sdk::error::{OTelSdkError, OTelSdkResult};
use opentelemetry_sdk::trace::{SpanData, SpanExporter};
use opentelemetry_sdk::Resource;
use ureq::Agent;

const COLLECTOR_TIMEOUT: Duration = Duration::from_secs(2);

/// Where spans go.
#[derive(Debug)]
enum Sink {
    File(Mutex<File>),
    Collector { agent: Agent, url: String },
}

/// Exporter that writes the same JSON to a file or a collector.
#[derive(Debug)]
pub(crate) struct OtlpExporter {
    sink: Sink,
    resource: ResourceAttributesWithSchema,
}

impl OtlpExporter {
    pub(crate) fn to_file(path: &str) -> Result<OtlpExporter, std::io::Error> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(OtlpExporter {
            sink: Sink::File(Mutex::new(file)),
            resource: ResourceAttributesWithSchema::default(),
        })
    }

    pub(crate) fn to_collector(address: SocketAddr) -> OtlpExporter {
        let config = Agent::config_builder()
            .timeout_global(Some(COLLECTOR_TIMEOUT))
            .build();
        OtlpExporter {
            sink: Sink::Collector {
                agent: config.into(),
                url: format!("http://{address}/v1/traces"),
            },
            resource: ResourceAttributesWithSchema::default(),
        }
    }

    fn write(&self, batch: Vec<SpanData>) -> Result<(), String> {
        let data = TracesData {
            resource_spans: group_spans_by_resource_and_scope(batch, &self.resource),
        };
        match &self.sink {
            Sink::File(file) => {
                let mut line = serde_json::to_vec(&data).map_err(|error| error.to_string())?;
                line.push(b'\n');
                let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
                file.write_all(&line).map_err(|error| error.to_string())
            }
            Sink::Collector { agent, url } => agent
                .post(url)
                .send_json(&data)
                .map(drop)
                .map_err(|error| error.to_string()),
        }
    }
}

impl SpanExporter for OtlpExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        self.write(batch).map_err(OTelSdkError::InternalFailure)
    }

    fn set_resource(&mut self, resource: &Resource) {
        self.resource = resource.into();
    }
}

//! Exporter of spans as OTLP JSON, to a file or to a collector.

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

#[derive(Debug)]
enum Destination {
    File(Mutex<File>),
    Collector { agent: Agent, url: String },
}

/// Exporter that sends each batch of spans as one JSON document: as a line of the
/// file or as the body of a `POST` to the collector.
#[derive(Debug)]
pub(crate) struct OtlpExporter {
    destination: Destination,
    resource: ResourceAttributesWithSchema,
}

impl OtlpExporter {
    pub(crate) fn to_file(path: &str) -> Result<OtlpExporter, std::io::Error> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(OtlpExporter {
            destination: Destination::File(Mutex::new(file)),
            resource: ResourceAttributesWithSchema::default(),
        })
    }

    pub(crate) fn to_collector(address: SocketAddr) -> OtlpExporter {
        let config = Agent::config_builder()
            .timeout_global(Some(COLLECTOR_TIMEOUT))
            .build();
        OtlpExporter {
            destination: Destination::Collector {
                agent: config.into(),
                url: format!("http://{address}/v1/traces"),
            },
            resource: ResourceAttributesWithSchema::default(),
        }
    }

    fn export_batch(&self, batch: Vec<SpanData>) -> Result<(), String> {
        let data = TracesData {
            resource_spans: group_spans_by_resource_and_scope(batch, &self.resource),
        };
        match &self.destination {
            Destination::File(file) => {
                let mut line = serde_json::to_vec(&data).map_err(|error| error.to_string())?;
                line.push(b'\n');
                let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
                file.write_all(&line).map_err(|error| error.to_string())
            }
            Destination::Collector { agent, url } => agent
                .post(url)
                .send_json(&data)
                .map(drop)
                .map_err(|error| error.to_string()),
        }
    }
}

impl SpanExporter for OtlpExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        self.export_batch(batch)
            .map_err(OTelSdkError::InternalFailure)
    }

    fn set_resource(&mut self, resource: &Resource) {
        self.resource = resource.into();
    }
}

//! Export of spans to a file and a collector, and of metrics to a StatsD server.

use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc::{channel, Receiver};
use std::thread;

use lagoon_settings::TraceSettings;
use lagoon_telemetry::{new_root, FinishedSpan, Metrics, SpanKind, Tracer};
use serde_json::Value;
use tempfile::TempDir;

fn span(name: &'static str, sample_percent: u64) -> FinishedSpan {
    let parent = new_root(sample_percent);
    FinishedSpan {
        name,
        kind: SpanKind::Client,
        context: parent.child(name),
        parent,
        start_us: 1_000_000,
        end_us: 1_250_000,
        attributes: vec![("lagoon.call", "p#1".to_owned())],
    }
}

/// Checks that the first span of an OTLP document is `sent`.
fn check(document: &Value, sent: &FinishedSpan) {
    let resource = &document["resourceSpans"][0];
    let found = &resource["scopeSpans"][0]["spans"][0];
    assert_eq!(found["name"], sent.name);
    assert_eq!(found["traceId"], format!("{:032x}", sent.context.trace_id));
    assert_eq!(found["spanId"], format!("{:016x}", sent.context.span_id));
    assert_eq!(found["startTimeUnixNano"], "1000000000");
    assert_eq!(found["attributes"][0]["value"]["stringValue"], "p#1");
    let resource = resource["resource"].to_string();
    assert!(
        resource.contains("vm1") && resource.contains("kumamoto"),
        "{resource}"
    );
}

fn start_collector() -> (SocketAddr, Receiver<(String, Value)>) {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("port");
    let address = server.server_addr().to_ip().expect("address");
    let (sender, receiver) = channel();
    thread::spawn(move || {
        for mut request in server.incoming_requests() {
            let document = serde_json::from_reader(request.as_reader()).expect("json");
            let path = request.url().to_owned();
            request
                .respond(tiny_http::Response::empty(200))
                .expect("response");
            if sender.send((path, document)).is_err() {
                return;
            }
        }
    });
    (address, receiver)
}

#[test]
fn record_appends_sampled_span_to_file() {
    let folder = TempDir::new().expect("folder");
    let path = folder.path().join("spans.jsonl");
    let settings = TraceSettings {
        file: Some(path.display().to_string()),
        ..TraceSettings::default()
    };
    let tracer = Tracer::new(&settings, "vm1", "kumamoto").expect("tracer");
    let sent = span("queue", 100);
    tracer.record(sent.clone());
    tracer.record(span("unsampled", 0));
    tracer.flush();
    let text = std::fs::read_to_string(path).expect("file");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 1);
    check(&serde_json::from_str(lines[0]).expect("json"), &sent);
    assert!(!text.contains("unsampled"));
}

#[test]
fn record_posts_span_to_collector() {
    let (address, received) = start_collector();
    let settings = TraceSettings {
        collector: Some(address),
        ..TraceSettings::default()
    };
    let tracer = Tracer::new(&settings, "vm1", "kumamoto").expect("tracer");
    let sent = span("target", 100);
    tracer.record(sent.clone());
    tracer.flush();
    let timeout = std::time::Duration::from_secs(10);
    let (path, document) = received.recv_timeout(timeout).expect("post");
    assert_eq!(path, "/v1/traces");
    check(&document, &sent);
}

#[test]
fn count_sends_statsd_packet() {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("port");
    let timeout = Some(std::time::Duration::from_secs(10));
    socket.set_read_timeout(timeout).expect("timeout");
    let address = socket.local_addr().expect("address");
    let metrics = Metrics::new(Some(address), "vm1").expect("metrics");
    metrics.count_tagged("refusals", 1, "kind", "overloaded");
    metrics.flush();
    let mut buffer = [0; 512];
    let length = socket.recv(&mut buffer).expect("packet");
    let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
    assert!(text.starts_with("lagoon.refusals:1|c|#"), "{text}");
    assert!(
        text.contains("vm:vm1") && text.contains("kind:overloaded"),
        "{text}"
    );
}

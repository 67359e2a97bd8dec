//! Traces as trees of spans.

use std::collections::BTreeMap;

use opentelemetry_proto::tonic::common::v1::any_value::Value;
use opentelemetry_proto::tonic::common::v1::KeyValue;
use opentelemetry_proto::tonic::resource::v1::Resource;
use opentelemetry_proto::tonic::trace::v1::TracesData;

/// Span of a trace file.
#[derive(Clone, Debug)]
pub struct Span {
    trace_id: Vec<u8>,
    span_id: Vec<u8>,
    parent_id: Vec<u8>,
    name: String,
    vm: String,
    start_ns: u64,
    end_ns: u64,
    attributes: Vec<(String, String)>,
}

/// Parses lines of OTLP JSON; lines that can't be parsed are skipped.
pub fn parse_spans(text: &str) -> Vec<Span> {
    let exports = text
        .lines()
        .filter_map(|line| serde_json::from_str::<TracesData>(line).ok());
    let mut spans = Vec::new();
    for resource_spans in exports.flat_map(|export| export.resource_spans) {
        let vm = vm_name(resource_spans.resource.as_ref());
        let scopes = resource_spans.scope_spans.into_iter();
        spans.extend(scopes.flat_map(|scope| scope.spans).map(|span| Span {
            trace_id: span.trace_id,
            span_id: span.span_id,
            parent_id: span.parent_span_id,
            name: span.name,
            vm: vm.clone(),
            start_ns: span.start_time_unix_nano,
            end_ns: span.end_time_unix_nano,
            attributes: span.attributes.iter().filter_map(attribute).collect(),
        }));
    }
    spans
}

fn attribute(key_value: &KeyValue) -> Option<(String, String)> {
    match key_value.value.as_ref()?.value.as_ref()? {
        Value::StringValue(text) => Some((key_value.key.clone(), text.clone())),
        _ => None,
    }
}

fn vm_name(resource: Option<&Resource>) -> String {
    let attributes = resource.map(|resource| resource.attributes.as_slice());
    attributes
        .unwrap_or_default()
        .iter()
        .filter_map(attribute)
        .find(|(key, _)| key == "host.name")
        .map_or_else(String::new, |(_, value)| value)
}

/// Formats each trace as a tree with a line per span; with a filter, only the
/// trees whose text contains it.
pub fn render_traces(spans: &[Span], filter: Option<&str>) -> String {
    let mut traces: BTreeMap<&[u8], Vec<&Span>> = BTreeMap::new();
    for span in spans {
        traces.entry(&span.trace_id).or_default().push(span);
    }
    let mut ordered: Vec<Vec<&Span>> = traces.into_values().collect();
    for trace in &mut ordered {
        trace.sort_by_key(|span| span.start_ns);
    }
    ordered.sort_by_key(|trace| trace[0].start_ns);
    let texts = ordered.iter().map(|trace| render_trace(trace));
    texts
        .filter(|text| filter.is_none_or(|filter| text.contains(filter)))
        .collect()
}

fn render_trace(trace: &[&Span]) -> String {
    let start_ns = trace[0].start_ns;
    let is_in_trace = |id: &[u8]| trace.iter().any(|span| span.span_id == id);
    let mut text = String::new();
    for root in trace.iter().filter(|span| !is_in_trace(&span.parent_id)) {
        write_subtree(&mut text, trace, root, 0, start_ns);
    }
    text
}

fn write_subtree(text: &mut String, trace: &[&Span], span: &Span, depth: usize, start_ns: u64) {
    let label = format!("{:indent$}{}", "", span.name, indent = depth * 2);
    let attributes: Vec<String> = span
        .attributes
        .iter()
        .filter(|(key, _)| key != "lagoon.vm")
        .map(|(key, value)| format!("{}={value}", key.rsplit('.').next().unwrap_or(key)))
        .collect();
    text.push_str(&format!(
        "{label:<16} {:>8.1} ms +{:>7.1} ms  {:<6} {}\n",
        (span.start_ns - start_ns) as f64 / 1e6,
        span.end_ns.saturating_sub(span.start_ns) as f64 / 1e6,
        span.vm,
        attributes.join(" "),
    ));
    for child in trace.iter().filter(|child| child.parent_id == span.span_id) {
        write_subtree(text, trace, child, depth + 1, start_ns);
    }
}

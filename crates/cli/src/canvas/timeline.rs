//! Timeline of a request, program or session from log lines.

use std::fmt::Write;

use crate::collection::LogLine;

/// Log keys whose values identify a request, program or session, or the request that
/// began a stream.
const ID_FIELDS: [&str; 4] = ["request", "program", "session", "stream"];

/// Log keys that a timeline omits: level and module don't describe the request, and
/// the heading names the program, or the first one of a session with several.
const OMITTED_FIELDS: [&str; 3] = ["level", "module", "program"];

/// Formats the log lines of a request, program or session in order of time;
/// `None` if no line names its identifier. Of a stream that was taken up, the requests
/// that did so are included, whichever of them is named.
///
/// Log lines that name the same program but no request are included if they were
/// written between the first and the last line with the identifier, as they concern
/// the program's budget.
pub fn timeline(id: &str, lines: &[LogLine]) -> Option<String> {
    let requests = stream_requests(id, lines);
    let names = |line: &LogLine| {
        let is_id = |name: &&str| line.field(name) == Some(id);
        let request = line.field("request");
        ID_FIELDS.iter().any(is_id) || request.is_some_and(|r| requests.contains(&r))
    };
    let named: Vec<&LogLine> = lines.iter().filter(|line| names(line)).collect();
    let first_ms = named.iter().map(|line| line.time_ms).min()?;
    let last_ms = named.iter().map(|line| line.time_ms).max()?;
    let program = named.iter().find_map(|line| line.field("program"));
    let is_related = |line: &LogLine| {
        let is_program = program.is_some_and(|program| line.field("program") == Some(program));
        let is_in_span = (first_ms..=last_ms).contains(&line.time_ms);
        is_program && is_in_span && line.field("request").is_none()
    };
    let mut selected: Vec<&LogLine> = lines
        .iter()
        .filter(|line| names(line) || is_related(line))
        .collect();
    selected.sort_by_key(|line| line.time_ms);
    let mut text = match program {
        Some(program) => format!("{id}, program {program}, from time_ms={first_ms}\n"),
        None => format!("{id}, from time_ms={first_ms}\n"),
    };
    for line in selected {
        write_line(&mut text, line, first_ms);
    }
    Some(text)
}

/// Requests that began or took up the same stream as this request.
fn stream_requests<'a>(id: &'a str, lines: &'a [LogLine]) -> Vec<&'a str> {
    let taken_up = lines.iter().filter_map(|line| {
        let stream = line.field("stream").filter(|stream| *stream != "-")?;
        Some((line.field("request")?, stream))
    });
    let taken_up: Vec<(&str, &str)> = taken_up.collect();
    let stream = taken_up.iter().find(|(request, _)| *request == id);
    let stream = stream.map_or(id, |(_, stream)| stream);
    let requests = taken_up.iter().filter(|(_, begun_as)| *begun_as == stream);
    let requests = requests.map(|(request, _)| *request);
    requests.chain([stream]).collect()
}

fn write_line(text: &mut String, line: &LogLine, first_ms: u64) {
    let after_ms = line.time_ms.saturating_sub(first_ms);
    // Writing into a string does not fail.
    let _ = write!(text, "{after_ms:>7} ms  {}  {}", line.vm, line.message);
    let fields = line.fields.iter();
    for (key, value) in fields.filter(|(key, _)| !OMITTED_FIELDS.contains(&key.as_str())) {
        let _ = write!(text, "  {key}={value}");
    }
    text.push('\n');
}

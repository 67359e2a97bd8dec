//! Log lines of one request or program, in order of time.

use std::fmt::Write;

use crate::collection::LogLine;

/// Fields by which lines belong together.
const IDENTITIES: [&str; 3] = ["request", "program", "session"];

/// Fields that the story leaves out, as they say the same in each line.
const REPEATED: [&str; 3] = ["level", "module", "program"];

/// Story of whatever has this identity; `None` if no line names it. For a
/// request the lines of the same program that name no request are added, as
/// they tell of its budget.
pub fn timeline(id: &str, lines: &[LogLine]) -> Option<String> {
    let names = |line: &LogLine| IDENTITIES.iter().any(|name| line.field(name) == Some(id));
    let named: Vec<&LogLine> = lines.iter().filter(|line| names(line)).collect();
    let first_ms = named.iter().map(|line| line.time_ms).min()?;
    let last_ms = named.iter().map(|line| line.time_ms).max()?;
    let program = named.iter().find_map(|line| line.field("program"));
    let is_beside = |line: &LogLine| {
        let is_program = program.is_some_and(|program| line.field("program") == Some(program));
        let is_then = (first_ms..=last_ms).contains(&line.time_ms);
        is_program && is_then && line.field("request").is_none()
    };
    let mut told: Vec<&LogLine> = lines
        .iter()
        .filter(|line| names(line) || is_beside(line))
        .collect();
    told.sort_by_key(|line| line.time_ms);
    let mut text = match program {
        Some(program) => format!("{id}, program {program}, from time_ms={first_ms}\n"),
        None => format!("{id}, from time_ms={first_ms}\n"),
    };
    for line in told {
        tell(&mut text, line, first_ms);
    }
    Some(text)
}

fn tell(text: &mut String, line: &LogLine, first_ms: u64) {
    let after_ms = line.time_ms.saturating_sub(first_ms);
    // Writing into a string does not fail.
    let _ = write!(text, "{after_ms:>7} ms  {}  {}", line.vm, line.message);
    let fields = line.fields.iter();
    for (key, value) in fields.filter(|(key, _)| !REPEATED.contains(&key.as_str())) {
        let _ = write!(text, "  {key}={value}");
    }
    text.push('\n');
}

//! Parsing of log lines.

/// Line of a VM's log, parsed from its `key=value` fields.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogLine {
    /// Time of writing, since the Unix epoch.
    pub time_ms: u64,
    /// Name of the VM that wrote the line.
    pub vm: String,
    /// Message text, without the fields.
    pub message: String,
    /// Keys and values of all other fields, in order.
    pub fields: Vec<(String, String)>,
}

impl LogLine {
    /// Value of a field other than the time, the VM and the message; `None` if the
    /// line doesn't have it.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Parses lines of `key=value` fields; other lines are skipped.
pub fn parse_log(text: &str) -> Vec<LogLine> {
    text.lines().filter_map(parse_line).collect()
}

fn parse_line(line: &str) -> Option<LogLine> {
    // Log collectors may prepend text to the line.
    let mut rest = &line[line.find("time_ms=")?..];
    let mut parsed = LogLine::default();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, after) = parse_value(after)?;
        match key.trim() {
            "time_ms" => parsed.time_ms = value.parse().ok()?,
            "vm" => parsed.vm = value,
            "message" => parsed.message = value,
            key => parsed.fields.push((key.to_owned(), value)),
        }
        rest = after;
    }
    Some(parsed)
}

/// Splits off a value, which ends at a space, or at the closing quote if quoted.
fn parse_value(text: &str) -> Option<(String, &str)> {
    let Some(quoted) = text.strip_prefix('"') else {
        let (value, rest) = text.split_once(' ').unwrap_or((text, ""));
        return Some((value.to_owned(), rest));
    };
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((position, c)) = chars.next() {
        match c {
            '"' => return Some((value, &quoted[position + 1..])),
            '\\' => value.push(chars.next()?.1),
            c => value.push(c),
        }
    }
    None
}

//! Log lines of VMs.

/// One log line.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogLine {
    /// When it was written.
    pub time_ms: u64,
    /// VM.
    pub vm: String,
    /// What happened.
    pub message: String,
    /// Other fields, in order.
    pub fields: Vec<(String, String)>,
}

impl LogLine {
    /// Value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads lines of `key=value` fields; others are left out.
pub fn parse_log(text: &str) -> Vec<LogLine> {
    text.lines().filter_map(read_line).collect()
}

fn read_line(line: &str) -> Option<LogLine> {
    // Collectors put words of their own before the line.
    let mut rest = &line[line.find("time_ms=")?..];
    let mut read = LogLine::default();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, after) = read_value(after)?;
        match key.trim() {
            "time_ms" => read.time_ms = value.parse().ok()?,
            "vm" => read.vm = value,
            "message" => read.message = value,
            key => read.fields.push((key.to_owned(), value)),
        }
        rest = after;
    }
    Some(read)
}

/// Value up to the next blank, or up to the closing quote.
fn read_value(text: &str) -> Option<(String, &str)> {
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

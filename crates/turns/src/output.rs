//! Output of a turn, collected from the events of its response.

use bytes::Bytes;

/// Data of the events of one response, as a later turn's chain contains it.
#[derive(Clone, Debug, Default)]
pub struct TurnOutput {
    data: Vec<u8>,
}

impl TurnOutput {
    /// Adds complete events. The lines of an event's data are joined by line
    /// feeds; its other fields are left out.
    pub fn push_events(&mut self, events: &[u8]) {
        let mut data_lines = 0;
        for line in events.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                if data_lines > 0 {
                    self.data.push(b'\n');
                }
                data_lines = 0;
            } else if let Some(data) = field_value(line, b"data") {
                if data_lines > 0 {
                    self.data.push(b'\n');
                }
                self.data.extend_from_slice(data);
                data_lines += 1;
            }
        }
    }

    /// Size of the output so far.
    pub fn len_bytes(&self) -> usize {
        self.data.len()
    }

    /// Memory of the output so far.
    pub fn capacity_bytes(&self) -> usize {
        self.data.capacity()
    }

    /// The whole output.
    pub fn into_bytes(self) -> Bytes {
        self.data.into()
    }
}

/// Value of a line `name: value` or `name:value`; `None` for another field.
fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let rest = line.strip_prefix(name)?;
    if rest.is_empty() {
        return Some(rest);
    }
    let value = rest.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

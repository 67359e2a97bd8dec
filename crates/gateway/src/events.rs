//! Framing of server-sent events in a forwarded stream.
//!
//! Bytes are forwarded up to the end of the last complete event, so that a
//! stream that breaks can be resumed at another target with the event after it.

/// Maximum size of an event; a stream with a larger one is not read further.
const MAX_EVENT_BYTES: usize = 262_144;

/// Complete events of a stream that a chunk of bytes made available.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CompleteEvents {
    /// Bytes to forward; they end at an event boundary.
    pub bytes: Vec<u8>,
    /// Number of events in the bytes.
    pub count: u64,
}

/// Incremental reader of one event stream.
#[derive(Clone, Debug, Default)]
pub struct EventReader {
    partial: Vec<u8>,
    last_id: Option<u64>,
    event_count: u64,
}

impl EventReader {
    /// Reader of a stream that resumes after the event `last_id`; `None` for a
    /// stream from its start.
    pub fn resume_after(last_id: Option<u64>) -> EventReader {
        EventReader {
            last_id,
            ..EventReader::default()
        }
    }

    /// Adds bytes and returns the events that are complete. Events with an id up
    /// to the last one are dropped, as a resumed stream may repeat them.
    pub fn push(&mut self, bytes: &[u8]) -> CompleteEvents {
        // The blank line that ends an event may be split between two chunks.
        let scan_start = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let mut complete = CompleteEvents::default();
        let mut start = 0;
        let mut position = scan_start;
        while let Some(end) = event_end(&self.partial, position) {
            let id = event_id(&self.partial[start..end]);
            if self.accept(id) {
                complete.bytes.extend_from_slice(&self.partial[start..end]);
                complete.count += 1;
            }
            start = end;
            position = end;
        }
        self.partial.drain(..start);
        self.event_count += complete.count;
        complete
    }

    fn accept(&mut self, id: Option<u64>) -> bool {
        match (id, self.last_id) {
            (Some(id), Some(last)) if id <= last => false,
            (Some(id), _) => {
                self.last_id = Some(id);
                true
            }
            (None, _) => true,
        }
    }

    /// Discards the incomplete event of a stream that broke.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Whether the incomplete event is larger than any event may be, so that the
    /// bytes are probably no event stream.
    pub fn is_oversized(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Memory of the incomplete event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.capacity()
    }

    /// Whether no event is incomplete.
    pub fn is_at_event_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Id of the last returned event that has one; before that, the id to resume
    /// after, if any.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of events returned.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }
}

/// End of the first event whose blank line is at or after `from`; `None` if no
/// such line has arrived.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut position = from;
    while position < bytes.len() {
        let rest = &bytes[position..];
        if rest.starts_with(b"\n\n") {
            return Some(position + 2);
        }
        if rest.starts_with(b"\r\n\r\n") {
            return Some(position + 4);
        }
        position += 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines()
        .find_map(|line| line.strip_prefix("id:"))
        .and_then(|id| id.trim().parse().ok())
}

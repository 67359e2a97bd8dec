//! Boundaries and identities of server-sent events in a passing stream.
//!
//! Bytes are passed on up to the last whole event, so that a stream that
//! breaks can go on at another target with the event after it.

/// What a piece of a stream adds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CompleteEvents {
    /// Bytes that end with a whole event.
    pub bytes: Vec<u8>,
    /// Events in them.
    pub count: u64,
}

/// Reader of one stream.
#[derive(Clone, Debug, Default)]
pub struct EventReader {
    tail: Vec<u8>,
    last_id: Option<u64>,
    event_count: u64,
}

impl EventReader {
    /// Reader of a stream that goes on after an event.
    pub fn resume_after(last_id: Option<u64>) -> EventReader {
        EventReader {
            last_id,
            ..EventReader::default()
        }
    }

    /// Takes bytes and gives back what is whole; events that were passed
    /// before are left out.
    pub fn push(&mut self, bytes: &[u8]) -> CompleteEvents {
        // A blank line may straddle two pieces.
        let scan_from = self.tail.len().saturating_sub(3);
        self.tail.extend_from_slice(bytes);
        let mut step = CompleteEvents::default();
        let mut start = 0;
        let mut position = scan_from;
        while let Some(end) = event_end(&self.tail, position) {
            let id = event_id(&self.tail[start..end]);
            if self.is_new(id) {
                step.bytes.extend_from_slice(&self.tail[start..end]);
                step.count += 1;
            }
            start = end;
            position = end;
        }
        self.tail.drain(..start);
        self.event_count += step.count;
        step
    }

    fn is_new(&mut self, id: Option<u64>) -> bool {
        match (id, self.last_id) {
            (Some(id), Some(last)) if id <= last => false,
            (Some(id), _) => {
                self.last_id = Some(id);
                true
            }
            (None, _) => true,
        }
    }

    /// Forgets bytes after the last whole event, of a stream that broke.
    pub fn discard_partial(&mut self) {
        self.tail.clear();
    }

    /// Whether all bytes belong to whole events.
    pub fn is_at_event_boundary(&self) -> bool {
        self.tail.is_empty()
    }

    /// Identity of the last event that was passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Events that were passed on.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }
}

/// End of the first event that has its blank line at or after `from`.
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

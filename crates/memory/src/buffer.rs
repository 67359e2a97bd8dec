//! Buffer of a body that arrives, in segments.

use bytes::Bytes;

/// Smallest allocation.
const MIN_SEGMENT_BYTES: usize = 1_024;

/// Largest segment. A buffer that doubles instead copies itself, and leaves gaps of many
/// sizes on the heap: 120 bodies within 12 MB took 44 MB of a process rather than 30.
const SEGMENT_BYTES: usize = 65_536;

/// What a buffer allocates before it takes more bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Growth {
    /// The last segment has room.
    None,
    /// The first segment grows by so much.
    First(usize),
    /// Another segment of this size.
    Segment(usize),
}

impl Growth {
    pub(crate) fn added_bytes(self) -> usize {
        match self {
            Growth::None => 0,
            Growth::First(bytes) | Growth::Segment(bytes) => bytes,
        }
    }
}

/// All segments but the last are full.
#[derive(Debug, Default)]
pub(crate) struct Buffer {
    segments: Vec<Vec<u8>>,
    length: usize,
}

impl Buffer {
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Growth before some of so many bytes are taken, of a buffer that has up to `max_bytes`
    /// in the end.
    pub(crate) fn next_growth(&self, bytes: usize, max_bytes: usize) -> Growth {
        let wanted = bytes.clamp(MIN_SEGMENT_BYTES, SEGMENT_BYTES);
        let left = max_bytes.saturating_sub(self.length).max(1);
        match self.segments.as_slice() {
            [.., last] if last.len() < last.capacity() => Growth::None,
            [first] if first.capacity() < SEGMENT_BYTES => {
                let room = SEGMENT_BYTES - first.capacity();
                Growth::First(first.capacity().max(wanted).min(room).min(left))
            }
            [] => Growth::Segment(wanted.min(left)),
            [..] => Growth::Segment(SEGMENT_BYTES.min(left)),
        }
    }

    /// Grows, and takes as many of the bytes as the last segment has room for; returns their
    /// number.
    pub(crate) fn fill(&mut self, growth: Growth, data: &[u8]) -> usize {
        match growth {
            Growth::None => {}
            Growth::First(bytes) => {
                if let Some(first) = self.segments.first_mut() {
                    first.reserve_exact(bytes);
                }
            }
            Growth::Segment(bytes) => self.segments.push(Vec::with_capacity(bytes)),
        }
        let Some(last) = self.segments.last_mut() else {
            return 0;
        };
        let taken = data.len().min(last.capacity() - last.len());
        last.extend_from_slice(&data[..taken]);
        self.length += taken;
        taken
    }

    /// The whole content. Each segment is freed as soon as it is copied.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        if self.segments.len() <= 1 {
            let mut only = self.segments.pop().unwrap_or_default();
            only.shrink_to_fit();
            return only.into();
        }
        let mut whole = Vec::with_capacity(self.length);
        for segment in self.segments.drain(..) {
            whole.extend_from_slice(&segment);
        }
        whole.into()
    }
}

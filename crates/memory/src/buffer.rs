//! Buffers of bodies that arrive, in segments.

/// Smallest allocation.
const MIN_CAPACITY: usize = 1_024;

/// Largest body that needs no segment.
const SMALL_BYTES: usize = 4_096;

/// Size of a segment.
const SEGMENT_BYTES: usize = 16_384;

/// Bytes of one body: the first in a small buffer, the rest in segments, of which all but
/// the last are full. A segment isn't moved, so that a long body needs no second buffer
/// before it is whole.
#[derive(Debug, Default)]
pub(crate) struct Buffer {
    small: Vec<u8>,
    segments: Vec<Vec<u8>>,
    length: usize,
}

impl Buffer {
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Bytes that are allocated.
    pub(crate) fn capacity(&self) -> usize {
        self.small.capacity() + self.segments.len() * SEGMENT_BYTES
    }

    fn segmented_bytes(&self) -> usize {
        self.length - self.small.len()
    }

    /// Bytes that must be allocated before some of `bytes` can be taken.
    pub(crate) fn growth_bytes(&self, bytes: usize) -> usize {
        if self.segmented_bytes() < self.segments.len() * SEGMENT_BYTES {
            return 0;
        }
        if !self.segments.is_empty() || self.small.len() == SMALL_BYTES {
            return SEGMENT_BYTES;
        }
        if self.small.len() < self.small.capacity() {
            return 0;
        }
        let capacity = self.small.capacity();
        let wanted = bytes.max(capacity).max(MIN_CAPACITY);
        wanted.min(SMALL_BYTES - capacity)
    }

    /// Allocates `growth_bytes` and takes as many of the bytes as there is room for; returns
    /// their number.
    pub(crate) fn fill(&mut self, growth_bytes: usize, data: &[u8]) -> usize {
        let is_small = self.segments.is_empty() && self.small.len() < SMALL_BYTES;
        if growth_bytes > 0 {
            match is_small {
                true => self.small.reserve_exact(growth_bytes),
                false => self.segments.push(Vec::with_capacity(growth_bytes)),
            }
        }
        let last = match is_small {
            true => &mut self.small,
            false => match self.segments.last_mut() {
                Some(segment) => segment,
                None => return 0,
            },
        };
        let taken = data.len().min(last.capacity() - last.len());
        last.extend_from_slice(&data[..taken]);
        self.length += taken;
        taken
    }

    /// The whole content.
    pub(crate) fn into_content(self) -> Vec<u8> {
        if self.segments.is_empty() {
            let mut only = self.small;
            only.shrink_to_fit();
            return only;
        }
        let mut whole = self.small;
        whole.reserve_exact(self.length - whole.len());
        // Each segment is freed as soon as it is copied.
        for segment in self.segments {
            whole.extend_from_slice(&segment);
        }
        whole
    }
}

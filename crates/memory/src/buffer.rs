//! Buffers of bodies that arrive, in segments of one slab.

/// Smallest allocation.
const MIN_CAPACITY: usize = 1_024;

/// Largest body that needs no segment.
const SMALL_BYTES: usize = 4_096;

/// Size of a segment.
const SEGMENT_BYTES: usize = 16_384;

/// Smallest size of the slab. The C library maps each allocation over 32 MiB on its own,
/// so that pages without a write take no memory, and all return to the system when the slab
/// is freed. Smaller allocations leave gaps in the heaps of all threads: 150 bodies within
/// 32 MB took a process of many threads to 156 MB.
const MIN_SLAB_BYTES: usize = 34_000_000;

/// Memory of all segments; allocated while at least one is in use.
#[derive(Debug)]
pub(crate) struct Slab {
    segments: usize,
    bytes: Vec<u8>,
    free: Vec<usize>,
    used: usize,
}

impl Slab {
    pub(crate) fn new(max_bytes: u64) -> Slab {
        Slab {
            segments: usize::try_from(max_bytes).unwrap_or(usize::MAX) / SEGMENT_BYTES,
            bytes: Vec::new(),
            free: Vec::new(),
            used: 0,
        }
    }

    /// `None` if all segments are in use.
    fn take(&mut self) -> Option<usize> {
        if self.bytes.is_empty() {
            self.bytes = vec![0; (self.segments * SEGMENT_BYTES).max(MIN_SLAB_BYTES)];
            // The last one is taken first: low segments come at the end.
            self.free = (0..self.segments).rev().collect();
        }
        let segment = self.free.pop()?;
        self.used += 1;
        Some(segment)
    }

    /// Frees all segments of a buffer.
    pub(crate) fn release(&mut self, buffer: &mut Buffer) {
        self.used -= buffer.segments.len();
        self.free.append(&mut buffer.segments);
        if self.used == 0 {
            self.bytes = Vec::new();
            self.free = Vec::new();
        }
        *buffer = Buffer::default();
    }

    fn segment(&self, segment: usize) -> &[u8] {
        &self.bytes[segment * SEGMENT_BYTES..][..SEGMENT_BYTES]
    }
}

/// Bytes of one body: the first in a small buffer, the rest in segments, of which all but
/// the last are full.
#[derive(Debug, Default)]
pub(crate) struct Buffer {
    small: Vec<u8>,
    segments: Vec<usize>,
    length: usize,
}

impl Buffer {
    pub(crate) fn len(&self) -> usize {
        self.length
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
    /// their number, or `None` if there is no segment.
    pub(crate) fn fill(
        &mut self,
        growth_bytes: usize,
        data: &[u8],
        slab: &mut Slab,
    ) -> Option<usize> {
        if self.segments.is_empty() && self.small.len() < SMALL_BYTES {
            if growth_bytes > 0 {
                self.small.reserve_exact(growth_bytes);
            }
            let taken = data.len().min(self.small.capacity() - self.small.len());
            self.small.extend_from_slice(&data[..taken]);
            self.length += taken;
            return Some(taken);
        }
        if growth_bytes > 0 {
            self.segments.push(slab.take()?);
        }
        let offset = self.segmented_bytes() - (self.segments.len() - 1) * SEGMENT_BYTES;
        let taken = data.len().min(SEGMENT_BYTES - offset);
        let start = self.segments.last()? * SEGMENT_BYTES + offset;
        slab.bytes[start..start + taken].copy_from_slice(&data[..taken]);
        self.length += taken;
        Some(taken)
    }

    /// The whole content.
    pub(crate) fn take_content(&mut self, slab: &Slab) -> Vec<u8> {
        if self.segments.is_empty() {
            let mut only = std::mem::take(&mut self.small);
            only.shrink_to_fit();
            return only;
        }
        let mut whole = Vec::with_capacity(self.length);
        whole.extend_from_slice(&self.small);
        for segment in &self.segments {
            let left = self.length - whole.len();
            let bytes = slab.segment(*segment);
            whole.extend_from_slice(&bytes[..left.min(SEGMENT_BYTES)]);
        }
        whole
    }
}

//! A whole body in segments of one size.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Buf, Bytes};
use hyper::body::{Body, Frame, SizeHint};

use super::body_memory::Reservation;

/// Size of a segment, in bytes. Memory that one body leaves can be used by any other, which a buffer for the
/// whole body could not be.
pub(super) const SEGMENT_BYTES: usize = 16 * 1024;

/// A body with its memory, which is free again when the last copy of it is dropped.
#[derive(Debug, Clone, Default)]
pub struct HeldBody {
    segments: VecDeque<Bytes>,
}

impl HeldBody {
    /// Returns the bytes, in order.
    pub fn chunks(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(Bytes::as_ref)
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.segments.iter().map(Bytes::len).sum()
    }
}

impl From<Bytes> for HeldBody {
    fn from(bytes: Bytes) -> Self {
        let segments = (!bytes.is_empty()).then_some(bytes);
        Self {
            segments: segments.into_iter().collect(),
        }
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let segment = self.segments.pop_front();
        Poll::Ready(segment.map(|it| Ok(Frame::data(it))))
    }

    fn is_end_stream(&self) -> bool {
        self.segments.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len() as u64)
    }
}

/// A body that arrives.
#[derive(Debug)]
pub(super) struct BodyBuffer {
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
    /// Bytes that are still expected by the stated length.
    expected: Option<usize>,
}

impl BodyBuffer {
    /// Creates the buffer of a body, whose length may be stated.
    pub fn new(stated: Option<usize>) -> Self {
        Self {
            full: Vec::new(),
            last: Vec::with_capacity(stated.unwrap_or_default().min(SEGMENT_BYTES)),
            expected: stated,
        }
    }

    /// Returns the number of bytes so far.
    pub fn len(&self) -> usize {
        self.full.len() * SEGMENT_BYTES + self.last.len()
    }

    /// Returns the memory, in bytes, that is needed if this many bytes are added.
    pub fn memory_with(&self, added: usize) -> usize {
        (self.len() + added).next_multiple_of(SEGMENT_BYTES)
    }

    /// Adds bytes.
    pub fn push(&mut self, mut data: Bytes) {
        while data.has_remaining() {
            if self.last.len() == SEGMENT_BYTES {
                let capacity = self.expected.unwrap_or(SEGMENT_BYTES).min(SEGMENT_BYTES);
                let next = Vec::with_capacity(capacity);
                self.full.push(std::mem::replace(&mut self.last, next));
            }
            let part = data.split_to(data.len().min(SEGMENT_BYTES - self.last.len()));
            if self.last.capacity() > 0 && self.last.capacity() - self.last.len() < part.len() {
                self.last.reserve_exact(SEGMENT_BYTES - self.last.len());
            }
            self.last.extend_from_slice(&part);
            self.expected = self.expected.map(|it| it.saturating_sub(part.len()));
        }
    }

    /// Returns the body, each of whose segments has its part of the memory.
    pub fn hold(self, mut memory: Reservation) -> HeldBody {
        let segments = self.full.into_iter().chain([self.last]);
        let segments = segments.filter(|it| !it.is_empty()).map(|segment| {
            let part = memory.split(segment.len());
            part.hold(segment.into())
        });
        HeldBody {
            segments: segments.collect(),
        }
    }
}

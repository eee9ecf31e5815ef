//! Splitting of a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes; a stream with a larger one counts as broken. Events of inference
/// engines hold a few tokens each, which take a few hundred bytes.
const MAX_EVENT: usize = 1024 * 1024;

/// Buffers bytes until an event is complete.
///
/// Guards against a backend server that stops within an event: the forwarded part of a stream
/// ends between two events, so that another connection can resume after the last one.
#[derive(Debug, Default)]
pub struct EventReader {
    buf: BytesMut,
    /// Number of bytes at the start of the buffer that contain no end of an event, so that a
    /// long event that arrives in many pieces is searched once.
    searched: usize,
}

impl EventReader {
    /// Appends bytes. Returns `false` if the buffer then exceeds the size of the largest event.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT
    }

    /// Removes and returns the next complete event, with the empty line that ends it.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let Some(end) = self.end_of_event() else {
            self.searched = self.buf.len();
            return None;
        };
        self.searched = 0;
        Some(self.buf.split_to(end).freeze())
    }

    /// Returns the number of bytes that wait for the end of an event.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Returns whether bytes of an incomplete event are left.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Returns the length of the first event if it is complete. An event ends with an empty line;
    /// lines end with LF or CRLF.
    fn end_of_event(&self) -> Option<usize> {
        let unread = self.buf[self.searched..].iter().enumerate();
        let mut ends = unread.filter(|(_, byte)| **byte == b'\n');
        ends.find_map(|(index, _)| {
            let before = &self.buf[..self.searched + index];
            let line = before.strip_suffix(b"\r").unwrap_or(before);
            line.ends_with(b"\n").then_some(self.searched + index + 1)
        })
    }
}

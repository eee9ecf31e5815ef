//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes; a longer one is taken for a broken stream. Events of engines
/// hold a few tokens each, some hundred bytes.
const MAX_EVENT: usize = 1024 * 1024;

/// Collects bytes until an event is whole.
///
/// Guards against a backend server that stops in the middle of an event: what is passed on
/// ends between two events, so that another connection can go on behind the last.
#[derive(Debug, Default)]
pub struct EventReader {
    buf: BytesMut,
    /// Bytes at the beginning that hold no end of an event, so that a long event that
    /// comes in many pieces is looked through once.
    searched: usize,
}

impl EventReader {
    /// Takes bytes; says whether the event in them may still become whole.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT
    }

    /// Takes the next whole event out, with the empty line that ends it.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let Some(end) = self.end_of_event() else {
            self.searched = self.buf.len();
            return None;
        };
        self.searched = 0;
        Some(self.buf.split_to(end).freeze())
    }

    /// Whether bytes of an event that is not whole are left.
    #[must_use]
    pub fn has_rest(&self) -> bool {
        !self.buf.is_empty()
    }

    /// An event ends with an empty line, in either form of line end.
    fn end_of_event(&self) -> Option<usize> {
        let unread = self.buf[self.searched..].iter().enumerate();
        let mut ends = unread.filter(|(_, byte)| **byte == b'\n');
        ends.find_map(|(place, _)| {
            let before = &self.buf[..self.searched + place];
            let line = before.strip_suffix(b"\r").unwrap_or(before);
            line.ends_with(b"\n").then_some(self.searched + place + 1)
        })
    }
}

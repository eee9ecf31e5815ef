//! Splits a stream into whole events.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes; a longer one is taken for a broken stream.
const MAX_EVENT: usize = 1024 * 1024;

/// One whole event, as it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
    /// Its id, where it has one.
    pub id: Option<u64>,
}

/// Collects bytes until an event is whole.
///
/// Guards against a backend server that stops in the middle of an event: what is passed on
/// ends between two events, so another one can go on behind the last.
#[derive(Debug, Default)]
pub struct EventReader {
    buf: BytesMut,
}

impl EventReader {
    /// Takes bytes; says whether the event in them may still become whole.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT
    }

    /// Takes the next whole event out.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.buf.windows(2).position(|pair| pair == b"\n\n")? + 2;
        let bytes = self.buf.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Whether bytes of an event that is not whole are left.
    pub fn has_rest(&self) -> bool {
        !self.buf.is_empty()
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}

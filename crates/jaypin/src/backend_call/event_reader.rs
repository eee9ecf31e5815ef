//! Cuts a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// End of a stream of server-sent events, by the completions protocol.
const DONE: &[u8] = b"data: [DONE]";
/// Largest event that is taken, in bytes.
const MAX_EVENT: usize = 1024 * 1024;

/// What an event is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// One token.
    Token,
    /// The end of the answer.
    Done,
    /// A comment, a ping, an event with a name.
    Other,
}

/// The events of one connection.
///
/// Only whole events are passed on: a connection that breaks inside an event must
/// leave no part of it with the caller, because the resumed stream sends it again.
#[derive(Debug, Default)]
pub struct EventReader {
    buf: BytesMut,
}

impl EventReader {
    /// Takes bytes; says whether the event under way is still of a sane size.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT
    }

    /// Gives the next whole event with its bytes.
    pub fn next_event(&mut self) -> Option<(EventKind, Bytes)> {
        let end = event_end(&self.buf)?;
        let bytes = self.buf.split_to(end).freeze();
        Some((kind_of(&bytes), bytes))
    }
}

/// An event ends with an empty line, in either form of line end.
fn event_end(buf: &[u8]) -> Option<usize> {
    let ends = |(at, byte): (usize, &u8)| {
        let before = buf[..at].strip_suffix(b"\r").unwrap_or(&buf[..at]);
        (*byte == b'\n' && before.ends_with(b"\n")).then_some(at + 1)
    };
    buf.iter().enumerate().find_map(ends)
}

fn kind_of(event: &[u8]) -> EventKind {
    let mut kind = EventKind::Other;
    for line in event.split(|byte| *byte == b'\n') {
        if line.starts_with(b"event:") {
            return EventKind::Other;
        }
        if line.starts_with(DONE) {
            kind = EventKind::Done;
        } else if line.starts_with(b"data:") {
            kind = EventKind::Token;
        }
    }
    kind
}

//! Classification of the server-sent events in an engine's stream.

/// Line that ends a stream in the completions protocol.
const DONE: &[u8] = b"data: [DONE]";

/// Kind of a server-sent event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// Carries one token.
    Token,
    /// Marks the end of the answer.
    Done,
    /// A comment, a ping or a named event.
    Other,
}

impl EventKind {
    /// Returns the kind of a complete event, which its lines determine.
    pub fn from_event(event: &[u8]) -> Self {
        let mut kind = Self::Other;
        for line in event.split(|byte| *byte == b'\n') {
            if line.starts_with(b"event:") {
                return Self::Other;
            }
            if line.starts_with(DONE) {
                kind = Self::Done;
            } else if line.starts_with(b"data:") {
                kind = Self::Token;
            }
        }
        kind
    }
}

//! What the events of an engine's stream are.

/// End of a stream of server-sent events, by the completions protocol.
const DONE: &[u8] = b"data: [DONE]";

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

impl EventKind {
    /// Finds out by the lines of a whole event.
    pub fn of(event: &[u8]) -> Self {
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

//! The events of a backend server's stream, without the comments between them.

use bytes::{Bytes, BytesMut};
use jaypin_http::EventReader;
use snafu::{Snafu, ensure};

use crate::admission::{BodyMemory, Reservation};

/// Largest size of the comments between two events, in bytes; a stream with more counts as broken.
const MAX_COMMENT_BYTES: usize = 64 * 1024;

/// Splits a stream into events. Comments are kept until the next event, whose bytes begin with them.
///
/// Guards against a backend server that sends comments only: they would count as the start of the answer,
/// after which the stream can't be sent elsewhere.
#[derive(Debug, Default)]
pub(super) struct StreamEvents {
    reader: EventReader,
    comments: BytesMut,
    reservation: Reservation,
}

impl StreamEvents {
    /// Appends bytes.
    ///
    /// # Errors
    /// Fails if the next event is too large.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<(), StreamError> {
        ensure!(self.reader.push(bytes), EventTooLargeSnafu);
        Ok(())
    }

    /// Removes and returns the next event; none if it is not complete.
    ///
    /// # Errors
    /// Fails if too many bytes of comments precede it.
    pub(super) fn next_event(&mut self) -> Result<Option<Bytes>, StreamError> {
        while let Some(event) = self.reader.next_event() {
            if !is_comment(&event) {
                return Ok(Some(self.with_comments(event)));
            }
            self.comments.extend_from_slice(&event);
            let has_room = self.comments.len() <= MAX_COMMENT_BYTES;
            ensure!(has_room, TooManyCommentsSnafu);
        }
        Ok(None)
    }

    /// Returns whether bytes of an incomplete event are left.
    pub(super) fn has_partial_event(&self) -> bool {
        self.reader.has_partial_event()
    }

    /// Reserves memory for the bytes that wait for the end of an event or for the next one.
    ///
    /// # Errors
    /// Fails if other bodies take the memory.
    pub(super) fn reserve(&mut self, memory: &BodyMemory) -> Result<(), StreamError> {
        let waiting = self.reader.buffered_bytes() + self.comments.len();
        let reserved = memory.try_reserve(&mut self.reservation, waiting);
        reserved.map_err(|_| StreamError::NoMemory)
    }

    /// Returns the comments after the last event.
    pub(super) fn take_comments(&mut self) -> Bytes {
        self.comments.split().freeze()
    }

    fn with_comments(&mut self, event: Bytes) -> Bytes {
        if self.comments.is_empty() {
            return event;
        }
        self.comments.extend_from_slice(&event);
        self.comments.split().freeze()
    }
}

/// Why a stream counts as broken.
#[derive(Debug, Snafu)]
pub(super) enum StreamError {
    #[snafu(display("an event is larger than the limit"))]
    EventTooLarge,
    #[snafu(display("more than {MAX_COMMENT_BYTES} bytes of comments precede an event"))]
    TooManyComments,
    #[snafu(display("other bodies take the memory for an event"))]
    NoMemory,
}

/// Returns whether a block of lines holds comments only, or nothing.
fn is_comment(event: &[u8]) -> bool {
    let lines = event.split(|byte| *byte == b'\n');
    lines
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
        .all(|line| line.is_empty() || line.starts_with(b":"))
}

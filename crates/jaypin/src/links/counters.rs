//! What went over the links of this host, in numbers.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

use crate::metrics;

/// Bytes of the longest payload with a header of two bytes.
const SHORT_PAYLOAD: usize = 125;
/// Bytes of the mask in frames from a dialer; taken for all frames.
const MASK: usize = 4;

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub struct LinkCounters {
    sent: Direction,
    received: Direction,
    opened: AtomicU64,
    turned_away: AtomicU64,
}

#[derive(Debug, Default)]
struct Direction {
    bytes: AtomicU64,
    frames: AtomicU64,
    messages: AtomicU64,
}

/// The counts at one moment. Bytes include WebSocket headers, and no headers below them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct LinkCounts {
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Bytes received.
    pub bytes_received: u64,
    /// Frames sent, heartbeats among them.
    pub frames_sent: u64,
    /// Frames received, heartbeats among them.
    pub frames_received: u64,
    /// Messages sent.
    pub messages_sent: u64,
    /// Messages received.
    pub messages_received: u64,
    /// Links made, by either end.
    pub opened: u64,
    /// Connections that did not prove the fleet key.
    pub turned_away: u64,
}

impl LinkCounters {
    /// Counts a frame that was sent.
    pub fn sent(&self, payload: usize, is_message: bool) {
        self.sent.count(payload, is_message);
        metrics::link_frame("sent", payload, is_message);
    }

    /// Counts a frame that was received.
    pub fn received(&self, payload: usize, is_message: bool) {
        self.received.count(payload, is_message);
        metrics::link_frame("received", payload, is_message);
    }

    /// Counts a link that was made.
    pub fn opened(&self) {
        self.opened.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a connection that did not prove itself.
    pub fn turned_away(&self) {
        self.turned_away.fetch_add(1, Ordering::Relaxed);
    }

    /// The counts now.
    pub fn counts(&self) -> LinkCounts {
        LinkCounts {
            bytes_sent: self.sent.bytes.load(Ordering::Relaxed),
            bytes_received: self.received.bytes.load(Ordering::Relaxed),
            frames_sent: self.sent.frames.load(Ordering::Relaxed),
            frames_received: self.received.frames.load(Ordering::Relaxed),
            messages_sent: self.sent.messages.load(Ordering::Relaxed),
            messages_received: self.received.messages.load(Ordering::Relaxed),
            opened: self.opened.load(Ordering::Relaxed),
            turned_away: self.turned_away.load(Ordering::Relaxed),
        }
    }
}

impl Direction {
    fn count(&self, payload: usize, is_message: bool) {
        let header = if payload <= SHORT_PAYLOAD { 2 } else { 4 };
        let bytes = u64::try_from(payload + header + MASK).unwrap_or_default();
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.frames.fetch_add(1, Ordering::Relaxed);
        if is_message {
            self.messages.fetch_add(1, Ordering::Relaxed);
        }
    }
}

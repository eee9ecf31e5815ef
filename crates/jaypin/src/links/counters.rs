//! Counts of the traffic on this host's links.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

use crate::metrics;

/// Longest payload with a WebSocket header of two bytes, in bytes.
const MAX_SHORT_PAYLOAD: usize = 125;
/// Size of the mask in frames from a dialer, in bytes; it is counted for all frames.
const MASK_BYTES: usize = 4;

/// Running counts since the start of the process.
#[derive(Debug, Default)]
pub struct LinkCounters {
    sent: Direction,
    received: Direction,
    opened: AtomicU64,
    rejected: AtomicU64,
}

#[derive(Debug, Default)]
struct Direction {
    bytes: AtomicU64,
    frames: AtomicU64,
    messages: AtomicU64,
}

/// Counts at one time. Bytes include WebSocket headers, but not those of lower layers.
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
    /// Connections established by either end.
    pub opened: u64,
    /// Incoming connections that failed the handshake.
    pub turned_away: u64,
}

impl LinkCounters {
    /// Counts a frame that was sent.
    pub fn sent(&self, payload: usize, is_message: bool) {
        self.sent.count(payload, is_message);
        metrics::record_link_frame("sent", payload, is_message);
    }

    /// Counts a frame that was received.
    pub fn received(&self, payload: usize, is_message: bool) {
        self.received.count(payload, is_message);
        metrics::record_link_frame("received", payload, is_message);
    }

    /// Counts an established connection.
    pub fn opened(&self) {
        self.opened.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an incoming connection that failed the handshake.
    pub fn rejected(&self) {
        self.rejected.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the current counts.
    pub fn counts(&self) -> LinkCounts {
        LinkCounts {
            bytes_sent: self.sent.bytes.load(Ordering::Relaxed),
            bytes_received: self.received.bytes.load(Ordering::Relaxed),
            frames_sent: self.sent.frames.load(Ordering::Relaxed),
            frames_received: self.received.frames.load(Ordering::Relaxed),
            messages_sent: self.sent.messages.load(Ordering::Relaxed),
            messages_received: self.received.messages.load(Ordering::Relaxed),
            opened: self.opened.load(Ordering::Relaxed),
            turned_away: self.rejected.load(Ordering::Relaxed),
        }
    }
}

impl Direction {
    /// Counts a frame with a payload of the given bytes.
    fn count(&self, payload: usize, is_message: bool) {
        let header = if payload <= MAX_SHORT_PAYLOAD { 2 } else { 4 };
        let bytes = u64::try_from(payload + header + MASK_BYTES).unwrap_or_default();
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.frames.fetch_add(1, Ordering::Relaxed);
        if is_message {
            self.messages.fetch_add(1, Ordering::Relaxed);
        }
    }
}

//! Wire format of messages about the versions of streams.

use std::time::Duration;

use jaypin_router::{
    StreamAnswer, StreamKey, StreamMessage, StreamOrigin, StreamQuery, VersionsSeen,
};
use serde::{Deserialize, Serialize};

use super::{WireError, encode, milliseconds};

/// Account and attempt.
type WireStream = (u64, u64);

/// A message. It is encoded as a map, which distinguishes it from other datagrams.
#[derive(Debug, Serialize, Deserialize)]
pub enum WireStreamMessage {
    /// Stream, version, lifetime in milliseconds.
    #[serde(rename = "b")]
    Began(WireStream, u64, u64),
    /// Request, stream, service, window in milliseconds.
    #[serde(rename = "q")]
    Query(u64, WireStream, u32, u64),
    /// Request, stream, version, versions seen.
    #[serde(rename = "a")]
    Answer(u64, WireStream, Option<u64>, WireSeen),
}

/// Versions that a host has seen.
#[derive(Debug, Serialize, Deserialize)]
pub enum WireSeen {
    #[serde(rename = "n")]
    None,
    /// Version, whether all entries were known.
    #[serde(rename = "o")]
    One(u64, bool),
    #[serde(rename = "s")]
    Several,
}

/// Encodes a message about the version of a stream.
///
/// # Errors
/// Fails if the CBOR library does.
pub fn encode_stream_message(message: &StreamMessage) -> Result<Vec<u8>, WireError> {
    encode(&WireStreamMessage::from(message))
}

impl From<&StreamMessage> for WireStreamMessage {
    fn from(message: &StreamMessage) -> Self {
        match message {
            StreamMessage::Began(it) => Self::Began(
                wire_stream(it.stream),
                it.version,
                milliseconds(it.lifetime),
            ),
            StreamMessage::Query(it) => {
                let window = milliseconds(it.window);
                Self::Query(it.number, wire_stream(it.stream), it.service, window)
            }
            StreamMessage::Answer(it) => {
                let seen = wire_seen(it.seen);
                Self::Answer(it.number, wire_stream(it.stream), it.version, seen)
            }
        }
    }
}

impl From<WireStreamMessage> for StreamMessage {
    fn from(wire: WireStreamMessage) -> Self {
        match wire {
            WireStreamMessage::Began(stream, version, lifetime) => Self::Began(StreamOrigin {
                stream: read_stream(stream),
                version,
                lifetime: Duration::from_millis(lifetime),
            }),
            WireStreamMessage::Query(number, stream, service, window) => Self::Query(StreamQuery {
                number,
                stream: read_stream(stream),
                service,
                window: Duration::from_millis(window),
            }),
            WireStreamMessage::Answer(number, stream, version, seen) => {
                Self::Answer(StreamAnswer {
                    number,
                    stream: read_stream(stream),
                    version,
                    seen: read_seen(&seen),
                })
            }
        }
    }
}

fn wire_stream(stream: StreamKey) -> WireStream {
    (stream.account, stream.attempt)
}

fn read_stream((account, attempt): WireStream) -> StreamKey {
    StreamKey { account, attempt }
}

fn wire_seen(seen: VersionsSeen) -> WireSeen {
    match seen {
        VersionsSeen::None => WireSeen::None,
        VersionsSeen::One {
            version,
            is_complete,
        } => WireSeen::One(version, is_complete),
        VersionsSeen::Several => WireSeen::Several,
    }
}

fn read_seen(seen: &WireSeen) -> VersionsSeen {
    match *seen {
        WireSeen::None => VersionsSeen::None,
        WireSeen::One(version, is_complete) => VersionsSeen::One {
            version,
            is_complete,
        },
        WireSeen::Several => VersionsSeen::Several,
    }
}

//! Errors of links.

use std::io;

use jaypin_core::HostId;
use jaypin_wire::{CodecError, LINK_VERSION};
use snafu::Snafu;
use tokio_tungstenite::tungstenite;

/// Why a connection could not be established, or why it ended.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// Nothing listens at the address, so the peer's process has exited.
    #[snafu(display("connection refused"))]
    Refused,
    /// The TCP or WebSocket connection failed.
    #[snafu(display("{message}"))]
    Transport {
        /// Error of the transport.
        message: String,
    },
    /// The handshake did not complete in time.
    #[snafu(display("the handshake did not complete in time"))]
    Timeout,
    /// The peer sent no frame, or accepted none, within the timeout.
    #[snafu(display("the peer sent or accepted no frame within the timeout"))]
    Unresponsive,
    /// The other end closed the connection.
    #[snafu(display("the other end closed the connection"))]
    Closed,
    /// A frame was not of the kind that is expected at this point.
    #[snafu(display("the other end sent a frame of an unexpected kind"))]
    UnexpectedFrame,
    /// A frame could not be encoded or decoded.
    #[snafu(display("{source}"), context(false))]
    Codec {
        /// Error of the codec.
        source: CodecError,
    },
    /// The other end uses another version of the link protocol.
    #[snafu(display("expected link version {LINK_VERSION}, found {version}"))]
    Version {
        /// Version of the other end.
        version: u16,
    },
    /// The other end did not prove possession of the fleet key.
    #[snafu(display("the other end did not prove possession of the fleet key"))]
    NotAuthenticated,
    /// Another host runs at the peer's address.
    #[snafu(display("host {host} runs at the peer's address"))]
    AnotherHost {
        /// Host that runs there.
        host: HostId,
    },
    /// The host list has no valid link address of the peer.
    #[snafu(display("the host list has no link address of the peer"))]
    NoAddress,
}

impl LinkError {
    /// Returns whether the error shows that the peer's process exited, rather than that the peer
    /// is unresponsive.
    pub fn shows_peer_exited(&self) -> bool {
        matches!(self, Self::Refused | Self::AnotherHost { .. })
    }
}

impl From<io::Error> for LinkError {
    fn from(error: io::Error) -> Self {
        if error.kind() == io::ErrorKind::ConnectionRefused {
            Self::Refused
        } else {
            Self::Transport {
                message: error.to_string(),
            }
        }
    }
}

impl From<tungstenite::Error> for LinkError {
    fn from(error: tungstenite::Error) -> Self {
        match error {
            tungstenite::Error::ConnectionClosed | tungstenite::Error::AlreadyClosed => {
                Self::Closed
            }
            tungstenite::Error::Io(error) => error.into(),
            other => Self::Transport {
                message: other.to_string(),
            },
        }
    }
}

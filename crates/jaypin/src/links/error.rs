//! Why a link could not be made, or ended.

use std::io;

use jaypin_core::HostId;
use jaypin_wire::{CodecError, LINK_VERSION};
use snafu::Snafu;
use tokio_tungstenite::tungstenite;

/// Why a link could not be made, or ended.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// Nothing listens there: the peer's process is gone.
    #[snafu(display("connection refused"))]
    Refused,
    /// The connection failed below the link's own frames.
    #[snafu(display("{message}"))]
    Transport {
        /// What the transport says.
        message: String,
    },
    /// The handshake took too long.
    #[snafu(display("no handshake in time"))]
    Timeout,
    /// No byte came for too long.
    #[snafu(display("silent"))]
    Silent,
    /// The other end closed the connection.
    #[snafu(display("closed"))]
    Closed,
    /// A frame was not one that belongs there.
    #[snafu(display("an unexpected frame"))]
    UnexpectedFrame,
    /// A frame could not be read.
    #[snafu(display("{source}"), context(false))]
    Codec {
        /// What the codec says.
        source: CodecError,
    },
    /// The other end speaks another version.
    #[snafu(display("link version {version} is not {LINK_VERSION}"))]
    Version {
        /// Its version.
        version: u16,
    },
    /// The other end did not prove that it holds the fleet key.
    #[snafu(display("the other end does not hold the fleet key"))]
    Stranger,
    /// Another host answered at the peer's address.
    #[snafu(display("met {host} instead"))]
    AnotherHost {
        /// Who answered.
        host: HostId,
    },
    /// The peer has no address in the host list.
    #[snafu(display("not in the host list"))]
    NoAddress,
}

impl LinkError {
    /// Whether the error shows that the peer's process is gone, and not just unheard.
    pub fn is_refusal(&self) -> bool {
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

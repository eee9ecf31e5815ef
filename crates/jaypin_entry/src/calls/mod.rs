//! HTTP calls to backend servers, the store and peers.

mod buffered_response;
mod connection_pool;
mod event_id;
mod skipped_body;

pub use buffered_response::{BufferedResponse, MAX_RESPONSE_BYTES, read_response};

pub use connection_pool::{
    CallError, Connection, ConnectionPool, DEFAULT_TIMEOUTS, Reuse, connect,
};
pub use event_id::event_id;
pub use skipped_body::skip_body;

use std::time::Duration;

use jaypin_core::{BackendId, HostId};
use jaypin_router::{DecisionInputs, Repeat, Requester, SoftwareVersion};
use tokio::time::Instant;

/// What a request is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Recipient {
    /// A backend server.
    Backend(BackendId),
    /// A peer, which sends it to a backend server.
    Peer(HostId),
}

impl Recipient {
    /// Returns the name of the recipient, for logs.
    pub fn name(&self) -> &str {
        match self {
            Self::Backend(id) => id,
            Self::Peer(host) => host,
        }
    }
}

/// Where and how a request is sent.
#[derive(Debug, Clone)]
pub struct SendOrder {
    /// The selected recipient.
    pub recipient: Recipient,
    /// Address of the recipient.
    pub address: String,
    /// Version of the software of a backend server; `None` for a peer.
    pub version: Option<SoftwareVersion>,
    /// Client account and rank of the request; the account is sent to the backend server.
    pub requester: Requester,
    /// Whether the request may run again, and whether its response is a stream.
    pub repeat: Repeat,
    /// Time after which a call without a first event is silent; `None` if it never is.
    pub first_event_timeout: Option<Duration>,
    /// Time between two events after which a stream is silent; `None` if it never is.
    pub stall_timeout: Option<Duration>,
    /// Time at which the whole response is due.
    pub deadline: Instant,
    /// Inputs of the decision, for the request's log line.
    pub inputs: DecisionInputs,
}

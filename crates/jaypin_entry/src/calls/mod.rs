//! Calls to backend servers.

mod buffered_response;
mod connection_pool;
mod event_id;

pub use buffered_response::{BufferedResponse, read_response};

pub use connection_pool::{CallError, Connection, ConnectionPool, DEFAULT_TIMEOUTS, connect};
pub use event_id::event_id;

use std::time::Duration;

use jaypin_core::BackendId;
use jaypin_router::{DecisionInputs, Repeat, Requester};
use tokio::time::Instant;

/// Where and how a request is sent.
#[derive(Debug, Clone)]
pub struct SendOrder {
    /// The backend server.
    pub backend: BackendId,
    /// Its address.
    pub address: String,
    /// Who asks; the account is named to it.
    pub asked_by: Requester,
    /// Whether it may run again, and whether its answer is a stream.
    pub repeat: Repeat,
    /// Time after which a call without a first event is given up.
    pub first_event_timeout: Option<Duration>,
    /// Pause between two events after which a stream is given up.
    pub event_gap_timeout: Option<Duration>,
    /// When the whole answer is due.
    pub deadline: Instant,
    /// What the choice rests on.
    pub inputs: DecisionInputs,
}

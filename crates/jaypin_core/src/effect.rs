//! The outputs of the reducer.

use std::sync::Arc;

use crate::{BackendId, GrantNumber, HostId, Message, Record, Refusal, RequestId, StoredAnswer};

/// An action that the reducer requests and an adapter performs.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a request to a backend server. Each request is dispatched at most once unless
    /// the connection failed before a byte of it was sent.
    Dispatch {
        /// The request.
        id: RequestId,
        /// The backend server.
        backend: BackendId,
        /// Its HTTP address.
        address: String,
        /// Number of the grant, as the fencing number for backend servers that check it;
        /// none without a grant.
        fence: Option<GrantNumber>,
    },
    /// Send a refusal to the caller.
    Refuse {
        /// The request.
        id: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
    /// Send the caller the stored response of the earlier call with the same idempotency
    /// key.
    Replay {
        /// The request.
        id: RequestId,
        /// The stored response.
        answer: StoredAnswer,
    },
    /// Stop a running call at the backend server.
    Cancel(RequestId),
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// Request a load report from a backend server.
    PollLoad {
        /// The backend server.
        backend: BackendId,
        /// Its HTTP address.
        address: String,
    },
    /// Keep links to these peers open, also while there are no messages to send.
    KeepLinks(Vec<HostId>),
    /// Start or stop watching the platform for changes.
    WatchPlatform(bool),
    /// Parse a rule file that a peer sent.
    ParseRules {
        /// Its version.
        version: u64,
        /// The file.
        text: Arc<str>,
    },
    /// Record a step of a decision.
    Record(Record),
    /// The shutdown is complete; the process may exit.
    Exit,
}

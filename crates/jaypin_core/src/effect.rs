//! Everything a host does, as data.

use std::sync::Arc;

use crate::{BackendId, GrantNumber, HostId, Message, Record, Refusal, RequestId, StoredAnswer};

/// Something to be done by an adapter.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send the request to a backend server, once.
    Dispatch {
        /// The request.
        id: RequestId,
        /// The backend server.
        backend: BackendId,
        /// Its HTTP address.
        address: String,
        /// Number of the grant, for backend servers that check fencing numbers.
        fence: Option<GrantNumber>,
    },
    /// Answer the caller with a refusal.
    Refuse {
        /// The request.
        id: RequestId,
        /// The answer.
        refusal: Refusal,
    },
    /// Answer the caller with the answer that its key's call got before.
    Replay {
        /// The request.
        id: RequestId,
        /// The answer.
        answer: StoredAnswer,
    },
    /// Stop a running call at the backend server.
    Cancel(RequestId),
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: HostId,
        /// What to say.
        message: Message,
    },
    /// Ask a backend server for its load.
    PollLoad {
        /// The backend server.
        backend: BackendId,
        /// Its HTTP address.
        address: String,
    },
    /// Keep links to these peers, whether or not there is something to say.
    KeepLinks(Vec<HostId>),
    /// Watch the platform, or leave that to others.
    WatchPlatform(bool),
    /// Read a rule file that a peer sent.
    ParseRules {
        /// Its version.
        version: u64,
        /// The file.
        text: Arc<str>,
    },
    /// Write a step of a decision down.
    Record(Record),
    /// Nothing is left to do; the process may end.
    Exit,
}

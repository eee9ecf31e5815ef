//! The inputs of the reducer.

use std::sync::Arc;
use std::time::Duration;

use jaypin_rules::RuleSet;

use crate::{
    BackendId, HostId, HostList, Incarnation, Message, RequestId, RequestInfo, StoredAnswer,
};

/// An input of the reducer.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller's request was read and its caller authenticated.
    Arrived(RequestInfo),
    /// The caller closed its connection.
    CallerDisconnected(RequestId),
    /// A dispatched call made progress.
    Call {
        /// The request.
        id: RequestId,
        /// The step that it reached.
        progress: CallProgress,
    },
    /// The response to a call with an idempotency key was received. This event comes
    /// before the response is sent to the caller.
    KeyedCallAnswered {
        /// The request.
        id: RequestId,
        /// The response, if it is small enough to be stored.
        answer: Option<StoredAnswer>,
    },
    /// A backend server reported its load; the figures may be outdated.
    Load(LoadReport),
    /// A peer sent a message.
    Link {
        /// The peer, authenticated by its link.
        from: HostId,
        /// The message.
        message: Message,
    },
    /// A peer's link was lost and a new connection is refused, so its process has exited.
    PeerExited(HostId),
    /// Nothing is received from a peer, neither on the existing link nor on a new one.
    PeerUnresponsive(HostId),
    /// A link to a peer was established and both ends authenticated.
    PeerConnected {
        /// The peer.
        host: HostId,
        /// Incarnation of its process.
        incarnation: Incarnation,
    },
    /// The platform's host list was read.
    Hosts(HostList),
    /// A version of the rules was parsed.
    Rules {
        /// The version.
        version: u64,
        /// The rules.
        rules: Arc<RuleSet>,
    },
    /// The text of a version of the rules was read; it is kept for peers that fetch it.
    RuleText {
        /// The version.
        version: u64,
        /// The file as its author wrote it.
        text: Arc<str>,
    },
    /// The host is asked to shut down: it finishes its requests and accepts no new ones.
    Drain,
    /// Time passed; sent at a fixed interval.
    Tick,
}

/// A step of a dispatched call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallProgress {
    /// The connection failed before a byte of the request was sent.
    NotSent,
    /// The first bytes of the request were sent.
    Sent,
    /// The first token of a stream, or the header of a plain response, was received.
    FirstToken,
    /// The call ended.
    Finished {
        /// Number of received tokens.
        tokens: u32,
        /// How it ended.
        outcome: CallOutcome,
    },
}

/// How a dispatched call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete response was forwarded to the caller.
    Complete,
    /// The connection was closed early, or no more data was received until the timeout.
    Lost,
    /// The backend server crashed during the call.
    Died,
    /// The backend server responded with an error.
    Failed,
    /// The caller disconnected.
    Cancelled,
}

/// The load that a backend server reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// The backend server.
    pub backend: BackendId,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests in its own queue.
    pub waiting: u32,
    /// Whether it reports that it is shutting down.
    pub leaving: bool,
    /// Age of the figures, as reported by the backend server.
    pub age: Duration,
}

//! Everything that can happen to a host, as data.

use std::sync::Arc;
use std::time::Duration;

use jaypin_rules::RuleSet;

use crate::{
    BackendId, HostId, HostList, Incarnation, Message, RequestId, RequestInfo, StoredAnswer,
};

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller's request was read and its caller is known.
    Arrived(RequestInfo),
    /// The caller closed its connection.
    CallerDisconnected(RequestId),
    /// A dispatched call went on.
    Call {
        /// The request.
        id: RequestId,
        /// How far it is.
        progress: CallProgress,
    },
    /// A call that may not be repeated was answered; told before its caller is.
    KeyedCallAnswered {
        /// The request.
        id: RequestId,
        /// The answer, if it is small enough to be kept.
        answer: Option<StoredAnswer>,
    },
    /// A backend server reported its load, with a lag.
    Load(LoadReport),
    /// A peer sent a message.
    Link {
        /// The peer, authenticated by its link.
        from: HostId,
        /// What it said.
        message: Message,
    },
    /// A peer's link was lost and a new one is refused: its process is gone.
    PeerExited(HostId),
    /// Nothing is heard of a peer, on an old link or a new one.
    PeerUnresponsive(HostId),
    /// A link to a peer was made; both ends proved themselves.
    PeerConnected {
        /// The peer.
        host: HostId,
        /// The run of its process.
        incarnation: Incarnation,
    },
    /// The platform's host list was read.
    Hosts(HostList),
    /// A version of the rules was read.
    Rules {
        /// The version.
        version: u64,
        /// The rules.
        rules: Arc<RuleSet>,
    },
    /// The text of a version of the rules, kept for peers.
    RuleText {
        /// The version.
        version: u64,
        /// The file as its author wrote it.
        text: Arc<str>,
    },
    /// The host shall finish what it has and leave.
    Drain,
    /// Time went on.
    Tick,
}

/// How far a dispatched call is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallProgress {
    /// The connection failed before a byte of the request was sent.
    NotSent,
    /// The first bytes left.
    Sent,
    /// The first token, or the head of a plain answer, came.
    FirstToken,
    /// It ended.
    Finished {
        /// Tokens that came.
        tokens: u32,
        /// How it ended.
        outcome: CallOutcome,
    },
}

/// How a dispatched call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole answer was passed on.
    Complete,
    /// The connection broke off or went silent for good.
    ConnectionLost,
    /// The backend server went down under it.
    BackendCrashed,
    /// The backend server answered with an error.
    Failed,
    /// The caller left.
    Cancelled,
}

/// What a backend server says of its load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// The backend server.
    pub backend: BackendId,
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside it.
    pub waiting: u32,
    /// Whether it says of itself that it is leaving.
    pub leaving: bool,
    /// How old the figures are, as far as it says.
    pub age: Duration,
}

//! A request on its owner (the host that accepted it), from arrival to outcome.
//!
//! Each state is a type: only [`Request<Granted>`] can be dispatched, and dispatching
//! consumes it, so no code path can send a request twice.

use std::time::{Duration, Instant};

use jaypin_rules::{Repeat, ServiceKind};

use crate::claims::HeldClaim;
use crate::{AccountId, BackendId, GrantNumber, HostId, RequestId, ServiceId, Shard};

/// The properties of a request that decisions depend on; the frontend keeps its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestInfo {
    /// Id of the request, unique in the fleet.
    pub id: RequestId,
    /// The client account that the caller's credential belongs to.
    pub account: AccountId,
    /// The requested service.
    pub service: ServiceId,
    /// The protocol that the service's backend servers speak.
    pub kind: ServiceKind,
    /// Rank of its tier.
    pub tier: u8,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u32,
    /// Fingerprints of the prompt's prefixes, shortest first, salted by account.
    pub prefixes: Vec<u64>,
    /// Fingerprint of the whole content, salted by account.
    pub fingerprint: u64,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// The idempotency key that the caller sent, if any.
    pub key: Option<String>,
    /// Time from arrival until the first token is due.
    pub first_token_due_in: Duration,
    /// Time from arrival until the complete response is due.
    pub response_due_in: Duration,
    /// Lines of the rules that applied when the request was read.
    pub rule_lines: Vec<u32>,
}

impl RequestInfo {
    /// Subtracts elapsed time from the time left until each deadline, down to zero.
    pub fn subtract_elapsed(&mut self, time: Duration) {
        self.first_token_due_in = self.first_token_due_in.saturating_sub(time);
        self.response_due_in = self.response_due_in.saturating_sub(time);
    }
}

/// State of a request that waits for the claim on its idempotency key.
#[derive(Debug)]
pub struct Claiming {
    /// The requested claim.
    pub claim: HeldClaim,
    /// When the claim was last requested.
    pub requested_at: Instant,
}

/// State of a request that waits for a grant from a shard scheduler.
#[derive(Debug)]
pub struct Waiting {
    /// The shard whose scheduler was asked for a slot.
    pub shard: Shard,
    /// The host that leads the shard, according to this host's membership table.
    pub leader: HostId,
    /// Number of the slot request, from 1; replies to earlier ones are stale.
    pub attempt: u32,
    /// When the slot was requested.
    pub requested_at: Instant,
    /// Whether the shard scheduler reported that the request is queued.
    pub queued: bool,
    /// Whether an earlier slot was lost because its backend server refused the connection.
    pub connection_refused: bool,
    /// Shards that refused the request because they had no capacity.
    pub refused_by: Vec<Shard>,
}

/// State of a request that has a slot and was not sent yet.
#[derive(Debug)]
pub struct Granted {
    slot: Slot,
    attempt: u32,
}

/// State of a request that was dispatched to its backend server.
#[derive(Debug)]
pub struct Dispatched {
    /// The slot it uses.
    pub slot: Slot,
    /// Number of the slot request that obtained the slot; 0 when the owner chose the slot
    /// itself.
    pub attempt: u32,
    /// When it was dispatched.
    pub sent_at: Instant,
    /// When the first token arrived; `None` before.
    pub first_token_at: Option<Instant>,
    /// Whether any byte of it was sent to the backend server.
    pub sent: bool,
}

/// The right to run one request on a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slot {
    /// The backend server.
    pub backend: BackendId,
    /// The shard, its leader and the number of the grant behind the slot; `None` when the
    /// owner chose the backend server itself.
    pub grant: Option<(Shard, HostId, GrantNumber)>,
}

/// A request in the state `S` of its life cycle.
#[derive(Debug)]
pub struct Request<S> {
    /// The properties that were read on arrival.
    pub info: RequestInfo,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// The data of the current state.
    pub state: S,
}

impl Request<Waiting> {
    /// Assigns the granted slot.
    pub fn grant(self, slot: Slot) -> Request<Granted> {
        let attempt = self.state.attempt;
        Request {
            info: self.info,
            arrived_at: self.arrived_at,
            state: Granted { slot, attempt },
        }
    }
}

impl Request<Granted> {
    /// Creates a request for which the owner chose the backend server itself, without a
    /// grant.
    pub fn placed_by_owner(info: RequestInfo, arrived_at: Instant, slot: Slot) -> Self {
        Self {
            info,
            arrived_at,
            state: Granted { slot, attempt: 0 },
        }
    }

    /// Marks the request as dispatched; consuming it keeps it from being dispatched twice.
    pub fn dispatch(self, at: Instant) -> Request<Dispatched> {
        let state = Dispatched {
            slot: self.state.slot,
            attempt: self.state.attempt,
            sent_at: at,
            first_token_at: None,
            sent: false,
        };
        Request {
            info: self.info,
            arrived_at: self.arrived_at,
            state,
        }
    }
}

impl Request<Dispatched> {
    /// Returns the request to the waiting state when no byte of it was sent, so that a slot
    /// can be requested again at `ask_at`.
    ///
    /// # Errors
    /// Returns the request unchanged when a byte may have been sent or when it runs without
    /// a grant.
    pub fn requeue(self, ask_at: Instant) -> Result<Request<Waiting>, Box<Self>> {
        let grant = self.state.slot.grant.clone();
        let Some((shard, leader, _)) = grant.filter(|_| !self.state.sent) else {
            return Err(Box::new(self));
        };
        let state = Waiting {
            shard,
            leader,
            attempt: self.state.attempt,
            requested_at: ask_at,
            queued: false,
            refused_by: Vec::new(),
            connection_refused: true,
        };
        Ok(Request {
            info: self.info,
            arrived_at: self.arrived_at,
            state,
        })
    }
}

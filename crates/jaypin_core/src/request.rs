//! A request on its owner, from arrival to outcome.
//!
//! The states are types: only [`Request<Granted>`] can be dispatched, and dispatching
//! consumes it, so no path can send a request twice.

use std::time::{Duration, Instant};

use jaypin_rules::{Repeat, ServiceKind};

use crate::claims::HeldClaim;
use crate::{AccountId, BackendId, GrantNumber, HostId, RequestId, ServiceId, Shard};

/// What the decisions know of a request; its body stays with the frontend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestInfo {
    /// Id, unique in the fleet.
    pub id: RequestId,
    /// The account its credential belongs to.
    pub account: AccountId,
    /// The service it asks for.
    pub service: ServiceId,
    /// What that service's backend servers speak.
    pub kind: ServiceKind,
    /// Rank of its tier.
    pub tier: u8,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens that the answer may have.
    pub max_tokens: u32,
    /// Fingerprints of the prompt's prefixes, shortest first, salted by account.
    pub prefixes: Vec<u64>,
    /// Fingerprint of the whole content, salted by account.
    pub fingerprint: u64,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// Time from arrival within which the first token is due.
    pub first_token_due_in: Duration,
    /// Time from arrival within which the whole answer is due.
    pub response_due_in: Duration,
    /// Lines of the rules that applied when it was read.
    pub rule_lines: Vec<u32>,
}

impl RequestInfo {
    /// Takes time that went by off the deadlines.
    pub fn subtract_elapsed(&mut self, time: Duration) {
        self.first_token_due_in = self.first_token_due_in.saturating_sub(time);
        self.response_due_in = self.response_due_in.saturating_sub(time);
    }
}

/// State: waiting for the claim on its idempotency key.
#[derive(Debug)]
pub struct Claiming {
    /// The claim asked for.
    pub claim: HeldClaim,
    /// When it was last asked for.
    pub requested_at: Instant,
}

/// State: waiting for a shard scheduler's grant.
#[derive(Debug)]
pub struct Waiting {
    /// The shard asked.
    pub shard: Shard,
    /// The host that leads it, as this host sees it.
    pub leader: HostId,
    /// Number of the ask; answers to earlier asks are stale.
    pub attempt: u32,
    /// When it was asked.
    pub requested_at: Instant,
    /// Whether the shard scheduler said that the request is queued.
    pub queued: bool,
    /// Whether a backend server refused the connection before.
    pub connection_refused: bool,
    /// Shards that refused it for want of capacity.
    pub refused_by: Vec<Shard>,
}

/// State: a slot was granted; nothing was sent yet.
#[derive(Debug)]
pub struct Granted {
    slot: Slot,
    attempt: u32,
}

/// State: handed to the backend server.
#[derive(Debug)]
pub struct Dispatched {
    /// Where it runs.
    pub slot: Slot,
    /// Number of the ask that got the slot.
    pub attempt: u32,
    /// When it was handed over.
    pub sent_at: Instant,
    /// When the first token came.
    pub first_token_at: Option<Instant>,
    /// Whether a byte of it left this host.
    pub sent: bool,
}

/// A place on a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slot {
    /// The backend server.
    pub backend: BackendId,
    /// The grant it rests on; none when the owner chose by itself.
    pub grant: Option<(Shard, HostId, GrantNumber)>,
}

/// A request in one state of its life.
#[derive(Debug)]
pub struct Request<S> {
    /// What is known of it.
    pub info: RequestInfo,
    /// When it arrived.
    pub arrived_at: Instant,
    /// The state.
    pub state: S,
}

impl Request<Waiting> {
    /// Takes the slot that was granted.
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
    /// Starts a request whose owner chose the backend server itself.
    pub fn placed_by_owner(info: RequestInfo, arrived_at: Instant, slot: Slot) -> Self {
        Self {
            info,
            arrived_at,
            state: Granted { slot, attempt: 0 },
        }
    }

    /// Hands the request over; it can't be handed over again.
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
    /// Takes a request back of which no byte left, to ask for another slot at `ask_at`.
    ///
    /// # Errors
    /// Gives the request as it is when a byte may have left, or no grant was needed.
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

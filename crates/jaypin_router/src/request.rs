//! A request on its way through a host.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{AccountId, BackendId, ServiceId};

use crate::{BootTime, Rank, RequestNumber, Route};

/// What the decisions are told of a request that was read whole.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Number in this run.
    pub number: RequestNumber,
    /// Host name that the caller asks for.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// The caller's credential.
    pub credential: Option<String>,
    /// Tokens of the prompt and most tokens of the answer, as the caller declares them.
    pub tokens: Option<(u32, u32)>,
    /// Tokens of the answer, as the caller expects them.
    pub expected_answer: Option<u32>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Fingerprint of path, caller and body.
    pub fingerprint: u64,
    /// When its header was read.
    pub received_at: Instant,
    /// Now, on the clock that counts suspended time.
    pub boot_time: BootTime,
}

/// How one call to a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer was passed on.
    Complete,
    /// No connection could be made; no byte of the request left.
    Unreached,
    /// Nothing was sent, since the backend server had said meanwhile that it wants nothing.
    Withheld,
    /// It answered that it did not run the request.
    NotRun,
    /// It answered that another backend server has its address; nothing was run.
    Replaced,
    /// It answered with a failure of its own.
    Failed,
    /// The connection broke or the answer made no sense; it may have run.
    Lost,
    /// The connection broke and nothing listens there any more.
    Died,
    /// No answer came for too long; the call was given up.
    Silent,
    /// The caller left.
    Abandoned,
    /// The time for the answer ran out.
    TimedOut,
}

impl AttemptOutcome {
    /// Whether the backend server surely did not run the request.
    #[must_use]
    pub fn is_definitely_not_run(self) -> bool {
        matches!(
            self,
            Self::Unreached | Self::Withheld | Self::NotRun | Self::Replaced
        )
    }

    /// Whether nothing is left to be decided.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Complete | Self::Abandoned)
    }

    /// The outcome in one word.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Unreached => "unreached",
            Self::Withheld => "withheld",
            Self::NotRun => "not-run",
            Self::Replaced => "replaced",
            Self::Failed => "failed",
            Self::Lost => "lost",
            Self::Died => "died",
            Self::Silent => "silent",
            Self::Abandoned => "abandoned",
            Self::TimedOut => "timed-out",
        }
    }
}

/// What is known of an admitted request, whatever its state.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// Number in this run.
    pub number: RequestNumber,
    /// Its route.
    pub route: Arc<Route>,
    /// The service chosen among the route's targets.
    pub service: ServiceId,
    /// Its client account.
    pub account: Option<AccountId>,
    /// How urgent it is.
    pub rank: Rank,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub answer_tokens: u32,
    /// Events that its answer is expected to have, where it is a stream of an engine.
    pub expected_events: Option<f64>,
    /// Time that it holds a slot, relative to what is usual; 1 is usual.
    pub size: f64,
    /// Quota units that it takes.
    pub units: f64,
    /// Fingerprint of path, caller and body.
    pub fingerprint: u64,
    /// When it arrived.
    pub arrived_at: Instant,
    /// When the whole answer is due.
    pub deadline: Instant,
    /// Backend servers that it was sent to, also where it surely did not run.
    pub attempted: Vec<BackendId>,
    /// Backend servers on which it may have run.
    pub possible_runs: u32,
    /// Whether part of its answer was passed on.
    pub is_started: bool,
}

impl Admitted {
    /// Who asks, and how urgently.
    #[must_use]
    pub fn requester(&self) -> Requester {
        Requester {
            account: self.account.clone(),
            rank: self.rank,
        }
    }
}

/// Who asks, and how urgently; for logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Requester {
    /// The client account.
    pub account: Option<AccountId>,
    /// The rank.
    pub rank: Rank,
}

/// State: waiting for a place.
#[derive(Debug)]
pub struct Waiting {
    /// When waiting ends with a refusal.
    pub until: Instant,
}

/// State: sent to a backend server.
#[derive(Debug)]
pub struct Sent {
    /// The backend server.
    pub backend: BackendId,
    /// When it was sent.
    pub at: Instant,
    /// Prompt tokens that the backend server had to read before this one's.
    pub tokens_ahead: u32,
    /// Whether a slot was free, by what was known.
    pub had_slot: bool,
    /// When its first event or answer came.
    pub first_event_at: Option<Instant>,
}

/// A request in one state of its life; sending consumes the waiting one.
#[derive(Debug)]
pub struct Request<S> {
    /// What is known of it.
    pub admitted: Admitted,
    /// The state.
    pub state: S,
}

impl Request<Waiting> {
    /// Sends the request; it can't be sent again from this state.
    pub fn send(mut self, state: Sent) -> Request<Sent> {
        self.admitted.attempted.push(state.backend.clone());
        Request {
            admitted: self.admitted,
            state,
        }
    }
}

impl Request<Sent> {
    /// Takes the request back after a call that did not succeed.
    pub fn requeue(self, until: Instant) -> Request<Waiting> {
        Request {
            admitted: self.admitted,
            state: Waiting { until },
        }
    }
}

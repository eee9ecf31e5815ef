//! A request and its states in a host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{AccountId, BackendId, HostId, ServiceId};

use crate::limits::resumption_window;
use crate::{
    AttemptKey, BackendRun, BootTime, HeldPrefix, PromptChain, PromptSegment, Rank, Repeat,
    RequestNumber, Route, StreamKey, StreamOrigin, StreamQuery, VersionKey, VersionsSeen,
};

/// Time of writing after which the parts of a prompt are known to be sound.
const WRITTEN_TIME: Duration = Duration::from_millis(500);
/// Longest time before an event in which its backend server may have written it. A longer one is a
/// pause.
const MAX_EVENT_TIME: Duration = Duration::from_millis(100);

/// A request that was read whole, as input for decisions.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Number of the request in this run.
    pub number: RequestNumber,
    /// Key of the caller's attempt.
    pub attempt: AttemptKey,
    /// What the attempt resumes, if it resumes a stream.
    pub resumes: Option<ResumedStream>,
    /// Host name that the caller requests.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// The caller's credential.
    pub credential: Option<String>,
    /// Tokens of the prompt and greatest number of tokens of the answer, as the caller declares
    /// them.
    pub tokens: Option<(u32, u32)>,
    /// Tokens of the answer that the caller expects.
    pub expected_answer: Option<u32>,
    /// Time for which the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// Fingerprint of path, caller and body.
    pub fingerprint: u64,
    /// Fingerprints of the parts of its prompt, without the last one, which is its own.
    pub shared_parts: Vec<u64>,
    /// All segments of its prompt in order; none if it states none that can be read.
    pub segments: Vec<PromptSegment>,
    /// Whether a peer passed it on, which is cut off from the backend servers.
    pub is_passed_on: bool,
    /// Time at which its header was read.
    pub received_at: Instant,
    /// The current time, on the clock that counts suspended time.
    pub boot_time: BootTime,
}

/// A stream whose beginning a caller has received in an earlier attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResumedStream {
    /// Key of the attempt that began it; absent if the caller does not name one.
    pub attempt: Option<AttemptKey>,
}

/// How one call to a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer was passed on to the caller.
    Complete,
    /// An answer was passed on that does not show that the request was run to its end: it ended with
    /// its connection, or states a failure.
    Unverified,
    /// No connection could be made; no byte of the request was sent.
    Unreached,
    /// Nothing was sent, since the backend server had meanwhile stated that it wants no requests.
    Withheld,
    /// The backend server answered that it did not run the request.
    NotRun,
    /// The answer stated that another backend server has the address; nothing was run.
    Replaced,
    /// The answer stated that nothing was run, but can't be matched to the request, which may have run.
    UnprovenRejection,
    /// The backend server answered with a failure of its own.
    Failed,
    /// The connection broke or the answer was malformed; the request may have run.
    Lost,
    /// The connection broke and nothing listens at the address any more.
    Died,
    /// No answer arrived for too long; the call was given up.
    Silent,
    /// The caller disconnected.
    Abandoned,
    /// The time for the answer ran out.
    TimedOut,
}

impl AttemptOutcome {
    /// Returns whether the backend server definitely did not run the request.
    #[must_use]
    pub fn is_definitely_not_run(self) -> bool {
        matches!(
            self,
            Self::Unreached | Self::Withheld | Self::NotRun | Self::Replaced
        )
    }

    /// Returns whether nothing is left to be decided.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Complete | Self::Unverified | Self::Abandoned)
    }

    /// Returns the name of the outcome.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete | Self::Unverified => "complete",
            Self::Unreached => "unreached",
            Self::Withheld => "withheld",
            Self::NotRun => "not-run",
            Self::Replaced => "replaced",
            Self::UnprovenRejection => "unproven-rejection",
            Self::Failed => "failed",
            Self::Lost => "lost",
            Self::Died => "died",
            Self::Silent => "silent",
            Self::Abandoned => "abandoned",
            Self::TimedOut => "timed-out",
        }
    }
}

/// What is known of an admitted request in any state.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// Number of the request in this run.
    pub number: RequestNumber,
    /// Its route.
    pub route: Arc<Route>,
    /// The service chosen among the route's targets.
    pub service: ServiceId,
    /// Its client account.
    pub account: Option<AccountId>,
    /// Its rank.
    pub rank: Rank,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Greatest number of tokens of its answer.
    pub answer_tokens: u32,
    /// Number of events that its answer is expected to have, if it is a stream of an engine.
    pub expected_events: Option<f64>,
    /// Number of its events that this host has received.
    pub received_events: u32,
    /// Time for which it holds a slot, relative to the baseline of 1.
    pub size: f64,
    /// Time for which it holds a slot, relative to the mean of its rank.
    pub size_in_rank: f64,
    /// Quota units that it needs.
    pub units: f64,
    /// Fingerprint of path, caller and body.
    pub fingerprint: u64,
    /// Fingerprints of the parts of its prompt, without the last one, which is its own.
    pub shared_parts: Vec<u64>,
    /// The segments of its prompt, if assumptions about them are used for it.
    pub prompt: PromptChain,
    /// Time at which it arrived.
    pub arrived_at: Instant,
    /// Time at which the whole answer is due.
    pub deadline: Instant,
    /// Backend servers that it was sent to, including those that definitely did not run it.
    pub attempted: Vec<BackendId>,
    /// Number of backend servers that may have run it.
    pub possible_runs: u32,
    /// Number of calls that ended with [`AttemptOutcome::UnprovenRejection`].
    pub unproven_rejections: u32,
    /// Number of calls that it left because nothing arrived on them.
    pub silent_calls: u32,
    /// Backend server of the last of these calls, which may go on.
    pub silent_backend: Option<BackendId>,
    /// Identifies its stream over all attempts of its caller.
    pub stream: StreamKey,
    /// Whether its caller has received the beginning of its stream in an earlier attempt.
    pub is_resumed: bool,
    /// Whether part of its answer was passed on to the caller by this host.
    pub is_started: bool,
    /// Version at which its stream began, in this or an earlier attempt of its caller.
    pub stream_version: Option<VersionKey>,
    /// Whether a peer passed it on to this host.
    pub is_passed_on: bool,
    /// Peers to which this host passed it on, or tried to.
    pub tried_peers: Vec<HostId>,
}

impl Admitted {
    /// Returns whether it may run once more after that many further calls on which it may have run.
    #[must_use]
    pub fn may_run_after(&self, calls: u32) -> bool {
        self.route.repeat.may_run_again() && self.possible_runs + calls < self.route.attempts
    }

    /// Returns whether it may have run, so that it can't be refused as not run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.possible_runs > 0 || self.unproven_rejections > 0
    }

    /// Records a call to a backend server on which it may have run.
    pub fn record_possible_run(&mut self, backend: &BackendId, outcome: AttemptOutcome) {
        self.possible_runs += 1;
        if outcome == AttemptOutcome::Silent {
            self.silent_calls += 1;
            self.silent_backend = Some(backend.clone());
        }
    }

    /// Allows it to return to the backend server of the last call on which nothing arrived.
    pub fn allow_return(&mut self) {
        if let Some(silent) = self.silent_backend.take() {
            self.attempted.retain(|it| *it != silent);
        }
    }

    /// Returns whether it may go on anywhere, since the alternative is to lose it.
    #[must_use]
    pub fn may_be_late(&self) -> bool {
        self.stream_version.is_some() || self.silent_calls > 0
    }

    /// Returns where its stream began, if it has and its caller may resume it.
    #[must_use]
    pub fn stream_origin(&self) -> Option<StreamOrigin> {
        let may_be_resumed = self.route.repeat == Repeat::ResumableStream;
        let version = self.stream_version.filter(|_| may_be_resumed)?;
        Some(StreamOrigin {
            stream: self.stream,
            version,
            lifetime: resumption_window(&self.route),
        })
    }

    /// Returns its account and rank.
    #[must_use]
    pub fn requester(&self) -> Requester {
        Requester {
            account: self.account.clone(),
            rank: self.rank,
        }
    }
}

/// Account and rank of a request, for logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Requester {
    /// The client account; absent if the caller needs none.
    pub account: Option<AccountId>,
    /// The rank.
    pub rank: Rank,
}

/// State of a request that waits for a backend server.
#[derive(Debug)]
pub struct Waiting {
    /// Time at which waiting ends with a refusal.
    pub until: Instant,
}

/// State of a request that resumes a stream whose version other hosts are asked for.
#[derive(Debug)]
pub struct Resuming {
    /// The question.
    pub query: StreamQuery,
    /// Hosts that were asked and have not answered.
    pub silent: Vec<SocketAddr>,
    /// Whether hosts were asked from which this host hears.
    pub has_live_holders: bool,
    /// Whether a host has answered.
    pub has_answer: bool,
    /// Versions of the service that the answers state.
    pub seen: VersionsSeen,
    /// When silent hosts are asked again.
    pub ask_at: Instant,
    /// When the answers have to be there.
    pub until: Instant,
}

/// State of a request that was sent to a backend server.
#[derive(Debug)]
pub struct Sent {
    /// The backend server.
    pub backend: BackendId,
    /// Run of the backend server.
    pub run: BackendRun,
    /// Version of its software when the request was sent.
    pub version: VersionKey,
    /// Time at which it was sent.
    pub at: Instant,
    /// Prompt tokens that the backend server had to read first.
    pub tokens_ahead: u32,
    /// Prefix of its prompt that the backend server was assumed to cache.
    pub held: HeldPrefix,
    /// Whether a slot was free there, as far as this host knew.
    pub had_slot: bool,
    /// Time at which its first event or its answer arrived.
    pub first_event_at: Option<Instant>,
    /// Time for which the backend server wrote events after the first one, without pauses.
    pub written_for: Duration,
}

impl Sent {
    /// Records that events arrived after the first one, over this time.
    pub fn record_writing(&mut self, events: u32, time: Duration) {
        self.written_for += time.min(MAX_EVENT_TIME * events);
    }

    /// Returns whether the backend server wrote for so long that no part of the prompt can have
    /// crashed it: one that crashes does so when it begins to write.
    #[must_use]
    pub fn is_long_written(&self) -> bool {
        self.written_for >= WRITTEN_TIME
    }
}

/// State of a request that was passed on to a peer.
#[derive(Debug)]
pub struct PassedOn;

/// A request in one of its states. Sending it consumes the waiting one.
#[derive(Debug)]
pub struct Request<S> {
    /// What is known of it in any state.
    pub admitted: Admitted,
    /// The state.
    pub state: S,
}

impl Request<Waiting> {
    /// Makes the request wait for the version of its stream.
    pub fn ask(self, state: Resuming) -> Request<Resuming> {
        Request {
            admitted: self.admitted,
            state,
        }
    }

    /// Sends the request; it can't be sent again from this state.
    pub fn send(mut self, state: Sent) -> Request<Sent> {
        self.admitted.attempted.push(state.backend.clone());
        Request {
            admitted: self.admitted,
            state,
        }
    }
}

impl Request<Resuming> {
    /// Makes the request wait for a backend server.
    pub fn place(self, until: Instant) -> Request<Waiting> {
        Request {
            admitted: self.admitted,
            state: Waiting { until },
        }
    }
}

impl Request<Sent> {
    /// Returns the content and the parts of its prompt that may have crashed the backend server if
    /// its answer was cut off.
    pub fn suspects(&self) -> impl Iterator<Item = u64> {
        let parts = self.suspect_parts().iter().copied();
        std::iter::once(self.admitted.fingerprint).chain(parts)
    }

    /// Returns the same of the parts of its prompt.
    #[must_use]
    pub fn suspect_parts(&self) -> &[u64] {
        if self.state.is_long_written() {
            return &[];
        }
        &self.admitted.shared_parts
    }

    /// Makes the request wait again after a call that did not succeed.
    pub fn requeue(self, until: Instant) -> Request<Waiting> {
        Request {
            admitted: self.admitted,
            state: Waiting { until },
        }
    }
}

impl Request<PassedOn> {
    /// Makes the request wait again after it could not be passed on.
    pub fn requeue(self, until: Instant) -> Request<Waiting> {
        Request {
            admitted: self.admitted,
            state: Waiting { until },
        }
    }
}

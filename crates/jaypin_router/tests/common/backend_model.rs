//! How simulated backend servers answer.

use std::time::{Duration, Instant};

use jaypin_core::BackendId;
use jaypin_router::{AttemptOutcome, BackendSignals};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Time after which a call that gets no answer would end, longer than any simulation.
const NEVER: Duration = Duration::from_hours(1);

/// A request that reaches a backend server.
#[derive(Debug, Clone)]
pub struct Call {
    /// Index of the host that sent it.
    pub host: usize,
    /// Fingerprint of the request's content.
    pub content: u64,
    /// Fingerprints of the parts of its prompt that others may share.
    pub parts: Vec<u64>,
    /// The backend server that receives it.
    pub backend: BackendId,
    /// When it was sent.
    pub at: Instant,
}

/// How a backend server answers.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    /// What the answer's header states.
    pub signals: BackendSignals,
    /// Backoff that the backend server requests of the host.
    pub backoff: Option<Duration>,
    /// Time from the request to the answer's header.
    pub header_after: Duration,
    /// Time from the request to the end of the answer.
    pub end_after: Duration,
    /// Whether events arrive all the time from the header to the end.
    pub is_streamed: bool,
    /// How the attempt ends.
    pub outcome: AttemptOutcome,
}

impl Answer {
    /// Returns a complete answer with ordinary timing.
    pub fn good(signals: BackendSignals, rng: &mut ChaCha8Rng) -> Self {
        let first = Duration::from_millis(rng.random_range(25..60));
        Self {
            signals,
            backoff: None,
            header_after: first,
            end_after: first * 6,
            is_streamed: false,
            outcome: AttemptOutcome::Complete,
        }
    }

    /// Returns a call on which nothing arrives until [`Fleet::lose_calls`] ends it.
    pub fn none() -> Self {
        Self {
            signals: BackendSignals::default(),
            backoff: None,
            header_after: NEVER,
            end_after: NEVER,
            is_streamed: false,
            outcome: AttemptOutcome::TimedOut,
        }
    }

    /// Returns a failed connection.
    pub fn unreached(after: Duration) -> Self {
        Self {
            end_after: after,
            outcome: AttemptOutcome::Unreached,
            ..Self::none()
        }
    }

    /// Returns an answer that declines the request and requests backoff.
    pub fn declined(backoff: Duration) -> Self {
        Self {
            signals: BackendSignals::default(),
            backoff: Some(backoff),
            header_after: super::NETWORK_DELAY,
            end_after: super::NETWORK_DELAY,
            is_streamed: false,
            outcome: AttemptOutcome::NotRun,
        }
    }
}

/// Behaviour of the simulated backend servers.
pub trait BackendModel {
    /// Answers a request.
    fn answer(&mut self, call: &Call, rng: &mut ChaCha8Rng) -> Answer;

    /// Returns whether a host can connect to a backend server.
    fn is_reachable(&self, _host: usize, _backend: &BackendId, _at: Instant) -> bool {
        true
    }

    /// Records that an answer's header has reached a host.
    fn header_received(&mut self, host: usize, backend: &BackendId, answer: &Answer, at: Instant);
}

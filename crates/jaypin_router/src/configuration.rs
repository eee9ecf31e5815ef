//! What operators configure, independent of the format in which it is stored.

use std::time::Duration;

use jaypin_core::{AccountId, ServiceId};

/// One version of the whole configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Grows with each change; an older version never replaces a newer one.
    pub version: u64,
    /// Routes of requests to services.
    pub routes: Vec<Route>,
    /// Services that routes point at.
    pub services: Vec<Service>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Accounts that may call; if there are none, callers need no credential.
    pub accounts: Vec<Account>,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// It may be run again.
    Idempotent,
    /// It may run only once.
    Never,
    /// Its answer is a stream that another backend server can continue.
    ResumableStream,
    /// Its answer is a stream that only its first backend server can give.
    Stream,
}

impl Repeat {
    /// Returns whether a second backend server may run it.
    #[must_use]
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether its answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }
}

/// A route: the requests for one host name below one path.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name in logs.
    pub name: String,
    /// Host name that callers request.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: String,
    /// Services, each with its weight.
    pub targets: Vec<Target>,
    /// Whether its requests may run more than once.
    pub repeat: Repeat,
    /// Longest time for the whole answer.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, is worth most; zero stands for the whole
    /// timeout.
    pub latency_target: Duration,
    /// Longest pause between two events of a stream.
    pub longest_pause: Option<Duration>,
    /// Greatest number of backend servers that one request may be sent to.
    pub attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether it needs no credential.
    pub is_public: bool,
    /// Whether its requests state the segments of their prompts.
    pub has_segments: bool,
}

/// A service of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its share of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// A group of backend servers that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Connections that one of its backend servers accepts from all hosts together.
    pub max_connections: u32,
    /// What its engines state; absent for plain services.
    pub engine: Option<Engine>,
}

/// What the engines of a service state about themselves.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Number of requests in one batch.
    pub slots: u32,
    /// Number of tokens that its memory holds.
    pub memory_tokens: u64,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// Limits on what callers may send and on how long they may take.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerLimits {
    /// Largest header, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time within which a caller has to send its header.
    pub header_time: Duration,
    /// Time for which a connection may be idle.
    pub idle_time: Duration,
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Its name, as it is sent to backend servers.
    pub name: AccountId,
    /// Credentials of its callers.
    pub credentials: Vec<String>,
    /// Rank of its requests, in place of that of their route.
    pub priority: Option<u8>,
    /// What it may use; absent if it is not limited.
    pub quota: Option<Quota>,
}

/// What an account may use over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// What a unit is.
    pub unit: QuotaUnit,
}

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens of prompt and answer, as the caller declares them.
    Tokens {
        /// Number of tokens counted for a request that declares none.
        undeclared: f64,
    },
}

//! What operators configure, in the product's own words.

use std::time::Duration;

use jaypin_core::{AccountId, ServiceId};

/// One version of everything that operators configure.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Grows with each change; an older one never replaces a newer one.
    pub version: u64,
    /// Where requests go.
    pub routes: Vec<Route>,
    /// What routes point at.
    pub services: Vec<Service>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Who may call; without any, callers need no credential.
    pub accounts: Vec<Account>,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// It may be run again.
    Idempotent,
    /// It may run once.
    Never,
    /// Its answer is a stream that another backend server may go on with.
    ResumableStream,
    /// Its answer is a stream that only its first backend server can give.
    Stream,
}

impl Repeat {
    /// Whether a second backend server may run it.
    #[must_use]
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether its answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }
}

/// Requests of one host name below one path.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name in logs.
    pub name: String,
    /// Host name that callers ask for.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// Services, each with its weight.
    pub targets: Vec<Target>,
    /// Whether its requests may run more than once.
    pub repeat: Repeat,
    /// Longest time for the whole answer.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, is worth most; the whole timeout
    /// where it is nothing.
    pub latency_target: Duration,
    /// Longest pause between two events of a stream.
    pub longest_pause: Option<Duration>,
    /// Most backend servers that one request may be sent to.
    pub attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether it needs no credential.
    pub is_public: bool,
}

/// A service of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its part, relative to the other targets.
    pub weight: u32,
}

/// A group of backend servers that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Connections that one of its backend servers takes from all hosts together.
    pub max_connections: u32,
    /// What its engines state; plain services have none.
    pub engine: Option<Engine>,
}

/// What the engines of a service state of themselves.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerLimits {
    /// Largest header, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time for a caller to send its header.
    pub header_time: Duration,
    /// Time that a connection may be idle.
    pub idle_time: Duration,
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Its name, as backend servers are told it.
    pub name: AccountId,
    /// Credentials of its callers.
    pub credentials: Vec<String>,
    /// Rank of its requests, in place of their route's.
    pub priority: Option<u8>,
    /// What it may use; without one it is not limited.
    pub quota: Option<Quota>,
}

/// What an account may use over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Units a second.
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
    /// Tokens of prompt and answer as the caller declares them.
    Tokens {
        /// What a request without declared tokens counts as.
        undeclared: f64,
    },
}

//! The refusals of requests that did not succeed, and their reasons.

use std::time::Duration;

/// Whether a request that did not succeed was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ran {
    /// No byte of it was sent to a backend server.
    NotRun,
    /// It ran; the complete response could not be delivered.
    Ran,
    /// It was sent to a backend server, and whether it ran is not known.
    Unknown,
}

impl Ran {
    /// Returns the value that is sent to callers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The host is shutting down.
    Draining,
    /// The host has no rules or no host list yet.
    NotReady,
    /// The host can't prove that its configuration is the newest.
    Unproven,
    /// No live backend server offers the service.
    NoBackend,
    /// Capacity ran out, and the request's tier was the lowest one waiting.
    Shed,
    /// The request could not be answered within its tier's deadline.
    TooLate,
    /// No shard scheduler replied in time.
    NoScheduler,
    /// The client account exceeds one of its limits.
    OverLimit,
    /// No backend server of the software version that began the stream is left.
    VersionGone,
    /// The software version that began the stream is not known.
    VersionUnknown,
    /// The content is quarantined because backend servers crashed while running it.
    Quarantined,
    /// A call with the same idempotency key is still running.
    InFlight,
    /// The outcome of the idempotency key's call is unknown or no longer stored.
    KeyUnknown,
    /// The idempotency key was used for a different call.
    KeyMismatch,
    /// The host that owns the idempotency key has no room for another one.
    KeyTableFull,
    /// The idempotency key's call was answered before, and the answer is not stored.
    AlreadyRan,
    /// The connection to the backend server broke or stalled before the end of the
    /// response.
    BackendLost,
    /// The backend server responded with an error.
    BackendFailed,
}

impl Reason {
    /// Returns the value that is sent to callers and written to logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::NotReady => "not-ready",
            Self::Unproven => "configuration-unproven",
            Self::NoBackend => "no-backend-server",
            Self::Shed => "shed",
            Self::TooLate => "too-late",
            Self::NoScheduler => "no-scheduler",
            Self::OverLimit => "over-limit",
            Self::VersionGone => "version-gone",
            Self::VersionUnknown => "version-unknown",
            Self::Quarantined => "quarantined",
            Self::InFlight => "in-flight",
            Self::KeyUnknown => "key-unknown",
            Self::KeyMismatch => "key-mismatch",
            Self::KeyTableFull => "key-table-full",
            Self::AlreadyRan => "already-ran",
            Self::BackendLost => "backend-server-lost",
            Self::BackendFailed => "backend-server-failed",
        }
    }
}

/// The final answer to a request that did not succeed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Whether the request was run.
    pub ran: Ran,
    /// Time after which a retry may succeed; `None` when a retry would not help.
    pub retry_after: Option<Duration>,
    /// Line of the rule that led to the refusal, if any.
    pub rule_line: Option<u32>,
}

impl Refusal {
    /// Creates a refusal of a request that was not run.
    #[must_use]
    pub fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::NotRun,
            retry_after: None,
            rule_line: None,
        }
    }

    /// Creates a refusal of a request that was dispatched; `ran` states whether it was run.
    #[must_use]
    pub fn after_dispatch(reason: Reason, ran: Ran) -> Self {
        Self {
            reason,
            ran,
            retry_after: None,
            rule_line: None,
        }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Sets the line of the rule that led to the refusal.
    #[must_use]
    pub fn rule_line(mut self, line: u32) -> Self {
        self.rule_line = Some(line);
        self
    }
}

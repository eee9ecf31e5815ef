//! The words that answer a request which did not succeed.

use std::time::Duration;

/// Whether a request that did not succeed was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ran {
    /// No byte of it left for a backend server.
    NotRun,
    /// It ran; the answer could not be given whole.
    Ran,
    /// It left for a backend server and what became of it is not known.
    Unknown,
}

impl Ran {
    /// The word that callers see.
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
    /// No live backend server serves it.
    NoBackend,
    /// Capacity ran out and its tier was the lowest that waited.
    Shed,
    /// It could not be answered within its tier's deadline.
    TooLate,
    /// No shard scheduler answered in time.
    NoScheduler,
    /// The client account is over a limit.
    OverLimit,
    /// The content is quarantined because backend servers died under it.
    Quarantined,
    /// The key was already used, and the call is running.
    InFlight,
    /// The key's outcome is not known, or not known any more.
    KeyUnknown,
    /// The key was used for another call.
    KeyMismatch,
    /// The host that owns the key has no room for another.
    KeyTableFull,
    /// The key's call was answered before, and the answer is not kept.
    AlreadyRan,
    /// The backend server broke off.
    BackendLost,
    /// The backend server answered with an error.
    BackendFailed,
}

impl Reason {
    /// The word that callers and logs see.
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

/// The final answer to a request that is given up on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether it ran.
    pub ran: Ran,
    /// When to come back, where coming back helps.
    pub retry_after: Option<Duration>,
    /// Line of the rule that decided, where one did.
    pub rule_line: Option<u32>,
}

impl Refusal {
    /// Refuses a request that was not run.
    #[must_use]
    pub fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::NotRun,
            retry_after: None,
            rule_line: None,
        }
    }

    /// Ends a request that was dispatched, with what is known of it.
    #[must_use]
    pub fn after_dispatch(reason: Reason, ran: Ran) -> Self {
        Self {
            reason,
            ran,
            retry_after: None,
            rule_line: None,
        }
    }

    /// Says when to come back.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Names the rule that decided.
    #[must_use]
    pub fn rule_line(mut self, line: u32) -> Self {
        self.rule_line = Some(line);
        self
    }
}

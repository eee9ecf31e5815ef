//! JSON records of a run. All times are milliseconds since the Unix epoch, from one clock.

use serde::{Deserialize, Serialize};

/// All records of a run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct History {
    /// Calls, as recorded by their callers.
    pub calls: Vec<CallRecord>,
    /// Executions, as logged by backend servers.
    pub executions: Vec<ExecutionRecord>,
    /// Active rule versions, as reported by hosts.
    pub rules: Vec<RulesRecord>,
    /// Periods in which hosts knew that a backend server was leaving.
    pub leaving: Vec<LeavingRecord>,
    /// Hosts that were asked to shut down and exited by themselves.
    #[serde(default)]
    pub shutdowns: Vec<ShutdownRecord>,
}

/// One call, as recorded by its caller.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallRecord {
    /// Id that the host assigned, if an answer stated it.
    pub request_id: Option<String>,
    /// Name of the host that was called.
    pub host: String,
    /// The caller's client account.
    pub account: String,
    /// Name of the service that was called.
    pub service: String,
    /// Rank of the tier; 0 is the highest.
    pub rank: u8,
    /// Idempotency key; none when the call carried none.
    pub key: Option<String>,
    /// Whether it may run at most once.
    pub never_repeat: bool,
    /// Start time.
    pub began_ms: u64,
    /// End time.
    pub ended_ms: u64,
    /// Expected answer: the whole text, or `METHOD /path` for a plain call.
    pub expected: String,
    /// Answer that the caller received.
    pub answered: Answered,
}

/// Answer that a caller received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Answered {
    /// An answer that is marked as complete.
    Whole {
        /// Text of the answer, or the `METHOD /path` that a plain service reports as executed.
        text: String,
    },
    /// A refusal, or an error at the end of a stream.
    Refused {
        /// Text received before the refusal or error.
        text: String,
        /// Reason of the refusal.
        reason: String,
        /// `not-run`, `ran` or `unknown`.
        outcome: String,
    },
    /// A connection that broke during the answer.
    Broken {
        /// Text received before the end.
        text: String,
    },
    /// A stream that ended normally but without its end mark.
    QuietEnd {
        /// Text received before the end.
        text: String,
    },
    /// No answer began.
    Nothing,
}

/// One execution, as a backend server logged it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// Name of the backend server.
    pub backend: String,
    /// Id of the request.
    pub request_id: String,
    /// Idempotency key; empty when there was none.
    pub key: String,
    /// Client account that the execution was made for; empty where the protocol states none.
    pub account: String,
    /// Start time.
    pub began_ms: u64,
}

/// The active rule version of a host at one time.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RulesRecord {
    /// Name of the host.
    pub host: String,
    /// Time at which the host reported it.
    pub at_ms: u64,
    /// The version; 0 means that the host has no rules yet.
    pub version: u64,
}

/// The period in which a backend server was leaving.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeavingRecord {
    /// Name of the backend server.
    pub backend: String,
    /// Time from which it must get no new work: the announcement plus the time that hosts
    /// have to learn of it.
    pub from_ms: u64,
    /// End of the period.
    pub until_ms: u64,
}

/// A host that was asked to shut down and exited by itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShutdownRecord {
    /// Name of the host.
    pub host: String,
    /// Time of the shutdown request.
    pub from_ms: u64,
    /// Time at which the host had exited.
    pub until_ms: u64,
}

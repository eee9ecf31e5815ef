//! What a run logged, in JSON. All times are milliseconds since 1970, of one clock.

use serde::{Deserialize, Serialize};

/// Everything that a run logged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct History {
    /// Calls, as their callers saw them.
    pub calls: Vec<CallRecord>,
    /// Executions, as backend servers logged them.
    pub executions: Vec<ExecutionRecord>,
    /// Rule versions, as hosts said they were in force.
    pub rules: Vec<RulesRecord>,
    /// When hosts were told that backend servers are leaving.
    pub leaving: Vec<LeavingRecord>,
    /// Hosts that were told to leave and ended by themselves.
    #[serde(default)]
    pub shutdowns: Vec<ShutdownRecord>,
}

/// One call, as its caller saw it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallRecord {
    /// Id that the host gave it, when the caller was told.
    pub request_id: Option<String>,
    /// Host that was called.
    pub host: String,
    /// The caller's client account.
    pub account: String,
    /// Service that was asked.
    pub service: String,
    /// Rank of the tier; 0 is the highest.
    pub rank: u8,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether it may run at most once.
    pub never_repeat: bool,
    /// When it began.
    pub began_ms: u64,
    /// When it ended.
    pub ended_ms: u64,
    /// The whole answer to this request: a text, or `METHOD /path` of a plain call.
    pub expected: String,
    /// What the caller got.
    pub answered: Answered,
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Answered {
    /// An answer that says it is whole.
    Whole {
        /// Its text, or `METHOD /path` that a plain service says it executed.
        text: String,
    },
    /// A refusal, or an error at the end of a stream.
    Refused {
        /// What came before it.
        text: String,
        /// Why.
        reason: String,
        /// `not-run`, `ran` or `unknown`.
        outcome: String,
    },
    /// A connection that broke within the answer.
    Broken {
        /// What came before.
        text: String,
    },
    /// A stream that ended as if it were whole, without its end mark.
    QuietEnd {
        /// What came before.
        text: String,
    },
    /// No answer began.
    Nothing,
}

/// One execution, as a backend server logged it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// The backend server.
    pub backend: String,
    /// Id of the request.
    pub request_id: String,
    /// Idempotency key; empty when there was none.
    pub key: String,
    /// Client account that it was made for; empty where the protocol has none.
    pub account: String,
    /// When it began.
    pub began_ms: u64,
}

/// A rule version in force.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RulesRecord {
    /// The host.
    pub host: String,
    /// When it said so.
    pub at_ms: u64,
    /// The version; 0 means none yet.
    pub version: u64,
}

/// A backend server that is leaving.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeavingRecord {
    /// The backend server.
    pub backend: String,
    /// From when on it may get no new work, with the time that hosts have to learn of it.
    pub from_ms: u64,
    /// Until when.
    pub until_ms: u64,
}

/// A host that was told to leave and ended by itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShutdownRecord {
    /// The host.
    pub host: String,
    /// When it was told.
    pub from_ms: u64,
    /// When it had ended.
    pub until_ms: u64,
}

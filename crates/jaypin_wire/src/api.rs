//! JSON bodies towards callers and operators.

use jaypin_core::{Refusal, Summary};
use serde::{Deserialize, Serialize};

/// Answer of `GET /v1/entry`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAnswer {
    /// Addresses to use, best first.
    pub addresses: Vec<EntryAddress>,
    /// How long the answer holds, in seconds.
    pub valid_for_s: u64,
    /// The host that answered.
    pub host: String,
    /// Its incarnation, in decimal.
    pub incarnation: String,
    /// Prefix for idempotency keys: append a part of your own.
    pub key_prefix: String,
}

/// One address of the entry list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Name of the host.
    pub host: String,
    /// `IP:port` for callers.
    pub address: String,
}

/// Body of every refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Why, in one word.
    pub reason: String,
    /// `not-run`, `ran` or `unknown`.
    pub outcome: String,
    /// When to come back, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Line of the rule that decided.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rule_line: Option<u32>,
    /// The request, for `jaypin explain`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// One sentence for a person.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub message: Option<String>,
}

impl From<&Refusal> for RefusalBody {
    fn from(refusal: &Refusal) -> Self {
        Self {
            reason: refusal.reason.as_str().to_owned(),
            outcome: refusal.ran.as_str().to_owned(),
            retry_after_ms: refusal
                .retry_after
                .map(|wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)),
            rule_line: refusal.rule_line,
            request_id: None,
            message: None,
        }
    }
}

/// Body of an operator's apply.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RuleApplyBody {
    /// The rule file.
    pub text: String,
    /// The version it was edited from; 0 for the first.
    pub edited_from: u64,
    /// Who applies it.
    pub author: String,
    /// Id of the apply.
    pub apply_id: String,
}

/// Body of a host's status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusBody {
    /// The host.
    pub host: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Version of the rules in force.
    pub rules_version: u64,
    /// Version of the host list in use.
    pub hosts_version: u64,
    /// Shards that it leads.
    pub shards_led: usize,
    /// Its requests that wait.
    pub waiting: usize,
    /// Its requests that run.
    pub running: usize,
    /// Requests that wait in the shards it leads.
    pub queued_here: usize,
    /// Requests that run on slots granted by the shards it leads.
    pub granted_here: usize,
    /// Whether it is shutting down.
    pub draining: bool,
}

impl StatusBody {
    /// Joins a host's name with its counts.
    #[must_use]
    pub fn new(host: &str, incarnation: u64, summary: &Summary) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            rules_version: summary.rules_version,
            hosts_version: summary.hosts_version,
            shards_led: summary.shards_led,
            waiting: summary.waiting,
            running: summary.running,
            queued_here: summary.queued_here,
            granted_here: summary.granted_here,
            draining: summary.draining,
        }
    }
}

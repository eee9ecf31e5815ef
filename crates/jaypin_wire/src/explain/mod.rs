//! JSON form of the decision record of a request, for operators and callers.

mod sentences;

use std::time::Duration;

use jaypin_core::{CallOutcome, Candidate, GrantNumber, Refusal, Step};
use serde::{Deserialize, Serialize};

/// The decision record of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainBody {
    /// ID of the request.
    pub request_id: String,
    /// Client account of the request.
    pub account: String,
    /// Requested service.
    pub service: String,
    /// Name of the request's tier.
    pub tier: String,
    /// Version of the rules that were used when the request arrived.
    pub rules_version: u64,
    /// Rules that applied to the request when it arrived.
    pub rules: Vec<AppliedRule>,
    /// Steps of the request, in order of time.
    pub steps: Vec<ExplainStep>,
}

/// A rule that applied to a request, with its requester.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedRule {
    /// Line in the rule file.
    pub line: u32,
    /// Kind and name of the rule; empty when not known.
    pub rule: String,
    /// Requester of the rule; hidden from callers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub asked_by: Option<String>,
}

/// A step of a request with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainStep {
    /// Milliseconds since the request arrived.
    pub after_ms: f64,
    /// The step.
    #[serde(flatten)]
    pub what: StepBody,
}

/// A step of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum StepBody {
    /// The request was accepted.
    Arrived,
    /// The host that owns the request's idempotency key answered the claim.
    Claimed {
        /// `granted`, `in-flight`, `done`, `unknown`, `mismatch` or `full`.
        verdict: String,
    },
    /// A slot was requested from a shard scheduler.
    Asked {
        /// Name of the shard.
        shard: String,
        /// Host that leads the shard.
        leader: String,
        /// Number of the slot request, from 1.
        attempt: u32,
    },
    /// The request was sent to a backend server.
    Dispatched {
        /// Name of the backend server; empty for callers, from whom it is hidden.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        backend: String,
        /// Number of the slot grant, `INCARNATION.SEQUENCE`; none when the owner chose the backend
        /// server without a shard scheduler.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        grant: Option<String>,
        /// Backend servers that were considered, the chosen one first.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        candidates: Vec<CandidateBody>,
    },
    /// The backend server could not be reached; no byte of the request was sent.
    NotReached,
    /// The first token was received.
    FirstToken,
    /// The call ended.
    Finished {
        /// Number of received tokens.
        tokens: u32,
        /// `complete`, `lost`, `died`, `failed` or `cancelled`.
        outcome: String,
    },
    /// The request was refused.
    Refused {
        /// Reason of the refusal, in kebab case.
        reason: String,
        /// Whether the request ran: `not-run`, `ran` or `unknown`.
        outcome: String,
        /// Time after which the caller may retry, in milliseconds; none when a retry does not help.
        retry_after_ms: Option<u64>,
        /// Rule that caused the refusal, when one did.
        rule: Option<AppliedRule>,
    },
}

/// A backend server that was considered for a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CandidateBody {
    /// Name of the backend server.
    pub backend: String,
    /// Estimated time to the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Number of requests that it was running.
    pub running: u32,
    /// Number of requests that it may run concurrently.
    pub limit: u32,
}

impl ExplainBody {
    /// Returns the record as the callers of the request's own account may see it. Everything that
    /// discloses other accounts' requests, the hosts and backend servers of the fleet or the
    /// requesters of rules is removed.
    #[must_use]
    pub fn for_caller(mut self) -> Self {
        for rule in &mut self.rules {
            rule.asked_by = None;
        }
        self.steps = self
            .steps
            .into_iter()
            .filter_map(redact_for_caller)
            .collect();
        self
    }
}

fn redact_for_caller(mut step: ExplainStep) -> Option<ExplainStep> {
    match &mut step.what {
        StepBody::Asked { .. } => return None,
        StepBody::Dispatched {
            backend,
            grant,
            candidates,
        } => {
            backend.clear();
            *grant = None;
            candidates.clear();
        }
        StepBody::Refused { rule, .. } => {
            if let Some(rule) = rule {
                rule.asked_by = None;
            }
        }
        StepBody::Arrived
        | StepBody::Claimed { .. }
        | StepBody::NotReached
        | StepBody::FirstToken
        | StepBody::Finished { .. } => {}
    }
    Some(step)
}

impl ExplainStep {
    /// Creates a step at a time since the arrival of the request.
    #[must_use]
    pub fn new(after: Duration, what: StepBody) -> Self {
        Self {
            after_ms: milliseconds(after),
            what,
        }
    }
}

impl From<&Step> for StepBody {
    fn from(step: &Step) -> Self {
        match step {
            Step::Arrived { .. } => Self::Arrived,
            Step::Asked {
                shard,
                leader,
                attempt,
            } => Self::Asked {
                shard: shard.to_string(),
                leader: leader.to_string(),
                attempt: *attempt,
            },
            Step::Dispatched {
                backend,
                grant,
                candidates,
            } => Self::Dispatched {
                backend: backend.to_string(),
                grant: grant.map(grant_name),
                candidates: candidates.iter().map(CandidateBody::from).collect(),
            },
            Step::Claimed { verdict } => Self::Claimed {
                verdict: (*verdict).to_owned(),
            },
            Step::NotReached => Self::NotReached,
            Step::FirstToken => Self::FirstToken,
            Step::Finished { tokens, outcome } => Self::Finished {
                tokens: *tokens,
                outcome: outcome_name(*outcome).to_owned(),
            },
            Step::Refused(refusal) => refusal.into(),
        }
    }
}

impl From<&Refusal> for StepBody {
    fn from(refusal: &Refusal) -> Self {
        let wait = refusal.retry_after;
        Self::Refused {
            reason: refusal.reason.as_str().to_owned(),
            outcome: refusal.ran.as_str().to_owned(),
            retry_after_ms: wait.map(|it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX)),
            rule: refusal.rule_line.map(|line| AppliedRule {
                line,
                rule: String::new(),
                asked_by: None,
            }),
        }
    }
}

impl From<&Candidate> for CandidateBody {
    fn from(candidate: &Candidate) -> Self {
        Self {
            backend: candidate.backend.to_string(),
            first_token_ms: milliseconds(candidate.first_token),
            running: candidate.running,
            limit: candidate.limit,
        }
    }
}

fn grant_name(number: GrantNumber) -> String {
    format!("{}.{}", number.incarnation, number.sequence)
}

fn outcome_name(outcome: CallOutcome) -> &'static str {
    match outcome {
        CallOutcome::Complete => "complete",
        CallOutcome::Lost => "lost",
        CallOutcome::Died => "died",
        CallOutcome::Failed => "failed",
        CallOutcome::Cancelled => "cancelled",
    }
}

/// Converts to milliseconds, rounded to one decimal place.
fn milliseconds(time: Duration) -> f64 {
    (time.as_secs_f64() * 10_000.0).round() / 10.0
}

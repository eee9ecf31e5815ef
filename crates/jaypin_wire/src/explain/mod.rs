//! The record of a request's decisions, as operators and callers read it.

mod sentences;

use std::time::Duration;

use jaypin_core::{CallOutcome, Candidate, GrantNumber, Refusal, Step};
use serde::{Deserialize, Serialize};

/// Everything that was decided about one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainBody {
    /// The request.
    pub request_id: String,
    /// The client account that it belongs to.
    pub account: String,
    /// The service that it asks for.
    pub service: String,
    /// Name of its tier.
    pub tier: String,
    /// Version of the rules that it was read by.
    pub rules_version: u64,
    /// The rules that applied when it was read.
    pub rules: Vec<AppliedRule>,
    /// What happened, in order.
    pub steps: Vec<ExplainStep>,
}

/// A rule with who asked for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedRule {
    /// Its line in the rule file.
    pub line: u32,
    /// Its kind and name.
    pub rule: String,
    /// Who asked for it; callers are not told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub asked_by: Option<String>,
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainStep {
    /// Milliseconds since the request arrived.
    pub after_ms: f64,
    /// What happened.
    #[serde(flatten)]
    pub what: StepBody,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum StepBody {
    /// The request was accepted.
    Arrived,
    /// The host that owns its idempotency key answered.
    Claimed {
        /// `granted`, `in-flight`, `done`, `unknown`, `mismatch` or `full`.
        verdict: String,
    },
    /// A shard scheduler was asked for a slot.
    Asked {
        /// The shard.
        shard: String,
        /// The host that leads it.
        leader: String,
        /// Number of the ask, from 1.
        attempt: u32,
    },
    /// It was sent to a backend server.
    Dispatched {
        /// The backend server; callers are not told.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        backend: String,
        /// Number of the grant; none when the owner chose by itself.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        grant: Option<String>,
        /// What was weighed, the chosen one first.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        candidates: Vec<CandidateBody>,
    },
    /// The backend server could not be reached; no byte left.
    NotReached,
    /// The first token came.
    FirstToken,
    /// The call ended.
    Finished {
        /// Tokens that came.
        tokens: u32,
        /// `complete`, `lost`, `died`, `failed` or `cancelled`.
        outcome: String,
    },
    /// It was refused.
    Refused {
        /// Why, in one word.
        reason: String,
        /// `not-run`, `ran` or `unknown`.
        outcome: String,
        /// When the caller may come back, in milliseconds.
        retry_after_ms: Option<u64>,
        /// The rule that decided.
        rule: Option<AppliedRule>,
    },
}

/// A backend server that was weighed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CandidateBody {
    /// The backend server.
    pub backend: String,
    /// Estimated time to the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Requests that it was running.
    pub running: u32,
    /// Requests that it may run at once.
    pub limit: u32,
}

impl ExplainBody {
    /// What the account's own callers see: what happened to their request, and nothing
    /// that tells of other accounts' work, of the fleet or of who asked for a rule.
    #[must_use]
    pub fn for_caller(mut self) -> Self {
        for rule in &mut self.rules {
            rule.asked_by = None;
        }
        self.steps = self.steps.into_iter().filter_map(caller_step).collect();
        self
    }
}

fn caller_step(mut step: ExplainStep) -> Option<ExplainStep> {
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
    /// Joins a step with its time.
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
                grant: grant.map(number),
                candidates: candidates.iter().map(CandidateBody::from).collect(),
            },
            Step::Claimed { verdict } => Self::Claimed {
                verdict: (*verdict).to_owned(),
            },
            Step::NotReached => Self::NotReached,
            Step::FirstToken => Self::FirstToken,
            Step::Finished { tokens, outcome } => Self::Finished {
                tokens: *tokens,
                outcome: outcome_word(*outcome).to_owned(),
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

fn number(number: GrantNumber) -> String {
    format!("{}.{}", number.incarnation, number.sequence)
}

fn outcome_word(outcome: CallOutcome) -> &'static str {
    match outcome {
        CallOutcome::Complete => "complete",
        CallOutcome::ConnectionLost => "lost",
        CallOutcome::BackendCrashed => "died",
        CallOutcome::Failed => "failed",
        CallOutcome::Cancelled => "cancelled",
    }
}

/// Milliseconds with one digit behind the point.
fn milliseconds(time: Duration) -> f64 {
    (time.as_secs_f64() * 10_000.0).round() / 10.0
}

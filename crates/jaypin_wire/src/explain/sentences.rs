//! Formats a decision record as sentences for readers who do not know the scheduler.

use super::{AppliedRule, CandidateBody, ExplainBody, ExplainStep, StepBody};

impl ExplainBody {
    /// Formats the record, one sentence per line.
    #[must_use]
    pub fn sentences(&self) -> Vec<String> {
        let mut lines = vec![
            format!(
                "Request {} of account `{}` for service `{}` in tier `{}`.",
                self.request_id, self.account, self.service, self.tier
            ),
            format!("Version {} of the rules applied:", self.rules_version),
        ];
        lines.extend(
            self.rules
                .iter()
                .map(|rule| format!("  {}.", rule_name(rule))),
        );
        lines.extend(self.steps.iter().flat_map(step_lines));
        lines
    }
}

fn rule_name(rule: &AppliedRule) -> String {
    let asked_by = rule.asked_by.as_ref();
    let asked_by = asked_by.map_or(String::new(), |name| format!(", asked by {name}"));
    if rule.rule.is_empty() {
        return format!("line {}{asked_by}", rule.line);
    }
    format!("line {}, {}{asked_by}", rule.line, rule.rule)
}

fn step_lines(step: &ExplainStep) -> Vec<String> {
    let after = step.after_ms;
    match &step.what {
        StepBody::Arrived => vec!["It was accepted.".to_owned()],
        StepBody::Asked {
            shard,
            leader,
            attempt,
        } => vec![format!(
            "After {after} ms it requested a slot from {leader}, the leader of shard {shard} \
             (attempt {attempt})."
        )],
        StepBody::Dispatched {
            backend,
            grant,
            candidates,
        } => dispatched_lines(after, backend, grant.as_deref(), candidates),
        StepBody::Claimed { verdict } => vec![format!(
            "After {after} ms the host that owns its idempotency key answered `{verdict}`: {}.",
            claim_meaning(verdict)
        )],
        StepBody::NotReached => vec![format!(
            "After {after} ms the backend server could not be reached; no byte of the request was sent."
        )],
        StepBody::FirstToken => vec![format!("After {after} ms the first token arrived.")],
        StepBody::Finished { tokens, outcome } => {
            vec![format!(
                "After {after} ms it ended with {tokens} tokens: {}.",
                outcome_meaning(outcome)
            )]
        }
        StepBody::Refused {
            reason,
            outcome,
            retry_after_ms,
            rule,
        } => refused_lines(after, reason, outcome, *retry_after_ms, rule.as_ref()),
    }
}

fn dispatched_lines(
    after: f64,
    backend: &str,
    grant: Option<&str>,
    candidates: &[CandidateBody],
) -> Vec<String> {
    if backend.is_empty() {
        return vec![format!("After {after} ms it was sent to a backend server.")];
    }
    let how = match grant {
        Some(number) => format!("it was granted slot {number} and sent"),
        None => "its host placed it without a shard scheduler and sent it".to_owned(),
    };
    let mut lines = vec![format!(
        "After {after} ms {how} to backend server `{backend}`."
    )];
    if let Some((chosen, others)) = candidates.split_first() {
        lines.push(format!(
            "  Chosen: {}; {}.",
            estimate(chosen),
            choice_reason(chosen, others)
        ));
        lines.extend(
            others
                .iter()
                .map(|it| format!("  Considered: {}.", estimate(it))),
        );
    }
    lines
}

fn estimate(candidate: &CandidateBody) -> String {
    format!(
        "`{}`, first token estimated in {} ms, {} of at most {} requests running",
        candidate.backend, candidate.first_token_ms, candidate.running, candidate.limit
    )
}

fn choice_reason(chosen: &CandidateBody, others: &[CandidateBody]) -> &'static str {
    let mut earlier = others
        .iter()
        .filter(|other| other.first_token_ms < chosen.first_token_ms)
        .peekable();
    if others.is_empty() {
        "no other backend server was considered"
    } else if earlier.peek().is_none() {
        "no other had an earlier estimate"
    } else if earlier.all(|other| other.running >= other.limit) {
        "those with an earlier estimate had no free slot"
    } else {
        "those with an earlier estimate were skipped because of their load"
    }
}

fn claim_meaning(verdict: &str) -> &'static str {
    match verdict {
        "granted" => "the call may run once",
        "in-flight" => "another request with the same key is running",
        "done" => "the call with this key was already answered",
        "unknown" => "whether a call with this key already ran is unknown, so this call is not run",
        "mismatch" => "the key was already used for a different call",
        "full" => "the key table is full",
        _ => "no description of this answer",
    }
}

fn outcome_meaning(outcome: &str) -> &'static str {
    match outcome {
        "complete" => "the complete answer was forwarded to the caller",
        "lost" => "the connection to the backend server was lost or stayed silent",
        "died" => "the backend server crashed during the call",
        "failed" => "the backend server answered with an error",
        "cancelled" => "the caller disconnected",
        _ => "no description of this outcome",
    }
}

fn refused_lines(
    after: f64,
    reason: &str,
    outcome: &str,
    retry_after_ms: Option<u64>,
    rule: Option<&AppliedRule>,
) -> Vec<String> {
    let mut lines = vec![
        format!(
            "After {after} ms it was refused as `{reason}`: {}.",
            reason_meaning(reason)
        ),
        format!("  `{outcome}`: {}.", execution_meaning(outcome)),
    ];
    if let Some(rule) = rule {
        lines.push(format!("  Deciding rule: {}.", rule_name(rule)));
    }
    if let Some(wait) = retry_after_ms {
        lines.push(format!("  The caller may retry after {wait} ms."));
    }
    lines
}

fn execution_meaning(outcome: &str) -> &'static str {
    match outcome {
        "not-run" => "no byte of it was sent to a backend server, so it was not run",
        "ran" => "it ran, but its answer could not be returned completely",
        _ => "it was sent to a backend server, and its outcome there is unknown",
    }
}

/// Describes the reason of a refusal.
fn reason_meaning(reason: &str) -> &'static str {
    match reason {
        "draining" => "the host is shutting down",
        "not-ready" => "the host had no rules or no host list yet",
        "configuration-unproven" => {
            "the host could not prove that its configuration was the newest"
        }
        "no-backend-server" => "no live backend server was available for it",
        "shed" => "capacity was exhausted and its tier was the lowest one waiting",
        "too-late" => "it could not be answered within its tier's deadline",
        "no-scheduler" => "no shard scheduler answered in time",
        "over-limit" => "its client account had reached a limit",
        "quarantined" => "backend servers crashed while running the same content",
        "in-flight" => "another call with its key was running",
        "key-unknown" => "whether a call with its key already ran is unknown",
        "key-mismatch" => "its key was already used for a different call",
        "version-gone" => "no backend server of the software version that began it was left",
        "version-unknown" => "the software version that began it was not known",
        "key-table-full" => "the key table of the host that owns its key was full",
        "already-ran" => "the call with its key was already answered, and the answer is not stored",
        "backend-server-lost" => "the connection to the backend server was lost",
        "backend-server-failed" => "the backend server answered with an error",
        _ => "no description of this reason",
    }
}

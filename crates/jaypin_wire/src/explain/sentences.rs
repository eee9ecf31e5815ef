//! A record in plain sentences, for someone who did not make the decisions.

use super::{AppliedRule, CandidateBody, ExplainBody, ExplainStep, StepBody};

impl ExplainBody {
    /// Says what happened, a line a sentence.
    #[must_use]
    pub fn sentences(&self) -> Vec<String> {
        let mut lines = vec![
            format!(
                "Request {} of account `{}` asked service `{}` in tier `{}`.",
                self.request_id, self.account, self.service, self.tier
            ),
            format!("Version {} of the rules applied:", self.rules_version),
        ];
        lines.extend(self.rules.iter().map(|rule| format!("  {}.", named(rule))));
        lines.extend(self.steps.iter().flat_map(step));
        lines
    }
}

fn named(rule: &AppliedRule) -> String {
    let asked_by = rule.asked_by.as_ref();
    let asked_by = asked_by.map_or(String::new(), |name| format!(", asked by {name}"));
    if rule.rule.is_empty() {
        return format!("line {}{asked_by}", rule.line);
    }
    format!("line {}, {}{asked_by}", rule.line, rule.rule)
}

fn step(step: &ExplainStep) -> Vec<String> {
    let after = step.after_ms;
    match &step.what {
        StepBody::Arrived => vec!["It was accepted.".to_owned()],
        StepBody::Asked {
            shard,
            leader,
            attempt,
        } => vec![format!(
            "After {after} ms it asked {leader}, which leads shard {shard}, for a slot \
             (ask {attempt})."
        )],
        StepBody::Dispatched {
            backend,
            grant,
            candidates,
        } => dispatched(after, backend, grant.as_deref(), candidates),
        StepBody::Claimed { verdict } => vec![format!(
            "After {after} ms the host that owns its key answered `{verdict}`: {}.",
            claim(verdict)
        )],
        StepBody::NotReached => vec![format!(
            "After {after} ms the backend server could not be reached; no byte of it left."
        )],
        StepBody::FirstToken => vec![format!("After {after} ms the first token came.")],
        StepBody::Finished { tokens, outcome } => {
            vec![format!(
                "After {after} ms it ended with {tokens} tokens: {}.",
                ending(outcome)
            )]
        }
        StepBody::Refused {
            reason,
            outcome,
            retry_after_ms,
            rule,
        } => refused(after, reason, outcome, *retry_after_ms, rule.as_ref()),
    }
}

fn dispatched(
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
        None => "its host chose by itself and sent it".to_owned(),
    };
    let mut lines = vec![format!(
        "After {after} ms {how} to backend server `{backend}`."
    )];
    if let Some((chosen, others)) = candidates.split_first() {
        lines.push(format!(
            "  Chosen: {}; {}.",
            estimate(chosen),
            why(chosen, others)
        ));
        lines.extend(
            others
                .iter()
                .map(|it| format!("  Weighed: {}.", estimate(it))),
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

fn why(chosen: &CandidateBody, others: &[CandidateBody]) -> &'static str {
    let mut earlier = others
        .iter()
        .filter(|other| other.first_token_ms < chosen.first_token_ms)
        .peekable();
    if others.is_empty() {
        "no other was weighed"
    } else if earlier.peek().is_none() {
        "none was estimated to be earlier"
    } else if earlier.all(|other| other.running >= other.limit) {
        "those estimated to be earlier had no room"
    } else {
        "earlier ones were passed over for their load"
    }
}

fn claim(verdict: &str) -> &'static str {
    match verdict {
        "granted" => "the call may run, this once",
        "in-flight" => "another request with the key is running",
        "done" => "the key's call was answered before",
        "unknown" => "what became of the key's call can't be known, so it is not run",
        "mismatch" => "the key belongs to another call",
        "full" => "there is no room for another key",
        _ => "the answer has no longer text",
    }
}

fn ending(outcome: &str) -> &'static str {
    match outcome {
        "complete" => "the whole answer was passed on",
        "lost" => "the backend server broke off or went silent",
        "died" => "the backend server went down under it",
        "failed" => "the backend server answered with an error",
        "cancelled" => "the caller left",
        _ => "its end has no name",
    }
}

fn refused(
    after: f64,
    reason: &str,
    outcome: &str,
    retry_after_ms: Option<u64>,
    rule: Option<&AppliedRule>,
) -> Vec<String> {
    let mut lines = vec![
        format!(
            "After {after} ms it was refused as `{reason}`: {}.",
            meaning(reason)
        ),
        format!("  `{outcome}`: {}.", whether_it_ran(outcome)),
    ];
    if let Some(rule) = rule {
        lines.push(format!("  The rule that decided: {}.", named(rule)));
    }
    if let Some(wait) = retry_after_ms {
        lines.push(format!("  The caller may come back after {wait} ms."));
    }
    lines
}

fn whether_it_ran(outcome: &str) -> &'static str {
    match outcome {
        "not-run" => "no byte of it left for a backend server, so it was not run",
        "ran" => "it ran, and its answer could not be given whole",
        _ => "it left for a backend server, and what became of it there is not known",
    }
}

/// What a refusal's reason means.
fn meaning(reason: &str) -> &'static str {
    match reason {
        "draining" => "the host is shutting down",
        "not-ready" => "the host had no rules or no host list yet",
        "configuration-unproven" => {
            "the host could not prove that its configuration was the newest"
        }
        "no-backend-server" => "no live backend server took it",
        "shed" => "capacity ran out and its tier was the lowest that waited",
        "too-late" => "it could not be answered within its tier's deadline",
        "no-scheduler" => "no shard scheduler answered in time",
        "over-limit" => "its client account was over a limit",
        "quarantined" => "backend servers died under the same content",
        "in-flight" => "a call with its key was running",
        "key-unknown" => "what became of its key's call is not known",
        "key-mismatch" => "its key was used for another call",
        "key-table-full" => "the host that owns its key had no room for another",
        "already-ran" => "its key's call was answered before, and the answer is not kept",
        "backend-server-lost" => "the backend server broke off",
        "backend-server-failed" => "the backend server answered with an error",
        _ => "the reason has no longer text",
    }
}

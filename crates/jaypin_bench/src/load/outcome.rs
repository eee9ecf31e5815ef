//! Outcome of one request, evaluated against the deadlines of its tier.

use std::time::Duration;

use jaypin_rules::TierRule;
use serde::Serialize;

use crate::Answer;

/// Share of a stream's gaps that must be within the tier's limit.
const GAP_SHARE: f64 = 0.95;
/// Amount by which a gap may exceed the tier's limit, to allow for clock inaccuracy.
const GAP_TOLERANCE: Duration = Duration::from_millis(2);

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Complete and within every deadline.
    Good,
    /// Complete; the first token was late.
    LateFirstToken,
    /// Complete; the gaps were too long.
    LateGaps,
    /// Complete; the end was late.
    LateEnd,
    /// Refused, with the reason and outcome that the host stated.
    Refused {
        /// Reason of the refusal, `none` when it was not stated.
        reason: String,
        /// `not-run`, `ran` or `unknown`; `none` when it was not stated.
        outcome: String,
    },
    /// The stream ended without its end mark.
    Cut,
    /// The answer is incomplete or differs from the one expected for this request.
    Wrong,
    /// No host accepted the connection, or it broke before an answer began.
    NoAnswer,
    /// The answer had not ended a few seconds after the last deadline.
    Silent,
}

impl Verdict {
    /// Returns the label under which the report counts the verdict.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::LateFirstToken => "late-first-token",
            Self::LateGaps => "late-gaps",
            Self::LateEnd => "late-end",
            Self::Refused { .. } => "refused",
            Self::Cut => "cut",
            Self::Wrong => "wrong",
            Self::NoAnswer => "no-answer",
            Self::Silent => "silent",
        }
    }
}

/// Measurements of one request, from its arrival to its last answer.
#[derive(Debug, Clone, Serialize)]
pub struct Sample {
    /// Index in the order of arrival.
    pub index: usize,
    /// Arrival time, relative to the start of the load.
    pub at: Duration,
    /// Name of the tier.
    pub tier: String,
    /// Whether it arrived within the measured period.
    pub measured: bool,
    /// Whether it was a plain call.
    pub plain: bool,
    /// Ids that hosts assigned to its attempts, where an answer stated one.
    pub request_ids: Vec<String>,
    /// Outcome of the last attempt.
    pub verdict: Verdict,
    /// Time to the first token of the last attempt.
    pub first_token: Option<Duration>,
    /// 95th percentile of the gaps of the last attempt.
    pub gap: Option<Duration>,
    /// Time to the end of the last attempt.
    pub whole: Duration,
}

/// Evaluates the answer to a text request against the expected text and the deadlines.
#[must_use]
pub fn judge_text(answer: &Answer, expected: &str, tier: &TierRule) -> Verdict {
    if let Some(refused) = refused(answer) {
        return refused;
    }
    if answer.broken || !answer.done {
        return Verdict::Cut;
    }
    if answer.text() != expected {
        return Verdict::Wrong;
    }
    if first_token(answer).is_some_and(|at| at > tier.first_token) {
        return Verdict::LateFirstToken;
    }
    if gap(answer).is_some_and(|gap| gap > tier.gap + GAP_TOLERANCE) {
        return Verdict::LateGaps;
    }
    in_time(answer, tier)
}

/// Evaluates the answer to a plain call against the expected route and the deadline.
#[must_use]
pub fn judge_plain(answer: &Answer, route: &str, tier: &TierRule) -> Verdict {
    if let Some(refused) = refused(answer) {
        return refused;
    }
    if answer.broken {
        return Verdict::Cut;
    }
    if answer.json()["route"] != route {
        return Verdict::Wrong;
    }
    in_time(answer, tier)
}

fn in_time(answer: &Answer, tier: &TierRule) -> Verdict {
    if answer.whole_after > tier.whole_response {
        Verdict::LateEnd
    } else {
        Verdict::Good
    }
}

fn refused(answer: &Answer) -> Option<Verdict> {
    let body = match (&answer.error, answer.status.is_success()) {
        (Some(error), _) => error.clone(),
        (None, false) => answer.json(),
        (None, true) => return None,
    };
    let field = |name: &str| body[name].as_str().unwrap_or("none").to_owned();
    Some(Verdict::Refused {
        reason: field("reason"),
        outcome: field("outcome"),
    })
}

/// Returns the time from the request to the first token.
#[must_use]
pub fn first_token(answer: &Answer) -> Option<Duration> {
    answer.events.first().map(|event| event.at)
}

/// Returns the 95th percentile of the times between tokens; none for fewer than two tokens.
#[must_use]
pub fn gap(answer: &Answer) -> Option<Duration> {
    let pairs = answer.events.windows(2);
    let mut gaps: Vec<Duration> = pairs
        .map(|pair| pair[1].at.saturating_sub(pair[0].at))
        .collect();
    gaps.sort_unstable();
    if gaps.is_empty() {
        return None;
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "the index lies within the list"
    )]
    let index = ((gaps.len() - 1) as f64 * GAP_SHARE).round() as usize;
    gaps.get(index).copied()
}

//! What became of one request, judged against its tier's deadlines.

use std::time::Duration;

use jaypin_rules::TierRule;
use serde::Serialize;

use crate::Answer;

/// Of a stream's gaps this share must be within the tier's limit.
const GAP_SHARE: f64 = 0.95;
/// Gaps may be so much longer than the tier's limit before they count, for the clocks.
const GAP_TOLERANCE: Duration = Duration::from_millis(2);

/// What became of a request.
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
    /// Refused, with reason and outcome word.
    Refused {
        /// Why.
        reason: String,
        /// `not-run`, `ran` or `unknown`.
        outcome: String,
    },
    /// The stream ended without its end mark.
    Cut,
    /// The answer is another request's or not whole.
    Wrong,
    /// No host took the connection, or it broke before an answer began.
    NoAnswer,
    /// Nothing came until long after the last deadline.
    Silent,
}

impl Verdict {
    /// The word under which it is counted.
    #[must_use]
    pub fn word(&self) -> &'static str {
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

/// One request, from arrival to its last answer.
#[derive(Debug, Clone, Serialize)]
pub struct Sample {
    /// Number in the order of arrival.
    pub index: usize,
    /// When it came, from the start of the load.
    pub at: Duration,
    /// Its tier.
    pub tier: String,
    /// Whether it came in the time that is measured.
    pub measured: bool,
    /// Whether it was a plain call.
    pub plain: bool,
    /// Ids that hosts gave its tries, as far as they were told.
    pub request_ids: Vec<String>,
    /// What became of the last try.
    pub verdict: Verdict,
    /// Time to the first token of the last try.
    pub first_token: Option<Duration>,
    /// 95th percentile of the gaps of the last try.
    pub gap: Option<Duration>,
    /// Time to the end of the last try.
    pub whole: Duration,
}

/// Judges the answer to a text against what was expected and when.
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

/// Judges the answer to a plain call.
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
    let word = |name: &str| body[name].as_str().unwrap_or("none").to_owned();
    Some(Verdict::Refused {
        reason: word("reason"),
        outcome: word("outcome"),
    })
}

/// When the first token came.
#[must_use]
pub fn first_token(answer: &Answer) -> Option<Duration> {
    answer.events.first().map(|event| event.at)
}

/// 95th percentile of the times between tokens.
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
        reason = "the place lies within the list"
    )]
    let place = ((gaps.len() - 1) as f64 * GAP_SHARE).round() as usize;
    gaps.get(place).copied()
}

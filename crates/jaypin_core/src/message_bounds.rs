//! Bounds on the values in a peer's message, applied before any decision uses them.

use std::time::Duration;

use crate::{Allowance, Ask, InFlight, Message, SlotProgress};

/// Longest duration that a message may carry.
const MAX_TIME: Duration = Duration::from_hours(24);
/// Maximum length of a prompt or a response that a message may carry, in tokens.
const MAX_TOKENS: u32 = 1 << 24;
/// Maximum demand in one usage report, in tokens.
const MAX_USAGE: f64 = 1e12;

impl Message {
    /// Clamps durations and token counts to their bounds. Returns `None` when a usage or
    /// an allowance is out of range or NaN.
    ///
    /// A peer of another build or with corrupted memory may send extreme durations or
    /// NaN. These would overflow in the estimates and panic the host; sums of values
    /// within the bounds can't overflow.
    #[must_use]
    pub fn with_bounds(self) -> Option<Self> {
        match self {
            Self::Ask(ask) => Some(Self::Ask(bounded_ask(ask))),
            Self::Progress {
                shard,
                id,
                number,
                progress,
            } => {
                let progress = bounded_progress(progress);
                Some(Self::Progress {
                    shard,
                    id,
                    number,
                    progress,
                })
            }
            Self::Queued {
                id,
                attempt,
                expected_wait,
            } => {
                let expected_wait = expected_wait.min(MAX_TIME);
                Some(Self::Queued {
                    id,
                    attempt,
                    expected_wait,
                })
            }
            Self::Grant(mut grant) => {
                grant.expected_wait = grant.expected_wait.min(MAX_TIME);
                Some(Self::Grant(grant))
            }
            Self::Refused {
                id,
                attempt,
                mut refusal,
                expected_wait,
            } => {
                refusal.retry_after = refusal.retry_after.map(|wait| wait.min(MAX_TIME));
                let expected_wait = expected_wait.min(MAX_TIME);
                Some(Self::Refused {
                    id,
                    attempt,
                    refusal,
                    expected_wait,
                })
            }
            Self::Usage { tokens, .. } if !(0.0..=MAX_USAGE).contains(&tokens) => None,
            Self::Allow { allowance, .. } if !is_amount(allowance) => None,
            Self::InFlight { shard, running } => {
                let running = running.into_iter().map(bounded_entry).collect();
                Some(Self::InFlight { shard, running })
            }
            other => Some(other),
        }
    }
}

fn is_amount(allowance: Allowance) -> bool {
    let amounts = 0.0..=f64::MAX;
    amounts.contains(&allowance.tokens_per_second) && amounts.contains(&allowance.at_once)
}

fn bounded_ask(mut ask: Ask) -> Ask {
    ask.first_token_due_in = ask.first_token_due_in.min(MAX_TIME);
    ask.response_due_in = ask.response_due_in.min(MAX_TIME);
    ask.prompt_tokens = ask.prompt_tokens.min(MAX_TOKENS);
    ask.max_tokens = ask.max_tokens.min(MAX_TOKENS);
    ask
}

fn bounded_entry(mut entry: InFlight) -> InFlight {
    entry.prompt_tokens = entry.prompt_tokens.min(MAX_TOKENS);
    entry.max_tokens = entry.max_tokens.min(MAX_TOKENS);
    entry
}

fn bounded_progress(progress: SlotProgress) -> SlotProgress {
    match progress {
        SlotProgress::FirstToken { after } => SlotProgress::FirstToken {
            after: after.min(MAX_TIME),
        },
        SlotProgress::Finished {
            tokens,
            after,
            lost,
        } => SlotProgress::Finished {
            tokens: tokens.min(MAX_TOKENS),
            after: after.min(MAX_TIME),
            lost,
        },
        other => other,
    }
}

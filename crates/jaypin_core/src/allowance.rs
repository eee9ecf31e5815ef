//! The share of a client account's limits that one shard may use.

use jaypin_rules::LimitRule;

/// A share of an account's limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Estimated tokens per second, prompts and answers together.
    pub tokens_per_second: f64,
    /// Requests running at the same time.
    pub at_once: f64,
}

impl Allowance {
    /// Returns the full limits of a rule; a limit that the rule doesn't set is `f64::MAX`.
    #[must_use]
    pub fn all_of(rule: &LimitRule) -> Self {
        Self {
            tokens_per_second: rule.tokens_per_second.unwrap_or(f64::MAX),
            at_once: rule.concurrent.map_or(f64::MAX, f64::from),
        }
    }
}

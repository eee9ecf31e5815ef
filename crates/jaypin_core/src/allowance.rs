//! What one shard may use of a client account's limits.

use jaypin_rules::LimitRule;

/// Part of an account's limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Estimated tokens a second.
    pub tokens_per_second: f64,
    /// Requests running at once.
    pub at_once: f64,
}

impl Allowance {
    /// Everything that a rule allows.
    #[must_use]
    pub fn all_of(rule: &LimitRule) -> Self {
        Self {
            tokens_per_second: rule.tokens_per_second.unwrap_or(f64::MAX),
            at_once: rule.concurrent.map_or(f64::MAX, f64::from),
        }
    }
}

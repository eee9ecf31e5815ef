//! JSON form of the shards in a host's status.

use jaypin_core::ShardReport;
use jaypin_rules::RuleSet;
use serde::{Deserialize, Serialize};

/// State of a shard that the host leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardState {
    /// Name of the shard, `SERVICE/NUMBER`.
    pub shard: String,
    /// Waiting requests by tier, highest tier first.
    pub waiting: Vec<TierWaiting>,
    /// Number of running requests.
    pub running: usize,
    /// Backend servers of the shard.
    pub backends: Vec<ShardBackend>,
}

/// Waiting requests of one tier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TierWaiting {
    /// Name of the tier.
    pub tier: String,
    /// Number of waiting requests.
    pub requests: usize,
}

/// A backend server as its shard scheduler estimates it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardBackend {
    /// Name of the backend server.
    pub backend: String,
    /// `live`, `leaving`, `resting` or `overdue`.
    pub state: String,
    /// Number of requests running on it.
    pub running: u32,
    /// Concurrency limit estimated from observed requests.
    pub limit: u32,
    /// Prefill rate estimated from observed requests, in prompt tokens per second.
    pub prefill_tokens_per_second: u32,
}

impl ShardState {
    /// Converts a report, replacing the ranks of tiers by their names in the given rules. A
    /// rank without a tier is shown as `rank N`.
    #[must_use]
    pub fn new(report: &ShardReport, rules: &RuleSet) -> Self {
        let waiting = report.waiting.iter().map(|(rank, requests)| TierWaiting {
            tier: rules
                .tier_by_rank(*rank)
                .map_or_else(|| format!("rank {rank}"), |tier| tier.name.clone()),
            requests: *requests,
        });
        let backends = report.backends.iter().map(|it| ShardBackend {
            backend: it.backend.to_string(),
            state: it.state.as_str().to_owned(),
            running: it.running,
            limit: it.limit,
            prefill_tokens_per_second: round_down(it.prefill_rate),
        });
        Self {
            shard: report.shard.to_string(),
            waiting: waiting.collect(),
            running: report.running,
            backends: backends.collect(),
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range of u32"
)]
fn round_down(rate: f64) -> u32 {
    rate.clamp(0.0, f64::from(u32::MAX)) as u32
}

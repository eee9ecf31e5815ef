//! Shards in a host's status.

use jaypin_core::ShardReport;
use jaypin_rules::RuleSet;
use serde::{Deserialize, Serialize};

/// A shard that the host leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardState {
    /// Its name, `SERVICE/NUMBER`.
    pub shard: String,
    /// Requests that wait, by tier, highest first.
    pub waiting: Vec<TierWaiting>,
    /// Requests that run.
    pub running: usize,
    /// Its backend servers.
    pub backends: Vec<ShardBackend>,
}

/// Requests of one tier that wait.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TierWaiting {
    /// Name of the tier.
    pub tier: String,
    /// How many wait.
    pub requests: usize,
}

/// A backend server, as the shard's scheduler sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardBackend {
    /// Its name.
    pub backend: String,
    /// `live`, `leaving`, `resting` or `overdue`.
    pub state: String,
    /// Requests that run there.
    pub running: u32,
    /// Requests that may run there at once, as learned.
    pub limit: u32,
    /// Prompt tokens a second, as learned.
    pub prefill_tokens_per_second: u32,
}

impl ShardState {
    /// Names a report's tiers by the rules in force.
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
            prefill_tokens_per_second: whole(it.prefill_rate),
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
    reason = "bounded before"
)]
fn whole(rate: f64) -> u32 {
    rate.clamp(0.0, f64::from(u32::MAX)) as u32
}

//! What schedulers look up in the rules for each request, indexed once a version.

use std::collections::HashMap;
use std::sync::Arc;

use jaypin_rules::{LimitRule, RuleSet, ServiceKind};

use crate::AccountId;

/// Gap target where no rule states one, in seconds.
const DEFAULT_GAP: f64 = 0.066;
/// First-token target where no rule states one, in seconds.
const DEFAULT_FIRST_TOKEN: f64 = 1.5;

/// The part of a tier's rule that scheduling needs.
#[derive(Debug, Clone, PartialEq)]
pub struct TierTargets {
    /// Rank of the tier.
    pub rank: u8,
    /// Longest time to the first token, in seconds.
    pub first_token: f64,
    /// Longest time between tokens, in seconds.
    pub gap: f64,
    /// Running streams per shard that only this tier and higher ones may use.
    pub reserved_slots: u32,
    /// Share of a shard's granted tokens that this tier gets even under load, 0 to 1.
    pub minimum_share: f64,
    /// Line of the rule.
    pub line: u32,
}

/// Rules by what schedulers ask for.
#[derive(Debug, Clone, Default)]
pub struct RuleIndex {
    rules: Arc<RuleSet>,
    tiers: Vec<TierTargets>,
    shares: HashMap<AccountId, f64>,
    limits: HashMap<AccountId, LimitRule>,
}

impl RuleIndex {
    /// Indexes a version of the rules.
    #[must_use]
    pub fn new(rules: Arc<RuleSet>) -> Self {
        let tiers = rules.tiers.iter().map(|tier| TierTargets {
            rank: tier.rank,
            first_token: tier.first_token.as_secs_f64(),
            gap: tier.gap.as_secs_f64(),
            reserved_slots: tier.reserve,
            minimum_share: f64::from(tier.minimum_percent.min(100)) / 100.0,
            line: tier.origin.line,
        });
        let shares = rules.accounts.iter();
        let limits = rules.limits.iter();
        Self {
            tiers: tiers.collect(),
            shares: shares
                .map(|account| (account.name.as_str().into(), account.share))
                .collect(),
            limits: limits
                .map(|limit| (limit.account.as_str().into(), limit.clone()))
                .collect(),
            rules,
        }
    }

    /// Tiers in order of rank.
    #[must_use]
    pub fn tiers(&self) -> &[TierTargets] {
        &self.tiers
    }

    /// Targets of a tier, or the usual ones for a rank that no rule names.
    #[must_use]
    pub fn tier(&self, rank: u8) -> TierTargets {
        let found = self.tiers.iter().find(|tier| tier.rank == rank);
        found.cloned().unwrap_or(TierTargets {
            rank,
            first_token: DEFAULT_FIRST_TOKEN,
            gap: DEFAULT_GAP,
            reserved_slots: 0,
            minimum_share: 0.0,
            line: 0,
        })
    }

    /// The strictest gap of all tiers, in seconds.
    #[must_use]
    pub fn strictest_gap(&self) -> f64 {
        let gaps = self.tiers.iter().map(|tier| tier.gap);
        gaps.reduce(f64::min).unwrap_or(DEFAULT_GAP)
    }

    /// Weight of an account within a tier.
    #[must_use]
    pub fn share(&self, account: &str) -> f64 {
        self.shares.get(account).copied().unwrap_or(1.0)
    }

    /// Limits of an account.
    #[must_use]
    pub fn limit(&self, account: &str) -> Option<&LimitRule> {
        self.limits.get(account)
    }

    /// Whether a service's backend servers give one answer a call and prefill nothing.
    #[must_use]
    pub fn is_plain(&self, service: &str) -> bool {
        self.rules
            .service(service)
            .is_some_and(|service| service.kind == ServiceKind::Plain)
    }
}

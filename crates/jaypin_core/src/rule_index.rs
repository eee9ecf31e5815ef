//! An index of the rules for the lookups that schedulers make per request; it is built once
//! per version.

use std::collections::HashMap;
use std::sync::Arc;

use jaypin_rules::{LimitRule, RuleSet, ServiceKind};

use crate::AccountId;

/// Default target for the time between tokens, in seconds.
const DEFAULT_GAP: f64 = 0.066;
/// Default target for the time to the first token, in seconds.
const DEFAULT_FIRST_TOKEN: f64 = 1.5;

/// The values of a tier's rule that scheduling needs.
#[derive(Debug, Clone, PartialEq)]
pub struct TierTargets {
    /// Rank of the tier; 0 is the highest tier.
    pub rank: u8,
    /// Longest acceptable time to the first token, in seconds.
    pub first_token: f64,
    /// Longest acceptable time between tokens, in seconds.
    pub gap: f64,
    /// Slots per shard that only this tier and higher ones may use.
    pub reserved_slots: u32,
    /// Minimum share of a shard's granted tokens that this tier gets under load, from 0 to
    /// 1.
    pub minimum_share: f64,
    /// Line of the rule in the rule file; 0 when no rule defines the tier.
    pub line: u32,
}

/// One version of the rules, indexed by tier rank and by account.
#[derive(Debug, Clone, Default)]
pub struct RuleIndex {
    rules: Arc<RuleSet>,
    tiers: Vec<TierTargets>,
    shares: HashMap<AccountId, f64>,
    limits: HashMap<AccountId, LimitRule>,
}

impl RuleIndex {
    /// Builds the index of a version of the rules.
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

    /// Returns the tiers in order of rank.
    #[must_use]
    pub fn tiers(&self) -> &[TierTargets] {
        &self.tiers
    }

    /// Returns the targets of a tier, or the default targets for a rank that no rule
    /// defines.
    #[must_use]
    pub fn tier(&self, rank: u8) -> TierTargets {
        let known = self.tiers.iter().find(|tier| tier.rank == rank);
        known.cloned().unwrap_or(TierTargets {
            rank,
            first_token: DEFAULT_FIRST_TOKEN,
            gap: DEFAULT_GAP,
            reserved_slots: 0,
            minimum_share: 0.0,
            line: 0,
        })
    }

    /// Returns the shortest target of all tiers for the time between tokens, in seconds.
    #[must_use]
    pub fn strictest_gap(&self) -> f64 {
        let gaps = self.tiers.iter().map(|tier| tier.gap);
        gaps.reduce(f64::min).unwrap_or(DEFAULT_GAP)
    }

    /// Returns the weight of an account within a tier; 1 when no rule sets it.
    #[must_use]
    pub fn share(&self, account: &str) -> f64 {
        self.shares.get(account).copied().unwrap_or(1.0)
    }

    /// Returns the limits of an account, if it has any.
    #[must_use]
    pub fn limit(&self, account: &str) -> Option<&LimitRule> {
        self.limits.get(account)
    }

    /// Returns whether a service's backend servers send a single response per call and have
    /// no prefill.
    #[must_use]
    pub fn is_plain(&self, service: &str) -> bool {
        self.rules
            .service(service)
            .is_some_and(|service| service.kind == ServiceKind::Plain)
    }
}

//! All rules of one file, with look-ups by name.

use crate::rule::{
    AccountRule, CallerRule, FencingRule, LimitRule, QuarantineRule, RouteRule, ServiceRule,
    TierRule,
};

/// The rules in force, as one plain value.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RuleSet {
    /// Tiers in order of rank.
    pub tiers: Vec<TierRule>,
    /// Services in order of the file.
    pub services: Vec<ServiceRule>,
    /// Calls of plain services.
    pub routes: Vec<RouteRule>,
    /// Client accounts.
    pub accounts: Vec<AccountRule>,
    /// Callers' credentials.
    pub callers: Vec<CallerRule>,
    /// Limits of accounts.
    pub limits: Vec<LimitRule>,
    /// Which services check fencing numbers.
    pub fencing: Vec<FencingRule>,
    /// When a fingerprint is quarantined.
    pub quarantine: QuarantineRule,
}

impl RuleSet {
    /// Finds a tier by name.
    #[must_use]
    pub fn tier(&self, name: &str) -> Option<&TierRule> {
        self.tiers.iter().find(|tier| tier.name == name)
    }

    /// Finds a tier by rank.
    #[must_use]
    pub fn tier_by_rank(&self, rank: u8) -> Option<&TierRule> {
        self.tiers.iter().find(|tier| tier.rank == rank)
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Finds the service whose engines serve a model.
    #[must_use]
    pub fn service_of_model(&self, model: &str) -> Option<&ServiceRule> {
        self.services
            .iter()
            .find(|service| service.models.iter().any(|name| name == model))
    }

    /// Finds the rule of a plain call, given as `METHOD /path`.
    #[must_use]
    pub fn route(&self, service: &str, route: &str) -> Option<&RouteRule> {
        self.routes
            .iter()
            .find(|rule| rule.service == service && rule.route == route)
    }

    /// Finds an account by name.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&AccountRule> {
        self.accounts.iter().find(|account| account.name == name)
    }

    /// Finds the caller that a credential's digest belongs to.
    #[must_use]
    pub fn caller(&self, digest: &str) -> Option<&CallerRule> {
        self.callers.iter().find(|caller| caller.digest == digest)
    }

    /// Finds the limits of an account.
    #[must_use]
    pub fn limit(&self, account: &str) -> Option<&LimitRule> {
        self.limits.iter().find(|limit| limit.account == account)
    }
}

//! All rules of one file, with look-ups by name.

use std::collections::HashMap;

use crate::RuleIndex;
use crate::rule::{
    AccountRule, CallerRule, FencingRule, LimitRule, Origin, QuarantineRule, RouteRule,
    ServiceRule, TierRule,
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
    /// Places of the rules by name, as [`crate::parse`] builds it.
    pub index: RuleIndex,
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
        let place = self.index.models.get(model);
        place.map_or_else(
            || {
                self.services
                    .iter()
                    .find(|rule| rule.models.iter().any(|name| name == model))
            },
            |place| self.services.get(*place),
        )
    }

    /// Finds the rule of a plain call, given as `METHOD /path`.
    #[must_use]
    pub fn route(&self, service: &str, route: &str) -> Option<&RouteRule> {
        if self.index.route_count != self.routes.len() {
            let mut routes = self.routes.iter();
            return routes.find(|rule| rule.service == service && rule.route == route);
        }
        let place = self.index.routes.get(service)?.get(route)?;
        self.routes.get(*place)
    }

    /// Finds an account by name.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&AccountRule> {
        find(&self.accounts, &self.index.accounts, name, |rule| {
            &rule.name
        })
    }

    /// Finds the caller that a credential's digest belongs to.
    #[must_use]
    pub fn caller(&self, digest: &str) -> Option<&CallerRule> {
        find(&self.callers, &self.index.callers, digest, |rule| {
            &rule.digest
        })
    }

    /// Finds the limits of an account.
    #[must_use]
    pub fn limit(&self, account: &str) -> Option<&LimitRule> {
        find(&self.limits, &self.index.limits, account, |rule| {
            &rule.account
        })
    }

    /// Who asked for each rule, by line.
    #[must_use]
    pub fn requesters(&self) -> HashMap<u32, &str> {
        self.origins()
            .map(|origin| (origin.line, &*origin.asked_by))
            .collect()
    }

    fn origins(&self) -> impl Iterator<Item = &Origin> {
        let tiers = self.tiers.iter().map(|rule| &rule.origin);
        let services = self.services.iter().map(|rule| &rule.origin);
        let routes = self.routes.iter().map(|rule| &rule.origin);
        let accounts = self.accounts.iter().map(|rule| &rule.origin);
        let callers = self.callers.iter().map(|rule| &rule.origin);
        let limits = self.limits.iter().map(|rule| &rule.origin);
        let fencing = self.fencing.iter().map(|rule| &rule.origin);
        tiers
            .chain(services)
            .chain(routes)
            .chain(accounts)
            .chain(callers)
            .chain(limits)
            .chain(fencing)
            .chain([&self.quarantine.origin])
    }
}

/// Finds a rule by the index, or by walking when rules were added after it was built.
fn find<'a, T>(
    rules: &'a [T],
    index: &HashMap<String, usize>,
    name: &str,
    name_of: impl Fn(&T) -> &String,
) -> Option<&'a T> {
    if index.len() == rules.len() {
        return rules.get(*index.get(name)?);
    }
    rules.iter().find(|rule| name_of(rule) == name)
}

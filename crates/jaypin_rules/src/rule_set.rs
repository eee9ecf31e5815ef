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

    /// Finds the rule in a line of the file.
    #[must_use]
    pub fn rule_at(&self, line: u32) -> Option<RuleAt<'_>> {
        let tiers = self.tiers.iter().map(|it| ("tier", &it.name, &it.origin));
        let services = self.services.iter();
        let services = services.map(|it| ("service", &it.name, &it.origin));
        let routes = self
            .routes
            .iter()
            .map(|it| ("route", &it.route, &it.origin));
        let fencing = self.fencing.iter();
        let fencing = fencing.map(|it| ("fencing of", &it.service, &it.origin));
        let few = tiers.chain(services).chain(routes).chain(fencing);
        let few = few.map(|(kind, name, origin)| RuleAt::new(kind, name, origin));
        few.chain(self.account_rule_at(line))
            .chain([RuleAt::new("quarantine", "", &self.quarantine.origin)])
            .find(|rule| rule.origin.line == line)
    }

    /// Accounts may be many thousands; their rules stand in order of the file.
    fn account_rule_at(&self, line: u32) -> impl Iterator<Item = RuleAt<'_>> {
        let account = at(&self.accounts, line, |rule| &rule.origin);
        let caller = at(&self.callers, line, |rule| &rule.origin);
        let limit = at(&self.limits, line, |rule| &rule.origin);
        let account = account.map(|it| RuleAt::new("account", &it.name, &it.origin));
        let caller = caller.map(|it| RuleAt::new("caller of", &it.account, &it.origin));
        let limit = limit.map(|it| RuleAt::new("limit of", &it.account, &it.origin));
        account.into_iter().chain(caller).chain(limit)
    }
}

/// A rule with its place, for explanations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleAt<'a> {
    /// Kind and name, for example ``tier `cow-status` ``.
    pub name: String,
    /// Where it stands and who asked for it.
    pub origin: &'a Origin,
}

impl<'a> RuleAt<'a> {
    fn new(kind: &str, name: &str, origin: &'a Origin) -> Self {
        let name = if name.is_empty() {
            kind.to_owned()
        } else {
            format!("{kind} `{name}`")
        };
        Self { name, origin }
    }
}

fn at<T>(rules: &[T], line: u32, origin: impl Fn(&T) -> &Origin) -> Option<&T> {
    let place = rules.binary_search_by_key(&line, |rule| origin(rule).line);
    rules.get(place.ok()?)
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

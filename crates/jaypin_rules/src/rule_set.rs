//! The rules of a rule file, with look-ups by name and by line.

use std::collections::HashMap;

use crate::RuleIndex;
use crate::rule::{
    AccountRule, CallerRule, FencingRule, LimitRule, Origin, QuarantineRule, RouteRule,
    ServiceRule, TierRule,
};

/// The rules of a rule file.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RuleSet {
    /// Tiers, by ascending rank.
    pub tiers: Vec<TierRule>,
    /// Services, in the order of the file.
    pub services: Vec<ServiceRule>,
    /// Routes of plain services.
    pub routes: Vec<RouteRule>,
    /// Client accounts.
    pub accounts: Vec<AccountRule>,
    /// Credentials of callers.
    pub callers: Vec<CallerRule>,
    /// Limits of accounts.
    pub limits: Vec<LimitRule>,
    /// Whether the backend servers of a service check fencing numbers, by service.
    pub fencing: Vec<FencingRule>,
    /// When and for how long a request content is quarantined.
    pub quarantine: QuarantineRule,
    /// Positions of the rules by name, as built by [`crate::parse`].
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

    /// Finds the service that serves a model.
    #[must_use]
    pub fn service_of_model(&self, model: &str) -> Option<&ServiceRule> {
        let position = self.index.models.get(model);
        position.map_or_else(
            || {
                self.services
                    .iter()
                    .find(|rule| rule.models.iter().any(|name| name == model))
            },
            |position| self.services.get(*position),
        )
    }

    /// Finds a route of a plain service, given as `METHOD /path`.
    #[must_use]
    pub fn route(&self, service: &str, route: &str) -> Option<&RouteRule> {
        if self.index.route_count != self.routes.len() {
            let mut routes = self.routes.iter();
            return routes.find(|rule| rule.service == service && rule.route == route);
        }
        let position = self.index.routes.get(service)?.get(route)?;
        self.routes.get(*position)
    }

    /// Finds an account by name.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&AccountRule> {
        find_by_name(&self.accounts, &self.index.accounts, name, |rule| {
            &rule.name
        })
    }

    /// Finds a caller by the digest of its credential.
    #[must_use]
    pub fn caller(&self, digest: &str) -> Option<&CallerRule> {
        find_by_name(&self.callers, &self.index.callers, digest, |rule| {
            &rule.digest
        })
    }

    /// Finds the limits of an account.
    #[must_use]
    pub fn limit(&self, account: &str) -> Option<&LimitRule> {
        find_by_name(&self.limits, &self.index.limits, account, |rule| {
            &rule.account
        })
    }

    /// Finds the rule on a line of the file.
    #[must_use]
    pub fn rule_at(&self, line: u32) -> Option<LocatedRule<'_>> {
        let tiers = self.tiers.iter().map(|it| ("tier", &it.name, &it.origin));
        let services = self.services.iter();
        let services = services.map(|it| ("service", &it.name, &it.origin));
        let routes = self
            .routes
            .iter()
            .map(|it| ("route", &it.route, &it.origin));
        let fencing = self.fencing.iter();
        let fencing = fencing.map(|it| ("fencing of", &it.service, &it.origin));
        let rules = tiers.chain(services).chain(routes).chain(fencing);
        let rules = rules.map(|(kind, name, origin)| LocatedRule::new(kind, name, origin));
        rules
            .chain(self.account_rule_at(line))
            .chain([LocatedRule::new("quarantine", "", &self.quarantine.origin)])
            .find(|rule| rule.origin.line == line)
    }

    /// Finds the account, caller or limit rule on a line by binary search, as there may be
    /// many thousand accounts; these rules are in the order of the file.
    fn account_rule_at(&self, line: u32) -> impl Iterator<Item = LocatedRule<'_>> {
        let account = find_by_line(&self.accounts, line, |rule| &rule.origin);
        let caller = find_by_line(&self.callers, line, |rule| &rule.origin);
        let limit = find_by_line(&self.limits, line, |rule| &rule.origin);
        let account = account.map(|it| LocatedRule::new("account", &it.name, &it.origin));
        let caller = caller.map(|it| LocatedRule::new("caller of", &it.account, &it.origin));
        let limit = limit.map(|it| LocatedRule::new("limit of", &it.account, &it.origin));
        account.into_iter().chain(caller).chain(limit)
    }
}

/// Name and origin of a rule, for explanations of decisions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocatedRule<'a> {
    /// Kind and name, for example ``tier `cow-status` ``.
    pub name: String,
    /// Line and requester of the rule.
    pub origin: &'a Origin,
}

impl<'a> LocatedRule<'a> {
    fn new(kind: &str, name: &str, origin: &'a Origin) -> Self {
        let name = if name.is_empty() {
            kind.to_owned()
        } else {
            format!("{kind} `{name}`")
        };
        Self { name, origin }
    }
}

fn find_by_line<T>(rules: &[T], line: u32, origin: impl Fn(&T) -> &Origin) -> Option<&T> {
    let position = rules.binary_search_by_key(&line, |rule| origin(rule).line);
    rules.get(position.ok()?)
}

/// Finds a rule by name with the index, or by linear search when rules were added after the
/// index was built.
fn find_by_name<'a, T>(
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

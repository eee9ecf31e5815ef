//! Checks of the rules against each other: duplicates, gaps between ranks, sums of shares and
//! references to missing rules.

use std::collections::HashMap;
use std::hash::Hash;

use crate::fields::CheckContext;
use crate::nearest::name_hint;
use crate::rule::{Origin, ServiceKind};
use crate::{Mistake, RuleSet};

/// Largest sum of the minimum shares of all tiers, in percent.
const MAX_TOTAL_PERCENT: u32 = 100;

/// Checks the rules against each other and appends the mistakes found to `mistakes`.
pub fn check(rules: &RuleSet, context: &CheckContext, mistakes: &mut Vec<Mistake>) {
    let mut checker = Checker { context, mistakes };
    checker.check_duplicates(rules);
    checker.check_tiers(rules);
    checker.check_references(rules);
}

struct Checker<'a> {
    context: &'a CheckContext,
    mistakes: &'a mut Vec<Mistake>,
}

impl Checker<'_> {
    fn report(&mut self, origin: &Origin, field: &'static str, message: String) {
        let column = self.context.columns.get(&(origin.line, field)).copied();
        self.mistakes
            .push(Mistake::new(origin.line, column.unwrap_or(1), message));
    }

    fn check_duplicates(&mut self, rules: &RuleSet) {
        let tiers = || rules.tiers.iter();
        self.check_unique("tier", tiers().map(|rule| (&rule.name, &rule.origin)));
        self.check_unique("rank", tiers().map(|rule| (&rule.rank, &rule.origin)));
        let services = || rules.services.iter();
        self.check_unique("service", services().map(|rule| (&rule.name, &rule.origin)));
        let models = services().flat_map(|rule| {
            let origin = &rule.origin;
            rule.models.iter().map(move |model| (model, origin))
        });
        self.check_unique("models", models);
        let routes = rules.routes.iter();
        let keys: Vec<_> = routes
            .map(|rule| (format!("{} of {}", rule.route, rule.service), &rule.origin))
            .collect();
        self.check_unique("route", keys.iter().map(|(key, origin)| (key, *origin)));
        let accounts = rules.accounts.iter();
        self.check_unique("account", accounts.map(|rule| (&rule.name, &rule.origin)));
        let callers = rules.callers.iter();
        self.check_unique("caller", callers.map(|rule| (&rule.digest, &rule.origin)));
        let limits = rules.limits.iter();
        self.check_unique("limit", limits.map(|rule| (&rule.account, &rule.origin)));
        let fencing = rules.fencing.iter();
        self.check_unique("fencing", fencing.map(|rule| (&rule.service, &rule.origin)));
    }

    /// Reports every rule whose key is already used by an earlier one.
    fn check_unique<'a, K>(
        &mut self,
        field: &'static str,
        rules: impl Iterator<Item = (&'a K, &'a Origin)>,
    ) where
        K: Eq + Hash + std::fmt::Display + 'a,
    {
        let mut seen: HashMap<&K, u32> = HashMap::new();
        for (key, origin) in rules {
            if let Some(earlier) = seen.get(key) {
                let message = format!("`{field}`: `{key}` is already used in line {earlier}");
                self.report(origin, field, message);
            } else {
                seen.insert(key, origin.line);
            }
        }
    }

    fn check_tiers(&mut self, rules: &RuleSet) {
        if rules.tiers.is_empty() {
            let message = "found no tier, expected at least one".to_owned();
            self.mistakes.push(Mistake::new(1, 1, message));
        }
        self.check_ranks(rules);
        let mut sum = 0;
        for tier in &rules.tiers {
            sum += tier.minimum_percent.min(MAX_TOTAL_PERCENT);
            if sum > MAX_TOTAL_PERCENT && tier.minimum_percent > 0 {
                let message = format!(
                    "`minimum-percent`: found a sum of {sum} over the tiers up to this one, \
                     expected at most {MAX_TOTAL_PERCENT}"
                );
                self.report(&tier.origin, "minimum-percent", message);
            }
        }
    }

    fn check_ranks(&mut self, rules: &RuleSet) {
        if self
            .context
            .invalid_rules
            .iter()
            .any(|(kind, _)| kind == "tier")
        {
            // A missing rank may be that of an invalid tier, so no gap is reported.
            return;
        }
        let mut next = 0;
        for tier in &rules.tiers {
            if tier.rank > next {
                let message = format!(
                    "`rank`: found {}, expected {next}: ranks must be consecutive, starting at 0",
                    tier.rank
                );
                self.report(&tier.origin, "rank", message);
            }
            next = tier.rank.saturating_add(1);
        }
    }

    fn check_references(&mut self, rules: &RuleSet) {
        let tiers: Vec<&str> = rules.tiers.iter().map(|tier| &*tier.name).collect();
        for service in &rules.services {
            self.check_reference("tier", "tier", &service.tier, &tiers, &service.origin);
        }
        let names: Vec<&str> = rules.services.iter().map(|rule| &*rule.name).collect();
        for route in &rules.routes {
            let origin = &route.origin;
            self.check_reference("service", "service", &route.service, &names, origin);
            if let Some(tier) = &route.tier {
                self.check_reference("tier", "tier", tier, &tiers, origin);
            }
            let service = rules.service(&route.service);
            if service.is_some_and(|service| service.kind == ServiceKind::Engine) {
                let message = format!(
                    "`service`: `{}` is an engine service, expected a plain service",
                    route.service
                );
                self.report(origin, "service", message);
            }
        }
        for fencing in &rules.fencing {
            let (service, origin) = (&fencing.service, &fencing.origin);
            self.check_reference("fencing", "service", service, &names, origin);
        }
        for caller in &rules.callers {
            self.check_account("account", &caller.account, rules, &caller.origin);
        }
        for limit in &rules.limits {
            self.check_account("limit", &limit.account, rules, &limit.origin);
        }
    }

    fn check_reference(
        &mut self,
        field: &'static str,
        kind: &str,
        name: &str,
        known: &[&str],
        origin: &Origin,
    ) {
        if !known.contains(&name) && !self.is_invalid(kind, name) {
            let hint = name_hint(name, known.iter().copied());
            let message = format!("`{field}`: no {kind} is named `{name}`{hint}");
            self.report(origin, field, message);
        }
    }

    fn is_invalid(&self, kind: &str, name: &str) -> bool {
        let rule = (kind.to_owned(), name.to_owned());
        self.context.invalid_rules.contains(&rule)
    }

    /// Checks a reference to an account with the index, as there may be many thousand accounts.
    fn check_account(&mut self, field: &'static str, name: &str, rules: &RuleSet, origin: &Origin) {
        if rules.account(name).is_none() && !self.is_invalid("account", name) {
            let hint = name_hint(name, rules.accounts.iter().map(|rule| &*rule.name));
            let message = format!("`{field}`: no account is named `{name}`{hint}");
            self.report(origin, field, message);
        }
    }
}

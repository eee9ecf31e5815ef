//! What only shows when all rules are seen together: duplicates, gaps, dead references.

use std::collections::HashMap;
use std::hash::Hash;

use crate::fields::Places;
use crate::nearest::name_hint;
use crate::rule::{Origin, ServiceKind};
use crate::{Mistake, RuleSet};

/// Sum that the minimum shares of all tiers may have.
const WHOLE_PERCENT: u32 = 100;

/// Checks the rules against each other.
pub fn check(rules: &RuleSet, places: &Places, mistakes: &mut Vec<Mistake>) {
    let mut check = Check { places, mistakes };
    check.duplicates(rules);
    check.tiers(rules);
    check.references(rules);
}

struct Check<'a> {
    places: &'a Places,
    mistakes: &'a mut Vec<Mistake>,
}

impl Check<'_> {
    fn note(&mut self, origin: &Origin, field: &'static str, message: String) {
        let column = self.places.columns.get(&(origin.line, field)).copied();
        self.mistakes
            .push(Mistake::new(origin.line, column.unwrap_or(1), message));
    }

    // ------------------------------------------------------------------ duplicates

    fn duplicates(&mut self, rules: &RuleSet) {
        let tiers = || rules.tiers.iter();
        self.once("tier", tiers().map(|rule| (&rule.name, &rule.origin)));
        self.once("rank", tiers().map(|rule| (&rule.rank, &rule.origin)));
        let services = || rules.services.iter();
        self.once("service", services().map(|rule| (&rule.name, &rule.origin)));
        let models = services().flat_map(|rule| {
            let origin = &rule.origin;
            rule.models.iter().map(move |model| (model, origin))
        });
        self.once("models", models);
        let routes = rules.routes.iter();
        let keys: Vec<_> = routes
            .map(|rule| (format!("{} of {}", rule.route, rule.service), &rule.origin))
            .collect();
        self.once("route", keys.iter().map(|(key, origin)| (key, *origin)));
        let accounts = rules.accounts.iter();
        self.once("account", accounts.map(|rule| (&rule.name, &rule.origin)));
        let callers = rules.callers.iter();
        self.once("caller", callers.map(|rule| (&rule.digest, &rule.origin)));
        let limits = rules.limits.iter();
        self.once("limit", limits.map(|rule| (&rule.account, &rule.origin)));
        let fencing = rules.fencing.iter();
        self.once("fencing", fencing.map(|rule| (&rule.service, &rule.origin)));
    }

    fn once<'a, K>(&mut self, field: &'static str, rules: impl Iterator<Item = (&'a K, &'a Origin)>)
    where
        K: Eq + Hash + std::fmt::Display + 'a,
    {
        let mut seen: HashMap<&K, u32> = HashMap::new();
        for (key, origin) in rules {
            if let Some(earlier) = seen.get(key) {
                let message = format!("`{field}`: `{key}` stands in line {earlier} already");
                self.note(origin, field, message);
            } else {
                seen.insert(key, origin.line);
            }
        }
    }

    // ------------------------------------------------------------------ tiers

    fn tiers(&mut self, rules: &RuleSet) {
        if rules.tiers.is_empty() {
            let message = "found no tier, expected at least one".to_owned();
            self.mistakes.push(Mistake::new(1, 1, message));
        }
        self.ranks(rules);
        let mut sum = 0;
        for tier in &rules.tiers {
            sum += tier.minimum_percent.min(WHOLE_PERCENT);
            if sum > WHOLE_PERCENT && tier.minimum_percent > 0 {
                let message = format!(
                    "`minimum-percent`: found {sum} over the tiers up to this one, \
                     expected at most {WHOLE_PERCENT}"
                );
                self.note(&tier.origin, "minimum-percent", message);
            }
        }
    }

    fn ranks(&mut self, rules: &RuleSet) {
        if self.places.faulty.iter().any(|(kind, _)| kind == "tier") {
            // The rank of a wrong tier may be the one that is missing.
            return;
        }
        let mut next = 0;
        for tier in &rules.tiers {
            if tier.rank > next {
                let message = format!(
                    "`rank`: found {}, expected {next}: ranks go up from 0 without a gap",
                    tier.rank
                );
                self.note(&tier.origin, "rank", message);
            }
            next = tier.rank.saturating_add(1);
        }
    }

    // ------------------------------------------------------------------ references

    fn references(&mut self, rules: &RuleSet) {
        let tiers: Vec<&str> = rules.tiers.iter().map(|tier| &*tier.name).collect();
        for service in &rules.services {
            self.known("tier", "tier", &service.tier, &tiers, &service.origin);
        }
        let names: Vec<&str> = rules.services.iter().map(|rule| &*rule.name).collect();
        for route in &rules.routes {
            let origin = &route.origin;
            self.known("service", "service", &route.service, &names, origin);
            if let Some(tier) = &route.tier {
                self.known("tier", "tier", tier, &tiers, origin);
            }
            let service = rules.service(&route.service);
            if service.is_some_and(|service| service.kind == ServiceKind::Engine) {
                let message = format!(
                    "`service`: `{}` is an engine service, expected a plain one",
                    route.service
                );
                self.note(origin, "service", message);
            }
        }
        for fencing in &rules.fencing {
            let (service, origin) = (&fencing.service, &fencing.origin);
            self.known("fencing", "service", service, &names, origin);
        }
        for caller in &rules.callers {
            self.account("account", &caller.account, rules, &caller.origin);
        }
        for limit in &rules.limits {
            self.account("limit", &limit.account, rules, &limit.origin);
        }
    }

    fn known(
        &mut self,
        field: &'static str,
        kind: &str,
        name: &str,
        known: &[&str],
        origin: &Origin,
    ) {
        if !known.contains(&name) && !self.is_faulty(kind, name) {
            let hint = name_hint(name, known.iter().copied());
            let message = format!("`{field}`: no {kind} is named `{name}`{hint}");
            self.note(origin, field, message);
        }
    }

    fn is_faulty(&self, kind: &str, name: &str) -> bool {
        let rule = (kind.to_owned(), name.to_owned());
        self.places.faulty.contains(&rule)
    }

    /// Accounts may be many thousands, so they are looked up by the index.
    fn account(&mut self, field: &'static str, name: &str, rules: &RuleSet, origin: &Origin) {
        if rules.account(name).is_none() && !self.is_faulty("account", name) {
            let hint = name_hint(name, rules.accounts.iter().map(|rule| &*rule.name));
            let message = format!("`{field}`: no account is named `{name}`{hint}");
            self.note(origin, field, message);
        }
    }
}

//! Maps from names to positions in a [`RuleSet`], for fast look-ups with many thousand accounts.

use std::collections::HashMap;

use crate::RuleSet;

/// Positions of rules by name.
///
/// The index is valid for the rules that it was built from. When rules were added since
/// then, look-ups search the list linearly instead.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RuleIndex {
    pub(crate) models: HashMap<String, usize>,
    pub(crate) routes: HashMap<String, HashMap<String, usize>>,
    pub(crate) route_count: usize,
    pub(crate) accounts: HashMap<String, usize>,
    pub(crate) callers: HashMap<String, usize>,
    pub(crate) limits: HashMap<String, usize>,
}

impl RuleIndex {
    /// Builds the index of a set of rules; of rules with the same name the first is indexed.
    #[must_use]
    pub fn build(rules: &RuleSet) -> Self {
        let mut routes: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (position, rule) in rules.routes.iter().enumerate() {
            let of_service = routes.entry(rule.service.clone()).or_default();
            of_service.entry(rule.route.clone()).or_insert(position);
        }
        let mut models = HashMap::new();
        for (position, rule) in rules.services.iter().enumerate() {
            for model in &rule.models {
                models.entry(model.clone()).or_insert(position);
            }
        }
        Self {
            models,
            routes,
            route_count: rules.routes.len(),
            accounts: positions(rules.accounts.iter().map(|rule| &rule.name)),
            callers: positions(rules.callers.iter().map(|rule| &rule.digest)),
            limits: positions(rules.limits.iter().map(|rule| &rule.account)),
        }
    }
}

fn positions<'a>(names: impl Iterator<Item = &'a String>) -> HashMap<String, usize> {
    let mut positions = HashMap::new();
    for (position, name) in names.enumerate() {
        positions.entry(name.clone()).or_insert(position);
    }
    positions
}

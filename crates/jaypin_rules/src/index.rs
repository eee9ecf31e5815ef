//! Maps from names to places in a [`RuleSet`], for look-ups at many thousand accounts.

use std::collections::HashMap;

use crate::RuleSet;

/// Places of rules by name.
///
/// It belongs to the rules it was built from; look-ups of rules that were added since
/// then walk through the list instead.
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
    /// Builds the index of some rules; of two rules with one name the first is found.
    #[must_use]
    pub fn build(rules: &RuleSet) -> Self {
        let mut routes: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (place, rule) in rules.routes.iter().enumerate() {
            let of_service = routes.entry(rule.service.clone()).or_default();
            of_service.entry(rule.route.clone()).or_insert(place);
        }
        let mut models = HashMap::new();
        for (place, rule) in rules.services.iter().enumerate() {
            for model in &rule.models {
                models.entry(model.clone()).or_insert(place);
            }
        }
        Self {
            models,
            routes,
            route_count: rules.routes.len(),
            accounts: places(rules.accounts.iter().map(|rule| &rule.name)),
            callers: places(rules.callers.iter().map(|rule| &rule.digest)),
            limits: places(rules.limits.iter().map(|rule| &rule.account)),
        }
    }
}

fn places<'a>(names: impl Iterator<Item = &'a String>) -> HashMap<String, usize> {
    let mut places = HashMap::new();
    for (place, name) in names.enumerate() {
        places.entry(name.clone()).or_insert(place);
    }
    places
}

//! Outcomes of requests to the old and the new version of a service.

use std::collections::BTreeMap;
use std::fmt;

/// Short key of a route in reports: a hash of its name.
pub type RouteKey = u32;

/// Number of routes that are counted separately; all others are counted together.
const MAX_ROUTES: usize = 16;
/// Key under which the others are counted.
const OTHER_ROUTES: RouteKey = 0;

/// Outcome of a call in the comparison of two versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The response was complete and not slow.
    Good,
    /// The response was complete and slow.
    Slow,
    /// The call failed.
    Bad,
}

/// Numbers of calls to one version by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Complete responses that were not slow.
    pub good: u32,
    /// Complete responses that were slow.
    pub slow: u32,
    /// Failed calls.
    pub bad: u32,
}

/// Outcomes of both versions on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouteOutcomes {
    /// Outcomes of the stable version.
    pub old: OutcomeCounts,
    /// Outcomes of the canary version.
    pub new: OutcomeCounts,
}

/// Running totals of outcomes by route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionOutcomes(BTreeMap<RouteKey, RouteOutcomes>);

impl fmt::Display for OutcomeCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { good, slow, bad } = self;
        write!(f, "{good} good, {slow} slow, {bad} bad")
    }
}

impl fmt::Display for VersionOutcomes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (route, RouteOutcomes { old, new }) in &self.0 {
            write!(f, "route {route:08x}: old {old}; new {new}. ")?;
        }
        Ok(())
    }
}

impl OutcomeCounts {
    /// Returns the number of all calls.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.good.saturating_add(self.slow).saturating_add(self.bad)
    }

    fn count(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Good => self.good += 1,
            Outcome::Slow => self.slow += 1,
            Outcome::Bad => self.bad += 1,
        }
    }

    fn add(&mut self, other: &Self) {
        self.good = self.good.saturating_add(other.good);
        self.slow = self.slow.saturating_add(other.slow);
        self.bad = self.bad.saturating_add(other.bad);
    }

    fn merge_max(&mut self, other: &Self) {
        self.good = self.good.max(other.good);
        self.slow = self.slow.max(other.slow);
        self.bad = self.bad.max(other.bad);
    }

    /// Returns the difference to an earlier total.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        Self {
            good: self.good.saturating_sub(before.good),
            slow: self.slow.saturating_sub(before.slow),
            bad: self.bad.saturating_sub(before.bad),
        }
    }
}

impl RouteOutcomes {
    /// Returns the difference to an earlier total.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        Self {
            old: self.old.since(&before.old),
            new: self.new.since(&before.new),
        }
    }
}

impl VersionOutcomes {
    /// Creates totals from the outcomes of each route.
    pub fn from_routes(routes: impl IntoIterator<Item = (RouteKey, RouteOutcomes)>) -> Self {
        Self(routes.into_iter().collect())
    }

    /// Returns the totals by route.
    pub fn routes(&self) -> impl Iterator<Item = (RouteKey, &RouteOutcomes)> {
        self.0.iter().map(|(route, outcomes)| (*route, outcomes))
    }

    /// Counts one call.
    pub fn count(&mut self, route: RouteKey, is_new: bool, outcome: Outcome) {
        let is_known = self.0.contains_key(&route) || self.0.len() < MAX_ROUTES;
        let key = if is_known { route } else { OTHER_ROUTES };
        let counts = self.0.entry(key).or_default();
        let version = if is_new {
            &mut counts.new
        } else {
            &mut counts.old
        };
        version.count(outcome);
    }

    /// Adds other totals to these.
    pub fn add(&mut self, other: &Self) {
        for (route, outcomes) in &other.0 {
            let own = self.0.entry(*route).or_default();
            own.old.add(&outcomes.old);
            own.new.add(&outcomes.new);
        }
    }

    /// Raises each number to that of other totals, if that is greater. Totals only grow, so this
    /// merges the reports of several hosts that know more or less of the same calls.
    pub fn merge_max(&mut self, other: &Self) {
        for (route, outcomes) in &other.0 {
            let own = self.0.entry(*route).or_default();
            own.old.merge_max(&outcomes.old);
            own.new.merge_max(&outcomes.new);
        }
    }

    /// Returns the number of all calls to the canary version.
    #[must_use]
    pub fn new_total(&self) -> u32 {
        self.0.values().map(|it| it.new.total()).sum()
    }

    /// Returns the number of all calls to the stable version.
    #[must_use]
    pub fn old_total(&self) -> u32 {
        self.0.values().map(|it| it.old.total()).sum()
    }

    /// Returns the number of failed calls to the canary version.
    #[must_use]
    pub fn new_failures(&self) -> u32 {
        self.0.values().map(|it| it.new.bad).sum()
    }
}

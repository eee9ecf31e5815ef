//! What became of requests at the old and the new version of a service.

use std::collections::BTreeMap;
use std::fmt;

/// Short key of a route in reports: a hash of its name.
pub type RouteKey = u32;

/// Routes that are counted by themselves; the rest are counted together.
const MOST_ROUTES: usize = 16;
/// The key of that rest.
const OTHER_ROUTES: RouteKey = 0;

/// How an answer counts in the comparison of two versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was whole and not slow.
    Good,
    /// It was whole and slow.
    Slow,
    /// It failed.
    Bad,
}

/// Answers of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Whole ones that were not slow.
    pub good: u32,
    /// Whole ones that were slow.
    pub slow: u32,
    /// Failed ones.
    pub bad: u32,
}

/// Answers of both versions on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouteOutcomes {
    /// Those of the versions in force.
    pub old: OutcomeCounts,
    /// Those of the version under trial.
    pub new: OutcomeCounts,
}

/// Running totals by route.
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
    /// All of them.
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

    fn raise_to(&mut self, other: &Self) {
        self.good = self.good.max(other.good);
        self.slow = self.slow.max(other.slow);
        self.bad = self.bad.max(other.bad);
    }

    /// What came since an earlier total.
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
    /// What came since an earlier total.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        Self {
            old: self.old.since(&before.old),
            new: self.new.since(&before.new),
        }
    }
}

impl VersionOutcomes {
    /// Takes totals by route.
    pub fn from_routes(routes: impl IntoIterator<Item = (RouteKey, RouteOutcomes)>) -> Self {
        Self(routes.into_iter().collect())
    }

    /// Totals by route.
    pub fn routes(&self) -> impl Iterator<Item = (RouteKey, &RouteOutcomes)> {
        self.0.iter().map(|(route, outcomes)| (*route, outcomes))
    }

    /// Counts an answer.
    pub fn count(&mut self, route: RouteKey, is_new: bool, outcome: Outcome) {
        let is_known = self.0.contains_key(&route) || self.0.len() < MOST_ROUTES;
        let key = if is_known { route } else { OTHER_ROUTES };
        let counts = self.0.entry(key).or_default();
        let version = if is_new {
            &mut counts.new
        } else {
            &mut counts.old
        };
        version.count(outcome);
    }

    /// Adds totals.
    pub fn add(&mut self, other: &Self) {
        for (route, outcomes) in &other.0 {
            let own = self.0.entry(*route).or_default();
            own.old.add(&outcomes.old);
            own.new.add(&outcomes.new);
        }
    }

    /// Takes totals that only grow, told by several that know more or less of them.
    pub fn raise_to(&mut self, other: &Self) {
        for (route, outcomes) in &other.0 {
            let own = self.0.entry(*route).or_default();
            own.old.raise_to(&outcomes.old);
            own.new.raise_to(&outcomes.new);
        }
    }

    /// All answers of the version under trial.
    #[must_use]
    pub fn new_total(&self) -> u32 {
        self.0.values().map(|it| it.new.total()).sum()
    }

    /// All answers of the versions in force.
    #[must_use]
    pub fn old_total(&self) -> u32 {
        self.0.values().map(|it| it.old.total()).sum()
    }

    /// Failed answers of the version under trial.
    #[must_use]
    pub fn new_failures(&self) -> u32 {
        self.0.values().map(|it| it.new.bad).sum()
    }
}

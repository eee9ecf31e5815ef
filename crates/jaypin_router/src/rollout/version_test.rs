//! Whether a new version is worse than the old one, by a test that may be looked at at any
//! moment.
//!
//! For each route, failures and slow answers of the new version add to a sum by their
//! likelihood ratio between "as often as at the old version" and "clearly more often", and
//! good answers take from it; the sum never falls below 0, so a version that turns bad later
//! is found as fast as one that is bad at once (Page's CUSUM, 1954). What is usual is taken
//! from the old version in the same seconds: whatever else goes wrong goes wrong for both.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::{DecayedRate, RouteKey, RouteOutcomes, VersionOutcomes};

/// Sum from which a version is bad: a good one reaches it once in some 60,000 answers.
const BAD_SUM: f64 = 11.0;
/// Sum up to which a version may be taken for good.
const CALM_SUM: f64 = 4.0;
/// Failures that count as clearly more: so much, and this part of the usual ones, above them.
const MORE_FAILURES: (f64, f64) = (0.05, 0.3);
/// The same of slow answers.
const MORE_SLOW: (f64, f64) = (0.2, 0.3);
/// Times over which the old version's part of bad answers is taken, besides the newest ones
/// alone; the greatest counts, so that trouble of both versions is seen at the old one no
/// later than at the new one.
const MEMORIES: [Duration; 2] = [Duration::from_millis(400), Duration::from_secs(5)];
/// Answers that are assumed of the old version before any came, and the part of bad ones
/// among them.
const ASSUMED: (f64, f64) = (3.0, 0.02);
/// Bounds of a part that is taken as usual.
const USUAL_BOUNDS: (f64, f64) = (0.01, 0.9);
/// Failures by which the new version may exceed twice what the old one would have had,
/// whatever the sums say.
const MOST_EXCESS: f64 = 10.0;
/// Answers of the new version before it may be taken for good: in all, and on each route
/// that has this part of the old version's answers.
const LEAST_ANSWERS: u32 = 60;
const LEAST_ROUTE_ANSWERS: u32 = 8;
const COMMON_ROUTE: f64 = 0.08;

/// What speaks against a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Failures, on this route or on several together.
    Failures(Option<RouteKey>),
    /// Slow answers, on this route or on several together.
    Slowness(Option<RouteKey>),
    /// Many more failures than the old version would have had.
    Excess,
}

/// The test of one version.
#[derive(Debug, Default)]
pub struct VersionTest {
    routes: BTreeMap<RouteKey, RouteTest>,
    all: Sums,
    seen: VersionOutcomes,
    failures: f64,
    expected_failures: f64,
    evidence: Option<Evidence>,
}

#[derive(Debug, Default)]
struct RouteTest {
    seen: RouteOutcomes,
    failures: Option<UsualPart>,
    slow: Option<UsualPart>,
    sums: Sums,
}

/// Sums of evidence.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    failures: f64,
    slow: f64,
}

impl Sums {
    fn add(&mut self, failures: f64, slow: f64) {
        self.failures = (self.failures + failures).max(0.0);
        self.slow = (self.slow + slow).max(0.0);
    }

    fn evidence(&self, route: Option<RouteKey>) -> Option<Evidence> {
        if self.failures >= BAD_SUM {
            Some(Evidence::Failures(route))
        } else if self.slow >= BAD_SUM {
            Some(Evidence::Slowness(route))
        } else {
            None
        }
    }

    fn is_calm(&self) -> bool {
        self.failures <= CALM_SUM && self.slow <= CALM_SUM
    }
}

/// The part of bad answers among those of the old version, lately.
#[derive(Debug, Clone, Copy)]
struct UsualPart {
    rates: [(DecayedRate, DecayedRate); 2],
    /// Bad and all of the newest answers.
    newest: (f64, f64),
}

impl UsualPart {
    fn new(now: Instant) -> Self {
        let rate = |memory| (DecayedRate::new(memory, now), DecayedRate::new(memory, now));
        Self {
            rates: MEMORIES.map(rate),
            newest: (0.0, 0.0),
        }
    }

    fn saw(&mut self, bad: u32, all: u32, now: Instant) {
        self.newest = (f64::from(bad), f64::from(all));
        for (bad_rate, rate) in &mut self.rates {
            bad_rate.count(f64::from(bad), now);
            rate.count(f64::from(all), now);
        }
    }

    fn part(&self, now: Instant) -> f64 {
        let parts = self.rates.iter().zip(MEMORIES).map(|((bad, all), memory)| {
            let seconds = memory.as_secs_f64();
            part_of(bad.at(now) * seconds, all.at(now) * seconds)
        });
        let (bad, all) = self.newest;
        let greatest = parts.fold(part_of(bad, all), f64::max);
        greatest.clamp(USUAL_BOUNDS.0, USUAL_BOUNDS.1)
    }
}

fn part_of(bad: f64, all: f64) -> f64 {
    let (assumed, assumed_part) = ASSUMED;
    (bad + assumed * assumed_part) / (all + assumed)
}

/// What so many bad ones of so many answers say of "clearly more often" against "as usual".
fn log_likelihood_ratio(bad: u32, all: u32, usual: f64, (more, part): (f64, f64)) -> f64 {
    let worse = (usual + more + usual * part).min(0.97);
    let good = f64::from(all.saturating_sub(bad));
    f64::from(bad) * (worse / usual).ln() + good * ((1.0 - worse) / (1.0 - usual)).ln()
}

impl RouteTest {
    /// Takes totals; gives what was added to the sums, and failures seen and expected.
    fn take(&mut self, totals: &RouteOutcomes, now: Instant) -> (Sums, f64, f64) {
        let news = totals.since(&self.seen);
        self.seen = *totals;
        let failures = self.failures.get_or_insert_with(|| UsualPart::new(now));
        failures.saw(news.old.bad, news.old.total(), now);
        let usual_failures = failures.part(now);
        let slow = self.slow.get_or_insert_with(|| UsualPart::new(now));
        let whole = |it: &crate::OutcomeCounts| it.good + it.slow;
        slow.saw(news.old.slow, whole(&news.old), now);
        let usual_slow = slow.part(now);
        let (bad, all) = (news.new.bad, news.new.total());
        let added = Sums {
            failures: log_likelihood_ratio(bad, all, usual_failures, MORE_FAILURES),
            slow: log_likelihood_ratio(news.new.slow, whole(&news.new), usual_slow, MORE_SLOW),
        };
        self.sums.add(added.failures, added.slow);
        (added, f64::from(bad), f64::from(all) * usual_failures)
    }
}

impl VersionTest {
    /// Takes the fleet's totals.
    pub fn update(&mut self, totals: &VersionOutcomes, now: Instant) {
        let mut added = Sums::default();
        for (route, outcomes) in totals.routes() {
            let test = self.routes.entry(route).or_default();
            let (sums, failures, expected) = test.take(outcomes, now);
            added.failures += sums.failures;
            added.slow += sums.slow;
            self.failures += failures;
            self.expected_failures += expected;
            let evidence = test.sums.evidence(Some(route));
            self.evidence = self.evidence.or(evidence);
        }
        self.all.add(added.failures, added.slow);
        self.evidence = self.evidence.or(self.all.evidence(None));
        if self.failures > MOST_EXCESS + 2.0 * self.expected_failures {
            self.evidence.get_or_insert(Evidence::Excess);
        }
        self.seen = totals.clone();
    }

    /// What speaks against the version, once enough does.
    #[must_use]
    pub fn evidence(&self) -> Option<Evidence> {
        self.evidence
    }

    /// Whether the version was seen enough, on each common route, and nothing speaks
    /// against it.
    #[must_use]
    pub fn is_good(&self) -> bool {
        let least = COMMON_ROUTE * f64::from(self.seen.old_total());
        let mut common = self
            .seen
            .routes()
            .filter(|(_, it)| f64::from(it.old.total()) >= least);
        let mut sums = self.routes.values().map(|it| it.sums);
        self.evidence.is_none()
            && self.seen.new_total() >= LEAST_ANSWERS
            && common.all(|(_, it)| it.new.total() >= LEAST_ROUTE_ANSWERS)
            && self.all.is_calm()
            && sums.all(|it| it.is_calm())
    }
}

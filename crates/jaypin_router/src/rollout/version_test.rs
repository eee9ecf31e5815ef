//! Sequential test of whether a new version is worse than the old one, which may be evaluated at
//! any time.
//!
//! For each route, failures and slow responses of the new version increase a sum by their
//! log-likelihood ratio between "as often as with the old version" and "clearly more often", and
//! good responses decrease it. The sum never falls below 0, so a version that degrades later is
//! detected as fast as one that is bad from the start (Page's CUSUM, 1954). The baseline is
//! taken from the old version over the same seconds, because any other fault affects both
//! versions.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::{DecayedRate, RouteKey, RouteOutcomes, VersionOutcomes};

/// Sum from which a version is bad. A good version reaches it once in some 60,000 responses.
const BAD_SUM: f64 = 11.0;
/// Greatest sum with which a version may be accepted as good.
const CALM_SUM: f64 = 4.0;
/// Rate of failures that counts as clearly more often: the baseline, plus the first number, plus
/// the second number times the baseline.
const MORE_FAILURES: (f64, f64) = (0.05, 0.3);
/// The same for slow responses.
const MORE_SLOW: (f64, f64) = (0.2, 0.3);
/// Time constants over which the old version's rate of bad responses is averaged. The newest
/// responses alone give a further rate. The greatest rate counts, so that a fault of both
/// versions shows in the old version no later than in the new one.
const MEMORIES: [Duration; 2] = [Duration::from_millis(400), Duration::from_secs(5)];
/// Number of responses that are assumed of the old version in advance, and the rate of bad ones
/// among them.
const ASSUMED: (f64, f64) = (3.0, 0.02);
/// Least and greatest baseline rate.
const USUAL_BOUNDS: (f64, f64) = (0.01, 0.9);
/// Number of failures by which the new version may exceed twice the failures expected of the old
/// version, whatever the sums are.
const MOST_EXCESS: f64 = 10.0;
/// Number of responses of the new version that are required to accept it as good.
const LEAST_ANSWERS: u32 = 60;
/// The same for each common route.
const LEAST_ROUTE_ANSWERS: u32 = 8;
/// Fraction of the old version's responses from which a route is common.
const COMMON_ROUTE: f64 = 0.08;

/// Evidence against a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Too many failures on this route, or over all routes if it is none.
    Failures(Option<RouteKey>),
    /// Too many slow responses on this route, or over all routes if it is none.
    Slowness(Option<RouteKey>),
    /// Far more failures than expected of the old version.
    Excess,
}

/// State of the test of one version.
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

/// Sums of log-likelihood ratios.
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

/// Recent rate of bad responses of the old version.
#[derive(Debug, Clone, Copy)]
struct UsualPart {
    rates: [(DecayedRate, DecayedRate); 2],
    /// Numbers of bad and of all responses in the newest update.
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

/// Returns the log-likelihood ratio of the number of bad responses between "clearly more often"
/// and "as often as the baseline".
fn log_likelihood_ratio(bad: u32, all: u32, usual: f64, (more, part): (f64, f64)) -> f64 {
    let worse = (usual + more + usual * part).min(0.97);
    let good = f64::from(all.saturating_sub(bad));
    f64::from(bad) * (worse / usual).ln() + good * ((1.0 - worse) / (1.0 - usual)).ln()
}

impl RouteTest {
    /// Applies new totals. Returns the increments of the sums, and the failures observed and
    /// expected.
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
    /// Applies new totals of the fleet.
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

    /// Returns the evidence against the version, once there is enough.
    #[must_use]
    pub fn evidence(&self) -> Option<Evidence> {
        self.evidence
    }

    /// Returns whether the version has handled enough calls, in all and on each common route,
    /// without evidence against it.
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

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
const GOOD_SUM: f64 = 4.0;
/// Rate of failures that counts as clearly more often: the baseline, plus the first number, plus
/// the second number times the baseline.
const MORE_FAILURES: (f64, f64) = (0.05, 0.3);
/// The same for slow responses.
const MORE_SLOW: (f64, f64) = (0.2, 0.3);
/// Time constants over which the old version's rate of bad responses is averaged. The newest
/// responses alone give a further rate. The greatest rate counts, so that a fault of both
/// versions shows in the old version no later than in the new one.
const TIME_CONSTANTS: [Duration; 2] = [Duration::from_millis(400), Duration::from_secs(5)];
/// Number of responses that are assumed of the old version in advance, and the rate of bad ones
/// among them.
const PRIOR: (f64, f64) = (3.0, 0.02);
/// Least and greatest baseline rate.
const BASELINE_BOUNDS: (f64, f64) = (0.01, 0.9);
/// Number of failures by which the new version may exceed twice the failures expected of the old
/// version, whatever the sums are.
const MAX_EXCESS_FAILURES: f64 = 10.0;
/// Number of responses of the new version that are required to accept it as good.
const MIN_ANSWERS: u32 = 60;
/// The same for each common route.
const MIN_ROUTE_ANSWERS: u32 = 8;
/// Fraction of the old version's responses from which a route is common.
const COMMON_ROUTE_FRACTION: f64 = 0.08;

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
    last_totals: VersionOutcomes,
    failures: f64,
    expected_failures: f64,
    evidence: Option<Evidence>,
}

#[derive(Debug, Default)]
struct RouteTest {
    last_totals: RouteOutcomes,
    failures: Option<BaselineRate>,
    slow: Option<BaselineRate>,
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

    fn is_low(&self) -> bool {
        self.failures <= GOOD_SUM && self.slow <= GOOD_SUM
    }
}

/// Recent rate of bad responses of the old version.
#[derive(Debug, Clone, Copy)]
struct BaselineRate {
    rates: [(DecayedRate, DecayedRate); 2],
    /// Numbers of bad and of all responses in the newest update.
    newest: (f64, f64),
}

impl BaselineRate {
    fn new(now: Instant) -> Self {
        let rate = |time_constant| {
            (
                DecayedRate::new(time_constant, now),
                DecayedRate::new(time_constant, now),
            )
        };
        Self {
            rates: TIME_CONSTANTS.map(rate),
            newest: (0.0, 0.0),
        }
    }

    fn update(&mut self, bad: u32, all: u32, now: Instant) {
        self.newest = (f64::from(bad), f64::from(all));
        for (bad_rate, rate) in &mut self.rates {
            bad_rate.count(f64::from(bad), now);
            rate.count(f64::from(all), now);
        }
    }

    fn rate(&self, now: Instant) -> f64 {
        let rates = self
            .rates
            .iter()
            .zip(TIME_CONSTANTS)
            .map(|((bad, all), time_constant)| {
                let seconds = time_constant.as_secs_f64();
                rate_of(bad.at(now) * seconds, all.at(now) * seconds)
            });
        let (bad, all) = self.newest;
        let greatest = rates.fold(rate_of(bad, all), f64::max);
        greatest.clamp(BASELINE_BOUNDS.0, BASELINE_BOUNDS.1)
    }
}

fn rate_of(bad: f64, all: f64) -> f64 {
    let (prior_count, prior_rate) = PRIOR;
    (bad + prior_count * prior_rate) / (all + prior_count)
}

/// Returns the log-likelihood ratio of the number of bad responses between "clearly more often"
/// and "as often as the baseline".
fn log_likelihood_ratio(bad: u32, all: u32, baseline: f64, (more, relative): (f64, f64)) -> f64 {
    let raised = (baseline + more + baseline * relative).min(0.97);
    let good = f64::from(all.saturating_sub(bad));
    f64::from(bad) * (raised / baseline).ln() + good * ((1.0 - raised) / (1.0 - baseline)).ln()
}

impl RouteTest {
    /// Applies new totals. Returns the increments of the sums, and the failures observed and
    /// expected.
    fn update(&mut self, totals: &RouteOutcomes, now: Instant) -> (Sums, f64, f64) {
        let changes = totals.since(&self.last_totals);
        self.last_totals = *totals;
        let failures = self.failures.get_or_insert_with(|| BaselineRate::new(now));
        failures.update(changes.old.bad, changes.old.total(), now);
        let baseline_failures = failures.rate(now);
        let slow = self.slow.get_or_insert_with(|| BaselineRate::new(now));
        let whole = |it: &crate::OutcomeCounts| it.good + it.slow;
        slow.update(changes.old.slow, whole(&changes.old), now);
        let baseline_slow = slow.rate(now);
        let (bad, all) = (changes.new.bad, changes.new.total());
        let added = Sums {
            failures: log_likelihood_ratio(bad, all, baseline_failures, MORE_FAILURES),
            slow: log_likelihood_ratio(
                changes.new.slow,
                whole(&changes.new),
                baseline_slow,
                MORE_SLOW,
            ),
        };
        self.sums.add(added.failures, added.slow);
        (added, f64::from(bad), f64::from(all) * baseline_failures)
    }
}

impl VersionTest {
    /// Applies new totals of the fleet.
    pub fn update(&mut self, totals: &VersionOutcomes, now: Instant) {
        let mut added = Sums::default();
        for (route, outcomes) in totals.routes() {
            let test = self.routes.entry(route).or_default();
            let (sums, failures, expected) = test.update(outcomes, now);
            added.failures += sums.failures;
            added.slow += sums.slow;
            self.failures += failures;
            self.expected_failures += expected;
            let evidence = test.sums.evidence(Some(route));
            self.evidence = self.evidence.or(evidence);
        }
        self.all.add(added.failures, added.slow);
        self.evidence = self.evidence.or(self.all.evidence(None));
        if self.failures > MAX_EXCESS_FAILURES + 2.0 * self.expected_failures {
            self.evidence.get_or_insert(Evidence::Excess);
        }
        self.last_totals = totals.clone();
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
        let least = COMMON_ROUTE_FRACTION * f64::from(self.last_totals.old_total());
        let mut common = self
            .last_totals
            .routes()
            .filter(|(_, it)| f64::from(it.old.total()) >= least);
        let mut sums = self.routes.values().map(|it| it.sums);
        self.evidence.is_none()
            && self.last_totals.new_total() >= MIN_ANSWERS
            && common.all(|(_, it)| it.new.total() >= MIN_ROUTE_ANSWERS)
            && self.all.is_low()
            && sums.all(|it| it.is_low())
    }
}

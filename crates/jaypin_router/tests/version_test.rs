//! Tests of the statistical test that decides whether a version is good or bad, over many seeded
//! runs with the counts of a fleet.

use std::time::{Duration, Instant};

use jaypin_router::{Outcome, VersionOutcomes, VersionTest};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between two checks of the counts.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of checks within the time limit of an order.
const CHECKS: u32 = 112;
/// Number of answers per check of the old version and of the new one, on all routes together.
const ANSWERS: (u32, f64) = (48, 2.4);
const ROUTES: u32 = 3;
/// Fraction of answers that count as slow at a version that is not slow.
const SLOW_SHARE: f64 = 0.15;
const SEEDS: u64 = 300;

/// Fractions of answers with a fault, at a check and on a route.
#[derive(Debug, Clone, Copy, Default)]
struct FaultRates {
    /// Fraction of answers that fail.
    failing: f64,
    /// Fraction of answers that are slow, in addition to those of a version that is not slow.
    slow: f64,
}

/// Returns the faults of a version at a check and on a route.
type Behavior = fn(check: u32, route: u32) -> FaultRates;

/// Result of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// The version is bad, which took this many failed or slow answers above the baseline to detect.
    Bad { after: u32 },
    /// The version is good.
    Good,
    /// The version is neither good nor bad.
    Undecided,
}

/// Runs the test for one seed, until the version is bad or the checks are over.
fn run(seed: u64, old: Behavior, new: Behavior) -> Verdict {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut now = Instant::now();
    let mut test = VersionTest::default();
    let mut totals = VersionOutcomes::default();
    let mut bad_answers = 0;
    for check in 0..CHECKS {
        let new_answers = ANSWERS.1 + rng.random_range(0.0..1.0);
        for answer in 0..ANSWERS.0 + to_count(new_answers) {
            let is_new = answer >= ANSWERS.0;
            let route = rng.random_range(0..ROUTES);
            let faults = if is_new { new } else { old }(check, route);
            let drawn: f64 = rng.random_range(0.0..1.0);
            let outcome = if drawn < faults.failing {
                Outcome::Bad
            } else if rng.random_range(0.0..1.0) < SLOW_SHARE + faults.slow {
                Outcome::Slow
            } else {
                Outcome::Good
            };
            let is_worse = outcome == Outcome::Bad || faults.slow > 0.0;
            bad_answers += u32::from(is_new && is_worse && outcome != Outcome::Good);
            totals.count(route, is_new, outcome);
        }
        now += CHECK_INTERVAL;
        test.update(&totals, now);
        if test.evidence().is_some() {
            return Verdict::Bad { after: bad_answers };
        }
    }
    if test.is_good() {
        Verdict::Good
    } else {
        Verdict::Undecided
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a few answers"
)]
fn to_count(number: f64) -> u32 {
    number as u32
}

fn runs(old: Behavior, new: Behavior) -> Vec<Verdict> {
    (0..SEEDS).map(|seed| run(seed, old, new)).collect()
}

fn no_faults(_: u32, _: u32) -> FaultRates {
    FaultRates::default()
}

fn failing(part: f64) -> FaultRates {
    FaultRates {
        failing: part,
        slow: 0.0,
    }
}

macro_rules! good_versions {
    ($($name:ident: $old:expr, $new:expr;)*) => {$(
        /// Guards against the rollback of a good version because of faults that both versions have, or
        /// only the old one has.
        #[test]
        fn $name() {
            let verdicts = runs($old, $new);
            let bad = verdicts.iter().filter(|it| matches!(it, Verdict::Bad { .. })).count();
            let good = verdicts.iter().filter(|it| **it == Verdict::Good).count();
            assert!(bad <= 6, "{bad} of {SEEDS} rolled back");
            assert!(good >= 270, "{good} of {SEEDS} good");
        }
    )*};
}

good_versions! {
    a_sound_version_is_good: no_faults, no_faults;
    one_failure_in_a_hundred_is_normal: |_, _| failing(0.01), |_, _| failing(0.01);
    a_route_that_always_fails_a_seventh:
        |_, route| failing(if route == 0 { 0.14 } else { 0.0 }),
        |_, route| failing(if route == 0 { 0.14 } else { 0.0 });
    all_servers_fail_for_four_seconds:
        |check, _| failing(if (30..70).contains(&check) { 0.45 } else { 0.0 }),
        |check, _| failing(if (30..70).contains(&check) { 0.45 } else { 0.0 });
    all_servers_are_slow_for_four_seconds:
        |check, _| FaultRates { failing: 0.0, slow: if (30..70).contains(&check) { 0.6 } else { 0.0 } },
        |check, _| FaultRates { failing: 0.0, slow: if (30..70).contains(&check) { 0.6 } else { 0.0 } };
    the_old_version_alone_is_slow:
        |_, _| FaultRates { failing: 0.0, slow: 0.4 }, no_faults;
}

macro_rules! bad_versions {
    ($($name:ident: $new:expr, median $median:literal, found $found:literal;)*) => {$(
        /// Guards against a version that is considered good although it serves callers worse.
        #[test]
        fn $name() {
            let verdicts = runs(|_, _| failing(0.005), $new);
            let good = verdicts.iter().filter(|it| **it == Verdict::Good).count();
            let mut after: Vec<u32> = verdicts
                .iter()
                .filter_map(|it| match it {
                    Verdict::Bad { after } => Some(*after),
                    _ => None,
                })
                .collect();
            after.sort_unstable();
            assert!(after.len() >= $found, "{} of {SEEDS} found", after.len());
            assert!(good <= 300 - $found, "{good} of {SEEDS} considered good");
            let median = after[after.len() / 2];
            assert!(median <= $median, "{median} bad answers on the median");
        }
    )*};
}

bad_versions! {
    a_version_that_fails_half: |_, _| failing(0.5), median 20, found 300;
    a_version_that_fails_three_in_ten: |_, _| failing(0.3), median 20, found 300;
    a_version_that_fails_one_in_ten: |_, _| failing(0.1), median 20, found 295;
    a_version_that_turns_bad_later:
        |check, _| failing(if check > 60 { 0.3 } else { 0.0 }), median 20, found 300;
    a_version_that_fails_on_one_route:
        |_, route| failing(if route == 2 { 0.4 } else { 0.0 }), median 20, found 300;
    a_version_that_is_slow: |_, _| FaultRates { failing: 0.0, slow: 0.6 }, median 50, found 300;
    a_version_that_is_slow_on_one_route:
        |_, route| FaultRates { failing: 0.0, slow: if route == 1 { 0.6 } else { 0.0 } },
        median 50, found 300;
}

/// Guards against a version that is considered good after only a few answers.
#[test]
fn a_version_with_few_answers_is_not_good() {
    let mut totals = VersionOutcomes::default();
    for _ in 0..500 {
        totals.count(1, false, Outcome::Good);
    }
    for _ in 0..10 {
        totals.count(1, true, Outcome::Good);
    }
    let mut test = VersionTest::default();
    test.update(&totals, Instant::now());
    assert!(test.evidence().is_none());
    assert!(!test.is_good());
}

/// Guards against a version that is considered good without any answer on one of the routes.
#[test]
fn a_version_without_answers_on_a_route_is_not_good() {
    let mut totals = VersionOutcomes::default();
    for _ in 0..500 {
        totals.count(1, false, Outcome::Good);
        totals.count(2, false, Outcome::Good);
    }
    for _ in 0..100 {
        totals.count(1, true, Outcome::Good);
    }
    let mut test = VersionTest::default();
    test.update(&totals, Instant::now());
    assert!(!test.is_good());
}

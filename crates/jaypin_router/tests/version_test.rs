//! Whether a version is good or bad, over many seeded runs of a fleet's counts.

use std::time::{Duration, Instant};

use jaypin_router::{Outcome, VersionOutcomes, VersionTest};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Pause between two looks at the counts.
const STEP: Duration = Duration::from_millis(100);
/// Looks in the time of an order.
const STEPS: u32 = 112;
/// Answers of the old version in a step, and of the new one, on all routes.
const ANSWERS: (u32, f64) = (48, 2.4);
const ROUTES: u32 = 3;
/// Part of answers that count as slow at a version that is not.
const SLOW: f64 = 0.15;
const SEEDS: u64 = 300;

/// What goes wrong, by step and route.
#[derive(Debug, Clone, Copy, Default)]
struct Trouble {
    /// Part of answers that fail.
    failing: f64,
    /// Part of answers that are slow besides.
    slow: f64,
}

/// How a version behaves.
type Behaviour = fn(step: u32, route: u32) -> Trouble;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Found bad after so many failed or slow answers above the usual.
    Bad { after: u32 },
    /// Good at the end.
    Good,
    /// Neither.
    Open,
}

fn run(seed: u64, old: Behaviour, new: Behaviour) -> End {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut now = Instant::now();
    let mut test = VersionTest::default();
    let mut totals = VersionOutcomes::default();
    let mut bad_answers = 0;
    for step in 0..STEPS {
        let tried = ANSWERS.1 + rng.random_range(0.0..1.0);
        for answer in 0..ANSWERS.0 + whole(tried) {
            let is_new = answer >= ANSWERS.0;
            let route = rng.random_range(0..ROUTES);
            let trouble = if is_new { new } else { old }(step, route);
            let drawn: f64 = rng.random_range(0.0..1.0);
            let outcome = if drawn < trouble.failing {
                Outcome::Bad
            } else if rng.random_range(0.0..1.0) < SLOW + trouble.slow {
                Outcome::Slow
            } else {
                Outcome::Good
            };
            let is_worse = outcome == Outcome::Bad || trouble.slow > 0.0;
            bad_answers += u32::from(is_new && is_worse && outcome != Outcome::Good);
            totals.count(route, is_new, outcome);
        }
        now += STEP;
        test.update(&totals, now);
        if test.evidence().is_some() {
            return End::Bad { after: bad_answers };
        }
    }
    if test.is_good() { End::Good } else { End::Open }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a few answers"
)]
fn whole(number: f64) -> u32 {
    number as u32
}

fn runs(old: Behaviour, new: Behaviour) -> Vec<End> {
    (0..SEEDS).map(|seed| run(seed, old, new)).collect()
}

fn sound(_: u32, _: u32) -> Trouble {
    Trouble::default()
}

fn failing(part: f64) -> Trouble {
    Trouble {
        failing: part,
        slow: 0.0,
    }
}

macro_rules! good_versions {
    ($($name:ident: $old:expr, $new:expr;)*) => {$(
        /// A sound version is given up for what goes wrong at both versions.
        #[test]
        fn $name() {
            let ends = runs($old, $new);
            let bad = ends.iter().filter(|it| matches!(it, End::Bad { .. })).count();
            let good = ends.iter().filter(|it| **it == End::Good).count();
            assert!(bad <= 6, "{bad} of {SEEDS} given up");
            assert!(good >= 270, "{good} of {SEEDS} good");
        }
    )*};
}

good_versions! {
    a_sound_version_is_good: sound, sound;
    one_failure_in_a_hundred_is_usual: |_, _| failing(0.01), |_, _| failing(0.01);
    a_route_that_always_fails_a_seventh:
        |_, route| failing(if route == 0 { 0.14 } else { 0.0 }),
        |_, route| failing(if route == 0 { 0.14 } else { 0.0 });
    all_servers_fail_for_four_seconds:
        |step, _| failing(if (30..70).contains(&step) { 0.45 } else { 0.0 }),
        |step, _| failing(if (30..70).contains(&step) { 0.45 } else { 0.0 });
    all_servers_are_slow_for_four_seconds:
        |step, _| Trouble { failing: 0.0, slow: if (30..70).contains(&step) { 0.6 } else { 0.0 } },
        |step, _| Trouble { failing: 0.0, slow: if (30..70).contains(&step) { 0.6 } else { 0.0 } };
    the_old_version_alone_is_slow:
        |_, _| Trouble { failing: 0.0, slow: 0.4 }, sound;
}

macro_rules! bad_versions {
    ($($name:ident: $new:expr, median $median:literal, found $found:literal;)*) => {$(
        /// A version is taken for good though callers are served worse by it.
        #[test]
        fn $name() {
            let ends = runs(|_, _| failing(0.005), $new);
            let good = ends.iter().filter(|it| **it == End::Good).count();
            let mut after: Vec<u32> = ends
                .iter()
                .filter_map(|it| match it {
                    End::Bad { after } => Some(*after),
                    _ => None,
                })
                .collect();
            after.sort_unstable();
            assert!(after.len() >= $found, "{} of {SEEDS} found", after.len());
            assert!(good <= 300 - $found, "{good} of {SEEDS} taken for good");
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
        |step, _| failing(if step > 60 { 0.3 } else { 0.0 }), median 20, found 300;
    a_version_that_fails_on_one_route:
        |_, route| failing(if route == 2 { 0.4 } else { 0.0 }), median 20, found 300;
    a_version_that_is_slow: |_, _| Trouble { failing: 0.0, slow: 0.6 }, median 50, found 300;
    a_version_that_is_slow_on_one_route:
        |_, route| Trouble { failing: 0.0, slow: if route == 1 { 0.6 } else { 0.0 } },
        median 50, found 300;
}

/// A version is taken for good of which hardly an answer was seen.
#[test]
fn a_version_that_was_hardly_seen_is_not_good() {
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

/// A version is taken for good that was never seen on one of the routes.
#[test]
fn a_version_that_was_not_seen_on_a_route_is_not_good() {
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

//! A fleet of hosts that brings in a new version: requests, delayed reports, one store.

#[path = "../common/mod.rs"]
mod common;
mod fleet;

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use fleet::{Answer, DELAY, Fleet, ORDER_TIME, ORDERED_AT, fails};
use jaypin_router::RolloutState;
use rand_chacha::ChaCha8Rng;

fn is_slow(_: Duration, _: &mut ChaCha8Rng) -> Answer {
    Answer::Slow
}

fn fails_a_little(_: Duration, rng: &mut ChaCha8Rng) -> Answer {
    fails(0.1, rng)
}

fn fails_later(since: Duration, rng: &mut ChaCha8Rng) -> Answer {
    if since > Duration::from_secs(5) {
        fails(0.4, rng)
    } else {
        Answer::Good
    }
}

fn fails_at_once(_: Duration, rng: &mut ChaCha8Rng) -> Answer {
    fails(0.4, rng)
}

fn good(_: Duration, _: &mut ChaCha8Rng) -> Answer {
    Answer::Good
}

fn seeds() -> std::ops::Range<u64> {
    0..5
}

/// A good version is never brought in, or its trial takes more than its share.
#[test]
fn a_good_version_is_done_in_time() {
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, good);
        let seen = fleet.run_with(|fleet, _| {
            let is_trial = !fleet.store.state.is_final();
            assert!(
                !is_trial || fleet.seen.keeps_its_share(),
                "{:?}",
                fleet.seen
            );
        });
        let (state, at) = seen.ended.expect("an end");
        assert_eq!(state, RolloutState::Done, "seed {seed}");
        assert!(at < ORDER_TIME, "seed {seed}: {at:?}");
        assert!(seen.writes <= 4, "{seen:?}");
    }
}

macro_rules! bad_versions {
    ($($name:ident: $answers:expr, most $most:literal;)*) => {$(
        /// Callers are served by a bad version for longer than it takes to see that it is.
        #[test]
        fn $name() {
            let mut bad = Vec::new();
            for seed in seeds() {
                let mut fleet = Fleet::new(seed, $answers);
                let seen = fleet.run();
                let (state, _) = seen.ended.expect("an end");
                assert_eq!(state, RolloutState::RolledBack, "seed {seed}");
                assert!(seen.keeps_its_share(), "seed {seed}: {seen:?}");
                assert_eq!(seen.new_after_end, 0, "seed {seed}");
                assert!(seen.bad < 50, "seed {seed}: {seen:?}");
                bad.push(seen.bad);
            }
            bad.sort_unstable();
            let median = bad[bad.len() / 2];
            assert!(median <= $most, "{median} bad answers on the median: {bad:?}");
        }
    )*};
}

bad_versions! {
    a_version_that_fails_at_once_is_given_up: fails_at_once, most 20;
    a_version_that_fails_later_is_given_up: fails_later, most 20;
    a_version_that_fails_a_little_is_given_up: fails_a_little, most 20;
    a_slow_version_is_given_up: is_slow, most 40;
}

/// Hosts that start in the middle of a trial give out the share anew.
#[test]
fn restarts_do_not_add_to_the_share() {
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, good);
        let seen = fleet.run_with(|fleet, since| {
            let step = since.as_millis() / 20;
            if (200..600).contains(&step) && step % 10 == 0 {
                let n = usize::try_from(step / 10).expect("small") % 12;
                fleet.begin(n);
            }
            let is_trial = !fleet.store.state.is_final();
            assert!(
                !is_trial || fleet.seen.keeps_its_share(),
                "{:?}",
                fleet.seen
            );
        });
        assert!(seen.new > 0);
    }
}

/// A host that can't hear of the end goes on sending to the new version.
#[test]
fn a_host_that_is_cut_off_sends_nothing_to_a_version_under_trial() {
    let mut fleet = Fleet::new(1, good);
    let cut_at = ORDERED_AT + Duration::from_secs(2);
    let grace = Duration::from_secs(3);
    let mut before = 0;
    while fleet.now < fleet.start + cut_at + grace {
        if fleet.now >= fleet.start + cut_at {
            for host in &mut fleet.hosts {
                host.is_cut = true;
            }
        }
        fleet.step();
        before = fleet.seen.new;
    }
    for _ in 0..100 {
        fleet.step();
    }
    assert_eq!(fleet.seen.new, before);
}

/// The host whose turn it is to write is gone, and nobody else does.
#[test]
fn another_host_ends_an_order_when_the_first_is_gone() {
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, fails_at_once);
        let writers: HashSet<usize> = (2..11).collect();
        let seen = fleet.run_with(|fleet, since| {
            if since < ORDERED_AT + DELAY {
                return;
            }
            for n in &writers {
                fleet.hosts[*n].is_up = false;
            }
        });
        let state = seen.ended.map(|it| it.0);
        assert_eq!(state, Some(RolloutState::RolledBack), "seed {seed}");
    }
}

/// A store that is away when a bad version is found keeps it in use.
#[test]
fn a_bad_version_is_left_though_the_store_is_out() {
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, fails_at_once);
        let out = Duration::from_secs(3)..Duration::from_secs(9);
        let seen = fleet.run_with(|fleet, since| {
            let since = since.saturating_sub(ORDERED_AT);
            fleet.store_is_out = since > Duration::from_millis(100) && since < out.end;
        });
        assert!(seen.bad < 50, "seed {seed}: {seen:?}");
        let state = seen.ended.map(|it| it.0);
        assert_eq!(state, Some(RolloutState::RolledBack), "seed {seed}");
    }
}

/// A sound version is given up because all backend servers fail for a while.
#[test]
fn trouble_of_both_versions_speaks_against_none() {
    fn troubled(since: Duration, rng: &mut ChaCha8Rng) -> Answer {
        let is_troubled = (4_000..7_000).contains(&since.as_millis());
        fails(if is_troubled { 0.4 } else { 0.0 }, rng)
    }
    let mut ends: BTreeMap<&str, u32> = BTreeMap::new();
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, troubled);
        fleet.old_answers = troubled;
        let state = fleet.run().ended.map_or("open", |it| it.0.as_str());
        *ends.entry(state).or_default() += 1;
    }
    assert_eq!(ends.get("rolled-back"), None, "{ends:?}");
    assert!(ends.get("done") >= Some(&4), "{ends:?}");
}

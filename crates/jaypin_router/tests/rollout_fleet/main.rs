//! Rollouts in a simulated fleet of hosts, with requests, delayed reports and one store.

#[path = "../common/mod.rs"]
mod common;
mod fleet;

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use fleet::{Answer, DELAY, Fleet, ORDER_TIME_LIMIT, ORDERED_AT, fails};
use jaypin_router::RolloutState;
use rand_chacha::ChaCha8Rng;

fn slow(_: Duration, _: &mut ChaCha8Rng) -> Answer {
    Answer::Slow
}

fn fails_one_in_ten(_: Duration, rng: &mut ChaCha8Rng) -> Answer {
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

/// Guards against a good version that is never rolled out, and against a canary version that gets
/// more than its share of requests.
#[test]
fn a_good_version_is_done_in_time() {
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, good);
        let counts = fleet.run_with(|fleet, _| {
            let is_in_progress = !fleet.stored_order.state.is_final();
            assert!(
                !is_in_progress || fleet.counts.keeps_its_share(),
                "{:?}",
                fleet.counts
            );
        });
        let (state, at) = counts.ended.expect("an end");
        assert_eq!(state, RolloutState::Done, "seed {seed}");
        assert!(at < ORDER_TIME_LIMIT, "seed {seed}: {at:?}");
        assert!(counts.store_writes <= 4, "{counts:?}");
    }
}

macro_rules! bad_versions {
    ($($name:ident: $answers:expr, most $most:literal;)*) => {$(
        /// Guards against a bad version that serves callers for longer than its detection takes.
        #[test]
        fn $name() {
            let mut bad = Vec::new();
            for seed in seeds() {
                let mut fleet = Fleet::new(seed, $answers);
                let counts = fleet.run();
                let (state, _) = counts.ended.expect("an end");
                assert_eq!(state, RolloutState::RolledBack, "seed {seed}");
                assert!(counts.keeps_its_share(), "seed {seed}: {counts:?}");
                assert_eq!(counts.new_after_rollback, 0, "seed {seed}");
                assert!(counts.bad_new < 50, "seed {seed}: {counts:?}");
                bad.push(counts.bad_new);
            }
            bad.sort_unstable();
            let median = bad[bad.len() / 2];
            assert!(median <= $most, "{median} bad answers on the median: {bad:?}");
        }
    )*};
}

bad_versions! {
    a_version_that_fails_at_once_is_reverted: fails_at_once, most 20;
    a_version_that_fails_later_is_reverted: fails_later, most 20;
    a_version_that_fails_one_in_ten_is_reverted: fails_one_in_ten, most 20;
    a_slow_version_is_reverted: slow, most 40;
}

/// Guards against hosts that restart in the middle of a rollout and grant the canary version its
/// share once more.
#[test]
fn restarts_do_not_add_to_the_share() {
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, good);
        let counts = fleet.run_with(|fleet, since| {
            let step = since.as_millis() / 20;
            if (200..600).contains(&step) && step % 10 == 0 {
                let n = usize::try_from(step / 10).expect("small") % 12;
                fleet.start_host(n);
            }
            let is_in_progress = !fleet.stored_order.state.is_final();
            assert!(
                !is_in_progress || fleet.counts.keeps_its_share(),
                "{:?}",
                fleet.counts
            );
        });
        assert!(counts.new_requests > 0);
    }
}

/// Guards against a host that keeps sending requests to the canary version while it is partitioned
/// and can't learn that the rollout has ended.
#[test]
fn a_partitioned_host_sends_nothing_to_a_canary_version() {
    let mut fleet = Fleet::new(1, good);
    let partitioned_at = ORDERED_AT + Duration::from_secs(2);
    let grace = Duration::from_secs(3);
    let mut before = 0;
    while fleet.now < fleet.start + partitioned_at + grace {
        if fleet.now >= fleet.start + partitioned_at {
            for host in &mut fleet.hosts {
                host.is_partitioned = true;
            }
        }
        fleet.step();
        before = fleet.counts.new_requests;
    }
    for _ in 0..100 {
        fleet.step();
    }
    assert_eq!(fleet.counts.new_requests, before);
}

/// Guards against an order that never ends because the host that should write its end is down.
#[test]
fn another_host_ends_an_order_when_the_first_is_down() {
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, fails_at_once);
        let stopped: HashSet<usize> = (2..11).collect();
        let counts = fleet.run_with(|fleet, since| {
            if since < ORDERED_AT + DELAY {
                return;
            }
            for n in &stopped {
                fleet.hosts[*n].is_up = false;
            }
        });
        let state = counts.ended.map(|it| it.0);
        assert_eq!(state, Some(RolloutState::RolledBack), "seed {seed}");
    }
}

/// Guards against a bad version that stays in use because the store is unavailable when the version
/// is detected as bad.
#[test]
fn a_bad_version_is_abandoned_during_a_store_outage() {
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, fails_at_once);
        let outage = Duration::from_secs(3)..Duration::from_secs(9);
        let counts = fleet.run_with(|fleet, since| {
            let since = since.saturating_sub(ORDERED_AT);
            fleet.is_store_unavailable = since > Duration::from_millis(100) && since < outage.end;
        });
        assert!(counts.bad_new < 50, "seed {seed}: {counts:?}");
        let state = counts.ended.map(|it| it.0);
        assert_eq!(state, Some(RolloutState::RolledBack), "seed {seed}");
    }
}

/// Guards against the rollback of a good version because the backend servers of both versions fail
/// for a while.
#[test]
fn failures_of_both_versions_do_not_count_against_the_new_one() {
    fn fails_for_a_while(since: Duration, rng: &mut ChaCha8Rng) -> Answer {
        let is_failing = (4_000..7_000).contains(&since.as_millis());
        fails(if is_failing { 0.4 } else { 0.0 }, rng)
    }
    let mut ends: BTreeMap<&str, u32> = BTreeMap::new();
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, fails_for_a_while);
        fleet.old_answers = fails_for_a_while;
        let state = fleet.run().ended.map_or("open", |it| it.0.as_str());
        *ends.entry(state).or_default() += 1;
    }
    assert_eq!(ends.get("rolled-back"), None, "{ends:?}");
    assert!(ends.get("done") >= Some(&4), "{ends:?}");
}

//! How long after backend servers left the last host sends a request to one, in fleets of up to 173
//! hosts with faults of the store, of reports and of hosts.
//!
//! `LEAVE_SEEDS` sets the number of seeds for each size of a fleet, `LEAVE_FIRST` the first of them.

#[path = "../common/mod.rs"]
mod common;
mod fleet;

use std::time::Duration;

use fleet::{Fleet, Leave, millis};
use rand::RngExt;
use rand::seq::IndexedRandom;

/// Time after which no request may reach a leaving backend server in small fleets.
const SMALL_FLEET_LIMIT: Duration = Duration::from_secs(2);
/// The same in large fleets.
const LIMIT: Duration = Duration::from_secs(3);
/// Time for which hosts are observed after a backend server began to leave.
const OBSERVED: Duration = Duration::from_secs(7);
/// Time for which a fleet runs before hosts are added.
const RUN_BEFORE: Duration = Duration::from_secs(8);

/// Returns a fleet to which hosts were added that let it divide into more cells, at a random time
/// within a second and a half after that.
fn grown_fleet(seed: u64, before: usize, added: usize) -> Fleet {
    let mut fleet = Fleet::new(seed, before, added, RUN_BEFORE);
    let added_for = millis(&mut fleet.rng, 0..1_500);
    fleet.run(RUN_BEFORE + added_for);
    fleet
}

/// Guards against requests to a backend server that left seconds ago, from a host that has just
/// started: it relied on peers that still counted fewer cells, and whose watchers reported to
/// neither its cell nor it.
#[test]
fn each_host_of_a_growing_fleet_knows_in_time_that_a_backend_server_leaves() {
    let first = number("LEAVE_FIRST").unwrap_or(2_016);
    let seeds = number("LEAVE_SEEDS").unwrap_or(4);
    for seed in first..first + seeds {
        let mut fleet = grown_fleet(seed, 79, 3);
        fleet.begin_leave(Leave::Stated, 1);
        fleet.run(OBSERVED);
        let delays = fleet.last_sends_of_all();
        let last = delays.last().expect("hosts");
        println!("82 hosts, seed {seed}: {last:?}");
        assert!(*last < LIMIT, "seed {seed}: {last:?}");
    }
}

/// Guards against a fleet with more watches than it needs, each of which costs calls to the store.
#[test]
fn a_fleet_that_has_grown_has_two_watchers_in_each_cell() {
    let mut fleet = grown_fleet(1, 79, 3);
    fleet.run(Duration::from_secs(15));
    assert_eq!(fleet.watchers().len(), 2 * 4);
}

/// Injects random faults, and returns their names.
fn inject_faults(fleet: &mut Fleet) -> Vec<&'static str> {
    let mut names = Vec::new();
    let all: Vec<usize> = (0..fleet.members.len()).collect();
    if fleet.rng.random_bool(0.5) {
        let silences_all = fleet.rng.random_bool(0.3);
        fleet.silence_watches(silences_all);
        names.push("silent watches");
    }
    if fleet.rng.random_bool(0.2) {
        for n in fleet.watchers() {
            let after = millis(&mut fleet.rng, 500..2_000);
            fleet.kill(n, after);
        }
        names.push("watchers killed");
    }
    if fleet.rng.random_bool(0.3) {
        let count = fleet.rng.random_range(1..=all.len() / 4);
        let killed: Vec<_> = all.sample(&mut fleet.rng, count).copied().collect();
        for n in killed {
            let after = millis(&mut fleet.rng, 500..2_000);
            fleet.kill(n, after);
        }
        names.push("hosts killed");
    }
    if fleet.rng.random_bool(0.4) {
        let count = fleet.rng.random_range(1..=all.len() / 4);
        let late: Vec<_> = all.sample(&mut fleet.rng, count).copied().collect();
        for n in late {
            let time = millis(&mut fleet.rng, 200..3_500);
            fleet.stall(n, time);
        }
        names.push("hosts late");
    }
    names
}

/// Plays one leave with random faults, and returns the last sends of hosts in touch.
fn play(seed: u64, hosts: usize, added: usize) -> (String, Vec<Duration>) {
    let mut fleet = if added > 0 {
        grown_fleet(seed, hosts - added, added)
    } else {
        let mut fleet = Fleet::new(seed, hosts, 0, Duration::ZERO);
        fleet.run(RUN_BEFORE);
        fleet
    };
    fleet.loss = *[0.0, 0.01, 0.05].choose(&mut fleet.rng).expect("a rate");
    let phase = millis(&mut fleet.rng, 0..2_000);
    fleet.run(phase);
    let names = inject_faults(&mut fleet);
    let pause = millis(&mut fleet.rng, 0..600);
    fleet.run(pause);
    let leave = if fleet.rng.random_bool(0.5) {
        Leave::Stated
    } else {
        Leave::Removed
    };
    let count = fleet.rng.random_range(1..=4);
    fleet.begin_leave(leave, count);
    fleet.run(OBSERVED);
    let what = format!("{count} {leave:?}, loss {}, {names:?}", fleet.loss);
    (what, fleet.last_sends())
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Plays some seeds, prints the quantiles of the last send of each host, and checks the last one.
fn check_fleet(hosts: usize, added: usize, seeds: u64, limit: Duration) {
    let first = number("LEAVE_FIRST").unwrap_or(1);
    let seeds = number("LEAVE_SEEDS").unwrap_or(seeds);
    let mut all = Vec::new();
    let mut late = Vec::new();
    for seed in first..first + seeds {
        let (what, delays) = play(seed, hosts, added);
        let last = delays.last().copied().unwrap_or_default();
        println!("{hosts} hosts, seed {seed}: {last:?}, {what}");
        if last >= limit {
            late.push((seed, last, what));
        }
        all.extend(delays);
    }
    all.sort();
    let quantile = |q: usize| all[(all.len() - 1) * q / 1_000];
    println!(
        "{hosts} hosts, {seeds} seeds: half {:?}, 0.9 {:?}, 0.99 {:?}, 0.999 {:?}, last {:?}",
        quantile(500),
        quantile(900),
        quantile(990),
        quantile(999),
        quantile(1_000)
    );
    assert!(late.is_empty(), "{late:?}");
}

macro_rules! fleets {
    ($($name:ident: $hosts:expr, added $added:expr, seeds $seeds:expr, $limit:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check_fleet($hosts, $added, $seeds, $limit);
            }
        )*
    };
}

// Guards against requests to backend servers that left seconds ago, with silent watches, hosts that
// are killed or late, and lost reports.
fleets! {
    hosts_of_a_small_fleet_know_leaves_in_time: 13, added 0, seeds 40, SMALL_FLEET_LIMIT;
    hosts_of_a_large_fleet_know_leaves_in_time: 145, added 0, seeds 2, LIMIT;
    hosts_of_a_large_fleet_that_grew_know_leaves_in_time: 173, added 28, seeds 1, LIMIT;
}
